"""Counts of lost backend servers, and the rules by which counts are merged.

Of two counts in the same generation, each may know of losses that the other does not,
so that merging takes the greater number and the union of the servers. The result does
not depend on the order in which counts meet.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

ISOLATION_LOSS_THRESHOLD = 2
QUARANTINE_LOSS_THRESHOLD = 3
# Servers lost under a prompt part from which it is suspect after one loss in a row: all
# may have been lost at one moment, and the next ones would be too.
MIN_SUSPECT_SERVERS = 3
# How long a count below the threshold is kept after its last change, and how long the
# first quarantine of a fingerprint lasts.
QUARANTINE_MS = 600_000
MAX_QUARANTINE_DOUBLINGS = 7
# How long a part is quarantined until a trial: the parts beside the harmful one lose
# the same servers, so that an accusation may be wrong. It outlasts the detection of a
# server that crashed silently.
PROVISIONAL_QUARANTINE_MS = 5_000
# Losses that are recorded of a part whose trial has failed.
CONFIRMED_PART_LOSSES = QUARANTINE_LOSS_THRESHOLD + 1
MAX_FINGERPRINTS = 20_000
# Servers of each kind that a count names.
MAX_LOST_SERVERS = 16
SERVER_HASH_BYTES = 4


class LossCount(NamedTuple):
    """Losses under a fingerprint since it was last shown to be harmless."""

    # How often the losses have been reset.
    generation: int
    losses: int
    # Hashes of the incarnations whose loss counts against a prompt part, in ascending
    # order; empty for a request.
    lost_servers: tuple[int, ...] = ()
    # Hashes of all incarnations that were lost while they ran the request or part. So
    # it may explain losses that count against others.
    exposed_servers: tuple[int, ...] = ()

    @property
    def is_quarantined(self) -> bool:
        """Whether new requests are refused, or admitted one at a time as a trial."""
        return self.losses >= QUARANTINE_LOSS_THRESHOLD

    @property
    def is_suspect(self) -> bool:
        """Whether requests with the prompt part should run apart from others."""
        return (
            self.losses >= ISOLATION_LOSS_THRESHOLD
            or len(self.lost_servers) >= MIN_SUSPECT_SERVERS
        )


NO_LOSSES = LossCount(0, 0)


def merge_counts(one: LossCount, other: LossCount) -> LossCount:
    """Return a count with all that two counts of the same fingerprint know."""
    if one.generation != other.generation:
        return max(one, other)
    return LossCount(
        one.generation,
        max(one.losses, other.losses),
        _merge_servers(one.lost_servers, other.lost_servers),
        _merge_servers(one.exposed_servers, other.exposed_servers),
    )


def _merge_servers(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(sorted({*one, *other})[:MAX_LOST_SERVERS])


def has_more_losses(count: LossCount, known: LossCount) -> bool:
    """Return whether a count is of a later generation or has more losses in a row."""
    return (count.generation, count.losses) > (known.generation, known.losses)


def compute_quarantine_ms(
    count: LossCount, provisional_ms: int = PROVISIONAL_QUARANTINE_MS
) -> int:
    """Return how long a fingerprint is quarantined after its last loss."""
    excess = count.losses - QUARANTINE_LOSS_THRESHOLD
    if excess < 0:
        return 0
    if count.lost_servers:
        # Only counts of parts name servers.
        excess -= CONFIRMED_PART_LOSSES - QUARANTINE_LOSS_THRESHOLD
    if excess < 0:
        return provisional_ms
    return QUARANTINE_MS << min(excess, MAX_QUARANTINE_DOUBLINGS)


def compute_retention_ms(count: LossCount) -> int:
    """Return how long a count is kept after its last change.

    It outlasts the quarantine, so that the next loss continues the count.
    """
    return max(QUARANTINE_MS, 2 * compute_quarantine_ms(count))


def hash_incarnation(incarnation: str) -> int:
    """Return the short hash by which a count names a lost server."""
    digest = hashlib.blake2b(incarnation.encode(), digest_size=SERVER_HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")


def select_eviction(losses_by_age: Iterable[tuple[bytes, int]]) -> bytes:
    """Return the fingerprint to evict: the oldest that is not quarantined, if any.

    The pairs of a fingerprint and its losses are ordered by their last change.
    """
    oldest: bytes | None = None
    for fingerprint, losses in losses_by_age:
        if losses < QUARANTINE_LOSS_THRESHOLD:
            return fingerprint
        oldest = fingerprint if oldest is None else oldest
    assert oldest is not None
    return oldest


__all__ = [
    "CONFIRMED_PART_LOSSES",
    "ISOLATION_LOSS_THRESHOLD",
    "MAX_FINGERPRINTS",
    "MAX_LOST_SERVERS",
    "MIN_SUSPECT_SERVERS",
    "NO_LOSSES",
    "PROVISIONAL_QUARANTINE_MS",
    "QUARANTINE_LOSS_THRESHOLD",
    "QUARANTINE_MS",
    "LossCount",
    "compute_quarantine_ms",
    "compute_retention_ms",
    "has_more_losses",
    "hash_incarnation",
    "merge_counts",
    "select_eviction",
]

"""Counts of the backend servers that were lost while they ran a request.

A loss counts only if its attempt started when the earlier losses were known. So the
loss of several backend servers at the same moment counts once, however many requests
with one fingerprint ran there, and a report may be repeated. A complete answer shows
that the request can run, and resets the count.

From ISOLATION_LOSS_THRESHOLD losses on, a request should run apart from others. At
QUARANTINE_LOSS_THRESHOLD losses, its fingerprint is quarantined. After a quarantine,
one trial run is admitted at a time, and each loss in a trial doubles the quarantine.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

ISOLATION_LOSS_THRESHOLD = 2
QUARANTINE_LOSS_THRESHOLD = 3
# How long a count below the threshold is kept after its last change, and how long the
# first quarantine of a fingerprint lasts.
QUARANTINE_MS = 600_000
MAX_QUARANTINE_DOUBLINGS = 7
# After the start of a trial run, other requests with its fingerprint wait this long for
# its result.
TRIAL_MS = 30_000
MAX_FINGERPRINTS = 20_000
# An unconfirmed loss is dropped after this time. By then, control has removed a backend
# server that is gone, also if another control instance received its heartbeats.
PENDING_LOSS_RETENTION_MS = 15_000


class LossCount(NamedTuple):
    """Losses under a fingerprint since its last complete answer.

    Of two counts, the greater one is newer.
    """

    # How often a complete answer has reset the losses.
    generation: int
    losses: int


NO_LOSSES = LossCount(0, 0)


class TrackedAttempt(NamedTuple):
    """What is needed to count the loss of a backend server against an attempt."""

    fingerprint: bytes
    # The count that was known when the attempt started.
    known_count: LossCount
    # Request id and workspace, for logs.
    request: str
    workspace: str
    # Fingerprints of the parts of its prompt.
    parts: tuple[bytes, ...] = ()


class CountChange(NamedTuple):
    """A new count, to be reported to control."""

    fingerprint: bytes
    loss_count: LossCount
    # The request whose loss or answer changed the count, and its workspace.
    request: str
    workspace: str
    # Incarnation of the backend server that was lost; empty for an answer.
    incarnation: str
    # Fingerprints of the parts of its prompt.
    parts: tuple[bytes, ...] = ()


class Record(NamedTuple):
    """The count of one fingerprint, and until when it is kept."""

    loss_count: LossCount
    expires_ms: int


class PendingLoss(NamedTuple):
    """An attempt that has failed, perhaps because its backend server crashed."""

    attempt: TrackedAttempt
    expires_ms: int


class QuarantineTable:
    """Counts by fingerprint, and losses that are not confirmed yet."""

    def __init__(self) -> None:
        # Ordered by their last change.
        self.record_by_fingerprint: dict[bytes, Record] = {}
        # Oldest first.
        self.pending_by_incarnation: dict[str, deque[PendingLoss]] = {}
        self.trial_end_ms_by_fingerprint: dict[bytes, int] = {}


def compute_quarantine_ms(count: LossCount) -> int:
    """Return how long a fingerprint is quarantined after its last loss."""
    excess = count.losses - QUARANTINE_LOSS_THRESHOLD
    if excess < 0:
        return 0
    return QUARANTINE_MS << min(excess, MAX_QUARANTINE_DOUBLINGS)


def compute_retention_ms(count: LossCount) -> int:
    """Return how long a count is kept after its last change.

    It outlasts the quarantine, so that the next loss continues the count.
    """
    return max(QUARANTINE_MS, 2 * compute_quarantine_ms(count))


def get_count(table: QuarantineTable, fingerprint: bytes, now_ms: int) -> LossCount:
    """Return the count of a fingerprint."""
    record = table.record_by_fingerprint.get(fingerprint)
    if record is None or record.expires_ms <= now_ms:
        return NO_LOSSES
    return record.loss_count


def compute_refusal_ms(table: QuarantineTable, fingerprint: bytes, now_ms: int) -> int:
    """Return how long a fingerprint stays quarantined; 0 if it is not."""
    count = get_count(table, fingerprint, now_ms)
    if count.losses < QUARANTINE_LOSS_THRESHOLD:
        return 0
    record = table.record_by_fingerprint[fingerprint]
    quarantine_end_ms = (
        record.expires_ms - compute_retention_ms(count) + compute_quarantine_ms(count)
    )
    return max(0, quarantine_end_ms - now_ms)


def admit(table: QuarantineTable, fingerprint: bytes, now_ms: int) -> int:
    """Return how long a new request is to be refused; 0 if it may run.

    After a quarantine, the first request starts a trial run, and others are refused
    until its result is due.
    """
    count = get_count(table, fingerprint, now_ms)
    if count.losses < QUARANTINE_LOSS_THRESHOLD:
        return 0
    trial_end_ms = table.trial_end_ms_by_fingerprint.get(fingerprint, 0)
    refusal_ms = max(
        compute_refusal_ms(table, fingerprint, now_ms), trial_end_ms - now_ms
    )
    if refusal_ms <= 0:
        table.trial_end_ms_by_fingerprint[fingerprint] = now_ms + TRIAL_MS
        return 0
    return refusal_ms


def record_loss(
    table: QuarantineTable, attempt: TrackedAttempt, incarnation: str, now_ms: int
) -> CountChange | None:
    """Count a loss against an attempt; return the new count if it has changed."""
    known = attempt.known_count
    count = LossCount(known.generation, known.losses + 1)
    return _change_count(table, attempt, count, incarnation, now_ms)


def record_answer(
    table: QuarantineTable, attempt: TrackedAttempt, now_ms: int
) -> CountChange | None:
    """Reset the losses after a complete answer; return the new count if any."""
    current = get_count(table, attempt.fingerprint, now_ms)
    if not current.losses:
        return None
    count = LossCount(current.generation + 1, 0)
    return _change_count(table, attempt, count, "", now_ms)


def _change_count(
    table: QuarantineTable,
    attempt: TrackedAttempt,
    count: LossCount,
    incarnation: str,
    now_ms: int,
) -> CountChange | None:
    retention_ms = compute_retention_ms(count)
    if not merge_count(table, attempt.fingerprint, count, retention_ms, now_ms):
        return None
    return CountChange(
        attempt.fingerprint,
        count,
        attempt.request,
        attempt.workspace,
        incarnation,
        attempt.parts,
    )


def merge_count(
    table: QuarantineTable,
    fingerprint: bytes,
    count: LossCount,
    remaining_ms: int,
    now_ms: int,
) -> bool:
    """Keep the newer of the known count and this one; return whether this one is.

    remaining_ms is how much longer this count is to be kept.
    """
    if count <= get_count(table, fingerprint, now_ms):
        return False
    records = table.record_by_fingerprint
    records.pop(fingerprint, None)
    records[fingerprint] = Record(count, now_ms + remaining_ms)
    table.trial_end_ms_by_fingerprint.pop(fingerprint, None)
    while len(records) > MAX_FINGERPRINTS:
        evicted = select_eviction(
            (key, record.loss_count.losses) for key, record in records.items()
        )
        del records[evicted]
        table.trial_end_ms_by_fingerprint.pop(evicted, None)
    return True


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


def add_pending_loss(
    table: QuarantineTable, attempt: TrackedAttempt, incarnation: str, now_ms: int
) -> None:
    """Remember a failed attempt, which counts once its backend server proves lost."""
    pending = table.pending_by_incarnation.setdefault(incarnation, deque())
    while pending and pending[0].expires_ms <= now_ms:
        pending.popleft()
    pending.append(PendingLoss(attempt, now_ms + PENDING_LOSS_RETENTION_MS))


def confirm_losses(
    table: QuarantineTable, incarnation: str, now_ms: int
) -> list[CountChange]:
    """Count the pending losses of an incarnation that has crashed."""
    pending = table.pending_by_incarnation.pop(incarnation, ())
    changes = (
        record_loss(table, item.attempt, incarnation, now_ms)
        for item in pending
        if item.expires_ms > now_ms
    )
    return [change for change in changes if change is not None]


def resolve_pending_losses(
    table: QuarantineTable,
    present_incarnations: Container[str],
    leaving_incarnations: Container[str],
    now_ms: int,
) -> list[CountChange]:
    """Count the pending losses of incarnations that are gone.

    Those of incarnations that are leaving as announced, and old ones, are dropped.
    """
    changes: list[CountChange] = []
    for incarnation, pending in list(table.pending_by_incarnation.items()):
        if incarnation in leaving_incarnations or pending[-1].expires_ms <= now_ms:
            del table.pending_by_incarnation[incarnation]
        elif incarnation not in present_incarnations:
            changes += confirm_losses(table, incarnation, now_ms)
    return changes


__all__ = [
    "ISOLATION_LOSS_THRESHOLD",
    "MAX_FINGERPRINTS",
    "NO_LOSSES",
    "PENDING_LOSS_RETENTION_MS",
    "QUARANTINE_LOSS_THRESHOLD",
    "QUARANTINE_MS",
    "TRIAL_MS",
    "TrackedAttempt",
    "CountChange",
    "LossCount",
    "QuarantineTable",
    "add_pending_loss",
    "admit",
    "compute_quarantine_ms",
    "compute_refusal_ms",
    "compute_retention_ms",
    "confirm_losses",
    "get_count",
    "merge_count",
    "record_answer",
    "record_loss",
    "resolve_pending_losses",
    "select_eviction",
]

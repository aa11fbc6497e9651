"""Refusing requests while a fingerprint is quarantined, and trying it out afterwards.

After a quarantine, one trial run is admitted at a time, and each loss in a trial
doubles the quarantine. The first quarantine of a part is short, since it may be of the
wrong one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.quarantine.counts import compute_quarantine_ms, compute_retention_ms
from yuccareach.quarantine.table import get_count

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.quarantine.table import QuarantineTable

# After the start of a trial run, other requests with its fingerprint wait this long for
# its result: an answer, or the first events where it tries out a part.
TRIAL_MS = 30_000
PART_TRIAL_MS = 5_000
# So long after the end of a quarantine, one of all instances has the result of a trial.
TRIAL_RESULT_DELAY_MS = 2_000


def compute_refusal_ms(table: QuarantineTable, fingerprint: bytes, now_ms: int) -> int:
    """Return how long a fingerprint stays quarantined; 0 if it is not."""
    if not get_count(table, fingerprint, now_ms).is_quarantined:
        return 0
    return max(0, _find_quarantine_end_ms(table, fingerprint) - now_ms)


def _find_quarantine_end_ms(table: QuarantineTable, fingerprint: bytes) -> int:
    record = table.record_by_fingerprint[fingerprint]
    quarantine_ms = compute_quarantine_ms(record.loss_count, table.provisional_ms)
    return record.expires_ms - compute_retention_ms(record.loss_count) + quarantine_ms


def select_refusal(
    table: QuarantineTable, fingerprints: Iterable[bytes], now_ms: int
) -> tuple[bytes, int]:
    """Return the fingerprint that is quarantined the longest, and for how long.

    The time is 0 if none of them is.
    """
    return max(
        ((item, compute_refusal_ms(table, item, now_ms)) for item in fingerprints),
        key=lambda item: item[1],
        default=(b"", 0),
    )


def admit(table: QuarantineTable, fingerprint: bytes, now_ms: int) -> int:
    """Return how long a new request is to be refused; 0 if it may run.

    After a quarantine, the first request starts a trial run, and others are refused
    until its result is due.
    """
    return admit_all(table, (fingerprint,), now_ms)[1]


def admit_all(
    table: QuarantineTable, fingerprints: Iterable[bytes], now_ms: int
) -> tuple[bytes, int]:
    """Return which fingerprint a request is refused for, and how long; 0 ms if not.

    A request that is admitted is a trial run for all that were quarantined.
    """
    trials = [
        item for item in fingerprints if get_count(table, item, now_ms).is_quarantined
    ]
    refusals = (
        (item, _compute_trial_refusal_ms(table, item, now_ms)) for item in trials
    )
    refusal = max(refusals, key=lambda item: item[1], default=(b"", 0))
    if not refusal[1]:
        for item in trials:
            is_part = bool(get_count(table, item, now_ms).lost_servers)
            trial_ms = PART_TRIAL_MS if is_part else TRIAL_MS
            table.trial_end_ms_by_fingerprint[item] = now_ms + trial_ms
    return refusal


def _compute_trial_refusal_ms(
    table: QuarantineTable, fingerprint: bytes, now_ms: int
) -> int:
    """Return how long a request is refused until it may be a trial, or one has ended.

    It need not wait until this instance tries out what another one may have cleared.
    """
    trial_end_ms = table.trial_end_ms_by_fingerprint.get(fingerprint, 0)
    if trial_end_ms > now_ms:
        return trial_end_ms - now_ms
    end_ms = _find_quarantine_end_ms(table, fingerprint)
    start_ms = end_ms + _compute_trial_delay_ms(table, fingerprint)
    if start_ms <= now_ms:
        return 0
    return min(start_ms, max(end_ms, now_ms) + TRIAL_RESULT_DELAY_MS) - now_ms


def _compute_trial_delay_ms(table: QuarantineTable, fingerprint: bytes) -> int:
    """Return how long after a quarantine this instance starts a trial.

    Parts that were accused together are not tried out together, since one crash would
    count against both.
    """
    offset = int.from_bytes(fingerprint[:4], "big") / 2**32
    return int((table.trial_phase + offset) % 1 * table.trial_spread_ms)


__all__ = [
    "PART_TRIAL_MS",
    "TRIAL_MS",
    "TRIAL_RESULT_DELAY_MS",
    "admit",
    "admit_all",
    "compute_refusal_ms",
    "select_refusal",
]

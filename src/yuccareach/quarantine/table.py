"""Counts of the backend servers that were lost while they ran a request.

The same rules hold for a request and for a part of prompts, which many requests share.

A loss counts only if its attempt started when the earlier losses were known. So the
loss of several backend servers at the same moment counts once, however many requests
with one fingerprint ran there, and a report may be repeated. A complete answer shows
that the request can run, and resets the count; a few events show it of the parts of its
prompt.

From ISOLATION_LOSS_THRESHOLD losses on, a request should run apart from others. At
QUARANTINE_LOSS_THRESHOLD losses, its fingerprint is quarantined.
"""

from __future__ import annotations

import itertools
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.quarantine.counts import (
    MAX_FINGERPRINTS,
    NO_LOSSES,
    PROVISIONAL_QUARANTINE_MS,
    QUARANTINE_LOSS_THRESHOLD,
    LossCount,
    compute_retention_ms,
    has_more_losses,
    hash_incarnation,
    merge_counts,
    select_eviction,
)
from yuccareach.quarantine.parts import (
    PartHistory,
    build_candidate,
    compute_part_losses,
    is_accusable,
    is_suspect,
    record_part_loss,
    record_proof,
    select_accused,
    select_excused,
)
from yuccareach.quarantine.progress import LostPositions, Progress, counts_as_loss

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Iterator

    from yuccareach.quarantine.parts import Candidate

# An unconfirmed loss is dropped after this time. By then, control has removed a backend
# server that is gone, also if another control instance received its heartbeats.
PENDING_LOSS_RETENTION_MS = 15_000


class TrackedPart(NamedTuple):
    """A part of a prompt, and its count that was known when an attempt started."""

    fingerprint: bytes
    known_count: LossCount


class TrackedAttempt(NamedTuple):
    """What is needed to count the loss of a backend server against an attempt."""

    fingerprint: bytes
    # The count that was known when the attempt started.
    known_count: LossCount
    # Request id and workspace, for logs.
    request: str
    workspace: str
    # The parts of its prompt that other requests may share, in order.
    parts: tuple[TrackedPart, ...] = ()
    # Whether the attempt has shown that the parts are harmless.
    has_proven_parts: bool = False
    progress: Progress = Progress()


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
    # Whether the count is of one of them.
    is_part: bool = False


class Record(NamedTuple):
    """The count of one fingerprint, and until when it is kept."""

    loss_count: LossCount
    expires_ms: int


class PendingLoss(NamedTuple):
    """An attempt that has failed, perhaps because its backend server crashed."""

    attempt: TrackedAttempt
    expires_ms: int


class Charge(NamedTuple):
    """The loss of a server, for which one of these parts may be accused later."""

    due_ms: int
    # Each part with its attempt.
    parts: list[tuple[TrackedAttempt, TrackedPart]]


class QuarantineTable:
    """Counts by fingerprint, and losses that are not confirmed yet."""

    def __init__(self) -> None:
        # Ordered by their last change.
        self.record_by_fingerprint: dict[bytes, Record] = {}
        # Oldest first.
        self.pending_by_incarnation: dict[str, deque[PendingLoss]] = {}
        self.trial_end_ms_by_fingerprint: dict[bytes, int] = {}
        # Instances start their trials at different times within this span after the end
        # of a quarantine, by their phases from 0 to 1, so that mostly one tries it at a
        # time.
        self.trial_spread_ms = 0
        self.trial_phase = 0.0
        # How long the first quarantine of a part lasts.
        self.provisional_ms = PROVISIONAL_QUARANTINE_MS
        # Parts are accused this long after a loss, when other instances have reported
        # theirs and sound parts are proven.
        self.accusation_delay_ms = 0
        # Oldest first.
        self.charge_by_incarnation: dict[str, Charge] = {}
        self.part_history = PartHistory()
        self.lost_positions = LostPositions()


def get_count(table: QuarantineTable, fingerprint: bytes, now_ms: int) -> LossCount:
    """Return the count of a fingerprint."""
    record = table.record_by_fingerprint.get(fingerprint)
    if record is None or record.expires_ms <= now_ms:
        return NO_LOSSES
    return record.loss_count


def is_suspect_part(table: QuarantineTable, fingerprint: bytes, now_ms: int) -> bool:
    """Return whether requests with a part of a prompt should run apart from others."""
    count = get_count(table, fingerprint, now_ms)
    return is_suspect(table.part_history, fingerprint, count)


def record_loss(
    table: QuarantineTable, attempt: TrackedAttempt, incarnation: str, now_ms: int
) -> CountChange | None:
    """Count a loss against an attempt's request; return the new count if any."""
    known = attempt.known_count
    if not counts_as_loss(
        table.lost_positions, attempt.fingerprint, attempt.request, attempt.progress
    ):
        return None
    servers = (hash_incarnation(incarnation),)
    count = LossCount(known.generation, known.losses + 1, (), servers)
    if not has_more_losses(count, get_count(table, attempt.fingerprint, now_ms)):
        return None
    return _change_count(
        table, attempt, attempt.fingerprint, count, incarnation, now_ms
    )


def record_answer(
    table: QuarantineTable, attempt: TrackedAttempt, now_ms: int
) -> CountChange | None:
    """Reset the losses after a complete answer; return the new count if any."""
    return _reset_count(table, attempt, attempt.fingerprint, now_ms)


def prove_parts(
    table: QuarantineTable, attempt: TrackedAttempt, now_ms: int
) -> list[CountChange]:
    """Reset the losses of the parts of a prompt that an attempt has shown harmless."""
    parts = [part.fingerprint for part in attempt.parts]
    record_proof(table.part_history, parts, now_ms)
    changes = (_reset_count(table, attempt, part, now_ms) for part in parts)
    return [change for change in changes if change is not None]


def _reset_count(
    table: QuarantineTable, attempt: TrackedAttempt, fingerprint: bytes, now_ms: int
) -> CountChange | None:
    current = get_count(table, fingerprint, now_ms)
    if not current.losses:
        return None
    count = LossCount(current.generation + 1, 0)
    return _change_count(table, attempt, fingerprint, count, "", now_ms)


def _change_count(
    table: QuarantineTable,
    attempt: TrackedAttempt,
    fingerprint: bytes,
    count: LossCount,
    incarnation: str,
    now_ms: int,
) -> CountChange | None:
    retention_ms = compute_retention_ms(count)
    if not merge_count(table, fingerprint, count, retention_ms, now_ms):
        return None
    return CountChange(
        fingerprint,
        get_count(table, fingerprint, now_ms),
        attempt.request,
        attempt.workspace,
        incarnation,
        tuple(part.fingerprint for part in attempt.parts),
        fingerprint != attempt.fingerprint,
    )


def merge_count(
    table: QuarantineTable,
    fingerprint: bytes,
    count: LossCount,
    remaining_ms: int,
    now_ms: int,
) -> bool:
    """Merge a count into the known one; return whether that has changed.

    remaining_ms is how much longer the merged count is to be kept if this one has more
    losses in a row.
    """
    known = get_count(table, fingerprint, now_ms)
    merged = merge_counts(known, count)
    if merged == known:
        return False
    records = table.record_by_fingerprint
    expires_ms = now_ms + remaining_ms
    if has_more_losses(count, known):
        table.trial_end_ms_by_fingerprint.pop(fingerprint, None)
    else:
        expires_ms = records[fingerprint].expires_ms
    records.pop(fingerprint, None)
    records[fingerprint] = Record(merged, expires_ms)
    while len(records) > MAX_FINGERPRINTS:
        evicted = select_eviction(
            (key, record.loss_count.losses) for key, record in records.items()
        )
        del records[evicted]
        table.trial_end_ms_by_fingerprint.pop(evicted, None)
    return True


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
    attempts = [item.attempt for item in pending if item.expires_ms > now_ms]
    changes = (record_loss(table, item, incarnation, now_ms) for item in attempts)
    return [
        *(change for change in changes if change is not None),
        *_charge_parts(table, attempts, incarnation, now_ms),
        *accuse_parts(table, now_ms),
    ]


def _charge_parts(
    table: QuarantineTable,
    attempts: Iterable[TrackedAttempt],
    incarnation: str,
    now_ms: int,
) -> Iterator[CountChange]:
    """Count a loss against the parts of prompts that its attempts have not proven.

    A request that is quarantined itself explains the loss.
    """
    unproven = [
        (attempt, _is_charged(table, attempt, incarnation, now_ms))
        for attempt in attempts
        if not attempt.has_proven_parts
    ]
    excused = _excuse_trials(
        table, [attempt for attempt, is_charged in unproven if is_charged], now_ms
    )
    for attempt, is_charged in unproven:
        yield from _count_part_losses(
            table, attempt, incarnation, now_ms, excused, is_charged=is_charged
        )
    charged_parts = [
        (attempt, part)
        for attempt, is_charged in unproven
        for part in attempt.parts
        if is_charged and part.fingerprint not in excused
    ]
    if charged_parts:
        due_ms = now_ms + table.accusation_delay_ms
        charge = table.charge_by_incarnation.setdefault(incarnation, Charge(due_ms, []))
        charge.parts.extend(charged_parts)


def _is_charged(
    table: QuarantineTable, attempt: TrackedAttempt, incarnation: str, now_ms: int
) -> bool:
    """Return whether a loss counts against the parts of an attempt's prompt."""
    request_count = get_count(table, attempt.fingerprint, now_ms)
    return not request_count.is_quarantined and record_part_loss(
        table.part_history, attempt.request, incarnation
    )


def _excuse_trials(
    table: QuarantineTable, attempts: Iterable[TrackedAttempt], now_ms: int
) -> set[bytes]:
    """Return the parts in a trial that a more suspicious part on the server excuses.

    Their trials have no result, so that others may start.
    """
    suspects = [
        _build_candidate(table, part, now_ms)
        for attempt in attempts
        for part in attempt.parts
        if part.known_count.losses
    ]
    excused = select_excused(suspects)
    for fingerprint in excused:
        table.trial_end_ms_by_fingerprint.pop(fingerprint, None)
    return excused


def _build_candidate(
    table: QuarantineTable, part: TrackedPart, now_ms: int
) -> Candidate:
    count = get_count(table, part.fingerprint, now_ms)
    return build_candidate(
        table.part_history, part.fingerprint, part.known_count, count
    )


def _count_part_losses(
    table: QuarantineTable,
    attempt: TrackedAttempt,
    incarnation: str,
    now_ms: int,
    excused: Container[bytes],
    *,
    is_charged: bool,
) -> Iterator[CountChange]:
    """Count a lost server against the parts of an attempt, or only as exposed to them.

    Parts under which no loss has counted need no record.
    """
    servers = (hash_incarnation(incarnation),)
    for part, known in attempt.parts:
        if part in excused:
            continue
        count = known._replace(lost_servers=(), exposed_servers=servers)
        if is_charged:
            losses = compute_part_losses(known)
            count = count._replace(losses=losses, lost_servers=servers)
        elif not get_count(table, part, now_ms).losses:
            continue
        change = _change_count(table, attempt, part, count, incarnation, now_ms)
        if change is not None:
            yield change


def accuse_parts(table: QuarantineTable, now_ms: int) -> Iterator[CountChange]:
    """Accuse the most suspicious part for each loss whose accusation is due."""
    charges = table.charge_by_incarnation
    due = list(
        itertools.takewhile(lambda item: item[1].due_ms <= now_ms, charges.items())
    )
    for incarnation, charge in due:
        del charges[incarnation]
        yield from _accuse_part(table, charge, incarnation, now_ms)


def _accuse_part(
    table: QuarantineTable, charge: Charge, incarnation: str, now_ms: int
) -> Iterator[CountChange]:
    attempt_by_part = {part.fingerprint: attempt for attempt, part in charge.parts}
    charged_parts = [_build_candidate(table, part, now_ms) for _, part in charge.parts]
    if not any(is_accusable(item) for item in charged_parts):
        return
    count_by_fingerprint = {
        fingerprint: record.loss_count
        for fingerprint, record in table.record_by_fingerprint.items()
        if record.expires_ms > now_ms
    }
    lost_server = hash_incarnation(incarnation)
    for accused in select_accused(
        table.part_history, charged_parts, count_by_fingerprint, lost_server
    ):
        part_count = accused.loss_count._replace(losses=QUARANTINE_LOSS_THRESHOLD)
        attempt = attempt_by_part[accused.fingerprint]
        change = _change_count(
            table, attempt, accused.fingerprint, part_count, incarnation, now_ms
        )
        if change is not None:
            yield change


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
    "PENDING_LOSS_RETENTION_MS",
    "Charge",
    "CountChange",
    "QuarantineTable",
    "TrackedAttempt",
    "TrackedPart",
    "accuse_parts",
    "add_pending_loss",
    "confirm_losses",
    "get_count",
    "is_suspect_part",
    "merge_count",
    "prove_parts",
    "record_answer",
    "record_loss",
    "resolve_pending_losses",
]

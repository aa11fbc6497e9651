"""Counting the losses of backend servers against the entry's requests and calls.

The loss of an engine or a service counts as soon as its agent reports it. The loss of a
link counts only once the backend server behind it refuses connections, or a later
incarnation is in its place.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, NamedTuple

from yuccareach.entry import fleet
from yuccareach.entry.events import Refusal, ReportLosses
from yuccareach.proto import data_pb2 as pb
from yuccareach.quarantine import admission, reporting, table
from yuccareach.quarantine.counts import LossCount
from yuccareach.quarantine.fingerprints import compute_fingerprint
from yuccareach.quarantine.table import TrackedAttempt
from yuccareach.runtime.links import Send

if TYPE_CHECKING:
    from yuccareach.entry.events import CallRequested
    from yuccareach.entry.state import EntryState, PlainCall, Request
    from yuccareach.proto import control_pb2 as cpb
    from yuccareach.quarantine.table import CountChange
    from yuccareach.settings.store import Workspace

# Reasons by which an agent reports that its engine or service has crashed.
CRASH_REASONS = frozenset(("engine_lost", "service_lost"))
# Reasons after which a connection attempt shows whether the backend server has ended.
_LINK_REASONS = frozenset(("link_lost", "stage_lost"))


class Loss(NamedTuple):
    """A failure of an attempt that may come from the loss of a backend server.

    accepted says whether the backend server had accepted the attempt. member is None if
    the backend server is not known. refused says whether it refuses connections.
    """

    reason: str
    incarnation: str
    accepted: bool
    member: cpb.Member | None = None
    refused: bool = False


def identify_request(workspace: Workspace, pipeline: str, prompt: str) -> bytes:
    """Return a model request's fingerprint."""
    return _compute_fingerprint(workspace, pipeline.encode(), prompt.encode())


def identify_call(event: CallRequested) -> bytes:
    """Return a plain call's fingerprint."""
    message = event.message
    names = (message.service, message.method, message.path)
    return _compute_fingerprint(
        event.workspace, *(name.encode() for name in names), message.body
    )


def _compute_fingerprint(workspace: Workspace, *parts: bytes) -> bytes:
    """Return a fingerprint that is keyed with the hash of the workspace's key."""
    key = workspace.key_sha256[0] if workspace.key_sha256 else ""
    return compute_fingerprint(key, workspace.name.encode(), *parts)


def get_count(state: EntryState, fingerprint: bytes, now: int) -> LossCount:
    """Return the count of losses under a fingerprint."""
    return table.get_count(state.quarantine, fingerprint, now)


def admit(state: EntryState, fingerprint: bytes, now: int) -> Refusal | None:
    """Return the refusal of a new request, or None if it may run."""
    return _build_refusal(admission.admit(state.quarantine, fingerprint, now))


def check(state: EntryState, fingerprint: bytes, now: int) -> Refusal | None:
    """Return the refusal of a request's next attempt, or None if it may run."""
    return _build_refusal(
        admission.compute_refusal_ms(state.quarantine, fingerprint, now)
    )


def _build_refusal(refusal_ms: int) -> Refusal | None:
    if not refusal_ms:
        return None
    text = "backend servers were lost while they ran this request earlier"
    return Refusal(
        503, "quarantined", text, retry_after_s=max(1, math.ceil(refusal_ms / 1000))
    )


def start_request_attempt(
    state: EntryState, request: Request, now: int
) -> TrackedAttempt:
    """Return what a loss during a model request's next attempt is counted by."""
    known_count = get_count(state, request.fingerprint, now)
    return TrackedAttempt(
        request.fingerprint, known_count, request.identifier, request.workspace.name
    )


def start_call_attempt(state: EntryState, call: PlainCall, now: int) -> TrackedAttempt:
    """Return what a loss during a call's next attempt is counted by."""
    known_count = get_count(state, call.fingerprint, now)
    return TrackedAttempt(
        call.fingerprint, known_count, call.event.request, call.event.workspace.name
    )


def record_loss(
    state: EntryState, attempt: TrackedAttempt, loss: Loss, now: int
) -> list[Any]:
    """Count a loss against an attempt, now or once the backend server proves lost.

    After the loss of a link, a message is sent that shows whether anything listens at
    the address.
    """
    if _is_crash(state, loss):
        change = table.record_loss(state.quarantine, attempt, loss.incarnation, now)
        return _report([change] if change is not None else [])
    if not loss.accepted or loss.refused:
        return []
    table.add_pending_loss(state.quarantine, attempt, loss.incarnation, now)
    if loss.member is None or loss.incarnation in state.suspect_by_incarnation:
        return []
    state.suspect_by_incarnation[loss.incarnation] = loss.member
    if loss.reason not in _LINK_REASONS:
        return []
    return [Send(loss.member.address, pb.Probe())]


def _is_crash(state: EntryState, loss: Loss) -> bool:
    """Return whether a backend server has crashed under an attempt.

    One that was leaving as announced has not.
    """
    if loss.refused and loss.accepted and loss.member is not None:
        return not _is_draining(state, loss.member)
    return loss.reason in CRASH_REASONS


def confirm_ends(state: EntryState, address: str, now: int) -> list[Any]:
    """Count the pending losses of the backend servers that have ended at an address.

    Those of backend servers that were leaving as announced do not count.
    """
    effects: list[Any] = []
    for incarnation, member in list(state.suspect_by_incarnation.items()):
        if member.address == address and not _is_draining(state, member):
            del state.suspect_by_incarnation[incarnation]
            effects += _report(table.confirm_losses(state.quarantine, incarnation, now))
    return effects


def _is_draining(state: EntryState, member: cpb.Member) -> bool:
    server = state.server_by_name.get(member.backend_server)
    return member.draining or (
        server is not None
        and server.draining
        and server.member.incarnation == member.incarnation
    )


def record_answer(state: EntryState, attempt: TrackedAttempt, now: int) -> list[Any]:
    """Record that backend servers have answered a request completely."""
    change = table.record_answer(state.quarantine, attempt, now)
    return _report([change] if change is not None else [])


def resolve_pending_losses(state: EntryState, now: int) -> list[Any]:
    """Count the pending losses of backend servers whose later incarnation is known.

    Old ones expire.
    """
    pending = state.quarantine.pending_by_incarnation
    suspects = state.suspect_by_incarnation
    replaced = {
        incarnation
        for incarnation, member in suspects.items()
        if fleet.has_successor(state, member)
    }
    servers = state.server_by_name.values()
    changes = table.resolve_pending_losses(
        state.quarantine,
        pending.keys() - replaced,
        {server.member.incarnation for server in servers if server.draining},
        now,
    )
    for incarnation in suspects.keys() - pending.keys():
        del suspects[incarnation]
    return _report(changes)


def _report(changes: list[CountChange]) -> list[Any]:
    if not changes:
        return []
    return [ReportLosses(changes), *(reporting.build_log(item) for item in changes)]


def merge_records(state: EntryState, update: cpb.WatchUpdate, now: int) -> None:
    """Merge the counts of all entries, as control reported them."""
    reporting.merge_records(state.quarantine, update.losses, update.wall_ms, now)


__all__ = [
    "CRASH_REASONS",
    "Loss",
    "admit",
    "check",
    "confirm_ends",
    "get_count",
    "identify_call",
    "identify_request",
    "merge_records",
    "record_answer",
    "record_loss",
    "resolve_pending_losses",
    "start_call_attempt",
    "start_request_attempt",
]

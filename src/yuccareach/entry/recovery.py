"""Recovery of model requests whose attempt failed or whose chain lost a member."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.entry import fleet, quarantine
from yuccareach.entry.events import IncrementCounter, Refusal
from yuccareach.entry.quarantine import Loss
from yuccareach.entry.requests import (
    RETRY_AFTER_S,
    build_log_fields,
    fail_request,
    join_server_names,
    open_attempt,
)
from yuccareach.outcome import Outcome
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState, Request

Effects = list[Any]
# How often a request may be recovered from backend servers that may still run it, as
# there is no proof that they have ended.
MAX_UNPROVEN_RECOVERIES = 6
# How often backend servers may refuse a request's attempts without running them.
MAX_REROUTES = 20


def handle_failed_attempt(state: EntryState, message: pb.Failed, now: int) -> Effects:
    """Open another attempt after an agent reported that one has failed."""
    request = state.request_by_id.get(message.request)
    if request is None or message.epoch != request.epoch:
        return []
    if message.outcome == pb.NOT_RUN:
        return _reroute(state, request, message, now)
    if message.reason not in ("resume_gap", "inputs_not_retained"):
        fleet.mark_suspected(state, message.backend_server, now)
    else:
        # The stages cannot resume from their state, so all of them run from the start.
        request.can_resume = False
    member = next(
        (item for item in request.chain if item.incarnation == message.incarnation),
        None,
    )
    loss = Loss(message.reason, message.incarnation, message.accepted, member)
    return _handle_loss(state, request, loss, now)


def _handle_loss(state: EntryState, request: Request, loss: Loss, now: int) -> Effects:
    """Record a loss and recover the request, unless the loss quarantines it."""
    effects = quarantine.record_loss(state, request.tracked_attempt, loss, now)
    request.loss_count = quarantine.get_count(state, request.fingerprint, now).losses
    quarantine_refusal = quarantine.check(state, request.fingerprint, now)
    if quarantine_refusal is not None:
        refusal = quarantine_refusal._replace(outcome=Outcome.UNKNOWN)
        return effects + fail_request(state, request, refusal, now)
    is_proven = loss.refused or loss.reason in quarantine.CRASH_REASONS
    left = loss.member or next(iter(request.chain), None)
    left = None if is_proven else left
    return effects + recover(state, request, loss.reason, now, left)


def _reroute(
    state: EntryState, request: Request, message: pb.Failed, now: int
) -> Effects:
    """Choose another chain after a backend server refused the attempt.

    It refuses while it drains or has no engine, or if this entry's view of it is stale.
    """
    server = state.server_by_name.get(message.backend_server)
    if server is not None and message.reason == "draining":
        server.draining = True
    elif server is not None:
        fleet.mark_suspected(state, message.backend_server, now)
    request.reroute_count += 1
    request.refused_by_incarnations.add(message.incarnation)
    if request.reroute_count > MAX_REROUTES:
        text = f"backend servers refused the request {request.reroute_count} times"
        refusal = Refusal(503, "refused", text, retry_after_s=RETRY_AFTER_S)
        return fail_request(state, request, refusal, now)
    return open_attempt(state, request, now)


def can_leave(request: Request) -> bool:
    """Return whether a request may leave another server that may still run it."""
    return len(request.left_members) < MAX_UNPROVEN_RECOVERIES


def recover(
    state: EntryState,
    request: Request,
    reason: str,
    now: int,
    left: cpb.Member | None = None,
) -> Effects:
    """Continue a request in a new epoch after a failed attempt, a loss or a stall.

    left is the backend server that is left and may still run the request; None if it is
    proven to have ended. An attempt that may go on must not be given up unless
    can_leave allows it.
    """
    request.interrupted_ms = request.interrupted_ms or now
    if left is not None and not can_leave(request):
        text = f"the request failed {len(request.left_members)} times, last by {reason}"
        refusal = Refusal(
            502, "failed_repeatedly", text, Outcome.UNKNOWN, RETRY_AFTER_S
        )
        return fail_request(state, request, refusal, now)
    if left is not None:
        request.left_members.append(left)
    fields = build_log_fields(request) | {
        "reason": reason,
        "chain": join_server_names(request.chain),
    }
    return [
        Log("recovering", fields),
        IncrementCounter("recoveries", reason),
        *open_attempt(state, request, now),
    ]


def handle_lost_link(
    state: EntryState, address: str, refused: bool, now: int
) -> Effects:
    """Recover the requests whose first stage lost its link to this entry.

    The first stage ends an attempt whose link is lost. A refused connection proves that
    the backend server has ended.
    """
    effects: Effects = []
    if refused:
        effects += quarantine.confirm_ends(state, address, now)
        for request in state.request_by_id.values():
            request.left_members = [
                member for member in request.left_members if member.address != address
            ]
    for request in list(state.request_by_id.values()):
        if request.chain and request.chain[0].address == address:
            fleet.mark_suspected(state, request.chain[0].backend_server, now)
            first = request.chain[0]
            accepted = request.accepted_by_first_stage
            loss = Loss("link_lost", first.incarnation, accepted, first, refused)
            effects += _handle_loss(state, request, loss, now)
    return effects


def handle_members_change(state: EntryState, now: int) -> Effects:
    """Recover the requests whose chain contains a backend server that has ended.

    One that has only departed may go on, and is left if the request stalls.
    """
    effects: Effects = []
    for request in list(state.request_by_id.values()):
        request.left_members = [
            member
            for member in request.left_members
            if not fleet.has_successor(state, member)
        ]
        if any(fleet.has_successor(state, member) for member in request.chain):
            effects += recover(state, request, "member_gone", now)
    return effects


__all__ = [
    "MAX_UNPROVEN_RECOVERIES",
    "can_leave",
    "handle_failed_attempt",
    "handle_lost_link",
    "handle_members_change",
    "recover",
]

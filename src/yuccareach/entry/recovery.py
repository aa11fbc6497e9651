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
from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState, Request

Effects = list[Any]
# How often a request may be recovered after a failed attempt, a loss or a stall.
MAX_FAILURES = 6
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
    loss = Loss(message.reason, message.incarnation, message.accepted)
    return _handle_loss(state, request, loss, now)


def _handle_loss(state: EntryState, request: Request, loss: Loss, now: int) -> Effects:
    """Record a loss and recover the request, unless the loss quarantines it."""
    effects = quarantine.record_loss(state, request.tracked_attempt, loss, now)
    request.loss_count = quarantine.get_count(state, request.fingerprint, now).losses
    quarantine_refusal = quarantine.check(state, request.fingerprint, now)
    if quarantine_refusal is not None:
        refusal = quarantine_refusal._replace(outcome=Outcome.UNKNOWN)
        return effects + fail_request(state, request, refusal, now)
    return effects + recover(state, request, loss.reason, now)


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


def recover(state: EntryState, request: Request, reason: str, now: int) -> Effects:
    """Continue a request in a new epoch after a failed attempt, a loss or a stall."""
    request.failure_count += 1
    request.interrupted_ms = request.interrupted_ms or now
    if request.failure_count > MAX_FAILURES:
        text = f"the request failed {request.failure_count} times, last by {reason}"
        refusal = Refusal(
            502, "failed_repeatedly", text, Outcome.UNKNOWN, RETRY_AFTER_S
        )
        return fail_request(state, request, refusal, now)
    fields = build_log_fields(request) | {
        "reason": reason,
        "chain": join_server_names(request.chain),
    }
    return [
        Log("recovering", fields),
        IncrementCounter("recoveries", reason),
        *open_attempt(state, request, now),
    ]


def handle_lost_link(state: EntryState, address: str, now: int) -> Effects:
    """Recover the requests whose first stage lost its link to this entry."""
    effects: Effects = []
    for request in list(state.request_by_id.values()):
        if request.chain and request.chain[0].address == address:
            fleet.mark_suspected(state, request.chain[0].backend_server, now)
            first_incarnation = request.chain[0].incarnation
            loss = Loss("link_lost", first_incarnation, request.accepted_by_first_stage)
            effects += _handle_loss(state, request, loss, now)
    return effects


def handle_members_change(state: EntryState, now: int) -> Effects:
    """Recover the requests whose chain contains a backend server that is gone."""
    effects: Effects = []
    for request in list(state.request_by_id.values()):
        if not all(fleet.is_present(state, member) for member in request.chain):
            effects += recover(state, request, "member_gone", now)
    return effects


__all__ = [
    "handle_failed_attempt",
    "handle_lost_link",
    "handle_members_change",
    "recover",
]

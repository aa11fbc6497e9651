"""Carrying model requests on after an attempt failed or part of a chain was lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.entry import fleet, quarantine
from yuccareach.entry.events import Count, Refusal
from yuccareach.entry.quarantine import Loss
from yuccareach.entry.requests import (
    RETRY_AFTER_S,
    chain_names,
    fail,
    log_fields,
    open_attempt,
)
from yuccareach.outcome import Outcome
from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState, Request

Effects = list[Any]
MAX_FAILURES = 6
MAX_REROUTES = 20


def failed(state: EntryState, message: pb.Failed, now: int) -> Effects:
    """Open another attempt after one has failed."""
    request = state.request_by_id.get(message.request)
    if request is None or message.epoch != request.epoch:
        return []
    if message.outcome == pb.NOT_RUN:
        return _reroute(state, request, message, now)
    if message.reason not in ("resume_gap", "inputs_not_retained"):
        fleet.mark_suspected(state, message.backend_server, now)
    else:
        # No state can be carried on, so every stage starts anew.
        request.can_resume = False
    loss = Loss(message.reason, message.incarnation, message.accepted)
    return _lost(state, request, loss, now)


def _lost(state: EntryState, request: Request, loss: Loss, now: int) -> Effects:
    """Recover from a loss, unless the request has caused too many."""
    effects = quarantine.record_loss(state, request, loss, now)
    request.loss_count = quarantine.get_loss_count(state, request.fingerprint, now)
    quarantined = quarantine.check(state, request.fingerprint, now)
    if quarantined is not None:
        ended = quarantined._replace(outcome=Outcome.UNKNOWN)
        return effects + fail(state, request, ended, now)
    return effects + recover(state, request, loss.reason, now)


def _reroute(
    state: EntryState, request: Request, message: pb.Failed, now: int
) -> Effects:
    """Choose again after a refusal; our view of that backend server was old."""
    server = state.server_by_name.get(message.backend_server)
    if server is not None and message.reason == "draining":
        server.draining = True
    elif server is not None:
        fleet.mark_suspected(state, message.backend_server, now)
    request.reroute_count += 1
    request.refused_by_incarnations.add(message.incarnation)
    if request.reroute_count > MAX_REROUTES:
        text = "backend servers kept refusing the request"
        refusal = Refusal(503, "refused", text, retry_after_s=RETRY_AFTER_S)
        return fail(state, request, refusal, now)
    return open_attempt(state, request, now)


def recover(state: EntryState, request: Request, reason: str, now: int) -> Effects:
    """Carry a request on in a new epoch after part of its chain was lost."""
    request.failure_count += 1
    request.interrupted_ms = request.interrupted_ms or now
    if request.failure_count > MAX_FAILURES:
        text = f"the request failed {request.failure_count} times, last by {reason}"
        refusal = Refusal(
            502, "failed_repeatedly", text, Outcome.UNKNOWN, RETRY_AFTER_S
        )
        return fail(state, request, refusal, now)
    fields = log_fields(request) | {
        "reason": reason,
        "chain": chain_names(request.chain),
    }
    return [
        Log("recovering", fields),
        Count("recoveries", reason),
        *open_attempt(state, request, now),
    ]


def link_lost(state: EntryState, address: str, now: int) -> Effects:
    """Recover the requests whose first stage cannot be reached."""
    effects: Effects = []
    for request in list(state.request_by_id.values()):
        if request.chain and request.chain[0].address == address:
            fleet.mark_suspected(state, request.chain[0].backend_server, now)
            first = request.chain[0].incarnation
            loss = Loss("link_lost", first, request.accepted_by_first_stage)
            effects += _lost(state, request, loss, now)
    return effects


def members_changed(state: EntryState, now: int) -> Effects:
    """Recover the requests whose chain holds a backend server that is gone."""
    effects: Effects = []
    for request in list(state.request_by_id.values()):
        if not all(fleet.is_present(state, member) for member in request.chain):
            effects += recover(state, request, "member_gone", now)
    return effects


__all__ = ["failed", "link_lost", "members_changed", "recover"]

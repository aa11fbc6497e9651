"""Finding the stage or link that holds up a request without failing.

A request without progress asks every stage how far it has come. A stage that does not
answer, an engine that does not finish what it was given, and a link that does not carry
what was sent are told apart by the counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.entry import fleet, recovery
from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.links import Send

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState, Request

Effects = list[Any]
MIN_STALL_TIMEOUT_MS = 400
FIRST_TOKEN_STALL_TIMEOUT_MS = 1_000
STALL_TOKEN_GAP_FACTOR = 5
PROBE_TIMEOUT_MS = 400
ENGINE_STALL_TIMEOUT_MS = 8_000


def tick(state: EntryState, now: int) -> Effects:
    """Probe stalled requests and recover those whose culprit is found."""
    effects: Effects = []
    for request in list(state.request_by_id.values()):
        if not request.chain or now - request.last_progress_ms < _stall_ms(request):
            continue
        if not request.probe_sent_ms:
            effects += _probe(request, now)
        elif now - request.probe_sent_ms >= PROBE_TIMEOUT_MS:
            effects += _judge(state, request, now)
    return effects


def _stall_ms(request: Request) -> float:
    """Return how long no token may come before the stages are asked."""
    if request.awaits_first_token:
        return (
            FIRST_TOKEN_STALL_TIMEOUT_MS if request.epoch == 1 else MIN_STALL_TIMEOUT_MS
        )
    return max(
        MIN_STALL_TIMEOUT_MS, STALL_TOKEN_GAP_FACTOR * request.smoothed_token_gap_ms
    )


def _probe(request: Request, now: int) -> Effects:
    request.probe_sent_ms = now
    request.probe_reply_by_stage = {}
    message = pb.Probe(request=request.identifier, epoch=request.epoch)
    return [Send(member.address, message) for member in request.chain]


def replied(state: EntryState, message: pb.ProbeReply) -> Effects:
    """Note how far a stage has come."""
    request = state.request_by_id.get(message.request)
    if request is not None and request.epoch == message.epoch and message.known:
        request.probe_reply_by_stage[message.stage] = message
    return []


def _judge(state: EntryState, request: Request, now: int) -> Effects:
    """Recover if a culprit shows, else probe again."""
    culprit = _culprit(request, now)
    if culprit is None and _stands_still(request, now):
        # Everyone waits for a message that was lost: start anew everywhere.
        request.can_resume = False
        return recovery.recover(state, request, "stalled", now)
    if culprit is None:
        request.previous_probe_reply_by_stage = request.probe_reply_by_stage
        return _probe(request, now)
    fleet.mark_suspected(state, request.chain[culprit].backend_server, now)
    return recovery.recover(state, request, "stalled", now)


def _stands_still(request: Request, now: int) -> bool:
    """Return whether nothing has moved between two probes, for long."""
    return now - request.last_progress_ms >= ENGINE_STALL_TIMEOUT_MS and (
        request.probe_reply_by_stage == request.previous_probe_reply_by_stage
    )


def _culprit(request: Request, now: int) -> int | None:
    """Return the stage to leave out, or None while it cannot be told."""
    replies, previous = (
        request.probe_reply_by_stage,
        request.previous_probe_reply_by_stage,
    )
    stages = range(len(request.chain))
    silent = next((stage for stage in stages if stage not in replies), None)
    if silent is not None:
        return silent
    for stage in stages[:-1]:
        sent, received = replies[stage].sent, replies[stage + 1].received
        stood_still = stage + 1 in previous and previous[stage + 1].received == received
        if sent > received and stood_still:
            return stage + 1
    if now - request.last_progress_ms < ENGINE_STALL_TIMEOUT_MS:
        return None
    return next(
        (
            stage
            for stage in stages
            if replies[stage].received > replies[stage].done
            and stage in previous
            and previous[stage].done == replies[stage].done
        ),
        None,
    )


__all__ = ["replied", "tick"]

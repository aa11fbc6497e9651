"""Detection of stages and links that stall a request without reporting a failure.

The entry probes every stage of a request that makes no progress. Each reply counts the
positions that the stage received, ran and sent on. The counts distinguish a stage that
does not answer, an engine that does not finish its steps, and a link that does not
deliver what was sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.entry import fleet, recovery
from yuccareach.entry.requests import build_log_fields
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
from yuccareach.runtime.links import Send
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState, Request

Effects = list[Any]
MIN_STALL_TIMEOUT_MS = 400
# Applies to the first token of a request's first attempt.
FIRST_TOKEN_STALL_TIMEOUT_MS = 1_000
# Multiplies the smoothed time between tokens.
STALL_TOKEN_GAP_FACTOR = 5
# After this time, the replies to a probe are evaluated.
PROBE_TIMEOUT_MS = 400
# Time without a token after which an engine counts as stalled.
ENGINE_STALL_TIMEOUT_MS = 8_000


def tick(state: EntryState, now: int) -> Effects:
    """Probe requests without progress, and recover those whose probe has timed out."""
    effects: Effects = []
    for request in list(state.request_by_id.values()):
        if (
            not request.chain
            or now - request.last_progress_ms < _compute_stall_timeout_ms(request)
        ):
            continue
        if not request.probe_sent_ms:
            effects += _probe_stages(request, now)
        elif now - request.probe_sent_ms >= PROBE_TIMEOUT_MS:
            effects += _recover_or_probe_again(state, request, now)
    return effects


def _compute_stall_timeout_ms(request: Request) -> float:
    """Return the time without a token after which the stages are probed."""
    if request.awaits_first_token:
        return (
            FIRST_TOKEN_STALL_TIMEOUT_MS if request.epoch == 1 else MIN_STALL_TIMEOUT_MS
        )
    return max(
        MIN_STALL_TIMEOUT_MS, STALL_TOKEN_GAP_FACTOR * request.smoothed_token_gap_ms
    )


def _probe_stages(request: Request, now: int) -> Effects:
    request.probe_sent_ms = now
    request.probe_reply_by_stage = {}
    message = pb.Probe(request=request.identifier, epoch=request.epoch)
    return [Send(member.address, message) for member in request.chain]


def record_probe_reply(state: EntryState, message: pb.ProbeReply) -> Effects:
    """Record how many positions a stage has received, run and sent on."""
    request = state.request_by_id.get(message.request)
    if request is not None and request.epoch == message.epoch and message.known:
        request.probe_reply_by_stage[message.stage] = message
    return []


def _recover_or_probe_again(state: EntryState, request: Request, now: int) -> Effects:
    """Recover the request if a stalled stage is found, otherwise probe again.

    The attempt may still go on. It is given up only if another one is possible now.
    """
    effects: Effects = []
    stalled_stage = _find_stalled_stage(request, now)
    if stalled_stage is not None:
        stalled = request.chain[stalled_stage]
        _suspect_once(state, request, stalled, now)
        if _can_replace(state, request, stalled, now):
            return recovery.recover(state, request, "stalled", now, stalled)
        effects += _log_wait(request)
    elif _has_no_progress(request, now):
        if recovery.can_leave(request):
            # Every stage waits for a message that was lost, so none may resume from the
            # state that it holds.
            request.can_resume = False
            return recovery.recover(state, request, "stalled", now, request.chain[0])
        effects += _log_wait(request)
    request.previous_probe_reply_by_stage = request.probe_reply_by_stage
    return effects + _probe_stages(request, now)


def _suspect_once(
    state: EntryState, request: Request, stalled: cpb.Member, now: int
) -> None:
    """Suspect a stalled backend server, unless this stall has made it suspected."""
    server = state.server_by_name.get(stalled.backend_server)
    if server is not None and server.last_suspected_ms <= request.last_progress_ms:
        fleet.mark_suspected(state, stalled.backend_server, now)


def _can_replace(
    state: EntryState, request: Request, stalled: cpb.Member, now: int
) -> bool:
    """Return whether the request can be continued without a stalled backend server."""
    if not recovery.can_leave(request):
        return False
    chain = fleet.choose_chain_for(state, request, now)
    return chain is not None and all(
        member.incarnation != stalled.incarnation for member in chain
    )


def _log_wait(request: Request) -> Effects:
    """Log once for each attempt that it is waited for."""
    if request.wait_logged:
        return []
    request.wait_logged = True
    return [Log("request_waits", build_log_fields(request) | {"reason": "stalled"})]


def _has_no_progress(request: Request, now: int) -> bool:
    """Return whether two probes in a row had the same replies, after a long stall."""
    return now - request.last_progress_ms >= ENGINE_STALL_TIMEOUT_MS and (
        request.probe_reply_by_stage == request.previous_probe_reply_by_stage
    )


def _find_stalled_stage(request: Request, now: int) -> int | None:
    """Return the stage to replace, or None if the replies do not show it yet.

    If positions were sent over a link and did not arrive, the stage that should have
    received them is replaced.
    """
    replies, previous = (
        request.probe_reply_by_stage,
        request.previous_probe_reply_by_stage,
    )
    stages = range(len(request.chain))
    silent_stage = next((stage for stage in stages if stage not in replies), None)
    if silent_stage is not None:
        return silent_stage
    for stage in stages[:-1]:
        sent, received = replies[stage].sent, replies[stage + 1].received
        has_received_no_more = (
            stage + 1 in previous and previous[stage + 1].received == received
        )
        if sent > received and has_received_no_more:
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


__all__ = ["record_probe_reply", "tick"]

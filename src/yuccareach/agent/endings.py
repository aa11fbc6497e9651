"""How attempts end at a stage: failures, cancels, idleness; and looking them up."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.agent.events import RunStep
from yuccareach.agent.state import MAX_CLOSED_EPOCHS
from yuccareach.proto import data_pb2 as pb, engine_pb2 as epb
from yuccareach.runtime.links import Send
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.agent.state import AgentState, Attempt

Effects = list[Any]
ATTEMPT_IDLE_MS = 120_000


def current(state: AgentState, request: str, epoch: int) -> Attempt | None:
    """Return an attempt if it runs here in just this epoch."""
    attempt = state.attempt_by_request.get(request)
    return attempt if attempt and attempt.open_message.epoch == epoch else None


def log_fields(attempt: Attempt) -> dict[str, Any]:
    return {
        "request": attempt.open_message.request,
        "epoch": attempt.open_message.epoch,
        "workspace": attempt.open_message.workspace,
        "stage": attempt.open_message.stage,
    }


def fail(attempt: Attempt, reason: str, stage: pb.Stage | None = None) -> Effects:
    """Report a failure of this stage, or of the next one."""
    accepted = stage is None or attempt.next_stage_accepted
    stage = stage or attempt.own_stage
    message = pb.Failed(
        request=attempt.open_message.request,
        epoch=attempt.open_message.epoch,
        reason=reason,
        outcome=pb.UNKNOWN,
        backend_server=stage.backend_server,
        incarnation=stage.incarnation,
        accepted=accepted,
    )
    target = (
        attempt.opened_by
        if attempt.is_first_stage
        else attempt.open_message.chain[0].address
    )
    fields = log_fields(attempt) | {"reason": reason, "failed": stage.backend_server}
    return [Send(target, message), Log("attempt_failed", fields)]


def failed(state: AgentState, message: pb.Failed) -> Effects:
    """Pass a failure on towards the entry; the first stage ends the attempt."""
    attempt = current(state, message.request, message.epoch)
    if attempt is None:
        return []
    target = (
        attempt.opened_by
        if attempt.is_first_stage
        else attempt.open_message.chain[0].address
    )
    return [Send(target, message)]


def cancel(state: AgentState, message: pb.Cancel) -> Effects:
    """End an attempt here and refuse its epochs from now on."""
    _remember_closed(state, message.request, message.epoch)
    attempt = state.attempt_by_request.get(message.request)
    if attempt is None or attempt.open_message.epoch > message.epoch:
        return []
    return drop(state, attempt)


def close_everywhere(state: AgentState, attempt: Attempt, reason: str) -> Effects:
    """End an attempt at every stage of its chain."""
    open_message = attempt.open_message
    _remember_closed(state, open_message.request, open_message.epoch)
    message = pb.Cancel(
        request=open_message.request, epoch=open_message.epoch, reason=reason
    )
    others = [stage for stage in open_message.chain if stage is not attempt.own_stage]
    return drop(state, attempt) + [
        Send(stage.address, message)
        for stage in others
        if stage.address != state.member.address
    ]


def _remember_closed(state: AgentState, request: str, epoch: int) -> None:
    closed = state.closed_epoch_by_request
    closed[request] = max(epoch, closed.pop(request, 0))
    if len(closed) > MAX_CLOSED_EPOCHS:
        closed.popitem(last=False)


def drop(state: AgentState, attempt: Attempt) -> Effects:
    """Forget an attempt and free its sequence at the engine."""
    state.attempt_by_request.pop(attempt.open_message.request, None)
    state.request_by_sequence.pop(attempt.sequence, None)
    state.retained_bytes -= len(attempt.retained_outputs)
    return [RunStep(epb.Step(sequence=attempt.sequence, cancel=True))]


def engine_lost(state: AgentState) -> Effects:
    """Report every attempt failed, since the engine's state is gone."""
    attempts = list(state.attempt_by_request.values())
    effects = [
        effect for attempt in attempts for effect in fail(attempt, "engine_lost")
    ]
    for attempt in attempts:
        effects += drop(state, attempt)
    return effects


def drop_idle(state: AgentState, now: int) -> Effects:
    """End attempts that nothing has touched for a long time."""
    idle = [
        attempt
        for attempt in state.attempt_by_request.values()
        if now - attempt.last_activity_ms > ATTEMPT_IDLE_MS
    ]
    return [effect for attempt in idle for effect in drop(state, attempt)]


def probe(state: AgentState, peer: str, message: pb.Probe) -> Effects:
    """Answer how far an attempt has come here."""
    reply = pb.ProbeReply(request=message.request, epoch=message.epoch)
    attempt = current(state, message.request, message.epoch)
    if attempt is not None:
        reply.known = True
        reply.stage = attempt.open_message.stage
        reply.received = attempt.received_end
        reply.done = attempt.computed_end
        reply.sent = attempt.sent_end
    return [Send(peer, reply)]


__all__ = [
    "cancel",
    "close_everywhere",
    "current",
    "drop",
    "drop_idle",
    "engine_lost",
    "fail",
    "failed",
    "log_fields",
    "probe",
]

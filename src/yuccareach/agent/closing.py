"""Ends attempts at a stage, on failure, cancellation or idleness, and finds them."""

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
ATTEMPT_IDLE_TIMEOUT_MS = 120_000


def find_attempt(state: AgentState, request: str, epoch: int) -> Attempt | None:
    """Return the attempt for a request if it runs here in exactly this epoch."""
    attempt = state.attempt_by_request.get(request)
    return attempt if attempt and attempt.open_message.epoch == epoch else None


def build_log_fields(attempt: Attempt) -> dict[str, Any]:
    return {
        "request": attempt.open_message.request,
        "epoch": attempt.open_message.epoch,
        "workspace": attempt.open_message.workspace,
        "stage": attempt.open_message.stage,
    }


def report_failure(
    attempt: Attempt, reason: str, stage: pb.Stage | None = None
) -> Effects:
    """Report a failure of this stage, or of the next stage if that is passed.

    The first stage reports to the entry; all others report to the first stage.
    """
    # Whether the failed stage had accepted the attempt.
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
    fields = build_log_fields(attempt) | {
        "reason": reason,
        "failed": stage.backend_server,
    }
    return [Send(target, message), Log("attempt_failed", fields)]


def forward_failure(state: AgentState, message: pb.Failed) -> Effects:
    """Forward a failure to the entry, by way of the first stage."""
    attempt = find_attempt(state, message.request, message.epoch)
    if attempt is None:
        return []
    target = (
        attempt.opened_by
        if attempt.is_first_stage
        else attempt.open_message.chain[0].address
    )
    return [Send(target, message)]


def cancel_attempt(state: AgentState, message: pb.Cancel) -> Effects:
    """End an attempt here; its epochs up to this one are refused from then on."""
    _record_closed_epoch(state, message.request, message.epoch)
    attempt = state.attempt_by_request.get(message.request)
    if attempt is None or attempt.open_message.epoch > message.epoch:
        return []
    return remove_attempt(state, attempt)


def close_at_all_stages(state: AgentState, attempt: Attempt, reason: str) -> Effects:
    """End an attempt at every stage of its chain."""
    open_message = attempt.open_message
    _record_closed_epoch(state, open_message.request, open_message.epoch)
    message = pb.Cancel(
        request=open_message.request, epoch=open_message.epoch, reason=reason
    )
    other_stages = [
        stage for stage in open_message.chain if stage is not attempt.own_stage
    ]
    return remove_attempt(state, attempt) + [
        Send(stage.address, message)
        for stage in other_stages
        if stage.address != state.member.address
    ]


def _record_closed_epoch(state: AgentState, request: str, epoch: int) -> None:
    closed_epochs = state.closed_epoch_by_request
    closed_epochs[request] = max(epoch, closed_epochs.pop(request, 0))
    if len(closed_epochs) > MAX_CLOSED_EPOCHS:
        closed_epochs.popitem(last=False)


def remove_attempt(state: AgentState, attempt: Attempt) -> Effects:
    """Remove an attempt and free its sequence at the engine."""
    state.attempt_by_request.pop(attempt.open_message.request, None)
    state.request_by_sequence.pop(attempt.sequence, None)
    state.retained_bytes -= len(attempt.retained_outputs)
    return [RunStep(epb.Step(sequence=attempt.sequence, cancel=True))]


def fail_all_attempts(state: AgentState) -> Effects:
    """Report every attempt as failed, since the engine has lost its sequences."""
    attempts = list(state.attempt_by_request.values())
    effects = [
        effect
        for attempt in attempts
        for effect in report_failure(attempt, "engine_lost")
    ]
    for attempt in attempts:
        effects += remove_attempt(state, attempt)
    return effects


def remove_idle_attempts(state: AgentState, now: int) -> Effects:
    """End attempts without activity for longer than ATTEMPT_IDLE_TIMEOUT_MS."""
    idle_attempts = [
        attempt
        for attempt in state.attempt_by_request.values()
        if now - attempt.last_activity_ms > ATTEMPT_IDLE_TIMEOUT_MS
    ]
    return [
        effect for attempt in idle_attempts for effect in remove_attempt(state, attempt)
    ]


def answer_probe(state: AgentState, peer: str, message: pb.Probe) -> Effects:
    """Answer which positions of an attempt were received, computed and sent here."""
    reply = pb.ProbeReply(request=message.request, epoch=message.epoch)
    attempt = find_attempt(state, message.request, message.epoch)
    if attempt is not None:
        reply.known = True
        reply.stage = attempt.open_message.stage
        reply.received = attempt.received_end
        reply.done = attempt.computed_end
        reply.sent = attempt.sent_end
    return [Send(peer, reply)]


__all__ = [
    "answer_probe",
    "build_log_fields",
    "cancel_attempt",
    "close_at_all_stages",
    "fail_all_attempts",
    "find_attempt",
    "forward_failure",
    "remove_attempt",
    "remove_idle_attempts",
    "report_failure",
]

"""Opening attempts at a stage, and carrying them on when a neighbour was lost."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from yuccareach.agent.closing import (
    build_log_fields,
    close_at_all_stages,
    find_attempt,
    remove_attempt,
    report_failure,
)
from yuccareach.agent.events import RunStep
from yuccareach.agent.forwarding import (
    copy_for_epoch,
    relay_token,
    resend_last_hop,
    send_outputs,
)
from yuccareach.agent.state import Attempt
from yuccareach.proto import data_pb2 as pb, engine_pb2 as epb
from yuccareach.route.chain import check_tiling
from yuccareach.route.errors import ChainGap
from yuccareach.runtime.links import Send
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.agent.state import AgentState

Effects = list[Any]
LINK_RETRIES = 1


def open_attempt(state: AgentState, peer: str, message: pb.Open, now: int) -> Effects:
    """Start an attempt, or carry one on in a later epoch."""
    reason = _refusal(state, message)
    if reason is not None:
        state.counters.refused += 1
        return _refuse(peer, message, reason, state)
    known = state.attempt_by_request.get(message.request)
    if known is not None and message.epoch <= known.open_message.epoch:
        state.counters.duplicates += 1
        return _repeat_ready(known, message)
    if (
        known is not None
        and message.resume
        and known.own_stage.end_layer == _own(message)
    ):
        return _resume(known, peer, message, now)
    effects = remove_attempt(state, known) if known is not None else []
    attempt = Attempt(message, peer, now)
    state.attempt_by_request[message.request] = attempt
    state.request_by_sequence[attempt.sequence] = message.request
    attempt.waits_for_ready = message.resume and not attempt.is_last_stage
    if attempt.is_first_stage:
        attempt.prompt_tokens = message.prompt_tokens
        effects.append(_prefill(attempt))
        effects.append(Log("attempt_opened", build_log_fields(attempt), logging.DEBUG))
    effects.append(_ready(attempt))
    return effects + _forward_open(attempt)


def _repeat_ready(known: Attempt, message: pb.Open) -> Effects:
    """Tell the stage before again what is needed: the link may have lost it."""
    return [_ready(known)] if message.epoch == known.open_message.epoch else []


def _own(message: pb.Open) -> int:
    return message.chain[message.stage].end_layer


def _refusal(state: AgentState, message: pb.Open) -> str | None:
    """Return why an attempt cannot run here, or None."""
    member = state.member
    if message.stage >= len(message.chain):
        return "bad_route"
    own = message.chain[message.stage]
    if own.incarnation != member.incarnation:
        return "other_incarnation"
    if (own.first_layer, own.end_layer) != (member.first_layer, member.end_layer):
        return "other_layers"
    if message.pipeline != member.pipeline or message.layers != member.layers:
        return "other_model"
    try:
        check_tiling(message.chain, message.layers)
    except ChainGap:
        return "bad_route"
    if message.epoch <= state.closed_epoch_by_request.get(message.request, 0):
        return "closed_epoch"
    if not state.engine_ready:
        return "engine_lost"
    if state.draining and message.request not in state.attempt_by_request:
        return "draining"
    return None


def _refuse(peer: str, message: pb.Open, reason: str, state: AgentState) -> Effects:
    failed = pb.Failed(
        request=message.request,
        epoch=message.epoch,
        reason=reason,
        outcome=pb.NOT_RUN,
        backend_server=state.member.backend_server,
        incarnation=state.member.incarnation,
    )
    target = peer if message.stage == 0 else message.chain[0].address
    fields = {"request": message.request, "epoch": message.epoch, "reason": reason}
    return [Send(target, failed), Log("attempt_refused", fields)]


def _prefill(attempt: Attempt) -> RunStep:
    message = attempt.open_message
    return RunStep(
        epb.Step(
            sequence=attempt.sequence,
            prompt=message.prompt,
            tokens=message.delivered,
            priority=message.priority,
        )
    )


def _forward_open(attempt: Attempt) -> Effects:
    """Tell the next stage of the attempt."""
    if attempt.is_last_stage:
        return []
    forward = pb.Open()
    forward.CopyFrom(attempt.open_message)
    forward.stage += 1
    forward.prompt = ""
    return [Send(attempt.next_address, forward)]


def _ready(attempt: Attempt) -> Send:
    """Tell the stage before, or the entry, that this stage has the attempt."""
    stages = attempt.open_message.chain
    before = attempt.opened_by
    if not attempt.is_first_stage:
        before = stages[attempt.open_message.stage - 1].address
    return Send(
        before,
        pb.Ready(
            request=attempt.open_message.request,
            epoch=attempt.open_message.epoch,
            position=attempt.received_end,
        ),
    )


def _resume(attempt: Attempt, peer: str, message: pb.Open, now: int) -> Effects:
    """Carry an attempt on in a new epoch with the state that lives here."""
    attempt.open_message = message
    attempt.opened_by = peer
    attempt.last_activity_ms = now
    attempt.link_failures = 0
    attempt.waits_for_ready = not attempt.is_last_stage
    attempt.next_stage_accepted = False
    effects = [*_forward_open(attempt), _ready(attempt)]
    if attempt.is_first_stage:
        if len(attempt.generated_tokens) < len(message.delivered):
            return effects + report_failure(attempt, "resume_gap")
        effects += [
            relay_token(attempt, token)
            for token in attempt.generated_tokens[len(message.delivered) :]
        ]
    if attempt.is_last_stage:
        effects += _resend_tokens(attempt)
    return effects


def _resend_tokens(attempt: Attempt) -> Effects:
    """Send the first stage again the tokens that the entry has not got."""
    message = attempt.open_message
    start = message.prompt_tokens + len(message.delivered) - 1
    return [
        Send(message.chain[0].address, copy_for_epoch(token, message.epoch))
        for token in attempt.sent_tokens
        if token.position >= start
    ]


def ready(state: AgentState, message: pb.Ready, now: int) -> Effects:
    """Send the next stage everything from the position it needs."""
    attempt = find_attempt(state, message.request, message.epoch)
    if attempt is None:
        return []
    attempt.last_activity_ms = now
    attempt.next_stage_accepted = True
    if not attempt.waits_for_ready and not message.position:
        # The first Ready of a new attempt: nothing has to be sent again.
        return []
    attempt.waits_for_ready = False
    if message.position < attempt.retained_start:
        return report_failure(attempt, "inputs_not_retained")
    attempt.sent_end = attempt.last_hop_start = message.position
    return send_outputs(state, attempt)


def link_lost(state: AgentState, peer: str) -> Effects:
    """Try a lost neighbour once more, then report it failed; end orphans."""
    effects: Effects = []
    for attempt in list(state.attempt_by_request.values()):
        if attempt.is_first_stage and attempt.opened_by == peer:
            effects += close_at_all_stages(state, attempt, "entry_lost")
        elif attempt.next_address == peer and peer != state.member.address:
            effects += _neighbour_lost(state, attempt)
    return effects


def _neighbour_lost(state: AgentState, attempt: Attempt) -> Effects:
    attempt.link_failures += 1
    if attempt.link_failures > LINK_RETRIES + 1:
        return []
    if attempt.link_failures > LINK_RETRIES:
        if attempt.is_last_stage:
            # Only the entry can tell that the first stage is lost.
            return []
        lost = attempt.open_message.chain[attempt.open_message.stage + 1]
        return report_failure(attempt, "stage_lost", lost)
    if attempt.is_last_stage:
        return [Send(attempt.next_address, item) for item in attempt.sent_tokens[-1:]]
    return _forward_open(attempt) + resend_last_hop(attempt)


__all__ = [
    "link_lost",
    "open_attempt",
    "ready",
]

"""Opens attempts at a stage, and resumes them when an adjacent stage was lost."""

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
# Reconnects to the next stage in one epoch before its loss is reported.
MAX_LINK_RETRIES = 1


def open_attempt(state: AgentState, peer: str, message: pb.Open, now: int) -> Effects:
    """Start an attempt, or resume an existing one in a later epoch."""
    reason = _find_refusal_reason(state, message)
    if reason is not None:
        state.counters.refused += 1
        return _refuse_attempt(peer, message, reason, state)
    existing_attempt = state.attempt_by_request.get(message.request)
    if (
        existing_attempt is not None
        and message.epoch <= existing_attempt.open_message.epoch
    ):
        state.counters.duplicates += 1
        return _answer_repeated_open(existing_attempt, message)
    if (
        existing_attempt is not None
        and message.resume
        and existing_attempt.own_stage.end_layer == _get_end_layer(message)
    ):
        return _resume_attempt(existing_attempt, peer, message, now)
    effects = (
        remove_attempt(state, existing_attempt) if existing_attempt is not None else []
    )
    attempt = Attempt(message, peer, now)
    state.attempt_by_request[message.request] = attempt
    state.request_by_sequence[attempt.sequence] = message.request
    attempt.waits_for_ready = message.resume and not attempt.is_last_stage
    if attempt.is_first_stage:
        attempt.prompt_tokens = message.prompt_tokens
        effects.append(_build_prefill(attempt))
        effects.append(Log("attempt_opened", build_log_fields(attempt), logging.DEBUG))
    effects.append(_send_ready(attempt))
    return effects + _forward_open(attempt)


def _answer_repeated_open(existing_attempt: Attempt, message: pb.Open) -> Effects:
    """Send Ready again for an Open of the same epoch: the link may have lost it."""
    return (
        [_send_ready(existing_attempt)]
        if message.epoch == existing_attempt.open_message.epoch
        else []
    )


def _get_end_layer(message: pb.Open) -> int:
    return message.chain[message.stage].end_layer


def _find_refusal_reason(state: AgentState, message: pb.Open) -> str | None:
    """Return the reason why an attempt cannot run here, or None."""
    member = state.member
    if message.stage >= len(message.chain):
        return "bad_route"
    own_stage = message.chain[message.stage]
    if own_stage.incarnation != member.incarnation:
        return "other_incarnation"
    if (own_stage.first_layer, own_stage.end_layer) != (
        member.first_layer,
        member.end_layer,
    ):
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


def _refuse_attempt(
    peer: str, message: pb.Open, reason: str, state: AgentState
) -> Effects:
    failure = pb.Failed(
        request=message.request,
        epoch=message.epoch,
        reason=reason,
        outcome=pb.NOT_RUN,
        backend_server=state.member.backend_server,
        incarnation=state.member.incarnation,
    )
    target = peer if message.stage == 0 else message.chain[0].address
    fields = {"request": message.request, "epoch": message.epoch, "reason": reason}
    return [Send(target, failure), Log("attempt_refused", fields)]


def _build_prefill(attempt: Attempt) -> RunStep:
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
    """Open the attempt at the next stage; only the first stage needs the prompt."""
    if attempt.is_last_stage:
        return []
    forwarded = pb.Open()
    forwarded.CopyFrom(attempt.open_message)
    forwarded.stage += 1
    forwarded.prompt = ""
    return [Send(attempt.next_address, forwarded)]


def _send_ready(attempt: Attempt) -> Send:
    """Report to the previous stage, or the entry, the position needed next."""
    stages = attempt.open_message.chain
    previous_peer = attempt.opened_by
    if not attempt.is_first_stage:
        previous_peer = stages[attempt.open_message.stage - 1].address
    return Send(
        previous_peer,
        pb.Ready(
            request=attempt.open_message.request,
            epoch=attempt.open_message.epoch,
            position=attempt.received_end,
        ),
    )


def _resume_attempt(attempt: Attempt, peer: str, message: pb.Open, now: int) -> Effects:
    """Resume an attempt in a new epoch with the state that this agent holds.

    Tokens that the entry has not received are sent again.
    """
    attempt.open_message = message
    attempt.opened_by = peer
    attempt.last_activity_ms = now
    attempt.link_failures = 0
    attempt.waits_for_ready = not attempt.is_last_stage
    attempt.next_stage_accepted = False
    effects = [*_forward_open(attempt), _send_ready(attempt)]
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
    """Send the first stage again the tokens that the entry has not received."""
    message = attempt.open_message
    start = message.prompt_tokens + len(message.delivered) - 1
    return [
        Send(message.chain[0].address, copy_for_epoch(token, message.epoch))
        for token in attempt.sent_tokens
        if token.position >= start
    ]


def handle_ready(state: AgentState, message: pb.Ready, now: int) -> Effects:
    """Send the next stage all outputs from the position that it needs."""
    attempt = find_attempt(state, message.request, message.epoch)
    if attempt is None:
        return []
    attempt.last_activity_ms = now
    attempt.next_stage_accepted = True
    if not attempt.waits_for_ready and not message.position:
        # The first Ready of a new attempt: nothing has to be sent again, since no
        # outputs were held back.
        return []
    attempt.waits_for_ready = False
    if message.position < attempt.retained_start:
        return report_failure(attempt, "inputs_not_retained")
    attempt.sent_end = attempt.last_hop_start = message.position
    return send_outputs(state, attempt)


def handle_link_loss(state: AgentState, peer: str) -> Effects:
    """Reconnect to a lost stage once, then report it as failed.

    An attempt whose entry was lost is closed at all stages.
    """
    effects: Effects = []
    for attempt in list(state.attempt_by_request.values()):
        if attempt.is_first_stage and attempt.opened_by == peer:
            effects += close_at_all_stages(state, attempt, "entry_lost")
        elif attempt.next_address == peer and peer != state.member.address:
            effects += _handle_next_stage_loss(state, attempt)
    return effects


def _handle_next_stage_loss(state: AgentState, attempt: Attempt) -> Effects:
    attempt.link_failures += 1
    if attempt.link_failures > MAX_LINK_RETRIES + 1:
        # The loss has been reported in this epoch.
        return []
    if attempt.link_failures > MAX_LINK_RETRIES:
        if attempt.is_last_stage:
            # Only the entry can detect the loss of the first stage: failures are
            # reported through that stage.
            return []
        lost_stage = attempt.open_message.chain[attempt.open_message.stage + 1]
        return report_failure(attempt, "stage_lost", lost_stage)
    if attempt.is_last_stage:
        return [Send(attempt.next_address, item) for item in attempt.sent_tokens[-1:]]
    return _forward_open(attempt) + resend_last_hop(attempt)


__all__ = [
    "handle_link_loss",
    "handle_ready",
    "open_attempt",
]

"""Forwards activations and tokens through a stage, each position once and in order.

A stage accepts only the position that it expects next. It retains the outputs that it
has sent, so that a replacement of the next stage is filled without running this stage
again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.agent.closing import close_at_all_stages, find_attempt, report_failure
from yuccareach.agent.events import RunStep
from yuccareach.proto import data_pb2 as pb, engine_pb2 as epb
from yuccareach.runtime.links import Send

if TYPE_CHECKING:
    from yuccareach.agent.state import AgentState, Attempt

Effects = list[Any]


def receive_hop(state: AgentState, peer: str, message: pb.Hop, now: int) -> Effects:
    """Queue the positions of a hop that are new here; discard the others.

    A hop that holds no new position is answered with what was sent last.
    """
    attempt = find_attempt(state, message.request, message.epoch)
    if attempt is None:
        return _report_unknown_attempt(state, peer, message)
    attempt.last_activity_ms = now
    if message.first_layer != attempt.own_stage.first_layer:
        return report_failure(attempt, "wrong_layer")
    if message.position > attempt.received_end:
        return report_failure(attempt, "position_gap")
    end = message.position + message.count
    if end <= attempt.received_end:
        state.counters.duplicates += 1
        return _answer_repeated_hop(state, attempt)
    bytes_per_position = len(message.activation) // message.count
    skipped_count = attempt.received_end - message.position
    step = epb.Step(
        sequence=attempt.sequence,
        position=attempt.received_end,
        count=end - attempt.received_end,
        activation=message.activation[skipped_count * bytes_per_position :],
        priority=attempt.open_message.priority,
    )
    attempt.received_end = end
    return [RunStep(step)]


def _report_unknown_attempt(state: AgentState, peer: str, message: pb.Hop) -> Effects:
    """Report that no such attempt runs here, unless the epoch of the hop has ended."""
    known_attempt = state.attempt_by_request.get(message.request)
    closed_epoch = state.closed_epoch_by_request.get(message.request, 0)
    if message.epoch <= max(
        closed_epoch, known_attempt.open_message.epoch if known_attempt else 0
    ):
        state.counters.stale += 1
        return []
    failure = pb.Failed(
        request=message.request,
        epoch=message.epoch,
        reason="unknown_attempt",
        outcome=pb.UNKNOWN,
        backend_server=state.member.backend_server,
        incarnation=state.member.incarnation,
    )
    return [Send(peer, failure)]


def handle_step_result(state: AgentState, result: epb.StepResult, now: int) -> Effects:
    """Forward the output of an engine step."""
    request = state.request_by_sequence.get(result.sequence)
    attempt = state.attempt_by_request.get(request) if request else None
    if attempt is None:
        state.counters.stale += 1
        return []
    attempt.last_activity_ms = now
    state.counters.steps += 1
    if result.error:
        return report_failure(attempt, result.error)
    attempt.computed_end = result.position + result.count
    attempt.received_end = max(attempt.received_end, attempt.computed_end)
    if attempt.is_first_stage and not attempt.prompt_tokens:
        attempt.prompt_tokens = result.count - len(attempt.open_message.delivered)
    if not attempt.is_last_stage:
        _retain_output(state, attempt, result)
        effects = send_outputs(state, attempt)
    else:
        effects = _return_sampled_token(state, attempt, result, now)
    if attempt.is_first_stage:
        effects += _process_next_token(state, attempt)
    return effects


def _return_sampled_token(
    state: AgentState, attempt: Attempt, result: epb.StepResult, now: int
) -> Effects:
    """Send a token that the last stage sampled to the first stage."""
    token = pb.Token(
        request=attempt.open_message.request,
        epoch=attempt.open_message.epoch,
        position=attempt.computed_end - 1,
        token=result.token,
        text=result.text,
        finish_reason="stop" if result.end_of_sequence else "",
    )
    attempt.sent_tokens.append(token)
    if attempt.is_first_stage:
        return receive_token(state, token, now)
    return [Send(attempt.open_message.chain[0].address, token)]


def _retain_output(state: AgentState, attempt: Attempt, result: epb.StepResult) -> None:
    """Retain an output to refill a replacement of the next stage.

    Above the memory limit, the attempt with the largest outputs loses those sent.
    """
    attempt.bytes_per_position = len(result.activation) // result.count
    attempt.retained_outputs += result.activation
    state.retained_bytes += len(result.activation)
    if state.retained_bytes <= state.max_retained_bytes:
        return
    largest_attempt = max(
        state.attempt_by_request.values(), key=lambda item: len(item.retained_outputs)
    )
    _release_outputs(state, largest_attempt)


def _release_outputs(state: AgentState, attempt: Attempt) -> None:
    """Discard the retained outputs of one attempt, except those not yet sent."""
    first_unsent_position = min(attempt.sent_end, attempt.computed_end)
    size = (
        max(0, first_unsent_position - attempt.retained_start)
        * attempt.bytes_per_position
    )
    del attempt.retained_outputs[:size]
    attempt.retained_start = max(first_unsent_position, attempt.retained_start)
    state.retained_bytes -= size


def send_outputs(state: AgentState, attempt: Attempt) -> Effects:
    """Send the next stage all outputs that were not sent to it before."""
    if (
        attempt.waits_for_ready
        or attempt.sent_end >= attempt.computed_end
        or attempt.is_last_stage
    ):
        return []
    message = _build_hop(attempt, attempt.sent_end, attempt.computed_end)
    attempt.last_hop_start = attempt.sent_end
    attempt.sent_end = attempt.computed_end
    return [Send(attempt.next_address, message)]


def _build_hop(attempt: Attempt, start: int, end: int) -> pb.Hop:
    bytes_per_position = attempt.bytes_per_position
    start_byte = (start - attempt.retained_start) * bytes_per_position
    end_byte = (end - attempt.retained_start) * bytes_per_position
    return pb.Hop(
        request=attempt.open_message.request,
        epoch=attempt.open_message.epoch,
        position=start,
        count=end - start,
        first_layer=attempt.own_stage.end_layer,
        activation=bytes(attempt.retained_outputs[start_byte:end_byte]),
    )


def resend_last_hop(attempt: Attempt) -> Effects:
    """Send the last hop again, as far as its outputs are retained."""
    start = max(attempt.retained_start, attempt.last_hop_start)
    # While this stage is being refilled, the next one may have received more positions
    # than this one has computed.
    end = min(attempt.sent_end, attempt.computed_end)
    if start >= end:
        return []
    return [Send(attempt.next_address, _build_hop(attempt, start, end))]


def receive_token(state: AgentState, token: pb.Token, now: int) -> Effects:
    """Receive a sampled token at the first stage."""
    attempt = find_attempt(state, token.request, token.epoch)
    if attempt is None or not attempt.is_first_stage:
        state.counters.stale += 1
        return []
    attempt.last_activity_ms = now
    if token.position < attempt.received_end - 1:
        state.counters.duplicates += 1
        return []
    attempt.token_by_position[token.position] = token
    return _process_next_token(state, attempt)


def _process_next_token(state: AgentState, attempt: Attempt) -> Effects:
    """Relay the next token to the entry and run the first stage on it.

    Does nothing until that token has arrived and all earlier positions are computed.
    """
    if attempt.computed_end != attempt.received_end:
        return []
    token = attempt.token_by_position.pop(attempt.computed_end - 1, None)
    if token is None:
        return []
    index = attempt.computed_end - attempt.prompt_tokens
    relayed_token = pb.Token()
    relayed_token.CopyFrom(token)
    relayed_token.index = index
    relayed_token.prompt_tokens = attempt.prompt_tokens
    if not relayed_token.finish_reason and index + 1 >= attempt.open_message.max_tokens:
        relayed_token.finish_reason = "length"
    # Empty tokens stand for those generated before this agent became the first stage.
    missing_count = index - len(attempt.generated_tokens)
    attempt.generated_tokens += [pb.Token()] * missing_count + [relayed_token]
    state.counters.tokens += 1
    effects: Effects = [relay_token(attempt, relayed_token)]
    if relayed_token.finish_reason:
        return effects + close_at_all_stages(state, attempt, "finished")
    step = epb.Step(
        sequence=attempt.sequence,
        position=attempt.received_end,
        count=1,
        tokens=[token.token],
        priority=attempt.open_message.priority,
    )
    attempt.received_end += 1
    return [*effects, RunStep(step)]


def relay_token(attempt: Attempt, token: pb.Token) -> Send:
    return Send(attempt.opened_by, copy_for_epoch(token, attempt.open_message.epoch))


def _answer_repeated_hop(state: AgentState, attempt: Attempt) -> Effects:
    """Answer a repeated hop with what was sent last, once all steps are computed."""
    if attempt.received_end != attempt.computed_end:
        return []
    if attempt.is_last_stage:
        return [Send(attempt.next_address, attempt.sent_tokens[-1])]
    return resend_last_hop(attempt)


def copy_for_epoch(token: pb.Token, epoch: int) -> pb.Token:
    copy = pb.Token()
    copy.CopyFrom(token)
    copy.epoch = epoch
    return copy


__all__ = [
    "copy_for_epoch",
    "handle_step_result",
    "receive_hop",
    "receive_token",
    "relay_token",
    "resend_last_hop",
    "send_outputs",
]

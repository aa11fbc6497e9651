"""Positions and tokens that pass through a stage, each once and in order.

A stage accepts the position it expects and nothing else. It keeps what it sent on, so
that a replacement of the next stage is filled without running this one again.
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


def hop(state: AgentState, peer: str, message: pb.Hop, now: int) -> Effects:
    """Accept the positions that come next; discard those received before."""
    attempt = find_attempt(state, message.request, message.epoch)
    if attempt is None:
        return _unknown_attempt(state, peer, message)
    attempt.last_activity_ms = now
    if message.first_layer != attempt.own_stage.first_layer:
        return report_failure(attempt, "wrong_layer")
    if message.position > attempt.received_end:
        return report_failure(attempt, "position_gap")
    end = message.position + message.count
    if end <= attempt.received_end:
        state.counters.duplicates += 1
        return _resend_last(state, attempt)
    width = len(message.activation) // message.count
    skipped = attempt.received_end - message.position
    step = epb.Step(
        sequence=attempt.sequence,
        position=attempt.received_end,
        count=end - attempt.received_end,
        activation=message.activation[skipped * width :],
        priority=attempt.open_message.priority,
    )
    attempt.received_end = end
    return [RunStep(step)]


def _unknown_attempt(state: AgentState, peer: str, message: pb.Hop) -> Effects:
    """Tell the sender of a hop that no such attempt runs here, unless it is old."""
    known = state.attempt_by_request.get(message.request)
    closed = state.closed_epoch_by_request.get(message.request, 0)
    if message.epoch <= max(closed, known.open_message.epoch if known else 0):
        state.counters.stale += 1
        return []
    failed = pb.Failed(
        request=message.request,
        epoch=message.epoch,
        reason="unknown_attempt",
        outcome=pb.UNKNOWN,
        backend_server=state.member.backend_server,
        incarnation=state.member.incarnation,
    )
    return [Send(peer, failed)]


def step_done(state: AgentState, result: epb.StepResult, now: int) -> Effects:
    """Send on what the engine computed."""
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
        _retain(state, attempt, result)
        effects = send_on(state, attempt)
    else:
        effects = _token_sampled(state, attempt, result, now)
    if attempt.is_first_stage:
        effects += _take_tokens(state, attempt)
    return effects


def _token_sampled(
    state: AgentState, attempt: Attempt, result: epb.StepResult, now: int
) -> Effects:
    """Return a sampled token to the first stage."""
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
        return take_token(state, token, now)
    return [Send(attempt.open_message.chain[0].address, token)]


def _retain(state: AgentState, attempt: Attempt, result: epb.StepResult) -> None:
    """Keep an output for refilling the next stage, within the memory limit."""
    attempt.bytes_per_position = len(result.activation) // result.count
    attempt.retained_outputs += result.activation
    state.retained_bytes += len(result.activation)
    if state.retained_bytes <= state.max_retained_bytes:
        return
    largest = max(
        state.attempt_by_request.values(), key=lambda item: len(item.retained_outputs)
    )
    _release(state, largest)


def _release(state: AgentState, attempt: Attempt) -> None:
    """Give up the outputs kept for one attempt, but for those not yet sent."""
    kept_from = min(attempt.sent_end, attempt.computed_end)
    size = max(0, kept_from - attempt.retained_start) * attempt.bytes_per_position
    del attempt.retained_outputs[:size]
    attempt.retained_start = max(kept_from, attempt.retained_start)
    state.retained_bytes -= size


def send_on(state: AgentState, attempt: Attempt) -> Effects:
    """Send the next stage all outputs that it has not been sent."""
    if (
        attempt.waits_for_ready
        or attempt.sent_end >= attempt.computed_end
        or attempt.is_last_stage
    ):
        return []
    hop_message = _hop(attempt, attempt.sent_end, attempt.computed_end)
    attempt.last_hop_start = attempt.sent_end
    attempt.sent_end = attempt.computed_end
    return [Send(attempt.next_address, hop_message)]


def _hop(attempt: Attempt, start: int, end: int) -> pb.Hop:
    width = attempt.bytes_per_position
    first = (start - attempt.retained_start) * width
    last = (end - attempt.retained_start) * width
    return pb.Hop(
        request=attempt.open_message.request,
        epoch=attempt.open_message.epoch,
        position=start,
        count=end - start,
        first_layer=attempt.own_stage.end_layer,
        activation=bytes(attempt.retained_outputs[first:last]),
    )


def last_hop(attempt: Attempt) -> Effects:
    """Send again the last positions sent on, as far as they are kept."""
    start = max(attempt.retained_start, attempt.last_hop_start)
    # The next stage may be ahead of this one, which is being refilled.
    end = min(attempt.sent_end, attempt.computed_end)
    if start >= end:
        return []
    return [Send(attempt.next_address, _hop(attempt, start, end))]


def take_token(state: AgentState, token: pb.Token, now: int) -> Effects:
    """Take a token that came back to the first stage."""
    attempt = find_attempt(state, token.request, token.epoch)
    if attempt is None or not attempt.is_first_stage:
        state.counters.stale += 1
        return []
    attempt.last_activity_ms = now
    if token.position < attempt.received_end - 1:
        state.counters.duplicates += 1
        return []
    attempt.token_by_position[token.position] = token
    return _take_tokens(state, attempt)


def _take_tokens(state: AgentState, attempt: Attempt) -> Effects:
    """Relay the next token and run the first stage on it, once it has come."""
    if attempt.computed_end != attempt.received_end:
        return []
    token = attempt.token_by_position.pop(attempt.computed_end - 1, None)
    if token is None:
        return []
    index = attempt.computed_end - attempt.prompt_tokens
    relayed = pb.Token()
    relayed.CopyFrom(token)
    relayed.index = index
    relayed.prompt_tokens = attempt.prompt_tokens
    if not relayed.finish_reason and index + 1 >= attempt.open_message.max_tokens:
        relayed.finish_reason = "length"
    missing = index - len(attempt.generated_tokens)
    attempt.generated_tokens += [pb.Token()] * missing + [relayed]
    state.counters.tokens += 1
    effects: Effects = [relay(attempt, relayed)]
    if relayed.finish_reason:
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


def relay(attempt: Attempt, token: pb.Token) -> Send:
    return Send(attempt.opened_by, in_epoch(token, attempt.open_message.epoch))


def _resend_last(state: AgentState, attempt: Attempt) -> Effects:
    """Answer a repeated hop with what was last sent on."""
    if attempt.received_end != attempt.computed_end:
        return []
    if attempt.is_last_stage:
        return [Send(attempt.next_address, attempt.sent_tokens[-1])]
    return last_hop(attempt)


def in_epoch(token: pb.Token, epoch: int) -> pb.Token:
    copy = pb.Token()
    copy.CopyFrom(token)
    copy.epoch = epoch
    return copy


__all__ = [
    "hop",
    "in_epoch",
    "last_hop",
    "relay",
    "send_on",
    "step_done",
    "take_token",
]

"""Stages of model requests: order, deduplication, hops and recovery.

Every stage counts positions. It accepts the position it expects and nothing else, so
that its layers run once for each token, in order. A stage keeps what it sent on, so
that a replacement of the next stage is filled without running this one again.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from yuccareach.agent.events import RunStep
from yuccareach.agent.state import CLOSED_ATTEMPTS_KEPT, Attempt
from yuccareach.proto import data_pb2 as pb, engine_pb2 as epb
from yuccareach.route.chain import check_tiling
from yuccareach.route.errors import ChainGap
from yuccareach.runtime.links import Send
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.agent.state import AgentState

Effects = list[Any]
ATTEMPT_IDLE_MS = 120_000
LINK_RETRIES = 1


def open_attempt(state: AgentState, peer: str, opened: pb.Open, now: int) -> Effects:
    """Start an attempt, or carry one on in a later epoch."""
    reason = _refusal(state, opened)
    if reason is not None:
        state.counters.refused += 1
        return _refuse(peer, opened, reason, state)
    known = state.attempt_by_request.get(opened.request)
    if known is not None and opened.epoch <= known.opened.epoch:
        state.counters.duplicates += 1
        return _repeat_ready(known, opened)
    if known is not None and opened.resume and known.own.end_layer == _own(opened):
        return _resume(known, peer, opened, now)
    effects = _drop(state, known) if known is not None else []
    attempt = Attempt(opened, peer, now)
    state.attempt_by_request[opened.request] = attempt
    state.request_by_sequence[attempt.sequence] = opened.request
    attempt.waits_for_ready = opened.resume and not attempt.last
    if attempt.first:
        attempt.prompt_tokens = opened.prompt_tokens
        effects.append(_prefill(attempt))
        effects.append(Log("attempt_opened", _fields(attempt), logging.DEBUG))
    effects.append(_ready(attempt))
    return effects + _forward_open(attempt)


def _repeat_ready(known: Attempt, opened: pb.Open) -> Effects:
    """Tell the stage before again what is needed: the link may have lost it."""
    return [_ready(known)] if opened.epoch == known.opened.epoch else []


def _own(opened: pb.Open) -> int:
    return opened.chain[opened.stage].end_layer


def _refusal(state: AgentState, opened: pb.Open) -> str | None:
    """Return why an attempt cannot run here, or None."""
    member = state.member
    if opened.stage >= len(opened.chain):
        return "bad_route"
    own = opened.chain[opened.stage]
    if own.incarnation != member.incarnation:
        return "other_incarnation"
    if (own.first_layer, own.end_layer) != (member.first_layer, member.end_layer):
        return "other_layers"
    if opened.pipeline != member.pipeline or opened.layers != member.layers:
        return "other_model"
    try:
        check_tiling(opened.chain, opened.layers)
    except ChainGap:
        return "bad_route"
    if opened.epoch <= state.closed_epoch_by_request.get(opened.request, 0):
        return "closed_epoch"
    if not state.engine_ready:
        return "engine_lost"
    if state.draining and opened.request not in state.attempt_by_request:
        return "draining"
    return None


def _refuse(peer: str, opened: pb.Open, reason: str, state: AgentState) -> Effects:
    failed = pb.Failed(
        request=opened.request,
        epoch=opened.epoch,
        reason=reason,
        outcome=pb.NOT_RUN,
        backend_server=state.member.backend_server,
        incarnation=state.member.incarnation,
    )
    target = peer if opened.stage == 0 else opened.chain[0].address
    fields = {"request": opened.request, "epoch": opened.epoch, "reason": reason}
    return [Send(target, failed), Log("attempt_refused", fields)]


def _prefill(attempt: Attempt) -> RunStep:
    opened = attempt.opened
    return RunStep(
        epb.Step(
            sequence=attempt.sequence,
            prompt=opened.prompt,
            tokens=opened.delivered,
            priority=opened.priority,
        )
    )


def _forward_open(attempt: Attempt) -> Effects:
    """Tell the next stage of the attempt."""
    if attempt.last:
        return []
    forward = pb.Open()
    forward.CopyFrom(attempt.opened)
    forward.stage += 1
    forward.prompt = ""
    return [Send(attempt.next_address, forward)]


def _ready(attempt: Attempt) -> Send:
    """Tell the stage before, or the entry, that this stage has the attempt."""
    stages = attempt.opened.chain
    before = attempt.origin
    if not attempt.first:
        before = stages[attempt.opened.stage - 1].address
    return Send(
        before,
        pb.Ready(
            request=attempt.opened.request,
            epoch=attempt.opened.epoch,
            position=attempt.received,
        ),
    )


def _resume(attempt: Attempt, peer: str, opened: pb.Open, now: int) -> Effects:
    """Carry an attempt on in a new epoch with the state that lives here."""
    attempt.opened = opened
    attempt.origin = peer
    attempt.active_ms = now
    attempt.link_failures = 0
    attempt.waits_for_ready = not attempt.last
    attempt.next_accepted = False
    effects = [*_forward_open(attempt), _ready(attempt)]
    if attempt.first:
        if len(attempt.generated) < len(opened.delivered):
            return effects + _fail(attempt, "resume_gap")
        effects += [
            _relay(attempt, token)
            for token in attempt.generated[len(opened.delivered) :]
        ]
    if attempt.last:
        effects += _resend_tokens(attempt)
    return effects


def _resend_tokens(attempt: Attempt) -> Effects:
    """Send the first stage again the tokens that the entry has not got."""
    opened = attempt.opened
    start = opened.prompt_tokens + len(opened.delivered) - 1
    return [
        Send(opened.chain[0].address, _in_epoch(token, opened.epoch))
        for token in attempt.sent_tokens
        if token.position >= start
    ]


def _in_epoch(token: pb.Token, epoch: int) -> pb.Token:
    copy = pb.Token()
    copy.CopyFrom(token)
    copy.epoch = epoch
    return copy


def ready(state: AgentState, message: pb.Ready, now: int) -> Effects:
    """Send the next stage everything from the position it needs."""
    attempt = _current(state, message.request, message.epoch)
    if attempt is None:
        return []
    attempt.active_ms = now
    attempt.next_accepted = True
    if not attempt.waits_for_ready and not message.position:
        # The first word of a new attempt; what was sent is on its way.
        return []
    attempt.waits_for_ready = False
    if message.position < attempt.retained_from:
        return _fail(attempt, "inputs_not_retained")
    attempt.sent = message.position
    return _send_on(state, attempt)


def hop(state: AgentState, peer: str, message: pb.Hop, now: int) -> Effects:
    """Accept the positions that come next; drop those already had."""
    attempt = _current(state, message.request, message.epoch)
    if attempt is None:
        return _unknown_attempt(state, peer, message)
    attempt.active_ms = now
    if message.first_layer != attempt.own.first_layer:
        return _fail(attempt, "wrong_layer")
    if message.position > attempt.received:
        return _fail(attempt, "position_gap")
    end = message.position + message.count
    if end <= attempt.received:
        state.counters.duplicates += 1
        return _resend_last(state, attempt)
    width = len(message.activation) // message.count
    skipped = attempt.received - message.position
    step = epb.Step(
        sequence=attempt.sequence,
        position=attempt.received,
        count=end - attempt.received,
        activation=message.activation[skipped * width :],
        priority=attempt.opened.priority,
    )
    attempt.received = end
    return [RunStep(step)]


def _unknown_attempt(state: AgentState, peer: str, message: pb.Hop) -> Effects:
    """Tell the sender of a hop that no such attempt runs here, unless it is old."""
    known = state.attempt_by_request.get(message.request)
    closed = state.closed_epoch_by_request.get(message.request, 0)
    if message.epoch <= max(closed, known.opened.epoch if known else 0):
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
    attempt.active_ms = now
    state.counters.steps += 1
    if result.error:
        return _fail(attempt, result.error)
    attempt.done = result.position + result.count
    attempt.received = max(attempt.received, attempt.done)
    if attempt.first and not attempt.prompt_tokens:
        attempt.prompt_tokens = result.count - len(attempt.opened.delivered)
    if not attempt.last:
        _retain(state, attempt, result)
        effects = _send_on(state, attempt)
    else:
        effects = _token_sampled(state, attempt, result, now)
    if attempt.first:
        effects += _take_tokens(state, attempt)
    return effects


def _token_sampled(
    state: AgentState, attempt: Attempt, result: epb.StepResult, now: int
) -> Effects:
    """Return a sampled token to the first stage."""
    token = pb.Token(
        request=attempt.opened.request,
        epoch=attempt.opened.epoch,
        position=attempt.done - 1,
        token=result.token,
        text=result.text,
        finish_reason="stop" if result.end_of_sequence else "",
    )
    attempt.sent_tokens.append(token)
    if attempt.first:
        return take_token(state, token, now)
    return [Send(attempt.opened.chain[0].address, token)]


def _retain(state: AgentState, attempt: Attempt, result: epb.StepResult) -> None:
    """Keep an output for refilling the next stage, within the memory limit."""
    attempt.bytes_per_position = len(result.activation) // result.count
    attempt.outputs += result.activation
    state.retained_bytes += len(result.activation)
    if state.retained_bytes <= state.retain_limit_bytes:
        return
    largest = max(state.attempt_by_request.values(), key=lambda item: len(item.outputs))
    _release(state, largest)


def _release(state: AgentState, attempt: Attempt) -> None:
    """Give up the outputs kept for one attempt, but for those not yet sent."""
    kept_from = min(attempt.sent, attempt.done)
    size = max(0, kept_from - attempt.retained_from) * attempt.bytes_per_position
    del attempt.outputs[:size]
    attempt.retained_from = max(kept_from, attempt.retained_from)
    state.retained_bytes -= size


def _send_on(state: AgentState, attempt: Attempt) -> Effects:
    """Send the next stage all outputs that it has not been sent."""
    if attempt.waits_for_ready or attempt.sent >= attempt.done or attempt.last:
        return []
    hop_message = _hop(attempt, attempt.sent, attempt.done)
    attempt.resend_from = attempt.sent
    attempt.sent = attempt.done
    return [Send(attempt.next_address, hop_message)]


def _hop(attempt: Attempt, start: int, end: int) -> pb.Hop:
    width = attempt.bytes_per_position
    first = (start - attempt.retained_from) * width
    last = (end - attempt.retained_from) * width
    return pb.Hop(
        request=attempt.opened.request,
        epoch=attempt.opened.epoch,
        position=start,
        count=end - start,
        first_layer=attempt.own.end_layer,
        activation=bytes(attempt.outputs[first:last]),
    )


def take_token(state: AgentState, token: pb.Token, now: int) -> Effects:
    """Take a token that came back to the first stage."""
    attempt = _current(state, token.request, token.epoch)
    if attempt is None or not attempt.first:
        state.counters.stale += 1
        return []
    attempt.active_ms = now
    if token.position < attempt.received - 1:
        state.counters.duplicates += 1
        return []
    attempt.token_by_position[token.position] = token
    return _take_tokens(state, attempt)


def _take_tokens(state: AgentState, attempt: Attempt) -> Effects:
    """Relay the next token and run the first stage on it, once it has come."""
    if attempt.done != attempt.received:
        return []
    token = attempt.token_by_position.pop(attempt.done - 1, None)
    if token is None:
        return []
    index = attempt.done - attempt.prompt_tokens
    relayed = pb.Token()
    relayed.CopyFrom(token)
    relayed.index = index
    relayed.prompt_tokens = attempt.prompt_tokens
    if not relayed.finish_reason and index + 1 >= attempt.opened.max_tokens:
        relayed.finish_reason = "length"
    missing = index - len(attempt.generated)
    attempt.generated += [pb.Token()] * missing + [relayed]
    state.counters.tokens += 1
    effects: Effects = [_relay(attempt, relayed)]
    if relayed.finish_reason:
        return effects + close_everywhere(state, attempt, "finished")
    step = epb.Step(
        sequence=attempt.sequence,
        position=attempt.received,
        count=1,
        tokens=[token.token],
        priority=attempt.opened.priority,
    )
    attempt.received += 1
    return [*effects, RunStep(step)]


def _relay(attempt: Attempt, token: pb.Token) -> Send:
    return Send(attempt.origin, _in_epoch(token, attempt.opened.epoch))


def _resend_last(state: AgentState, attempt: Attempt) -> Effects:
    """Answer a repeated hop with what was last sent on."""
    if attempt.received != attempt.done:
        return []
    if attempt.last:
        return [Send(attempt.next_address, attempt.sent_tokens[-1])]
    return _last_hop(attempt)


def failed(state: AgentState, message: pb.Failed) -> Effects:
    """Pass a failure on towards the entry; the first stage ends the attempt."""
    attempt = _current(state, message.request, message.epoch)
    if attempt is None:
        return []
    target = attempt.origin if attempt.first else attempt.opened.chain[0].address
    return [Send(target, message)]


def _fail(attempt: Attempt, reason: str, stage: pb.Stage | None = None) -> Effects:
    """Report a failure of this stage, or of the next one."""
    accepted = stage is None or attempt.next_accepted
    stage = stage or attempt.own
    message = pb.Failed(
        request=attempt.opened.request,
        epoch=attempt.opened.epoch,
        reason=reason,
        outcome=pb.UNKNOWN,
        backend_server=stage.backend_server,
        incarnation=stage.incarnation,
        accepted=accepted,
    )
    target = attempt.origin if attempt.first else attempt.opened.chain[0].address
    fields = _fields(attempt) | {"reason": reason, "failed": stage.backend_server}
    return [Send(target, message), Log("attempt_failed", fields)]


def cancel(state: AgentState, message: pb.Cancel) -> Effects:
    """End an attempt here and refuse its epochs from now on."""
    _remember_closed(state, message.request, message.epoch)
    attempt = state.attempt_by_request.get(message.request)
    if attempt is None or attempt.opened.epoch > message.epoch:
        return []
    return _drop(state, attempt)


def close_everywhere(state: AgentState, attempt: Attempt, reason: str) -> Effects:
    """End an attempt at every stage of its chain."""
    opened = attempt.opened
    _remember_closed(state, opened.request, opened.epoch)
    message = pb.Cancel(request=opened.request, epoch=opened.epoch, reason=reason)
    others = [stage for stage in opened.chain if stage is not attempt.own]
    return _drop(state, attempt) + [
        Send(stage.address, message)
        for stage in others
        if stage.address != state.member.address
    ]


def _remember_closed(state: AgentState, request: str, epoch: int) -> None:
    closed = state.closed_epoch_by_request
    closed[request] = max(epoch, closed.pop(request, 0))
    if len(closed) > CLOSED_ATTEMPTS_KEPT:
        closed.popitem(last=False)


def _drop(state: AgentState, attempt: Attempt) -> Effects:
    """Forget an attempt and free its sequence at the engine."""
    state.attempt_by_request.pop(attempt.opened.request, None)
    state.request_by_sequence.pop(attempt.sequence, None)
    state.retained_bytes -= len(attempt.outputs)
    return [RunStep(epb.Step(sequence=attempt.sequence, cancel=True))]


def link_lost(state: AgentState, peer: str) -> Effects:
    """Try a lost neighbour once more, then report it failed; end orphans."""
    effects: Effects = []
    for attempt in list(state.attempt_by_request.values()):
        if attempt.first and attempt.origin == peer:
            effects += close_everywhere(state, attempt, "entry_lost")
        elif attempt.next_address == peer and peer != state.member.address:
            effects += _neighbour_lost(state, attempt)
    return effects


def _neighbour_lost(state: AgentState, attempt: Attempt) -> Effects:
    attempt.link_failures += 1
    if attempt.link_failures > LINK_RETRIES + 1:
        return []
    if attempt.link_failures > LINK_RETRIES:
        if attempt.last:
            # Only the entry can tell that the first stage is lost.
            return []
        lost = attempt.opened.chain[attempt.opened.stage + 1]
        return _fail(attempt, "stage_lost", lost)
    if attempt.last:
        return [Send(attempt.next_address, item) for item in attempt.sent_tokens[-1:]]
    return _forward_open(attempt) + _last_hop(attempt)


def _last_hop(attempt: Attempt) -> Effects:
    """Send again the last positions sent on, as far as they are kept."""
    start = max(attempt.retained_from, attempt.resend_from)
    if start >= attempt.sent:
        return []
    return [Send(attempt.next_address, _hop(attempt, start, attempt.sent))]


def engine_lost(state: AgentState) -> Effects:
    """Report every attempt failed, since the engine's state is gone."""
    attempts = list(state.attempt_by_request.values())
    effects = [
        effect for attempt in attempts for effect in _fail(attempt, "engine_lost")
    ]
    for attempt in attempts:
        effects += _drop(state, attempt)
    return effects


def probe(state: AgentState, peer: str, message: pb.Probe) -> Effects:
    """Answer how far an attempt has come here."""
    reply = pb.ProbeReply(request=message.request, epoch=message.epoch)
    attempt = _current(state, message.request, message.epoch)
    if attempt is not None:
        reply.known = True
        reply.stage = attempt.opened.stage
        reply.received = attempt.received
        reply.done = attempt.done
        reply.sent = attempt.sent
    return [Send(peer, reply)]


def drop_idle(state: AgentState, now: int) -> Effects:
    """End attempts that nothing has touched for a long time."""
    idle = [
        attempt
        for attempt in state.attempt_by_request.values()
        if now - attempt.active_ms > ATTEMPT_IDLE_MS
    ]
    return [effect for attempt in idle for effect in _drop(state, attempt)]


def _current(state: AgentState, request: str, epoch: int) -> Attempt | None:
    """Return an attempt if it runs here in just this epoch."""
    attempt = state.attempt_by_request.get(request)
    return attempt if attempt and attempt.opened.epoch == epoch else None


def _fields(attempt: Attempt) -> dict[str, Any]:
    return {
        "request": attempt.opened.request,
        "epoch": attempt.opened.epoch,
        "workspace": attempt.opened.workspace,
        "stage": attempt.opened.stage,
    }


__all__ = [
    "cancel",
    "drop_idle",
    "engine_lost",
    "failed",
    "hop",
    "link_lost",
    "open_attempt",
    "probe",
    "ready",
    "step_done",
    "take_token",
]

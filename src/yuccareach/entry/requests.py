"""Model requests from admission to their end.

A request runs in attempts, one at a time. Each attempt has a chain of backend servers
and an epoch; messages of earlier epochs are dropped. Tokens are delivered to the caller
in order and once, whatever the attempt that produced them.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from yuccareach.entry import admission, fleet, quarantine, queueing
from yuccareach.entry.events import (
    CompletionRequested,
    DeliverToken,
    FinishAnswer,
    IncrementCounter,
    ObserveDuration,
    Refusal,
    Refuse,
)
from yuccareach.entry.state import Request
from yuccareach.outcome import Outcome
from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.links import Send
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState

Effects = list[Any]
NO_CHAIN_RETRY_DELAY_MS = 100
# Weight of the newest time between tokens in the exponentially smoothed one.
TOKEN_GAP_SMOOTHING_FACTOR = 0.3
# How long a request that was dequeued or interrupted may wait for a chain.
NO_CHAIN_TIMEOUT_MS = 10_000
# Retry-After header of refusals because of missing or failing backend servers.
RETRY_AFTER_S = 2
# Tokens of an answer whose caller sets no limit.
DEFAULT_MAX_TOKENS = 256


def start(state: EntryState, event: CompletionRequested, now: int) -> Effects:
    """Check and enqueue a request, or refuse it; open it at once if possible."""
    if state.draining:
        text = "this entry is shutting down"
        return _refuse_unadmitted(
            event, Refusal(503, "draining", text, retry_after_s=1)
        )
    pipeline = state.settings.find_pipeline(event.workspace.team, event.pipeline)
    if pipeline is None:
        text = f"the model {event.pipeline!r} does not exist"
        return _refuse_unadmitted(event, Refusal(404, "model_not_found", text))
    if len(event.prompt.encode()) > pipeline.max_prompt_bytes:
        text = f"the prompt is longer than {pipeline.max_prompt_bytes} bytes"
        return _refuse_unadmitted(event, Refusal(400, "prompt_too_long", text))
    max_tokens = event.max_tokens or min(DEFAULT_MAX_TOKENS, pipeline.max_tokens)
    if max_tokens > pipeline.max_tokens:
        text = f"max_tokens is {max_tokens}; the maximum is {pipeline.max_tokens}"
        return _refuse_unadmitted(event, Refusal(400, "max_tokens_too_large", text))
    fingerprint = quarantine.identify_request(
        event.workspace, pipeline.name, event.prompt
    )
    quarantine_refusal = quarantine.admit(state, fingerprint, now)
    if quarantine_refusal is not None:
        return _refuse_unadmitted(event, quarantine_refusal)
    charge = admission.estimate_charge(event.prompt, max_tokens)
    refusal = admission.charge(state, event.workspace, charge, now)
    if refusal is not None:
        return _refuse_unadmitted(event, refusal)
    request = Request(
        event.request,
        event.workspace,
        state.settings.find_class(event.workspace),
        event.prompt,
        max_tokens,
        charge,
        now,
    )
    request.fingerprint = fingerprint
    request.loss_count = quarantine.get_count(state, fingerprint, now).losses
    request.pipeline = pipeline.name
    request.layers = pipeline.layers
    refusal = queueing.enqueue(state, request)
    if refusal is not None:
        admission.release(state, request.workspace, charge, 0)
        return _refuse_unadmitted(event, refusal)
    state.request_by_id[request.identifier] = request
    return open_ready(state, request.pipeline, now)


def open_ready(state: EntryState, pipeline: str, now: int) -> Effects:
    """Open the first attempt of queued requests, as far as capacity allows."""
    effects: Effects = []
    for identifier in queueing.dequeue_ready(state, pipeline):
        request = state.request_by_id[identifier]
        request.dequeued_ms = request.last_progress_ms = now
        waited_ms = now - request.started_ms
        workspace, name = request.workspace.name, request.request_class.name
        effects.append(ObserveDuration("queueing", workspace, name, waited_ms))
        effects += open_attempt(state, request, now)
    return effects


def _refuse_unadmitted(event: CompletionRequested, refusal: Refusal) -> Effects:
    fields = {
        "request": event.request,
        "workspace": event.workspace.name,
        "reason": refusal.reason,
    }
    return [
        Refuse(event.request, refusal),
        IncrementCounter("refused", refusal.reason),
        Log("request_refused", fields),
    ]


def open_attempt(state: EntryState, request: Request, now: int) -> Effects:
    """Open the next attempt of a request on a newly chosen chain.

    If no chain is available, choose again after NO_CHAIN_RETRY_DELAY_MS, and fail the
    request after NO_CHAIN_TIMEOUT_MS.
    """
    previous_chain = request.chain
    chain = fleet.choose_chain_for(state, request, now)
    fleet.remove_from_running_counts(state, request, previous_chain)
    if chain is None:
        request.chain = ()
        request.retry_at_ms = now + NO_CHAIN_RETRY_DELAY_MS
        if now - max(request.dequeued_ms, request.interrupted_ms) < NO_CHAIN_TIMEOUT_MS:
            return _cancel_stages(request, previous_chain)
        text = "no chain of backend servers covers every layer"
        refusal = Refusal(503, "no_chain", text, retry_after_s=RETRY_AFTER_S)
        return _cancel_stages(request, previous_chain) + fail_request(
            state, request, refusal, now
        )
    removed_members = [
        member
        for member in previous_chain
        if member.incarnation not in {chosen.incarnation for chosen in chain}
    ]
    effects = _cancel_stages(request, removed_members)
    request.epoch += 1
    request.chain = chain
    request.retry_at_ms = 0
    request.last_progress_ms = now
    request.probe_sent_ms = 0
    request.previous_probe_reply_by_stage = {}
    request.was_sent = True
    request.accepted_by_first_stage = request.wait_logged = False
    request.tracked_attempt = quarantine.start_request_attempt(state, request, now)
    request.counted_as_suspect = request.loss_count > 0
    fleet.adjust_running_counts(state, chain, 1, is_suspect=request.counted_as_suspect)
    message = _build_open_message(state, request)
    request.can_resume = True
    request.awaits_first_token = True
    request.attempt_started_ms = now
    return [
        *effects,
        Send(chain[0].address, message),
        Log(
            "attempt",
            build_log_fields(request) | {"chain": join_server_names(chain)},
            logging.DEBUG,
        ),
    ]


def _build_open_message(state: EntryState, request: Request) -> pb.Open:
    return pb.Open(
        request=request.identifier,
        epoch=request.epoch,
        workspace=request.workspace.name,
        pipeline=request.pipeline,
        layers=request.layers,
        chain=[
            pb.Stage(
                backend_server=member.backend_server,
                incarnation=member.incarnation,
                address=member.address,
                first_layer=member.first_layer,
                end_layer=member.end_layer,
            )
            for member in request.chain
        ],
        prompt=request.prompt,
        delivered=request.delivered_tokens,
        max_tokens=request.max_tokens,
        priority=request.request_class.priority,
        resume=request.can_resume and request.epoch > 1 and state.options.resume,
        prompt_tokens=request.prompt_tokens,
    )


def _cancel_stages(request: Request, members: Any) -> Effects:
    message = pb.Cancel(
        request=request.identifier, epoch=request.epoch, reason="left_by_entry"
    )
    return [Send(member.address, message) for member in members]


def handle_token(state: EntryState, message: pb.Token, now: int) -> Effects:
    """Deliver a request's next token; drop one of another epoch or index."""
    request = state.request_by_id.get(message.request)
    if request is None or message.epoch != request.epoch:
        return [IncrementCounter("late_tokens", "epoch")]
    if message.index != len(request.delivered_tokens):
        return [IncrementCounter("late_tokens", "index")]
    effects = _observe_token(request, now)
    if request.awaits_first_token:
        request.awaits_first_token = False
        fleet.clear_suspicion(state, request.chain, request.attempt_started_ms)
    request.delivered_tokens.append(message.token)
    request.prompt_tokens = message.prompt_tokens
    _update_token_gap(request, now)
    request.last_progress_ms = now
    request.probe_sent_ms = 0
    effects.append(DeliverToken(request.identifier, message.index, message.text))
    if message.finish_reason:
        effects += _finish(state, request, message.finish_reason, now)
    return effects


def _update_token_gap(request: Request, now: int) -> None:
    """Update the smoothed time between tokens, from which stalls are detected."""
    if len(request.delivered_tokens) < 2:
        return
    gap_ms = now - request.last_progress_ms
    request.smoothed_token_gap_ms += TOKEN_GAP_SMOOTHING_FACTOR * (
        gap_ms - request.smoothed_token_gap_ms
    )


def _observe_token(request: Request, now: int) -> Effects:
    workspace, name = request.workspace.name, request.request_class.name
    is_first_token = not request.delivered_tokens
    start_ms = request.started_ms if is_first_token else request.last_progress_ms
    metric = "first_token" if is_first_token else "between_tokens"
    effects: Effects = [ObserveDuration(metric, workspace, name, now - start_ms)]
    if request.interrupted_ms:
        recovery_ms = now - request.interrupted_ms
        effects.append(ObserveDuration("recovery", workspace, name, recovery_ms))
        request.interrupted_ms = 0
    return effects


def _finish(state: EntryState, request: Request, reason: str, now: int) -> Effects:
    used_tokens = request.prompt_tokens + len(request.delivered_tokens)
    _remove(state, request, used_tokens, now)
    workspace, name = request.workspace.name, request.request_class.name
    duration_ms = now - request.started_ms
    return [
        *quarantine.record_answer(state, request.tracked_attempt, now),
        FinishAnswer(
            request.identifier,
            reason,
            request.prompt_tokens,
            len(request.delivered_tokens),
        ),
        ObserveDuration("whole_answer", workspace, name, duration_ms),
        IncrementCounter("finished", reason),
        Log(
            "request_finished",
            build_log_fields(request)
            | {
                "reason": reason,
                "duration_ms": duration_ms,
                "tokens": len(request.delivered_tokens),
                "chain": join_server_names(request.chain),
            },
        ),
        *open_ready(state, request.pipeline, now),
    ]


def _remove(state: EntryState, request: Request, used_tokens: int, now: int) -> None:
    del state.request_by_id[request.identifier]
    queueing.remove(state, request, now)
    fleet.remove_from_running_counts(state, request, request.chain)
    if request.loss_count:
        fleet.release_reservation(state, request.identifier)
    admission.release(state, request.workspace, request.charged_tokens, used_tokens)


def fail_request(
    state: EntryState, request: Request, refusal: Refusal, now: int
) -> Effects:
    """End a request without a complete answer.

    The outcome is RAN if the caller has received tokens. Otherwise, NOT_RUN becomes
    UNKNOWN once an attempt was sent, because that attempt may have run; refusals with
    the reason draining are the exception.
    """
    outcome = refusal.outcome
    if request.delivered_tokens:
        outcome = Outcome.RAN
    elif (
        request.was_sent and outcome is Outcome.NOT_RUN and refusal.reason != "draining"
    ):
        outcome = Outcome.UNKNOWN
    used_tokens = request.prompt_tokens + len(request.delivered_tokens)
    _remove(state, request, used_tokens, now)
    return [
        Refuse(request.identifier, refusal._replace(outcome=outcome)),
        IncrementCounter("failed", refusal.reason),
        Log(
            "request_failed",
            build_log_fields(request)
            | {"reason": refusal.reason, "outcome": outcome, "text": refusal.text},
        ),
        *_cancel_stages(request, request.chain),
        *open_ready(state, request.pipeline, now),
    ]


def handle_ready(state: EntryState, message: pb.Ready) -> Effects:
    """Record that the first stage has accepted the current attempt."""
    request = state.request_by_id.get(message.request)
    if request is not None and request.epoch == message.epoch:
        request.accepted_by_first_stage = True
    return []


def cancel(state: EntryState, identifier: str, now: int) -> Effects:
    """End a request whose caller has disconnected, and cancel it at every stage."""
    request = state.request_by_id.get(identifier)
    if request is None:
        return []
    used_tokens = request.prompt_tokens + len(request.delivered_tokens)
    _remove(state, request, used_tokens, now)
    return [
        IncrementCounter("cancelled", "caller_left"),
        Log("caller_left", build_log_fields(request)),
        *_cancel_stages(request, request.chain),
        *open_ready(state, request.pipeline, now),
    ]


def tick(state: EntryState, now: int) -> Effects:
    """Open queued requests, fail overdue ones, and retry those without a chain."""
    effects: Effects = [
        effect
        for pipeline in state.queue_by_pipeline
        for effect in open_ready(state, pipeline, now)
    ]
    for request in list(state.request_by_id.values()):
        if now - request.started_ms > request.request_class.deadline_ms:
            refusal = Refusal(504, "deadline", "the deadline has passed")
            effects += fail_request(state, request, refusal, now)
        elif request.retry_at_ms and now >= request.retry_at_ms:
            effects += open_attempt(state, request, now)
    return effects


def join_server_names(chain: Any) -> str:
    return ",".join(member.backend_server for member in chain)


def build_log_fields(request: Request) -> dict[str, Any]:
    return {
        "request": request.identifier,
        "workspace": request.workspace.name,
        "epoch": request.epoch,
    }


__all__ = [
    "RETRY_AFTER_S",
    "build_log_fields",
    "cancel",
    "fail_request",
    "handle_ready",
    "handle_token",
    "join_server_names",
    "open_attempt",
    "open_ready",
    "start",
    "tick",
]

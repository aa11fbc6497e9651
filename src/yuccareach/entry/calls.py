"""Calls to plain services.

An idempotent call is sent to another backend server when it fails. A non-idempotent
call runs at most once: before it is sent, control grants a permit that binds its
idempotency key to one incarnation of one backend server.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.entry import fleet, quarantine, refusals
from yuccareach.entry.events import (
    AcquirePermit,
    CallRequested,
    FinishPermit,
    IncrementCounter,
    ObserveDuration,
    PermitAnswered,
    Refusal,
    Refuse,
    ReturnReply,
)
from yuccareach.entry.quarantine import Loss
from yuccareach.entry.state import PlainCall
from yuccareach.outcome import Outcome, decode_outcome
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
from yuccareach.runtime.links import Send
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState

Effects = list[Any]
# Attempts of a call, beside those whose backend servers have provably ended.
MAX_ATTEMPTS = 4
# How often a call with a permit is sent again until a reply arrives.
RESEND_INTERVAL_MS = 500
# Retry-After header of refusals because of missing backend servers or permits.
RETRY_AFTER_S = 2


def start(state: EntryState, event: CallRequested, now: int) -> Effects:
    """Start a call, or refuse it if the entry is draining."""
    call = PlainCall(event, state.settings.find_class(event.workspace), now)
    call.fingerprint = quarantine.identify_call(event)
    state.call_by_id[event.request] = call
    if state.draining:
        text = "this entry is shutting down"
        return _refuse_or_query_permit(
            state, call, Refusal(503, "draining", text, retry_after_s=1)
        )
    quarantine_refusal = quarantine.admit(state, call.fingerprint, now)
    if quarantine_refusal is not None:
        return _refuse_or_query_permit(state, call, quarantine_refusal)
    return _start_attempt(state, call, now)


def _start_attempt(state: EntryState, call: PlainCall, now: int) -> Effects:
    """Choose a backend server, and send the call or acquire a permit for it."""
    call.attempt_count += 1
    server = fleet.choose_service_server(
        state, call.event.service.name, call.tried_incarnations, now
    )
    if server is None:
        text = "no backend server of this service is available"
        name = call.event.service.name
        retry_s = refusals.compute_retry_after_s(state, name, now) or RETRY_AFTER_S
        refusal = Refusal(503, "no_backend_server", text, retry_after_s=retry_s)
        return _refuse_or_query_permit(state, call, refusal)
    if call.event.idempotent:
        return _send(state, call, server, now)
    return [_acquire_permit(call, server.backend_server, server.incarnation)]


def _acquire_permit(call: PlainCall, name: str, incarnation: str) -> AcquirePermit:
    """Return the effect that acquires a permit for an incarnation.

    With an empty name, control grants no permit and only returns an earlier one.
    """
    acquire = cpb.PermitAcquire(
        key=_build_permit_key(call),
        digest=call.event.message.digest,
        backend_server=name,
        incarnation=incarnation,
        revoked_permit=call.revoked_permit,
    )
    return AcquirePermit(call.event.request, acquire)


def _refuse_or_query_permit(
    state: EntryState, call: PlainCall, refusal: Refusal
) -> Effects:
    """Refuse a call that cannot be sent.

    If the caller gave the key, an earlier call with it may have run. Control is then
    queried for its permit first, and the refusal waits for the answer.
    """
    if call.event.idempotent or not call.event.has_caller_key:
        outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
        return _fail(state, call, refusal._replace(outcome=outcome))
    call.pending_refusal = refusal
    return [_acquire_permit(call, "", "")]


def _build_permit_key(call: PlainCall) -> cpb.PermitKey:
    message = call.event.message
    return cpb.PermitKey(
        workspace=message.workspace, service=message.service, key=message.key
    )


def _send(state: EntryState, call: PlainCall, server: cpb.Member, now: int) -> Effects:
    is_resend = call.server is server
    fleet.adjust_running_counts(state, [call.server] if call.server else [], -1)
    fleet.adjust_running_counts(state, [server], 1)
    call.server = server
    call.tried_incarnations.add(server.incarnation)
    call.resend_at_ms = now + RESEND_INTERVAL_MS
    call.may_have_run = True
    if not is_resend:
        call.tracked_attempt = quarantine.start_call_attempt(state, call, now)
    message = pb.Call()
    message.CopyFrom(call.event.message)
    message.permit = call.permit
    message.incarnation = server.incarnation
    message.timeout_ms = max(1, call.deadline_ms - now)
    return [Send(server.address, message)]


def handle_permit_answer(state: EntryState, event: PermitAnswered, now: int) -> Effects:
    """Send a call, return its recorded reply or fail it, as control answered."""
    call = state.call_by_id.get(event.request)
    if call is None:
        return []
    if event.answer is None:
        return _fail_without_permit(state, call)
    answer = event.answer
    match answer.state:
        case cpb.PERMIT_GRANTED | cpb.PERMIT_EXISTS:
            return _use_permit(state, call, answer, now)
        case cpb.PERMIT_FINISHED:
            return _return_reply(state, call, _build_recorded_reply(answer), now)
        case cpb.PERMIT_MISMATCH:
            text = "this Idempotency-Key was used for a different call"
            return _fail(state, call, Refusal(422, "key_reused", text))
        case cpb.PERMIT_EXPIRED:
            text = "this Idempotency-Key has expired; the call may have run"
            refusal = Refusal(409, "key_expired", text, Outcome.UNKNOWN)
            return _fail(state, call, refusal)
        case cpb.PERMIT_REVOKED if call.pending_refusal is not None:
            return _fail(state, call, call.pending_refusal)
    text = "control answered with a permit state that this version does not support"
    return _fail(state, call, Refusal(500, "bad_permit", text, Outcome.UNKNOWN))


def _fail_without_permit(state: EntryState, call: PlainCall) -> Effects:
    """Fail a call because control did not answer.

    If the caller gave the key, an earlier call with it may have run.
    """
    outcome = Outcome.UNKNOWN if call.event.has_caller_key else Outcome.NOT_RUN
    text = "control cannot grant a permit now; retry with the same Idempotency-Key"
    refusal = Refusal(503, "no_permit", text, outcome, RETRY_AFTER_S)
    return _fail(state, call, refusal)


def _use_permit(
    state: EntryState, call: PlainCall, answer: cpb.PermitAnswer, now: int
) -> Effects:
    """Send the call to the only incarnation that may run it, or fail if it is gone."""
    call.permit = answer.permit
    server = state.server_by_name.get(answer.backend_server)
    if server is not None and server.member.incarnation == answer.incarnation:
        call.pending_refusal = None
        return _send(state, call, server.member, now)
    text = "the backend server that may have run this call is gone"
    return _fail(state, call, Refusal(502, "lost", text, Outcome.UNKNOWN))


def _build_recorded_reply(answer: cpb.PermitAnswer) -> pb.Reply:
    headers = [pb.Header(name="content-type", value=answer.content_type)]
    return pb.Reply(
        outcome=pb.RAN,
        status=answer.status,
        body=answer.body,
        headers=headers if answer.content_type else [],
        replayed=True,
    )


def handle_reply(state: EntryState, peer: str, message: pb.Reply, now: int) -> Effects:
    """Return a reply, retry a call that may run again, or fail it."""
    call = state.call_by_id.get(message.request)
    if call is None or call.server is None or call.server.address != peer:
        return [IncrementCounter("late_replies", "unknown_call")]
    if message.outcome == pb.RAN:
        effects = quarantine.record_answer(state, call.tracked_attempt, now)
        effects += refusals.record_reply(state, call.server, message, now)
        return effects + _return_reply(state, call, message, now)
    if message.outcome == pb.NOT_RUN:
        call.may_have_run = False
        call.revoked_permit = call.permit
        return _retry(state, call, message.reason, now)
    effects = _record_loss(state, call, message.reason, now)
    if call.event.idempotent:
        return effects + _retry(state, call, message.reason, now)
    text = f"the call may have run: {message.reason}"
    refusal = Refusal(502, message.reason, text, decode_outcome(message.outcome))
    return effects + _fail(state, call, refusal)


def _record_loss(
    state: EntryState, call: PlainCall, reason: str, now: int, *, refused: bool = False
) -> Effects:
    """Count the loss of a call's backend server, now or once it is gone."""
    assert call.server is not None
    if reason in quarantine.CRASH_REASONS:
        call.ended_attempt_count += 1
    loss = Loss(reason, call.server.incarnation, True, call.server, refused)
    return quarantine.record_loss(state, call.tracked_attempt, loss, now)


def _retry(state: EntryState, call: PlainCall, reason: str, now: int) -> Effects:
    call.permit = 0
    quarantine_refusal = quarantine.check(state, call.fingerprint, now)
    if quarantine_refusal is not None:
        return _refuse_or_query_permit(state, call, quarantine_refusal)
    if call.attempt_count - call.ended_attempt_count < MAX_ATTEMPTS:
        return [
            IncrementCounter("call_retries", reason),
            *_start_attempt(state, call, now),
        ]
    text = f"the call failed {call.attempt_count} times, last with {reason}"
    refusal = Refusal(503, reason, text, retry_after_s=RETRY_AFTER_S)
    return _refuse_or_query_permit(state, call, refusal)


def _return_reply(
    state: EntryState, call: PlainCall, message: pb.Reply, now: int
) -> Effects:
    _remove(state, call)
    workspace, name = call.event.workspace.name, call.request_class.name
    duration_ms = now - call.started_ms
    effects: Effects = [
        ReturnReply(call.event.request, message),
        ObserveDuration("plain_call", workspace, name, duration_ms),
        Log(
            "call_finished",
            _build_log_fields(call)
            | {
                "status": message.status,
                "duration_ms": duration_ms,
                "replayed": message.replayed,
            },
        ),
    ]
    if call.permit and not message.replayed:
        effects.append(FinishPermit(_build_finish_command(call, message)))
    return effects


def _build_finish_command(call: PlainCall, message: pb.Reply) -> cpb.Command:
    content_type = next(
        (item.value for item in message.headers if item.name == "content-type"), ""
    )
    return cpb.Command(
        permit_finish=cpb.PermitFinish(
            key=_build_permit_key(call),
            permit=call.permit,
            status=message.status,
            body=message.body,
            content_type=content_type,
        )
    )


def handle_lost_link(
    state: EntryState, address: str, refused: bool, now: int
) -> Effects:
    """Retry or resend the calls sent over a lost link.

    A call with a permit is sent again to the same agent, since no other may run it. A
    refused connection proves that the agent has ended.
    """
    effects: Effects = []
    for call in list(state.call_by_id.values()):
        if call.server is None or call.server.address != address:
            continue
        effects += _record_loss(state, call, "link_lost", now, refused=refused)
        if call.event.idempotent:
            call.ended_attempt_count += refused
            fleet.mark_suspected(state, call.server.backend_server, now)
            effects += _retry(state, call, "link_lost", now)
        else:
            call.resend_at_ms = now + RESEND_INTERVAL_MS
    return effects


def handle_members_change(state: EntryState, now: int) -> Effects:
    """Retry or fail the calls whose backend server has ended.

    One that has only departed may still reply.
    """
    effects: Effects = []
    for call in list(state.call_by_id.values()):
        if call.server is None or not fleet.has_successor(state, call.server):
            continue
        if call.event.idempotent:
            call.ended_attempt_count += 1
            effects += _retry(state, call, "member_gone", now)
        else:
            text = "the backend server that may have run this call is gone"
            refusal = Refusal(502, "lost", text, Outcome.UNKNOWN)
            effects += _fail(state, call, refusal)
    return effects


def tick(state: EntryState, now: int) -> Effects:
    """Fail calls past their deadline, and resend those with a permit.

    Resending is safe, because a permit lets a call run at most once.
    """
    effects: Effects = []
    for call in list(state.call_by_id.values()):
        if now >= call.deadline_ms:
            has_not_run = call.event.idempotent and not call.may_have_run
            outcome = Outcome.NOT_RUN if has_not_run else Outcome.UNKNOWN
            refusal = Refusal(
                504, "timeout", "the service did not reply before the timeout", outcome
            )
            effects += _fail(state, call, refusal)
        elif call.permit and call.server is not None and now >= call.resend_at_ms:
            effects += _send(state, call, call.server, now)
    return effects


def cancel(state: EntryState, identifier: str) -> Effects:
    """Remove a call whose caller has disconnected.

    Its backend server is not notified, so the call may still run.
    """
    call = state.call_by_id.get(identifier)
    if call is None:
        return []
    _remove(state, call)
    return [
        IncrementCounter("cancelled", "caller_left"),
        Log("caller_left", _build_log_fields(call)),
    ]


def _fail(state: EntryState, call: PlainCall, refusal: Refusal) -> Effects:
    _remove(state, call)
    return [
        Refuse(call.event.request, refusal),
        IncrementCounter("failed", refusal.reason),
        Log(
            "call_failed",
            _build_log_fields(call)
            | {"reason": refusal.reason, "outcome": refusal.outcome},
        ),
    ]


def _remove(state: EntryState, call: PlainCall) -> None:
    state.call_by_id.pop(call.event.request, None)
    fleet.adjust_running_counts(state, [call.server] if call.server else [], -1)


def _build_log_fields(call: PlainCall) -> dict[str, Any]:
    return {
        "request": call.event.request,
        "workspace": call.event.workspace.name,
        "service": call.event.service.name,
    }


__all__ = [
    "cancel",
    "handle_lost_link",
    "handle_members_change",
    "handle_permit_answer",
    "handle_reply",
    "start",
    "tick",
]

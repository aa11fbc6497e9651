"""Calls to plain services; non-idempotent ones run under a permit, at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.entry import fleet
from yuccareach.entry.events import (
    AcquirePermit,
    CallRequested,
    Count,
    FinishPermit,
    Observe,
    PermitAnswered,
    Refusal,
    Refuse,
    ReturnReply,
)
from yuccareach.entry.state import PlainCall
from yuccareach.outcome import Outcome, from_wire
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
from yuccareach.runtime.links import Send
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState

Effects = list[Any]
MAX_ATTEMPTS = 4
RESEND_INTERVAL_MS = 500
RETRY_AFTER_S = 2


def ask(state: EntryState, asked: CallRequested, now: int) -> Effects:
    """Start a call, or refuse it."""
    call = PlainCall(asked, state.settings.find_class(asked.workspace), now)
    state.call_by_id[asked.request] = call
    if state.draining:
        text = "this entry is shutting down"
        return _give_up(state, call, Refusal(503, "draining", text, retry_after_s=1))
    return _try(state, call, now)


def _try(state: EntryState, call: PlainCall, now: int) -> Effects:
    """Choose a backend server and send the call, or ask for a permit first."""
    call.attempt_count += 1
    server = fleet.choose_service(
        state, call.event.service.name, call.tried_incarnations, now
    )
    if server is None:
        text = "no backend server of this service is available"
        refusal = Refusal(503, "no_backend_server", text, retry_after_s=RETRY_AFTER_S)
        return _give_up(state, call, refusal)
    if call.event.idempotent:
        return _send(state, call, server, now)
    return [_acquire(call, server.backend_server, server.incarnation)]


def _acquire(call: PlainCall, name: str, incarnation: str) -> AcquirePermit:
    """Ask for a permit, or without a name only whether there is one."""
    acquire = cpb.PermitAcquire(
        key=_key(call),
        digest=call.event.message.digest,
        backend_server=name,
        incarnation=incarnation,
        revoked_permit=call.revoked_permit,
    )
    return AcquirePermit(call.event.request, acquire)


def _give_up(state: EntryState, call: PlainCall, refusal: Refusal) -> Effects:
    """Refuse a call; under a caller's key, ask first whether an earlier one ran."""
    if call.event.idempotent or not call.event.has_caller_key:
        outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
        return _fail(state, call, refusal._replace(outcome=outcome))
    call.pending_refusal = refusal
    return [_acquire(call, "", "")]


def _key(call: PlainCall) -> cpb.PermitKey:
    message = call.event.message
    return cpb.PermitKey(
        workspace=message.workspace, service=message.service, key=message.key
    )


def _send(state: EntryState, call: PlainCall, server: cpb.Member, now: int) -> Effects:
    fleet.adjust_running_counts(state, [call.server] if call.server else [], -1)
    fleet.adjust_running_counts(state, [server], 1)
    call.server = server
    call.tried_incarnations.add(server.incarnation)
    call.resend_at_ms = now + RESEND_INTERVAL_MS
    call.may_have_run = True
    message = pb.Call()
    message.CopyFrom(call.event.message)
    message.permit = call.permit
    message.incarnation = server.incarnation
    message.timeout_ms = max(1, call.deadline_ms - now)
    return [Send(server.address, message)]


def permit_answered(state: EntryState, event: PermitAnswered, now: int) -> Effects:
    """Go on with a call as its permit allows."""
    call = state.call_by_id.get(event.request)
    if call is None:
        return []
    if event.answer is None:
        return _permit_unavailable(state, call)
    answer = event.answer
    match answer.state:
        case cpb.PERMIT_GRANTED | cpb.PERMIT_EXISTS:
            return _use_permit(state, call, answer, now)
        case cpb.PERMIT_FINISHED:
            return _return(state, call, _recorded(answer), now)
        case cpb.PERMIT_MISMATCH:
            text = "this Idempotency-Key was used for a different call"
            return _fail(state, call, Refusal(422, "key_reused", text))
        case cpb.PERMIT_EXPIRED:
            text = "this Idempotency-Key is too old to tell whether the call ran"
            refusal = Refusal(409, "key_expired", text, Outcome.UNKNOWN)
            return _fail(state, call, refusal)
        case cpb.PERMIT_REVOKED if call.pending_refusal is not None:
            return _fail(state, call, call.pending_refusal)
    text = "control gave an answer that this version does not know"
    return _fail(state, call, Refusal(500, "bad_permit", text, Outcome.UNKNOWN))


def _permit_unavailable(state: EntryState, call: PlainCall) -> Effects:
    """Refuse; an earlier call under a key that the caller gave may have run."""
    outcome = Outcome.UNKNOWN if call.event.has_caller_key else Outcome.NOT_RUN
    text = "control cannot grant a permit now; send again with the same key"
    refusal = Refusal(503, "no_permit", text, outcome, RETRY_AFTER_S)
    return _fail(state, call, refusal)


def _use_permit(
    state: EntryState, call: PlainCall, answer: cpb.PermitAnswer, now: int
) -> Effects:
    """Send the call to the one incarnation that may run it."""
    call.permit = answer.permit
    server = state.server_by_name.get(answer.backend_server)
    if server is not None and server.member.incarnation == answer.incarnation:
        call.pending_refusal = None
        return _send(state, call, server.member, now)
    text = "the backend server that may have run this call is gone"
    return _fail(state, call, Refusal(502, "lost", text, Outcome.UNKNOWN))


def _recorded(answer: cpb.PermitAnswer) -> pb.Reply:
    headers = [pb.Header(name="content-type", value=answer.content_type)]
    return pb.Reply(
        outcome=pb.RAN,
        status=answer.status,
        body=answer.body,
        headers=headers if answer.content_type else [],
        replayed=True,
    )


def reply(state: EntryState, peer: str, message: pb.Reply, now: int) -> Effects:
    """Return a reply, or choose again where the call did not run."""
    call = state.call_by_id.get(message.request)
    if call is None or call.server is None or call.server.address != peer:
        return [Count("late_replies", "unknown_call")]
    if message.outcome == pb.RAN:
        return _return(state, call, message, now)
    if message.outcome == pb.NOT_RUN:
        call.may_have_run = False
        call.revoked_permit = call.permit
        return _try_again(state, call, message.reason, now)
    if call.event.idempotent:
        return _try_again(state, call, message.reason, now)
    text = f"the call may have run: {message.reason}"
    refusal = Refusal(502, message.reason, text, from_wire(message.outcome))
    return _fail(state, call, refusal)


def _try_again(state: EntryState, call: PlainCall, reason: str, now: int) -> Effects:
    call.permit = 0
    if call.attempt_count < MAX_ATTEMPTS:
        return [Count("call_retries", reason), *_try(state, call, now)]
    text = f"the call was tried {call.attempt_count} times, last refused by {reason}"
    refusal = Refusal(503, reason, text, retry_after_s=RETRY_AFTER_S)
    return _give_up(state, call, refusal)


def _return(state: EntryState, call: PlainCall, message: pb.Reply, now: int) -> Effects:
    _forget(state, call)
    workspace, name = call.event.workspace.name, call.request_class.name
    duration_ms = now - call.started_ms
    effects: Effects = [
        ReturnReply(call.event.request, message),
        Observe("plain_call", workspace, name, duration_ms),
        Log(
            "call_finished",
            _fields(call)
            | {
                "status": message.status,
                "duration_ms": duration_ms,
                "replayed": message.replayed,
            },
        ),
    ]
    if call.permit and not message.replayed:
        effects.append(FinishPermit(_finish_command(call, message)))
    return effects


def _finish_command(call: PlainCall, message: pb.Reply) -> cpb.Command:
    content_type = next(
        (item.value for item in message.headers if item.name == "content-type"), ""
    )
    return cpb.Command(
        permit_finish=cpb.PermitFinish(
            key=_key(call),
            permit=call.permit,
            status=message.status,
            body=message.body,
            content_type=content_type,
        )
    )


def link_lost(state: EntryState, address: str, now: int) -> Effects:
    """Send again after a lost link: to the same agent where only it may run it."""
    effects: Effects = []
    for call in list(state.call_by_id.values()):
        if call.server is None or call.server.address != address:
            continue
        if call.event.idempotent:
            fleet.mark_suspected(state, call.server.backend_server, now)
            effects += _try_again(state, call, "link_lost", now)
        else:
            call.resend_at_ms = now + RESEND_INTERVAL_MS
    return effects


def members_changed(state: EntryState, now: int) -> Effects:
    """End or retry the calls whose backend server is gone."""
    effects: Effects = []
    for call in list(state.call_by_id.values()):
        if call.server is None or fleet.is_present(state, call.server):
            continue
        if call.event.idempotent:
            effects += _try_again(state, call, "member_gone", now)
        else:
            text = "the backend server that may have run this call is gone"
            refusal = Refusal(502, "lost", text, Outcome.UNKNOWN)
            effects += _fail(state, call, refusal)
    return effects


def tick(state: EntryState, now: int) -> Effects:
    """End calls past their time; repeat permitted ones, which run once anyway."""
    effects: Effects = []
    for call in list(state.call_by_id.values()):
        if now >= call.deadline_ms:
            known = call.event.idempotent and not call.may_have_run
            outcome = Outcome.NOT_RUN if known else Outcome.UNKNOWN
            refusal = Refusal(504, "timeout", "no reply in time", outcome)
            effects += _fail(state, call, refusal)
        elif call.permit and call.server is not None and now >= call.resend_at_ms:
            effects += _send(state, call, call.server, now)
    return effects


def caller_left(state: EntryState, identifier: str) -> Effects:
    """Forget a caller who has gone; a permitted call may still run."""
    call = state.call_by_id.get(identifier)
    if call is None:
        return []
    _forget(state, call)
    return [Count("cancelled", "caller_left"), Log("caller_left", _fields(call))]


def _fail(state: EntryState, call: PlainCall, refusal: Refusal) -> Effects:
    _forget(state, call)
    return [
        Refuse(call.event.request, refusal),
        Count("failed", refusal.reason),
        Log(
            "call_failed",
            _fields(call) | {"reason": refusal.reason, "outcome": refusal.outcome},
        ),
    ]


def _forget(state: EntryState, call: PlainCall) -> None:
    state.call_by_id.pop(call.event.request, None)
    fleet.adjust_running_counts(state, [call.server] if call.server else [], -1)


def _fields(call: PlainCall) -> dict[str, Any]:
    return {
        "request": call.event.request,
        "workspace": call.event.workspace.name,
        "service": call.event.service.name,
    }


__all__ = [
    "ask",
    "caller_left",
    "link_lost",
    "members_changed",
    "permit_answered",
    "reply",
    "tick",
]

"""Calls to the plain service; a non-idempotent call starts at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.agent.events import CallService
from yuccareach.agent.state import MAX_CALL_RECORDS, CallKey, CallRecord
from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.links import Send
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.agent.state import AgentState

Effects = list[Any]


def handle_call(state: AgentState, peer: str, message: pb.Call) -> Effects:
    """Start a call, or answer it from the record of an earlier one.

    Only non-idempotent calls carry a permit and are recorded.
    """
    if message.permit:
        return _handle_permitted_call(state, peer, message)
    if message.service != state.member.service:
        return _refuse_call(peer, message, "other_service")
    if state.draining:
        return _refuse_call(peer, message, "draining")
    return _start_call(state, peer, message)


def _handle_permitted_call(state: AgentState, peer: str, message: pb.Call) -> Effects:
    if message.incarnation != state.member.incarnation:
        # The earlier incarnation of this agent may have run the call.
        return _refuse_call(peer, message, "other_incarnation", pb.UNKNOWN)
    key = CallKey(message.workspace, message.service, message.key)
    record = state.record_by_key.get(key)
    if record is None or record.permit < message.permit:
        return _start_under_new_permit(state, peer, message, key)
    if record.permit > message.permit or record.permit_revoked:
        return _refuse_call(peer, message, "permit_revoked")
    if record.digest != message.digest:
        return _refuse_call(peer, message, "key_reused")
    if record.reply is None:
        waiter = (peer, message.request)
        if waiter not in record.waiters:
            record.waiters.append(waiter)
        return []
    return [Send(peer, _build_replay(record.reply, message.request))]


def _start_under_new_permit(
    state: AgentState, peer: str, message: pb.Call, key: CallKey
) -> Effects:
    """Start a call under a new permit; while draining, revoke the permit instead."""
    record = state.record_by_key[key] = CallRecord(message.permit, message.digest)
    _evict_oldest_records(state)
    if state.draining:
        record.permit_revoked = True
        return _refuse_call(peer, message, "draining")
    record.waiters.append((peer, message.request))
    return _start_call(state, peer, message)


def _evict_oldest_records(state: AgentState) -> None:
    """Evict the oldest records above MAX_CALL_RECORDS.

    The record of a running call moves to the end instead, and eviction stops there.
    """
    records = state.record_by_key
    while len(records) > MAX_CALL_RECORDS:
        key, record = next(iter(records.items()))
        if record.reply is None and not record.permit_revoked:
            records.move_to_end(key)
            return
        del records[key]


def _start_call(state: AgentState, peer: str, message: pb.Call) -> Effects:
    identifier = f"{peer}|{message.request}"
    if identifier in state.call_by_id:
        # The peer has sent this call before; the reply is sent when the call ends.
        return []
    state.call_by_id[identifier] = (peer, message)
    return [CallService(identifier, message)]


def _refuse_call(
    peer: str, message: pb.Call, reason: str, outcome: pb.Outcome = pb.NOT_RUN
) -> Effects:
    reply = pb.Reply(request=message.request, outcome=outcome, reason=reason)
    fields = {
        "request": message.request,
        "workspace": message.workspace,
        "reason": reason,
    }
    return [Send(peer, reply), Log("call_refused", fields)]


def _build_replay(reply: pb.Reply, request: str) -> pb.Reply:
    copy = pb.Reply()
    copy.CopyFrom(reply)
    copy.request = request
    copy.replayed = True
    return copy


def handle_service_reply(
    state: AgentState, identifier: str, reply: pb.Reply
) -> Effects:
    """Send a reply to its caller and to all callers that wait for the same key."""
    peer, message = state.call_by_id.pop(identifier)
    reply.request = message.request
    if not message.permit:
        return [Send(peer, reply)]
    key = CallKey(message.workspace, message.service, message.key)
    record = state.record_by_key[key]
    if reply.outcome == pb.NOT_RUN:
        # The call may start only under a new permit.
        record.permit_revoked = True
    record.reply = reply
    waiters, record.waiters = record.waiters, []
    return [
        Send(
            peer, reply if request == message.request else _build_replay(reply, request)
        )
        for peer, request in waiters
    ]


__all__ = ["handle_call", "handle_service_reply"]

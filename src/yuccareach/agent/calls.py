"""Calls to the plain service; non-idempotent ones start at most once."""

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


def call(state: AgentState, peer: str, message: pb.Call) -> Effects:
    """Start a call, or answer it from the record of an earlier one."""
    if message.permit:
        return _permitted_call(state, peer, message)
    if message.service != state.member.service:
        return _refuse(peer, message, "other_service")
    if state.draining:
        return _refuse(peer, message, "draining")
    return _start(state, peer, message)


def _permitted_call(state: AgentState, peer: str, message: pb.Call) -> Effects:
    if message.incarnation != state.member.incarnation:
        # The earlier incarnation may have run it.
        return _refuse(peer, message, "other_incarnation", pb.UNKNOWN)
    key = CallKey(message.workspace, message.service, message.key)
    record = state.record_by_key.get(key)
    if record is None or record.permit < message.permit:
        return _first_use(state, peer, message, key)
    if record.permit > message.permit or record.permit_revoked:
        return _refuse(peer, message, "permit_revoked")
    if record.digest != message.digest:
        return _refuse(peer, message, "key_reused")
    if record.reply is None:
        waiter = (peer, message.request)
        if waiter not in record.waiters:
            record.waiters.append(waiter)
        return []
    return [Send(peer, _replay(record.reply, message.request))]


def _first_use(state: AgentState, peer: str, message: pb.Call, key: CallKey) -> Effects:
    """Start a call under a new permit; while draining, give the permit up."""
    record = state.record_by_key[key] = CallRecord(message.permit, message.digest)
    _forget_oldest(state)
    if state.draining:
        record.permit_revoked = True
        return _refuse(peer, message, "draining")
    record.waiters.append((peer, message.request))
    return _start(state, peer, message)


def _forget_oldest(state: AgentState) -> None:
    """Keep the number of finished calls within bounds; running ones stay."""
    records = state.record_by_key
    while len(records) > MAX_CALL_RECORDS:
        key, record = next(iter(records.items()))
        if record.reply is None and not record.permit_revoked:
            records.move_to_end(key)
            return
        del records[key]


def _start(state: AgentState, peer: str, message: pb.Call) -> Effects:
    identifier = f"{peer}|{message.request}"
    if identifier in state.call_by_id:
        return []
    state.call_by_id[identifier] = (peer, message)
    return [CallService(identifier, message)]


def _refuse(
    peer: str, message: pb.Call, reason: str, outcome: pb.Outcome = pb.NOT_RUN
) -> Effects:
    reply = pb.Reply(request=message.request, outcome=outcome, reason=reason)
    fields = {
        "request": message.request,
        "workspace": message.workspace,
        "reason": reason,
    }
    return [Send(peer, reply), Log("call_refused", fields)]


def _replay(reply: pb.Reply, request: str) -> pb.Reply:
    copy = pb.Reply()
    copy.CopyFrom(reply)
    copy.request = request
    copy.replayed = True
    return copy


def service_replied(state: AgentState, identifier: str, reply: pb.Reply) -> Effects:
    """Send a reply to its caller and to everyone who waited for the same key."""
    peer, message = state.call_by_id.pop(identifier)
    reply.request = message.request
    if not message.permit:
        return [Send(peer, reply)]
    key = CallKey(message.workspace, message.service, message.key)
    record = state.record_by_key[key]
    if reply.outcome == pb.NOT_RUN:
        record.permit_revoked = True
    record.reply = reply
    waiters, record.waiters = record.waiters, []
    return [
        Send(peer, reply if request == message.request else _replay(reply, request))
        for peer, request in waiters
    ]


__all__ = ["call", "service_replied"]

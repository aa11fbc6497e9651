"""The agent's reducer over all events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.agent import attempts, calls, endings, flow
from yuccareach.agent.events import (
    Announce,
    DrainAsked,
    EngineLost,
    EngineReady,
    EngineReported,
    Leave,
    ServiceReplied,
    StepDone,
)
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
from yuccareach.runtime.links import LinkLost, Received, Send
from yuccareach.runtime.logs import Log
from yuccareach.runtime.reducer import Tick
from yuccareach.settings.exchange import handle_settings_event

if TYPE_CHECKING:
    from yuccareach.agent.state import AgentState

Effects = list[Any]


def reduce(state: AgentState, event: Any, now: int) -> Effects:
    """Return the effects of one event; now is a steady time in milliseconds."""
    match event:
        case Received(peer=peer, body=body):
            effects = _received(state, peer, body, now)
        case StepDone(result=result):
            effects = flow.step_done(state, result, now)
        case ServiceReplied(call=call, reply=reply):
            effects = calls.service_replied(state, call, reply)
        case LinkLost(peer=peer):
            state.entries.discard(peer)
            effects = attempts.link_lost(state, peer)
        case Tick():
            effects = _tick(state, now)
        case EngineReady(info=info):
            effects = _engine_ready(state, info, now)
        case EngineLost():
            state.engine_ready = False
            effects = endings.engine_lost(state) + _heartbeat(state, now)
        case EngineReported(report=report):
            effects = _engine_reported(state, report, now)
        case DrainAsked():
            effects = _drain(state, now)
        case _:
            effects = handle_settings_event(state.settings, event) or []
    if state.draining:
        effects += _leave_when_idle(state)
    return effects


def _received(state: AgentState, peer: str, body: Any, now: int) -> Effects:
    match body:
        case pb.Hop():
            return flow.hop(state, peer, body, now)
        case pb.Token():
            return flow.take_token(state, body, now)
        case pb.Open():
            return _open(state, peer, body, now)
        case pb.Ready():
            return attempts.ready(state, body, now)
        case pb.Cancel():
            return endings.cancel(state, body)
        case pb.Failed():
            return endings.failed(state, body)
        case pb.Probe():
            return endings.probe(state, peer, body)
        case pb.Call():
            state.entries.add(peer)
            return calls.call(state, peer, body)
    return handle_settings_event(state.settings, Received(peer, body)) or []


def _open(state: AgentState, peer: str, opened: pb.Open, now: int) -> Effects:
    if opened.stage == 0:
        state.entries.add(peer)
    return attempts.open_attempt(state, peer, opened, now)


def _engine_ready(state: AgentState, info: Any, now: int) -> Effects:
    """Take over what the engine says of itself."""
    member = state.member
    member.pipeline = info.model
    member.layers = info.layers
    member.first_layer = info.first_layer
    member.end_layer = info.end_layer
    member.kind = info.kind
    member.max_batch = info.max_batch
    member.decode_rate = info.decode_rate
    member.memory_layers = info.memory_layers
    member.checks_fencing = info.checks_fencing
    member.load.kv_capacity_tokens = info.kv_capacity_tokens
    state.engine_ready = True
    fields = {
        "pipeline": info.model,
        "first_layer": info.first_layer,
        "end_layer": info.end_layer,
    }
    return [Log("engine_ready", fields), *_heartbeat(state, now)]


def _engine_reported(state: AgentState, report: Any, now: int) -> Effects:
    load = state.member.load
    load.running = report.running
    load.queued = report.queued
    load.kv_used_tokens = report.kv_used_tokens
    state.load_measured_ms = now
    return []


def _tick(state: AgentState, now: int) -> Effects:
    effects = endings.drop_idle(state, now)
    if now >= state.next_heartbeat_ms:
        effects += _heartbeat(state, now)
    return effects


def _heartbeat(state: AgentState, now: int) -> Effects:
    """Announce this backend server, once its engine has answered."""
    state.next_heartbeat_ms = now + state.heartbeat_interval_ms
    if not state.member.pipeline and not state.member.service:
        return []
    member = cpb.Member()
    member.CopyFrom(state.member)
    member.draining = state.draining or not state.engine_ready
    member.load.age_ms = max(0, now - state.load_measured_ms)
    if member.service:
        member.load.running = len(state.call_by_id)
    return [Announce(member)]


def _drain(state: AgentState, now: int) -> Effects:
    """Tell control and every attached entry, at once, to send no new work."""
    state.draining = True
    report = pb.LoadReport(
        backend_server=state.member.backend_server,
        running=len(state.attempt_by_request) + len(state.call_by_id),
        draining=True,
    )
    return [
        Log("draining", {"running": report.running}),
        *_heartbeat(state, now),
        *(Send(entry, report) for entry in sorted(state.entries)),
    ]


def _leave_when_idle(state: AgentState) -> Effects:
    if state.left or state.attempt_by_request or state.call_by_id:
        return []
    state.left = True
    return [Leave()]


__all__ = ["reduce"]

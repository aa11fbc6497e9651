"""The agent's reducer, which turns each event into effects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.agent import attempts, calls, closing, forwarding
from yuccareach.agent.events import (
    Announce,
    DrainRequested,
    EngineLoadReported,
    EngineLost,
    EngineReady,
    ReportDrained,
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
    """Return the effects of one event; now is a monotonic time in milliseconds."""
    match event:
        case Received(peer=peer, body=body):
            effects = _handle_message(state, peer, body, now)
        case StepDone(result=result):
            effects = forwarding.handle_step_result(state, result, now)
        case ServiceReplied(call=call, reply=reply):
            effects = calls.handle_service_reply(state, call, reply)
        case LinkLost(peer=peer):
            state.entry_peers.discard(peer)
            effects = attempts.handle_link_loss(state, peer)
        case Tick():
            effects = _handle_tick(state, now)
        case EngineReady(info=info):
            effects = _handle_engine_ready(state, info, now)
        case EngineLost():
            state.engine_ready = False
            effects = closing.fail_all_attempts(state) + _send_heartbeat(state, now)
        case EngineLoadReported(report=report):
            effects = _handle_engine_load(state, report, now)
        case DrainRequested():
            effects = _start_drain(state, now)
        case _:
            effects = handle_settings_event(state.settings, event) or []
    if state.draining:
        effects += _report_when_drained(state)
    return effects


def _handle_message(state: AgentState, peer: str, body: Any, now: int) -> Effects:
    match body:
        case pb.Hop():
            return forwarding.receive_hop(state, peer, body, now)
        case pb.Token():
            return forwarding.receive_token(state, body, now)
        case pb.Open():
            return _handle_open(state, peer, body, now)
        case pb.Ready():
            return attempts.handle_ready(state, body, now)
        case pb.Cancel():
            return closing.cancel_attempt(state, body)
        case pb.Failed():
            return closing.forward_failure(state, body)
        case pb.Probe():
            return closing.answer_probe(state, peer, body)
        case pb.Call():
            state.entry_peers.add(peer)
            return calls.handle_call(state, peer, body)
    return handle_settings_event(state.settings, Received(peer, body)) or []


def _handle_open(state: AgentState, peer: str, message: pb.Open, now: int) -> Effects:
    if message.stage == 0:
        state.entry_peers.add(peer)
    return attempts.open_attempt(state, peer, message, now)


def _handle_engine_ready(state: AgentState, info: Any, now: int) -> Effects:
    """Copy the engine's description of itself into this agent's member record."""
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
    return [Log("engine_ready", fields), *_send_heartbeat(state, now)]


def _handle_engine_load(state: AgentState, report: Any, now: int) -> Effects:
    load = state.member.load
    load.running = report.running
    load.queued = report.queued
    load.kv_used_tokens = report.kv_used_tokens
    state.last_load_report_ms = now
    return []


def _handle_tick(state: AgentState, now: int) -> Effects:
    effects = closing.remove_idle_attempts(state, now)
    if now >= state.next_heartbeat_ms:
        effects += _send_heartbeat(state, now)
    return effects


def _send_heartbeat(state: AgentState, now: int) -> Effects:
    """Announce this backend server to control, once its pipeline or service is set."""
    state.next_heartbeat_ms = now + state.heartbeat_interval_ms
    if not state.member.pipeline and not state.member.service:
        return []
    member = cpb.Member()
    member.CopyFrom(state.member)
    # Without an engine, this backend server accepts no new work either.
    member.draining = state.draining or not state.engine_ready
    member.load.age_ms = max(0, now - state.last_load_report_ms)
    if member.service:
        member.load.running = len(state.call_by_id)
    return [Announce(member)]


def _start_drain(state: AgentState, now: int) -> Effects:
    """Notify control and every linked entry at once that no new work is accepted."""
    state.draining = True
    report = pb.LoadReport(
        backend_server=state.member.backend_server,
        running=len(state.attempt_by_request) + len(state.call_by_id),
        draining=True,
    )
    return [
        Log("draining", {"running": report.running}),
        *_send_heartbeat(state, now),
        *(Send(entry, report) for entry in sorted(state.entry_peers)),
    ]


def _report_when_drained(state: AgentState) -> Effects:
    if state.drain_reported or state.attempt_by_request or state.call_by_id:
        return []
    state.drain_reported = True
    return [ReportDrained()]


__all__ = ["reduce"]

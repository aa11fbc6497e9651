"""The entry's reducer, which turns each event into effects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.control.client import WatchUpdated
from yuccareach.entry import calls, fleet, quarantine, recovery, requests, stalls
from yuccareach.entry.events import (
    CallerDisconnected,
    CallRequested,
    CompletionRequested,
    DrainRequested,
    PermitAnswered,
)
from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.links import LinkLost, Received
from yuccareach.runtime.logs import Log
from yuccareach.runtime.reducer import Tick
from yuccareach.settings.exchange import apply_push, handle_settings_event

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState

Effects = list[Any]


def reduce(state: EntryState, event: Any, now: int) -> Effects:
    """Apply an event to the state and return its effects.

    now is a monotonic time in milliseconds.
    """
    match event:
        case Received(peer=peer, body=body):
            return _handle_message(state, peer, body, now)
        case CompletionRequested():
            return requests.start(state, event, now)
        case CallRequested():
            return calls.start(state, event, now)
        case PermitAnswered():
            return calls.handle_permit_answer(state, event, now)
        case CallerDisconnected(request=request):
            return requests.cancel(state, request, now) + calls.cancel(state, request)
        case LinkLost(peer=peer, refused=refused):
            effects = recovery.handle_lost_link(state, peer, refused, now)
            return effects + calls.handle_lost_link(state, peer, refused, now)
        case WatchUpdated(update=update):
            return _apply_update(state, update, now)
        case Tick():
            return _tick(state, now)
        case DrainRequested():
            state.draining = True
            return [Log("draining", {"running": len(state.request_by_id)})]
    return handle_settings_event(state.settings, event) or []


def _handle_message(state: EntryState, peer: str, body: Any, now: int) -> Effects:
    match body:
        case pb.Token():
            return requests.handle_token(state, body, now)
        case pb.Failed():
            return recovery.handle_failed_attempt(state, body, now)
        case pb.Ready():
            return requests.handle_ready(state, body)
        case pb.Reply():
            return calls.handle_reply(state, peer, body, now)
        case pb.ProbeReply():
            return stalls.record_probe_reply(state, body)
        case pb.LoadReport():
            fleet.record_load_report(state, body)
            return []
    return handle_settings_event(state.settings, Received(peer, body)) or []


def _apply_update(state: EntryState, update: Any, now: int) -> Effects:
    effects = apply_push(state.settings, update.settings)
    effects += fleet.update_members(state, update)
    state.entry_count = update.entries or state.entry_count
    quarantine.merge_records(state, update, now)
    if update.departed or update.members or update.members_snapshot:
        effects += quarantine.resolve_pending_losses(state, now)
        effects += recovery.handle_members_change(state, now)
        effects += calls.handle_members_change(state, now)
    return effects


def _tick(state: EntryState, now: int) -> Effects:
    return requests.tick(state, now) + stalls.tick(state, now) + calls.tick(state, now)


__all__ = ["reduce"]

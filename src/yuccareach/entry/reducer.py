"""The entry's reducer over all events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.control.client import WatchUpdated
from yuccareach.entry import calls, fleet, quarantine, recovery, requests, stalls
from yuccareach.entry.events import (
    CallAsked,
    CallerLeft,
    CompletionAsked,
    DrainAsked,
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
    """Return the effects of one event; now is a steady time in milliseconds."""
    match event:
        case Received(peer=peer, body=body):
            return _received(state, peer, body, now)
        case CompletionAsked():
            return requests.ask(state, event, now)
        case CallAsked():
            return calls.ask(state, event, now)
        case PermitAnswered():
            return calls.permit_answered(state, event, now)
        case CallerLeft(request=request):
            return requests.caller_left(state, request, now) + calls.caller_left(
                state, request
            )
        case LinkLost(peer=peer):
            return recovery.link_lost(state, peer, now) + calls.link_lost(
                state, peer, now
            )
        case WatchUpdated(update=update):
            return _watch_updated(state, update, now)
        case Tick():
            return _tick(state, now)
        case DrainAsked():
            state.draining = True
            return [Log("draining", {"running": len(state.request_by_id)})]
    return handle_settings_event(state.settings, event) or []


def _received(state: EntryState, peer: str, body: Any, now: int) -> Effects:
    match body:
        case pb.Token():
            return requests.token(state, body, now)
        case pb.Failed():
            return recovery.failed(state, body, now)
        case pb.Ready():
            return requests.accepted(state, body)
        case pb.Reply():
            return calls.reply(state, peer, body, now)
        case pb.ProbeReply():
            return stalls.replied(state, body)
        case pb.LoadReport():
            fleet.load_reported(state, body)
            return []
    return handle_settings_event(state.settings, Received(peer, body)) or []


def _watch_updated(state: EntryState, update: Any, now: int) -> Effects:
    effects = apply_push(state.settings, update.settings)
    effects += fleet.update_members(state, update)
    state.entries = update.entries or state.entries
    effects += quarantine.learn(state, update.losses, now)
    if update.departed or update.members or update.members_snapshot:
        effects += quarantine.settle_pending(state, now)
        effects += recovery.members_changed(state, now)
        effects += calls.members_changed(state, now)
    return effects


def _tick(state: EntryState, now: int) -> Effects:
    return requests.tick(state, now) + stalls.tick(state, now) + calls.tick(state, now)


__all__ = ["reduce"]

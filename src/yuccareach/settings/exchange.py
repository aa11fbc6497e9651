"""Settings that travel along the data path, for processes cut off from control."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.links import Received, Send, SettingsBehind
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.settings.store import SettingsStore


def exchange(store: SettingsStore, event: Any) -> list[Any] | None:
    """Handle settings events; return None for events of other subjects."""
    match event:
        case SettingsBehind(peer=peer):
            return [Send(peer, pb.SettingsPull(revision=store.revision))]
        case Received(peer=peer, body=pb.SettingsPull() as pull):
            return _answer_pull(store, peer, pull)
        case Received(body=pb.SettingsPush() as push):
            return apply_push(store, push)
    return None


def apply_push(store: SettingsStore, push: pb.SettingsPush) -> list[Any]:
    """Apply pushed settings and log the revision that came into force."""
    if not store.apply(push):
        return []
    fields = {"revision": store.revision, "teams": len(push.teams)}
    return [Log("settings_in_force", fields, logging.INFO)]


def make_push(store: SettingsStore, revision: int) -> pb.SettingsPush:
    """Return what a peer at a revision lacks."""
    return pb.SettingsPush(
        after_revision=revision,
        revision=store.revision,
        teams=store.changes_after(revision),
    )


def _answer_pull(store: SettingsStore, peer: str, pull: pb.SettingsPull) -> list[Any]:
    if pull.revision >= store.revision:
        return []
    return [Send(peer, make_push(store, pull.revision))]


__all__ = ["apply_push", "exchange", "make_push"]

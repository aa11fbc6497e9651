"""Exchange settings between peers on the data path.

A process that has lost its connection to control still receives newer settings.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.links import NewerSettingsReported, Received, Send
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.settings.store import SettingsStore


def handle_settings_event(store: SettingsStore, event: Any) -> list[Any] | None:
    """Return the effects of a settings event, or None if the event is another one."""
    match event:
        case NewerSettingsReported(peer=peer):
            return [Send(peer, pb.SettingsPull(revision=store.revision))]
        case Received(peer=peer, body=pb.SettingsPull() as pull):
            return _reply_to_pull(store, peer, pull)
        case Received(body=pb.SettingsPush() as push):
            return apply_push(store, push)
    return None


def apply_push(store: SettingsStore, push: pb.SettingsPush) -> list[Any]:
    """Apply pushed settings; return the log event of the revision now in force.

    Nothing is returned if the push is older than the settings in force or has a gap.
    """
    if not store.apply(push):
        return []
    fields = {"revision": store.revision, "teams": len(push.teams)}
    return [Log("settings_in_force", fields, logging.INFO)]


def build_push(store: SettingsStore, revision: int) -> pb.SettingsPush:
    """Return a push of all changes after the revision that a peer has."""
    return pb.SettingsPush(
        after_revision=revision,
        revision=store.revision,
        teams=store.list_changes_after(revision),
    )


def _reply_to_pull(store: SettingsStore, peer: str, pull: pb.SettingsPull) -> list[Any]:
    if pull.revision >= store.revision:
        return []
    return [Send(peer, build_push(store, pull.revision))]


__all__ = ["apply_push", "build_push", "handle_settings_event"]

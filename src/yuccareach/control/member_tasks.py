"""Periodic tasks of a control instance that relay and save its members."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

from yuccareach.control.errors import DiskFailed
from yuccareach.control.raft_types import Role
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.logs import logger
from yuccareach.runtime.reducer import monotonic_ms

if TYPE_CHECKING:
    from yuccareach.control.run import ControlProcess

RELAY_INTERVAL_MS = 500
RELAYS_PER_FULL_RELAY = 10
# Each save costs one sync of the disk, which is acceptable as members change rarely.
MEMBERS_SAVE_INTERVAL_S = 0.5
_log = logger("control")


async def relay_members_periodically(process: ControlProcess) -> None:
    """Relay the members attached to this instance to the other control instances.

    A relay holds the changes since the one before. Every RELAYS_PER_FULL_RELAY-th holds
    all members, so that the others can remove those that it does not list. An instance
    that has not joined yet knows no others, and relays everything once it has.
    """
    relayed_version = 0
    for relay_number in itertools.count():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELAY_INTERVAL_MS / 1000):
                await process.relay_due.wait()
        process.relay_due.clear()
        if not process.state.address_of(process.state.identity):
            # A later incarnation may announce itself until the departure is relayed.
            process.unrelayed_dismissals = [
                dismissal
                for dismissal in process.unrelayed_dismissals
                if dismissal.started_ms
            ]
            continue
        # Before the end of its warm-up, this instance does not know all members that
        # are attached to it, and a full relay would remove those that are missing.
        warmed_up = process.members.is_warmed_up(monotonic_ms())
        is_full_relay = warmed_up and relay_number % RELAYS_PER_FULL_RELAY == 0
        since_version = 0 if is_full_relay else relayed_version
        heartbeats = [
            cpb.Heartbeat(member=record.member, revision=record.revision)
            for record in process.members.direct_members_since(since_version)
        ]
        departed = process.members.departed_since(relayed_version)
        relayed_version = process.members.version
        watchers = [watcher.request for watcher in process.watchers]
        dismissed, process.unrelayed_dismissals = process.unrelayed_dismissals, []
        process.peers.broadcast(
            heard=heartbeats,
            departed=departed,
            heard_all=is_full_relay,
            watchers=watchers,
            dismissed=dismissed,
        )


async def save_members_periodically(process: ControlProcess) -> None:
    """Save the members to disk, so that a restarted instance knows them."""
    while True:
        await asyncio.sleep(MEMBERS_SAVE_INTERVAL_S)
        version = process.members.version
        if (
            version == process.saved_members_version
            or process.state.role is Role.FAILED
        ):
            continue
        records = process.members.record_by_name.values()
        frame = cpb.RaftFrame(
            heard=[cpb.Heartbeat(member=record.member) for record in records]
        )
        try:
            process.store.save_members(frame)
        except DiskFailed as error:
            _log.warning("members_not_saved", extra={"reason": str(error)})
            continue
        process.saved_members_version = version


__all__ = ["relay_members_periodically", "save_members_periodically"]

"""What a control instance does about its members from time to time."""

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
RELAYS_PER_FULL = 10
# Members change rarely; a save costs one sync of the disk.
MEMBERS_SAVE_S = 0.5
_log = logger("control")


async def relay_members(process: ControlProcess) -> None:
    """Tell the other control instances who is attached here, mostly changes."""
    relayed_version = 0
    for turn in itertools.count():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELAY_INTERVAL_MS / 1000):
                await process.relay_due.wait()
        process.relay_due.clear()
        # One that has just started does not know yet whom it will hear from.
        warm = process.members.is_warmed_up(monotonic_ms())
        everything = warm and turn % RELAYS_PER_FULL == 0
        after = 0 if everything else relayed_version
        heard = [
            cpb.Heartbeat(member=item.member, revision=item.revision)
            for item in process.members.direct_members_since(after)
        ]
        departed = process.members.departed_since(relayed_version)
        relayed_version = process.members.version
        watchers = [watcher.request for watcher in process.watchers]
        dismissed, process.unrelayed_dismissals = process.unrelayed_dismissals, []
        process.peers.relay(
            heard=heard,
            departed=departed,
            heard_all=everything,
            watchers=watchers,
            dismissed=dismissed,
        )


async def remember_members(process: ControlProcess) -> None:
    """Write down who is a member, so that a restart does not begin with nobody."""
    while True:
        await asyncio.sleep(MEMBERS_SAVE_S)
        version = process.members.version
        if (
            version == process.saved_members_version
            or process.state.role is Role.FAILED
        ):
            continue
        heard = process.members.record_by_name.values()
        frame = cpb.RaftFrame(heard=[cpb.Heartbeat(member=h.member) for h in heard])
        try:
            process.store.save_members(frame)
        except DiskFailed as error:
            _log.warning("members_not_saved", extra={"reason": str(error)})
            continue
        process.saved_members_version = version


__all__ = ["relay_members", "remember_members"]

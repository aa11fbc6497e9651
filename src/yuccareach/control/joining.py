"""Staying a member of the log's cluster."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import grpc

from yuccareach.control.raft_types import Role
from yuccareach.proto.control_pb2_grpc import ControlStub
from yuccareach.runtime.reducer import monotonic_ms

if TYPE_CHECKING:
    from yuccareach.control.run import ControlProcess

JOIN_RETRY_MS = 500
JOIN_TIMEOUT_MS = 1_000
# Longer than elections take, so that only one who was removed asks again.
REJOIN_AFTER_MS = 2_500


async def stay_joined(process: ControlProcess) -> None:
    """Ask the cluster to be let in whenever no leader counts this instance."""
    tries = itertools.count()
    leader = ""
    while True:
        if not _needs_join(process):
            await asyncio.sleep(JOIN_RETRY_MS / 1000)
            continue
        targets = process.join_targets
        target = leader or targets[next(tries) % len(targets)]
        leader = ""
        if target != process.address:
            leader = await _ask_to_join(process, target)
        await asyncio.sleep(JOIN_RETRY_MS / 2 / 1000)


async def _ask_to_join(process: ControlProcess, target: str) -> str:
    """Return the leader that a control instance names, if it is another."""
    try:
        async with grpc.aio.insecure_channel(target) as channel:
            reply = await ControlStub(channel).Join(
                process.own_peer(), timeout=JOIN_TIMEOUT_MS / 1000
            )
    except grpc.RpcError:
        return ""
    return reply.leader_address if reply.leader_address != target else ""


def _needs_join(process: ControlProcess) -> bool:
    """Return whether no leader has been heard, or none has this instance."""
    state = process.state
    if not state.address_of(state.identity):
        return True
    silent_ms = monotonic_ms() - state.last_leader_contact_ms
    return state.role is not Role.LEADER and silent_ms > REJOIN_AFTER_MS


__all__ = ["stay_joined"]

"""Joining the Raft group, and rejoining it after a removal."""

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

JOIN_RETRY_INTERVAL_MS = 500
JOIN_TIMEOUT_MS = 1_000
# Longer than elections take, so that only an instance that was removed joins again.
REJOIN_TIMEOUT_MS = 2_500


async def stay_joined(process: ControlProcess) -> None:
    """Request to join whenever this instance is not a member or lacks a leader."""
    attempts = itertools.count()
    leader = ""
    while True:
        if not _should_join(process):
            await asyncio.sleep(JOIN_RETRY_INTERVAL_MS / 1000)
            continue
        targets = process.join_targets
        target = leader or targets[next(attempts) % len(targets)]
        leader = ""
        if target != process.address:
            leader = await _request_join(process, target)
        await asyncio.sleep(JOIN_RETRY_INTERVAL_MS / 2 / 1000)


async def _request_join(process: ControlProcess, target: str) -> str:
    """Send a join request; return the leader's address if the reply gives another."""
    try:
        async with grpc.aio.insecure_channel(target) as channel:
            reply = await ControlStub(channel).Join(
                process.own_peer(), timeout=JOIN_TIMEOUT_MS / 1000
            )
    except grpc.RpcError:
        return ""
    return reply.leader_address if reply.leader_address != target else ""


def _should_join(process: ControlProcess) -> bool:
    """Return whether this instance is not a member or lost contact with a leader."""
    state = process.state
    if state.role is Role.FAILED:
        # It may be known under an identity that it could not load.
        return False
    if not state.address_of(state.identity):
        return True
    since_contact_ms = monotonic_ms() - state.last_leader_contact_ms
    return state.role is not Role.LEADER and since_contact_ms > REJOIN_TIMEOUT_MS


__all__ = ["stay_joined"]

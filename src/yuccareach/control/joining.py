"""Joining the Raft group, rejoining it after a removal, and being found by others."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import grpc

from yuccareach.control.raft_types import Role
from yuccareach.proto.control_pb2_grpc import ControlStub
from yuccareach.runtime.logs import RepeatFilter, logger
from yuccareach.runtime.reducer import monotonic_ms
from yuccareach.runtime.rpc import get_error_code

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from yuccareach.control.run import ControlProcess

JOIN_RETRY_INTERVAL_MS = 500
INTRODUCTION_INTERVAL_MS = 1_000
# An instance whose last frame is older may have stopped.
HEARD_TIMEOUT_MS = 3_000
JOIN_TIMEOUT_MS = 1_000
# Longer than elections take, so that only an instance that was removed joins again.
REJOIN_TIMEOUT_MS = 2_500
# An instance's unchanged answer to requests to join is logged at this interval.
JOIN_LOG_INTERVAL_S = 5.0
_log = logger("control")


async def stay_joined(process: ControlProcess) -> None:
    """Request to join whenever this instance is not a member or lacks a leader."""
    attempts = itertools.count()
    leader = ""
    log_filter = RepeatFilter(JOIN_LOG_INTERVAL_S)
    while True:
        if not _should_join(process):
            log_filter.clear()
            await asyncio.sleep(JOIN_RETRY_INTERVAL_MS / 1000)
            continue
        target = leader or select_join_target(
            process.peers.list_heard(monotonic_ms(), HEARD_TIMEOUT_MS),
            [*process.join_targets, *process.peers.list_addresses()],
            process.address,
            next(attempts),
        )
        leader = ""
        if target:
            leader, outcome = await _request_join(process, target)
            if log_filter.admit(target, outcome, monotonic_ms() / 1000):
                _log.info(
                    "join_requested", extra={"target": target, "outcome": outcome}
                )
        await asyncio.sleep(JOIN_RETRY_INTERVAL_MS / 2 / 1000)


def select_join_target(
    heard: Sequence[str], configured: Iterable[str], own_address: str, attempt: int
) -> str:
    """Return the address to ask at an attempt, or an empty string if there is none.

    Every second attempt asks an instance that was heard lately. The configured ones may
    all be down, or know as little as this one; those that were heard may have no leader
    either.
    """
    others = [
        address for address in dict.fromkeys(configured) if address != own_address
    ]
    round_number, turn = divmod(attempt, 2)
    choices = (heard or others) if turn == 0 else (others or heard)
    return choices[round_number % len(choices)] if choices else ""


async def introduce_to_seeds(process: ControlProcess) -> None:
    """Send this instance's address to the seeds that are not members.

    They may have lost their state or be new, and may know no one but each other.
    Members need no introduction, since the leader sends to their addresses anyway.
    """
    while True:
        await asyncio.sleep(INTRODUCTION_INTERVAL_MS / 1000)
        members = {peer.address for peer in process.state.membership.peers}
        seeds = [item for item in process.join_targets if item != process.address]
        if process.state.role is not Role.FAILED and not _should_join(process):
            for address in itertools.filterfalse(members.__contains__, seeds):
                process.peers.introduce(address)
        await process.peers.close_unused({*members, *seeds}, monotonic_ms())


async def _request_join(process: ControlProcess, target: str) -> tuple[str, str]:
    """Send a join request.

    Returns the leader's address if the reply gives another, and the outcome as text.
    """
    try:
        async with grpc.aio.insecure_channel(target) as channel:
            reply = await ControlStub(channel).Join(
                process.own_peer(), timeout=JOIN_TIMEOUT_MS / 1000
            )
    except grpc.RpcError as error:
        return "", get_error_code(error)
    if not reply.not_leader:
        return "", "accepted"
    leader = reply.leader_address if reply.leader_address != target else ""
    return leader, f"redirect to {leader or 'none'}"


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


__all__ = [
    "HEARD_TIMEOUT_MS",
    "introduce_to_seeds",
    "select_join_target",
    "stay_joined",
]

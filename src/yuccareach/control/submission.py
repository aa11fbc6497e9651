"""Submission of commands by a control instance, which may not lead itself."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import grpc

from yuccareach.control.errors import ControlUnavailable, RequestRefusedError
from yuccareach.control.joining import HEARD_TIMEOUT_MS
from yuccareach.control.raft_types import CommandSubmitted, Role
from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.control_pb2_grpc import ControlStub
from yuccareach.runtime.links import CHANNEL_OPTIONS
from yuccareach.runtime.logs import logger
from yuccareach.runtime.reducer import monotonic_ms
from yuccareach.runtime.rpc import get_error_code

if TYPE_CHECKING:
    from yuccareach.control.run import ControlProcess

RETRY_DELAY_MS = 50
# Shorter than the timeout of a submission, so that one silent instance does not use it
# up.
FORWARD_TIMEOUT_MS = 350
_log = logger("control")


async def submit_command(
    process: ControlProcess, command: cpb.Command, timeout_ms: int
) -> cpb.CommandAnswer:
    """Return the answer to a command once the leader has committed it.

    Raises ControlUnavailable if no leader has confirmed it within the timeout.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            return await _submit_until_committed(process, command)
    except TimeoutError as error:
        raise ControlUnavailable(
            f"no leader has committed it within {timeout_ms} ms", True
        ) from error


async def _submit_until_committed(
    process: ControlProcess, command: cpb.Command
) -> cpb.CommandAnswer:
    """Submit a command here or to the leader until one of them has committed it."""
    named_leader = ""
    attempts = itertools.count()
    while True:
        if process.state.role is Role.LEADER:
            try:
                answer: cpb.CommandAnswer = await process.dispatch_and_wait(
                    lambda ticket: CommandSubmitted(ticket, command)
                )
                return answer
            except RequestRefusedError as error:
                named_leader = error.leader_address
        else:
            target = named_leader or _select_target(process, next(attempts))
            named_leader = ""
            if target:
                reply = await _forward(target, command)
                if reply is not None and not reply.not_leader:
                    return reply.answer
                if reply is not None and reply.leader_address != target:
                    named_leader = reply.leader_address
        await asyncio.sleep(RETRY_DELAY_MS / 1000)


def _select_target(process: ControlProcess, attempt: int) -> str:
    """Return the leader's address, or at later attempts those of the others in turn.

    An instance that has not joined knows those only that it has heard.
    """
    state = process.state
    candidates = [
        state.address_of(state.leader),
        *process.peers.list_heard(monotonic_ms(), HEARD_TIMEOUT_MS),
        *process.peers.list_addresses(),
        *process.join_targets,
    ]
    addresses = [
        address
        for address in dict.fromkeys(candidates)
        if address and address != process.address
    ]
    return addresses[attempt % len(addresses)] if addresses else ""


async def _forward(target: str, command: cpb.Command) -> cpb.SubmitReply | None:
    """Submit a command at another instance; return None if it does not answer.

    The channel is not kept: submissions are rare, and an open connection may hang
    without an error.
    """
    try:
        async with grpc.aio.insecure_channel(
            target, options=CHANNEL_OPTIONS
        ) as channel:
            reply: cpb.SubmitReply = await ControlStub(channel).Submit(
                cpb.SubmitRequest(command=command), timeout=FORWARD_TIMEOUT_MS / 1000
            )
            return reply
    except grpc.RpcError as error:
        _log.info(
            "submission_failed",
            extra={"target": target, "reason": get_error_code(error)},
        )
        return None


__all__ = ["submit_command"]

"""The gRPC service that a control instance offers to entries, agents and peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import grpc

from yuccareach.control.departures import complete_withdrawal
from yuccareach.control.errors import RequestRefusedError
from yuccareach.control.members import MEMBER_LEASE_MS
from yuccareach.control.raft_types import (
    CommandSubmitted,
    PeerJoinRequested,
    RaftMessageReceived,
)
from yuccareach.control.views import answer_view
from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.control_pb2_grpc import ControlServicer
from yuccareach.runtime.reducer import monotonic_ms

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from yuccareach.control.run import ControlProcess

# A change is sent to watchers this long after it, together with the changes since.
PUSH_DELAY_MS = 200
HEARTBEAT_REPLY_INTERVAL_MS = 10_000


class Watcher:
    """One entry or agent that watches settings, with the state last sent to it."""

    def __init__(self, request: cpb.WatchRequest) -> None:
        # The last request; its revision is the one in force at the watcher.
        self.request = request
        self.sent_revision: int = request.revision
        self.members_version = 0
        self.sent_entry_count = 0
        self.sent_loss_changes = 0


class ControlService(ControlServicer):  # type: ignore[misc]
    """Serves the calls of entries, agents and the other control instances."""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process

    async def Announce(
        self, request_iterator: AsyncIterator[cpb.Heartbeat], context: Any
    ) -> AsyncIterator[cpb.HeartbeatReply]:
        """Record an agent's heartbeats and reply with the revision and the lease."""
        replied_ms = 0
        name = ""
        try:
            async for heartbeat in request_iterator:
                self.process.record_heartbeat(heartbeat)
                name = heartbeat.member.backend_server
                now = monotonic_ms()
                if now - replied_ms >= HEARTBEAT_REPLY_INTERVAL_MS:
                    replied_ms = now
                    yield cpb.HeartbeatReply(
                        revision=self.process.machine.revision, lease_ms=MEMBER_LEASE_MS
                    )
        finally:
            self.process.members.record_stream_end(name)

    async def Watch(
        self, request_iterator: AsyncIterator[cpb.WatchRequest], context: Any
    ) -> AsyncIterator[cpb.WatchUpdate]:
        """Send settings and members to an entry or agent as they change."""
        watcher = Watcher(await anext(request_iterator))
        reader = asyncio.create_task(_read_acknowledgements(watcher, request_iterator))
        self.process.watchers.add(watcher)
        try:
            while not reader.done():
                change_event = self.process.select_change_event(watcher)
                update = self.process.build_update(watcher)
                if update is not None:
                    yield update
                await change_event.wait()
                await asyncio.sleep(PUSH_DELAY_MS / 1000)
        finally:
            self.process.watchers.discard(watcher)
            reader.cancel()

    async def Submit(self, request: cpb.SubmitRequest, context: Any) -> cpb.SubmitReply:
        """Commit a command, or return the leader's address if another one leads."""
        complete_withdrawal(self.process, request.command)
        try:
            answer = await self.process.dispatch_and_wait(
                lambda ticket: CommandSubmitted(ticket, request.command)
            )
        except RequestRefusedError as error:
            return _build_not_leader_reply(error)
        return cpb.SubmitReply(answer=answer)

    async def Join(self, request: cpb.Peer, context: Any) -> cpb.SubmitReply:
        """Add a control instance to the log's membership as a non-voter."""
        self.process.peers.record_identity(request.identity, request.address)
        try:
            answer = await self.process.dispatch_and_wait(
                lambda ticket: PeerJoinRequested(ticket, request)
            )
        except RequestRefusedError as error:
            return _build_not_leader_reply(error)
        return cpb.SubmitReply(answer=answer)

    async def Poll(self, request: cpb.ViewRequest, context: Any) -> cpb.View:
        """Return a view: the routing document in force and the members."""
        return await answer_view(self.process, request)

    async def Raft(
        self, request_iterator: AsyncIterator[cpb.RaftFrame], context: Any
    ) -> AsyncIterator[cpb.RaftFrame]:
        """Receive frames of another control instance; nothing is returned."""
        async for frame in request_iterator:
            self.process.receive_relayed_frame(frame)
            for message in frame.messages:
                self.process.dispatch(RaftMessageReceived(message))
        # Unreachable yield, which makes this method an async generator.
        for _ in ():
            yield cpb.RaftFrame()


def _build_not_leader_reply(error: RequestRefusedError) -> cpb.SubmitReply:
    reply = cpb.SubmitReply(not_leader=True, leader_address=error.leader_address)
    if str(error) == "lost_leadership":
        # The next leader may still commit the command.
        reply.answer.error = "lost_leadership"
    return reply


async def _read_acknowledgements(
    watcher: Watcher, requests: AsyncIterator[cpb.WatchRequest]
) -> None:
    """Record the revision in force at a watcher until its stream ends."""
    try:
        async for request in requests:
            watcher.request = request
    except grpc.RpcError:
        pass


__all__ = ["ControlService", "Watcher"]

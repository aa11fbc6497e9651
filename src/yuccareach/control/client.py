"""Client of the control instances, used by entries and agents."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

import grpc

from yuccareach.control.errors import ControlUnavailable
from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.control_pb2_grpc import ControlStub
from yuccareach.runtime.links import CHANNEL_OPTIONS
from yuccareach.runtime.streams import NewestStreamSignal
from yuccareach.runtime.tasks import cancel_tasks

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

RECONNECT_DELAY_MS = 200
SUBMIT_ATTEMPT_TIMEOUT_MS = 1_500
REVISION_CHECK_INTERVAL_MS = 500


class WatchUpdated(NamedTuple):
    """An event: control sent newer settings or members."""

    update: cpb.WatchUpdate


class ControlClient:
    """Streams and calls to the control instances, retried at another one on failure.

    get_revision returns the settings revision in force at this process. watch_members
    requests changes of the members in addition to settings.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        instance: str,
        availability_zone: str,
        dispatch: Callable[[Any], None],
        get_revision: Callable[[], int],
        *,
        watch_members: bool,
    ) -> None:
        self.addresses = addresses
        self.instance = instance
        self.availability_zone = availability_zone
        self.dispatch = dispatch
        self.get_revision = get_revision
        self.watch_members = watch_members
        self.heartbeat: cpb.Heartbeat | None = None
        self.heartbeat_signal = NewestStreamSignal()
        self.watch_signal = NewestStreamSignal()
        self.leader_address = ""
        self.submit_addresses = deque(addresses)
        self.channel_by_address: dict[str, grpc.aio.Channel] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the streams that watch settings and send heartbeats.

        The instance name selects the first address, so that clients spread over the
        control instances.
        """
        first = sum(self.instance.encode()) % len(self.addresses)
        addresses = [*self.addresses[first:], *self.addresses[:first]]
        self.tasks = [
            asyncio.create_task(self._keep_streaming(addresses, self._watch)),
            asyncio.create_task(
                self._keep_streaming(addresses, self._stream_heartbeats)
            ),
        ]

    async def _keep_streaming(
        self, addresses: list[str], run_stream: Callable[[str], Any]
    ) -> None:
        """Run a stream and, when it ends, run it again at the next address."""
        for address in itertools.cycle(addresses):
            try:
                await run_stream(address)
            except grpc.RpcError:
                pass
            await asyncio.sleep(RECONNECT_DELAY_MS / 1000)

    def _stub(self, address: str) -> ControlStub:
        channel = self.channel_by_address.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self.channel_by_address[address] = channel
        return ControlStub(channel)

    async def _watch(self, address: str) -> None:
        async for update in self._stub(address).Watch(self._watch_requests()):
            self.dispatch(WatchUpdated(update))

    async def _watch_requests(self) -> AsyncIterator[cpb.WatchRequest]:
        """Yield the request that starts the watch, then one for each new revision."""
        reported_revision = -1
        stream_number = self.watch_signal.start_stream()
        is_current_stream = True
        while is_current_stream:
            revision = self.get_revision()
            if revision != reported_revision:
                reported_revision = revision
                yield cpb.WatchRequest(
                    instance=self.instance,
                    availability_zone=self.availability_zone,
                    revision=revision,
                    members=self.watch_members,
                )
            interval_s = REVISION_CHECK_INTERVAL_MS / 1000
            is_current_stream = await self.watch_signal.sleep(stream_number, interval_s)

    def send_heartbeat(self, member: cpb.Member, *, leaving: bool = False) -> None:
        """Send a heartbeat at once; leaving announces the departure of the member."""
        self.heartbeat = cpb.Heartbeat(
            member=member, revision=self.get_revision(), leaving=leaving
        )
        self.heartbeat_signal.notify()

    async def _stream_heartbeats(self, address: str) -> None:
        async for _ in self._stub(address).Announce(self._heartbeat_requests()):
            pass

    async def _heartbeat_requests(self) -> AsyncIterator[cpb.Heartbeat]:
        stream_number = self.heartbeat_signal.start_stream()
        while await self.heartbeat_signal.wait(stream_number):
            if self.heartbeat is not None:
                yield self.heartbeat

    async def submit(self, command: cpb.Command, timeout_ms: int) -> cpb.CommandAnswer:
        """Send a command to the leader and return the answer once it is committed.

        Raises ControlUnavailable if no leader answers within the timeout. Its attribute
        may_have_arrived is False only if no control instance can have received the
        command.
        """
        deadline = asyncio.get_running_loop().time() + timeout_ms / 1000
        may_have_arrived = False
        while True:
            remaining_s = deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                raise ControlUnavailable(
                    f"no control leader answered in time ({timeout_ms} ms)",
                    may_have_arrived,
                )
            target = self.leader_address or self.submit_addresses[0]
            try:
                reply = await self._stub(target).Submit(
                    cpb.SubmitRequest(command=command),
                    timeout=min(remaining_s, SUBMIT_ATTEMPT_TIMEOUT_MS / 1000),
                )
            except grpc.RpcError as error:
                may_have_arrived = may_have_arrived or _can_have_arrived(error)
                self.leader_address = ""
                # The next attempt, also for another command, uses the next address.
                self.submit_addresses.rotate(-1)
            else:
                if not reply.not_leader:
                    return reply.answer
                may_have_arrived = may_have_arrived or bool(reply.answer.error)
                self.leader_address = reply.leader_address
                if self.leader_address and self.leader_address != target:
                    continue
                self.leader_address = ""
                self.submit_addresses.rotate(-1)
            await asyncio.sleep(RECONNECT_DELAY_MS / 2000)

    async def close(self) -> None:
        """End the streams and close the channels."""
        await cancel_tasks(self.tasks)
        for channel in self.channel_by_address.values():
            await channel.close()


def _can_have_arrived(error: grpc.RpcError) -> bool:
    """Return whether the server may have received a call that failed."""
    not_connected = "failed to connect" in str(error.details() or "").lower()
    return not not_connected


__all__ = ["ControlClient", "WatchUpdated"]

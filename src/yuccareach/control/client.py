"""How entries and agents talk to control, through whichever instance answers."""

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

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

RECONNECT_MS = 200
SUBMIT_TRY_MS = 1_500
ACKNOWLEDGE_INTERVAL_MS = 500


class WatchUpdated(NamedTuple):
    """Control sent newer settings or members."""

    update: cpb.WatchUpdate


class ControlClient:
    """Streams and calls to the control instances, moved on when one fails."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        instance: str,
        availability_zone: str,
        dispatch: Callable[[Any], None],
        revision: Callable[[], int],
        *,
        members: bool,
    ) -> None:
        self.addresses = addresses
        self.instance = instance
        self.availability_zone = availability_zone
        self.dispatch = dispatch
        self.revision = revision
        self.members = members
        self.heartbeat: cpb.Heartbeat | None = None
        self.announcing = NewestStreamSignal()
        self.watching = NewestStreamSignal()
        self.leader = ""
        self.order = deque(addresses)
        self.channel_by_address: dict[str, grpc.aio.Channel] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Keep a watch, and an announcement once there is one."""
        start = sum(self.instance.encode()) % len(self.addresses)
        order = [*self.addresses[start:], *self.addresses[:start]]
        self.tasks = [
            asyncio.create_task(self._keep(order, self._watch)),
            asyncio.create_task(self._keep(order, self._announce)),
        ]

    async def _keep(self, order: list[str], run: Callable[[str], Any]) -> None:
        """Run a stream to one address after another."""
        for address in itertools.cycle(order):
            try:
                await run(address)
            except grpc.RpcError:
                pass
            await asyncio.sleep(RECONNECT_MS / 1000)

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
        """Start the watch, then report every revision that comes into force."""
        reported = -1
        number = self.watching.start_stream()
        going_on = True
        while going_on:
            revision = self.revision()
            if revision != reported:
                reported = revision
                yield cpb.WatchRequest(
                    instance=self.instance,
                    availability_zone=self.availability_zone,
                    revision=revision,
                    members=self.members,
                )
            pause_s = ACKNOWLEDGE_INTERVAL_MS / 1000
            going_on = await self.watching.sleep(number, pause_s)

    def announce(self, member: cpb.Member, *, leaving: bool = False) -> None:
        """Send a heartbeat at once."""
        self.heartbeat = cpb.Heartbeat(
            member=member, revision=self.revision(), leaving=leaving
        )
        self.announcing.notify()

    async def _announce(self, address: str) -> None:
        async for _ in self._stub(address).Announce(self._heartbeats()):
            pass

    async def _heartbeats(self) -> AsyncIterator[cpb.Heartbeat]:
        number = self.announcing.start_stream()
        while await self.announcing.wait(number):
            if self.heartbeat is not None:
                yield self.heartbeat

    async def submit(self, command: cpb.Command, timeout_ms: int) -> cpb.CommandAnswer:
        """Have a command committed; raises ControlUnavailable.

        The error's sent is False only where no instance can have taken the command.
        """
        deadline = asyncio.get_running_loop().time() + timeout_ms / 1000
        sent = False
        while True:
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                raise ControlUnavailable("no control leader answered in time", sent)
            target = self.leader or self.order[0]
            try:
                reply = await self._stub(target).Submit(
                    cpb.SubmitRequest(command=command),
                    timeout=min(left, SUBMIT_TRY_MS / 1000),
                )
            except grpc.RpcError as error:
                sent = sent or _may_have_arrived(error)
                self.leader = ""
                # The next try, also of another command, starts elsewhere.
                self.order.rotate(-1)
            else:
                if not reply.not_leader:
                    return reply.answer
                sent = sent or bool(reply.answer.error)
                self.leader = reply.leader_address
                if self.leader and self.leader != target:
                    continue
                self.leader = ""
                self.order.rotate(-1)
            await asyncio.sleep(RECONNECT_MS / 2000)

    async def close(self) -> None:
        """End the streams."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for channel in self.channel_by_address.values():
            await channel.close()


def _may_have_arrived(error: grpc.RpcError) -> bool:
    """Return whether a failed call may have reached the other end."""
    refused = "failed to connect" in str(error.details() or "").lower()
    return not refused


__all__ = ["ControlClient", "WatchUpdated"]

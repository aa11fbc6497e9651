"""Announce many backend servers to control from a single process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc

from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.control_pb2_grpc import ControlStub

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEARTBEAT_INTERVAL_S = 1.0


def make_fake_member(number: int, models: int = 1) -> cpb.Member:
    """Return one of many backend servers, each with one of two stages of a model."""
    stage = number // models % 2
    return cpb.Member(
        backend_server=f"backend-server-{number:05d}",
        incarnation=f"{number:012x}",
        address=f"10.0.{number // 250}.{number % 250}:7000",
        availability_zone=f"zone-{number % 12}",
        kind="a100",
        pipeline=f"model-{number % models}",
        layers=24,
        first_layer=12 * stage,
        end_layer=12 * (stage + 1),
        max_batch=64,
        decode_rate=1000.0,
    )


class FakeAgents:
    """Opens the streams of many agents: for each, one to announce and one to watch."""

    def __init__(self, addresses: list[str], count: int, models: int = 1) -> None:
        self.addresses = addresses
        self.count = count
        self.models = models
        self.channels: list[grpc.aio.Channel] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open all streams, distributed over the control instances."""
        for number in range(self.count):
            address = self.addresses[number % len(self.addresses)]
            options = [("grpc.use_local_subchannel_pool", 1)]
            channel = grpc.aio.insecure_channel(address, options=options)
            self.channels.append(channel)
            stub = ControlStub(channel)
            self.tasks += [
                asyncio.create_task(self._announce(stub, number)),
                asyncio.create_task(self._watch(stub, number)),
            ]
        await asyncio.sleep(1.0)

    async def _announce(self, stub: ControlStub, number: int) -> None:
        async def _heartbeats() -> AsyncIterator[cpb.Heartbeat]:
            member = make_fake_member(number, self.models)
            await asyncio.sleep(number / self.count * HEARTBEAT_INTERVAL_S)
            while True:
                member.load.running = (member.load.running + 1) % 5
                yield cpb.Heartbeat(member=member)
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

        try:
            async for _ in stub.Announce(_heartbeats()):
                pass
        except grpc.RpcError:
            pass

    async def _watch(self, stub: ControlStub, number: int) -> None:
        revisions: asyncio.Queue[int] = asyncio.Queue()
        revisions.put_nowait(0)

        async def _acknowledgements() -> AsyncIterator[cpb.WatchRequest]:
            while True:
                yield cpb.WatchRequest(
                    instance=f"backend-server-{number:05d}",
                    availability_zone=f"zone-{number % 12}",
                    revision=await revisions.get(),
                )

        try:
            async for update in stub.Watch(_acknowledgements()):
                if update.settings.revision:
                    revisions.put_nowait(update.settings.revision)
        except grpc.RpcError:
            pass

    async def stop(self) -> None:
        """Close all streams."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(channel.close() for channel in self.channels))

"""Client of the engine that this agent serves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import grpc

from yuccareach.agent.events import (
    EngineLoadReported,
    EngineLost,
    EngineReady,
    RunStep,
    StepDone,
)
from yuccareach.proto import engine_pb2 as epb
from yuccareach.proto.engine_pb2_grpc import EngineStub
from yuccareach.runtime.links import CHANNEL_OPTIONS
from yuccareach.runtime.streams import NewestStreamSignal
from yuccareach.runtime.tasks import cancel_tasks

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

RECONNECT_DELAY_MS = 200
INFO_TIMEOUT_MS = 2_000


class EngineClient:
    """Keeps one stream to the engine and sends queued steps in batches."""

    def __init__(self, address: str, dispatch: Callable[[Any], None]) -> None:
        self.address = address
        self.dispatch = dispatch
        self.steps: list[epb.Step] = []
        self.step_signal = NewestStreamSignal()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Connect, and reconnect whenever the connection was lost."""
        self.tasks = [asyncio.create_task(self._stay_connected())]

    def run(self, effect: RunStep) -> None:
        """Queue a step."""
        self.steps.append(effect.step)
        self.step_signal.notify()

    async def _stay_connected(self) -> None:
        while True:
            try:
                await self._run_connection()
            except grpc.RpcError:
                pass
            await asyncio.sleep(RECONNECT_DELAY_MS / 1000)

    async def _run_connection(self) -> None:
        """Serve one connection to the engine until it ends."""
        async with grpc.aio.insecure_channel(
            self.address, options=CHANNEL_OPTIONS
        ) as channel:
            stub = EngineStub(channel)
            timeout = INFO_TIMEOUT_MS / 1000
            info = await stub.Info(epb.InfoRequest(), timeout=timeout)
            # Steps queued earlier belong to sequences that the engine has lost.
            self.steps.clear()
            self.dispatch(EngineReady(info))
            watch_task = asyncio.create_task(self._watch_load(stub))
            try:
                async for batch in stub.Run(self._generate_batches()):
                    for result in batch.results:
                        self.dispatch(StepDone(result))
            finally:
                watch_task.cancel()
                self.dispatch(EngineLost())

    async def _watch_load(self, stub: EngineStub) -> None:
        """Dispatch the load reports that the engine publishes."""
        try:
            async for report in stub.Watch(epb.WatchRequest()):
                self.dispatch(EngineLoadReported(report))
        except grpc.RpcError:
            pass

    async def _generate_batches(self) -> AsyncIterator[epb.StepBatch]:
        stream_number = self.step_signal.start_stream()
        while await self.step_signal.wait(stream_number):
            steps, self.steps = self.steps, []
            yield epb.StepBatch(steps=steps)

    async def close(self) -> None:
        """Close the connection."""
        await cancel_tasks(self.tasks)


__all__ = ["EngineClient"]

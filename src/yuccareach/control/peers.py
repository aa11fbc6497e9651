"""Streams from one control instance to the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import grpc

from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.control_pb2_grpc import ControlStub
from yuccareach.runtime.links import CHANNEL_OPTIONS
from yuccareach.runtime.streams import NewestStreamSignal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from yuccareach.control.raft_types import RaftState

QUEUE_LIMIT = 256


class _PeerOutbox:
    """Messages for one peer; the oldest are dropped when it does not take them."""

    def __init__(self) -> None:
        self.frames: list[cpb.RaftFrame] = []
        self.turn = NewestStreamSignal()
        self.task: asyncio.Task[None] | None = None

    def put(self, frame: cpb.RaftFrame) -> None:
        """Queue a frame."""
        self.frames.append(frame)
        del self.frames[:-QUEUE_LIMIT]
        self.turn.notify()

    async def requests(self) -> AsyncIterator[cpb.RaftFrame]:
        """Yield queued frames merged into one."""
        number = self.turn.start_stream()
        while await self.turn.wait(number):
            frames, self.frames = self.frames, []
            merged = _merge(frames)
            if merged is not None:
                yield merged


def _merge(frames: list[cpb.RaftFrame]) -> cpb.RaftFrame | None:
    """Join queued frames; the newest list of watchers replaces older ones."""
    if not frames:
        return None
    merged = frames[0]
    for frame in frames[1:]:
        merged.messages.extend(frame.messages)
        merged.departed.extend(frame.departed)
        merged.dismissed.extend(frame.dismissed)
        if frame.heard_all:
            del merged.heard[:]
            merged.heard_all = True
        merged.heard.extend(frame.heard)
        if frame.watchers:
            del merged.watchers[:]
            merged.watchers.extend(frame.watchers)
    return merged


class PeerLinks:
    """One outgoing stream for each other control instance."""

    def __init__(self, state: RaftState, address: str) -> None:
        self.state = state
        self.address = address
        self.outbox_by_address: dict[str, _PeerOutbox] = {}
        self.address_by_identity: dict[str, str] = {}

    def send(self, message: cpb.RaftMessage) -> None:
        """Send a message of the log to the instance it names."""
        address = self.state.address_of(message.target)
        if address:
            self.address_by_identity[message.target] = address
        address = address or self.address_by_identity.get(message.target, "")
        if address:
            self._outbox(address).put(self._frame(messages=[message]))

    def relay(self, **content: Any) -> None:
        """Tell every other instance who is attached here."""
        for identity in self.state.others:
            frame = self._frame(**content)
            self._outbox(self.state.address_of(identity)).put(frame)

    def learn(self, frame: cpb.RaftFrame) -> None:
        """Note where a peer that is not in the log yet can be answered."""
        if frame.source_address:
            self.address_by_identity[frame.source] = frame.source_address

    def _frame(self, **content: Any) -> cpb.RaftFrame:
        return cpb.RaftFrame(
            source=self.state.identity, source_address=self.address, **content
        )

    def _outbox(self, address: str) -> _PeerOutbox:
        outbox = self.outbox_by_address.get(address)
        if outbox is None:
            outbox = self.outbox_by_address[address] = _PeerOutbox()
            outbox.task = asyncio.create_task(self._run(address, outbox))
        return outbox

    async def _run(self, address: str, outbox: _PeerOutbox) -> None:
        """Keep a stream to one address for as long as it is a member."""
        while True:
            try:
                async with grpc.aio.insecure_channel(
                    address, options=CHANNEL_OPTIONS
                ) as channel:
                    async for _ in ControlStub(channel).Raft(outbox.requests()):
                        pass
            except grpc.RpcError:
                pass
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End every stream."""
        tasks = [box.task for box in self.outbox_by_address.values() if box.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ["PeerLinks"]

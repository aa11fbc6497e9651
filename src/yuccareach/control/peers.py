"""Outgoing streams from one control instance to the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import grpc

from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.control_pb2_grpc import ControlStub
from yuccareach.runtime.links import CHANNEL_OPTIONS, SILENCE_DETECTION_MS
from yuccareach.runtime.logs import logger
from yuccareach.runtime.reducer import monotonic_ms
from yuccareach.runtime.streams import NewestStreamSignal
from yuccareach.runtime.tasks import cancel_tasks

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Collection

    from yuccareach.control.raft_types import RaftState

MAX_QUEUED_FRAMES = 256
# The senders heard longest ago are forgotten above this number.
MAX_HEARD_ADDRESSES = 32
UNUSED_STREAM_TIMEOUT_MS = 10_000
# The shortest time between two streams that are opened for another identity. Pings end
# a silent stream within the same time.
REOPEN_INTERVAL_MS = SILENCE_DETECTION_MS
_log = logger("control")


class _PeerOutbox:
    """Queue of frames for one peer; drops the oldest when it is full."""

    def __init__(self) -> None:
        self.frames: list[cpb.RaftFrame] = []
        self.frame_signal = NewestStreamSignal()
        self.task: asyncio.Task[None] | None = None
        # When a frame was queued last.
        self.used_ms = 0
        # Who was last heard from the address; empty if unknown.
        self.identity = ""
        # When the stream was last opened for another identity.
        self.reopened_ms: int | None = None

    def put(self, frame: cpb.RaftFrame) -> None:
        """Queue a frame."""
        self.used_ms = monotonic_ms()
        self.frames.append(frame)
        del self.frames[:-MAX_QUEUED_FRAMES]
        self.frame_signal.notify()

    async def requests(self) -> AsyncIterator[cpb.RaftFrame]:
        """Yield frames for one stream, merging all that are queued into one."""
        stream_number = self.frame_signal.start_stream()
        while await self.frame_signal.wait(stream_number):
            frames, self.frames = self.frames, []
            merged = _merge(frames)
            if merged is not None:
                yield merged


def _merge(frames: list[cpb.RaftFrame]) -> cpb.RaftFrame | None:
    """Merge queued frames into the first, or return None if there are none.

    A complete list of heartbeats (heard_all) replaces the heartbeats before it, and a
    list of watchers replaces older ones.
    """
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


class PeerStreams:
    """One outgoing stream for each address of another control instance."""

    def __init__(self, state: RaftState, address: str) -> None:
        self.state = state
        self.address = address
        self.outbox_by_address: dict[str, _PeerOutbox] = {}
        self.address_by_identity: dict[str, str] = {}
        # Addresses that frames came from, the latest last.
        self.heard_ms_by_address: dict[str, int] = {}

    def send(self, message: cpb.RaftMessage) -> None:
        """Queue a Raft message for its target; drop it if the address is unknown."""
        address = self.state.address_of(message.target)
        if address:
            self.address_by_identity[message.target] = address
        address = address or self.address_by_identity.get(message.target, "")
        if address:
            self._outbox(address).put(self._frame(messages=[message]))

    def broadcast(self, **content: Any) -> None:
        """Queue a frame for every other control instance that may lead.

        Only a leader uses members that others relay.
        """
        for identity in self.state.durable_identities:
            frame = self._frame(**content)
            self._outbox(self.state.address_of(identity)).put(frame)

    def introduce(self, address: str) -> None:
        """Queue a frame that tells an instance nothing but this one's address."""
        self._outbox(address).put(self._frame())

    def record_source_address(self, frame: cpb.RaftFrame, now_ms: int) -> None:
        """Record the address of a frame's sender.

        It serves to reply, since this instance's log may not contain the membership
        with that sender yet, and to join: an instance that has lost its state learns of
        the others from their frames.
        """
        address = frame.source_address
        if not address or address == self.address:
            return
        self.address_by_identity[frame.source] = address
        self.record_identity(frame.source, address)
        self.heard_ms_by_address.pop(address, None)
        self.heard_ms_by_address[address] = now_ms
        if len(self.heard_ms_by_address) > MAX_HEARD_ADDRESSES:
            del self.heard_ms_by_address[next(iter(self.heard_ms_by_address))]

    def record_identity(self, identity: str, address: str) -> None:
        """Open the stream to an address again if another identity is there now.

        The open one leads to a process that is gone. If nothing has closed it, it
        would keep an instance that lost its disk from its records until pings end it.
        This is done once in REOPEN_INTERVAL_MS, since two instances that are configured
        with the same address would otherwise reopen the stream with each frame.
        """
        outbox = self.outbox_by_address.get(address)
        if outbox is None or outbox.task is None:
            return
        if outbox.identity in ("", identity):
            outbox.identity = identity
            return
        now_ms = monotonic_ms()
        if (
            outbox.reopened_ms is not None
            and now_ms - outbox.reopened_ms < REOPEN_INTERVAL_MS
        ):
            return
        outbox.identity, outbox.reopened_ms = identity, now_ms
        _log.info("stream_reopened", extra={"address": address, "identity": identity})
        outbox.task.cancel()
        outbox.task = asyncio.create_task(
            self._replace_stream(address, outbox, outbox.task)
        )

    async def _replace_stream(
        self, address: str, outbox: _PeerOutbox, previous: asyncio.Task[None]
    ) -> None:
        """Run a stream once the previous one has ended."""
        await cancel_tasks([previous])
        await self._run_stream(address, outbox)

    def list_heard(self, now_ms: int, max_age_ms: int) -> list[str]:
        """Return the addresses heard within max_age_ms, the latest first."""
        return [
            address
            for address, heard_ms in reversed(self.heard_ms_by_address.items())
            if now_ms - heard_ms <= max_age_ms
        ]

    def list_addresses(self) -> list[str]:
        """Return the addresses of the members, then of others heard, latest first."""
        members = (peer.address for peer in self.state.membership.peers)
        return list(dict.fromkeys((*members, *reversed(self.heard_ms_by_address))))

    def _frame(self, **content: Any) -> cpb.RaftFrame:
        return cpb.RaftFrame(
            source=self.state.identity, source_address=self.address, **content
        )

    def _outbox(self, address: str) -> _PeerOutbox:
        outbox = self.outbox_by_address.get(address)
        if outbox is None:
            outbox = self.outbox_by_address[address] = _PeerOutbox()
            outbox.task = asyncio.create_task(self._run_stream(address, outbox))
        return outbox

    async def _run_stream(self, address: str, outbox: _PeerOutbox) -> None:
        """Keep a stream to one address open, reconnecting until close() is called."""
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

    async def close_unused(self, addresses: Collection[str], now_ms: int) -> None:
        """Close the streams to addresses that are not listed, unless used lately.

        A stream to an instance that is gone would be opened again and again.
        """
        unused = [
            address
            for address, outbox in self.outbox_by_address.items()
            if address not in addresses
            and now_ms - outbox.used_ms > UNUSED_STREAM_TIMEOUT_MS
        ]
        outboxes = [self.outbox_by_address.pop(address) for address in unused]
        await cancel_tasks(outbox.task for outbox in outboxes if outbox.task)

    async def close(self) -> None:
        """Close all streams."""
        await cancel_tasks(
            box.task for box in self.outbox_by_address.values() if box.task
        )


__all__ = ["PeerStreams"]

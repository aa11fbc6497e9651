"""Batched message streams between entries and agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import grpc

from yuccareach.proto import data_pb2 as pb
from yuccareach.proto.data_pb2_grpc import DataServicer, DataStub

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", 2_000),
    ("grpc.keepalive_timeout_ms", 1_500),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.max_send_message_length", 32 << 20),
    ("grpc.max_receive_message_length", 32 << 20),
    ("grpc.use_local_subchannel_pool", 1),
)
SERVER_OPTIONS = (
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.keepalive_time_ms", 2_000),
    ("grpc.keepalive_timeout_ms", 1_500),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.max_send_message_length", 32 << 20),
    ("grpc.max_receive_message_length", 32 << 20),
    ("grpc.so_reuseport", 0),
)


class Send(NamedTuple):
    """An effect: queue a message for a peer, by address or incoming name."""

    peer: str
    body: Any


class Received(NamedTuple):
    """A message arrived from a peer."""

    peer: str
    body: Any


class LinkLost(NamedTuple):
    """A stream ended; messages queued for the peer may be lost."""

    peer: str


class SettingsBehind(NamedTuple):
    """A peer has seen a settings revision newer than ours."""

    peer: str
    revision: int


_FIELD_BY_TYPE = {
    field.message_type.name: field.name
    for field in pb.Message.DESCRIPTOR.fields
    if field.message_type is not None
}


def wrap(body: Any) -> pb.Message:
    """Put a message body into its envelope."""
    return pb.Message(**{_FIELD_BY_TYPE[body.DESCRIPTOR.name]: body})


class Outbox:
    """Messages queued for one peer, sent as one frame per wake-up."""

    def __init__(self) -> None:
        self.messages: list[pb.Message] = []
        self.ready = asyncio.Event()
        self.closed = False

    def put(self, body: Any) -> None:
        """Queue one message."""
        self.messages.append(wrap(body))
        self.ready.set()

    def close(self) -> None:
        """End the generator of frames; what is queued is lost."""
        self.closed = True
        self.ready.set()

    async def frames(
        self, source: str, revision: Callable[[], int]
    ) -> AsyncIterator[pb.Frame]:
        """Yield a frame of all queued messages whenever there are some."""
        yield pb.Frame(source=source, settings_revision=revision())
        while True:
            await self.ready.wait()
            self.ready.clear()
            if self.closed:
                return
            messages, self.messages = self.messages, []
            yield pb.Frame(
                source=source, settings_revision=revision(), messages=messages
            )


class Links(DataServicer):  # type: ignore[misc]
    """All streams of one process, outgoing by address and incoming by name."""

    def __init__(
        self,
        source: str,
        dispatch: Callable[[Any], None],
        revision: Callable[[], int],
    ) -> None:
        self.source = source
        self.dispatch = dispatch
        self.revision = revision
        self.outbox_by_peer: dict[str, Outbox] = {}
        self.task_by_address: dict[str, asyncio.Task[None]] = {}

    def send(self, effect: Send) -> None:
        """Perform a Send; opens a stream to an address not yet connected."""
        outbox = self.outbox_by_peer.get(effect.peer)
        if outbox is None:
            outbox = self._connect(effect.peer)
        outbox.put(effect.body)

    def _connect(self, address: str) -> Outbox:
        outbox = self.outbox_by_peer[address] = Outbox()
        if ":" in address:
            self.task_by_address[address] = asyncio.create_task(
                self._run(address, outbox)
            )
        return outbox

    async def _run(self, address: str, outbox: Outbox) -> None:
        """Keep one outgoing stream until it fails, then report it lost."""
        try:
            async with grpc.aio.insecure_channel(
                address, options=CHANNEL_OPTIONS
            ) as channel:
                stream = DataStub(channel).Attach(
                    outbox.frames(self.source, self.revision)
                )
                async for frame in stream:
                    self._receive(address, frame)
        except grpc.RpcError:
            pass
        finally:
            self._forget(address, outbox)

    async def Attach(
        self, request_iterator: AsyncIterator[pb.Frame], context: Any
    ) -> AsyncIterator[pb.Frame]:
        """Serve one incoming stream."""
        first = await anext(request_iterator)
        peer = first.source
        outbox = Outbox()
        if peer not in self.task_by_address:
            # A stream that we opened ourselves stays in use, which keeps the order.
            self.outbox_by_peer[peer] = outbox
        self._receive(peer, first)
        reader = asyncio.create_task(self._read(peer, request_iterator, outbox))
        try:
            async for frame in outbox.frames(self.source, self.revision):
                yield frame
        finally:
            reader.cancel()
            self._forget(peer, outbox)

    async def _read(
        self, peer: str, frames: AsyncIterator[pb.Frame], outbox: Outbox
    ) -> None:
        try:
            async for frame in frames:
                self._receive(peer, frame)
        except grpc.RpcError:
            pass
        finally:
            self._forget(peer, outbox)

    def _receive(self, peer: str, frame: pb.Frame) -> None:
        if frame.settings_revision > self.revision():
            self.dispatch(SettingsBehind(peer, frame.settings_revision))
        for message in frame.messages:
            kind = message.WhichOneof("body")
            if kind is not None:
                self.dispatch(Received(peer, getattr(message, kind)))

    def _forget(self, peer: str, outbox: Outbox) -> None:
        """Drop a peer's stream, unless a newer one has replaced it."""
        outbox.close()
        if self.outbox_by_peer.get(peer) is not outbox:
            return
        del self.outbox_by_peer[peer]
        self.task_by_address.pop(peer, None)
        self.dispatch(LinkLost(peer))

    async def close(self) -> None:
        """End every outgoing stream."""
        tasks = list(self.task_by_address.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


__all__ = [
    "CHANNEL_OPTIONS",
    "SERVER_OPTIONS",
    "LinkLost",
    "Links",
    "Outbox",
    "Received",
    "Send",
    "SettingsBehind",
    "wrap",
]

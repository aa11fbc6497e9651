"""Message streams between entries and agents; a frame carries a batch of messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import grpc

from yuccareach.proto import data_pb2 as pb
from yuccareach.proto.data_pb2_grpc import DataServicer, DataStub
from yuccareach.runtime.tasks import cancel_tasks

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MAX_MESSAGE_BYTES = 32 << 20
# Queued messages are split into frames of this size, or of one larger message.
MAX_FRAME_BYTES = MAX_MESSAGE_BYTES // 2
# Pings detect a peer that no longer responds, also on an idle stream.
#
# Control must acknowledge changes again 4 s after a silence. An election that begins
# while one of the streams is still silent is lost to it, and the next may take 1.4 s.
# With pings each second, idle traffic exceeds its goal of 5% more.
PING_INTERVAL_MS = 1_100
# The pings of a client keep a server, which waits longer, from sending its own.
SERVER_PING_INTERVAL_MS = 1_300
# A process that is paused for 1 s, or kept from running by load, must not be given up.
PING_TIMEOUT_MS = 1_500
# Time from the silence of a connection until the last end gives it up.
SILENCE_DETECTION_MS = max(PING_INTERVAL_MS, SERVER_PING_INTERVAL_MS) + PING_TIMEOUT_MS
# A peer that accepts a connection but never answers would hold an attempt for 20 s, the
# default of gRPC.
CONNECT_TIMEOUT_MS = 2_000
_PING_OPTIONS = (
    ("grpc.keepalive_timeout_ms", PING_TIMEOUT_MS),
    # What ends the connection is the time-out of the ping itself, 60 s by default; the
    # time-out of keepalive alone has no effect below that.
    ("grpc.http2.ping_timeout_ms", PING_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    # Below the intervals, since a ping that comes sooner is put off.
    ("grpc.http2.min_ping_interval_without_data_ms", 900),
)
CHANNEL_OPTIONS = (
    *_PING_OPTIONS,
    ("grpc.keepalive_time_ms", PING_INTERVAL_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
)
SERVER_OPTIONS = (
    *_PING_OPTIONS,
    ("grpc.keepalive_time_ms", SERVER_PING_INTERVAL_MS),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
)


class Send(NamedTuple):
    """An effect: queue a message for a peer, given its address or source name."""

    peer: str
    body: Any


class Received(NamedTuple):
    """A message arrived from a peer."""

    peer: str
    body: Any


class LinkLost(NamedTuple):
    """The stream to or from a peer ended; messages queued for it may be lost.

    refused says whether nothing listened at the peer's address.
    """

    peer: str
    refused: bool = False


class NewerSettingsReported(NamedTuple):
    """A frame stated that its sender has newer settings than this process."""

    peer: str
    revision: int


_FIELD_BY_MESSAGE_TYPE = {
    field.message_type.name: field.name
    for field in pb.Message.DESCRIPTOR.fields
    if field.message_type is not None
}


def wrap_message(body: Any) -> pb.Message:
    """Put a message body into the field of its type in a Message."""
    return pb.Message(**{_FIELD_BY_MESSAGE_TYPE[body.DESCRIPTOR.name]: body})


class Outbox:
    """Queue of messages to one peer, which are sent in as few frames as possible."""

    def __init__(self) -> None:
        self.messages: list[pb.Message] = []
        # Size of the bodies of queued calls and replies; other messages are small.
        self.body_bytes = 0
        self.wake_up = asyncio.Event()
        self.closed = False

    def put(self, body: Any) -> None:
        """Queue one message."""
        if isinstance(body, pb.Call | pb.Reply):
            self.body_bytes += len(body.body)
        self.messages.append(wrap_message(body))
        self.wake_up.set()

    def _take_batches(self) -> list[list[pb.Message]]:
        """Remove the queued messages and return those of each frame."""
        messages, self.messages = self.messages, []
        body_bytes, self.body_bytes = self.body_bytes, 0
        if body_bytes <= MAX_FRAME_BYTES:
            return [messages]
        batches: list[list[pb.Message]] = []
        frame_bytes = 0
        for message in messages:
            frame_bytes += message.ByteSize()
            if not batches or frame_bytes > MAX_FRAME_BYTES:
                batches.append([])
                frame_bytes = message.ByteSize()
            batches[-1].append(message)
        return batches

    def close(self) -> None:
        """End the generator of frames; messages still queued are lost."""
        self.closed = True
        self.wake_up.set()

    async def generate_frames(
        self, source: str, get_settings_revision: Callable[[], int]
    ) -> AsyncIterator[pb.Frame]:
        """Yield a frame that names the source, then frames of queued messages."""
        yield pb.Frame(source=source, settings_revision=get_settings_revision())
        while True:
            await self.wake_up.wait()
            self.wake_up.clear()
            if self.closed:
                return
            for messages in self._take_batches():
                yield pb.Frame(
                    source=source,
                    settings_revision=get_settings_revision(),
                    messages=messages,
                )


class Links(DataServicer):  # type: ignore[misc]
    """All streams of one process: outgoing by address, incoming by source name."""

    def __init__(
        self,
        source: str,
        dispatch: Callable[[Any], None],
        get_settings_revision: Callable[[], int],
    ) -> None:
        self.source = source
        self.dispatch = dispatch
        self.get_settings_revision = get_settings_revision
        self.outbox_by_peer: dict[str, Outbox] = {}
        self.task_by_address: dict[str, asyncio.Task[None]] = {}

    def send(self, effect: Send) -> None:
        """Perform a Send; open a stream to an address that has none."""
        outbox = self.outbox_by_peer.get(effect.peer)
        if outbox is None:
            outbox = self._connect(effect.peer)
        outbox.put(effect.body)

    def _connect(self, address: str) -> Outbox:
        outbox = self.outbox_by_peer[address] = Outbox()
        if ":" in address:
            self.task_by_address[address] = asyncio.create_task(
                self._run_stream(address, outbox)
            )
        return outbox

    async def _run_stream(self, address: str, outbox: Outbox) -> None:
        """Run one outgoing stream until it ends, then dispatch LinkLost."""
        refused = False
        try:
            async with grpc.aio.insecure_channel(
                address, options=CHANNEL_OPTIONS
            ) as channel:
                stream = DataStub(channel).Attach(
                    outbox.generate_frames(self.source, self.get_settings_revision)
                )
                async for frame in stream:
                    self._dispatch_frame(address, frame)
        except grpc.RpcError as error:
            refused = _is_connection_refused(error)
        finally:
            self._remove_stream(address, outbox, refused=refused)

    async def Attach(
        self, request_iterator: AsyncIterator[pb.Frame], context: Any
    ) -> AsyncIterator[pb.Frame]:
        """Serve one incoming stream."""
        first_frame = await anext(request_iterator)
        peer = first_frame.source
        outbox = Outbox()
        if peer not in self.task_by_address:
            # A stream that this process opened to the peer stays in use for sending,
            # which keeps the order of messages.
            self.outbox_by_peer[peer] = outbox
        self._dispatch_frame(peer, first_frame)
        reader_task = asyncio.create_task(
            self._read_frames(peer, request_iterator, outbox)
        )
        try:
            async for frame in outbox.generate_frames(
                self.source, self.get_settings_revision
            ):
                yield frame
        finally:
            reader_task.cancel()
            self._remove_stream(peer, outbox)

    async def _read_frames(
        self, peer: str, frames: AsyncIterator[pb.Frame], outbox: Outbox
    ) -> None:
        try:
            async for frame in frames:
                self._dispatch_frame(peer, frame)
        except grpc.RpcError:
            pass
        finally:
            self._remove_stream(peer, outbox)

    def _dispatch_frame(self, peer: str, frame: pb.Frame) -> None:
        if frame.settings_revision > self.get_settings_revision():
            self.dispatch(NewerSettingsReported(peer, frame.settings_revision))
        for message in frame.messages:
            kind = message.WhichOneof("body")
            if kind is not None:
                self.dispatch(Received(peer, getattr(message, kind)))

    def _remove_stream(
        self, peer: str, outbox: Outbox, *, refused: bool = False
    ) -> None:
        """Remove a stream and dispatch LinkLost, unless a newer one has replaced it."""
        outbox.close()
        if self.outbox_by_peer.get(peer) is not outbox:
            return
        del self.outbox_by_peer[peer]
        self.task_by_address.pop(peer, None)
        self.dispatch(LinkLost(peer, refused))

    async def close(self) -> None:
        """End every outgoing stream."""
        await cancel_tasks(self.task_by_address.values())


def _is_connection_refused(error: grpc.RpcError) -> bool:
    """Return whether nothing listened at the address; gRPC says so in words only."""
    is_unavailable = error.code() is grpc.StatusCode.UNAVAILABLE
    return is_unavailable and "Connection refused" in (error.details() or "")


__all__ = [
    "CHANNEL_OPTIONS",
    "SERVER_OPTIONS",
    "SILENCE_DETECTION_MS",
    "LinkLost",
    "Links",
    "NewerSettingsReported",
    "Outbox",
    "Received",
    "Send",
    "wrap_message",
]

"""Tests on the installed gRPC that a connection which falls silent is given up.

They guard against link options without an effect: the keepalive time-out alone left a
silent stream open for 60 s (docs/incidents/15-silent-connections.md).
"""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any

import grpc

from tests.runtime.silent_proxy import SilentProxy
from yuccareach.proto import data_pb2 as pb
from yuccareach.proto.data_pb2_grpc import (
    DataServicer,
    DataStub,
    add_DataServicer_to_server,
)
from yuccareach.runtime.links import (
    CHANNEL_OPTIONS,
    SERVER_OPTIONS,
    SILENCE_DETECTION_MS,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

# The rest is for a loaded machine.
MAX_DETECTION_S = SILENCE_DETECTION_MS / 1000 + 3.2
# The default of gRPC for a connection attempt that gets no answer is 20 s.
MAX_RECONNECT_S = 8.0


class _Servicer(DataServicer):  # type: ignore[misc]
    """Answers the first frame, then keeps the stream open and records its end."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    async def Attach(
        self, request_iterator: AsyncIterator[pb.Frame], context: Any
    ) -> AsyncIterator[pb.Frame]:
        yield await anext(request_iterator)
        try:
            await anext(request_iterator, None)
        except grpc.RpcError:
            # The server's ping was not answered.
            pass
        finally:
            self.ended.set()


async def _generate_requests() -> AsyncIterator[pb.Frame]:
    yield pb.Frame(source="client")
    await asyncio.Event().wait()


class SilentConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def open_stream(
        self,
        client_options: Sequence[tuple[str, int]],
        server_options: Sequence[tuple[str, int]],
    ) -> Any:
        """Open a stream through a proxy, and return it after the first answer."""
        self.servicer = _Servicer()
        server = grpc.aio.server(options=server_options)
        port = server.add_insecure_port("127.0.0.1:0")
        add_DataServicer_to_server(self.servicer, server)
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        self.proxy = SilentProxy(f"127.0.0.1:{port}")
        self.address = await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.channel = grpc.aio.insecure_channel(self.address, options=client_options)
        self.addAsyncCleanup(self.channel.close)
        return await self.start_stream()

    async def start_stream(self) -> Any:
        """Start a stream, and return it after the first answer."""
        stream = DataStub(self.channel).Attach(_generate_requests())
        self.assertEqual((await stream.read()).source, "client")
        return stream

    async def restart_stream(self) -> None:
        """Start streams until one is answered.

        One that starts while the silent connection is being closed ends with it.
        """
        while True:
            try:
                await self.start_stream()
            except grpc.RpcError:
                await asyncio.sleep(0.1)
            else:
                return

    async def expect_end(self, stream: Any) -> None:
        """Wait until the stream fails for want of an answer to a ping."""
        with self.assertRaises(grpc.RpcError) as caught:
            async with asyncio.timeout(MAX_DETECTION_S):
                await stream.read()
        self.assertIs(caught.exception.code(), grpc.StatusCode.UNAVAILABLE)

    async def test_client_gives_up_a_connection_that_is_silent_both_ways(self) -> None:
        stream = await self.open_stream(CHANNEL_OPTIONS, ())
        self.assertEqual(self.proxy.silence(), 1)
        await self.expect_end(stream)
        async with asyncio.timeout(MAX_DETECTION_S):
            await self.restart_stream()

    async def test_client_gives_up_a_connection_that_loses_what_it_sends(self) -> None:
        stream = await self.open_stream(CHANNEL_OPTIONS, ())
        self.proxy.silence(to_client=False)
        await self.expect_end(stream)

    async def test_client_gives_up_a_connection_that_loses_answers(self) -> None:
        stream = await self.open_stream(CHANNEL_OPTIONS, ())
        self.proxy.silence(to_server=False)
        await self.expect_end(stream)

    async def test_server_gives_up_a_connection_that_is_silent(self) -> None:
        await self.open_stream((), SERVER_OPTIONS)
        self.proxy.silence()
        async with asyncio.timeout(MAX_DETECTION_S):
            await self.servicer.ended.wait()

    async def test_idle_stream_with_a_pause_of_a_second_stays_open(self) -> None:
        stream = await self.open_stream(CHANNEL_OPTIONS, SERVER_OPTIONS)
        read = asyncio.ensure_future(stream.read())
        for _ in range(4):
            self.proxy.pause()
            await asyncio.sleep(1.0)
            self.proxy.resume()
            await asyncio.sleep(0.5)
        self.assertFalse(read.done(), "the stream was given up during a pause")
        self.assertFalse(self.servicer.ended.is_set())
        read.cancel()

    async def test_attempt_to_connect_that_gets_no_answer_is_given_up(self) -> None:
        stream = await self.open_stream(CHANNEL_OPTIONS, ())
        stream.cancel()
        await self.channel.close()
        self.proxy.accepts_silently = True
        self.channel = grpc.aio.insecure_channel(self.address, options=CHANNEL_OPTIONS)
        self.addAsyncCleanup(self.channel.close)
        opened = len(self.proxy.connections)
        connected = asyncio.ensure_future(self.channel.channel_ready())
        async with asyncio.timeout(MAX_RECONNECT_S):
            while len(self.proxy.connections) == opened:
                await asyncio.sleep(0.01)
            self.proxy.accepts_silently = False
            await connected

"""Tests of the messages of a link, and of what its end shows of the peer."""

from __future__ import annotations

import asyncio
import socket
import unittest
from typing import Any

from yuccareach.proto import data_pb2 as pb
from yuccareach.proto.data_pb2_grpc import add_DataServicer_to_server
from yuccareach.runtime.links import LinkLost, Links, Received, Send
from yuccareach.runtime.rpc import listen

REPLY_BYTES = 8 << 20


class LostLinkTests(unittest.IsolatedAsyncioTestCase):
    async def send_and_lose_link(self, address: str) -> LinkLost:
        """Send a message to an address, and return the event of the lost link."""
        lost: asyncio.Future[LinkLost] = asyncio.get_running_loop().create_future()

        def _dispatch(event: Any) -> None:
            if isinstance(event, LinkLost) and not lost.done():
                lost.set_result(event)

        links = Links("own", _dispatch, lambda: 0)
        self.addAsyncCleanup(links.close)
        links.send(Send(address, pb.Probe()))
        async with asyncio.timeout(10):
            return await lost

    async def test_address_where_nothing_listens_refuses(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            self.assertEqual(
                await self.send_and_lose_link(address), LinkLost(address, refused=True)
            )

    async def test_peer_that_closes_the_connection_does_not_refuse(self) -> None:
        async def _close(reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.close()

        server = await asyncio.start_server(_close, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.assertEqual(
            await self.send_and_lose_link(address), LinkLost(address, refused=False)
        )


class LargeMessageTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.entry_events: asyncio.Queue[Any] = asyncio.Queue()
        self.agent_events: asyncio.Queue[Any] = asyncio.Queue()
        self.entry = Links("entry", self.entry_events.put_nowait, lambda: 0)
        self.agent = Links("agent", self.agent_events.put_nowait, lambda: 0)
        server, self.address = listen("127.0.0.1", 0)
        add_DataServicer_to_server(self.agent, server)
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        self.addAsyncCleanup(self.entry.close)

    async def test_large_replies_sent_together_do_not_break_the_stream(self) -> None:
        self.entry.send(Send(self.address, pb.Call(request="r", body=b"x")))
        received = await asyncio.wait_for(self.agent_events.get(), 10)
        assert isinstance(received, Received)
        names = [str(number) for number in range(6)]
        for name in names:
            reply = pb.Reply(request=name, body=b"x" * REPLY_BYTES)
            self.agent.send(Send(received.peer, reply))
        arrived = []
        while len(arrived) < len(names):
            event = await asyncio.wait_for(self.entry_events.get(), 10)
            self.assertNotIsInstance(event, LinkLost)
            arrived.append((event.body.request, len(event.body.body)))
        self.assertEqual(arrived, [(name, REPLY_BYTES) for name in names])

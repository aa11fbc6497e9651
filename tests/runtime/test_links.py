"""Messages between an entry and an agent, over a gRPC stream."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from yuccareach.proto import data_pb2 as pb
from yuccareach.proto.data_pb2_grpc import add_DataServicer_to_server
from yuccareach.runtime.links import LinkLost, Links, Received, Send
from yuccareach.runtime.rpc import listen

REPLY_BYTES = 8 << 20


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

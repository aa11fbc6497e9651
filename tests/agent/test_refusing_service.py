"""Tests of what an agent hands on of a service's refusal."""

from __future__ import annotations

import asyncio
import unittest

from yuccareach.agent.events import CallService
from yuccareach.agent.service_client import ServiceClient
from yuccareach.proto import data_pb2 as pb

REFUSAL = b"HTTP/1.1 503 S\r\nRetry-After: 2.5\r\nX-Own: 1\r\nContent-Length: 0\r\n\r\n"
TIMEOUT_S = 5.0


class RefusingServiceTests(unittest.IsolatedAsyncioTestCase):
    async def test_reply_carries_the_retry_after_of_the_service(self) -> None:
        async def _refuse(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(REFUSAL)
            writer.close()

        server = await asyncio.start_server(_refuse, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        replies: asyncio.Queue[pb.Reply] = asyncio.Queue()
        client = ServiceClient(
            f"http://127.0.0.1:{port}", lambda event: replies.put_nowait(event.reply)
        )
        client.start()
        self.addAsyncCleanup(client.close)
        message = pb.Call(method="GET", path="/", timeout_ms=5_000)
        client.call(CallService("c1", message))
        reply = await asyncio.wait_for(replies.get(), TIMEOUT_S)
        self.assertEqual((reply.outcome, reply.status), (pb.RAN, 503))
        self.assertEqual(
            [(item.name, item.value) for item in reply.headers],
            [("retry-after", "2.5")],
        )

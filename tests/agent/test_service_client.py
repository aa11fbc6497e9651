"""Replies of a plain service that come in parts, never end or are too large."""

from __future__ import annotations

import asyncio
import unittest

from yuccareach.agent.events import CallService
from yuccareach.agent.service_client import MAX_REPLY_BYTES, ServiceClient
from yuccareach.proto import data_pb2 as pb

TIMEOUT_S = 10.0
BLOCK = b"x" * (64 << 10)
# An endless reply of a test stops here.
MAX_SENT_BYTES = 64 << 20
# What the sockets between the service and the agent may hold.
SOCKET_BYTES = 8 << 20
MAX_HEAD_BYTES = 64 << 10


class ServiceClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.parts: list[bytes] = []
        self.block = b""
        self.sent_bytes = 0
        self.closes_after_parts = False
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        # The handlers end after the client has closed its connections.
        self.addAsyncCleanup(asyncio.sleep, 0.1)
        port = server.sockets[0].getsockname()[1]
        self.replies: asyncio.Queue[pb.Reply] = asyncio.Queue()
        self.client = ServiceClient(
            f"http://127.0.0.1:{port}",
            lambda event: self.replies.put_nowait(event.reply),
        )
        self.client.start()
        self.addAsyncCleanup(self.client.close)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            for part in self.parts:
                writer.write(part)
                await asyncio.sleep(0.05)
            while self.block and self.sent_bytes < MAX_SENT_BYTES:
                writer.write(self.block)
                self.sent_bytes += len(self.block)
                await writer.drain()
                # Lets the agent read before more is sent.
                await asyncio.sleep(0)
            if not self.closes_after_parts:
                await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def call(self) -> pb.Reply:
        message = pb.Call(method="GET", path="/", timeout_ms=int(1000 * TIMEOUT_S))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.client.call(CallService("c1", message))
        reply = await asyncio.wait_for(self.replies.get(), 2 * TIMEOUT_S)
        self.duration_s = loop.time() - started_s
        return reply

    async def test_reply_that_comes_in_parts_is_whole(self) -> None:
        self.parts = [b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc", b"def"]
        reply = await self.call()
        self.assertEqual((reply.outcome, reply.status), (pb.RAN, 200))
        self.assertEqual(reply.body, b"abcdef")

    async def test_truncated_reply_is_no_success(self) -> None:
        self.parts = [b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc"]
        self.closes_after_parts = True
        self.assertEqual((await self.call()).outcome, pb.UNKNOWN)

    async def test_reply_over_the_limit_is_refused_by_its_length(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        self.parts = [head % (MAX_REPLY_BYTES + 1)]
        reply = await self.call()
        self.assertEqual((reply.outcome, reply.reason), (pb.UNKNOWN, "reply_too_large"))
        self.assertLess(self.duration_s, TIMEOUT_S / 2)

    async def check_closed_early(
        self, start: bytes, block: bytes, max_bytes: int
    ) -> None:
        self.parts, self.block, self.sent_bytes = [start], block, 0
        reply = await self.call()
        self.assertEqual(reply.outcome, pb.UNKNOWN)
        self.assertLess(self.duration_s, TIMEOUT_S / 2)
        self.assertLess(self.sent_bytes, max_bytes + SOCKET_BYTES)

    async def test_endless_reply_is_closed_early(self) -> None:
        ok = b"HTTP/1.1 200 OK\r\n"
        chunked = ok + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)
        for name, start, block, max_bytes in (
            ("body", ok + b"\r\n", BLOCK, MAX_REPLY_BYTES),
            ("chunks", chunked, chunk, MAX_REPLY_BYTES),
            ("header value", ok + b"A: ", BLOCK, MAX_HEAD_BYTES),
            ("header lines", ok, b"A: b\r\n" * 10_000, MAX_HEAD_BYTES),
        ):
            with self.subTest(name):
                await self.check_closed_early(start, block, max_bytes)

    async def test_endless_interim_answers_are_closed_early(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 1000
        await self.check_closed_early(b"", interim, MAX_HEAD_BYTES)

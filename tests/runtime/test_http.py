"""Requests without end to the HTTP server of a process."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import falcon.asgi

from yuccareach.buffers.account import BufferLimits
from yuccareach.runtime.http import HttpServer

BLOCK = b"x" * (64 << 10)
MAX_HEAD_BYTES = 64 << 10
# An endless request of a test stops here.
MAX_SENT_BYTES = 64 << 20
# What the sockets between a client and the server may hold.
SOCKET_BYTES = 8 << 20
TIMEOUT_S = 5
START = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"


class _Echo:
    async def on_post(self, request: Any, response: Any) -> None:
        response.data = await request.stream.read()

    async def on_get(self, request: Any, response: Any) -> None:
        response.text = request.get_param("n")
        response.set_header("X-Trailer", request.get_header("A") or "none")


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    limits: BufferLimits | None = None

    async def asyncSetUp(self) -> None:
        app = falcon.asgi.App()
        app.add_route("/", _Echo())
        self.server = HttpServer(app, "127.0.0.1", 0, self.limits)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes and return everything received until the server closes."""
        reader, writer = await self.connect()
        writer.write(data)
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()


class PipelineTests(ServerTestCase):
    async def test_pipelined_requests_of_several_blocks_are_answered_in_order(
        self,
    ) -> None:
        count = 2_000
        data = b"".join(
            b"GET /?n=%d HTTP/1.1\r\nHost: h\r\n\r\n" % number
            for number in range(count)
        )
        last = b"GET /?n=last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        answer = await self.exchange(data + last)
        bodies = [
            part.partition(b"\r\n\r\n")[2] for part in answer.split(b"HTTP/1.1 200 OK")
        ]
        expected = [b"%d" % number for number in range(count)]
        self.assertEqual(bodies[1:], [*expected, b"last"])

    async def test_malformed_request_is_not_answered_in_place_of_the_one_before(
        self,
    ) -> None:
        # A caller took 400 for the reply to a request that was served, or for a part of
        # its body.
        first = b"GET /?n=1 HTTP/1.1\r\nHost: h\r\n\r\n"
        reader, writer = await self.connect()
        writer.write(first + b"BAD\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            try:
                answer = await reader.read()
            except ConnectionResetError:
                answer = b""
        self.assertNotIn(b" 400 ", answer)

    async def test_request_that_is_malformed_itself_is_answered_with_400(self) -> None:
        for name, data in {"head": b"BAD\r\n\r\n", "body": CHUNKED + b"z\r\n"}.items():
            with self.subTest(name):
                answer = await self.exchange(data)
                self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer)

    async def test_trailer_is_no_header_of_the_next_request(self) -> None:
        first = CHUNKED + b"2\r\nok\r\n0\r\nA: trailer\r\n\r\n"
        last = b"GET /?n=1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        answer = await self.exchange(first + last)
        self.assertIn(b"\r\n\r\nok", answer)
        self.assertIn(b"x-trailer: none", answer)


class BudgetTests(ServerTestCase):
    limits = BufferLimits(client_bytes=500_000, response_bytes=0, max_connections=4)

    async def test_head_that_exceeds_the_budget_is_refused_as_not_run(self) -> None:
        answer = await self.exchange(START + b"A:\r\n" * 8_000)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        self.assertIn(b"retry-after: 1\r\n", answer)

    async def test_body_that_exceeds_the_budget_ends_its_connection_only(self) -> None:
        _, writer = await self.connect()
        writer.write(START + b"Content-Length: 900000\r\n\r\n" + b"x" * 800_000)
        await self.check_served()

    async def test_silent_connections_make_room_for_a_request(self) -> None:
        for _ in range(12):
            await self.connect()
        await self.check_served()
        self.assertLessEqual(len(self.server.account.holders), 4)

    async def test_closed_connections_are_charged_for_nothing(self) -> None:
        for _ in range(4):
            await self.check_served()
        async with asyncio.timeout(TIMEOUT_S):
            while self.server.account.holders:
                await asyncio.sleep(0.01)
        self.assertEqual(self.server.account.held_bytes, 0)

    async def check_served(self) -> None:
        request = START + b"Connection: close\r\nContent-Length: 2\r\n\r\nok"
        self.assertTrue((await self.exchange(request)).endswith(b"\r\n\r\nok"))


class EndlessRequestTests(ServerTestCase):

    async def send(self, start: bytes, block: bytes) -> int:
        """Send an endless request until the server closes; return the bytes sent.

        Raises TimeoutError if the connection stays open.
        """
        host, _, port = self.server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(start)
        sent_bytes = 0
        closed = asyncio.create_task(reader.read())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while not closed.done() and sent_bytes < MAX_SENT_BYTES:
                    writer.write(block)
                    sent_bytes += len(block)
                    await writer.drain()
                    # Lets the server read before more is sent.
                    await asyncio.sleep(0)
                await closed
        except ConnectionError:
            pass
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            writer.close()
        return sent_bytes

    async def test_request_without_progress_is_closed_early(self) -> None:
        for name, start, block in (
            ("target", b"POST /", BLOCK),
            ("header lines", START, b"A: b\r\n" * 10_000),
            ("header value", START + b"A: ", BLOCK),
            ("chunk extension", CHUNKED + b"2;x=", BLOCK),
            ("trailer", CHUNKED + b"0\r\n", b"A: b\r\n" * 10_000),
        ):
            with self.subTest(name):
                sent_bytes = await self.send(start, block)
                self.assertLess(sent_bytes, MAX_HEAD_BYTES + SOCKET_BYTES)

    async def test_large_body_after_a_large_head_is_read(self) -> None:
        host, _, port = self.server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = BLOCK * 64
        value = b"x" * (MAX_HEAD_BYTES - 200)
        head = START + b"A: %b\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % (value, len(body)) + body)
        async with asyncio.timeout(TIMEOUT_S):
            answer = await reader.read()
        writer.close()
        self.assertTrue(answer.endswith(b"\r\n\r\n" + body), answer[:200])

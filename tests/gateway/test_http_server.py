"""Serving HTTP/1.1 to callers over real sockets."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from yuccareach.gateway.http_server import CallerRequest, CallerServer, Reply
from yuccareach.gateway.table import Limits

LIMITS = Limits(
    max_header_bytes=500,
    max_body_bytes=1_000,
    header_timeout_ms=100,
    idle_timeout_ms=60_000,
)


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.seen: list[CallerRequest] = []
        self.cancelled = 0
        self.hold = asyncio.Event()
        self.hold.set()
        self.server = CallerServer(
            self.handle, lambda: LIMITS, self.failed, lambda status: None
        )
        await self.server.listen("127.0.0.1", 0, 10)
        self.port = self.server.listeners[0].sockets[0].getsockname()[1]
        self.addAsyncCleanup(self.server.stop)
        self.errors: list[Exception] = []

    def failed(self, request: CallerRequest, error: Exception) -> None:
        self.errors.append(error)

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        self.seen.append(request)
        try:
            await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if request.path == "/stream":
            reply.start(200, [])
            reply.write(b"one")
            reply.finish()
        elif request.path == "/cut":
            reply.start(200, [])
            reply.write(b"one")
            reply.abort()
        elif request.path == "/crash":
            raise ValueError("bug")
        else:
            reply.send(200, [(b"X-Path", request.target)], request.body)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes and return all that comes until the server closes."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.read(), 5)
        except ConnectionResetError:
            return b"reset"

    async def until(self, condition: Any) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)


class AnswerTests(ServerTestCase):
    async def test_body_sent_with_a_length_or_in_chunks_arrives_whole(self) -> None:
        with_length = (
            b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            b"Content-Length: 3\r\n\r\nxyz"
        )
        chunked = (
            b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n2\r\nyz\r\n0\r\n\r\n"
        )
        for data in (with_length, chunked):
            answer = await self.exchange(data)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\n"), answer)
            self.assertTrue(answer.endswith(b"\r\n\r\nxyz"), answer)
            self.assertEqual(self.seen[-1].target, b"/a?b=1")

    async def test_requests_on_one_connection_are_answered_in_order(self) -> None:
        pair = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
        last = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        answer = await self.exchange(pair + last)
        self.assertLess(answer.index(b"X-Path: /1"), answer.index(b"X-Path: /2"))

    async def test_stream_ends_with_a_last_chunk_only_if_it_is_whole(self) -> None:
        head = b" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        self.assertIn(b"0\r\n\r\n", await self.exchange(b"GET /stream" + head))
        self.assertNotIn(b"0\r\n\r\n", await self.exchange(b"GET /cut" + head))

    async def test_crash_of_the_handler_is_an_answer_and_hurts_no_other(self) -> None:
        head = b" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        answer = await self.exchange(b"GET /crash" + head)
        self.assertTrue(answer.startswith(b"HTTP/1.1 500"), answer)
        self.assertEqual(len(self.errors), 1)
        self.assertIn(b"200 OK", await self.exchange(b"GET /a" + head))

    async def test_draining_server_asks_for_the_connection_to_be_closed(self) -> None:
        self.server.draining = True
        answer = await self.exchange(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"Connection: close", answer)

    async def test_connection_is_closed_after_an_answer_begun_before_draining(
        self,
    ) -> None:
        # Found by a hunt: the next request on such a connection was taken in the last
        # seconds of a shutdown and cut.
        self.hold.clear()
        reader, writer = await self.connect()
        writer.write(b"GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
        await self.until(lambda: self.seen)
        self.server.draining = True
        self.hold.set()
        answer = await asyncio.wait_for(reader.read(), 5)
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)


class LimitTests(ServerTestCase):
    async def status_of(self, data: bytes) -> bytes:
        answer = await self.exchange(data)
        return answer.split(b" ")[1] if b" " in answer else answer

    async def test_caller_that_breaks_a_limit_gets_its_status_and_is_closed(
        self,
    ) -> None:
        long_header = b"GET /a HTTP/1.1\r\nX: " + b"x" * 600 + b"\r\n\r\n"
        long_body = b"POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\n"
        cases = {
            b"431": long_header,
            b"413": long_body,
            b"400": b"no http at all\r\n\r\n",
            b"408": b"GET /a HTTP/1.1\r\nHost:",
        }
        for status, data in cases.items():
            with self.subTest(status=status):
                self.assertEqual(await self.status_of(data), status)
        self.assertEqual(self.seen, [])

    async def test_smuggled_request_is_refused(self) -> None:
        data = (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
        )
        self.assertEqual(await self.status_of(data), b"400")
        self.assertEqual(self.seen, [])


class DepartureTests(ServerTestCase):
    async def test_work_for_a_caller_that_left_is_cancelled(self) -> None:
        self.hold.clear()
        _, writer = await self.connect()
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        await self.until(lambda: self.seen)
        writer.close()
        await self.until(lambda: self.cancelled)

    async def test_only_idle_connections_are_closed_when_draining(self) -> None:
        idle, _ = await self.connect()
        self.hold.clear()
        busy, writer = await self.connect()
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        await self.until(lambda: self.seen)
        self.server.close_idle()
        self.assertEqual(await asyncio.wait_for(idle.read(), 5), b"")
        self.hold.set()
        self.assertIn(b"200 OK", await asyncio.wait_for(busy.readline(), 5))

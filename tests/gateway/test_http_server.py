"""Serving HTTP/1.1 to callers over real sockets."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from yuccareach.buffers.account import BufferLimits
from yuccareach.buffers.limits import derive_limits
from yuccareach.gateway.http_server import (
    CallerRequest,
    CallerServer,
    Reply,
    count_queued_bytes,
)
from yuccareach.gateway.table import Limits

LIMITS = Limits(
    max_header_bytes=500,
    max_body_bytes=1_000,
    header_timeout_ms=100,
    idle_timeout_ms=60_000,
)


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.limits = LIMITS
        self.requests: list[CallerRequest] = []
        self.cancelled_count = 0
        self.may_reply = asyncio.Event()
        self.may_reply.set()
        self.server = CallerServer(
            self.handle, lambda: self.limits, self.record_failure, lambda status: None
        )
        await self.server.listen("127.0.0.1", 0, 10)
        self.port = self.server.listeners[0].sockets[0].getsockname()[1]
        self.addAsyncCleanup(self.server.stop)
        self.errors: list[Exception] = []

    def record_failure(self, request: CallerRequest, error: Exception) -> None:
        self.errors.append(error)

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        self.requests.append(request)
        try:
            await self.may_reply.wait()
        except asyncio.CancelledError:
            self.cancelled_count += 1
            if request.path == "/last" and reply.is_connected:
                reply.send(504, [])
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
        """Send bytes and return everything received until the server closes."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.read(), 5)
        except ConnectionResetError:
            return b"reset"

    async def wait_until(self, condition: Any) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)


class ReplyTests(ServerTestCase):
    async def test_body_with_a_length_or_in_chunks_is_received_completely(self) -> None:
        with_length = (
            b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            b"Content-Length: 3\r\n\r\nxyz"
        )
        chunked = (
            b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n2\r\nyz\r\n0\r\n\r\n"
        )
        for data in (with_length, chunked):
            reply_bytes = await self.exchange(data)
            self.assertTrue(reply_bytes.startswith(b"HTTP/1.1 200 OK\r\n"), reply_bytes)
            self.assertTrue(reply_bytes.endswith(b"\r\n\r\nxyz"), reply_bytes)
            self.assertEqual(self.requests[-1].target, b"/a?b=1")

    async def test_requests_on_one_connection_are_answered_in_order(self) -> None:
        first = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
        last = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        reply_bytes = await self.exchange(first + last)
        self.assertLess(
            reply_bytes.index(b"X-Path: /1"), reply_bytes.index(b"X-Path: /2")
        )

    async def test_only_a_complete_stream_ends_with_the_last_chunk(self) -> None:
        head = b" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        self.assertIn(b"0\r\n\r\n", await self.exchange(b"GET /stream" + head))
        self.assertNotIn(b"0\r\n\r\n", await self.exchange(b"GET /cut" + head))

    async def test_exception_in_the_handler_gives_500_and_affects_no_other_request(
        self,
    ) -> None:
        head = b" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        reply_bytes = await self.exchange(b"GET /crash" + head)
        self.assertTrue(reply_bytes.startswith(b"HTTP/1.1 500"), reply_bytes)
        self.assertEqual(len(self.errors), 1)
        self.assertIn(b"200 OK", await self.exchange(b"GET /a" + head))

    async def test_draining_server_sends_connection_close(self) -> None:
        self.server.is_draining = True
        reply_bytes = await self.exchange(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"Connection: close", reply_bytes)

    async def test_connection_is_closed_after_a_reply_started_before_draining(
        self,
    ) -> None:
        # If the connection stayed open, its next request would be accepted in the last
        # seconds of a shutdown and cut off.
        self.may_reply.clear()
        reader, writer = await self.connect()
        writer.write(b"GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
        await self.wait_until(lambda: self.requests)
        self.server.is_draining = True
        self.may_reply.set()
        reply_bytes = await asyncio.wait_for(reader.read(), 5)
        self.assertTrue(reply_bytes.endswith(b"0\r\n\r\n"), reply_bytes)


class LimitTests(ServerTestCase):
    async def get_status(self, data: bytes) -> bytes:
        reply_bytes = await self.exchange(data)
        return reply_bytes.split(b" ")[1] if b" " in reply_bytes else reply_bytes

    async def test_request_that_breaks_a_limit_is_rejected_and_closed(self) -> None:
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
                self.assertEqual(await self.get_status(data), status)
        self.assertEqual(self.requests, [])

    async def test_legal_request_of_any_shape_is_served(self) -> None:
        # Limits on what a connection holds must not refuse it at normal load.
        self.limits = Limits()
        self.server.account.limits = derive_limits(memory_mb=152, max_fds=256)
        lines = b"a:\r\n" * ((self.limits.max_header_bytes - 200) // 4)
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + lines
        size = self.limits.max_body_bytes
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        trailers = b"0\r\n" + b"a:\r\n" * 2_000 + b"\r\n"
        cases = {
            "one part": head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size,
            "one chunk": chunked + b"%x\r\n%b\r\n" % (size, b"x" * size) + trailers,
            "small chunks": chunked + b"2\r\nxx\r\n" * (size // 2) + trailers,
        }
        for name, data in cases.items():
            with self.subTest(name):
                reply_bytes = await self.exchange(data)
                self.assertTrue(reply_bytes.startswith(b"HTTP/1.1 200 OK\r\n"))
                self.assertTrue(reply_bytes.endswith(b"\r\n\r\n" + b"x" * size))

    async def test_trailer_is_no_header(self) -> None:
        # A caller could add headers behind those that were checked.
        data = (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\nAuthorization: Token t\r\n\r\n"
            b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        )
        await self.exchange(data)
        for request in self.requests:
            self.assertEqual(request.get_header(b"authorization"), b"")
        self.assertEqual([request.path for request in self.requests], ["/a", "/b"])

    async def test_trailers_over_the_limit_on_heads_are_rejected(self) -> None:
        start = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        for name, data in {
            "lines": b"a:\r\n" * 9_000,
            "value": b"a: " + b"x" * 36_000,
        }.items():
            with self.subTest(name):
                self.assertIn(await self.get_status(start + data), (b"431", b"reset"))
        self.assertEqual(self.requests, [])

    async def test_head_that_exceeds_the_memory_is_refused_as_not_run(self) -> None:
        self.limits = Limits()
        self.server.account.limits = BufferLimits(200_000, 0, 100)
        reply_bytes = await self.exchange(b"GET /a HTTP/1.1\r\n" + b"a:\r\n" * 2_000)
        self.assertTrue(reply_bytes.startswith(b"HTTP/1.1 503 "), reply_bytes)
        self.assertIn(b"Retry-After: 1\r\n", reply_bytes)
        self.assertEqual(self.requests, [])

    async def test_rest_of_a_pipelined_request_that_never_comes_gets_408(self) -> None:
        # Such a request began in the same block as the one before it, was taken for an
        # idle connection, and was closed without a reply when draining.
        whole = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        for start in (b"POST /b HT", b"POST /b HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"):
            with self.subTest(start):
                self.requests.clear()
                reader, writer = await self.connect()
                writer.write(whole + start)
                async with asyncio.timeout(5):
                    await reader.readuntil(b"X-Path: /a")
                    self.server.close_idle()
                    reply_bytes = await reader.read()
                self.assertIn(b"HTTP/1.1 408 ", reply_bytes)
                self.assertEqual([request.path for request in self.requests], ["/a"])

    async def test_expectation_of_100_continue_is_met_in_any_case(self) -> None:
        # RFC 9110 compares it without regard to case. A caller that waits for the reply
        # got 408 instead.
        for value in (b"100-continue", b"100-Continue"):
            with self.subTest(value):
                reader, writer = await self.connect()
                head = b"POST /a HTTP/1.1\r\nContent-Length: 1\r\nExpect: %b\r\n\r\n"
                writer.write(head % value)
                async with asyncio.timeout(5):
                    line = await reader.readline()
                self.assertEqual(line, b"HTTP/1.1 100 Continue\r\n")

    async def test_request_smuggling_is_rejected(self) -> None:
        data = (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
        )
        self.assertEqual(await self.get_status(data), b"400")
        self.assertEqual(self.requests, [])


class QueuedBytesTests(unittest.TestCase):
    def test_kernel_that_refuses_the_call_ends_no_check(self) -> None:
        # Guards against an error that would end the checks of all connections.
        transport = mock.Mock()
        transport.get_extra_info.return_value.fileno.return_value = 3
        with mock.patch("fcntl.ioctl", side_effect=PermissionError):
            self.assertEqual(count_queued_bytes(transport), 0)


class DisconnectTests(ServerTestCase):
    async def test_request_of_a_disconnected_caller_is_cancelled(self) -> None:
        self.may_reply.clear()
        _, writer = await self.connect()
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        await self.wait_until(lambda: self.requests)
        writer.close()
        await self.wait_until(lambda: self.cancelled_count)

    async def test_only_idle_connections_are_closed_when_draining(self) -> None:
        idle, _ = await self.connect()
        self.may_reply.clear()
        busy, writer = await self.connect()
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        await self.wait_until(lambda: self.requests)
        self.server.close_idle()
        self.assertEqual(await asyncio.wait_for(idle.read(), 5), b"")
        self.may_reply.set()
        self.assertIn(b"200 OK", await asyncio.wait_for(busy.readline(), 5))

    async def test_request_in_progress_can_still_reply_when_the_server_stops(
        self,
    ) -> None:
        self.may_reply.clear()
        reader, writer = await self.connect()
        writer.write(b"GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
        await self.wait_until(lambda: self.requests)
        await self.server.stop()
        self.assertIn(b"504 Gateway Timeout", await asyncio.wait_for(reader.read(), 5))

"""Exchanges with backend servers that break the protocol or the connection."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
import unittest

from yuccareach.gateway.http_client import (
    CONNECT_TIMEOUT_S,
    TIMER_DELAY_THRESHOLD_S,
    BackendConnection,
    BackendResponse,
    ConnectionPool,
    Ending,
    Exchange,
    call_backend,
)
from yuccareach.gateway.sse import EventSplitter
from yuccareach.platform.headers import DIALECT

REQUEST_ID_HEADER = b"Yuccareach-Request-Id: %b\r\n"
COMPLETE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\n" + REQUEST_ID_HEADER + b"Content-Length: 2\r\n\r\n%b"
)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ExchangeTestCase(unittest.IsolatedAsyncioTestCase):
    """A server that sends one of the responses for each request."""

    async def asyncSetUp(self) -> None:
        self.responses: list[bytes] = []
        self.close_after_response = False
        self.reset_after_response = False
        self.accepted_count = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.pool = ConnectionPool(f"127.0.0.1:{port}")
        self.addCleanup(self.server.close)
        self.addCleanup(self.pool.close)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted_count += 1
        while self.responses:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            writer.write(self.responses.pop(0))
            await writer.drain()
            if self.reset_after_response:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                break
            if self.close_after_response:
                break
        writer.close()

    async def exchange_request(
        self, request_id: bytes = b"r1"
    ) -> tuple[Ending, Exchange]:
        now_s = asyncio.get_running_loop().time()
        pooled = self.pool.take(now_s, 60)
        connection = pooled or await self.pool.connect()
        exchange = Exchange(request_id, DIALECT.read_response)
        connection.send(exchange, REQUEST)
        ending = await asyncio.wait_for(exchange.ended, 5)
        self.pool.release(connection)
        return ending, exchange


class ExchangeTests(ExchangeTestCase):
    async def test_connection_is_reused_after_a_complete_response(self) -> None:
        self.responses = [
            COMPLETE_RESPONSE % (b"r1", b"ok"),
            COMPLETE_RESPONSE % (b"r2", b"ok"),
        ]
        ending, exchange = await self.exchange_request(b"r1")
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(bytes(exchange.body), b"ok")
        self.assertIs((await self.exchange_request(b"r2"))[0], Ending.COMPLETE)
        self.assertEqual(self.accepted_count, 1)

    async def test_late_response_to_an_earlier_request_is_discarded(self) -> None:
        self.responses = [
            COMPLETE_RESPONSE % (b"r0", b"no") + COMPLETE_RESPONSE % (b"r1", b"ok")
        ]
        ending, exchange = await self.exchange_request(b"r1")
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(bytes(exchange.body), b"ok")

    async def test_connection_is_not_reused_after_a_second_response(self) -> None:
        self.responses = [
            COMPLETE_RESPONSE % (b"r1", b"ok") + COMPLETE_RESPONSE % (b"r1", b"no"),
            COMPLETE_RESPONSE % (b"r2", b"ok"),
        ]
        ending, exchange = await self.exchange_request(b"r1")
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(bytes(exchange.body), b"ok")
        self.assertIs((await self.exchange_request(b"r2"))[0], Ending.COMPLETE)
        self.assertEqual(self.accepted_count, 2)

    async def test_bytes_that_are_not_http_are_malformed(self) -> None:
        self.responses = [b"\x00\x01 garbage\r\n\r\n"]
        self.assertIs((await self.exchange_request())[0], Ending.MALFORMED)

    async def test_truncated_response_is_broken(self) -> None:
        self.responses = [(COMPLETE_RESPONSE % (b"r1", b"ok"))[:-1]]
        self.close_after_response = True
        self.assertIs((await self.exchange_request())[0], Ending.BROKEN)

    async def test_response_without_a_length_ends_with_its_connection(self) -> None:
        response = b"HTTP/1.1 200 OK\r\n" + REQUEST_ID_HEADER % b"r1" + b"\r\nall"
        self.responses = [response]
        self.close_after_response = True
        ending, exchange = await self.exchange_request()
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(bytes(exchange.body), b"all")

    async def test_response_without_a_length_is_broken_by_a_reset(self) -> None:
        self.responses = [
            b"HTTP/1.1 200 OK\r\n" + REQUEST_ID_HEADER % b"r1" + b"\r\nall"
        ]
        self.reset_after_response = True
        self.assertIs((await self.exchange_request())[0], Ending.BROKEN)

    async def test_closed_connection_is_not_reused(self) -> None:
        self.responses = [COMPLETE_RESPONSE % (b"r1", b"ok")]
        await self.exchange_request()
        await asyncio.sleep(0.05)
        now_s = asyncio.get_running_loop().time()
        self.assertIsNone(self.pool.take(now_s, 60))

    async def test_connection_is_not_reused_shortly_before_its_stated_timeout(
        self,
    ) -> None:
        head = (
            b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\n" + REQUEST_ID_HEADER % b"r1"
        )
        self.responses = [head + b"Content-Length: 0\r\n\r\n", b""]
        await self.exchange_request()
        now_s = asyncio.get_running_loop().time()
        self.assertIsNone(self.pool.take(now_s + 2.5, 60))


MAX_HEAD_BYTES = 64 << 10
MAX_BODY_BYTES = 16 << 20
MAX_REPORT_BYTES = 1 << 20
MAX_EVENT_BYTES = 1 << 20
BLOCK_BYTES = 64 << 10
# An endless response of a test stops here.
MAX_FED_BYTES = 64 << 20
FILLER = b"x" * BLOCK_BYTES
OK_LINE = b"HTTP/1.1 200 OK\r\n"
OK = OK_LINE + REQUEST_ID_HEADER % b"r1"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (BLOCK_BYTES, FILLER)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


class StubTransport:
    def __init__(self) -> None:
        self.closing = False

    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        self.closing = True

    close = abort

    def is_closing(self) -> bool:
        return self.closing


class SizeLimitTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.connection = BackendConnection()
        self.connection.connection_made(StubTransport())
        self.exchange = Exchange(b"r1", DIALECT.read_response)
        self.connection.send(self.exchange, REQUEST)

    def feed(self, start: bytes, block: bytes) -> int:
        """Feed an endless response until it is closed; return the bytes it took."""
        self.connection.data_received(start)
        fed_bytes = len(start)
        while not self.connection.transport.is_closing() and fed_bytes < MAX_FED_BYTES:
            self.connection.data_received(block)
            fed_bytes += len(block)
        return fed_bytes

    async def receive(self, *parts: bytes) -> Ending:
        for part in parts:
            self.connection.data_received(part)
        return await asyncio.wait_for(self.exchange.ended, 1)

    async def test_endless_head_is_closed_at_its_limit(self) -> None:
        for name, start, block in (
            ("status line", b"HTTP/1.1 200 ", FILLER),
            ("header lines", OK, b"A: b\r\n" * 1000),
            ("header name", OK, FILLER),
            ("header value", OK + b"A: ", FILLER),
            ("interim answers", b"", INTERIM * 100),
            ("late head", OK_LINE + REQUEST_ID_HEADER % b"r0" + b"A: ", FILLER),
        ):
            with self.subTest(name):
                await self.asyncSetUp()
                fed_bytes = self.feed(start, block)
                self.assertLessEqual(fed_bytes, MAX_HEAD_BYTES + 2 * BLOCK_BYTES)
                self.assertEqual(str(await self.receive()), "too_large")

    async def test_endless_body_is_closed_at_its_limit(self) -> None:
        late = OK_LINE + REQUEST_ID_HEADER % b"r0" + b"Content-Length: 65536\r\n\r\n"
        for name, start, block in (
            ("chunks", CHUNKED, CHUNK),
            ("no length", OK + b"\r\n", FILLER),
            ("small chunks", CHUNKED, b"1\r\nx\r\n" * 10_000),
            ("chunk extension", CHUNKED + b"2;x=", FILLER),
            ("trailer", CHUNKED + b"2\r\nok\r\n0\r\n", b"A: b\r\n" * 10_000),
            ("trailer value", CHUNKED + b"2\r\nok\r\n0\r\nA: ", FILLER),
            ("late answers", b"", late + FILLER),
        ):
            with self.subTest(name):
                await self.asyncSetUp()
                fed_bytes = self.feed(start, block)
                self.assertLessEqual(
                    fed_bytes, MAX_HEAD_BYTES + MAX_BODY_BYTES + 2 * BLOCK_BYTES
                )
                self.assertEqual(str(await self.receive()), "too_large")
                self.assertLessEqual(len(self.exchange.body), MAX_BODY_BYTES)

    async def test_body_with_a_length_over_the_limit_is_refused_by_its_head(
        self,
    ) -> None:
        head = OK + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
        ending = await self.receive(head)
        self.assertEqual(str(ending), "too_large")
        self.assertTrue(self.connection.transport.is_closing())

    async def test_largest_body_arrives_whole(self) -> None:
        head = OK + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        body = [FILLER] * (MAX_BODY_BYTES // BLOCK_BYTES)
        self.assertIs(await self.receive(head, *body), Ending.COMPLETE)
        self.assertEqual(len(self.exchange.body), MAX_BODY_BYTES)

    async def test_head_below_the_limit_is_accepted_with_its_body(self) -> None:
        head = OK + b"A: %b\r\nContent-Length: %d\r\n\r\n"
        value = b"x" * (MAX_HEAD_BYTES - 200)
        data = head % (value, BLOCK_BYTES) + FILLER
        self.assertIs(await self.receive(data), Ending.COMPLETE)
        self.assertEqual(len(self.exchange.body), BLOCK_BYTES)

    async def test_large_late_response_is_discarded(self) -> None:
        late = OK_LINE + REQUEST_ID_HEADER % b"r0" + b"Content-Length: %d\r\n\r\n"
        body = [FILLER] * 32
        data = late % (32 * BLOCK_BYTES)
        ending = await self.receive(data, *body, COMPLETE_RESPONSE % (b"r1", b"ok"))
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(bytes(self.exchange.body), b"ok")

    async def test_trailer_adds_no_headers_to_the_response(self) -> None:
        data = CHUNKED + b"2\r\nok\r\n0\r\nContent-Encoding: gzip\r\n\r\n"
        self.assertIs(await self.receive(data), Ending.COMPLETE)
        head = self.exchange.head.result()
        assert head is not None
        self.assertNotIn(b"content-encoding", dict(head.headers))


class StreamLimitTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.connection = BackendConnection()
        self.connection.connection_made(StubTransport())
        self.splitter = EventSplitter()
        self.event_bytes = 0
        self.exchange = Exchange(b"r1", DIALECT.read_response, self.split)
        self.connection.send(self.exchange, REQUEST)
        self.connection.data_received(
            OK + b"Yuccareach-Runner-Signature: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )

    def split(self, data: bytes) -> int:
        self.event_bytes += sum(map(len, self.splitter.feed(data)))
        return self.splitter.buffered_bytes

    def feed(self, data: bytes) -> None:
        while not self.exchange.ended.done() and self.event_bytes < MAX_FED_BYTES:
            self.connection.data_received(b"%x\r\n%b\r\n" % (len(data), data))

    async def test_event_without_end_is_closed_at_its_limit(self) -> None:
        self.feed(FILLER)
        self.assertIs(self.exchange.ended.result(), Ending.TOO_LARGE)
        self.assertLessEqual(
            self.splitter.buffered_bytes, MAX_EVENT_BYTES + BLOCK_BYTES
        )
        self.assertTrue(self.connection.transport.is_closing())

    async def test_events_without_end_are_closed_at_the_limit_of_a_body(self) -> None:
        self.feed(b"data: a\n\n" * 1000)
        self.assertIs(self.exchange.ended.result(), Ending.TOO_LARGE)
        self.assertLessEqual(self.event_bytes, MAX_HEAD_BYTES + MAX_BODY_BYTES)
        self.assertTrue(self.connection.transport.is_closing())


class EndlessReportTests(unittest.IsolatedAsyncioTestCase):
    async def test_endless_report_is_closed_early(self) -> None:
        sent_bytes = 0
        closed = asyncio.Event()

        async def _serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal sent_bytes
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK_LINE + b"\r\n")
            try:
                while sent_bytes < MAX_FED_BYTES:
                    writer.write(FILLER)
                    sent_bytes += BLOCK_BYTES
                    await writer.drain()
                    # Lets the client read before more is sent.
                    await asyncio.sleep(0)
                await reader.read()
            except ConnectionError:
                pass
            closed.set()
            writer.close()

        server = await asyncio.start_server(_serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        pool = ConnectionPool("127.0.0.1:%d" % server.sockets[0].getsockname()[1])
        self.addCleanup(pool.close)
        response = await call_backend(pool, b"GET", "/", b"", 5)
        self.assertEqual(response, BackendResponse(Ending.TOO_LARGE, 0, b""))
        await asyncio.wait_for(closed.wait(), 5)
        # What the sockets may hold is sent too.
        self.assertLess(sent_bytes, MAX_REPORT_BYTES + (8 << 20))


class ConnectTests(unittest.IsolatedAsyncioTestCase):
    async def test_delay_of_the_own_process_is_no_failure_to_connect(self) -> None:
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        self.addCleanup(server.close)
        pool = ConnectionPool(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        attempt = asyncio.create_task(pool.connect())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        time.sleep(CONNECT_TIMEOUT_S + 2 * TIMER_DELAY_THRESHOLD_S)
        connection = await attempt
        connection.transport.abort()

    async def test_server_that_answers_no_connection_times_out(self) -> None:
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # The queue of connections holds one; further ones get no answer.
        port = listener.getsockname()[1]
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
        with self.assertRaises(TimeoutError):
            await ConnectionPool(f"127.0.0.1:{port}").connect()


class RepeatedRefusalTests(ExchangeTestCase):
    """A server that writes an earlier refusal once more on a kept connection."""

    named = (
        b"HTTP/1.1 503 Full\r\nYuccareach-Request-Id: r1\r\n"
        b"Yuccareach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    unnamed = named.replace(b"Yuccareach-Request-Id: r1\r\n", b"")
    misdirected = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
    answer = COMPLETE_RESPONSE % (b"r2", b"ok")

    def has_not_run(self, exchange: Exchange) -> bool:
        head = exchange.head.result()
        return head is not None and head.metadata.has_not_run

    async def test_first_refusal_on_a_connection_is_one_of_the_request(self) -> None:
        for refusal in (self.named, self.unnamed, self.misdirected):
            self.pool.close()
            self.responses = [refusal]
            _, exchange = await self.exchange_request(b"r1")
            self.assertTrue(self.has_not_run(exchange))

    async def test_refusal_without_id_was_taken_for_that_of_the_next_request(
        self,
    ) -> None:
        for refusal in (self.unnamed, self.misdirected):
            self.responses = [refusal, refusal]
            await self.exchange_request(b"r1")
            ending, exchange = await self.exchange_request(b"r2")
            self.assertIs(ending, Ending.COMPLETE)
            self.assertFalse(self.has_not_run(exchange))
            self.pool.close()

    async def test_refusal_without_id_is_skipped_if_the_server_names_requests(
        self,
    ) -> None:
        for refusal in (self.named, self.unnamed, self.misdirected):
            self.responses = [self.named, refusal + self.answer]
            await self.exchange_request(b"r1")
            ending, exchange = await self.exchange_request(b"r2")
            self.assertIs(ending, Ending.COMPLETE)
            self.assertEqual(bytes(exchange.body), b"ok")
            self.assertFalse(self.has_not_run(exchange))
            self.pool.close()

    async def test_success_without_id_is_skipped_if_the_server_names_requests(
        self,
    ) -> None:
        stale = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
        self.responses = [self.named, stale + self.answer]
        await self.exchange_request(b"r1")
        _, exchange = await self.exchange_request(b"r2")
        self.assertEqual(bytes(exchange.body), b"ok")

    async def test_server_that_never_names_requests_is_answered_from(self) -> None:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.responses = [response, response]
        for request_id in (b"r1", b"r2"):
            ending, exchange = await self.exchange_request(request_id)
            self.assertIs(ending, Ending.COMPLETE)
            self.assertEqual(bytes(exchange.body), b"ok")

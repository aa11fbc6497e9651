"""Random legal and illegal bytes from clients against the gateway's server."""

from __future__ import annotations

import asyncio
import gc
import logging
import unittest
import weakref
from random import Random
from typing import Any
from unittest import mock

import uvicorn
from uvicorn.server import ServerState

from yuccareach.buffers.account import (
    CONNECTION_COST_BYTES,
    HEADER_COST_BYTES,
    REQUEST_COST_BYTES,
    Activity,
    BufferAccount,
    BufferLimits,
)
from yuccareach.gateway.dialect import Headers
from yuccareach.gateway.http_server import (
    MAX_PIPELINED_BYTES,
    PARSE_BLOCK_BYTES,
    SERVED_BODY_COPIES,
    CallerConnection,
    CallerRequest,
    CallerServer,
    Reply,
    count_queued_bytes,
)
from yuccareach.gateway.table import Limits
from yuccareach.runtime.bounded_protocol import BoundedProtocol

SEEDS = 100
STREAMS_PER_SEED = 40
OPEN_AT_ONCE = 8
BUDGET_BYTES = 250_000
MAX_CONNECTIONS = 6
LIMITS = Limits(
    max_header_bytes=4_096,
    max_body_bytes=20_000,
    header_timeout_ms=60_000,
    idle_timeout_ms=60_000,
)
HIGH_WATER_BYTES = 65_536


class FakeTransport:
    """A transport whose peer reads when the test says so."""

    def __init__(self, connection: Any) -> None:
        self.connection = connection
        self.buffered_bytes = 0
        self.is_reading = True
        self.is_closed = False
        self.is_lost = False

    def get_write_buffer_size(self) -> int:
        return self.buffered_bytes

    def is_closing(self) -> bool:
        return self.is_closed

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def write(self, data: bytes) -> None:
        self.buffered_bytes += len(data)
        if self.buffered_bytes > HIGH_WATER_BYTES:
            self.connection.pause_writing()

    def read(self, max_bytes: int) -> None:
        self.buffered_bytes -= min(max_bytes, self.buffered_bytes)
        if not self.buffered_bytes and not self.is_lost:
            self.connection.resume_writing()
            if self.is_closed:
                self._lose()

    def close(self) -> None:
        self.is_closed = True
        if not self.buffered_bytes:
            self._lose()

    def abort(self) -> None:
        self.is_closed = True
        self.buffered_bytes = 0
        self._lose()

    def _lose(self) -> None:
        if not self.is_lost:
            self.is_lost = True
            asyncio.get_running_loop().call_soon(self._end)

    def _end(self) -> None:
        """Release the connection, as asyncio's transports do."""
        connection, self.connection = self.connection, None
        connection.connection_lost(None)


def build_head(random: Random) -> bytes:
    lines = [b"POST /%b HTTP/1.1\r\n" % (b"p" * random.randrange(50)), b"Host: h\r\n"]
    kind = random.randrange(4)
    count = random.choice((0, 3, 300, 900))
    if kind == 0:
        lines += [b"a:\r\n"] * count
    elif kind == 1:
        lines += [b"%x: %d\r\n" % (number, number) for number in range(count)]
    elif kind == 2:
        lines.append(b"x: " + b"y" * random.choice((10, 1_000, 6_000)) + b"\r\n")
    return b"".join(lines)


def build_chunks(random: Random) -> bytes:
    size = random.choice((1, 2, 50, 5_000))
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    return chunk * random.choice((1, 10, 1_000 if size < 50 else 5))


def build_request(random: Random) -> bytes:
    """Return one request, legal or not, with or without an end."""
    head = build_head(random)
    kind = random.randrange(9)
    if kind == 0:
        return head
    if kind == 1:
        return bytes(random.randrange(256) for _ in range(random.randrange(500)))
    if kind == 2:
        return b"\r\n" * random.choice((1, 100, 5_000))
    if kind in (3, 4):
        size = random.choice((0, 10, 5_000, 19_000, 30_000))
        sent = size if random.random() < 0.7 else size // 2
        return head + b"Content-Length: %d\r\n\r\n" % size + b"x" * sent
    if kind in (5, 6):
        trailers = b"a:\r\n" * random.choice((0, 0, 1, 500, 5_000))
        end = random.choice((b"\r\n", b"\r\n", b""))
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        return head + chunked + build_chunks(random) + b"0\r\n" + trailers + end
    count = random.choice((1, 5, 300))
    return b"GET /many HTTP/1.1\r\nHost: h\r\na:\r\n\r\n" * count


def split_at_random(random: Random, data: bytes) -> list[bytes]:
    parts = []
    while data:
        size = random.choice((1, 100, 3_000, 100_000))
        parts.append(data[:size])
        data = data[size:]
    return parts[:200]


def compute_head_bytes(target: bytes, headers: Headers) -> int:
    return len(target) + sum(len(name) + len(value) + 4 for name, value in headers)


def compute_request_bytes(request: CallerRequest) -> int:
    return (
        REQUEST_COST_BYTES
        + HEADER_COST_BYTES * len(request.headers)
        + compute_head_bytes(request.target, request.headers)
        + SERVED_BODY_COPIES * len(request.body)
    )


def compute_held_bytes(connection: CallerConnection) -> int:
    """Return what a connection should be charged for, from the objects it holds."""
    if connection.transport.is_lost:
        # It is about to leave the account.
        return connection.holder.held_bytes
    requests = [request for request, _, _ in connection.pending_requests]
    if connection.task is not None:
        coroutine: Any = connection.task.get_coro()
        requests.append(coroutine.cr_frame.f_locals["request"])
    if connection.head_received_s:
        head_bytes = compute_head_bytes(connection.target, connection.headers)
    else:
        # The parser holds what it has not passed on yet.
        head_bytes = connection.head_bytes
    return (
        CONNECTION_COST_BYTES
        + HEADER_COST_BYTES * len(connection.headers)
        + head_bytes
        + len(connection.body) * 9 // 8
        + len(connection.pipelined_data) * 9 // 8
        + sum(map(compute_request_bytes, requests))
        + connection.transport.get_write_buffer_size()
    )


class UnreadReplyTests(unittest.IsolatedAsyncioTestCase):
    async def test_pipelined_requests_wait_until_replies_are_read(self) -> None:
        # Replies that are far larger than the requests for them would exhaust memory.
        served: list[CallerRequest] = []

        async def _handle(request: CallerRequest, reply: Reply) -> None:
            served.append(request)
            reply.send(200, [], b"x" * 100_000)

        limits = BufferLimits(100_000_000, 0, 10)
        server = CallerServer(
            _handle, lambda: LIMITS, mock.Mock(), mock.Mock(), BufferAccount(limits)
        )
        connection = CallerConnection(server)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        connection.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 500)
        for count in range(1, 10):
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertEqual(len(served), count)
            self.assertIs(connection.holder.activity, Activity.SENDING)
            transport.read(1_000_000)

    async def test_caller_that_reads_from_the_kernel_only_is_given_time(self) -> None:
        # The transport's buffer stays the same for long when the kernel's is large. A
        # caller that read 100 kB/s was cut off in the middle of a reply of 16 MB.
        async def _handle(request: CallerRequest, reply: Reply) -> None:
            reply.send(200, [], b"x" * 100_000)

        server = CallerServer(_handle, lambda: LIMITS, mock.Mock(), mock.Mock())
        connection = CallerConnection(server)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        connection.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        for _ in range(20):
            await asyncio.sleep(0)
        timeout_s = LIMITS.idle_timeout_ms / 1000
        now_s = server.now()
        with (
            mock.patch.object(server, "now", side_effect=lambda: now_s),
            mock.patch(
                "yuccareach.gateway.http_server.count_queued_bytes"
            ) as count_queued_bytes,
        ):
            for queued_bytes in (50_000, 40_000, 30_000, 20_000):
                count_queued_bytes.return_value = queued_bytes
                connection.check_progress(now_s)
                now_s += 0.6 * timeout_s
            self.assertFalse(transport.is_closed)
            for _ in range(3):
                connection.check_progress(now_s)
                now_s += 0.6 * timeout_s
            self.assertTrue(transport.is_closed)


class QueuedBytesTests(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_that_the_peer_reads_are_not_counted(self) -> None:
        accepted: asyncio.Future[asyncio.StreamWriter]
        accepted = asyncio.get_running_loop().create_future()
        server = await asyncio.start_server(
            lambda reader, writer: accepted.set_result(writer), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        address = server.sockets[0].getsockname()
        reader, client = await asyncio.open_connection(*address, limit=1)
        self.addCleanup(client.close)
        writer = await accepted
        self.addCleanup(writer.transport.abort)
        size = 32 << 20
        writer.write(b"x" * size)
        async with asyncio.timeout(30):
            while not count_queued_bytes(writer.transport):
                await asyncio.sleep(0.01)
            await reader.readexactly(size)
            while count_queued_bytes(writer.transport):
                await asyncio.sleep(0.01)


class RandomStreamTests(unittest.IsolatedAsyncioTestCase):
    def make_server(self, random: Random) -> CallerServer:
        async def _handle(request: CallerRequest, reply: Reply) -> None:
            for _ in range(random.choice((0, 0, 1, 50))):
                await asyncio.sleep(0)
            reply.send(200, [], b"x" * random.choice((0, 100, 100_000)))

        return CallerServer(
            _handle,
            lambda: LIMITS,
            self.record_failure,
            lambda status: None,
            BufferAccount(BufferLimits(BUDGET_BYTES, BUDGET_BYTES, MAX_CONNECTIONS)),
            lambda reason, holder: self.shed_reasons.append(reason),
        )

    def record_failure(self, request: CallerRequest, error: Exception) -> None:
        raise AssertionError("the handler failed") from error

    def check_account(self, server: CallerServer) -> None:
        account = server.account
        charged = [
            item for item in server.connections if item.holder in account.holders
        ]
        held_bytes = sum(map(compute_held_bytes, charged))
        self.assertEqual(account.held_bytes, held_bytes)
        self.assertLessEqual(account.held_bytes, BUDGET_BYTES)
        self.assertLessEqual(len(account.holders), MAX_CONNECTIONS)
        for connection in server.connections - set(charged):
            # A shed connection has released all but the refusal it sends.
            self.assertTrue(connection.transport.is_closing())
            self.assertFalse(connection.headers or connection.body)
            self.assertFalse(connection.pipelined_data or connection.pending_requests)
        for connection in charged:
            max_bytes = MAX_PIPELINED_BYTES + 100_000
            self.assertLessEqual(len(connection.pipelined_data), max_bytes)
            # A head over the limit is rejected with the block that exceeds it.
            head_bytes = sum(
                len(name) + len(value) for name, value in connection.headers
            )
            self.assertLessEqual(
                head_bytes, LIMITS.max_header_bytes + PARSE_BLOCK_BYTES
            )

    async def run_seed(self, seed: int) -> None:
        random = Random(seed)
        server = self.make_server(random)
        open_streams: list[tuple[CallerConnection, list[bytes]]] = []
        unopened = STREAMS_PER_SEED
        while unopened or open_streams:
            if unopened and len(open_streams) < OPEN_AT_ONCE:
                unopened -= 1
                connection = CallerConnection(server)
                connection.connection_made(FakeTransport(connection))
                data = b"".join(
                    build_request(random) for _ in range(random.randrange(1, 4))
                )
                open_streams.append((connection, split_at_random(random, data)))
            stream = random.choice(open_streams)
            connection, parts = stream
            transport: Any = connection.transport
            if transport.is_closing() or not parts:
                # The client leaves, whatever it has been sent.
                transport.abort()
                open_streams.remove(stream)
            elif random.random() < 0.1:
                transport.read(random.choice((100, 200_000)))
                connection.check_progress(server.now())
            else:
                connection.data_received(parts.pop(0))
            self.check_account(server)
            if random.random() < 0.5:
                await asyncio.sleep(0)
                for open_connection in tuple(server.connections):
                    open_connection.check_progress(server.now())
                self.check_account(server)
        for _ in range(100):
            await asyncio.sleep(0)
        self.assertEqual((server.account.held_bytes, server.connections), (0, set()))

    async def test_account_equals_what_is_held_and_stays_in_its_budget(self) -> None:
        self.shed_reasons: list[str] = []
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                await self.run_seed(seed)
        # The streams are large enough to use the budget up.
        self.assertGreater(self.shed_reasons.count("memory"), SEEDS)
        self.assertGreater(self.shed_reasons.count("connections"), SEEDS)


class UvicornStreamTests(unittest.IsolatedAsyncioTestCase):
    """The same bytes against uvicorn's protocol, with an application like falcon's."""

    def make_protocol(self, random: Random, account: BufferAccount) -> Any:
        async def _app(scope: Any, receive: Any, send: Any) -> None:
            reads_body = random.random() < 0.7
            while reads_body:
                message = await receive()
                reads_body = message.get("more_body", False)
            body = b"x" * random.choice((0, 100, 100_000))
            length = (b"content-length", b"%d" % len(body))
            start = {"type": "http.response.start", "status": 200, "headers": [length]}
            await send(start)
            await send({"type": "http.response.body", "body": body})

        return BoundedProtocol(
            account,
            lambda reason, holder: self.shed_reasons.append(reason),
            config=uvicorn.Config(_app, log_config=None, lifespan="off"),
            server_state=ServerState(),
            app_state={},
        )

    def check_account(self, account: BufferAccount, protocols: list[Any]) -> None:
        charged = [item for item in protocols if item.holder in account.holders]
        held_bytes = [
            (
                item.holder.held_bytes
                if item.transport.is_lost
                else item.compute_held_bytes()
            )
            for item in charged
        ]
        self.assertEqual(account.held_bytes, sum(held_bytes))
        self.assertEqual(len(account.holders), len(charged))
        self.assertLessEqual(account.held_bytes, BUDGET_BYTES)
        self.assertLessEqual(len(charged), MAX_CONNECTIONS)
        for item in protocols:
            if item not in charged:
                self.assertTrue(item.transport.is_closing())
                self.assertFalse(item.unparsed or item.pipeline)

    async def run_seed(self, seed: int) -> None:
        random = Random(seed)
        limits = BufferLimits(BUDGET_BYTES, 0, MAX_CONNECTIONS)
        account = BufferAccount(limits)
        streams: list[tuple[Any, list[bytes]]] = []
        all_protocols = weakref.WeakSet[Any]()
        unopened = STREAMS_PER_SEED
        while unopened or streams:
            if unopened and len(streams) < OPEN_AT_ONCE:
                unopened -= 1
                protocol = self.make_protocol(random, account)
                all_protocols.add(protocol)
                protocol.connection_made(FakeTransport(protocol))
                data = b"".join(
                    build_request(random) for _ in range(random.randrange(1, 4))
                )
                streams.append((protocol, split_at_random(random, data)))
            stream = random.choice(streams)
            protocol, parts = stream
            transport = protocol.transport
            if transport.is_closing() or not parts:
                transport.abort()
                streams.remove(stream)
            elif random.random() < 0.2:
                transport.read(200_000)
                # asyncio resumes a protocol when most of a reply has been read.
                protocol.resume_writing()
            elif transport.is_reading:
                protocol.data_received(parts.pop(0))
            elif random.random() < 0.1:
                parts.clear()
            if random.random() < 0.5:
                await asyncio.sleep(0)
            self.check_account(account, list(all_protocols))
        del protocol, stream, transport
        for _ in range(100):
            await asyncio.sleep(0)
        self.assertEqual((account.held_bytes, account.holders), (0, set()))
        # Connections that wait for the garbage collector are charged to nobody.
        self.assertEqual(len(all_protocols), 0)

    async def test_account_stays_in_its_budget_and_closed_connections_hold_nothing(
        self,
    ) -> None:
        self.shed_reasons: list[str] = []
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                await self.run_seed(seed)
        self.assertGreater(self.shed_reasons.count("memory"), SEEDS)
        self.assertGreater(self.shed_reasons.count("connections"), SEEDS)

"""Connections to backend servers that speak HTTP/1.1, and what came of a request.

A backend server may close, stay silent, send a second answer, or bytes that are none.
Every answer is therefore matched by its request id, and a connection on which anything
unexpected was read is not used again.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

import httptools

from yuccareach.gateway.dialect import Headers, ResponseMetadata

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_TIMEOUT_S = 0.4
# Kept below what a backend server states, since its close may be on its way.
KEEP_ALIVE_MARGIN_S = 1.0
DEFAULT_KEEP_ALIVE_S = 4.0
MAX_ANSWER_BYTES = 16 << 20


class Ending(StrEnum):
    """How an exchange with a backend server ended."""

    COMPLETE = "complete"
    # No byte of the request was written.
    NOT_SENT = "not_sent"
    # The request was written; whether it ran is not known.
    BROKEN = "broken"
    # What was read is no answer to the request.
    MALFORMED = "garbled"
    # The time that we would wait passed.
    TIMED_OUT = "timed_out"


class ResponseHead(NamedTuple):
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: Headers
    metadata: ResponseMetadata


class Exchange:
    """One request on one connection, and the answer as it arrives."""

    def __init__(
        self,
        request_id: bytes,
        read_answer: Callable[[int, Headers], ResponseMetadata],
        on_data: Callable[[bytes], None] | None = None,
    ) -> None:
        self.request_id = request_id
        self.read_answer = read_answer
        self.on_data = on_data
        loop = asyncio.get_running_loop()
        self.head: asyncio.Future[ResponseHead | None] = loop.create_future()
        self.ended: asyncio.Future[Ending] = loop.create_future()
        self.body: list[bytes] = []
        self.size = 0

    def take_head(self, head: ResponseHead) -> None:
        """Note status and headers."""
        if not self.head.done():
            self.head.set_result(head)

    def take_data(self, data: bytes) -> None:
        """Pass a part of the body on, or gather it."""
        if self.on_data is not None:
            self.on_data(data)
            return
        self.size += len(data)
        if self.size <= MAX_ANSWER_BYTES:
            self.body.append(data)

    def end(self, ending: Ending) -> None:
        """Note how the exchange ended; later notes change nothing."""
        if not self.ended.done():
            self.ended.set_result(ending)
        if not self.head.done():
            self.head.set_result(None)


class BackendConnection(asyncio.Protocol):
    """One connection to a backend server, with at most one exchange at a time."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.exchange: Exchange | None = None
        self.dirty = False
        self.reusable_until_s = 0.0
        self.idle_since_s = 0.0
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: Headers = []
        self.skipping = False
        self.until_close = False
        self.closing = False
        self.complete = False

    @property
    def usable(self) -> bool:
        """Whether another request may be sent here."""
        return (
            self.exchange is None and not self.dirty and not self.transport.is_closing()
        )

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Send a request."""
        self._reset()
        self.exchange = exchange
        self.transport.write(data)

    # Transport callbacks.

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse an answer; bytes that nobody waits for spoil the connection."""
        if self.exchange is None:
            self.dirty = True
            self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(Ending.MALFORMED)

    def eof_received(self) -> bool:
        """End an answer that lasts until its connection does."""
        if self.exchange is not None and self.until_close and not self.skipping:
            self._finish(reusable=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange as broken, if it is still open."""
        self.dirty = True
        if self.exchange is not None:
            exchange, self.exchange = self.exchange, None
            exchange.end(Ending.BROKEN)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start an answer; one after the answer that was awaited is too many."""
        self.headers = []
        if self.complete:
            self.dirty = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Gather a header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Match the answer with the request by its id."""
        status = self.parser.get_status_code()
        exchange = self.exchange
        if exchange is None or self.complete or status < 200:
            return
        facts = exchange.read_answer(status, self.headers)
        self.skipping = facts.request_id not in (None, exchange.request_id)
        if self.skipping:
            return
        value_by_name = dict(self.headers)
        self.until_close = (
            b"content-length" not in value_by_name
            and b"chunked" not in value_by_name.get(b"transfer-encoding", b"").lower()
            and status not in (204, 304)
        )
        self.closing = b"close" in value_by_name.get(b"connection", b"").lower()
        self._note_keep_alive(value_by_name.get(b"keep-alive", b""))
        exchange.take_head(ResponseHead(status, self.headers, facts))

    def _note_keep_alive(self, value: bytes) -> None:
        seconds = DEFAULT_KEEP_ALIVE_S
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                seconds = int(number) - KEEP_ALIVE_MARGIN_S
        now_s = asyncio.get_running_loop().time()
        self.reusable_until_s = now_s + seconds

    def on_body(self, data: bytes) -> None:
        """Hand on a part of the answer."""
        if self.exchange is not None and not self.skipping and not self.complete:
            self.exchange.take_data(data)

    def on_message_complete(self) -> None:
        """End the exchange, or drop an answer to an earlier request."""
        if self.skipping:
            self.skipping = False
            return
        if self.parser.get_status_code() < 200 or self.until_close:
            return
        if self.exchange is not None and not self.complete:
            self.complete = True
            asyncio.get_running_loop().call_soon(self._finish, not self.closing)

    def _finish(self, reusable: bool) -> None:
        """End the exchange once everything read with its end has been looked at."""
        exchange, self.exchange = self.exchange, None
        if not reusable:
            self.dirty = True
        if self.dirty:
            self.transport.close()
        self.idle_since_s = asyncio.get_running_loop().time()
        if exchange is not None:
            exchange.end(Ending.COMPLETE)

    def _fail(self, ending: Ending) -> None:
        self.dirty = True
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.end(Ending.COMPLETE if self.complete else ending)
        self.transport.abort()

    def abort(self) -> None:
        """Give the exchange up and close, which stops the backend server's work."""
        self.dirty = True
        exchange, self.exchange = self.exchange, None
        if not self.transport.is_closing():
            self.transport.abort()
        if exchange is not None:
            exchange.end(Ending.BROKEN)


class ConnectionPool:
    """The connections to one backend server."""

    def __init__(self, address: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.idle: list[BackendConnection] = []
        self.opened = 0

    def take(self, now_s: float, max_idle_s: float) -> BackendConnection | None:
        """Return the connection used last, if one is fresh enough."""
        fresh = [
            connection
            for connection in self.idle
            if connection.usable and now_s < connection.reusable_until_s
        ]
        for connection in self.idle:
            if connection not in fresh:
                connection.transport.abort()
        self.idle = fresh
        if fresh and now_s - fresh[-1].idle_since_s <= max_idle_s:
            return self.idle.pop()
        return None

    async def connect(self) -> BackendConnection:
        """Open a connection; raises OSError or TimeoutError."""
        self.opened += 1
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                BackendConnection, self.host, self.port
            )
        return connection

    def add_unused(self, connection: BackendConnection) -> None:
        """Keep a connection that nothing was sent on yet."""
        now_s = asyncio.get_running_loop().time()
        connection.idle_since_s = now_s
        connection.reusable_until_s = now_s + DEFAULT_KEEP_ALIVE_S
        self.release(connection)

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection for later requests, if it may be used again."""
        if connection.usable:
            self.idle.append(connection)
        elif not connection.transport.is_closing():
            connection.transport.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.transport.abort()
        self.idle.clear()


class BackendResponse(NamedTuple):
    """A whole answer to a question of our own."""

    status: int
    body: bytes


async def call_backend(
    pool: ConnectionPool,
    method: bytes,
    path: str,
    body: bytes,
    timeout_s: float,
    *,
    new_connection: bool = False,
) -> BackendResponse | None:
    """Ask a backend server something; None where no whole answer came in time.

    With `new`, the question goes over a connection of its own.
    """
    address = f"{pool.host}:{pool.port}".encode()
    headers: Headers = [(b"Host", address)]
    if body:
        headers.append((b"Content-Type", b"application/json"))
    now_s = asyncio.get_running_loop().time()
    exchange = Exchange(b"", _any_answer)
    connection: BackendConnection | None = None
    try:
        async with asyncio.timeout(timeout_s):
            if not new_connection:
                connection = pool.take(now_s, float("inf"))
            connection = connection or await pool.connect()
            connection.send(
                exchange, encode_request(method, path.encode(), headers, body)
            )
            ending = await asyncio.shield(exchange.ended)
    except (OSError, TimeoutError):
        return None
    finally:
        if connection is not None and connection.exchange is not None:
            connection.abort()
        elif connection is not None:
            pool.release(connection)
    head = exchange.head.result()
    if ending is not Ending.COMPLETE or head is None:
        return None
    return BackendResponse(head.status, b"".join(exchange.body))


def _any_answer(status: int, headers: Headers) -> ResponseMetadata:
    """Accept an answer that carries no request id."""
    return ResponseMetadata(None, False, False, None, None, None, None)


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Return the bytes of a request."""
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    lines += [b"%b: %b\r\n" % item for item in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join((*lines, b"\r\n", body))


__all__ = [
    "ResponseHead",
    "BackendConnection",
    "ConnectionPool",
    "Ending",
    "Exchange",
    "BackendResponse",
    "call_backend",
    "encode_request",
]

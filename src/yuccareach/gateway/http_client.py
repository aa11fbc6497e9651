"""HTTP/1.1 connections to backend servers, and exchanges of a request and a response.

A backend server may close the connection, send nothing, send a second response or send
bytes that are no response. Every response is therefore matched with its request by the
request id, and a connection on which anything unexpected was read is not reused.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import httptools

from yuccareach.buffers.account import HEADER_COST_BYTES
from yuccareach.gateway.dialect import Headers, ResponseMetadata
from yuccareach.gateway.exchanges import (
    REPORT_LIMITS,
    Ending,
    Exchange,
    ResponseHead,
)

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_TIMEOUT_S = 0.4
# A timer that fires this much too late shows that this process itself was delayed, for
# instance for lack of processor time. A connection then gets this much longer.
TIMER_DELAY_THRESHOLD_S = 0.02
DELAYED_CONNECT_TIMEOUT_S = 0.1
# A connection is reused for this much less than the keep-alive timeout that a backend
# server states, since the server may be closing the connection already.
KEEP_ALIVE_MARGIN_S = 1.0
# Data is parsed in blocks of this size, so that what one block adds to the memory held
# is small: at most 16,000 header lines.
PARSE_BLOCK_BYTES = 64 << 10
# For backend servers that state no keep-alive timeout.
DEFAULT_KEEP_ALIVE_S = 4.0


class BackendConnection(asyncio.Protocol):
    """One connection to a backend server, with at most one exchange at a time."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.exchange: Exchange | None = None
        # Set once the connection cannot be reused.
        self.must_close = False
        self.reusable_until_s = 0.0
        self.idle_since_s = 0.0
        # Requests that were sent here, the current one included.
        self.sent_requests = 0
        # Whether a response here bore a request id.
        self.echoes_ids = False
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: Headers = []
        self.is_awaiting_head = True
        # Bytes received before the end of the head, without bodies of late responses.
        self.head_bytes = 0
        # All bytes received since the request was sent.
        self.received_bytes = 0
        # Bytes received after the head since the last part of the body: trailers, and
        # what frames the chunks.
        self.frame_bytes = 0
        # Whether the response is to an earlier request and is discarded.
        self.is_skipping = False
        # Whether the body has neither a length nor chunks.
        self.body_ends_at_close = False
        self.server_will_close = False
        self.is_complete = False

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent here."""
        return (
            self.exchange is None
            and not self.must_close
            and not self.transport.is_closing()
        )

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Send the bytes of a request and start its exchange."""
        self._reset()
        self.sent_requests += 1
        self.exchange = exchange
        exchange.fail = self._fail
        self.transport.write(data)

    # Transport callbacks.

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a response; abort the connection if no request is in flight."""
        exchange = self.exchange
        if exchange is None:
            self.must_close = True
            self.transport.abort()
            return
        limits = exchange.limits
        self.received_bytes += len(data)
        try:
            if self.is_awaiting_head:
                data = self._parse_head(data, limits.head_bytes)
            self._parse_body(data, limits.head_bytes)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(Ending.MALFORMED)
        if self.received_bytes > limits.head_bytes + limits.body_bytes:
            self._fail(Ending.TOO_LARGE)

    def _parse_head(self, data: bytes, max_bytes: int) -> bytes:
        """Parse data up to the end of the head, and return data that is left.

        Fails the exchange if the head exceeds the maximum.
        """
        while data and self.is_awaiting_head and self.exchange is not None:
            remaining_bytes = max_bytes - self.head_bytes
            if remaining_bytes <= 0:
                self._fail(Ending.TOO_LARGE)
                return b""
            block_bytes = min(remaining_bytes, PARSE_BLOCK_BYTES)
            self.head_bytes += min(len(data), block_bytes)
            self.parser.feed_data(data[:block_bytes])
            data = data[block_bytes:]
        if self.exchange is not None:
            parsed_bytes = HEADER_COST_BYTES * len(self.headers)
            self.exchange.set_head_cost(self.head_bytes + parsed_bytes)
        return data

    def _parse_body(self, data: bytes, max_frame_bytes: int) -> None:
        """Parse data that follows the head.

        Fails the exchange if too much precedes or follows each part of the body.
        """
        while data and self.exchange is not None:
            self.frame_bytes += min(len(data), PARSE_BLOCK_BYTES)
            self.parser.feed_data(data[:PARSE_BLOCK_BYTES])
            data = data[PARSE_BLOCK_BYTES:]
            if self.frame_bytes > max_frame_bytes:
                self._fail(Ending.TOO_LARGE)

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection."""
        if (
            self.exchange is not None
            and self.body_ends_at_close
            and not self.is_skipping
        ):
            self._finish(reusable=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End an open exchange as broken."""
        self.must_close = True
        if self.exchange is not None:
            exchange, self.exchange = self.exchange, None
            exchange.set_ending(Ending.BROKEN)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a response; do not reuse the connection after a second response."""
        self.headers = []
        if self.is_complete:
            self.must_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; drop it if it is part of a trailer."""
        if not self.is_awaiting_head or self.exchange is None:
            return
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Match the response with the request by the request id."""
        status = self.parser.get_status_code()
        exchange = self.exchange
        if exchange is None or self.is_complete or status < 200:
            return
        metadata = exchange.read_response(status, self.headers)
        self.is_skipping = not self._is_response_to(exchange, metadata)
        if self.is_skipping:
            return
        if not self._is_certainly_current(metadata):
            metadata = metadata._replace(has_not_run=False)
        value_by_name = dict(self.headers)
        self.body_ends_at_close = (
            b"content-length" not in value_by_name
            and b"chunked" not in value_by_name.get(b"transfer-encoding", b"").lower()
            and status not in (204, 304)
        )
        self.server_will_close = (
            b"close" in value_by_name.get(b"connection", b"").lower()
        )
        self._update_reuse_deadline(value_by_name.get(b"keep-alive", b""))
        self.is_awaiting_head = False
        exchange.set_head(ResponseHead(status, self.headers, metadata))
        length = value_by_name.get(b"content-length", b"")
        if length.isdigit() and int(length) > exchange.limits.body_bytes:
            self._fail(Ending.TOO_LARGE)

    def _is_certainly_current(self, metadata: ResponseMetadata) -> bool:
        """Return whether a response can only be to the current request.

        One without an id may be to an earlier request on the same connection, so that
        it does not prove that the current one has not run.
        """
        return metadata.request_id is not None or self.sent_requests == 1

    def _is_response_to(self, exchange: Exchange, metadata: ResponseMetadata) -> bool:
        """Return whether to take a response for that to the current request."""
        if metadata.request_id is not None:
            self.echoes_ids = True
            return metadata.request_id == exchange.request_id
        # A server that has named a request before names each.
        return not (exchange.request_id and self.echoes_ids)

    def _update_reuse_deadline(self, value: bytes) -> None:
        seconds = DEFAULT_KEEP_ALIVE_S
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                seconds = int(number) - KEEP_ALIVE_MARGIN_S
        now_s = asyncio.get_running_loop().time()
        self.reusable_until_s = now_s + seconds

    def on_body(self, data: bytes) -> None:
        """Forward a part of the body to the exchange."""
        self.frame_bytes = 0
        if self.exchange is None or self.is_complete:
            return
        if self.is_skipping:
            self.head_bytes -= len(data)
        elif not self.exchange.receive_data(data):
            self._fail(Ending.TOO_LARGE)

    def on_message_complete(self) -> None:
        """End the exchange, or discard a response to an earlier request."""
        if self.is_skipping:
            self.is_skipping = False
            return
        if self.parser.get_status_code() < 200 or self.body_ends_at_close:
            return
        if self.exchange is not None and not self.is_complete:
            self.is_complete = True
            asyncio.get_running_loop().call_soon(
                self._finish, not self.server_will_close
            )

    def _finish(self, reusable: bool) -> None:
        """End the exchange.

        Runs only after all data received with the end of the response has been parsed,
        so that a second response in this data is detected.
        """
        exchange, self.exchange = self.exchange, None
        if not reusable:
            self.must_close = True
        if self.must_close:
            self.transport.close()
        self.idle_since_s = asyncio.get_running_loop().time()
        if exchange is not None:
            exchange.set_ending(Ending.COMPLETE)

    def _fail(self, ending: Ending) -> None:
        self.must_close = True
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.set_ending(Ending.COMPLETE if self.is_complete else ending)
        self.transport.abort()

    def abort(self) -> None:
        """Abandon the exchange and close, so that the backend server stops its work."""
        self.must_close = True
        exchange, self.exchange = self.exchange, None
        if not self.transport.is_closing():
            self.transport.abort()
        if exchange is not None:
            exchange.set_ending(Ending.BROKEN)


class ConnectionPool:
    """The idle connections to one backend server."""

    def __init__(self, address: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.idle_connections: list[BackendConnection] = []
        self.opened_count = 0

    def take(self, now_s: float, max_idle_s: float) -> BackendConnection | None:
        """Return the connection used last, if it may still be reused, else None."""
        reusable = [
            connection
            for connection in self.idle_connections
            if connection.is_reusable and now_s < connection.reusable_until_s
        ]
        for connection in self.idle_connections:
            if connection not in reusable:
                connection.transport.abort()
        self.idle_connections = reusable
        if reusable and now_s - reusable[-1].idle_since_s <= max_idle_s:
            return self.idle_connections.pop()
        return None

    async def connect(self) -> BackendConnection:
        """Open a connection.

        Raises OSError or TimeoutError.
        """
        self.opened_count += 1
        loop = asyncio.get_running_loop()
        attempt = asyncio.ensure_future(
            loop.create_connection(BackendConnection, self.host, self.port)
        )
        started_s = loop.time()
        try:
            await asyncio.wait((attempt,), timeout=CONNECT_TIMEOUT_S)
            elapsed_s = loop.time() - started_s
            if elapsed_s > CONNECT_TIMEOUT_S + TIMER_DELAY_THRESHOLD_S:
                # This process was delayed: the server's answer may not be read yet.
                await asyncio.wait((attempt,), timeout=DELAYED_CONNECT_TIMEOUT_S)
            if not attempt.done():
                raise TimeoutError
            _, connection = attempt.result()
            return connection
        except asyncio.CancelledError:
            if attempt.done() and not attempt.exception():
                attempt.result()[0].abort()
            raise
        finally:
            attempt.cancel()

    def add_unused(self, connection: BackendConnection) -> None:
        """Add a new connection on which nothing has been sent yet."""
        now_s = asyncio.get_running_loop().time()
        connection.idle_since_s = now_s
        connection.reusable_until_s = now_s + DEFAULT_KEEP_ALIVE_S
        self.release(connection)

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection for later requests if it can be reused, else close it."""
        if connection.is_reusable:
            self.idle_connections.append(connection)
        elif not connection.transport.is_closing():
            connection.transport.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle_connections:
            connection.transport.abort()
        self.idle_connections.clear()


_NO_METADATA = ResponseMetadata(None, False, False, None, None, None, None)


class BackendResponse(NamedTuple):
    """A response to a request of the gateway's own.

    Unless it is complete, the status is 0 and the body empty.
    """

    ending: Ending
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
    read_response: Callable[[int, Headers], ResponseMetadata] | None = None,
) -> BackendResponse | None:
    """Send a request of the gateway's own to a backend server.

    Returns None if the server sends neither a complete response within the timeout,
    which includes the time to connect, nor one that is invalid or too large. With
    `new_connection`, no pooled connection is used. The head of the response is decoded
    by `read_response`, if set.
    """
    address = f"{pool.host}:{pool.port}".encode()
    headers: Headers = [(b"Host", address)]
    if body:
        headers.append((b"Content-Type", b"application/json"))
    now_s = asyncio.get_running_loop().time()

    def _read_response(status: int, response_headers: Headers) -> ResponseMetadata:
        if read_response is None:
            return _NO_METADATA
        # These requests have no id to match.
        return read_response(status, response_headers)._replace(request_id=None)

    exchange = Exchange(b"", _read_response, limits=REPORT_LIMITS)
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
    if ending in (Ending.MALFORMED, Ending.TOO_LARGE):
        return BackendResponse(ending, 0, b"")
    if ending is not Ending.COMPLETE or head is None:
        return None
    return BackendResponse(ending, head.status, exchange.take_body())


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Encode a request as HTTP/1.1."""
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    lines += [b"%b: %b\r\n" % item for item in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join((*lines, b"\r\n", body))


__all__ = [
    "TIMER_DELAY_THRESHOLD_S",
    "BackendConnection",
    "BackendResponse",
    "ConnectionPool",
    "Ending",
    "Exchange",
    "ResponseHead",
    "call_backend",
    "encode_request",
]

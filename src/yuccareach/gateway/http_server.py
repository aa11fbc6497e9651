"""HTTP/1.1 server for callers, directly on asyncio transports.

A caller's disconnect has to cancel its request at once, a truncated reply has to look
truncated to the caller, and each event of a stream should cost only one write. An ASGI
server hides or slows down each of these.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

import httptools

from yuccareach.gateway.dialect import Headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from yuccareach.gateway.table import Limits

# How often connections are checked for timeouts.
SWEEP_INTERVAL_S = 0.25
# Limit on what a caller may send while an earlier request of its connection is served.
MAX_PIPELINED_BYTES = 65_536
REASON_BY_STATUS = {
    200: b"OK",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CallerRequest(NamedTuple):
    """One request as received; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    # Event-loop time at which its headers were complete.
    received_s: float

    def get_header(self, name: bytes) -> bytes:
        """Return the first value of a header, or an empty string."""
        return next((value for key, value in self.headers if key == name), b"")

    @property
    def path(self) -> str:
        """The path as sent, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class Reply:
    """The reply to one request, written to its caller's connection."""

    def __init__(self, connection: CallerConnection, keep_alive: bool) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.has_started = False
        self.has_finished = False
        self.status = 0

    def send(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete reply."""
        self._write_head(
            status, [*headers, (b"Content-Length", b"%d" % len(body))], body
        )
        self._mark_finished()

    def start(self, status: int, headers: Headers) -> None:
        """Start a reply of unknown length."""
        self._write_head(status, [*headers, (b"Transfer-Encoding", b"chunked")], b"")

    def write(self, data: bytes) -> None:
        """Send a part of a started reply as one chunk."""
        self.connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """Complete a started reply."""
        self.connection.write(b"0\r\n\r\n")
        self._mark_finished()

    def abort(self) -> None:
        """Abort the connection, so that the reply cannot look complete."""
        self.has_finished = True
        self.connection.abort()

    @property
    def is_connected(self) -> bool:
        """Whether the caller can still receive a reply."""
        return not self.connection.transport.is_closing()

    def _write_head(self, status: int, headers: Headers, body: bytes) -> None:
        self.has_started = True
        self.status = status
        if not self.keep_alive or self.connection.server.is_draining:
            self.keep_alive = False
            headers = [*headers, (b"Connection", b"close")]
        reason = REASON_BY_STATUS.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        lines += [b"%b: %b\r\n" % item for item in headers]
        self.connection.write(b"".join((*lines, b"\r\n", body)))

    def _mark_finished(self) -> None:
        self.has_finished = True


class CallerConnection(asyncio.Protocol):
    """One caller's connection, whose requests are served one after the other."""

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.transport: Any = None
        self.parser = httptools.HttpRequestParser(self)
        self.task: asyncio.Task[None] | None = None
        self.pipelined_data = bytearray()
        self.pending_requests: deque[tuple[CallerRequest, Reply]] = deque()
        self.writable = asyncio.Event()
        self.writable.set()
        # When the idle timeout or the timeout of receiving a request ends.
        self.expires_s: float | None = None
        # Whether a part of a request has been received, but not all of it.
        self.is_receiving = False
        self._reset()

    def _reset(self) -> None:
        self.target = b""
        self.headers: Headers = []
        self.head_bytes = 0
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.head_received_s = 0.0
        self.is_rejected = False

    # Transport callbacks.

    def connection_made(self, transport: Any) -> None:
        """Register the connection and wait for a request."""
        self.transport = transport
        self.server.connections.add(self)
        self._await_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that has disconnected."""
        self.server.connections.discard(self)
        self.writable.set()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Clear writable, because the caller reads too slowly."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Set writable again, because the caller has caught up."""
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse a request, or buffer the data while an earlier request is served."""
        if self.task is not None:
            self.pipelined_data += data
            if len(self.pipelined_data) > MAX_PIPELINED_BYTES:
                self.abort()
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        limits = self.server.get_limits()
        if not self.is_receiving and not self.head_received_s:
            self.is_receiving = True
            self.expires_s = self.server.now() + limits.header_timeout_ms / 1000
        if not self.head_received_s:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            if not self.is_rejected:
                self._reject(400)
        if not self.head_received_s and self.head_bytes > limits.max_header_bytes:
            self._reject(431)

    # Parser callbacks.

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the size limits; send 100 Continue if the caller expects it."""
        self.head_received_s = self.server.now()
        limits = self.server.get_limits()
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size + len(self.target) > limits.max_header_bytes:
            self._reject(431)
            return
        length = next(
            (value for name, value in self.headers if name == b"content-length"), b"0"
        )
        if length.isdigit() and int(length) > limits.max_body_bytes:
            self._reject(413)
        elif (b"expect", b"100-continue") in self.headers:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body and check its size limit."""
        self.body.append(data)
        self.body_bytes += len(data)
        if self.body_bytes > self.server.get_limits().max_body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Serve the request, or queue it behind an earlier one from the same packet."""
        if self.is_rejected or self.transport.is_closing():
            return
        request = CallerRequest(
            self.parser.get_method(),
            self.target,
            self.headers,
            b"".join(self.body),
            self.head_received_s,
        )
        reply = Reply(self, self.parser.should_keep_alive())
        self.expires_s = None
        self.is_receiving = False
        self._reset()
        if self.task is None:
            self.task = asyncio.create_task(self._serve(request, reply))
        else:
            self.pending_requests.append((request, reply))

    # Serving.

    async def _serve(self, request: CallerRequest, reply: Reply) -> None:
        try:
            await self.server.handle(request, reply)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self.server.on_failure(request, error)
            if reply.has_started:
                reply.abort()
            else:
                reply.keep_alive = False
                reply.send(500, [])
        if not reply.has_finished:
            reply.abort()
        self.task = None
        if not reply.keep_alive or self.server.is_draining:
            self.transport.close()
        elif self.pending_requests:
            self.task = asyncio.create_task(
                self._serve(*self.pending_requests.popleft())
            )
        else:
            self._await_request()

    def _await_request(self) -> None:
        self.expires_s = (
            self.server.now() + self.server.get_limits().idle_timeout_ms / 1000
        )
        if self.pipelined_data:
            data, self.pipelined_data = bytes(self.pipelined_data), bytearray()
            self._parse(data)

    def _reject(self, status: int) -> None:
        """Reject a request that is malformed or breaks a limit, and close.

        While an earlier request is served, its reply is aborted instead, since no other
        reply can be sent.
        """
        if self.is_rejected:
            return
        self.is_rejected = True
        if self.task is not None:
            self.task.cancel()
            self.abort()
            return
        Reply(self, keep_alive=False).send(status, [])
        self.server.on_rejection(status)
        self.transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Close at once, without sending buffered bytes."""
        if not self.transport.is_closing():
            self.transport.abort()

    def close_if_expired(self, now_s: float) -> None:
        """Close an idle connection, or reject a slow request, after its timeout."""
        if self.expires_s is None or now_s < self.expires_s or self.task is not None:
            return
        if self.is_receiving:
            self._reject(408)
        else:
            self.transport.close()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or served."""
        return self.task is None and not self.is_receiving


class CallerServer:
    """Listeners for callers, and their open connections."""

    def __init__(
        self,
        handle: Callable[[CallerRequest, Reply], Awaitable[None]],
        get_limits: Callable[[], Limits],
        on_failure: Callable[[CallerRequest, Exception], None],
        on_rejection: Callable[[int], None],
    ) -> None:
        self.handle = handle
        self.get_limits = get_limits
        self.on_failure = on_failure
        self.on_rejection = on_rejection
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self.listeners: list[asyncio.Server] = []
        self.sweep_task: asyncio.Task[None] | None = None

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def listen(self, host: str, port: int, backlog: int) -> None:
        """Accept connections on an address, in addition to earlier ones."""
        loop = asyncio.get_running_loop()
        self.listeners.append(
            await loop.create_server(
                lambda: CallerConnection(self), host, port, backlog=backlog
            )
        )
        if self.sweep_task is None:
            self.sweep_task = asyncio.create_task(self._sweep())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = self.now()
            for connection in tuple(self.connections):
                connection.close_if_expired(now_s)

    def close_listeners(self) -> None:
        """Stop accepting connections."""
        for listener in self.listeners:
            listener.close()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in tuple(self.connections):
            if connection.is_idle:
                connection.transport.close()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or served on any connection."""
        return any(not connection.is_idle for connection in self.connections)

    async def stop(self) -> None:
        """Close all listeners and connections.

        Requests in progress are cancelled first, so that they can still reply.
        """
        self.close_listeners()
        tasks = [connection.task for connection in self.connections if connection.task]
        if self.sweep_task is not None:
            tasks.append(self.sweep_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in tuple(self.connections):
            connection.transport.close()


__all__ = ["CallerRequest", "CallerServer", "Reply"]

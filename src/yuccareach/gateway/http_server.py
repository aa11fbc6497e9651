"""Serving HTTP/1.1 to callers, close to the socket.

A caller that leaves cancels its work at once, an answer that is cut short must
look so, and an event costs one write: an ASGI server hides or slows each of these.
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

SWEEP_INTERVAL_S = 0.25
# What a caller may send ahead while an answer is under way.
BACKLOG_BYTES = 65_536
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
    """One request as it was received; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    # Loop time at which its head was complete.
    received_s: float

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or an empty string."""
        return next((value for key, value in self.headers if key == name), b"")

    @property
    def path(self) -> str:
        """The path as sent, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class Reply:
    """The answer to one request, written to its caller's connection."""

    def __init__(self, connection: CallerConnection, keep_alive: bool) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.started = False
        self.finished = False
        self.status = 0

    def send(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a whole answer."""
        self._head(status, [*headers, (b"Content-Length", b"%d" % len(body))], body)
        self._end()

    def start(self, status: int, headers: Headers) -> None:
        """Start an answer whose length is not known."""
        self._head(status, [*headers, (b"Transfer-Encoding", b"chunked")], b"")

    def write(self, data: bytes) -> None:
        """Send a part of an answer that was started."""
        self.connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """End an answer that was started, as a complete one."""
        self.connection.write(b"0\r\n\r\n")
        self._end()

    def abort(self) -> None:
        """Break the connection, so that the answer cannot look complete."""
        self.finished = True
        self.connection.abort()

    def _head(self, status: int, headers: Headers, body: bytes) -> None:
        self.started = True
        self.status = status
        if not self.keep_alive or self.connection.server.draining:
            self.keep_alive = False
            headers = [*headers, (b"Connection", b"close")]
        reason = REASON_BY_STATUS.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        lines += [b"%b: %b\r\n" % item for item in headers]
        self.connection.write(b"".join((*lines, b"\r\n", body)))

    def _end(self) -> None:
        self.finished = True


class CallerConnection(asyncio.Protocol):
    """One caller's connection; its requests are served one after the other."""

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.transport: Any = None
        self.parser = httptools.HttpRequestParser(self)
        self.task: asyncio.Task[None] | None = None
        self.backlog = bytearray()
        self.pending: deque[tuple[CallerRequest, Reply]] = deque()
        self.writable = asyncio.Event()
        self.writable.set()
        self.due_s: float | None = None
        self.in_head = False
        self._reset()

    def _reset(self) -> None:
        self.target = b""
        self.headers: Headers = []
        self.head_bytes = 0
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.head_done_s = 0.0
        self.rejected = False

    # Transport callbacks.

    def connection_made(self, transport: Any) -> None:
        """Start waiting for a request."""
        self.transport = transport
        self.server.connections.add(self)
        self._await_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work that nobody waits for any more."""
        self.server.connections.discard(self)
        self.writable.set()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads too slowly."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse a request, or keep what was sent ahead of its turn."""
        if self.task is not None:
            self.backlog += data
            if len(self.backlog) > BACKLOG_BYTES:
                self.abort()
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        limits = self.server.limits()
        if not self.in_head and not self.head_done_s:
            self.in_head = True
            self.due_s = self.server.now() + limits.header_timeout_ms / 1000
        if not self.head_done_s:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            if not self.rejected:
                self._reject(400)
        if not self.head_done_s and self.head_bytes > limits.max_header_bytes:
            self._reject(431)

    # Parser callbacks.

    def on_url(self, url: bytes) -> None:
        """Gather the request's target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Gather a header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head, and ask for a body that waits to be asked for."""
        self.head_done_s = self.server.now()
        limits = self.server.limits()
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
        """Gather the body."""
        self.body.append(data)
        self.body_bytes += len(data)
        if self.body_bytes > self.server.limits().max_body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Serve the request; what follows in the same packet waits for its turn."""
        if self.rejected or self.transport.is_closing():
            return
        request = CallerRequest(
            self.parser.get_method(),
            self.target,
            self.headers,
            b"".join(self.body),
            self.head_done_s,
        )
        reply = Reply(self, self.parser.should_keep_alive())
        self.due_s = None
        self.in_head = False
        self._reset()
        if self.task is None:
            self.task = asyncio.create_task(self._serve(request, reply))
        else:
            self.pending.append((request, reply))

    # Serving.

    async def _serve(self, request: CallerRequest, reply: Reply) -> None:
        try:
            await self.server.handle(request, reply)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self.server.failed(request, error)
            if reply.started:
                reply.abort()
            else:
                reply.keep_alive = False
                reply.send(500, [])
        if not reply.finished:
            reply.abort()
        self.task = None
        if not reply.keep_alive or self.server.draining:
            self.transport.close()
        elif self.pending:
            self.task = asyncio.create_task(self._serve(*self.pending.popleft()))
        else:
            self._await_request()

    def _await_request(self) -> None:
        self.due_s = self.server.now() + self.server.limits().idle_timeout_ms / 1000
        if self.backlog:
            data, self.backlog = bytes(self.backlog), bytearray()
            self._parse(data)

    def _reject(self, status: int) -> None:
        """Answer a request that breaks the rules, and close."""
        if self.rejected:
            return
        self.rejected = True
        if self.task is not None:
            self.task.cancel()
            self.abort()
            return
        Reply(self, keep_alive=False).send(status, [])
        self.server.rejected(status)
        self.transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is gone."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Close at once, without sending what is buffered."""
        if not self.transport.is_closing():
            self.transport.abort()

    def expire(self, now_s: float) -> None:
        """Close a connection that has been idle or slow for too long."""
        if self.due_s is None or now_s < self.due_s or self.task is not None:
            return
        if self.in_head:
            self._reject(408)
        else:
            self.transport.close()

    @property
    def idle(self) -> bool:
        """Whether no request is being received or served."""
        return self.task is None and not self.in_head


class CallerServer:
    """A listener for callers and its open connections."""

    def __init__(
        self,
        handle: Callable[[CallerRequest, Reply], Awaitable[None]],
        limits: Callable[[], Limits],
        failed: Callable[[CallerRequest, Exception], None],
        rejected: Callable[[int], None],
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.failed = failed
        self.rejected = rejected
        self.connections: set[CallerConnection] = set()
        self.draining = False
        self.listeners: list[asyncio.Server] = []
        self.sweeper: asyncio.Task[None] | None = None

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def listen(self, host: str, port: int, backlog: int) -> None:
        """Accept connections on an address."""
        loop = asyncio.get_running_loop()
        self.listeners.append(
            await loop.create_server(
                lambda: CallerConnection(self), host, port, backlog=backlog
            )
        )
        if self.sweeper is None:
            self.sweeper = asyncio.create_task(self._sweep())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = self.now()
            for connection in tuple(self.connections):
                connection.expire(now_s)

    def close_listeners(self) -> None:
        """Accept no more connections."""
        for listener in self.listeners:
            listener.close()

    def close_idle(self) -> None:
        """Close the connections that no request is on."""
        for connection in tuple(self.connections):
            if connection.idle:
                connection.transport.close()

    async def stop(self) -> None:
        """Close everything at once."""
        self.close_listeners()
        if self.sweeper is not None:
            self.sweeper.cancel()
            await asyncio.gather(self.sweeper, return_exceptions=True)
        for connection in tuple(self.connections):
            connection.transport.close()


__all__ = ["CallerRequest", "CallerServer", "Reply"]

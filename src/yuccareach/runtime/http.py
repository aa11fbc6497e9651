"""HTTP server that runs in the event loop of its process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from yuccareach.errors import UsageError

if TYPE_CHECKING:
    from collections.abc import Iterator

SHUTDOWN_TIMEOUT_S = 30
LISTEN_BACKLOG = 2048
# Limit on a request's head, and on what precedes or follows each part of its body.
MAX_HEAD_BYTES = 64 << 10


class _BoundedProtocol(HttpToolsProtocol):  # type: ignore[misc]
    """Closes a connection that sends neither the end of a head nor any body."""

    # Bytes received since the last end of a head, part of a body or end of a request.
    pending_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parse data, and reject the request if it exceeds the limit."""
        self.pending_bytes += len(data)
        super().data_received(data)
        if self.pending_bytes <= MAX_HEAD_BYTES or self.transport.is_closing():
            return
        self.logger.warning("HTTP head too large.")
        if self.cycle is None or self.cycle.response_complete:
            self.send_400_response("HTTP head too large.")
        else:
            # A second answer must not follow the part of one that is under way.
            self.transport.abort()

    def on_headers_complete(self) -> None:
        """Start a request."""
        self.pending_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of a body."""
        self.pending_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request."""
        self.pending_bytes = 0
        super().on_message_complete()


class _Server(uvicorn.Server):  # type: ignore[misc]
    """A uvicorn server that leaves signals to the process that runs it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HttpServer:
    """One HTTP server on its own listening socket."""

    def __init__(self, app: Any, host: str, port: int) -> None:
        self.socket = bind(host, port)
        self.address = "{}:{}".format(*self.socket.getsockname()[:2])
        self.server = _Server(
            uvicorn.Config(
                app,
                log_config=None,
                http=_BoundedProtocol,
                access_log=False,
                server_header=False,
                lifespan="off",
                backlog=LISTEN_BACKLOG,
                timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
                timeout_keep_alive=75,
            )
        )
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to serve; return once connections are accepted or the start failed."""
        self.task = asyncio.create_task(self.server.serve([self.socket]))
        while not self.server.started and not self.task.done():
            await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """Finish open requests within SHUTDOWN_TIMEOUT_S, then close the socket."""
        self.server.should_exit = True
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)
        self.socket.close()


def bind(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address, or raise UsageError naming the address."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise UsageError(f"cannot listen on {host}:{port}: {error.strerror}") from error
    return listener


__all__ = ["HttpServer", "bind"]

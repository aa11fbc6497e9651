"""HTTP server that runs in the event loop of its process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

from yuccareach.errors import UsageError

if TYPE_CHECKING:
    from collections.abc import Iterator

SHUTDOWN_TIMEOUT_S = 30
LISTEN_BACKLOG = 2048


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
                http="httptools",
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

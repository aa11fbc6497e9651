"""Serving HTTP inside the process's own event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

from yuccareach.errors import UsageError

if TYPE_CHECKING:
    from collections.abc import Iterator

GRACE_S = 30
BACKLOG = 2048


class _Server(uvicorn.Server):  # type: ignore[misc]
    """A server that leaves signals to the process that embeds it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers alone."""
        yield


class HttpServer:
    """One HTTP listener."""

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
                backlog=BACKLOG,
                timeout_graceful_shutdown=GRACE_S,
                timeout_keep_alive=75,
            )
        )
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Accept connections."""
        self.task = asyncio.create_task(self.server.serve([self.socket]))
        while not self.server.started and not self.task.done():
            await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """Finish open requests, then close."""
        self.server.should_exit = True
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)
        self.socket.close()


def bind(host: str, port: int) -> socket.socket:
    """Open a listening socket, or raise UsageError naming the address."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise UsageError(f"cannot listen on {host}:{port}: {error.strerror}") from error
    return listener


__all__ = ["HttpServer", "bind"]

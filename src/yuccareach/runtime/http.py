"""HTTP server that runs in the event loop of its process."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from functools import partial
from typing import TYPE_CHECKING, Any

import uvicorn

from yuccareach.buffers.account import BufferAccount
from yuccareach.buffers.limits import (
    DEFAULT_MEMORY_MB,
    derive_limits,
    find_descriptor_limit,
)
from yuccareach.buffers.log_lines import LineLimiter
from yuccareach.errors import UsageError
from yuccareach.runtime.bounded_protocol import BoundedProtocol
from yuccareach.runtime.logs import Log, logger, write_log

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccareach.buffers.account import BufferLimits, Holder, ShedReason

SHUTDOWN_TIMEOUT_S = 30
LISTEN_BACKLOG = 2048
# Connections that are accepted at once, before the limit on connections is applied to
# them. The limit leaves descriptors for as many.
ACCEPT_BATCH = 32

_log = logger("http")


class _Server(uvicorn.Server):  # type: ignore[misc]
    """A uvicorn server that leaves signals to the process that runs it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HttpServer:
    """One HTTP server on its own listening socket."""

    def __init__(
        self, app: Any, host: str, port: int, limits: BufferLimits | None = None
    ) -> None:
        """Bind the socket; the limits hold for all connections together."""
        if limits is None:
            limits = derive_limits(DEFAULT_MEMORY_MB, find_descriptor_limit())
        self.account = BufferAccount(limits)
        self.shed_lines = LineLimiter()
        self.socket = bind(host, port)
        self.address = "{}:{}".format(*self.socket.getsockname()[:2])
        self.server = _Server(
            uvicorn.Config(
                app,
                log_config=None,
                # uvicorn creates a protocol for each connection by calling this.
                http=partial(BoundedProtocol, self.account, self._record_shed),
                access_log=False,
                server_header=False,
                lifespan="off",
                # asyncio accepts as many connections in a row.
                backlog=ACCEPT_BATCH,
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
        if self.server.started:
            self.socket.listen(LISTEN_BACKLOG)

    def _record_shed(self, reason: ShedReason, holder: Holder) -> None:
        omitted_lines = self.shed_lines.take(asyncio.get_running_loop().time())
        if omitted_lines is None:
            return
        fields = {
            "reason": str(reason),
            "activity": holder.activity.name.lower(),
            "held_bytes": holder.held_bytes,
            "all_held_bytes": self.account.held_bytes,
            "connections": len(self.account.holders),
            "omitted_lines": omitted_lines,
        }
        write_log(_log, Log("connection_shed", fields, logging.WARNING))

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

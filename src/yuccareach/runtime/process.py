"""The life cycle that all binaries share."""

from __future__ import annotations

import asyncio
import secrets
import signal
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class Service(Protocol):
    """A role that can be started, drained and stopped."""

    async def start(self) -> None:
        """Serve until stopped."""

    async def drain(self) -> None:
        """Refuse new work and return when all work in flight has ended."""

    async def stop(self) -> None:
        """Release everything."""


def new_incarnation() -> str:
    """Return an identifier for one run of one process."""
    return secrets.token_hex(6)


async def serve_until_signal(
    service: Service, reload: Callable[[], None] | None = None
) -> None:
    """Run a role until SIGTERM or SIGINT, then shut it down gracefully.

    A second signal ends the wait for work in flight. SIGHUP reloads the settings of a
    role that can.
    """
    loop = asyncio.get_running_loop()
    first, second = asyncio.Event(), asyncio.Event()

    def _signalled() -> None:
        (second if first.is_set() else first).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _signalled)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    await service.start()
    await first.wait()
    await _first_of(service.drain, second.wait)
    await service.stop()


async def _first_of(*waits: Callable[[], Awaitable[object]]) -> None:
    """Wait for the first of several waits and cancel the others."""
    tasks = [asyncio.ensure_future(wait()) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ["Service", "new_incarnation", "serve_until_signal"]

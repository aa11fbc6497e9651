"""Life cycle of a process, shared by all binaries."""

from __future__ import annotations

import asyncio
import secrets
import signal
from typing import TYPE_CHECKING, Protocol

from yuccareach.runtime.early_signals import take_signals

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class ProcessLifecycle(Protocol):
    """A role that can be started, drained and stopped."""

    async def start(self) -> None:
        """Start to serve."""

    async def drain(self) -> None:
        """Refuse new work and return when all work in flight has ended."""

    async def stop(self) -> None:
        """Close all links, servers and files."""


def new_incarnation() -> str:
    """Return a random identifier for one run of one process."""
    return secrets.token_hex(6)


async def serve_until_signal(
    process: ProcessLifecycle, reload: Callable[[], None] | None = None
) -> None:
    """Run a role until SIGTERM or SIGINT, then shut it down gracefully.

    A second signal ends the wait for work in flight. SIGHUP calls reload, if passed.
    Signals that the entry point has recorded have the same effects.
    """
    first_signal, second_signal = asyncio.Event(), asyncio.Event()

    def _handle_signal() -> None:
        (second_signal if first_signal.is_set() else first_signal).set()

    handler_by_signal: dict[int, Callable[[], None]] = {
        signal.SIGTERM: _handle_signal,
        signal.SIGINT: _handle_signal,
    }
    if reload is not None:
        handler_by_signal[signal.SIGHUP] = reload
    _install_handlers(handler_by_signal)
    await process.start()
    await first_signal.wait()
    await _wait_for_first(process.drain, second_signal.wait)
    await process.stop()


def _install_handlers(handler_by_signal: dict[int, Callable[[], None]]) -> None:
    """Install handlers, and run them for the signals recorded before.

    The signals are blocked meanwhile: one that arrives after the loop has its wake-up
    descriptor, but before its handler is replaced, would be handled twice.
    """
    loop = asyncio.get_running_loop()
    signal.pthread_sigmask(signal.SIG_BLOCK, handler_by_signal)
    try:
        for number, handler in handler_by_signal.items():
            loop.add_signal_handler(number, handler)
        for number in take_signals():
            if number in handler_by_signal:
                loop.call_soon(handler_by_signal[number])
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handler_by_signal)


async def _wait_for_first(*waits: Callable[[], Awaitable[object]]) -> None:
    """Run several awaitables until the first ends, then cancel the others."""
    tasks = [asyncio.ensure_future(wait()) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ["ProcessLifecycle", "new_incarnation", "serve_until_signal"]

"""The loop that turns events into effects and effects into I/O."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

TICK_INTERVAL_MS = 50
IDLE_TICK_INTERVAL_MS = 250


class Tick(NamedTuple):
    """Time has passed; sent every TICK_INTERVAL_MS, less often when idle."""


def wall_clock_ms() -> int:
    """Return the time since the epoch in milliseconds."""
    return time.time_ns() // 1_000_000


def monotonic_ms() -> int:
    """Return a steady time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class Dispatcher:
    """One process's event queue, its reducer and the performers of its effects."""

    def __init__(
        self,
        reduce: Callable[[Any, int], Iterable[Any]],
        clock: Callable[[], int] = monotonic_ms,
    ) -> None:
        self.reduce = reduce
        self.clock = clock
        self.performer_by_effect: dict[type, Callable[[Any], None]] = {}
        self.pending: deque[Any] = deque()
        self.running = False
        self.ticker: asyncio.Task[None] | None = None

    def perform_with(self, performers: Mapping[type, Callable[[Any], None]]) -> None:
        """Add the functions that carry out each type of effect."""
        self.performer_by_effect.update(performers)

    def dispatch(self, event: Any) -> None:
        """Reduce an event and perform its effects, in arrival order."""
        self.pending.append(event)
        if self.running:
            return
        self.running = True
        try:
            while self.pending:
                for effect in self.reduce(self.pending.popleft(), self.clock()):
                    self.performer_by_effect[type(effect)](effect)
        finally:
            self.running = False

    def start_ticks(self, busy: Callable[[], bool]) -> None:
        """Dispatch a Tick at an interval until stop_ticks, less often when not busy."""
        self.ticker = asyncio.create_task(self._tick(busy))

    async def stop_ticks(self) -> None:
        """Stop the ticks and wait until the timer has ended."""
        if self.ticker is None:
            return
        self.ticker.cancel()
        await asyncio.gather(self.ticker, return_exceptions=True)

    async def _tick(self, busy: Callable[[], bool]) -> None:
        while True:
            interval_ms = TICK_INTERVAL_MS if busy() else IDLE_TICK_INTERVAL_MS
            await asyncio.sleep(interval_ms / 1000)
            self.dispatch(Tick())


__all__ = [
    "IDLE_TICK_INTERVAL_MS",
    "TICK_INTERVAL_MS",
    "Dispatcher",
    "Tick",
    "monotonic_ms",
    "wall_clock_ms",
]

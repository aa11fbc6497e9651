"""Event queue of a process: its reducer returns effects, and performers run them."""

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
    """Time has passed; dispatched every TICK_INTERVAL_MS, or less often when idle."""


def wall_clock_ms() -> int:
    """Return the time since the Unix epoch in milliseconds."""
    return time.time_ns() // 1_000_000


def monotonic_ms() -> int:
    """Return a monotonic time in milliseconds, for intervals within this process."""
    return time.monotonic_ns() // 1_000_000


class Dispatcher:
    """Event queue of one process, its reducer and the performers of its effects."""

    def __init__(
        self,
        reduce: Callable[[Any, int], Iterable[Any]],
        clock: Callable[[], int] = monotonic_ms,
    ) -> None:
        self.reduce = reduce
        self.clock = clock
        self.performer_by_effect: dict[type, Callable[[Any], None]] = {}
        self.pending_events: deque[Any] = deque()
        self.is_dispatching = False
        self.tick_task: asyncio.Task[None] | None = None

    def register_performers(
        self, performers: Mapping[type, Callable[[Any], None]]
    ) -> None:
        """Register the function that performs each type of effect."""
        self.performer_by_effect.update(performers)

    def dispatch(self, event: Any) -> None:
        """Reduce events in the order of arrival and perform their effects.

        An event dispatched by a performer is queued until the current one is finished.
        """
        self.pending_events.append(event)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.pending_events:
                for effect in self.reduce(self.pending_events.popleft(), self.clock()):
                    self.performer_by_effect[type(effect)](effect)
        finally:
            self.is_dispatching = False

    def start_ticks(self, is_busy: Callable[[], bool]) -> None:
        """Dispatch a Tick at an interval until stop_ticks, less often when not busy."""
        self.tick_task = asyncio.create_task(self._dispatch_ticks(is_busy))

    async def stop_ticks(self) -> None:
        """Stop the ticks and wait until their task has ended."""
        if self.tick_task is None:
            return
        self.tick_task.cancel()
        await asyncio.gather(self.tick_task, return_exceptions=True)

    async def _dispatch_ticks(self, is_busy: Callable[[], bool]) -> None:
        while True:
            interval_ms = TICK_INTERVAL_MS if is_busy() else IDLE_TICK_INTERVAL_MS
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

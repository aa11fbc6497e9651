"""Troubles of stand-in runners, which tests and the soak set."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from yuccareach.platform.standin_bytes import RawAnswer, SentAnswer

REFUSED_STATUS = 503


class RunnerArrival(NamedTuple):
    """A request that reached a runner; the time is the loop's."""

    arrived_s: float
    request: str
    runner: str
    # Ids of the parts of its prompt, in order.
    prompt_parts: tuple[str, ...]


class RunnerFaults:
    """Troubles of one runner."""

    def __init__(self) -> None:
        # How long the runner is silent once a request arrives: it then sends nothing,
        # answers and reports alike, and goes on afterwards.
        self.silence_on_arrival_s = 0.0
        # How long it is silent after this number of events of a stream.
        self.silence_after_events: int | None = None
        self.silence_after_events_s = 0.0
        self.silent_until_s = 0.0
        # Says in every answer that it is leaving, whatever its heartbeats say.
        self.announces_leaving = False
        # Refuses requests for this long, and says so; None to serve them.
        self.retry_after_s: float | None = None
        # Values of the header with its request limit in every answer; none if empty.
        self.stated_limits: tuple[str, ...] = ()
        # Sends this in place of its answers to requests, or to calls for its report and
        # orders.
        self.raw_answer: RawAnswer | None = None
        self.raw_report: RawAnswer | None = None
        self.sent_answers: list[SentAnswer] = []

    def begin_silence(self, duration_s: float) -> None:
        """Be silent for a time from now on, unless it is silent already."""
        now_s = asyncio.get_running_loop().time()
        if duration_s and now_s >= self.silent_until_s:
            self.silent_until_s = now_s + duration_s

    async def wait_while_silent(self) -> None:
        """Return once the runner may send something."""
        loop = asyncio.get_running_loop()
        while (remaining_s := self.silent_until_s - loop.time()) > 0:
            await asyncio.sleep(remaining_s)


def parse_prompt_parts(value: str) -> tuple[str, ...]:
    """Return the ids in a list of ID:TOKENS entries."""
    return tuple(
        entry.partition(":")[0].strip() for entry in value.split(",") if entry.strip()
    )


__all__ = ["REFUSED_STATUS", "RunnerArrival", "RunnerFaults", "parse_prompt_parts"]

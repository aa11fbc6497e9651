"""Forecasts of the capacity that becomes free, and of how long a request waits for it.

An entry that knows the streams of all entries forecasts the ends of these. Otherwise it
takes the rate at which it granted capacity itself in the last moments.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from yuccareach.overload.tickets import Ticket

# The rate at which a queue moves is measured over the grants of this last period.
RATE_WINDOW_S = 2.0
# Shortest period for that rate: at the start of a burst, many grants come at once, and
# the time between them would give a much too high rate.
MIN_RATE_SPAN_S = 0.5
# Weight of the newest time for which a request held its capacity in the typical one, a
# moving average.
HOLD_TIME_WEIGHT = 0.05


class HoldTimes:
    """How long requests hold their capacity, and how many tokens, on average."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.mean_tokens = 0.0

    def record(self, held_s: float, tokens: int) -> None:
        """Record a request that has released its capacity."""
        if not self.mean_tokens:
            self.mean_s, self.mean_tokens = held_s, float(tokens)
            return
        self.mean_s += HOLD_TIME_WEIGHT * (held_s - self.mean_s)
        self.mean_tokens += HOLD_TIME_WEIGHT * (tokens - self.mean_tokens)


class ServiceLoad(NamedTuple):
    """What all entries together run and what waits elsewhere, as far as known."""

    # Requests that run, of all entries.
    running_requests: int
    # Time for which a request holds its capacity, and its tokens, on average.
    mean_hold_s: float
    mean_tokens: float
    # Tokens that wait at the other entries.
    waiting_elsewhere_by_priority: Mapping[int, int]

    @property
    def release_rate(self) -> float:
        """Tokens a second that the running requests release; 0 if unknown."""
        if self.mean_hold_s <= 0:
            return 0.0
        return self.running_requests * self.mean_tokens / self.mean_hold_s


class GrantRate:
    """The rate at which one entry has granted capacity in the last moments."""

    def __init__(self) -> None:
        # Loop time and tokens of each recent grant, oldest first.
        self.recent_grants: deque[tuple[float, int]] = deque()

    def record(self, tokens: int, now_s: float) -> None:
        """Count a grant."""
        self.recent_grants.append((now_s, tokens))
        self.expire(now_s)

    def withdraw(self, tokens: int) -> None:
        """Take the newest grant of so many tokens out of the rate."""
        last = next(
            (item for item in reversed(self.recent_grants) if item[1] == tokens), None
        )
        if last is not None:
            self.recent_grants.remove(last)

    def expire(self, now_s: float) -> None:
        """Remove the grants that are older than RATE_WINDOW_S."""
        while self.recent_grants and now_s - self.recent_grants[0][0] > RATE_WINDOW_S:
            self.recent_grants.popleft()

    def measure_span_s(self, now_s: float) -> float:
        """Return the period of the recent grants, of which there must be one."""
        return max(MIN_RATE_SPAN_S, now_s - self.recent_grants[0][0])

    def measure_rate(self, now_s: float) -> float:
        """Return the tokens granted per second; 0 without recent grants."""
        self.expire(now_s)
        granted_tokens = sum(tokens for _, tokens in self.recent_grants)
        return granted_tokens / self.measure_span_s(now_s) if granted_tokens else 0.0

    def estimate_interval_s(self, now_s: float) -> float:
        """Return the time between two of the recent grants; infinity without any."""
        self.expire(now_s)
        if not self.recent_grants:
            return math.inf
        return self.measure_span_s(now_s) / len(self.recent_grants)


def count_tokens_ahead(ticket: Ticket, waiting: Iterable[Ticket]) -> int:
    """Return the tokens that wait with the same or a more urgent priority."""
    return sum(item.tokens for item in waiting if item.priority <= ticket.priority)


def estimate_wait_s(
    ticket: Ticket, tokens_ahead: int, own_rate: float, load: ServiceLoad | None
) -> float | None:
    """Return how long a request waits for capacity; None if nothing moves.

    own_rate is in tokens a second, as are the rates of the load, which is None if what
    other entries run and wait for is unknown.
    """
    needed_tokens = tokens_ahead + ticket.tokens
    if load is not None and load.release_rate:
        elsewhere = load.waiting_elsewhere_by_priority
        needed_tokens += sum(
            tokens
            for priority, tokens in elsewhere.items()
            if priority <= ticket.priority
        )
        return needed_tokens / load.release_rate
    return needed_tokens / own_rate if own_rate else None


__all__ = [
    "MIN_RATE_SPAN_S",
    "RATE_WINDOW_S",
    "GrantRate",
    "HoldTimes",
    "ServiceLoad",
    "count_tokens_ahead",
    "estimate_wait_s",
]

"""The budget of repeats: how often requests may be sent to a second backend server."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class RetryBudgetLimits(NamedTuple):
    """What all entries together may repeat, per service and window."""

    # Repeats per request of callers.
    ratio: float
    # Repeats beyond that in any window.
    slack: float
    window_s: float


class RetryBudget:
    """One entry's part of the budget for one service.

    Entries do not ask each other, so each takes an equal part of the slack, and counts
    only its own requests.
    """

    # Windows slide and the number of entries is known late: some is kept in reserve.
    PART = 0.7
    # Repeats without which an answer would be cut short.
    URGENT_PART = 0.9

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.requests_s: deque[float] = deque()
        self.repeats_s: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self.requests_s.append(now_s)
        self._forget(now_s)

    def take_retry(self, now_s: float, entries: int, *, urgent: bool = False) -> bool:
        """Return whether one more repeat may be sent, and count it."""
        self._forget(now_s)
        allowed = (self.URGENT_PART if urgent else self.PART) * (
            self.limits.ratio * len(self.requests_s)
            + self.limits.slack / max(1, entries)
        )
        if len(self.repeats_s) + 1 > allowed:
            return False
        self.repeats_s.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for times in (self.requests_s, self.repeats_s):
            while times and now_s - times[0] > self.limits.window_s:
                times.popleft()


__all__ = ["RetryBudgetLimits", "RetryBudget"]

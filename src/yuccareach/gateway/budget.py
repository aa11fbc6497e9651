"""Retry budget: how often requests may be sent to another backend server."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class RetryBudgetLimits(NamedTuple):
    """Limits on the retries of all entries together, per service and time window."""

    # Retries per request of a caller.
    ratio: float
    # Retries allowed in any window beyond that ratio.
    slack: float
    window_s: float


class RetryBudget:
    """One entry's share of the retry budget of one service.

    Entries do not coordinate: each one uses an equal share of the slack and counts only
    its own requests.
    """

    # Fraction of the share that is used. The rest is a reserve, because windows slide
    # and an entry learns late how many entries there are.
    NORMAL_FRACTION = 0.7
    # Fraction for urgent retries, without which an answer would be cut off.
    URGENT_FRACTION = 0.9

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.request_times_s: deque[float] = deque()
        self.retry_times_s: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a caller's request towards the ratio."""
        self.request_times_s.append(now_s)
        self._expire(now_s)

    def take_retry(self, now_s: float, entries: int, *, urgent: bool = False) -> bool:
        """Return whether one more retry may be sent, and count it if so.

        `entries` is the number of entries that share the slack.
        """
        self._expire(now_s)
        max_retries = (self.URGENT_FRACTION if urgent else self.NORMAL_FRACTION) * (
            self.limits.ratio * len(self.request_times_s)
            + self.limits.slack / max(1, entries)
        )
        if len(self.retry_times_s) + 1 > max_retries:
            return False
        self.retry_times_s.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        for times in (self.request_times_s, self.retry_times_s):
            while times and now_s - times[0] > self.limits.window_s:
                times.popleft()


__all__ = ["RetryBudget", "RetryBudgetLimits"]

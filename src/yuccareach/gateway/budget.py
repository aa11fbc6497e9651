"""Retry budget: how often requests may be sent to another backend server."""

from __future__ import annotations

import math
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

    Each entry uses an equal share of the slack and counts only its own requests. The
    number of entries, from control, is all that they know of each other.
    """

    # Fraction of the share that is used. The rest is a reserve, because windows slide
    # and an entry learns late how many entries there are.
    NORMAL_FRACTION = 0.7
    # Fraction for urgent retries, without which an answer would be cut off.
    URGENT_FRACTION = 0.9
    # Number of entries while it is unknown; more share no budget on the platform.
    ASSUMED_ENTRIES = 100
    # Fraction in the first window after the process has started, since an earlier
    # process of the same entry may have used URGENT_FRACTION within that window.
    STARTING_FRACTION = 1 - URGENT_FRACTION

    def __init__(self, limits: RetryBudgetLimits, started_s: float = -math.inf) -> None:
        self.limits = limits
        # When the process started.
        self.started_s = started_s
        self.request_times_s: deque[float] = deque()
        self.retry_times_s: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a caller's request towards the ratio."""
        self.request_times_s.append(now_s)
        self._expire(now_s)

    def take_retry(self, now_s: float, entries: int, *, urgent: bool = False) -> bool:
        """Return whether one more retry may be sent, and count it if so.

        `entries` is the number of entries that share the slack, or 0 if unknown.
        """
        self._expire(now_s)
        fraction = self.URGENT_FRACTION if urgent else self.NORMAL_FRACTION
        is_starting = now_s - self.started_s < self.limits.window_s
        slack_fraction = self.STARTING_FRACTION if is_starting and entries else fraction
        slack_share = self.limits.slack / (entries or self.ASSUMED_ENTRIES)
        max_retries = (
            fraction * self.limits.ratio * len(self.request_times_s)
            + slack_fraction * slack_share
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

"""Limit on the log lines that clients can cause in a second."""

from __future__ import annotations

# Log lines on closed connections in one second; the counters count all of them.
MAX_LINES_PER_S = 10


class LineLimiter:
    """Counts the lines of the current second."""

    def __init__(self, max_lines_per_s: int = MAX_LINES_PER_S) -> None:
        self.max_lines_per_s = max_lines_per_s
        self.second_started_s = float("-inf")
        self.lines = 0
        self.omitted_lines = 0

    def take(self, now_s: float) -> int | None:
        """Return how many lines were omitted since the last one, or None to omit it."""
        if now_s - self.second_started_s >= 1.0:
            self.second_started_s = now_s
            self.lines = 0
        if self.lines >= self.max_lines_per_s:
            self.omitted_lines += 1
            return None
        self.lines += 1
        omitted_lines, self.omitted_lines = self.omitted_lines, 0
        return omitted_lines


__all__ = ["MAX_LINES_PER_S", "LineLimiter"]

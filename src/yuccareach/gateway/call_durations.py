"""How long the calls of each route take, to tell whether one ends before a shutdown."""

from __future__ import annotations

# A duration counts for one to two windows.
WINDOW_S = 30.0


class CallDurations:
    """The longest recent duration of the attempts of each route's calls."""

    def __init__(self) -> None:
        self.window_started_s = 0.0
        self.longest_by_route: dict[str, float] = {}
        # Of the window before.
        self.previous_by_route: dict[str, float] = {}

    def record(self, route: str, duration_s: float, now_s: float) -> None:
        """Record the duration of an attempt that a backend server may have run."""
        self._rotate(now_s)
        longest_s = self.longest_by_route.get(route, 0.0)
        self.longest_by_route[route] = max(longest_s, duration_s)

    def estimate_s(self, route: str, now_s: float) -> float:
        """Return the longest recent duration, or 0 if there was no attempt lately."""
        self._rotate(now_s)
        return max(
            self.longest_by_route.get(route, 0.0),
            self.previous_by_route.get(route, 0.0),
        )

    def _rotate(self, now_s: float) -> None:
        age_s = now_s - self.window_started_s
        if age_s < WINDOW_S:
            return
        is_recent = age_s < 2 * WINDOW_S
        self.previous_by_route = self.longest_by_route if is_recent else {}
        self.longest_by_route = {}
        self.window_started_s = now_s


__all__ = ["CallDurations"]

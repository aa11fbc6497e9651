"""Tickets: the properties of a request that decide its place among waiting ones."""

from __future__ import annotations

from typing import NamedTuple

# A resumed stream goes before all others, since its caller already has a part of the
# answer and waits for the rest.
RESUMED_PRIORITY = -1
# A request waits for at most this many times its objective. Callers give up after about
# four objectives; the rest of that time is left for the first event itself.
MAX_WAIT_OBJECTIVES = 3.0
# The same where a service has several priorities. Waiting costs a caller less than a
# refusal, but with six objectives, callers had given up on 157 of 3,900 requests before
# capacity was granted to them (one play of a burst of 2.3 times the traffic).
MAX_WAIT_OBJECTIVES_WITH_PRIORITIES = 3.6
# Smaller requests may overtake a waiting one until it has waited for this fraction of
# its maximum waiting time.
MAX_OVERTAKING_FRACTION = 0.5
# A request of so many tokens is as small as any, so that none overtakes it by its size.
MAX_SMALL_TOKENS = 1


class Ticket(NamedTuple):
    """The properties of a request that decide its place in the queue."""

    # Unique among the waiting requests.
    number: int
    workspace: str
    # 0 is the most urgent.
    priority: int
    tokens: int
    arrived_s: float
    # Time after the arrival within which the first event is due.
    objective_s: float
    # Time until which the request waits in any case, or None.
    give_up_s: float | None = None
    # Longest wait, as a multiple of the objective.
    max_wait_objectives: float = MAX_WAIT_OBJECTIVES
    # Whether the caller returns when an earlier refusal told it to.
    is_return: bool = False
    # Tokens multiplied by the time for which they are held, in any unit; 0 where
    # requests of a priority do not go by their size.
    work: float = 0.0

    @property
    def wait_deadline_s(self) -> float:
        """Time after which a grant would come too late for the caller."""
        usual_s = self.arrived_s + self.max_wait_objectives * self.objective_s
        return usual_s if self.give_up_s is None else max(usual_s, self.give_up_s)

    def is_late(self, now_s: float) -> bool:
        """Return whether the objective has passed."""
        return now_s > self.arrived_s + self.objective_s

    def blocks_overtaking(self, now_s: float) -> bool:
        """Return whether it has waited too long for others to start before it."""
        if self.tokens <= MAX_SMALL_TOKENS:
            return False
        waited_s = now_s - self.arrived_s
        max_wait_s = self.wait_deadline_s - self.arrived_s
        return waited_s > MAX_OVERTAKING_FRACTION * max_wait_s


__all__ = [
    "MAX_OVERTAKING_FRACTION",
    "MAX_SMALL_TOKENS",
    "MAX_WAIT_OBJECTIVES",
    "MAX_WAIT_OBJECTIVES_WITH_PRIORITIES",
    "RESUMED_PRIORITY",
    "Ticket",
]

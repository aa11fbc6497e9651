"""Admission queue: which requests wait for free capacity, and which are refused.

During a burst, requests fill the memory of all chains. A caller gives up on a stream
that has no first event after a few times the route's objective. So a request waits only
if capacity is likely to be granted to it before then; otherwise it is refused at once,
with a time to retry.

Waiting requests are ordered by priority. Within one priority, requests that can still
meet their objective go before late ones, and then requests of the workspaces that hold
the fewest tokens, so that a large workspace cannot crowd out the others.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

# A request waits for at most this many times its objective. Callers give up after about
# four objectives; the rest of that time is left for the first event itself.
MAX_WAIT_OBJECTIVES = 3.0
# The rate at which a queue moves is measured over the grants of this last period.
RATE_WINDOW_S = 2.0
# Shortest period for that rate: at the start of a burst, many grants come at once, and
# the time between them would give a much too high rate.
MIN_RATE_SPAN_S = 0.5
MIN_RETRY_DELAY_S = 0.2
# Retry delay if there were no recent grants. The rate is unknown then, and is likely to
# be known after this time.
DEFAULT_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 6.0
# Smaller requests may overtake a waiting one until it has waited for this fraction of
# its maximum waiting time.
MAX_OVERTAKING_FRACTION = 0.5
# A request of so many tokens is as small as any, so that none overtakes it by its size.
MAX_SMALL_TOKENS = 1

Capacity = TypeVar("Capacity")


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

    @property
    def wait_deadline_s(self) -> float:
        """Time after which a grant would come too late for the caller."""
        usual_s = self.arrived_s + MAX_WAIT_OBJECTIVES * self.objective_s
        return usual_s if self.give_up_s is None else max(usual_s, self.give_up_s)


def _is_never_held_back() -> bool:
    return False


class WaitingRequest(NamedTuple, Generic[Capacity]):
    """A request in the queue, with the callback that reserves capacity for it.

    `granted` gets the reserved capacity, or None once the wait deadline has passed.
    The callback may end the wait itself. No capacity is granted, and none is kept free,
    while the request is held back.
    """

    ticket: Ticket
    reserve_capacity: Callable[[], Capacity | None]
    granted: asyncio.Future[Capacity | None]
    is_held_back: Callable[[], bool] = _is_never_held_back


class AdmissionQueue(Generic[Capacity]):
    """The requests of one service that wait for free capacity at this entry."""

    def __init__(self) -> None:
        self.waiting_by_number: dict[int, WaitingRequest[Capacity]] = {}
        # Loop time and tokens of each recent grant, oldest first.
        self.recent_grants: deque[tuple[float, int]] = deque()
        self.held_tokens_by_workspace: Counter[str] = Counter()

    def count_tokens_ahead(self, ticket: Ticket) -> int:
        """Return the tokens that wait with the same or a more urgent priority."""
        return sum(
            item.ticket.tokens
            for item in self.waiting_by_number.values()
            if item.ticket.priority <= ticket.priority and not item.is_held_back()
        )

    def estimate_wait_s(self, ticket: Ticket, now_s: float) -> float | None:
        """Return how long a request would wait; None if the queue does not move."""
        self._expire_grants(now_s)
        granted_tokens = sum(tokens for _, tokens in self.recent_grants)
        if not granted_tokens:
            waiting = self.waiting_by_number.values()
            return 0.0 if all(item.is_held_back() for item in waiting) else None
        span_s = max(MIN_RATE_SPAN_S, now_s - self.recent_grants[0][0])
        return (
            (self.count_tokens_ahead(ticket) + ticket.tokens) * span_s / granted_tokens
        )

    def estimate_grant_interval_s(self, now_s: float) -> float:
        """Return the time between two of the recent grants; infinity without any."""
        self._expire_grants(now_s)
        if not self.recent_grants:
            return math.inf
        span_s = max(MIN_RATE_SPAN_S, now_s - self.recent_grants[0][0])
        return span_s / len(self.recent_grants)

    def should_wait(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether a grant is likely before the request's wait deadline."""
        wait_s = self.estimate_wait_s(ticket, now_s)
        return wait_s is not None and now_s + wait_s < ticket.wait_deadline_s

    def estimate_retry_after_s(
        self,
        ticket: Ticket,
        now_s: float,
        coverage_gap_s: float = 0.0,
        refusal_s: float = 0.0,
    ) -> float:
        """Return after how many seconds a refused request is likely to find capacity.

        For coverage_gap_s from now, no chain can cover all layers, so that no capacity
        is granted. For refusal_s from now, all servers of some layer refuse requests,
        so that no shorter delay is of use.
        """
        self._expire_grants(now_s)
        wait_s = self.estimate_wait_s(ticket, now_s) if self.recent_grants else None
        if wait_s is None:
            is_known = coverage_gap_s or refusal_s
            wait_s = 0.0 if is_known else DEFAULT_RETRY_DELAY_S
        delay_s = max(MIN_RETRY_DELAY_S, coverage_gap_s + wait_s)
        return max(refusal_s, min(delay_s, MAX_RETRY_DELAY_S))

    def add(self, waiting: WaitingRequest[Capacity]) -> None:
        """Add a request to the queue."""
        self.waiting_by_number[waiting.ticket.number] = waiting

    def remove(self, ticket: Ticket) -> None:
        """Remove a request from the queue, if it is there."""
        self.waiting_by_number.pop(ticket.number, None)

    def record_grant(self, workspace: str, tokens: int, now_s: float) -> None:
        """Count the tokens of a request that is granted capacity."""
        self.held_tokens_by_workspace[workspace] += tokens
        self.recent_grants.append((now_s, tokens))
        self._expire_grants(now_s)

    def record_move(self, workspace: str, tokens: int) -> None:
        """Count the tokens of a request that continues over other servers.

        The rate of grants does not change, since no request has left the queue.
        """
        self.held_tokens_by_workspace[workspace] += tokens

    def withdraw_grant(self, tokens: int) -> None:
        """Take the newest grant of so many tokens out of the rate.

        A backend server has refused the request that it was for.
        """
        last = next(
            (item for item in reversed(self.recent_grants) if item[1] == tokens), None
        )
        if last is not None:
            self.recent_grants.remove(last)

    def release(self, workspace: str, tokens: int) -> None:
        """Stop counting the tokens of a request that has released its capacity."""
        self.held_tokens_by_workspace[workspace] -= tokens
        if self.held_tokens_by_workspace[workspace] <= 0:
            del self.held_tokens_by_workspace[workspace]

    def _expire_grants(self, now_s: float) -> None:
        while self.recent_grants and now_s - self.recent_grants[0][0] > RATE_WINDOW_S:
            self.recent_grants.popleft()

    def sort_waiting(self, now_s: float) -> list[WaitingRequest[Capacity]]:
        """Return the waiting requests in the order in which to grant capacity.

        Requests that are equal in all else go by their arrival, the earliest first.
        """

        def _rank(item: WaitingRequest[Capacity]) -> tuple[int, bool, int, float]:
            ticket = item.ticket
            is_late = now_s > ticket.arrived_s + ticket.objective_s
            held_tokens = self.held_tokens_by_workspace[ticket.workspace]
            return (ticket.priority, is_late, held_tokens, ticket.arrived_s)

        return sorted(self.waiting_by_number.values(), key=_rank)

    def grant_capacity(self, now_s: float) -> None:
        """Grant free capacity to waiting requests, and end waits past their deadline.

        The futures of the latter get None.
        """
        for item in self.waiting_by_number.values():
            if now_s >= item.ticket.wait_deadline_s and not item.granted.done():
                item.granted.set_result(None)
        for item in self.sort_waiting(now_s):
            if item.granted.done() or item.is_held_back():
                continue
            capacity = item.reserve_capacity()
            if item.granted.done():
                continue
            if capacity is not None:
                item.granted.set_result(capacity)
            elif self._should_block_overtaking(item.ticket, now_s):
                break

    def _should_block_overtaking(self, ticket: Ticket, now_s: float) -> bool:
        if ticket.tokens <= MAX_SMALL_TOKENS:
            return False
        waited_s = now_s - ticket.arrived_s
        return waited_s > MAX_OVERTAKING_FRACTION * (
            ticket.wait_deadline_s - ticket.arrived_s
        )


__all__ = ["AdmissionQueue", "Ticket", "WaitingRequest"]

"""Admission queue: the requests that wait for free capacity at this gateway.

During a burst, requests fill the memory of all chains. A caller gives up on a stream
that has no first event after a few times the route's objective. So a request waits only
if capacity is likely to be granted to it before then; otherwise it is refused at once,
with a time to retry. yuccareach.overload decides on the order and estimates the wait.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

from yuccareach.overload.decisions import decide, sort_tickets
from yuccareach.overload.forecast import (
    GrantRate,
    HoldTimes,
    ServiceLoad,
    count_tokens_ahead,
    estimate_wait_s,
)
from yuccareach.overload.headroom import PriorityDemand
from yuccareach.overload.returns import (
    MAX_RETRY_DELAY_S,
    MIN_RETRY_DELAY_S,
    ReturnSlots,
)
from yuccareach.overload.tickets import MAX_WAIT_OBJECTIVES, RESUMED_PRIORITY, Ticket

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

# Retry delay if there were no recent grants. The rate is unknown then, and is likely to
# be known after this time.
DEFAULT_RETRY_DELAY_S = 1.0

Capacity = TypeVar("Capacity")


def _is_never_held_back() -> bool:
    return False


def _find_no_search_key() -> None:
    return None


class WaitingRequest(NamedTuple, Generic[Capacity]):
    """A request in the queue, with the callback that reserves capacity for it.

    `granted` gets the reserved capacity, or None once the wait deadline has passed.
    The callback may end the wait itself. No capacity is granted, and none is kept free,
    while the request is held back. Requests with the same search key find capacity at
    the same servers, the one with fewer tokens whenever the other does; a request
    without a key is always tried.
    """

    ticket: Ticket
    reserve_capacity: Callable[[], Capacity | None]
    granted: asyncio.Future[Capacity | None]
    is_held_back: Callable[[], bool] = _is_never_held_back
    find_search_key: Callable[[], Hashable | None] = _find_no_search_key


class AdmissionQueue(Generic[Capacity]):
    """The requests of one service that wait for free capacity at this entry."""

    def __init__(self) -> None:
        self.waiting_by_number: dict[int, WaitingRequest[Capacity]] = {}
        self.grant_rate = GrantRate()
        self.hold_times = HoldTimes()
        self.demand = PriorityDemand()
        self.returns = ReturnSlots()
        self.held_tokens_by_workspace: Counter[str] = Counter()
        # Whether a server of the service states a limit, which no callback changes.
        # None until that is looked up in the current round of grants.
        self.has_limited_servers: bool | None = None

    @property
    def recent_grants(self) -> deque[tuple[float, int]]:
        """Loop time and tokens of each recent grant, oldest first."""
        return self.grant_rate.recent_grants

    def count_tokens_ahead(self, ticket: Ticket) -> int:
        """Return the tokens that wait with the same or a more urgent priority."""
        waiting = (
            item.ticket
            for item in self.waiting_by_number.values()
            if not item.is_held_back()
        )
        return count_tokens_ahead(ticket, waiting)

    def has_waiting_before(self, priority: int) -> bool:
        """Return whether requests of the same or a more urgent priority wait."""
        return any(
            item.ticket.priority <= priority for item in self.waiting_by_number.values()
        )

    def count_waiting_tokens(self) -> Counter[int]:
        """Return the tokens that wait for capacity, by priority.

        Resumed streams count as the most urgent priority that requests have had here.
        One that no request has would make other entries keep capacity free for it.
        """
        most_urgent = min(self.demand.last_arrival_s_by_priority, default=0)
        tokens_by_priority: Counter[int] = Counter()
        for item in self.waiting_by_number.values():
            if not item.granted.done() and not item.is_held_back():
                priority = item.ticket.priority
                if priority == RESUMED_PRIORITY:
                    priority = most_urgent
                tokens_by_priority[priority] += item.ticket.tokens
        return tokens_by_priority

    def estimate_wait_s(
        self, ticket: Ticket, now_s: float, load: ServiceLoad | None = None
    ) -> float | None:
        """Return how long a request would wait; None if the queue does not move.

        The estimate is based on the load of all entries, or on the recent grants if the
        load is None or unknown.
        """
        rate = self.grant_rate.measure_rate(now_s)
        if not rate and (load is None or not load.release_rate):
            waiting = self.waiting_by_number.values()
            return 0.0 if all(item.is_held_back() for item in waiting) else None
        return estimate_wait_s(ticket, self.count_tokens_ahead(ticket), rate, load)

    def estimate_grant_interval_s(self, now_s: float) -> float:
        """Return the time between two of the recent grants; infinity without any."""
        return self.grant_rate.estimate_interval_s(now_s)

    def should_wait(
        self, ticket: Ticket, now_s: float, load: ServiceLoad | None = None
    ) -> bool:
        """Return whether a grant is likely before the request's wait deadline."""
        wait_s = self.estimate_wait_s(ticket, now_s, load)
        return wait_s is not None and now_s + wait_s < ticket.wait_deadline_s

    def estimate_retry_after_s(
        self,
        ticket: Ticket,
        now_s: float,
        coverage_gap_s: float = 0.0,
        refusal_s: float = 0.0,
        load: ServiceLoad | None = None,
    ) -> float:
        """Return after how many seconds a refused request is likely to find capacity.

        For coverage_gap_s from now, no chain can cover all layers, so that no capacity
        is granted. For refusal_s from now, all servers of some layer refuse requests,
        so that no shorter delay is of use.
        """
        is_moving = self.grant_rate.measure_rate(now_s) or (
            load is not None and load.release_rate
        )
        wait_s = self.estimate_wait_s(ticket, now_s, load) if is_moving else None
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

    def record_grant(
        self, workspace: str, tokens: int, now_s: float, priority: int | None = None
    ) -> None:
        """Count the tokens of a request that is granted capacity.

        With a priority, they also count towards the share of that priority. None is
        given for an attempt that is prepared beside the current one.
        """
        self.held_tokens_by_workspace[workspace] += tokens
        self.grant_rate.record(tokens, now_s)
        if priority is not None:
            self.demand.record_grant(priority, tokens, now_s)

    def record_move(self, workspace: str, tokens: int) -> None:
        """Count the tokens of a request that continues over other servers.

        The rate of grants does not change, since no request has left the queue.
        """
        self.held_tokens_by_workspace[workspace] += tokens

    def withdraw_grant(self, tokens: int) -> None:
        """Take the newest grant of so many tokens out of the rate.

        A backend server has refused the request that it was for.
        """
        self.grant_rate.withdraw(tokens)

    def release(self, workspace: str, tokens: int) -> None:
        """Stop counting the tokens of a request that has released its capacity."""
        self.held_tokens_by_workspace[workspace] -= tokens
        if self.held_tokens_by_workspace[workspace] <= 0:
            del self.held_tokens_by_workspace[workspace]

    def sort_waiting(self, now_s: float) -> list[WaitingRequest[Capacity]]:
        """Return the waiting requests in the order in which to grant capacity."""
        tickets = [item.ticket for item in self.waiting_by_number.values()]
        ordered = sort_tickets(tickets, self.held_tokens_by_workspace, now_s)
        return [self.waiting_by_number[ticket.number] for ticket in ordered]

    def grant_capacity(self, now_s: float) -> None:
        """Grant free capacity to waiting requests, and end waits past their deadline.

        The futures of the latter get None.
        """
        if not self.waiting_by_number:
            return
        self.has_limited_servers = None
        # A callback may end another wait, whose request then leaves the queue.
        waiting_by_number = dict(self.waiting_by_number)
        # Fewest tokens for which no capacity was found, by search key. No capacity is
        # released meanwhile.
        failed_tokens_by_key: dict[Hashable, int] = {}

        def _grant(ticket: Ticket) -> bool:
            item = waiting_by_number[ticket.number]
            if item.granted.done() or item.is_held_back():
                return True
            search_key = item.find_search_key()
            if search_key is not None:
                failed_tokens = failed_tokens_by_key.get(search_key, math.inf)
                if ticket.tokens >= failed_tokens:
                    return False
            capacity = item.reserve_capacity()
            if capacity is not None and not item.granted.done():
                item.granted.set_result(capacity)
            if not item.granted.done() and search_key is not None:
                failed_tokens_by_key[search_key] = ticket.tokens
            return item.granted.done()

        for item in waiting_by_number.values():
            if now_s >= item.ticket.wait_deadline_s and not item.granted.done():
                item.granted.set_result(None)
        tickets = [item.ticket for item in waiting_by_number.values()]
        decide(tickets, _grant, self.held_tokens_by_workspace, now_s)


__all__ = [
    "DEFAULT_RETRY_DELAY_S",
    "MAX_RETRY_DELAY_S",
    "MAX_WAIT_OBJECTIVES",
    "MIN_RETRY_DELAY_S",
    "AdmissionQueue",
    "Ticket",
    "WaitingRequest",
]

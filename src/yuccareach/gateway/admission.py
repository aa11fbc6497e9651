"""Requests that wait for room, and those that are told at once to come back.

A burst fills the memory of all chains. A caller gives up on a stream without a first
event after a few objectives, so a request waits only if the room that frees up is
likely to reach it before that. Urgent routes go first. Among equals, requests that can
still be on time go before those that are late already, and then workspaces that hold
least, so that a large one cannot crowd out the others.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

# Callers wait for about four objectives; the rest is for the first event itself.
WAIT_OBJECTIVES = 3.0
# Room that was given lately tells how fast a queue moves.
RATE_WINDOW_S = 2.0
# At the start of a burst, what was given at once counts as given over this time.
LEAST_SPAN_S = 0.5
LEAST_RETRY_S = 0.2
# Told where nothing was given room lately, so that no pace is known: by then one shows.
UNKNOWN_RETRY_S = 1.0
MOST_RETRY_S = 6.0
# One that has waited for this part of its time is not overtaken by smaller requests.
PATIENT_PART = 0.5

Room = TypeVar("Room")


class Ticket(NamedTuple):
    """What the order of waiting requests depends on."""

    number: int
    workspace: str
    # 0 is the most urgent.
    priority: int
    tokens: int
    arrived_s: float
    objective_s: float

    @property
    def waits_until_s(self) -> float:
        """When waiting on is of no use to the caller."""
        return self.arrived_s + WAIT_OBJECTIVES * self.objective_s


class Waiting(NamedTuple, Generic[Room]):
    """A waiting request and how it learns of its room."""

    ticket: Ticket
    find_room: Callable[[], Room | None]
    granted: asyncio.Future[Room | None]


class AdmissionQueue(Generic[Room]):
    """The requests of one service that wait for room at this entry."""

    def __init__(self) -> None:
        self.waiting_by_number: dict[int, Waiting[Room]] = {}
        # Loop times and tokens of the requests that were given room lately.
        self.given: deque[tuple[float, int]] = deque()
        self.held_by_workspace: Counter[str] = Counter()

    def tokens_ahead(self, ticket: Ticket) -> int:
        """Return what waits with the same urgency or a higher one."""
        return sum(
            item.ticket.tokens
            for item in self.waiting_by_number.values()
            if item.ticket.priority <= ticket.priority
        )

    def expected_wait_s(self, ticket: Ticket, now_s: float) -> float | None:
        """Return how long a request would wait; None where nothing moves."""
        self._forget(now_s)
        given = sum(tokens for _, tokens in self.given)
        if not given:
            return None if self.waiting_by_number else 0.0
        span_s = max(LEAST_SPAN_S, now_s - self.given[0][0])
        return (self.tokens_ahead(ticket) + ticket.tokens) * span_s / given

    def should_wait(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether room is likely to come before the caller gives up."""
        wait_s = self.expected_wait_s(ticket, now_s)
        return wait_s is not None and now_s + wait_s < ticket.waits_until_s

    def retry_after_s(
        self, ticket: Ticket, now_s: float, closed_s: float = 0.0
    ) -> float:
        """Return when a refused request will find room, as far as can be told.

        Nothing has room for another closed_s.
        """
        self._forget(now_s)
        wait_s = self.expected_wait_s(ticket, now_s) if self.given else None
        if wait_s is None:
            wait_s = 0.0 if closed_s else UNKNOWN_RETRY_S
        return min(max(LEAST_RETRY_S, closed_s + wait_s), MOST_RETRY_S)

    def add(self, waiting: Waiting[Room]) -> None:
        """Let a request wait."""
        self.waiting_by_number[waiting.ticket.number] = waiting

    def remove(self, ticket: Ticket) -> None:
        """Stop waiting."""
        self.waiting_by_number.pop(ticket.number, None)

    def hold(self, workspace: str, tokens: int, now_s: float) -> None:
        """Count the room that a request is given."""
        self.held_by_workspace[workspace] += tokens
        self.given.append((now_s, tokens))
        self._forget(now_s)

    def move(self, workspace: str, tokens: int) -> None:
        """Count a request that goes on over other servers; the pace is the same."""
        self.held_by_workspace[workspace] += tokens

    def withdraw(self, tokens: int) -> None:
        """Do not count as given what a backend server then refused to run."""
        last = next((item for item in reversed(self.given) if item[1] == tokens), None)
        if last is not None:
            self.given.remove(last)

    def free(self, workspace: str, tokens: int) -> None:
        """Count the room that a request gives back."""
        self.held_by_workspace[workspace] -= tokens
        if self.held_by_workspace[workspace] <= 0:
            del self.held_by_workspace[workspace]

    def _forget(self, now_s: float) -> None:
        while self.given and now_s - self.given[0][0] > RATE_WINDOW_S:
            self.given.popleft()

    def order(self, now_s: float) -> list[Waiting[Room]]:
        """Return who is to have room, first come last in doubt."""

        def _rank(item: Waiting[Room]) -> tuple[int, bool, int, float]:
            ticket = item.ticket
            late = now_s > ticket.arrived_s + ticket.objective_s
            held = self.held_by_workspace[ticket.workspace]
            return (ticket.priority, late, held, ticket.arrived_s)

        return sorted(self.waiting_by_number.values(), key=_rank)

    def pump(self, now_s: float) -> None:
        """Give room to those who wait, and let those go who have waited in vain."""
        for item in self.waiting_by_number.values():
            if now_s >= item.ticket.waits_until_s and not item.granted.done():
                item.granted.set_result(None)
        for item in self.order(now_s):
            if item.granted.done():
                continue
            room = item.find_room()
            if room is not None:
                item.granted.set_result(room)
            elif self._patient_enough(item.ticket, now_s):
                break

    def _patient_enough(self, ticket: Ticket, now_s: float) -> bool:
        waited_s = now_s - ticket.arrived_s
        return waited_s > PATIENT_PART * (ticket.waits_until_s - ticket.arrived_s)


__all__ = ["AdmissionQueue", "Ticket", "Waiting"]

"""The decision on waiting requests: which start, which wait, and which are refused.

Requests that can still meet their objective go before late ones, to whose callers a
further delay costs little, and go by priority. Within one priority, those that return
as an earlier refusal told them go first, and then those with the least work. The work
counts for more in workspaces that hold many tokens, so that a large workspace cannot
crowd out the others. Where no work is given, the tokens that the workspace holds are
decisive.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from yuccareach.overload.tickets import RESUMED_PRIORITY, Ticket

# Places a ticket among the others, given the tokens that its workspace holds and the
# time. The lowest goes first.
Rank = Callable[[Ticket, int, float], Any]


# The work of a request counts twice in a workspace that holds so many tokens.
FAIRNESS_TOKENS = 3_000


class Decision(NamedTuple):
    """What is to be done with each request, by the numbers of their tickets."""

    # In the order in which they were started.
    started: tuple[int, ...]
    # Until when each request may wait.
    wait_until_s_by_number: dict[int, float]
    refused: tuple[int, ...]


def rank_by_urgency(
    ticket: Ticket, held_tokens: int, now_s: float
) -> tuple[bool, int, bool, bool, float, int, float]:
    """Return the rank of a ticket; equals go by their arrival, the earliest first.

    Resumed streams go before all others, late or not.
    """
    is_late = ticket.is_late(now_s)
    return (
        is_late and ticket.priority > RESUMED_PRIORITY,
        ticket.priority,
        not ticket.is_return,
        is_late,
        ticket.work * (1 + held_tokens / FAIRNESS_TOKENS),
        held_tokens,
        ticket.arrived_s,
    )


def sort_tickets(
    tickets: Iterable[Ticket],
    held_tokens_by_workspace: Mapping[str, int],
    now_s: float,
    rank: Rank = rank_by_urgency,
) -> list[Ticket]:
    """Return the tickets in the order in which to start their requests."""
    return sorted(
        tickets,
        key=lambda ticket: rank(
            ticket, held_tokens_by_workspace.get(ticket.workspace, 0), now_s
        ),
    )


def decide(
    tickets: Iterable[Ticket],
    start: Callable[[Ticket], bool],
    held_tokens_by_workspace: Mapping[str, int],
    now_s: float,
    rank: Rank = rank_by_urgency,
) -> Decision:
    """Start the requests that fit, in their order, and return what becomes of each.

    `start` reserves capacity for a request and returns False if there is none for it.
    Smaller or otherwise less demanding requests may start before one that does not fit,
    until that one has waited for MAX_OVERTAKING_FRACTION of its time. A request whose
    wait deadline has passed is refused.
    """
    ordered = sort_tickets(tickets, held_tokens_by_workspace, now_s, rank)
    refused = tuple(item.number for item in ordered if now_s >= item.wait_deadline_s)
    open_tickets = [item for item in ordered if now_s < item.wait_deadline_s]
    started: list[int] = []
    for ticket in open_tickets:
        if start(ticket):
            started.append(ticket.number)
        elif ticket.blocks_overtaking(now_s):
            break
    started_numbers = set(started)
    wait_until_s_by_number = {
        item.number: item.wait_deadline_s
        for item in open_tickets
        if item.number not in started_numbers
    }
    return Decision(tuple(started), wait_until_s_by_number, refused)


__all__ = ["Decision", "Rank", "decide", "rank_by_urgency", "sort_tickets"]

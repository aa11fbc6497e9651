"""Account of the memory that the connections of one process hold.

Each connection reports what it holds, in estimated bytes of memory. If all together
hold more than the budget, connections are shed until the rest fits.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# What one connection costs before it sends anything: its transport, its socket, its
# parser and its protocol (5 kB at a gateway and 8 kB with uvicorn on CPython 3.11, as
# tracemalloc counts it).
CONNECTION_COST_BYTES = 10_000
# One header line beside the bytes of its name and value: a tuple, an entry in a list
# and two bytes objects (100 to 170 bytes on CPython 3.11).
HEADER_COST_BYTES = 200
# One parsed request that waits for an earlier one, beside its headers and body.
REQUEST_COST_BYTES = 1_000
# A request whose connection holds no more than this is shed only if there is no larger
# one. It covers a request with 16 KiB of headers of usual length and a long prompt.
ORDINARY_BYTES = 64 << 10
# A request that is served is worth more than one that is not begun: it counts as this
# much smaller when the connection to shed is chosen.
SERVED_WEIGHT = 0.25


class Activity(IntEnum):
    """What a connection does; those with the lowest value make room for new ones."""

    # Connected, without any request so far.
    SILENT = 0
    # Between two requests.
    IDLE = 1
    # A part of a request has arrived; nothing of it has run.
    RECEIVING = 2
    # The caller has yet to read an answer that is complete.
    SENDING = 3
    SERVING = 4


class Holder:
    """One connection, and the memory that it holds."""

    def __init__(self, shed: Callable[[ShedReason], None], since_s: float) -> None:
        """Start with a silent connection.

        shed closes it and releases what it holds; it is no longer in the account then.
        """
        self.shed = shed
        self.held_bytes = 0
        self.activity = Activity.SILENT
        # When the activity began.
        self.since_s = since_s

    def set_activity(self, activity: Activity, now_s: float) -> None:
        """Record that the connection does something else from now on."""
        self.activity = activity
        self.since_s = now_s


class ShedReason(StrEnum):
    """Why a connection is shed."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


class BufferLimits(NamedTuple):
    """Limits of all connections of one process together."""

    # Memory for what clients send and for answers that they have not read.
    client_bytes: int
    # Memory for what backend servers send.
    response_bytes: int
    max_connections: int


class BufferAccount:
    """The memory that is held by the connections that clients have opened."""

    def __init__(self, limits: BufferLimits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.holders: set[Holder] = set()

    def open(self, holder: Holder) -> None:
        """Add a connection; if there are too many, shed one for it."""
        self.holders.add(holder)
        self.set_held(holder, CONNECTION_COST_BYTES)
        if len(self.holders) > self.limits.max_connections:
            self._shed(choose_replaced(self.holders, holder), ShedReason.CONNECTIONS)

    def set_held(self, holder: Holder, held_bytes: int) -> None:
        """Set what a connection holds; shed connections until all fit the budget.

        A connection that has been shed is not charged for its last bytes.
        """
        if holder not in self.holders:
            return
        self.held_bytes += held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        while self.held_bytes > self.limits.client_bytes and self.holders:
            self._shed(choose_largest(self.holders), ShedReason.MEMORY)

    def _shed(self, holder: Holder, reason: ShedReason) -> None:
        shed = holder.shed
        self.close(holder)
        shed(reason)

    def close(self, holder: Holder) -> None:
        """Remove a connection that is closed."""
        if holder in self.holders:
            self.holders.remove(holder)
            self.held_bytes -= holder.held_bytes
            # Otherwise the connection and its holder would refer to each other, and
            # their memory would wait for the garbage collector.
            holder.shed = _ignore


def _ignore(reason: ShedReason) -> None:
    """Do nothing for a connection that is closed."""


def choose_largest(holders: Iterable[Holder]) -> Holder:
    """Return the connection to shed when memory is exhausted.

    That is the largest one, where a served request counts for less, and the newest of
    equal ones. An ordinary request is chosen only if no connection holds more.
    """
    return max(holders, key=_rank_by_memory)


def _rank_by_memory(holder: Holder) -> tuple[bool, float, float]:
    weight = SERVED_WEIGHT if holder.activity is Activity.SERVING else 1.0
    is_large = holder.held_bytes > ORDINARY_BYTES
    return (is_large, weight * holder.held_bytes, holder.since_s)


def choose_replaced(holders: Iterable[Holder], newest: Holder) -> Holder:
    """Return the connection to close for a new one when there are too many.

    Silent connections go first, then idle ones, incomplete requests and unread answers,
    and of these the one that has been so for longest. If all others are served, the new
    one is closed.
    """
    others = (
        holder
        for holder in holders
        if holder is not newest and holder.activity is not Activity.SERVING
    )
    return min(
        others, key=lambda holder: (holder.activity, holder.since_s), default=newest
    )


def compute_header_cost(name: bytes, value: bytes) -> int:
    """Return the estimated memory of a parsed header line in bytes."""
    return HEADER_COST_BYTES + len(name) + len(value)


__all__ = [
    "CONNECTION_COST_BYTES",
    "HEADER_COST_BYTES",
    "ORDINARY_BYTES",
    "REQUEST_COST_BYTES",
    "Activity",
    "BufferAccount",
    "BufferLimits",
    "Holder",
    "ShedReason",
    "choose_largest",
    "choose_replaced",
    "compute_header_cost",
]

"""Whether the loss of a backend server counts against a request that made progress.

A request that crashes servers does so at its start, or always at the same event. So a
loss that follows new events counts only if an earlier attempt was lost at that event or
after it.
"""

from __future__ import annotations

from typing import NamedTuple

# Fewer new events are no progress: a request that crashes a later stage at each event
# may get one where that stage is back before its loss is noticed.
MIN_NEW_EVENTS = 2
MAX_POSITIONS = 20_000


class Progress(NamedTuple):
    """Events of a stream that its caller had when an attempt started, and has now."""

    first_event: int = 0
    last_event: int = 0
    # Events that its caller has got since.
    new_events: int = 0


class LostPosition(NamedTuple):
    """The last event before the loss of a server, and the request that it was under."""

    event: int
    request: str


class LostPositions:
    """Furthest lost position by the request's fingerprint, oldest change first."""

    def __init__(self) -> None:
        self.position_by_fingerprint: dict[bytes, LostPosition] = {}


def counts_as_loss(
    positions: LostPositions, fingerprint: bytes, request: str, progress: Progress
) -> bool:
    """Return whether a loss counts, and remember its position if there was progress.

    A resumed attempt with new events never counts: it went on after the position at
    which the one before it was lost.
    """
    if progress.new_events < MIN_NEW_EVENTS:
        return True
    earlier = positions.position_by_fingerprint.pop(fingerprint, None)
    was_lost_there = (
        earlier is not None
        and earlier.request != request
        and progress.last_event <= earlier.event
    )
    position = LostPosition(progress.last_event, request)
    if earlier is not None and earlier.event > position.event:
        position = earlier
    positions.position_by_fingerprint[fingerprint] = position
    while len(positions.position_by_fingerprint) > MAX_POSITIONS:
        del positions.position_by_fingerprint[
            next(iter(positions.position_by_fingerprint))
        ]
    return was_lost_there and not progress.first_event


__all__ = [
    "MAX_POSITIONS",
    "MIN_NEW_EVENTS",
    "LostPositions",
    "Progress",
    "counts_as_loss",
]

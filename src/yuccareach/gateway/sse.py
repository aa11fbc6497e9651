"""Splitting a stream of server-sent events into complete events."""

from __future__ import annotations

import itertools
import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")


# Bytes of an event's end that may precede the last received byte.
_MAX_PARTIAL_END_BYTES = 3


class EventSplitter:
    """Buffers bytes of a stream and returns them, unchanged, event by event."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are complete with these bytes."""
        searched_bytes = max(0, len(self.buffer) - _MAX_PARTIAL_END_BYTES)
        self.buffer += data
        ends = [
            match.end() for match in _EVENT_END.finditer(self.buffer, searched_bytes)
        ]
        events = [
            bytes(self.buffer[start:end])
            for start, end in itertools.pairwise((0, *ends))
        ]
        if ends:
            del self.buffer[: ends[-1]]
        return events

    def get_remainder(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return bytes(self.buffer)

    @property
    def buffered_bytes(self) -> int:
        """Number of buffered bytes."""
        return len(self.buffer)


def parse_event_id(event: bytes) -> int | None:
    """Return the numeric id of an event, or None."""
    match = _EVENT_ID.search(event)
    return int(match[1]) if match else None


__all__ = ["EventSplitter", "parse_event_id"]

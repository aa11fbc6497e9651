"""Splitting a stream of server-sent events into complete events."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")


class EventSplitter:
    """Buffers bytes of a stream and returns them, unchanged, event by event."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are complete with these bytes."""
        self.buffer += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self.buffer):
            events.append(self.buffer[start : match.end()])
            start = match.end()
        self.buffer = self.buffer[start:]
        return events

    def get_remainder(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return self.buffer


def parse_event_id(event: bytes) -> int | None:
    """Return the numeric id of an event, or None."""
    match = _EVENT_ID.search(event)
    return int(match[1]) if match else None


__all__ = ["EventSplitter", "parse_event_id"]

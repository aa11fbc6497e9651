"""Cutting a stream of server-sent events into whole events."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")


class EventSplitter:
    """Gathers bytes and gives them out by whole events, unchanged."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that these bytes complete."""
        self.buffer += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self.buffer):
            events.append(self.buffer[start : match.end()])
            start = match.end()
        self.buffer = self.buffer[start:]
        return events

    def get_remainder(self) -> bytes:
        """Return the bytes of an event that has no end yet."""
        return self.buffer


def parse_event_id(event: bytes) -> int | None:
    """Return the number that identifies an event, if it has one."""
    match = _EVENT_ID.search(event)
    return int(match[1]) if match else None


__all__ = ["EventSplitter", "parse_event_id"]

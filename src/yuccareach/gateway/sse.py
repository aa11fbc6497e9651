"""Splitting a stream of server-sent events into complete events."""

from __future__ import annotations

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
        if not self.buffer:
            # The usual case: whole events, which need not be copied first.
            events, end = _split(data, 0)
            self.buffer += data[end:]
            return events
        searched_bytes = max(0, len(self.buffer) - _MAX_PARTIAL_END_BYTES)
        self.buffer += data
        events, end = _split(self.buffer, searched_bytes)
        del self.buffer[:end]
        return events

    def get_remainder(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return bytes(self.buffer)

    @property
    def buffered_bytes(self) -> int:
        """Number of buffered bytes."""
        return len(self.buffer)


def _split(data: bytes | bytearray, searched_bytes: int) -> tuple[list[bytes], int]:
    """Return the complete events at the start of data, and the end of the last one.

    No event ends within the searched bytes.
    """
    events = []
    start = 0
    for match in _EVENT_END.finditer(data, searched_bytes):
        events.append(bytes(data[start : match.end()]))
        start = match.end()
    return events, start


def parse_event_id(event: bytes) -> int | None:
    """Return the numeric id of an event, or None."""
    match = _EVENT_ID.search(event)
    return int(match[1]) if match else None


__all__ = ["EventSplitter", "parse_event_id"]

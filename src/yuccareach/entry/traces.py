"""Logged events of recent requests, which callers can query afterwards."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from yuccareach.runtime.logs import Log

MAX_REQUESTS = 2_000
MAX_EVENTS_PER_REQUEST = 50


class TraceEvent(NamedTuple):
    """One logged event of a request; at_ms is in milliseconds since the Unix epoch."""

    at_ms: int
    event: str
    fields: dict[str, Any]


class Traces:
    """The first events of each of the latest requests, within fixed bounds."""

    def __init__(self) -> None:
        self.events_by_request_id: OrderedDict[str, list[TraceEvent]] = OrderedDict()

    def record(self, effect: Log, now_ms: int) -> None:
        """Record a log effect that belongs to a request.

        Beyond MAX_EVENTS_PER_REQUEST, further events are dropped; beyond MAX_REQUESTS,
        the oldest request is evicted.
        """
        request_id = effect.fields.get("request")
        if request_id is None:
            return
        events = self.events_by_request_id.setdefault(request_id, [])
        if len(events) < MAX_EVENTS_PER_REQUEST:
            fields = {
                name: str(value)
                for name, value in effect.fields.items()
                if name != "request"
            }
            events.append(TraceEvent(now_ms, effect.event, fields))
        if len(self.events_by_request_id) > MAX_REQUESTS:
            self.events_by_request_id.popitem(last=False)

    def find(self, request_id: str, workspace: str) -> list[TraceEvent]:
        """Return the events of a request, or none if it is of another workspace."""
        events = self.events_by_request_id.get(request_id, [])
        if any(event.fields.get("workspace") == workspace for event in events):
            return events
        return []


__all__ = ["TraceEvent", "Traces"]

"""What happened to recent requests, for explaining them afterwards."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from yuccareach.runtime.logs import Log

MAX_REQUESTS = 2_000
MAX_EVENTS_PER_REQUEST = 50


class TraceEvent(NamedTuple):
    """One logged event of a request; the time is since the epoch."""

    at_ms: int
    event: str
    fields: dict[str, Any]


class Traces:
    """The events of the requests seen last."""

    def __init__(self) -> None:
        self.events_by_request: OrderedDict[str, list[TraceEvent]] = OrderedDict()

    def note(self, effect: Log, now_ms: int) -> None:
        """Keep an event that belongs to a request."""
        request = effect.fields.get("request")
        if request is None:
            return
        events = self.events_by_request.setdefault(request, [])
        if len(events) < MAX_EVENTS_PER_REQUEST:
            fields = {
                name: str(value)
                for name, value in effect.fields.items()
                if name != "request"
            }
            events.append(TraceEvent(now_ms, effect.event, fields))
        if len(self.events_by_request) > MAX_REQUESTS:
            self.events_by_request.popitem(last=False)

    def find(self, request: str, workspace: str) -> list[TraceEvent]:
        """Return a request's events, if it was this workspace's own."""
        events = self.events_by_request.get(request, [])
        if any(event.fields.get("workspace") == workspace for event in events):
            return events
        return []


__all__ = ["TraceEvent", "Traces"]

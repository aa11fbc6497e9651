"""Exchanges of a request and a response, and the bounds on what they buffer."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.buffers.limits import DEFAULT_LIMITS
from yuccareach.gateway.dialect import Headers, ResponseMetadata

if TYPE_CHECKING:
    from collections.abc import Callable


class ResponseLimits(NamedTuple):
    """Limits on what a backend server may send in response to one request."""

    # All that precedes the body: the head, and interim responses before it.
    head_bytes: int
    # A body, or all events of a stream.
    body_bytes: int
    # One event of a stream.
    event_bytes: int


CALLER_RESPONSE_LIMITS = ResponseLimits(64 << 10, 16 << 20, 1 << 20)
# Reports and answers to orders.
REPORT_LIMITS = ResponseLimits(64 << 10, 1 << 20, 0)


class Ending(StrEnum):
    """How an exchange with a backend server ended."""

    COMPLETE = "complete"
    # No byte of the request was written.
    NOT_SENT = "not_sent"
    # The connection was lost or aborted after the request was written. Whether the
    # request has run is not known.
    BROKEN = "broken"
    # What was read is not an HTTP response.
    MALFORMED = "garbled"
    # The response exceeds its limits.
    TOO_LARGE = "too_large"
    # All open responses together exceed the limit, and this one was the largest.
    BUFFERS_FULL = "buffers_full"
    # No complete response arrived within the timeout.
    TIMED_OUT = "timed_out"


class ResponseHead(NamedTuple):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers
    metadata: ResponseMetadata

    @property
    def is_signed_success(self) -> bool:
        """Whether a backend server declares its body a valid answer."""
        return self.status == 200 and self.metadata.is_signed


class Exchange:
    """One request on one connection, and its response as it arrives."""

    def __init__(
        self,
        request_id: bytes,
        read_response: Callable[[int, Headers], ResponseMetadata],
        on_data: Callable[[bytes], int] | None = None,
        limits: ResponseLimits = CALLER_RESPONSE_LIMITS,
        buffers: ResponseBuffers | None = None,
    ) -> None:
        """Start an exchange.

        on_data receives the body of a signed success as it arrives, and returns how
        many bytes of an incomplete event are buffered. Other bodies are collected.
        """
        self.request_id = request_id
        self.read_response = read_response
        self.on_data = on_data
        self.limits = limits
        self.buffers = buffers
        loop = asyncio.get_running_loop()
        self.head: asyncio.Future[ResponseHead | None] = loop.create_future()
        self.ended: asyncio.Future[Ending] = loop.create_future()
        self.forwards_body = False
        self.body = bytearray()
        # What the head holds.
        self.head_cost_bytes = 0
        # Memory that the head and what is buffered of the body take now.
        self.buffered_bytes = 0
        # Ends the exchange and closes its connection.
        self.fail: Callable[[Ending], None] = self.set_ending

    def set_head(self, head: ResponseHead) -> None:
        """Set the status and the headers of the response."""
        if not self.head.done():
            self.head.set_result(head)
            self.forwards_body = self.on_data is not None and head.is_signed_success

    def receive_data(self, data: bytes) -> bool:
        """Take a part of the body; return False if it exceeds the limits."""
        if self.forwards_body and self.on_data is not None:
            buffered_bytes = self.on_data(data)
            max_bytes = self.limits.event_bytes
        else:
            self.body += data
            buffered_bytes = len(self.body)
            max_bytes = self.limits.body_bytes
        self._set_buffered(self.head_cost_bytes + buffered_bytes)
        return buffered_bytes <= max_bytes

    def set_head_cost(self, cost_bytes: int) -> None:
        """Set how much memory the head takes, as far as it has arrived."""
        added_bytes = cost_bytes - self.head_cost_bytes
        self.head_cost_bytes = cost_bytes
        self._set_buffered(self.buffered_bytes + added_bytes)

    def take_body(self) -> bytes:
        """Return the body, which the exchange no longer holds."""
        body, self.body = self.body, bytearray()
        return bytes(body)

    def _set_buffered(self, buffered_bytes: int) -> None:
        added_bytes = buffered_bytes - self.buffered_bytes
        self.buffered_bytes = buffered_bytes
        if self.buffers is not None and added_bytes:
            self.buffers.record(self, added_bytes)

    def release_buffers(self) -> None:
        """Count the body no longer as buffered."""
        self._set_buffered(0)

    def set_ending(self, ending: Ending) -> None:
        """Set how the exchange ended, unless that is already set.

        Without a complete response, its body is dropped.
        """
        if not self.ended.done():
            self.ended.set_result(ending)
            if ending is not Ending.COMPLETE:
                self.body = bytearray()
                self.release_buffers()
        if not self.head.done():
            self.head.set_result(None)


class ResponseBuffers:
    """The heads and bodies that one process buffers, whose total is bounded."""

    def __init__(self, max_bytes: int = DEFAULT_LIMITS.response_bytes) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        # Exchanges with buffered bytes.
        self.exchanges: set[Exchange] = set()

    def record(self, exchange: Exchange, added_bytes: int) -> None:
        """Record a change of what an exchange buffers.

        If the total exceeds the limit, the exchange that buffers most is failed, so
        that small responses arrive while others have no end.
        """
        self.total_bytes += added_bytes
        if exchange.buffered_bytes:
            self.exchanges.add(exchange)
        else:
            self.exchanges.discard(exchange)
        if self.total_bytes > self.max_bytes:
            largest = max(self.exchanges, key=lambda item: item.buffered_bytes)
            largest.fail(Ending.BUFFERS_FULL)


__all__ = [
    "CALLER_RESPONSE_LIMITS",
    "REPORT_LIMITS",
    "Ending",
    "Exchange",
    "ResponseBuffers",
    "ResponseHead",
    "ResponseLimits",
]

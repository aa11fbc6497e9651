"""Exchanges of a request and a response, and the bounds on what they buffer."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

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
    ) -> None:
        """Start an exchange.

        on_data receives the body of a signed success as it arrives, and returns how
        many bytes of an incomplete event are buffered. Other bodies are collected.
        """
        self.request_id = request_id
        self.read_response = read_response
        self.on_data = on_data
        self.limits = limits
        loop = asyncio.get_running_loop()
        self.head: asyncio.Future[ResponseHead | None] = loop.create_future()
        self.ended: asyncio.Future[Ending] = loop.create_future()
        self.body: list[bytes] = []
        self.body_bytes = 0

    def set_head(self, head: ResponseHead) -> None:
        """Set the status and the headers of the response."""
        if not self.head.done():
            self.head.set_result(head)

    def receive_data(self, data: bytes) -> bool:
        """Take a part of the body; return False if it exceeds the limits."""
        head = self.head.result()
        if self.on_data is not None and head is not None and head.is_signed_success:
            buffered_bytes = self.on_data(data)
            max_bytes = self.limits.event_bytes
        else:
            self.body.append(data)
            self.body_bytes += len(data)
            buffered_bytes = self.body_bytes
            max_bytes = self.limits.body_bytes
        return buffered_bytes <= max_bytes

    def set_ending(self, ending: Ending) -> None:
        """Set how the exchange ended, unless that is already set.

        Without a complete response, its body is dropped.
        """
        if not self.ended.done():
            self.ended.set_result(ending)
            if ending is not Ending.COMPLETE:
                self.body.clear()
        if not self.head.done():
            self.head.set_result(None)


__all__ = [
    "CALLER_RESPONSE_LIMITS",
    "REPORT_LIMITS",
    "Ending",
    "Exchange",
    "ResponseHead",
    "ResponseLimits",
]

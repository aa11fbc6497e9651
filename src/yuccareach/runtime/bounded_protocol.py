"""uvicorn's HTTP/1.1 protocol with bounds on what each connection holds.

uvicorn limits neither the size of a head nor that of trailers, parses all pipelined
requests that arrive together, and sets no time limit on an incomplete request. Its
limit on concurrency counts connections, but refuses new ones and keeps silent ones.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from yuccareach.buffers.account import (
    CONNECTION_COST_BYTES,
    Activity,
    BufferAccount,
    Holder,
    ShedReason,
    compute_header_cost,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

# Limit on a request's head, and on what precedes or follows each part of its body.
MAX_HEAD_BYTES = 64 << 10
# Data is parsed in blocks of this size, so that what one block adds to the memory held
# is small: at most 1,300 header lines, or 230 pipelined requests.
PARSE_BLOCK_BYTES = 4_096
# A started request beside its headers and body: uvicorn's scope and cycle, falcon's
# request and response, and a task (6 kB on CPython 3.11).
REQUEST_COST_BYTES = 6_000
# Headers are held by uvicorn and again, as text, by falcon; a body by the parts that
# falcon has read, and then as a whole.
PARSED_COPIES = 2
# Time for a whole request, from its first byte or the end of the request before.
RECEIVE_TIMEOUT_S = 60.0
RETRY_AFTER_S = 1


class BoundedProtocol(HttpToolsProtocol):  # type: ignore[misc]
    """One connection, charged to the account of the process for what it holds."""

    def __init__(
        self,
        account: BufferAccount,
        on_shed: Callable[[ShedReason, Holder], None],
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self.cycle: Any = None
        self.account = account
        self.on_shed = on_shed
        self.holder = Holder(self._shed, self.loop.time())
        # Bytes since the last end of a head, part of a body or end of a request.
        self.pending_bytes = 0
        self.is_in_head = False
        # What the headers of the head that is being received hold.
        self.head_cost_bytes = 0
        # What each request holds whose response is not complete, oldest first.
        self.cost_by_request: deque[int] = deque()
        # Bytes behind a pipelined request, which are parsed after it.
        self.unparsed = bytearray()
        self.receive_timer: asyncio.TimerHandle | None = None

    # Transport callbacks.

    def connection_made(self, transport: Any) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self._start_receive_timer()
        self.account.open(self.holder)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        super().connection_lost(exc)
        self._stop_receive_timer()
        self.account.close(self.holder)
        self._discard_unserved()
        if self._is_between_requests():
            self.cycle = None

    def pause_writing(self) -> None:
        """Let the response wait, since its client reads too slowly."""
        super().pause_writing()
        self._update_account()

    def resume_writing(self) -> None:
        """Continue a response, which its client has read in part."""
        super().resume_writing()
        self._update_account()

    def data_received(self, data: bytes) -> None:
        """Parse data up to a pipelined request, and reject what exceeds a limit."""
        if self.unparsed:
            # uvicorn resumes reading when the application waits for a disconnect.
            self.unparsed += data
            self.flow.pause_reading()
            self._update_account()
            return
        if self.receive_timer is None and self._is_between_requests():
            self._start_receive_timer()
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        for start in range(0, len(data), PARSE_BLOCK_BYTES):
            if self.transport.is_closing():
                return
            if self.pipeline:
                self.unparsed += data[start:]
                self.flow.pause_reading()
                break
            self._parse_block(data[start : start + PARSE_BLOCK_BYTES])
            self._update_account()
        self._update_account()

    def _parse_block(self, data: bytes) -> None:
        self.pending_bytes += len(data)
        super().data_received(data)
        if self.pending_bytes <= MAX_HEAD_BYTES or self.transport.is_closing():
            return
        self.logger.warning("HTTP head too large.")
        self.send_400_response("HTTP head too large.")

    def send_400_response(self, msg: str) -> None:
        """Reject a request; abort the connection if an earlier one is being served.

        Otherwise its caller would take the rejection for the earlier request's response
        or for a part of it.
        """
        is_own = self._is_between_requests() or (
            self.cycle.more_body
            and not self.cycle.response_started
            and len(self.cost_by_request) == 1
        )
        if is_own:
            super().send_400_response(msg)
        else:
            self.transport.abort()

    def _parse_rest(self) -> None:
        """Parse what was received behind requests that are answered now."""
        if self.unparsed and not self.transport.is_closing():
            data, self.unparsed = bytes(self.unparsed), bytearray()
            self._parse(data)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a head."""
        self.is_in_head = True
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; drop it if it is part of a trailer."""
        if self.is_in_head:
            self.head_cost_bytes += compute_header_cost(name, value)
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start a request."""
        self.pending_bytes = 0
        self.is_in_head = False
        cost_bytes = REQUEST_COST_BYTES + PARSED_COPIES * self.head_cost_bytes
        self.cost_by_request.append(cost_bytes)
        self.head_cost_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of a body."""
        self.pending_bytes = 0
        if not self._is_between_requests():
            self.cost_by_request[-1] += PARSED_COPIES * len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request."""
        self.pending_bytes = 0
        self._stop_receive_timer()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Continue with the next request."""
        if self.cost_by_request:
            self.cost_by_request.popleft()
        super().on_response_complete()
        if self.unparsed and not self.pipeline:
            self.loop.call_soon(self._parse_rest)
        self._update_account()

    # Timeouts.

    def _start_receive_timer(self) -> None:
        self.receive_timer = self.loop.call_later(
            RECEIVE_TIMEOUT_S, self._handle_receive_timeout
        )

    def _stop_receive_timer(self) -> None:
        if self.receive_timer is not None:
            self.receive_timer.cancel()
            self.receive_timer = None

    def _handle_receive_timeout(self) -> None:
        """Close a connection whose request is not complete in time."""
        self.receive_timer = None
        if self._is_between_requests() and self.pending_bytes:
            self._send_refusal(b"408 Request Timeout", b"")
        else:
            self.transport.abort()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, whether or not its client reads the response."""
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        super().timeout_keep_alive_handler()

    # Accounting.

    def _is_between_requests(self) -> bool:
        """Return whether no request is being served."""
        return self.cycle is None or self.cycle.response_complete

    def compute_held_bytes(self) -> int:
        """Return the estimated memory that the connection holds."""
        return (
            CONNECTION_COST_BYTES
            + self.head_cost_bytes
            + sum(self.cost_by_request)
            + len(self.unparsed) * 9 // 8
            + self.transport.get_write_buffer_size()
        )

    def _update_account(self) -> None:
        activity = self._find_activity()
        if activity is not self.holder.activity:
            self.holder.set_activity(activity, self.loop.time())
        self.account.set_held(self.holder, self.compute_held_bytes())

    def _find_activity(self) -> Activity:
        if not self._is_between_requests():
            is_whole = not self.cycle.more_body
            return Activity.SERVING if is_whole else Activity.RECEIVING
        if self.pending_bytes:
            return Activity.RECEIVING
        if self.transport.get_write_buffer_size():
            return Activity.SENDING
        return Activity.SILENT if self.cycle is None else Activity.IDLE

    def _shed(self, reason: ShedReason) -> None:
        """Close the connection; refuse a request whose head is not complete."""
        self.on_shed(reason, self.holder)
        is_unread = self.transport.get_write_buffer_size() > 0
        may_refuse = self._is_between_requests() and not is_unread
        self._discard_unserved()
        if may_refuse and self.pending_bytes:
            self._send_refusal(
                b"503 Service Unavailable", b"retry-after: %d\r\n" % RETRY_AFTER_S
            )
        else:
            self.transport.abort()

    def _discard_unserved(self) -> None:
        """Release what was received of requests that are not served yet."""
        self.unparsed.clear()
        if self.pipeline:
            # A request refers to this protocol until it is served, so that the memory
            # of both would wait for the garbage collector.
            self.pipeline.clear()
            self.cycle = None
        if self.is_in_head:
            self.headers.clear()

    def _send_refusal(self, status: bytes, headers: bytes) -> None:
        """Refuse a request of which nothing has run, and close."""
        head = b"HTTP/1.1 %b\r\n%bcontent-length: 0\r\nconnection: close\r\n\r\n"
        self.transport.write(head % (status, headers))
        self.transport.close()


__all__ = ["MAX_HEAD_BYTES", "BoundedProtocol"]

"""Answers of stand-in runners that never end, or that are no valid HTTP."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from aiohttp import web

BLOCK_BYTES = 64 << 10
# An endless answer stops after this many bytes, with its connection left open, so that
# a caller without a bound does not exhaust the memory.
MAX_SENT_BYTES = 64 << 20
LARGE_BODY_BYTES = 20_000_000
# Bytes that a transport may buffer before the stand-in waits for its peer.
MAX_UNSENT_BYTES = 1 << 20
UNSENT_CHECK_INTERVAL_S = 0.001


class RawAnswer(StrEnum):
    """What a runner sends as its answer."""

    # Without an end: header lines, one header value, the reason phrase, ...
    HEAD = "head"
    HEADER_VALUE = "header_value"
    REASON = "reason"
    # ... interim answers (1xx), answers to another request, ...
    INTERIM = "interim"
    LATE_ANSWERS = "late_answers"
    # ... the body of an answer without a signature, of a signed one, of a failure, ...
    BODY = "body"
    SIGNED_BODY = "signed_body"
    UNFRAMED_BODY = "unframed_body"
    FAILURE = "failure"
    # ... parts of a chunked body that are not its content, an event, a refusal.
    CHUNK_EXTENSION = "chunk_extension"
    TRAILER = "trailer"
    EVENT = "event"
    REFUSAL = "refusal"
    # ... header lines, trailer lines and chunks that are as short as possible.
    SHORT_HEADERS = "short_headers"
    SHORT_TRAILERS = "short_trailers"
    SMALL_CHUNKS = "small_chunks"
    # With an end.
    NO_HTTP = "no_http"
    LARGE_WITH_LENGTH = "large_with_length"
    # Neither a length nor chunks: ended by the connection, reset, or ended by the
    # connection within an event.
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    UNFRAMED_CUT_EVENT = "unframed_cut_event"


class SentAnswer:
    """What a caller took of one answer."""

    def __init__(self, kind: RawAnswer) -> None:
        self.kind = kind
        self.sent_bytes = 0
        # How long the answer took until its connection was closed; None until then.
        self.duration_s: float | None = None


class _Parts(NamedTuple):
    """The bytes of an answer: the start, then a block that is repeated."""

    start: bytes
    # Empty if the answer ends.
    block: bytes = b""
    resets: bool = False


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def build_events(count: int) -> bytes:
    """Return the events that the answers of streams begin with."""
    return b"".join(
        b"id: %d\ndata: token-%d ok\n\n" % (number, number)
        for number in range(1, count + 1)
    )


UNFRAMED_EVENTS = 3


def _build_parts(kind: RawAnswer, echo: bytes, signed: bytes) -> _Parts:
    """Return an answer, given the header lines that name and sign it."""
    ok = b"HTTP/1.1 200 OK\r\n"
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    filler = b"x" * BLOCK_BYTES
    chunk = _encode_chunk(filler)
    late_head = ok + b"Yuccareach-Request-Id: other\r\nContent-Length: %d\r\n\r\n"
    line = b"X-Filler: %b\r\n" % (b"x" * 1000)
    match kind:
        case RawAnswer.HEAD:
            return _Parts(ok + signed, line * 64)
        case RawAnswer.HEADER_VALUE:
            return _Parts(ok + signed + b"X-Filler: ", filler)
        case RawAnswer.REASON:
            return _Parts(b"HTTP/1.1 200 ", filler)
        case RawAnswer.INTERIM:
            return _Parts(b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 1000)
        case RawAnswer.LATE_ANSWERS:
            return _Parts(b"", late_head % BLOCK_BYTES + filler)
        case RawAnswer.BODY:
            return _Parts(ok + echo + chunked, chunk)
        case RawAnswer.SIGNED_BODY:
            return _Parts(ok + signed + chunked, chunk)
        case RawAnswer.UNFRAMED_BODY:
            return _Parts(ok + signed + b"\r\n", filler)
        case RawAnswer.FAILURE:
            return _Parts(b"HTTP/1.1 500 Error\r\n" + signed + chunked, chunk)
        case RawAnswer.REFUSAL:
            head = b"HTTP/1.1 503 Full\r\n" + echo + b"Yuccareach-Not-Executed: 1\r\n"
            return _Parts(head + chunked, chunk)
        case RawAnswer.CHUNK_EXTENSION:
            return _Parts(ok + signed + chunked + b"2;x=", filler)
        case RawAnswer.SHORT_HEADERS:
            return _Parts(ok + signed, b"a:\r\n" * (BLOCK_BYTES // 4))
        case RawAnswer.SHORT_TRAILERS:
            return _Parts(ok + signed + chunked + b"0\r\n", b"a:\r\n" * 1_000)
        case RawAnswer.SMALL_CHUNKS:
            return _Parts(ok + signed + chunked, b"2\r\nxx\r\n" * 1_000)
        case RawAnswer.TRAILER:
            return _Parts(ok + signed + chunked + b"2\r\nok\r\n0\r\n", line * 64)
        case RawAnswer.EVENT:
            events = _encode_chunk(build_events(1) + b"id: 2\ndata: ")
            return _Parts(ok + signed + chunked + events, chunk)
        case RawAnswer.NO_HTTP:
            return _Parts(b"\x00\x01 no answer\r\n\r\n")
        case RawAnswer.LARGE_WITH_LENGTH:
            length = b"Content-Length: %d\r\n\r\n" % LARGE_BODY_BYTES
            return _Parts(ok + signed + length + b"x" * LARGE_BODY_BYTES)
        case RawAnswer.UNFRAMED:
            return _Parts(ok + signed + b"\r\n" + build_events(UNFRAMED_EVENTS))
        case RawAnswer.UNFRAMED_RESET:
            body = build_events(UNFRAMED_EVENTS)
            return _Parts(ok + signed + b"\r\n" + body, resets=True)
        case RawAnswer.UNFRAMED_CUT_EVENT:
            body = build_events(UNFRAMED_EVENTS) + b"id: 4\ndata: tok"
            return _Parts(ok + signed + b"\r\n" + body)


async def send_raw_answer(
    request: web.Request, kind: RawAnswer, runner: str, log: list[SentAnswer]
) -> None:
    """Send a raw answer, and close or reset the connection at its end."""
    transport = request.transport
    if transport is None:
        return
    loop = asyncio.get_running_loop()
    request_id = request.headers.get("Yuccareach-Request-Id", "").encode()
    echo = b"Yuccareach-Request-Id: %b\r\n" % request_id if request_id else b""
    signature = b"%b.%b" % (runner.encode(), request_id)
    signed = echo + b"Yuccareach-Runner-Signature: %b\r\n" % signature
    parts = _build_parts(kind, echo, signed)
    sent = SentAnswer(kind)
    log.append(sent)
    started_s = loop.time()
    unwritten = parts.start
    while not transport.is_closing() and (unwritten or parts.block):
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            await asyncio.sleep(UNSENT_CHECK_INTERVAL_S)
            continue
        data, unwritten = unwritten[:BLOCK_BYTES], unwritten[BLOCK_BYTES:]
        if sent.sent_bytes < MAX_SENT_BYTES:
            data = data or parts.block
            transport.write(data)
            sent.sent_bytes += len(data)
        await asyncio.sleep(0 if data else UNSENT_CHECK_INTERVAL_S)
    sent.sent_bytes -= transport.get_write_buffer_size()
    sent.duration_s = loop.time() - started_s
    if parts.resets:
        # The peer reads the start before the reset.
        await asyncio.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport.abort()
    else:
        transport.close()


__all__ = [
    "LARGE_BODY_BYTES",
    "RawAnswer",
    "SentAnswer",
    "UNFRAMED_EVENTS",
    "build_events",
    "send_raw_answer",
]

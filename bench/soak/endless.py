"""Answers of a backend server that never end."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65_536
# Slow enough that the loop, which serves all other stand-ins too, stays responsive.
CHUNK_INTERVAL_S = 0.008


class EndlessKind(StrEnum):
    """The part of an answer that has no end."""

    HEAD = "head"
    HEADER_VALUE = "header_value"
    BODY = "body"
    SIGNED_BODY = "signed_body"
    FAILURE = "failure"
    EVENT = "event"
    INTERIM = "interim"
    REPORT = "report"


_CHUNKED = "Transfer-Encoding: chunked\r\n"
_STATUS_LINES = {
    EndlessKind.FAILURE: "HTTP/1.1 500 Internal Server Error\r\n",
    EndlessKind.INTERIM: "",
}


def build_head(kind: EndlessKind, signature: str, request_id: str) -> bytes:
    """Return what comes before the part that does not end."""
    head = _STATUS_LINES.get(kind, "HTTP/1.1 200 OK\r\n")
    if kind is EndlessKind.INTERIM:
        return b""
    head += f"Yuccareach-Request-Id: {request_id}\r\n"
    if kind not in (EndlessKind.BODY, EndlessKind.REPORT):
        head += f"Yuccareach-Runner-Signature: {signature}.{request_id}\r\n"
    if kind is EndlessKind.HEAD:
        return head.encode()
    if kind is EndlessKind.HEADER_VALUE:
        return f"{head}Padding: ".encode()
    if kind is EndlessKind.EVENT:
        head += "Content-Type: text/event-stream\r\n"
    return f"{head}{_CHUNKED}\r\n".encode()


def build_piece(kind: EndlessKind) -> bytes:
    """Return the bytes that are sent again and again."""
    if kind is EndlessKind.HEAD:
        return b"Padding: 0123456789abcdef\r\n" * (CHUNK_BYTES // 27)
    if kind is EndlessKind.HEADER_VALUE:
        return b"x" * CHUNK_BYTES
    if kind is EndlessKind.INTERIM:
        return b"HTTP/1.1 103 Early Hints\r\n\r\n" * (CHUNK_BYTES // 28)
    return f"{CHUNK_BYTES:x}\r\n".encode() + b"x" * CHUNK_BYTES + b"\r\n"


async def send_endless(
    request: web.Request, kind: EndlessKind, name: str, count: Callable[[int], None]
) -> web.StreamResponse:
    """Send an answer until its reader closes the connection, and count its bytes."""
    transport = request.transport
    request_id = request.headers.get("Yuccareach-Request-Id", "")
    data = build_head(kind, name, request_id)
    piece = build_piece(kind)
    while transport is not None and not transport.is_closing():
        # Bytes that the reader does not take stay here and are not counted.
        if transport.get_write_buffer_size() <= CHUNK_BYTES:
            transport.write(data)
            count(len(data))
            data = piece
        await asyncio.sleep(CHUNK_INTERVAL_S)
    return web.Response()


__all__ = ["EndlessKind", "send_endless"]

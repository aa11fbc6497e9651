"""Requests without end to the HTTP server of a process."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import falcon.asgi

from yuccareach.runtime.http import HttpServer

BLOCK = b"x" * (64 << 10)
MAX_HEAD_BYTES = 64 << 10
# An endless request of a test stops here.
MAX_SENT_BYTES = 64 << 20
# What the sockets between a client and the server may hold.
SOCKET_BYTES = 8 << 20
TIMEOUT_S = 5
START = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"


class _Echo:
    async def on_post(self, request: Any, response: Any) -> None:
        response.data = await request.stream.read()


class EndlessRequestTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        app = falcon.asgi.App()
        app.add_route("/", _Echo())
        self.server = HttpServer(app, "127.0.0.1", 0)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def send(self, start: bytes, block: bytes) -> int:
        """Send an endless request until the server closes; return the bytes sent.

        Raises TimeoutError if the connection stays open.
        """
        host, _, port = self.server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(start)
        sent_bytes = 0
        closed = asyncio.create_task(reader.read())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while not closed.done() and sent_bytes < MAX_SENT_BYTES:
                    writer.write(block)
                    sent_bytes += len(block)
                    await writer.drain()
                    # Lets the server read before more is sent.
                    await asyncio.sleep(0)
                await closed
        except ConnectionError:
            pass
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            writer.close()
        return sent_bytes

    async def test_request_without_progress_is_closed_early(self) -> None:
        for name, start, block in (
            ("target", b"POST /", BLOCK),
            ("header lines", START, b"A: b\r\n" * 10_000),
            ("header value", START + b"A: ", BLOCK),
            ("chunk extension", CHUNKED + b"2;x=", BLOCK),
            ("trailer", CHUNKED + b"0\r\n", b"A: b\r\n" * 10_000),
        ):
            with self.subTest(name):
                sent_bytes = await self.send(start, block)
                self.assertLess(sent_bytes, MAX_HEAD_BYTES + SOCKET_BYTES)

    async def test_large_body_after_a_large_head_is_read(self) -> None:
        host, _, port = self.server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = BLOCK * 64
        value = b"x" * (MAX_HEAD_BYTES - 200)
        head = START + b"A: %b\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % (value, len(body)) + body)
        async with asyncio.timeout(TIMEOUT_S):
            answer = await reader.read()
        writer.close()
        self.assertTrue(answer.endswith(b"\r\n\r\n" + body), answer[:200])

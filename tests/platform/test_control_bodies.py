"""Heartbeats and departures that are too large or never end."""

from __future__ import annotations

import asyncio

from tests.platform.deployment import DeploymentTestCase

BLOCK = b"x" * (64 << 10)
CHUNK = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)
MAX_BODY_BYTES = 1 << 20
# An endless body stops here.
MAX_SENT_BYTES = 64 << 20
# What the sockets between a runner and control may hold.
SOCKET_BYTES = 8 << 20
TIMEOUT_S = 5


class EndlessBodyTests(DeploymentTestCase):
    async def post(self, path: str, headers: bytes, block: bytes) -> tuple[bytes, int]:
        """Send an endless request; return the status line and the bytes it took."""
        host, _, port = self.control_address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sent_bytes = 0
        answer = asyncio.create_task(reader.readline())
        try:
            head = b"POST %b HTTP/1.1\r\nHost: h\r\n%b" % (path.encode(), headers)
            writer.write(head)
            async with asyncio.timeout(TIMEOUT_S):
                while not answer.done() and sent_bytes < MAX_SENT_BYTES:
                    writer.write(block)
                    sent_bytes += len(block)
                    await writer.drain()
                    # Lets control read before more is sent.
                    await asyncio.sleep(0)
                return await answer, sent_bytes
        except (ConnectionError, TimeoutError) as error:
            return type(error).__name__.encode(), sent_bytes
        finally:
            answer.cancel()
            writer.close()

    async def test_endless_body_of_a_runner_is_refused(self) -> None:
        for path in ("/-/runners/i-1/heartbeat", "/-/runners/i-1/deregister"):
            with self.subTest(path):
                status_line, sent_bytes = await self.post(
                    path, b"Transfer-Encoding: chunked\r\n\r\n", CHUNK
                )
                self.assertIn(b" 413 ", status_line)
                self.assertLess(sent_bytes, MAX_BODY_BYTES + SOCKET_BYTES)

    async def test_large_body_of_a_runner_is_refused(self) -> None:
        headers = b"Content-Length: %d\r\n\r\n" % (16 << 20)
        status_line, sent_bytes = await self.post(
            "/-/runners/i-1/heartbeat", headers, BLOCK
        )
        self.assertIn(b" 413 ", status_line)
        self.assertLess(sent_bytes, MAX_BODY_BYTES + SOCKET_BYTES)

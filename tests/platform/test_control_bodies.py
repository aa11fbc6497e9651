"""Heartbeats and departures that are too large or never end."""

from __future__ import annotations

import asyncio

from tests.platform.deployment import DeploymentTestCase
from yuccareach.runtime.logs import logger

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
        """Send an endless request until control closes its connection.

        Return the answer, as far as the reset of the connection left it, and the bytes
        sent. Raises TimeoutError if the connection stays open.
        """
        host, _, port = self.control_address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sent_bytes = 0
        received = b""
        answer = asyncio.create_task(reader.read())
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
                received = await answer
        except ConnectionError:
            pass
        finally:
            answer.cancel()
            await asyncio.gather(answer, return_exceptions=True)
            writer.close()
        return received, sent_bytes

    async def check_refused(self, path: str, headers: bytes, block: bytes) -> None:
        with self.assertLogs(logger("platform"), "WARNING") as logs:
            received, sent_bytes = await self.post(path, headers, block)
        events = [getattr(record, "event", record.msg) for record in logs.records]
        self.assertEqual(events, ["announcement_too_large"])
        # A reset may overtake the answer.
        if received:
            self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received)
        self.assertLess(sent_bytes, MAX_BODY_BYTES + SOCKET_BYTES)

    async def test_endless_body_of_a_runner_is_refused(self) -> None:
        for path in ("/-/runners/i-1/heartbeat", "/-/runners/i-1/deregister"):
            with self.subTest(path):
                headers = b"Transfer-Encoding: chunked\r\n\r\n"
                await self.check_refused(path, headers, CHUNK)

    async def test_large_body_of_a_runner_is_refused(self) -> None:
        headers = b"Content-Length: %d\r\n\r\n" % (16 << 20)
        await self.check_refused("/-/runners/i-1/heartbeat", headers, BLOCK)

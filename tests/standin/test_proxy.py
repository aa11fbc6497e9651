"""Tests of the proxy that injects network faults."""

from __future__ import annotations

import asyncio
import unittest

from yuccareach.standin.proxy import (
    Faults,
    InvalidFault,
    Phase,
    ProxyProcess,
    parse_faults,
    parse_script,
)


class ParseTests(unittest.TestCase):
    def test_unknown_and_mistyped_faults_are_rejected(self) -> None:
        for raw in ({"cutt": True}, {"cut": 1}, {"delay_ms": -1}, {"delay_ms": "5"}):
            with self.subTest(raw=raw), self.assertRaises(InvalidFault):
                parse_faults(raw)

    def test_phases_of_a_script_are_sorted_by_time(self) -> None:
        raw = [{"at_ms": 20}, {"at_ms": 10, "faults": {"cut": True}}]
        expected = [Phase(10, Faults(cut=True)), Phase(20, Faults())]
        self.assertEqual(parse_script(raw), expected)


class ProxyProcessTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        async def _echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        self.server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        target = "127.0.0.1:{}".format(self.server.sockets[0].getsockname()[1])
        self.proxy = ProxyProcess(target, "127.0.0.1", 0, 0, [], 1)
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)

    async def echo(self, text: bytes) -> bytes:
        """Send bytes through the proxy; return the echo, or no bytes without one."""
        host, _, port = self.proxy.address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(text)
            return await asyncio.wait_for(reader.read(100), 0.3)
        except (OSError, TimeoutError):
            return b""

    async def test_forwards_bytes_and_applies_each_fault(self) -> None:
        self.assertEqual(await self.echo(b"a"), b"a")
        for fault in ("cut", "drop_in", "drop_out", "half_open"):
            with self.subTest(fault=fault):
                self.proxy.set_faults(Faults(**{fault: True}))
                self.assertEqual(await self.echo(b"b"), b"")
                self.proxy.set_faults(Faults())
                self.assertEqual(await self.echo(b"c"), b"c")

"""Tests of how the client finds the control leader."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import unittest
from pathlib import Path

from yuccareach.control.client import ControlClient
from yuccareach.control.errors import ControlUnavailable
from yuccareach.control.options import ControlOptions
from yuccareach.control.run import ControlProcess
from yuccareach.proto import control_pb2 as cpb


class SubmitTests(unittest.IsolatedAsyncioTestCase):
    async def test_unresponsive_first_address_does_not_fail_every_submit(self) -> None:
        # Each submit with a short timeout started at the same disconnected address and
        # spent its whole timeout there, so none reached the leader until that address
        # was connected again.
        async def _never_reply(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(asyncio.CancelledError):
                await reader.read()
            writer.close()

        unresponsive = await asyncio.start_server(_never_reply, "127.0.0.1", 0)
        self.addCleanup(unresponsive.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        options = ControlOptions("c", "z", Path(folder.name) / "d", bootstrap=True)
        process = ControlProcess(options)
        await process.start()
        self.addAsyncCleanup(process.stop)
        first = "127.0.0.1:{}".format(unresponsive.sockets[0].getsockname()[1])
        client = ControlClient(
            (first, process.address),
            "i",
            "z",
            lambda _: None,
            lambda: 0,
            watch_members=False,
        )
        self.addAsyncCleanup(client.close)
        command = cpb.Command(
            lease=cpb.LeaseGrant(resource="r", holder="h", duration_ms=1)
        )
        with self.assertRaises(ControlUnavailable):
            await client.submit(command, 300)
        async with asyncio.timeout(20):
            while True:
                try:
                    answer = await client.submit(command, 300)
                    break
                except ControlUnavailable:
                    continue
        self.assertTrue(answer.lease.granted)

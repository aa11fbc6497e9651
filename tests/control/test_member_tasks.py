"""Tests of the relays of members between control instances."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from yuccareach.control.member_tasks import RELAYS_PER_FULL_RELAY
from yuccareach.control.options import ControlOptions
from yuccareach.control.run import ControlProcess
from yuccareach.proto import control_pb2 as cpb


class RelayTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        options = ControlOptions(
            "c1", "z", Path(folder.name), bootstrap=True, member_warm_up_ms=60_000
        )
        self.process = ControlProcess(options)
        await self.process.start()
        self.addAsyncCleanup(self.process.stop)

    async def collect_relays(self, count: int) -> list[dict[str, Any]]:
        """Return the content of the next relays without waiting for their interval."""
        relays: list[dict[str, Any]] = []
        with mock.patch.object(
            self.process.peers, "broadcast", lambda **content: relays.append(content)
        ):
            async with asyncio.timeout(10):
                while len(relays) < count:
                    self.process.relay_due.set()
                    await asyncio.sleep(0)
        return relays

    async def test_instance_sends_no_full_relay_during_its_warm_up(self) -> None:
        # The empty full relay of a restarted leader removed all members that it had
        # relayed to the other instances before.
        relays = await self.collect_relays(2 * RELAYS_PER_FULL_RELAY)
        self.assertEqual({relay["heard_all"] for relay in relays}, {False})

    async def test_instance_sends_full_relays_after_its_warm_up(self) -> None:
        self.process.members.started_ms -= 60_001
        relays = await self.collect_relays(2 * RELAYS_PER_FULL_RELAY)
        self.assertIn(True, {relay["heard_all"] for relay in relays})

    async def test_departure_is_relayed_at_once_and_only_once(self) -> None:
        member = cpb.Member(backend_server="a", started_ms=5, sequence=1, address="x")
        self.process.record_single_heartbeat(member)
        self.process.deregister("a", 5)
        self.assertTrue(self.process.relay_due.is_set())
        relays = await self.collect_relays(3)
        relayed_names = [
            dismissal.backend_server
            for relay in relays
            for dismissal in relay["dismissed"]
        ]
        self.assertEqual(relayed_names, ["a"])

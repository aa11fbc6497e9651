"""What control instances tell each other of members."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from yuccareach.control.options import ControlOptions
from yuccareach.control.run import ControlProcess
from yuccareach.control.upkeep import RELAYS_PER_FULL
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

    async def relayed(self, count: int) -> list[dict[str, Any]]:
        """Return what the next relays say, without waiting for their interval."""
        relays: list[dict[str, Any]] = []
        with mock.patch.object(
            self.process.peers, "relay", lambda **content: relays.append(content)
        ):
            async with asyncio.timeout(10):
                while len(relays) < count:
                    self.process.relay_due.set()
                    await asyncio.sleep(0)
        return relays

    async def test_restarted_instance_does_not_claim_to_know_every_member(self) -> None:
        # Found on the bench: the empty list of a restarted leader took out all the
        # members that the others had heard of through it.
        relays = await self.relayed(2 * RELAYS_PER_FULL)
        self.assertEqual({relay["heard_all"] for relay in relays}, {False})

    async def test_instance_that_has_heard_long_enough_tells_all(self) -> None:
        self.process.members.started_ms -= 60_001
        relays = await self.relayed(2 * RELAYS_PER_FULL)
        self.assertIn(True, {relay["heard_all"] for relay in relays})

    async def test_departure_is_passed_on_at_once_and_once(self) -> None:
        member = cpb.Member(backend_server="a", started_ms=5, sequence=1, address="x")
        self.process.record_single_heartbeat(member)
        self.process.deregister("a", 5)
        self.assertTrue(self.process.relay_due.is_set())
        relays = await self.relayed(3)
        told = [gone.backend_server for relay in relays for gone in relay["dismissed"]]
        self.assertEqual(told, ["a"])

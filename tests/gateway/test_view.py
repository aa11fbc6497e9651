"""Polling the control leader for views."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from yuccareach.gateway import view
from yuccareach.gateway.view import RETRY_DELAY_S, ViewPoller
from yuccareach.proto import control_pb2 as cpb


class RedirectionTests(unittest.IsolatedAsyncioTestCase):
    """Control instances that do not lead and redirect to the leader that they name."""

    def setUp(self) -> None:
        gateway: Any = mock.Mock(suspect_found=asyncio.Event())
        self.poller = ViewPoller(gateway, ["a", "b"], mock.Mock())
        self.polled_addresses: list[str] = []
        self.delays_s: list[float] = []

    async def run_polls(
        self, leader_by_address: dict[str, str], poll_count: int
    ) -> None:
        """Run the poller for poll_count polls; record its delays without waiting."""

        def _get_stub(address: str) -> Any:
            async def _poll(request: Any, timeout: float) -> cpb.View:
                if len(self.polled_addresses) == poll_count:
                    raise asyncio.CancelledError
                self.polled_addresses.append(address)
                leader = leader_by_address[address]
                return cpb.View(not_leader=True, leader_address=leader)

            return mock.Mock(Poll=_poll)

        async def _record_delay(seconds: float) -> None:
            self.delays_s.append(seconds)

        with (
            mock.patch.object(self.poller, "_get_stub", _get_stub),
            mock.patch.object(self.poller, "_build_request"),
            mock.patch.object(view.asyncio, "sleep", _record_delay),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.poller.run()

    async def test_named_leader_is_polled_without_delay(self) -> None:
        await self.run_polls({"a": "b", "b": ""}, 2)
        self.assertEqual(self.polled_addresses, ["a", "b"])
        self.assertEqual(self.delays_s, [RETRY_DELAY_S])

    async def test_instances_that_name_each_other_are_polled_with_delays(self) -> None:
        # During an election, each of two instances may name the other as the leader.
        await self.run_polls({"a": "b", "b": "a"}, 10)
        self.assertEqual(len(self.delays_s), 9)

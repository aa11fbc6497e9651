"""Following the control leader."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from yuccareach.gateway import view
from yuccareach.gateway.view import RETRY_S, ViewPoller
from yuccareach.proto import control_pb2 as cpb


class RedirectionTests(unittest.IsolatedAsyncioTestCase):
    """Instances that do not lead, each with the leader that it names."""

    def setUp(self) -> None:
        gateway: Any = mock.Mock()
        self.poller = ViewPoller(gateway, ["a", "b"], mock.Mock())
        self.asked: list[str] = []
        self.pauses_s: list[float] = []

    async def follow(self, leader_by_address: dict[str, str], polls: int) -> None:
        """Let the follower poll so often, without waiting where it pauses."""

        def _stub(address: str) -> Any:
            async def _poll(request: Any, timeout: float) -> cpb.View:
                if len(self.asked) == polls:
                    raise asyncio.CancelledError
                self.asked.append(address)
                leader = leader_by_address[address]
                return cpb.View(not_leader=True, leader_address=leader)

            return mock.Mock(Poll=_poll)

        async def _pause(seconds: float) -> None:
            self.pauses_s.append(seconds)

        with (
            mock.patch.object(self.poller, "_stub", _stub),
            mock.patch.object(self.poller, "_request"),
            mock.patch.object(view.asyncio, "sleep", _pause),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.poller.run()

    async def test_leader_that_is_named_is_asked_at_once(self) -> None:
        await self.follow({"a": "b", "b": ""}, 2)
        self.assertEqual(self.asked, ["a", "b"])
        self.assertEqual(self.pauses_s, [RETRY_S])

    async def test_instances_that_name_each_other_are_not_asked_without_pause(
        self,
    ) -> None:
        # During an election each of two may take the other for the leader.
        await self.follow({"a": "b", "b": "a"}, 10)
        self.assertEqual(len(self.pauses_s), 9)

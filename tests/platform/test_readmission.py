"""Tests that a control instance which lost its disk is admitted past silent links.

They guard against a leader that sends to the emptied instance over a stream to the
process before it, which nothing has closed (docs/incidents/15-silent-connections.md).
"""

from __future__ import annotations

import os
import shutil
from unittest import mock

from bench.soak.links import PROXY_VARIABLE, LinkProxies
from tests.platform.control_cluster import ControlClusterTestCase

# The platform's bound on contact after a silence, and a second.
MAX_ADMISSION_S = 4.0
WITHOUT_PINGS = (("grpc.use_local_subchannel_pool", 1),)


class ReadmissionTests(ControlClusterTestCase):
    host_by_name = {f"control-{number}": f"127.0.1.{number}" for number in range(1, 4)}

    async def asyncSetUp(self) -> None:
        self.links = LinkProxies()
        self.addAsyncCleanup(self.links.stop)
        url = await self.links.get_url("127.0.1.0")
        self.enterContext(mock.patch.dict(os.environ, {PROXY_VARIABLE: url}))
        # Without pings, only the arrival of another identity reopens a stream.
        self.enterContext(
            mock.patch("yuccareach.control.peers.CHANNEL_OPTIONS", WITHOUT_PINGS)
        )
        await super().asyncSetUp()

    def get_leader(self) -> str:
        """Return the name of the instance that leads, or an empty string."""
        return next(
            (
                name
                for name, control in self.control_by_name.items()
                if str(control.process.state.role) == "leader"
            ),
            "",
        )

    def is_voter(self, name: str) -> bool:
        """Return whether the present identity of an instance votes by its own log."""
        state = self.control_by_name[name].process.state
        return state.identity in state.voter_identities

    async def empty(self, name: str) -> None:
        """Restart an instance without its data."""
        await self.stop_control(name)
        shutil.rmtree(self.folder / name)
        await self.start_control(name, list(self.durable_names))

    async def test_emptied_instance_is_admitted_past_silent_streams_to_it(
        self,
    ) -> None:
        await self.start_cluster()
        emptied = next(name for name in self.host_by_name if name != self.get_leader())
        self.assertGreater(self.links.silence(self.host_by_name[emptied]), 0)
        await self.empty(emptied)
        await self.wait_until(lambda: self.is_voter(emptied), MAX_ADMISSION_S)

    async def test_emptied_instance_is_admitted_after_the_leader_changed(
        self,
    ) -> None:
        await self.start_cluster()
        emptied = self.get_leader()
        self.links.silence(self.host_by_name[emptied])
        await self.empty(emptied)
        await self.wait_until(lambda: self.is_voter(emptied), MAX_ADMISSION_S)

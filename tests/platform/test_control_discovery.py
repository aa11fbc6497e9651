"""Finding control after restarts, whatever the seeds name."""

from __future__ import annotations

from tests.platform.control_cluster import ControlClusterTestCase
from tests.platform.examples import build_document
from yuccareach.platform.standin import put_document


class StopOfAllTests(ControlClusterTestCase):
    """All instances stop at the same time, and start again."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.start_cluster()
        address = self.operators_address("control-1")
        self.assertEqual(await put_document(address, build_document()), 200)
        await self.add_runner("p-1", list(self.host_by_name))
        gateway = await self.start_gateway("gateway", ["control-1"])
        await self.wait_until(lambda: "p-1" in gateway.gateway.fleet.backend_by_name)
        self.assertEqual(await self.call(gateway, "r1"), 200)

    async def restart_all(self, seeds: list[str], *control_names: str) -> None:
        """Stop all and start a gateway and some control instances, all by default."""
        await self.stop_all()
        for name in control_names or self.host_by_name:
            await self.start_control(name, seeds)
        self.gateway = await self.start_gateway("gateway", seeds)

    async def assert_served(self) -> None:
        """Check that the gateway serves within the recovery bound."""
        gateway = self.gateway.gateway
        await self.wait_until(lambda: gateway.has_lease)
        await self.wait_until(lambda: "p-1" in gateway.fleet.backend_by_name)
        self.assertEqual(await self.call(self.gateway, "r2"), 200)

    async def test_gateways_found_no_leader_as_all_seeds_had_lost_their_state(
        self,
    ) -> None:
        seeds = ["control-4", "control-5"]
        self.replace_seeds(seeds)
        await self.restart_all(seeds)
        await self.assert_served()
        await self.wait_until(lambda: all(map(self.has_joined, self.control_by_name)))

    async def test_seeds_that_lead_are_found(self) -> None:
        await self.restart_all(["control-2"])
        await self.assert_served()

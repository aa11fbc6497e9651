"""Finding control after restarts, whatever the seeds name."""

from __future__ import annotations

import unittest
from unittest import mock

from tests.platform.control_cluster import ControlClusterTestCase
from tests.platform.examples import build_document
from yuccareach.control import peers as peers_module
from yuccareach.control.joining import select_join_target
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

    async def test_voter_that_lost_its_disk_joins_again_by_seeds_in_memory(
        self,
    ) -> None:
        await self.stop_all()
        self.durable_names = ("control-1", "control-2")
        await self.restart_all(["control-4", "control-5"])
        await self.assert_served()
        await self.wait_until(lambda: self.has_joined("control-3"))


class NewSeedTests(ControlClusterTestCase):
    """Seeds that no member knows yet."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.new_name = "control-6"
        await self.start_cluster()
        self.host_by_name = {**self.host_by_name, self.new_name: "127.0.1.6"}

    async def test_instance_that_knows_only_itself_is_introduced_by_its_seeders(
        self,
    ) -> None:
        await self.start_control(self.new_name, [self.new_name])
        self.replace_seeds([self.new_name])
        await self.wait_until(lambda: self.has_joined(self.new_name))
        gateway = await self.start_gateway("gateway", [self.new_name])
        await self.wait_until(lambda: bool(gateway.view_poller.leader))

    async def test_gateway_beside_control_found_no_leader_as_all_seeds_were_gone(
        self,
    ) -> None:
        for name in ("control-1", "control-4"):
            host = self.host_by_name[name]
            gateway = await self.start_gateway(f"beside-{name}", [self.new_name], host)
            await self.wait_until(lambda poller=gateway.view_poller: poller.leader)

    async def test_instance_whose_other_seeds_are_gone_joins(self) -> None:
        await self.stop_control("control-4")
        await self.start_control(
            self.new_name, ["control-4", self.new_name, "control-2"]
        )
        await self.wait_until(lambda: self.has_joined(self.new_name))

    async def test_streams_to_seeds_that_were_replaced_are_closed(self) -> None:
        gone = self.peer_address(self.new_name)
        self.replace_seeds([self.new_name])
        peers = self.control_by_name["control-1"].process.peers
        await self.wait_until(lambda: gone in peers.outbox_by_address)
        self.replace_seeds(["control-2"])
        with mock.patch.object(peers_module, "UNUSED_STREAM_TIMEOUT_MS", 500):
            await self.wait_until(lambda: gone not in peers.outbox_by_address)
        self.assertTrue(all(map(self.has_joined, self.control_by_name)))


class RestartTests(ControlClusterTestCase):
    """A control instance in memory restarts alone."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.start_cluster()
        self.replace_seeds(["control-4"])

    def leading_members(self) -> set[str]:
        processes = [item.process for item in self.control_by_name.values()]
        leader = next(item for item in processes if str(item.state.role) == "leader")
        return set(leader.members.record_by_name)

    async def test_instance_that_is_its_only_seed_stayed_alone(self) -> None:
        await self.stop_control("control-4")
        await self.start_control("control-4", ["control-4"])
        await self.wait_until(lambda: self.has_joined("control-4"))

    async def test_departure_acknowledged_before_joining_was_forgotten(self) -> None:
        runner = await self.add_runner("p-1", ["control-4", "control-1"])
        await self.wait_until(lambda: "p-1" in self.leading_members())
        await self.stop_control("control-4")
        await self.start_control("control-4", ["control-4"])
        self.assertFalse(self.has_joined("control-4"))
        self.heartbeat_task_by_name["p-1"].cancel()
        address = self.operators_address("control-4")
        url = f"http://{address}/-/runners/p-1/deregister"
        async with self.session.post(url, json=runner.build_heartbeat()) as answer:
            self.assertEqual(answer.status, 200)
        # Sooner than the missing heartbeats expire.
        await self.wait_until(lambda: "p-1" not in self.leading_members(), 1.5)


class JoinTargetTests(unittest.TestCase):
    """Which instance a joining one asks."""

    def list_targets(self, heard: list[str], configured: list[str]) -> list[str]:
        return [
            select_join_target(heard, configured, "own", attempt)
            for attempt in range(6)
        ]

    def test_instances_heard_lately_take_every_second_attempt(self) -> None:
        targets = self.list_targets(["h"], ["own", "a", "b", "c"])
        self.assertEqual(targets, ["h", "a", "h", "b", "h", "c"])

    def test_all_others_are_asked_in_turn_if_none_was_heard(self) -> None:
        targets = self.list_targets([], ["a", "own", "b", "a"])
        self.assertEqual(set(targets), {"a", "b"})

    def test_none_is_asked_if_only_the_own_address_is_known(self) -> None:
        self.assertEqual(set(self.list_targets([], ["own"])), {""})

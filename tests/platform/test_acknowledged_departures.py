"""Departures and drains of backend servers, once control has acknowledged them."""

from __future__ import annotations

import asyncio
import shutil
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any
from unittest import mock

import aiohttp

from tests.platform.control_cluster import HEARTBEAT_MS, ControlClusterTestCase
from tests.platform.examples import build_document
from yuccareach.control.errors import DiskFailed
from yuccareach.control.raft_types import Role
from yuccareach.control.store import DiskStore
from yuccareach.control.views import LONG_POLL_TIMEOUT_MS
from yuccareach.platform import run_control
from yuccareach.platform.run_control import MAX_MISSED_HEARTBEATS
from yuccareach.platform.standin import put_document

if TYPE_CHECKING:
    from collections.abc import Iterator

# The platform's bound for the last request at a server that leaves (drainMs).
DRAIN_S = 2.0
# A runner waits this long for an acknowledgement.
ACKNOWLEDGEMENT_TIMEOUT_S = 1.0
# For this long after the bound, requests must not reach the server. Members that are
# restored from disk stay for 10 s.
OBSERVED_S = 2.0
REQUEST_INTERVAL_S = 0.04
VOTERS = ("control-1", "control-2", "control-3")


class DepartureTestCase(ControlClusterTestCase):
    """A test case with three voters, one instance in memory, a gateway and runners."""

    host_by_name = {f"control-{number}": f"127.0.1.{number}" for number in range(1, 5)}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.start_cluster()
        address = self.operators_address("control-1")
        self.assertEqual(await put_document(address, build_document()), 200)
        self.runner_by_name = {
            name: await self.add_runner(name, list(self.host_by_name))
            for name in ("p-1", "p-2", "p-3")
        }
        self.gateway = await self.start_gateway("gateway", list(VOTERS))
        await self.wait_until(
            lambda: set(self.gateway.gateway.fleet.backend_by_name) == {*self.names()}
        )

    def names(self) -> list[str]:
        return list(self.runner_by_name)

    def find_leader(self) -> str:
        """Return the name of the control instance that leads."""
        return next(
            name
            for name, control in self.control_by_name.items()
            if control.process.state.role is Role.LEADER
        )

    async def wait_for_saved_members(self) -> None:
        """Wait until every voter has the runners on its disk."""
        await self.wait_until(
            lambda: all(
                {
                    heartbeat.member.backend_server
                    for heartbeat in self.load_members(name)
                }
                == {*self.names()}
                for name in VOTERS
            )
        )

    def load_members(self, name: str) -> Any:
        return DiskStore(self.folder / name, name).load_members().heard

    @contextmanager
    def keep_saved_members(self) -> Iterator[None]:
        """Keep the members on disk as they are, as between two saves of them."""
        error = DiskFailed("between two saves")
        with mock.patch.object(DiskStore, "save_members", side_effect=error):
            yield

    async def announce(self, name: str, call: str, control: str) -> int:
        """Send a runner's last call, and return the status of the answer."""
        self.heartbeat_task_by_name[name].cancel()
        url = f"http://{self.operators_address(control)}/-/runners/{name}/{call}"
        body = self.runner_by_name[name].build_heartbeat()
        timeout = aiohttp.ClientTimeout(total=ACKNOWLEDGEMENT_TIMEOUT_S)
        async with self.session.post(url, json=body, timeout=timeout) as answer:
            return answer.status

    async def deregister(self, name: str, control: str) -> int:
        """Report a runner's departure, and return the status of the answer."""
        return await self.announce(name, "deregister", control)

    async def report_draining(self, name: str, control: str) -> int:
        """Report that a runner drains, and return the status of the answer."""
        self.runner_by_name[name].draining = True
        return await self.announce(name, "heartbeat", control)

    async def restart(self, *names: str, without_disk: bool = False) -> None:
        """Stop control instances at the same time, and start them again."""
        await asyncio.gather(*map(self.stop_control, names))
        for name in names:
            if without_disk:
                shutil.rmtree(self.folder / name)
            await self.start_control(name, list(VOTERS))

    def get_source(self) -> str:
        """Return the run id of the leader, or an empty string while nobody leads."""
        return next(
            (
                control.process.run_id
                for control in self.control_by_name.values()
                if control.process.state.role is Role.LEADER
            ),
            "",
        )

    async def assert_nothing_reaches(self, *names: str) -> None:
        """Check that requests are served, and none of them by the named runners."""
        await self.wait_until(
            lambda: self.gateway.view_poller.source == self.get_source() != ""
        )
        await asyncio.sleep(DRAIN_S)
        observed = len(self.group.arrivals)
        for number in range(int(OBSERVED_S / REQUEST_INTERVAL_S)):
            self.assertEqual(await self.call(self.gateway, f"late-{number}"), 200)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        reached = {arrival.runner for arrival in self.group.arrivals[observed:]}
        self.assertEqual(reached, {*self.names()} - {*names})


class DepartureTests(DepartureTestCase):
    """A runner that leaves without draining, and serves on for a while."""

    async def test_departure_was_forgotten_as_all_control_was_killed(self) -> None:
        await self.wait_for_saved_members()
        with self.keep_saved_members():
            self.assertEqual(await self.deregister("p-1", "control-2"), 200)
            await self.restart(*self.host_by_name)
            await self.assert_nothing_reaches("p-1")

    async def test_two_departures_were_forgotten_as_all_control_was_killed(
        self,
    ) -> None:
        await self.wait_for_saved_members()
        with self.keep_saved_members():
            statuses = await asyncio.gather(
                self.deregister("p-1", "control-1"),
                self.deregister("p-2", "control-3"),
            )
            self.assertEqual(statuses, [200, 200])
            await self.restart(*self.host_by_name)
            await self.assert_nothing_reaches("p-1", "p-2")

    async def test_departure_was_forgotten_as_the_acknowledging_leader_was_killed(
        self,
    ) -> None:
        await self.wait_for_saved_members()
        leader = self.find_leader()
        peers = self.control_by_name[leader].process.peers
        with (
            self.keep_saved_members(),
            # The others learn of the departure from the log alone.
            mock.patch.object(peers, "broadcast"),
        ):
            self.assertEqual(await self.deregister("p-1", leader), 200)
            await self.restart(leader)
            await self.assert_nothing_reaches("p-1")

    async def test_departure_was_forgotten_with_the_disk_of_its_instance(
        self,
    ) -> None:
        leader = self.find_leader()
        instance = next(name for name in VOTERS if name != leader)
        await self.send_heartbeats_to(instance)
        peers = self.control_by_name[instance].process.peers
        with mock.patch.object(peers, "broadcast"):
            self.assertEqual(await self.deregister("p-1", instance), 200)
            await self.restart(instance, without_disk=True)
            await self.assert_nothing_reaches("p-1")

    async def test_departure_was_forgotten_by_an_instance_in_memory(self) -> None:
        await self.send_heartbeats_to("control-4")
        peers = self.control_by_name["control-4"].process.peers
        with mock.patch.object(peers, "broadcast"):
            self.assertEqual(await self.deregister("p-1", "control-4"), 200)
            await self.restart("control-4")
            await self.assert_nothing_reaches("p-1")

    async def send_heartbeats_to(self, control: str) -> None:
        """Let the first runner send its heartbeats to one control instance."""
        self.heartbeat_task_by_name["p-1"].cancel()
        runner = self.runner_by_name["p-1"]
        address = self.operators_address(control)
        task = asyncio.create_task(runner.send_heartbeats([address]))
        self.heartbeat_task_by_name["p-1"] = task
        self.addCleanup(task.cancel)
        source = self.control_by_name[control].process.state.identity

        def _is_relayed() -> bool:
            leader = self.control_by_name[self.find_leader()].process
            record = leader.members.record_by_name.get("p-1")
            return record is not None and record.source == source

        await self.wait_until(_is_relayed)

    async def test_departure_was_acknowledged_that_no_quorum_kept(self) -> None:
        instance = next(name for name in VOTERS if name != self.find_leader())
        await asyncio.gather(
            *(self.stop_control(name) for name in VOTERS if name != instance)
        )
        status = await self.deregister("p-1", instance)
        self.assertEqual(status, 503)

    async def test_departure_was_forgotten_by_an_instance_with_a_full_disk(
        self,
    ) -> None:
        await self.wait_for_saved_members()
        instance = next(name for name in VOTERS if name != self.find_leader())
        process = self.control_by_name[instance].process
        with (
            self.keep_saved_members(),
            mock.patch.object(process.store, "append", side_effect=DiskFailed("full")),
            mock.patch.object(
                process.store, "check_writable", side_effect=DiskFailed("full")
            ),
        ):
            document = build_document(version=9)
            address = self.operators_address(self.find_leader())
            self.assertEqual(await put_document(address, document), 200)
            await self.wait_until(lambda: process.state.role is Role.FAILED)
            self.assertEqual(await self.deregister("p-1", instance), 200)
            await self.restart(*self.host_by_name)
            await self.assert_nothing_reaches("p-1")

    async def test_late_heartbeat_returned_a_departed_server_after_a_restart(
        self,
    ) -> None:
        late = self.runner_by_name["p-1"].build_heartbeat()
        self.assertEqual(await self.deregister("p-1", "control-1"), 200)
        await self.restart(*self.host_by_name)
        await self.wait_until(lambda: bool(self.get_source()))
        for control in self.host_by_name:
            url = f"http://{self.operators_address(control)}/-/runners/p-1/heartbeat"
            async with self.session.post(url, json=late) as answer:
                self.assertEqual(answer.status, 200)
        # An instance that has not applied the log yet removes it as it does.
        processes = [item.process for item in self.control_by_name.values()]
        await self.wait_until(
            lambda: not any("p-1" in item.members.record_by_name for item in processes),
            HEARTBEAT_MS / 1000 * MAX_MISSED_HEARTBEATS / 2,
        )
        await self.assert_nothing_reaches("p-1")

    async def test_gateway_kept_a_departed_server_as_a_new_leader_warmed_up(
        self,
    ) -> None:
        async def _hear_nothing(target: str) -> None:
            await asyncio.sleep(0.05)

        poller = self.gateway.view_poller
        with mock.patch.object(poller, "_poll", _hear_nothing):
            # The poll that the leader holds ends meanwhile.
            await asyncio.sleep(2 * LONG_POLL_TIMEOUT_MS / 1000)
            self.assertEqual(await self.deregister("p-1", "control-1"), 200)
            with mock.patch.object(run_control, "WARM_UP_HEARTBEAT_COUNT", 50):
                await self.restart(*self.host_by_name)
        await self.assert_nothing_reaches("p-1")

    async def test_runner_that_starts_again_under_its_name_is_used(self) -> None:
        runner = self.runner_by_name["p-1"]
        self.assertEqual(await self.deregister("p-1", "control-1"), 200)
        await self.restart(*self.host_by_name)
        runner.started_ms += 1
        addresses = list(map(self.operators_address, self.host_by_name))
        task = asyncio.create_task(runner.send_heartbeats(addresses))
        self.addCleanup(task.cancel)
        await self.assert_nothing_reaches()


class DrainTests(DepartureTestCase):
    """A runner that reports that it drains, and is not heard again."""

    async def test_drain_was_forgotten_as_all_control_was_killed(self) -> None:
        await self.wait_for_saved_members()
        with self.keep_saved_members():
            self.assertEqual(await self.report_draining("p-1", "control-2"), 200)
            await self.restart(*self.host_by_name)
            await self.assert_nothing_reaches("p-1")

    async def test_drain_was_forgotten_as_the_acknowledging_leader_was_killed(
        self,
    ) -> None:
        await self.wait_for_saved_members()
        leader = self.find_leader()
        peers = self.control_by_name[leader].process.peers
        with self.keep_saved_members(), mock.patch.object(peers, "broadcast"):
            self.assertEqual(await self.report_draining("p-1", leader), 200)
            await self.restart(leader)
            await self.assert_nothing_reaches("p-1")

    async def test_each_heartbeat_of_a_draining_server_was_committed(self) -> None:
        machine = self.control_by_name["control-1"].process.machine
        self.assertEqual(await self.report_draining("p-1", "control-1"), 200)
        processes = [item.process for item in self.control_by_name.values()]
        await self.wait_until(
            lambda: all(item.machine.withdrawals.changes == 1 for item in processes)
        )
        for control in (*VOTERS, "control-4"):
            self.assertEqual(await self.announce("p-1", "heartbeat", control), 200)
        self.assertEqual(machine.withdrawals.changes, 1)
        # It is used again if it says so, and is withdrawn again after that.
        self.runner_by_name["p-1"].draining = False
        self.assertEqual(await self.announce("p-1", "heartbeat", "control-1"), 200)
        fleet = self.gateway.gateway.fleet
        await self.wait_until(
            lambda: not fleet.backend_by_name["p-1"].announcement.draining
        )
        self.assertEqual(await self.report_draining("p-1", "control-1"), 200)
        self.assertEqual(machine.withdrawals.changes, 2)

    async def test_drain_was_acknowledged_that_no_quorum_kept(self) -> None:
        instance = next(name for name in VOTERS if name != self.find_leader())
        await asyncio.gather(
            *(self.stop_control(name) for name in VOTERS if name != instance)
        )
        status = await self.report_draining("p-1", instance)
        self.assertEqual(status, 503)

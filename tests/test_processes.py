"""Tests of real processes under kills, lost disks, network faults and restarts."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path
from typing import Any

import aiohttp

from bench.fleet import (
    HOST,
    TEAM,
    EngineSpec,
    ProcessFleet,
    make_settings_document,
    wait_until,
)
from yuccareach.load.client import Verdict
from yuccareach.load.runner import LoadRun, Workload, run_load

KEY = "test-key"
LAYERS = 24
TIMEOUT_S = 40.0
# Long enough to kill a process while a payout runs, even on a busy machine.
PAYOUT_MS = 2_000


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts processes in a temporary folder and kills them after the test."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        self.addCleanup(folder.cleanup)
        self.fleet = ProcessFleet(Path(folder.name), LAYERS)
        self.addAsyncCleanup(self.fleet.stop)

    async def start_all(
        self, *, control: int = 1, replicas: int = 2, entries: int = 2, ledgers: int = 0
    ) -> None:
        """Start a fleet with this many replicas of each of two stages."""
        fleet = self.fleet
        await fleet.start_control_instances(control)
        starts = [
            fleet.start_engine(
                f"stage{stage}-{copy}",
                EngineSpec("a100", 12 * stage, 12 * stage + 12, f"zone-{copy + 1}"),
            )
            for stage in range(2)
            for copy in range(replicas)
        ]
        starts += [
            fleet.start_service(f"ledger-{number}", f"zone-{number + 1}", PAYOUT_MS)
            for number in range(ledgers)
        ]
        starts += [
            fleet.start_entry(f"entry-{number}", f"zone-{number + 1}")
            for number in range(entries)
        ]
        await asyncio.gather(*starts)
        await fleet.apply_settings(TEAM, make_settings_document([KEY], LAYERS))
        await fleet.wait_until_ready(2 * replicas + ledgers)

    def start_load(self, rate: float = 8.0, duration_s: float = 6.0) -> Any:
        """Start to send requests in the background."""
        workload = Workload(rate, duration_s, max_tokens=60, seed=3)
        return asyncio.create_task(run_load(self.fleet.make_targets([KEY]), workload))

    def assert_all_answers_correct(self, load_run: LoadRun) -> None:
        self.assertEqual(
            dict(load_run.count_by_verdict), {"right": len(load_run.results)}
        )

    async def assert_positions_ran_once_in_order(self) -> None:
        """Check that no engine still alive ran a position twice or out of order."""
        for name in self.fleet.admin_port_by_name:
            engine = self.fleet.process_by_name.get(f"{name}.engine")
            if engine is not None and engine.alive:
                counts = await self.fleet.fetch_executions(name)
                self.assertEqual((counts["repeated"], counts["out_of_order"]), (0, 0))


class StageTests(ProcessTestCase):
    async def test_killed_stages_lose_no_answer(self) -> None:
        await self.start_all(replicas=3)
        load = self.start_load()
        await asyncio.sleep(2)
        for name in ("stage0-0", "stage0-0.engine", "stage1-1.engine"):
            await self.fleet.kill(name)
        await asyncio.sleep(1)
        await self.fleet.kill("stage1-2")
        self.assert_all_answers_correct(await load)
        await self.assert_positions_ran_once_in_order()

    async def test_rolling_restart_of_all_backend_servers_fails_no_request(
        self,
    ) -> None:
        await self.start_all(replicas=2, entries=1)
        load = self.start_load(duration_s=8.0)
        for name in ("stage0-0", "stage1-0", "stage0-1", "stage1-1"):
            await self.fleet.kill(name, signal.SIGTERM)
            self.assertEqual(self.fleet.process_by_name[name].process.returncode, 0)
            await self.fleet.restart(name)
            await self.fleet.wait_until_ready(4)
        self.assert_all_answers_correct(await load)
        await self.assert_positions_ran_once_in_order()

    async def test_entry_that_shuts_down_interrupts_no_answer(self) -> None:
        await self.start_all(replicas=1, entries=1)
        workload = Workload(0, 0, simultaneous_requests=20, max_tokens=200, seed=3)
        load = asyncio.create_task(run_load(self.fleet.make_targets([KEY]), workload))
        await asyncio.sleep(0.7)
        await self.fleet.kill("entry-0", signal.SIGTERM)
        load_run = await load
        self.assert_all_answers_correct(load_run)
        self.assertEqual(self.fleet.process_by_name["entry-0"].process.returncode, 0)


class PayoutTests(ProcessTestCase):
    async def send_payout(self, entry: str, key: str) -> Any:
        """Send a payout; returns its status and outcome, or None without an answer."""
        url = f"http://{HOST}:{self.fleet.entry_port_by_name[entry]}"
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
        body = {"account": "a", "amount": 5}
        try:
            async with aiohttp.ClientSession() as session:
                async with session.post(
                    f"{url}/v1/services/ledger/payouts", json=body, headers=headers
                ) as response:
                    return response.status, response.headers["Yuccareach-Outcome"]
        except aiohttp.ClientError:
            return None

    async def count_runs(self, key: str) -> int:
        counts = [
            await self.fleet.fetch_executions(name)
            for name in self.fleet.admin_port_by_name
            if name.startswith("ledger")
        ]
        return sum(item.get(key, 0) for item in counts)

    async def test_entry_killed_while_a_payout_runs(self) -> None:
        await self.start_all(replicas=1, ledgers=2)
        first = asyncio.create_task(self.send_payout("entry-0", "k1"))

        async def _is_running() -> bool:
            return await self.count_runs("k1") == 1

        await wait_until(_is_running)
        await self.fleet.kill("entry-0")
        self.assertIsNone(await first)
        self.assertEqual(await self.send_payout("entry-1", "k1"), (201, "ran"))
        self.assertEqual(await self.count_runs("k1"), 1)

    async def test_payout_whose_agent_is_killed_stays_unknown(self) -> None:
        await self.start_all(replicas=1, ledgers=1)
        first = asyncio.create_task(self.send_payout("entry-0", "k2"))

        async def _is_running() -> bool:
            return await self.count_runs("k2") == 1

        await wait_until(_is_running)
        await self.fleet.kill("ledger-0")
        await self.fleet.restart("ledger-0")
        self.assertEqual(await first, (502, "unknown"))
        await self.fleet.wait_until_ready(3)
        self.assertEqual(await self.send_payout("entry-1", "k2"), (502, "unknown"))
        self.assertEqual(await self.count_runs("k2"), 1)

    async def test_control_leader_killed_while_payouts_arrive(self) -> None:
        await self.start_all(control=3, replicas=1, ledgers=2)
        payouts = []
        for number in range(12):
            entry = f"entry-{number % 2}"
            payouts.append(asyncio.create_task(self.send_payout(entry, f"p{number}")))
            await asyncio.sleep(0.1)
            if number == 5:
                await self.fleet.kill(await self.fleet.find_leader())
        results = await asyncio.gather(*payouts)
        for number, (status, outcome) in enumerate(results):
            with self.subTest(number=number, status=status, outcome=outcome):
                resent = await self.send_payout("entry-0", f"p{number}")
                self.assertEqual(resent, (201, "ran"))
                self.assertEqual(await self.count_runs(f"p{number}"), 1)


class ControlTests(ProcessTestCase):
    async def change_settings(self, number: int) -> int:
        """Change the settings of one team; returns the new revision."""
        document = make_settings_document([f"k{number}"], LAYERS)
        return await self.fleet.apply_settings("team", document)

    async def fetch_revision(self, name: str) -> int:
        status = await self.fleet.fetch_status(name)
        return status["revision"] if status else -1

    async def wait_for_revision(self, revision: int, *names: str) -> None:
        async def _has_revision_everywhere() -> bool:
            return all([await self.fetch_revision(name) >= revision for name in names])

        await wait_until(_has_revision_everywhere, TIMEOUT_S)

    async def test_killed_leader_loses_no_accepted_change(self) -> None:
        await self.fleet.start_control_instances(3)
        for number in range(10):
            revision = await self.change_settings(number)
        killed = await self.fleet.find_leader()
        await self.fleet.kill(killed)
        self.assertEqual(await self.change_settings(11), revision + 1)
        await self.fleet.restart(killed)
        await self.wait_for_revision(revision + 1, *self.fleet.control_ports_by_name)

    async def test_second_loss_right_after_a_replacement_loses_no_change(self) -> None:
        await self.fleet.start_control_instances(3)
        for number in range(5):
            revision = await self.change_settings(number)
        lost = {(await self.fleet.fetch_status("control-2"))["instance"]}
        await self.fleet.kill("control-2")
        await self.fleet.start_control_instance("control-2", data="new-disk")

        async def _is_replaced() -> bool:
            status = await self.fleet.fetch_status()
            peers = status["control_instances"] if status else []
            voters = {peer["identity"] for peer in peers if peer["voter"]}
            return len(voters) == 3 and not voters & lost

        await wait_until(_is_replaced, TIMEOUT_S)
        await self.fleet.kill("control-1")
        self.assertEqual(await self.change_settings(9), revision + 1)
        await self.wait_for_revision(revision + 1, "control-2", "control-3")

    async def test_leader_whose_packets_are_dropped_steps_down(self) -> None:
        await self.fleet.start_control_instances(3, proxied=True)
        revision = await self.change_settings(1)
        isolated = await self.fleet.find_leader()
        await self.fleet.set_faults(f"proxy-{isolated}", drop_in=True, drop_out=True)

        async def _has_another_leader() -> bool:
            status = await self.fleet.fetch_status(isolated)
            return status["role"] != "leader" and await self.fleet.find_leader() != ""

        await wait_until(_has_another_leader, TIMEOUT_S)
        self.assertEqual(await self.change_settings(2), revision + 1)
        await self.fleet.set_faults(f"proxy-{isolated}")
        await self.wait_for_revision(revision + 1, *self.fleet.control_ports_by_name)

    async def test_restart_after_a_thousand_changes(self) -> None:
        await self.fleet.start_control_instances(1, **{"snapshot-every": "300"})
        for number in range(1_000):
            headers = {"If-Match": f'"{number}"', "Change-Id": f"c{number}"}
            body = make_settings_document([f"k{number}"], LAYERS)
            path = "/v1/settings/team"
            reply = await self.fleet.operator.request(
                "PUT", path, body=body, headers=headers
            )
            self.assertEqual(reply.body["revision"], number + 1)
        await self.fleet.kill("control-1")
        await self.fleet.restart("control-1")
        await self.wait_for_revision(1_000, "control-1")
        reply = await self.fleet.operator.request("GET", "/v1/settings/team")
        self.assertEqual(reply.body, make_settings_document(["k999"], LAYERS))

    async def test_damaged_log_ends_the_process_with_a_one_line_error(self) -> None:
        await self.fleet.start_control_instances(1)
        for number in range(3):
            await self.change_settings(number)
        await self.fleet.kill("control-1")
        log = sorted((self.fleet.folder / "data-control-1").glob("log-*"))[0]
        data = bytearray(log.read_bytes())
        data[30] ^= 0xFF
        log.write_bytes(data)
        process = await self.fleet.restart("control-1")
        self.assertEqual(await process.process.wait(), 2)
        last = process.log.read_text().splitlines()[-1]
        self.assertRegex(last, r"^error: .*log-.*damaged at byte 0")


class WatchTests(ProcessTestCase):
    async def test_entry_without_control_gets_settings_over_the_data_path(self) -> None:
        fleet = self.fleet
        await fleet.start_control_instances(1)
        proxy = await fleet.start_proxy("proxy", fleet.control_addresses)
        await fleet.start_engine("engine", EngineSpec("a100", 0, LAYERS))
        for name in ("entry-0", "entry-1"):
            await fleet.start_entry(name, "zone-1")
        port = fleet.entry_port_by_name["entry-1"]
        await fleet.kill("entry-1")
        argv = fleet.argv_by_name["entry-1"]
        argv[argv.index("--control") + 1] = proxy
        await fleet.restart("entry-1")
        await fleet.apply_settings(TEAM, make_settings_document([KEY], LAYERS))
        await fleet.wait_until_ready(1)
        await fleet.set_faults("proxy", drop_in=True, drop_out=True)
        document = make_settings_document([KEY, "new-key"], LAYERS)
        await fleet.apply_settings(TEAM, document)
        target = fleet.make_targets([KEY])[1]
        self.assertIn(str(port), target.url)

        async def _new_key_works() -> bool:
            # Traffic of requests with the old key carries the newer revision back.
            old = await run_load(
                [target], Workload(0, 0, simultaneous_requests=1, max_tokens=2)
            )
            self.assertEqual(old.count_by_verdict[str(Verdict.RIGHT)], 1)
            new_target = target._replace(key="new-key")
            new = await run_load(
                [new_target], Workload(0, 0, simultaneous_requests=1, max_tokens=2)
            )
            return bool(new.count_by_verdict[str(Verdict.RIGHT)])

        await wait_until(_new_key_works, TIMEOUT_S)

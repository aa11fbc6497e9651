"""The whole path: operator, control, gateway and runners."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import Any

from tests.platform.deployment import Answer, DeploymentTestCase, events_of
from tests.platform.examples import MODEL, PLAIN, document, route
from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.gateway.state import REPLACING_S
from yuccareach.platform.standin import (
    Runner,
    get_document,
    is_complete_path,
    put_document,
)


class StreamTests(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.near = await self.add_pipeline("z1")
        self.far = await self.add_pipeline("z2")
        await self.known(*(runner.name for runner in (*self.near, *self.far)))

    def slow(self) -> None:
        for runner in (*self.near, *self.far):
            runner.event_interval_s = 0.02

    async def stream(self, events: int, on_event: Any = None) -> Answer:
        return await self.ask("/draft/1", "r1", events=events, on_event=on_event)

    async def test_many_streams_arrive_whole_with_their_own_ids(self) -> None:
        answers = await asyncio.gather(
            *(self.ask("/draft/1", f"r{number}", events=20) for number in range(20))
        )
        for number, answer in enumerate(answers):
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.whole)
            self.assertEqual(events_of(answer), list(range(1, 21)))
            self.assertEqual(answer.headers["Yuccareach-Request-Id"], f"r{number}")

    async def test_neither_key_nor_claimed_tenant_reaches_a_runner(self) -> None:
        await self.ask("/draft/1", "r1", events=2, Yuccareach_Tenant="someone")
        seen = self.near[0].received_headers[-1]
        self.assertNotIn("Authorization", seen)
        self.assertEqual(seen["Yuccareach-Tenant"], "a")
        self.assertLessEqual(int(seen["Yuccareach-Deadline-Ms"]), 4_000)

    async def lose(self, runner: Runner, announced: bool) -> None:
        runner.heartbeat_task.cancel()  # type: ignore[attr-defined]
        await runner.stop()

    async def stream_with_loss(self, lost: Runner) -> Answer:
        """Lose a runner once a stream is under way."""
        self.slow()
        gone = False

        async def _lose(body: bytes) -> None:
            nonlocal gone
            if not gone and body.count(b"id:") >= 5:
                gone = True
                await self.lose(lost, announced=False)

        return await self.stream(40, _lose)

    async def add_replica(self) -> Runner:
        """Add a runner that can stand in for the second stage of the near zone."""
        replica = await self.add_runner("z1-4", "a100", 30, 60, "z1")
        await self.known(replica.name)
        return replica

    async def test_lost_stage_is_replaced_within_the_answer(self) -> None:
        replica = await self.add_replica()
        answer = await self.stream_with_loss(self.near[1])
        self.assertTrue(answer.whole)
        self.assertEqual(events_of(answer), list(range(1, 41)))
        self.assertEqual(self.group.executed_request_ids, ["r1"])
        path = self.near[0].path_by_request["r1"]
        self.assertEqual(path[1][0], replica.address)

    async def test_stream_whose_zone_lacks_a_stage_is_resumed_in_another(self) -> None:
        # Found in a hunt: 85 streams at once had their new stages in another zone read
        # all tokens so far. Their activations filled the link between the zones, and
        # none had another event before its caller left.
        for runner in (*self.near, *self.far):
            runner.rejects_place_orders = True
        answer = await self.stream_with_loss(self.near[1])
        self.assertTrue(answer.whole)
        self.assertEqual(events_of(answer), list(range(1, 41)))
        path = self.far[0].path_by_request["r1"]
        self.assertEqual(
            [address for address, _, _ in path], [item.address for item in self.far]
        )

    async def test_stream_that_may_not_begin_again_goes_on_across_zones(self) -> None:
        for runner in (*self.near, *self.far):
            runner.rejects_place_orders = True
        self.gateway.gateway.budget(MODEL).limits = RetryBudgetLimits(0, 0, 10)
        answer = await self.stream_with_loss(self.near[1])
        self.assertTrue(answer.whole)
        self.assertEqual(events_of(answer), list(range(1, 41)))
        self.assertEqual(self.group.executed_request_ids, ["r1"])

    async def test_order_that_got_no_answer_is_repeated(self) -> None:
        await self.add_replica()
        self.near[0].unanswered_reroute_count = 1
        answer = await self.stream_with_loss(self.near[1])
        self.assertTrue(answer.whole)
        self.assertEqual(events_of(answer), list(range(1, 41)))
        self.assertEqual(self.group.executed_request_ids, ["r1"])

    async def test_lost_first_stage_has_the_stream_resumed_elsewhere(self) -> None:
        answer = await self.stream_with_loss(self.near[0])
        self.assertTrue(answer.whole)
        self.assertEqual(events_of(answer), list(range(1, 41)))

    async def test_stage_that_is_only_silent_towards_control_is_kept(self) -> None:
        # Found by the soak: streams were cut when a server's membership expired, while
        # their events came as usual.
        self.slow()
        fleet = self.gateway.gateway.fleet
        names = {runner.name for runner in self.near}
        for runner in self.near:
            runner.heartbeat_task.cancel()  # type: ignore[attr-defined]
        answer = await self.stream(150)
        self.assertEqual(names & set(fleet.backend_by_name), set())
        self.assertTrue(answer.whole)
        self.assertEqual(self.group.executed_request_ids, ["r1"])

    async def test_stream_leaves_a_stage_that_has_turned_slow(self) -> None:
        await self.add_replica()
        self.slow()
        turned = False

        async def _turn_slow(body: bytes) -> None:
            nonlocal turned
            if not turned and body.count(b"id:") >= 5:
                turned = True
                self.near[1].slowdown = 50.0

        answer = await self.stream(30, _turn_slow)
        self.assertTrue(answer.whole)
        self.assertEqual(events_of(answer), list(range(1, 31)))
        path = self.near[0].path_by_request["r1"]
        self.assertNotIn(self.near[1].address, [address for address, _, _ in path])

    async def test_broken_stream_is_resumed_after_its_last_event(self) -> None:
        self.near[0].abort_after_events = 7
        answer = await self.stream(20)
        self.assertEqual(events_of(answer), list(range(1, 21)))
        self.assertEqual(self.far[0].received_headers[-1]["Last-Event-Id"], "7")

    async def test_stream_that_cannot_be_finished_does_not_look_whole(self) -> None:
        for runner in (self.near[0], self.far[0]):
            runner.abort_after_events = 7
        answer = await self.stream(20)
        self.assertEqual(events_of(answer), list(range(1, 8)))
        self.assertFalse(answer.whole)

    async def test_full_runner_is_passed_over(self) -> None:
        self.near[0].is_full = True
        answer = await self.stream(5)
        self.assertEqual(events_of(answer), list(range(1, 6)))
        self.assertEqual(self.group.executed_request_ids, ["r1"])

    async def test_stage_that_takes_no_connections_costs_one_refusal_not_many(
        self,
    ) -> None:
        # Found in a hunt: a crashed stage, still announced for seconds, was sent one
        # request after another. Each was refused, took a repeat from the budget, and
        # left none for streams that had to be resumed.
        for runner in (*self.near, *self.far):
            runner.rejects_place_orders = True
        for runner in (self.near[1], self.far[1]):
            await runner.stop()
        answers = [await self.stream(5) for _ in range(6)]
        self.assertEqual([answer.status for answer in answers], [503] * 6)
        self.assertEqual(self.group.executed_request_ids, [])
        # Nobody is told to return before the missing layers can be loaded.
        for answer in answers[2:]:
            self.assertGreater(float(answer.headers["Retry-After"]), REPLACING_S)
        # Each of the two was found out once.
        sent = [len(runner.received_headers) for runner in (self.near[0], self.far[0])]
        self.assertLessEqual(sum(sent), 2)

    async def test_refusal_when_all_are_full_is_true_and_says_when_to_return(
        self,
    ) -> None:
        for runner in (self.near[0], self.far[0]):
            runner.is_full = True
        answer = await self.stream(5)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.assertEqual(self.group.executed_request_ids, [])

    async def test_draining_runner_gets_no_new_streams(self) -> None:
        self.near[0].draining = True
        fleet = self.gateway.gateway.fleet
        name = self.near[0].name
        await self.until(lambda: fleet.backend_by_name[name].announcement.draining)
        await self.stream(5)
        self.assertEqual(self.near[0].received_headers, [])

    async def test_end_by_a_caller_who_leaves_tells_what_was_done(self) -> None:
        self.slow()
        first_event = asyncio.Event()

        async def _note(body: bytes) -> None:
            if b"id:" in body:
                first_event.set()

        with self.assertLogs("yuccareach.gateway", logging.INFO) as logs:
            asking = asyncio.create_task(self.stream(100, _note))
            await first_event.wait()
            asking.cancel()
            await asyncio.gather(asking, return_exceptions=True)
            await self.until(lambda: self.gateway.gateway.active == 0)
        ends = [vars(line) for line in logs.records if line.msg == "request_ended"]
        self.assertEqual([end["reason"] for end in ends], ["caller_left"])
        self.assertEqual(ends[0]["attempts"], 1)
        self.assertGreater(ends[0]["events"], 0)


class CallTests(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.runners = [await self.add_runner(f"p{number}") for number in range(2)]
        await self.known("p0", "p1")

    async def test_call_is_answered_unchanged(self) -> None:
        answer = await self.ask("/claim/1", "r1")
        self.assertEqual((answer.status, answer.body), (200, b"x"))
        self.assertTrue(answer.headers["Yuccareach-Runner-Signature"].endswith("r1"))

    async def test_callers_without_a_right_are_turned_away(self) -> None:
        self.assertEqual((await self.ask("/claim/1", "r1", key="no")).status, 401)
        self.assertEqual((await self.ask("/claim/1", "r2", key=None)).status, 401)
        self.assertEqual((await self.ask("/none/1", "r3")).status, 404)
        self.assertEqual((await self.ask("/open/1", "r4", key=None)).status, 200)
        self.assertEqual(self.group.executed_request_ids, ["r4"])

    async def test_non_idempotent_call_that_may_have_run_is_not_sent_again(
        self,
    ) -> None:
        for runner in self.runners:
            runner.is_silent = True
        answer = await self.ask("/claim/1", "r1", Yuccareach_Deadline_Ms="300")
        self.assertEqual(answer.status, 504)
        self.assertEqual(sum(len(r.received_headers) for r in self.runners), 1)

    async def test_idempotent_call_is_sent_on_from_a_silent_runner(self) -> None:
        self.runners[0].is_silent = True
        answer = await self.ask("/look/1", "r1", method="GET")
        self.assertEqual(answer.status, 200)

    async def test_failure_of_the_runner_is_passed_on(self) -> None:
        for runner in self.runners:
            runner.answer_status = 500
        answer = await self.ask("/claim/1", "r1")
        self.assertEqual(answer.status, 500)
        self.assertIn("Yuccareach-Runner-Signature", answer.headers)

    async def test_full_service_is_a_refusal_that_did_not_run(self) -> None:
        for runner in self.runners:
            runner.is_full = True
        answer = await self.ask("/claim/1", "r1")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)

    async def test_reused_address_does_not_get_another_servers_call(self) -> None:
        # The runner at this address now has another id, which the gateway cannot know.
        self.runners[0].name = "reborn"
        self.runners[1].is_full = True
        answer = await self.ask("/claim/1", "r1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.group.executed_request_ids, [])


class DocumentTests(DeploymentTestCase):
    async def test_highest_version_wins_and_resends_are_acknowledged(self) -> None:
        control = self.control_address
        other = document(routes=[route("/new/", "safe", PLAIN)])
        for version, content in ((9, other), (8, document()), (9, document())):
            status = await put_document(control, {**content, "version": version})
            self.assertEqual(status, 200)
        status, content = await get_document(control)
        self.assertEqual(status, 200)
        self.assertEqual(json.loads(content), {**other, "version": 9})
        gateway = self.gateway.gateway
        await self.until(lambda: gateway.table and gateway.table.version == 9)
        self.assertEqual((await self.ask("/claim/1", "r1")).status, 404)

    async def test_invalid_document_changes_nothing(self) -> None:
        invalid = document(version=9, routes=[route("/a/", "safe", "unknown")])
        self.assertEqual(await put_document(self.control_address, invalid), 400)
        _, content = await get_document(self.control_address)
        self.assertEqual(json.loads(content)["version"], 7)

    async def test_malformed_heartbeat_names_no_runner_and_hurts_no_other(
        self,
    ) -> None:
        await self.add_runner("p0")
        await self.known("p0")
        url = f"http://{self.control_address}/-/runners/p0/heartbeat"
        for body in (b"{", b"[]", b'{"service": 3}'):
            async with self.http.post(url, data=body) as answer:
                self.assertEqual(answer.status, 400)
        self.assertEqual((await self.ask("/claim/1", "r1")).status, 200)


class RevocationTests(DeploymentTestCase):
    revocation_ms = 1_200

    async def test_key_is_refused_where_control_is_out_of_reach(self) -> None:
        await self.add_runner("p0")
        await self.known("p0")
        self.assertEqual((await self.ask("/claim/1", "r1")).status, 200)
        await self.stop_control()
        await self.until(lambda: not self.gateway.gateway.leased)
        answer = await self.ask("/claim/1", "r2")
        self.assertEqual(answer.status, 503)
        self.assertEqual((await self.ask("/open/1", "r3", key=None)).status, 200)
        self.assertFalse(self.gateway.gateway.ready)


class PlacementTests(DeploymentTestCase):
    async def test_empty_fleet_is_placed_before_the_first_request(self) -> None:
        runners = [
            await self.add_runner(f"{zone}-{kind}-{number}", kind, zone=zone)
            for zone in ("z1", "z2")
            for kind, count in (("a100", 1), ("l40s", 4), ("l4", 1))
            for number in range(count)
        ]
        fleet = self.gateway.gateway.fleet
        holding = [runner for runner in runners if runner.kind != "l4"]
        await self.until(lambda: all(runner.layers.size for runner in holding))
        await self.until(
            lambda: sum(
                backend.announcement.end_layer - backend.announcement.first_layer
                for backend in fleet.backend_by_name.values()
            )
            >= 160
        )
        answer = await self.ask("/draft/1", "r1", events=10)
        self.assertEqual(events_of(answer), list(range(1, 11)))
        (path,) = [
            runner.path_by_request["r1"]
            for runner in runners
            if "r1" in runner.path_by_request
        ]
        self.assertTrue(is_complete_path(path, 80))
        self.assertEqual({runner.service for runner in runners}, {MODEL})


class DrainTests(DeploymentTestCase):
    async def test_shutdown_finishes_what_is_in_flight(self) -> None:
        for runner in await self.add_pipeline("z1"):
            runner.event_interval_s = 0.05
        await self.known("z1-1", "z1-2", "z1-3")
        stream = asyncio.create_task(self.ask("/draft/1", "r1", events=70))
        await self.until(lambda: self.gateway.gateway.streams)
        await self.gateway.drain()
        self.assertFalse(self.gateway.gateway.ready)
        answer = await stream
        self.assertTrue(answer.whole)
        self.assertEqual(len(events_of(answer)), 70)

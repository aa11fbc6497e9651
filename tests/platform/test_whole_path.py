"""Tests of operator, control, gateway and runners together, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import Any
from unittest import mock

from tests.platform.deployment import Answer, DeploymentTestCase, read_event_ids
from tests.platform.examples import MODEL, PLAIN, build_document, build_route
from yuccareach.gateway import run
from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.gateway.run import GRACE_MARGIN_S
from yuccareach.gateway.state import REPLACEMENT_DELAY_S
from yuccareach.platform.standin import (
    Runner,
    get_document,
    is_complete_path,
    put_document,
)


class StreamTests(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # The gateway is in z1.
        self.near_runners = await self.add_pipeline("z1")
        self.far_runners = await self.add_pipeline("z2")
        await self.wait_until_known(
            *(runner.name for runner in (*self.near_runners, *self.far_runners))
        )

    def slow_events(self) -> None:
        for runner in (*self.near_runners, *self.far_runners):
            runner.event_interval_s = 0.02

    async def request_stream(self, events: int, on_event: Any = None) -> Answer:
        return await self.send_request(
            "/draft/1", "r1", events=events, on_event=on_event
        )

    async def test_concurrent_streams_are_complete_and_echo_their_request_ids(
        self,
    ) -> None:
        answers = await asyncio.gather(
            *(
                self.send_request("/draft/1", f"r{number}", events=20)
                for number in range(20)
            )
        )
        for number, answer in enumerate(answers):
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.is_complete)
            self.assertEqual(read_event_ids(answer), list(range(1, 21)))
            self.assertEqual(answer.headers["Yuccareach-Request-Id"], f"r{number}")

    async def test_neither_key_nor_claimed_tenant_reaches_a_runner(self) -> None:
        await self.send_request("/draft/1", "r1", events=2, Yuccareach_Tenant="someone")
        received = self.near_runners[0].received_headers[-1]
        self.assertNotIn("Authorization", received)
        self.assertEqual(received["Yuccareach-Tenant"], "a")
        self.assertLessEqual(int(received["Yuccareach-Deadline-Ms"]), 4_000)

    async def crash_runner(self, runner: Runner, announced: bool) -> None:
        """Stop a runner and its heartbeats without a departure."""
        runner.heartbeat_task.cancel()  # type: ignore[attr-defined]
        await runner.stop()

    async def request_stream_with_crash(self, runner: Runner) -> Answer:
        """Request a stream, and crash a runner after the stream's fifth event."""
        self.slow_events()
        crashed = False

        async def _crash(body: bytes) -> None:
            nonlocal crashed
            if not crashed and body.count(b"id:") >= 5:
                crashed = True
                await self.crash_runner(runner, announced=False)

        return await self.request_stream(40, _crash)

    async def add_replica(self) -> Runner:
        """Add a runner that can replace the second stage of the near zone."""
        replica = await self.add_runner("z1-4", "a100", 30, 60, "z1")
        await self.wait_until_known(replica.name)
        return replica

    async def test_lost_stage_is_replaced_without_interrupting_the_stream(self) -> None:
        replica = await self.add_replica()
        answer = await self.request_stream_with_crash(self.near_runners[1])
        self.assertTrue(answer.is_complete)
        self.assertEqual(read_event_ids(answer), list(range(1, 41)))
        self.assertEqual(self.group.executed_request_ids, ["r1"])
        path = self.near_runners[0].path_by_request["r1"]
        self.assertEqual(path[1][0], replica.address)

    async def test_stream_whose_zone_lacks_a_stage_is_resumed_in_another(self) -> None:
        # Guards against a failure found in randomized tests of a fleet: 85 streams at
        # once were rerouted over new stages in another zone, which had to process all
        # tokens so far. The activations filled the link between the zones, and no
        # stream had another event before its caller disconnected.
        for runner in (*self.near_runners, *self.far_runners):
            runner.rejects_place_orders = True
        answer = await self.request_stream_with_crash(self.near_runners[1])
        self.assertTrue(answer.is_complete)
        self.assertEqual(read_event_ids(answer), list(range(1, 41)))
        path = self.far_runners[0].path_by_request["r1"]
        self.assertEqual(
            [address for address, _, _ in path],
            [item.address for item in self.far_runners],
        )

    async def test_stream_without_retry_budget_is_rerouted_across_zones(self) -> None:
        for runner in (*self.near_runners, *self.far_runners):
            runner.rejects_place_orders = True
        self.gateway.gateway.get_retry_budget(MODEL).limits = RetryBudgetLimits(
            0, 0, 10
        )
        answer = await self.request_stream_with_crash(self.near_runners[1])
        self.assertTrue(answer.is_complete)
        self.assertEqual(read_event_ids(answer), list(range(1, 41)))
        self.assertEqual(self.group.executed_request_ids, ["r1"])

    async def test_reroute_order_without_an_answer_is_sent_again(self) -> None:
        await self.add_replica()
        self.near_runners[0].unanswered_reroute_count = 1
        answer = await self.request_stream_with_crash(self.near_runners[1])
        self.assertTrue(answer.is_complete)
        self.assertEqual(read_event_ids(answer), list(range(1, 41)))
        self.assertEqual(self.group.executed_request_ids, ["r1"])

    async def test_stream_with_lost_first_stage_is_resumed_on_another_chain(
        self,
    ) -> None:
        answer = await self.request_stream_with_crash(self.near_runners[0])
        self.assertTrue(answer.is_complete)
        self.assertEqual(read_event_ids(answer), list(range(1, 41)))

    async def test_stream_outlives_the_membership_of_its_stages(self) -> None:
        # Guards against a failure in a soak test: streams were interrupted when a
        # backend server that could not reach control expired as a member, although
        # their events continued to arrive.
        self.slow_events()
        fleet = self.gateway.gateway.fleet
        names = {runner.name for runner in self.near_runners}
        for runner in self.near_runners:
            runner.heartbeat_task.cancel()  # type: ignore[attr-defined]
        answer = await self.request_stream(150)
        self.assertEqual(names & set(fleet.backend_by_name), set())
        self.assertTrue(answer.is_complete)
        self.assertEqual(self.group.executed_request_ids, ["r1"])

    async def test_stream_is_rerouted_around_a_slow_stage(self) -> None:
        await self.add_replica()
        self.slow_events()
        slowed = False

        async def _slow_stage(body: bytes) -> None:
            nonlocal slowed
            if not slowed and body.count(b"id:") >= 5:
                slowed = True
                self.near_runners[1].slowdown = 50.0

        answer = await self.request_stream(30, _slow_stage)
        self.assertTrue(answer.is_complete)
        self.assertEqual(read_event_ids(answer), list(range(1, 31)))
        path = self.near_runners[0].path_by_request["r1"]
        self.assertNotIn(
            self.near_runners[1].address, [address for address, _, _ in path]
        )

    async def test_aborted_stream_is_resumed_after_its_last_event(self) -> None:
        self.near_runners[0].abort_after_events = 7
        answer = await self.request_stream(20)
        self.assertEqual(read_event_ids(answer), list(range(1, 21)))
        self.assertEqual(self.far_runners[0].received_headers[-1]["Last-Event-Id"], "7")

    async def test_stream_that_cannot_be_completed_does_not_end_regularly(self) -> None:
        for runner in (self.near_runners[0], self.far_runners[0]):
            runner.abort_after_events = 7
        answer = await self.request_stream(20)
        self.assertEqual(read_event_ids(answer), list(range(1, 8)))
        self.assertFalse(answer.is_complete)

    async def test_stream_is_served_by_another_runner_if_one_is_full(self) -> None:
        self.near_runners[0].is_full = True
        answer = await self.request_stream(5)
        self.assertEqual(read_event_ids(answer), list(range(1, 6)))
        self.assertEqual(self.group.executed_request_ids, ["r1"])

    async def test_unreachable_stage_causes_one_refused_attempt(self) -> None:
        # Guards against a failure found in randomized tests of a fleet: a crashed stage
        # stayed a member for seconds, and its chain was sent one request after another.
        # Each was refused and used a retry of the budget, until none was left for
        # streams that had to be resumed.
        for runner in (*self.near_runners, *self.far_runners):
            runner.rejects_place_orders = True
        for runner in (self.near_runners[1], self.far_runners[1]):
            await runner.stop()
        answers = [await self.request_stream(5) for _ in range(6)]
        self.assertEqual([answer.status for answer in answers], [503] * 6)
        self.assertEqual(self.group.executed_request_ids, [])
        # Retry-After leaves enough time to load the missing layers.
        for answer in answers[2:]:
            self.assertGreater(
                float(answer.headers["Retry-After"]), REPLACEMENT_DELAY_S
            )
        # Each of the two crashed stages was detected with one attempt.
        attempts = [
            len(runner.received_headers)
            for runner in (self.near_runners[0], self.far_runners[0])
        ]
        self.assertLessEqual(sum(attempts), 2)

    async def test_request_refused_by_full_runners_did_not_run_and_has_retry_after(
        self,
    ) -> None:
        for runner in (self.near_runners[0], self.far_runners[0]):
            runner.is_full = True
        answer = await self.request_stream(5)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.assertEqual(self.group.executed_request_ids, [])

    async def test_draining_runner_gets_no_new_streams(self) -> None:
        self.near_runners[0].draining = True
        fleet = self.gateway.gateway.fleet
        name = self.near_runners[0].name
        await self.wait_until(lambda: fleet.backend_by_name[name].announcement.draining)
        await self.request_stream(5)
        self.assertEqual(self.near_runners[0].received_headers, [])

    async def test_log_of_a_disconnected_caller_has_attempts_and_events(self) -> None:
        self.slow_events()
        first_event = asyncio.Event()

        async def _detect_event(body: bytes) -> None:
            if b"id:" in body:
                first_event.set()

        with self.assertLogs("yuccareach.gateway", logging.INFO) as logs:
            request_task = asyncio.create_task(self.request_stream(100, _detect_event))
            await first_event.wait()
            request_task.cancel()
            await asyncio.gather(request_task, return_exceptions=True)
            await self.wait_until(lambda: self.gateway.gateway.active_requests == 0)
        ends = [vars(line) for line in logs.records if line.msg == "request_ended"]
        self.assertEqual([end["reason"] for end in ends], ["caller_left"])
        self.assertEqual(ends[0]["attempts"], 1)
        self.assertGreater(ends[0]["events"], 0)


class PlainCallTests(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.runners = [await self.add_runner(f"p{number}") for number in range(2)]
        await self.wait_until_known("p0", "p1")

    async def test_answer_of_a_runner_is_forwarded_unchanged(self) -> None:
        answer = await self.send_request("/claim/1", "r1")
        self.assertEqual((answer.status, answer.body), (200, b"x"))
        self.assertTrue(answer.headers["Yuccareach-Runner-Signature"].endswith("r1"))

    async def test_requests_without_a_valid_key_or_route_are_refused(self) -> None:
        self.assertEqual(
            (await self.send_request("/claim/1", "r1", key="no")).status, 401
        )
        self.assertEqual(
            (await self.send_request("/claim/1", "r2", key=None)).status, 401
        )
        self.assertEqual((await self.send_request("/none/1", "r3")).status, 404)
        self.assertEqual(
            (await self.send_request("/open/1", "r4", key=None)).status, 200
        )
        self.assertEqual(self.group.executed_request_ids, ["r4"])

    async def test_non_idempotent_call_that_may_have_run_is_not_sent_again(
        self,
    ) -> None:
        for runner in self.runners:
            runner.is_silent = True
        answer = await self.send_request("/claim/1", "r1", Yuccareach_Deadline_Ms="300")
        self.assertEqual(answer.status, 504)
        self.assertEqual(sum(len(r.received_headers) for r in self.runners), 1)

    async def test_idempotent_call_is_retried_if_a_runner_does_not_answer(self) -> None:
        self.runners[0].is_silent = True
        answer = await self.send_request("/look/1", "r1", method="GET")
        self.assertEqual(answer.status, 200)

    async def test_error_of_a_runner_is_forwarded(self) -> None:
        for runner in self.runners:
            runner.answer_status = 500
        answer = await self.send_request("/claim/1", "r1")
        self.assertEqual(answer.status, 500)
        self.assertIn("Yuccareach-Runner-Signature", answer.headers)

    async def test_call_to_a_full_service_is_refused_with_retry_after(self) -> None:
        for runner in self.runners:
            runner.is_full = True
        answer = await self.send_request("/claim/1", "r1")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)

    async def test_call_is_not_run_by_another_runner_at_a_reused_address(self) -> None:
        # The gateway still has the former name of the runner at this address.
        self.runners[0].name = "reborn"
        self.runners[1].is_full = True
        answer = await self.send_request("/claim/1", "r1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.group.executed_request_ids, [])


class DocumentTests(DeploymentTestCase):
    async def test_highest_version_is_in_force_and_older_ones_are_acknowledged(
        self,
    ) -> None:
        control = self.control_address
        other = build_document(routes=[build_route("/new/", "safe", PLAIN)])
        for version, content in (
            (9, other),
            (8, build_document()),
            (9, build_document()),
        ):
            status = await put_document(control, {**content, "version": version})
            self.assertEqual(status, 200)
        status, content = await get_document(control)
        self.assertEqual(status, 200)
        self.assertEqual(json.loads(content), {**other, "version": 9})
        gateway = self.gateway.gateway
        await self.wait_until(lambda: gateway.table and gateway.table.version == 9)
        self.assertEqual((await self.send_request("/claim/1", "r1")).status, 404)

    async def test_invalid_document_changes_nothing(self) -> None:
        invalid = build_document(
            version=9, routes=[build_route("/a/", "safe", "unknown")]
        )
        self.assertEqual(await put_document(self.control_address, invalid), 400)
        _, content = await get_document(self.control_address)
        self.assertEqual(json.loads(content)["version"], 7)

    async def test_malformed_heartbeat_is_rejected_and_the_member_remains(self) -> None:
        await self.add_runner("p0")
        await self.wait_until_known("p0")
        url = f"http://{self.control_address}/-/runners/p0/heartbeat"
        for body in (b"{", b"[]", b'{"service": 3}'):
            async with self.http_session.post(url, data=body) as answer:
                self.assertEqual(answer.status, 400)
        self.assertEqual((await self.send_request("/claim/1", "r1")).status, 200)


class RevocationTests(DeploymentTestCase):
    revocation_ms = 1_200

    async def test_requests_with_a_key_are_refused_if_control_is_unreachable(
        self,
    ) -> None:
        await self.add_runner("p0")
        await self.wait_until_known("p0")
        self.assertEqual((await self.send_request("/claim/1", "r1")).status, 200)
        await self.stop_control()
        await self.wait_until(lambda: not self.gateway.gateway.has_lease)
        answer = await self.send_request("/claim/1", "r2")
        self.assertEqual(answer.status, 503)
        self.assertEqual(
            (await self.send_request("/open/1", "r3", key=None)).status, 200
        )
        self.assertFalse(self.gateway.gateway.is_ready)


class PlacementTests(DeploymentTestCase):
    async def test_runners_without_layers_are_ordered_to_load_a_model(self) -> None:
        runners = [
            await self.add_runner(f"{zone}-{kind}-{number}", kind, zone=zone)
            for zone in ("z1", "z2")
            for kind, count in (("a100", 1), ("l40s", 4), ("l4", 1))
            for number in range(count)
        ]
        fleet = self.gateway.gateway.fleet
        loaded_runners = [runner for runner in runners if runner.kind != "l4"]
        await self.wait_until(
            lambda: all(runner.layers.size for runner in loaded_runners)
        )
        await self.wait_until(
            lambda: sum(
                backend.announcement.end_layer - backend.announcement.first_layer
                for backend in fleet.backend_by_name.values()
            )
            >= 160
        )
        answer = await self.send_request("/draft/1", "r1", events=10)
        self.assertEqual(read_event_ids(answer), list(range(1, 11)))
        (path,) = [
            runner.path_by_request["r1"]
            for runner in runners
            if "r1" in runner.path_by_request
        ]
        self.assertTrue(is_complete_path(path, 80))
        self.assertEqual({runner.service for runner in runners}, {MODEL})


class DrainTests(DeploymentTestCase):
    async def test_drain_completes_streams_in_flight(self) -> None:
        for runner in await self.add_pipeline("z1"):
            runner.event_interval_s = 0.05
        await self.wait_until_known("z1-1", "z1-2", "z1-3")
        stream = asyncio.create_task(self.send_request("/draft/1", "r1", events=70))
        await self.wait_until(lambda: self.gateway.gateway.streams)
        await self.gateway.drain()
        self.assertFalse(self.gateway.gateway.is_ready)
        answer = await stream
        self.assertTrue(answer.is_complete)
        self.assertEqual(len(read_event_ids(answer)), 70)

    async def test_stream_too_long_for_the_rest_of_a_shutdown_is_not_accepted(
        self,
    ) -> None:
        await self.add_pipeline("z1")
        await self.wait_until_known("z1-1", "z1-2", "z1-3")
        drain = asyncio.create_task(self.gateway.drain())
        await self.wait_until(lambda: not self.gateway.gateway.is_ready)
        short = await self.send_request("/draft/1", "short", events=10)
        self.assertEqual(len(read_event_ids(short)), 10)
        long = await self.send_request("/draft/1", "long", events=4_000)
        self.assertEqual(long.status, 503)
        self.assertLess(float(long.headers["Retry-After"]), 1.0)
        self.assertNotIn("long", self.group.executed_request_ids)
        await drain

    async def begin_shutdown(self, remaining_s: float) -> None:
        """Let a shutdown begin that ends what still runs after a time."""
        gateway = self.gateway.gateway
        gateway.settings = gateway.settings._replace(
            grace_period_s=remaining_s + GRACE_MARGIN_S
        )
        # New callers are still routed here.
        delay = mock.patch.object(run, "ROTATION_EXIT_DELAY_S", remaining_s)
        self.enterContext(delay)
        drain = asyncio.create_task(self.gateway.drain())
        self.addCleanup(drain.cancel)
        await self.wait_until(lambda: not gateway.is_ready)

    async def test_call_late_in_the_grace_period_was_sent_and_left_in_doubt(
        self,
    ) -> None:
        runner = await self.add_runner("p1")
        await self.wait_until_known("p1")
        runner.faults.silence_on_arrival_s = 0.6
        for path in ("/claim/1", "/look/1"):
            self.assertEqual((await self.send_request(path, path[1:])).status, 200)
        await self.begin_shutdown(1.5)
        # Each of these ends before the rest of the grace period does.
        self.assertEqual((await self.send_request("/claim/1", "r1")).status, 200)
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        for path in ("/claim/1", "/look/1"):
            started_s = loop.time()
            answer = await self.send_request(path, f"late-{path[1:]}")
            self.assertEqual(answer.status, 503)
            self.assertLess(float(answer.headers["Retry-After"]), 1.0)
            self.assertLess(loop.time() - started_s, 0.3)
        self.assertNotIn("late-claim/1", self.group.executed_request_ids)
        self.assertNotIn("late-look/1", self.group.executed_request_ids)

    async def test_short_call_late_in_the_grace_period_is_served(self) -> None:
        await self.add_runner("p1")
        await self.wait_until_known("p1")
        self.assertEqual((await self.send_request("/claim/1", "r1")).status, 200)
        await self.begin_shutdown(1.0)
        await asyncio.sleep(0.5)
        # Its own deadline of 4 s is later than the end of the grace period.
        self.assertEqual((await self.send_request("/claim/1", "r2")).status, 200)

    async def test_calls_that_a_limit_holds_back_are_refused_at_once_in_a_shutdown(
        self,
    ) -> None:
        runner = await self.add_runner("p1")
        await self.wait_until_known("p1")
        runner.faults.stated_limits = ("2.0",)
        self.gateway.gateway.awaiting_members_until_s = 0.0
        self.assertEqual((await self.send_request("/claim/1", "r1")).status, 200)
        await self.begin_shutdown(1.0)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answers = await asyncio.gather(
            *(self.send_request("/claim/1", f"late-{number}") for number in range(8))
        )
        self.assertLess(loop.time() - started_s, 1.0)
        self.assertIn(503, {answer.status for answer in answers})
        served = [answer for answer in answers if answer.status == 200]
        # None of the others has run.
        self.assertEqual(len(self.group.executed_request_ids), 1 + len(served))

    async def test_call_that_outlasts_the_grace_period_is_not_cut_off(self) -> None:
        runner = await self.add_runner("p1")
        await self.wait_until_known("p1")
        runner.is_silent = True
        call = asyncio.create_task(self.send_request("/look/1", "r1"))
        await self.wait_until(lambda: runner.received_headers)
        await self.gateway.stop()
        self.assertEqual((await call).status, 504)

    async def test_stream_that_waits_when_the_grace_period_ends_is_not_cut_off(
        self,
    ) -> None:
        self.gateway.gateway.awaiting_members_until_s = float("inf")
        stream = asyncio.create_task(self.send_request("/draft/1", "r1", events=5))
        await self.wait_until(lambda: self.gateway.gateway.streams)
        await self.gateway.stop()
        answer = await stream
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)

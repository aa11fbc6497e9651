"""Tests of servers that fall silent for a while and go on, beside those that end.

A silent server may still run what it was sent. Only the proof that it has ended makes
an attempt free of the route's limit, and an answer is never cut for a silence.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any
from unittest import mock

from tests.platform.deployment import Answer, DeploymentTestCase, read_event_ids
from tests.platform.examples import (
    MODEL,
    PLAIN,
    build_document,
    build_engine,
    build_route,
)
from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.platform.standin import put_document
from yuccareach.quarantine.counts import QUARANTINE_LOSS_THRESHOLD
from yuccareach.quarantine.table import (
    LossCount,
    compute_retention_ms,
    merge_count,
)

if TYPE_CHECKING:
    from yuccareach.platform.standin import Runner

MAX_ATTEMPTS = 2
# "A second or so", as the platform's pages say of sound servers.
SILENCE_S = 1.3
EVENTS = 20
EVENT_IDS = list(range(1, EVENTS + 1))
SILENT_AFTER_EVENTS = 4
CALLERS = 6
QUARANTINED_COUNT = LossCount(0, QUARANTINE_LOSS_THRESHOLD)


def build_small_document() -> dict[str, Any]:
    """Return a document whose model fits on one server, with routes of each kind."""
    stream = {"targetGapMs": 200, "timeoutMs": 15_000, "streamResume": True}
    routes = [
        build_route("/draft/", "stream", MODEL, **stream),
        build_route("/once/", "stream", MODEL, **{**stream, "maxAttempts": 1}),
        build_route("/fixed/", "stream", MODEL, **{**stream, "streamResume": False}),
        build_route("/look/", "safe", PLAIN),
        build_route("/single/", "safe", PLAIN, maxAttempts=1),
        build_route("/claim/", "unsafe", PLAIN, maxAttempts=1),
    ]
    document = build_document(version=8, routes=routes)
    document["services"][0]["engine"] = {**build_engine(), "layerMb": 100.0}
    return document


class SilentServersTestCase(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        status = await put_document(self.control_address, build_small_document())
        self.assertEqual(status, 200)
        gateway = self.gateway.gateway
        await self.wait_until(lambda: gateway.table and gateway.table.version == 8)
        self.runners: list[Runner] = []
        self.set_retry_budget(RetryBudgetLimits(1, 1_000, 10))

    async def add_runners(self, *ranges: tuple[int, int], count: int = 4) -> None:
        """Add servers that hold each of these ranges of layers; plain ones if none."""
        for number in range(count):
            for letter, (first, end) in zip("abc", ranges or ((0, 0),), strict=False):
                kind = "a100" if ranges else ""
                runner = await self.add_runner(f"{letter}{number}", kind, first, end)
                runner.rejects_place_orders = True
                runner.event_interval_s = 0.01
                self.runners.append(runner)
        await self.wait_until_known(*(runner.name for runner in self.runners))

    def find_runner(self, name: str) -> Runner:
        return next(runner for runner in self.runners if runner.name == name)

    def list_servers(self, request_id: str) -> list[str]:
        """Return the servers that a request has reached, in order."""
        return [
            item.runner for item in self.group.arrivals if item.request == request_id
        ]

    def set_retry_budget(self, limits: RetryBudgetLimits) -> None:
        for service in (MODEL, PLAIN):
            self.gateway.gateway.get_retry_budget(service).limits = limits

    async def request_all(self, path: str, events: int = 0) -> None:
        """Send requests at once, and check how many servers each has reached."""
        answers = await asyncio.gather(
            *(
                self.request(path, f"r{number}", events=events)
                for number in range(CALLERS)
            )
        )
        for answer in answers:
            self.assert_answered(answer, events)
        for number in range(CALLERS):
            servers = self.list_servers(f"r{number}")
            self.assertLessEqual(len(set(servers)), MAX_ATTEMPTS, servers)

    async def request(
        self, path: str, request_id: str, *, events: int = 0, on_event: Any = None
    ) -> Answer:
        return await self.send_request(
            path,
            request_id,
            method="GET" if path in ("/look/1", "/single/1") else "POST",
            events=events,
            on_event=on_event,
            body=b"" if path in ("/look/1", "/single/1") else request_id.encode(),
            Yuccareach_Deadline_Ms="8000",
        )

    def assert_answered(self, answer: Answer, events: int) -> None:
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_complete)
        if events:
            self.assertEqual(read_event_ids(answer), EVENT_IDS)

    async def assert_runs_once(self, path: str, events: int = 0) -> None:
        """Assert that a request is answered by the first server that it reaches."""
        answer = await self.request(path, "r1", events=events)
        self.assert_answered(answer, events)
        self.assertEqual(len(self.list_servers("r1")), 1)

    def make_silent_on_arrival(self) -> None:
        for runner in self.runners:
            runner.faults.silence_on_arrival_s = SILENCE_S

    def make_silent_midway(self) -> None:
        for runner in self.runners:
            runner.faults.silence_after_events = SILENT_AFTER_EVENTS
            runner.faults.silence_after_events_s = SILENCE_S

    async def crash_runners_under(self, request_id: str, count: int) -> None:
        """Crash the first servers that a request reaches, each at its arrival."""
        for number in range(count):
            await self.wait_until(
                lambda number=number: len(self.list_servers(request_id)) > number
            )
            self.find_runner(self.list_servers(request_id)[number]).crash()


class StreamTests(SilentServersTestCase):
    async def test_streams_to_servers_silent_on_arrival_are_answered(self) -> None:
        await self.add_runners((0, 80))
        self.make_silent_on_arrival()
        await self.request_all("/draft/1", EVENTS)

    async def test_streams_to_chains_silent_on_arrival_are_answered(self) -> None:
        await self.add_runners((0, 40), (40, 80))
        self.make_silent_on_arrival()
        await self.request_all("/draft/1", EVENTS)

    async def test_streams_over_servers_silent_midway_are_not_cut(self) -> None:
        await self.add_runners((0, 80))
        self.make_silent_midway()
        await self.request_all("/draft/1", EVENTS)

    async def test_streams_over_chains_silent_midway_are_not_cut(self) -> None:
        await self.add_runners((0, 40), (40, 80))
        self.make_silent_midway()
        await self.request_all("/draft/1", EVENTS)

    async def test_stream_with_one_attempt_waits_for_it(self) -> None:
        await self.add_runners((0, 80))
        self.make_silent_on_arrival()
        await self.assert_runs_once("/once/1", EVENTS)

    async def test_stream_that_cannot_be_resumed_waits_for_its_attempt(self) -> None:
        await self.add_runners((0, 80))
        self.make_silent_midway()
        await self.assert_runs_once("/fixed/1", EVENTS)

    async def test_stream_without_retry_budget_waits_for_its_attempt(self) -> None:
        await self.add_runners((0, 80))
        self.set_retry_budget(RetryBudgetLimits(0, 0, 10))
        self.make_silent_midway()
        await self.assert_runs_once("/draft/1", EVENTS)

    async def test_stream_without_another_chain_waits_for_its_attempt(self) -> None:
        await self.add_runners((0, 80), count=1)
        self.make_silent_on_arrival()
        await self.assert_runs_once("/draft/1", EVENTS)

    async def test_stream_that_all_others_refuse_is_answered(self) -> None:
        await self.add_runners((0, 80))
        self.make_silent_on_arrival()

        async def _fill_others() -> None:
            await self.wait_until(lambda: self.list_servers("r1"))
            for runner in self.runners:
                if runner.name != self.list_servers("r1")[0]:
                    runner.is_full = True
                    runner.faults.silence_on_arrival_s = 0.0

        answer, _ = await asyncio.gather(
            self.request("/draft/1", "r1", events=EVENTS), _fill_others()
        )
        self.assert_answered(answer, EVENTS)

    async def test_quarantined_stream_waits_for_its_attempt(self) -> None:
        await self.add_runners((0, 80))
        self.make_silent_on_arrival()
        gateway = self.gateway.gateway

        async def _quarantine() -> None:
            await self.wait_until(lambda: self.list_servers("r1"))
            (run,) = gateway.streams
            merge_count(
                gateway.quarantine,
                run.admitted.fingerprint,
                QUARANTINED_COUNT,
                compute_retention_ms(QUARANTINED_COUNT),
                gateway.now_ms(),
            )

        await asyncio.gather(self.assert_runs_once("/draft/1", EVENTS), _quarantine())

    async def test_stream_whose_silent_servers_depart_stays_within_its_attempts(
        self,
    ) -> None:
        # Guards against uncounted attempts: a server whose heartbeats were late had
        # departed while its stream was silent.
        await self.add_runners((0, 80))
        departed: set[str] = set()

        async def _depart(body: bytes) -> None:
            name = self.list_servers("r1")[-1]
            if body.count(b"id:") % 5 == 4 and name not in departed:
                departed.add(name)
                self.find_runner(name).faults.begin_silence(SILENCE_S)
                self.gateway.gateway.fleet.update([], [name])

        answer = await self.request("/draft/1", "r1", events=EVENTS, on_event=_depart)
        self.assertTrue(departed)
        self.assert_answered(answer, EVENTS)
        self.assertLessEqual(len(self.list_servers("r1")), MAX_ATTEMPTS)

    async def test_streams_of_departed_servers_that_prefill_are_not_moved(self) -> None:
        # Guards against retries that were used up for servers whose heartbeats were
        # late, which still processed the prompts.
        await self.add_runners((0, 80))
        for runner in self.runners:
            runner.faults.silence_on_arrival_s = 0.3
        gateway = self.gateway.gateway

        async def _depart() -> None:
            await self.wait_until(lambda: len(self.group.arrivals) == CALLERS)
            names = [runner.name for runner in self.runners]
            for name in names:
                self.find_runner(name).heartbeat_task.cancel()
            gateway.fleet.update([], names[:2])

        await asyncio.gather(self.request_all("/draft/1", EVENTS), _depart())
        servers = [self.list_servers(f"r{number}") for number in range(CALLERS)]
        self.assertTrue(any(names[0] in ("a0", "a1") for names in servers), servers)
        self.assertTrue(all(len(names) == 1 for names in servers), servers)

    async def request_over_dark_server(self, dark_s: float) -> float:
        """Request a stream whose first server neither sends nor accepts connections.

        Return the longest pause between parts of the answer, in seconds.
        """
        await self.add_runners((0, 80))
        loop = asyncio.get_running_loop()
        arrivals_s: list[float] = []
        patches: list[Any] = []

        async def _hang() -> None:
            await asyncio.sleep(60)

        async def _darken(body: bytes) -> None:
            arrivals_s.append(loop.time())
            if body.count(b"id:") >= SILENT_AFTER_EVENTS and not patches:
                name = self.list_servers("r1")[0]
                self.find_runner(name).faults.begin_silence(dark_s)
                pool = self.gateway.gateway.fleet.backend_by_name[name].pool
                patches.append(mock.patch.object(pool, "connect", _hang))
                patches[0].start()
                self.addCleanup(patches[0].stop)
                loop.call_later(dark_s, patches[0].stop)

        answer = await self.request("/draft/1", "r1", events=EVENTS, on_event=_darken)
        self.assertTrue(patches)
        self.assert_answered(answer, EVENTS)
        self.assertLessEqual(len(self.list_servers("r1")), MAX_ATTEMPTS)
        return max(later - earlier for earlier, later in itertools.pairwise(arrivals_s))

    async def test_stream_over_a_server_dark_for_a_while_is_answered(self) -> None:
        await self.request_over_dark_server(SILENCE_S)

    async def test_stream_over_a_server_dark_for_good_goes_on_elsewhere(self) -> None:
        pause_s = await self.request_over_dark_server(60)
        # Connecting shows it sooner than a report that does not come within 0.4 s.
        self.assertLess(pause_s, 0.7)

    async def test_crashed_servers_do_not_count_against_the_attempts(self) -> None:
        await self.add_runners((0, 80), count=5)
        for runner in self.runners:
            runner.event_interval_s = 0.05
            runner.restart_delay_s = 30.0
        answer, _ = await asyncio.gather(
            self.request("/draft/1", "r1", events=EVENTS),
            self.crash_runners_under("r1", MAX_ATTEMPTS),
        )
        self.assert_answered(answer, EVENTS)
        self.assertEqual(len(self.list_servers("r1")), MAX_ATTEMPTS + 1)


class RerouteTests(SilentServersTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.add_runners((0, 40), (40, 80))
        for runner in self.runners:
            runner.event_interval_s = 0.02

    def get_later_stage(self) -> Runner | None:
        """Return the later stage of the stream, if it has started."""
        for runner in self.runners:
            path = runner.path_by_request.get("r1")
            if path is not None and self.list_servers("r1")[-1] == runner.name:
                return self.group.runner_by_address.get(path[1][0])
        return None

    async def test_reroutes_around_slow_stages_count_against_the_attempts(self) -> None:
        loop = asyncio.get_running_loop()
        used: set[str] = set()

        async def _slow_later_stages() -> None:
            await self.wait_until(lambda: self.get_later_stage() is not None)
            end_s = loop.time() + 4.0
            while loop.time() < end_s:
                runner = self.get_later_stage()
                if runner is not None:
                    used.add(runner.name)
                    runner.slowdown = 50.0
                await asyncio.sleep(0.01)
            for runner in self.runners:
                runner.slowdown = 1.0

        answer, _ = await asyncio.gather(
            self.request("/draft/1", "r1", events=EVENTS), _slow_later_stages()
        )
        self.assert_answered(answer, EVENTS)
        self.assertLessEqual(len(used), MAX_ATTEMPTS, used)
        self.assertLessEqual(len(self.list_servers("r1")), MAX_ATTEMPTS)

    async def test_reroutes_around_ended_stages_do_not_count(self) -> None:
        for runner in self.runners:
            runner.restart_delay_s = 30.0
        crashed: list[str] = []

        async def _crash_later_stage(body: bytes) -> None:
            runner = self.get_later_stage()
            is_due = body.count(b"id:") >= 5 * len(crashed) + 3
            if not is_due or len(crashed) == MAX_ATTEMPTS:
                return
            if runner is not None and runner.name not in crashed:
                crashed.append(runner.name)
                runner.crash()

        answer = await self.request(
            "/draft/1", "r1", events=EVENTS, on_event=_crash_later_stage
        )
        self.assertEqual(len(crashed), MAX_ATTEMPTS)
        self.assert_answered(answer, EVENTS)
        self.assertEqual(len(self.list_servers("r1")), 1)


class PlainCallTests(SilentServersTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.add_runners()

    async def test_calls_to_silent_servers_are_answered(self) -> None:
        self.make_silent_on_arrival()
        await self.request_all("/look/1")

    async def test_call_with_one_attempt_waits_for_it(self) -> None:
        self.make_silent_on_arrival()
        await self.assert_runs_once("/single/1")

    async def test_non_idempotent_call_waits_for_its_attempt(self) -> None:
        self.make_silent_on_arrival()
        await self.assert_runs_once("/claim/1")

    async def test_call_without_retry_budget_waits_for_its_attempt(self) -> None:
        self.set_retry_budget(RetryBudgetLimits(0, 0, 10))
        for runner in self.runners:
            runner.faults.silence_on_arrival_s = 2 * SILENCE_S
        await self.assert_runs_once("/look/1")

    async def test_call_that_all_others_refuse_is_answered(self) -> None:
        for runner in self.runners:
            runner.faults.silence_on_arrival_s = 2 * SILENCE_S

        async def _fill_others() -> None:
            await self.wait_until(lambda: self.list_servers("r1"))
            for runner in self.runners:
                if runner.name != self.list_servers("r1")[0]:
                    runner.is_full = True
                    runner.faults.silence_on_arrival_s = 0.0

        answer, _ = await asyncio.gather(self.request("/look/1", "r1"), _fill_others())
        self.assert_answered(answer, 0)

    async def test_call_to_the_last_server_waits_for_it(self) -> None:
        for runner in self.runners[1:]:
            await runner.stop()
        self.runners[0].faults.silence_on_arrival_s = 2 * SILENCE_S
        answer = await self.request("/look/1", "r1")
        self.assert_answered(answer, 0)

    async def test_crashed_servers_do_not_count_against_the_attempts(self) -> None:
        for runner in self.runners:
            runner.restart_delay_s = 30.0
            runner.faults.silence_on_arrival_s = 0.5
        answer, _ = await asyncio.gather(
            self.request("/look/1", "r1"), self.crash_runners_under("r1", MAX_ATTEMPTS)
        )
        self.assert_answered(answer, 0)
        self.assertEqual(len(self.list_servers("r1")), MAX_ATTEMPTS + 1)

"""Tests of the bounds on one client attempt: its runs, and the time handed on."""

from __future__ import annotations

import asyncio

from tests.platform.deployment import DeploymentTestCase
from tests.platform.examples import build_route

MAX_ATTEMPTS: int = build_route("/", "safe", "s")["maxAttempts"]
DEADLINE_MS = 4_000
# By how much the time handed on may exceed what is left, by the platform's bound.
MAX_EXCESS_MS = 500


class PlainCallTests(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        names = [f"p{number}" for number in range(4)]
        self.runners = [await self.add_runner(name) for name in names]
        await self.wait_until_known(*names)

    async def test_failing_call_runs_on_no_more_runners_than_its_route_allows(
        self,
    ) -> None:
        for runner in self.runners:
            runner.answer_status = 500
        answer = await self.send_request("/look/1", "r1", method="GET")
        self.assertEqual(answer.status, 500)
        self.assertEqual(self.group.executed_request_ids, ["r1"] * MAX_ATTEMPTS)

    async def test_retry_after_silence_is_handed_only_the_time_that_is_left(
        self,
    ) -> None:
        for runner in self.runners:
            runner.is_silent = True
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        request = asyncio.create_task(self.send_request("/look/1", "r1", method="GET"))
        arrivals: list[tuple[float, int]] = []
        while not request.done():
            received = [
                headers for item in self.runners for headers in item.received_headers
            ]
            if len(received) > len(arrivals):
                handed_ms = min(
                    int(headers["Yuccareach-Deadline-Ms"]) for headers in received
                )
                arrivals.append((loop.time() - started_s, handed_ms))
            await asyncio.sleep(0.005)
        await request
        self.assertEqual(len(arrivals), MAX_ATTEMPTS)
        self.assertGreater(arrivals[1][0], 0.5)
        for elapsed_s, handed_ms in arrivals:
            self.assertLess(handed_ms, DEADLINE_MS - 1000 * elapsed_s + MAX_EXCESS_MS)


class StreamTests(DeploymentTestCase):
    async def test_breaking_stream_runs_on_no_more_chains_than_its_route_allows(
        self,
    ) -> None:
        first_stages = []
        for number in range(4):
            first = await self.add_runner(f"a{number}", "a100", 0, 40, "z1")
            await self.add_runner(f"b{number}", "a100", 40, 80, "z1")
            first.abort_after_events = 3
            first_stages.append(first)
        await self.wait_until_known(
            *(f"{letter}{number}" for letter in "ab" for number in range(4))
        )
        answer = await self.send_request("/draft/1", "r1", events=20)
        self.assertFalse(answer.is_complete)
        self.assertEqual(len(self.group.executed_request_ids), MAX_ATTEMPTS)

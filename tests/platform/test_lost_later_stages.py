"""Tests of streams whose later stage ends or is cut off from the network."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from tests.platform.examples import MODEL
from tests.platform.test_silent_servers import EVENTS, SilentServersTestCase
from yuccareach.placement.assignments import LayerRange

if TYPE_CHECKING:
    from yuccareach.platform.standin import Runner

# A backend server cuts a stream off after this time over a stage that is cut off.
STALL_S = 3.0
LOSS_AFTER_EVENTS = 5


class LaterStageTestCase(SilentServersTestCase):
    def get_path(self) -> tuple[Runner, Runner]:
        """Return the first and the later stage of the stream."""
        first = self.find_runner(self.list_servers("r1")[0])
        return first, self.group.runner_by_address[first.path_by_request["r1"][1][0]]

    def cut_off(self, later: Runner) -> None:
        """Let a server neither run its stage nor accept connections any more."""

        async def _hang() -> None:
            await asyncio.sleep(60)

        pool = self.gateway.gateway.fleet.backend_by_name[later.name].pool
        pool.close()
        patch = mock.patch.object(pool, "connect", _hang)
        patch.start()
        self.addCleanup(patch.stop)
        later.heartbeat_task.cancel()  # type: ignore[attr-defined]
        later.layers = LayerRange(0, 0)


class CutOffTests(LaterStageTestCase):
    async def assert_rerouted(self, path: str) -> None:
        """Assert that a stream over a stage that is cut off goes on before its end."""
        await self.add_runners((0, 40), (40, 80), count=3)
        for runner in self.runners:
            runner.event_interval_s = 0.03
        lost: list[Runner] = []
        delays_s: list[float] = []
        loop = asyncio.get_running_loop()

        async def _cut_off_later_stage(body: bytes) -> None:
            if lost:
                delays_s.append(loop.time())
            elif body.count(b"id:") >= LOSS_AFTER_EVENTS:
                lost.append(self.get_path()[1])
                delays_s.append(loop.time())
                self.cut_off(lost[0])

        answer = await self.request(
            path, "r1", events=EVENTS, on_event=_cut_off_later_stage
        )
        self.assert_answered(answer, EVENTS)
        self.assertEqual(len(self.list_servers("r1")), 1)
        pauses_s = (later - earlier for earlier, later in zip(delays_s, delays_s[1:]))
        self.assertLess(max(pauses_s), STALL_S)

    async def test_stream_that_cannot_be_resumed_is_rerouted(self) -> None:
        # Guards against streams that were cut off, since a reroute was taken for a
        # retry.
        await self.assert_rerouted("/fixed/1")

    async def test_stream_with_one_attempt_is_rerouted(self) -> None:
        await self.assert_rerouted("/once/1")

    async def test_stream_with_more_attempts_is_rerouted(self) -> None:
        await self.assert_rerouted("/draft/1")

    async def test_reroute_does_not_wait_until_the_loss_is_counted(self) -> None:
        # Guards against reroutes that waited for another probe of a stage that a probe
        # had just found silent, and took longer than callers accept a pause.
        async def _count_without_end(*args: object) -> None:
            await asyncio.Event().wait()

        with mock.patch(
            "yuccareach.gateway.stalls.record_broken_attempt", _count_without_end
        ):
            await self.assert_rerouted("/draft/1")


class EndedTests(LaterStageTestCase):
    async def measure_pause_s(self, *, is_other_zone_avoided: bool) -> float:
        """Return the longest pause of a stream whose later stage ends."""
        for name, first, end, zone in (
            ("a0", 0, 40, "z1"),
            ("b0", 40, 80, "z1"),
            ("c0", 0, 40, "z2"),
            ("d0", 40, 80, "z2"),
        ):
            runner = await self.add_runner(name, "a100", first, end, zone)
            runner.rejects_place_orders = True
            runner.event_interval_s = 0.03
            runner.restart_delay_s = 30.0
            self.runners.append(runner)
        await self.wait_until_known("a0", "b0", "c0", "d0")
        gateway = self.gateway.gateway
        loop = asyncio.get_running_loop()
        arrivals_s: list[float] = []
        crashed: list[str] = []

        async def _end_later_stage(body: bytes) -> None:
            arrivals_s.append(loop.time())
            if body.count(b"id:") < LOSS_AFTER_EVENTS or crashed:
                return
            first, later = self.get_path()
            crashed.append(later.name)
            if is_other_zone_avoided:
                name = "c0" if first.name == "a0" else "a0"
                other = gateway.fleet.backend_by_name[name]
                other.avoid_until_s = gateway.now() + 2 * STALL_S
            later.crash()

        answer = await self.request(
            "/draft/1", "r1", events=EVENTS, on_event=_end_later_stage
        )
        self.assertEqual(len(crashed), 1)
        self.assert_answered(answer, EVENTS)
        return max(b - a for a, b in zip(arrivals_s, arrivals_s[1:]))

    async def test_stream_goes_on_while_another_zone_is_avoided(self) -> None:
        # Guards against streams that waited for a stage that had ended.
        pause_s = await self.measure_pause_s(is_other_zone_avoided=True)
        self.assertLess(pause_s, STALL_S)
        budget = self.gateway.gateway.get_retry_budget(MODEL)
        self.assertEqual(len(budget.retry_times_s), 0)

    async def test_stream_is_resumed_in_another_zone(self) -> None:
        pause_s = await self.measure_pause_s(is_other_zone_avoided=False)
        self.assertLess(pause_s, STALL_S)

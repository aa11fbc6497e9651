"""Tests of backend servers that state how many requests a second they take."""

from __future__ import annotations

import asyncio
import bisect
import itertools
import random

from tests.platform.deployment import Answer, DeploymentTestCase
from yuccareach.gateway.run import GatewayProcess
from yuccareach.gateway.server_calls import request_report
from yuccareach.platform.standin import Runner

# From this time after a server first stated a limit, the platform judges the arrivals
# in any span of WINDOW_S.
CONTACT_S = 3.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
SLACK_REQUESTS = 5
# A server that states a limit gets at least this fraction of it while there is load.
MIN_USED_FRACTION = 0.5
# Requests a second that are served of 30 where servers take 8 in all.
OFFERED_PER_S = 30.0
MIN_SERVED_PER_S = 6.0
LOAD_S = CONTACT_S + WINDOW_S + 0.5
PROMPT_REFUSAL_S = 0.5


def count_in_window(times_s: list[float], from_s: float) -> int:
    """Return the most arrivals in any span of WINDOW_S that starts at from_s or later.

    The times are in order.
    """
    late_s = [time_s for time_s in times_s if time_s >= from_s]
    return max(
        (
            bisect.bisect_left(late_s, start_s + WINDOW_S) - index
            for index, start_s in enumerate(late_s)
        ),
        default=0,
    )


def compute_allowance(limit_per_s: float) -> float:
    """Return the arrivals that the platform allows in any span of WINDOW_S."""
    return LIMIT_FACTOR * limit_per_s * WINDOW_S + SLACK_REQUESTS


class LimitedTestCase(DeploymentTestCase):
    """A deployment under a steady load, some of whose runners state a limit."""

    path = "/look/1"
    events = 0
    gateways: list[GatewayProcess]
    runners: list[Runner]

    async def add_gateways(self, count: int) -> None:
        """Start further gateways, so that there are so many in all."""
        names = [f"gateway-{number}" for number in range(1, count)]
        self.gateways = [self.gateway, *[await self.add_gateway(n) for n in names]]

    async def wait_until_all_known(self) -> None:
        """Wait until every gateway knows all members and how many gateways there are.

        After the start of all of them, control counts no gateways for a while.
        """
        for process in self.gateways:
            gateway = process.gateway
            names = (runner.name for runner in self.runners)
            await self.wait_until_known(*names, gateway=process)
            await self.wait_until(lambda: not gateway.is_awaiting_members)
            await self.wait_until(lambda: gateway.entry_count == len(self.gateways))

    async def apply_load(
        self, rate_per_s: float, duration_s: float, weights: tuple[int, ...] = ()
    ) -> list[Answer]:
        """Send requests at a steady rate to the gateways, by their weights."""
        choices = random.Random(1).choices(
            self.gateways,
            weights or (1,) * len(self.gateways),
            k=int(rate_per_s * duration_s),
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        tasks = []
        for number, gateway in enumerate(choices):
            await asyncio.sleep(started_s + number / rate_per_s - loop.time())
            request = self.send_request(
                self.path,
                f"r{started_s}-{number}",
                events=self.events,
                gateway=gateway,
            )
            tasks.append(asyncio.create_task(request))
        return await asyncio.gather(*tasks)

    def list_arrivals(self, runner: Runner) -> list[float]:
        """Return the times at which requests reached a runner, at any stage."""
        arrivals = itertools.chain(self.group.arrivals, self.group.later_arrivals)
        return sorted(item.arrived_s for item in arrivals if item.runner == runner.name)

    def check_limit(
        self, runner: Runner, limit_per_s: float, from_s: float, *, is_used: bool = True
    ) -> None:
        """Check that arrivals from a time on keep a limit, and use half of it."""
        times_s = self.list_arrivals(runner)
        most = count_in_window(times_s, from_s)
        self.assertLessEqual(most, compute_allowance(limit_per_s), runner.name)
        if is_used:
            late_s = [time_s for time_s in times_s if time_s >= from_s]
            duration_s = asyncio.get_running_loop().time() - from_s
            used = len(late_s) / (limit_per_s * duration_s)
            self.assertGreaterEqual(used, MIN_USED_FRACTION, runner.name)

    def check_all_served(self, answers: list[Answer]) -> None:
        self.assertEqual({answer.status for answer in answers}, {200})

    def now(self) -> float:
        return asyncio.get_running_loop().time()


class PlainCallTests(LimitedTestCase):
    async def start_servers(self, gateways: int) -> None:
        await self.add_gateways(gateways)
        self.runners = [await self.add_runner(f"p{number}") for number in range(4)]
        await self.wait_until_all_known()

    async def check_one_limited_server(
        self, gateways: int, limit: str, weights: tuple[int, ...] = ()
    ) -> None:
        """Check that one limited server of four keeps its limit under load."""
        await self.start_servers(gateways)
        self.runners[0].faults.stated_limits = (limit,)
        from_s = self.now() + CONTACT_S
        self.check_all_served(await self.apply_load(20.0, LOAD_S, weights))
        self.check_limit(self.runners[0], float(limit), from_s)

    async def test_sum_over_two_gateways_keeps_the_limit(self) -> None:
        await self.check_one_limited_server(2, "3")

    async def test_sum_over_four_gateways_keeps_a_low_limit(self) -> None:
        await self.check_one_limited_server(4, "1.5")

    async def test_limit_is_used_where_nearly_all_load_is_at_one_gateway(self) -> None:
        await self.check_one_limited_server(4, "4", (37, 1, 1, 1))

    async def test_limit_that_sinks_is_kept(self) -> None:
        await self.start_servers(2)
        limited = self.runners[0]
        limited.faults.stated_limits = ("8",)
        await self.apply_load(40.0, 4.0)
        limited.faults.stated_limits = ("1",)
        from_s = self.now() + CONTACT_S
        self.check_all_served(await self.apply_load(40.0, LOAD_S))
        self.check_limit(limited, 1.0, from_s)

    async def test_server_that_wants_nothing_gets_rare_trials_and_then_calls_again(
        self,
    ) -> None:
        await self.start_servers(2)
        limited = self.runners[0]
        limited.faults.stated_limits = ("0",)
        from_s = self.now() + CONTACT_S
        self.check_all_served(await self.apply_load(20.0, LOAD_S))
        self.check_limit(limited, 0.0, from_s, is_used=False)
        limited.faults.stated_limits = ()
        await self.apply_load(20.0, 6.0)
        before = len(self.list_arrivals(limited))
        await self.apply_load(20.0, 1.0)
        self.assertGreaterEqual(len(self.list_arrivals(limited)) - before, 3)

    async def test_calls_beyond_the_limits_of_all_servers_are_refused_with_a_time(
        self,
    ) -> None:
        await self.start_servers(2)
        for runner in self.runners:
            runner.faults.stated_limits = ("2",)
        await self.apply_load(OFFERED_PER_S, 1.0)
        from_s = self.now() - 1.0 + CONTACT_S
        duration_s = LOAD_S - 1.0
        answers = await self.apply_load(OFFERED_PER_S, duration_s)
        for runner in self.runners:
            self.check_limit(runner, 2.0, from_s)
        served = [answer for answer in answers if answer.status == 200]
        self.assertGreaterEqual(len(served) / duration_s, MIN_SERVED_PER_S)
        refused = [answer for answer in answers if answer.status != 200]
        self.assertEqual({answer.status for answer in refused}, {503})
        delays_s = [float(answer.headers["Retry-After"]) for answer in refused]
        self.assertGreater(min(delays_s), 0.1)
        self.assertLessEqual(max(delays_s), 6.0)

    async def test_gateways_that_are_cut_off_from_control_keep_a_limit(self) -> None:
        await self.start_servers(4)
        self.path = "/open/1"
        limited = self.runners[0]
        limited.faults.stated_limits = ("2",)
        await self.apply_load(20.0, 1.0)
        await self.stop_control()
        from_s = self.now() - 1.0 + CONTACT_S
        self.check_all_served(await self.apply_load(20.0, LOAD_S))
        self.check_limit(limited, 2.0, from_s, is_used=False)

    async def test_restarted_gateway_keeps_a_limit_that_it_has_not_read(self) -> None:
        await self.start_servers(2)
        limited = self.runners[0]
        limited.faults.stated_limits = ("1",)
        await self.apply_load(20.0, 2.0)
        limited.faults.stated_limits = ()
        arrivals = len(self.list_arrivals(limited))
        self.gateways = [await self.add_gateway("later")]
        await self.wait_until_known("p0", gateway=self.gateways[0])
        await self.apply_load(20.0, 0.2)
        self.assertLessEqual(len(self.list_arrivals(limited)) - arrivals, 1)

    async def test_later_incarnation_of_a_limited_server_has_no_limit(self) -> None:
        await self.start_servers(2)
        limited = self.runners[0]
        limited.faults.stated_limits = ("0",)
        await self.apply_load(20.0, 2.0)
        backend_by_name = self.gateway.gateway.fleet.backend_by_name
        earlier = backend_by_name[limited.name]
        limited.faults.stated_limits = ()
        limited.crash()
        await self.wait_until(
            lambda: backend_by_name.get(limited.name) not in (None, earlier)
        )
        arrivals = len(self.list_arrivals(limited))
        await asyncio.sleep(0.5)
        await self.apply_load(20.0, 1.0)
        self.assertGreaterEqual(len(self.list_arrivals(limited)) - arrivals, 3)


class EqualServerTests(LimitedTestCase):
    async def test_calls_are_spread_over_servers_that_are_equally_idle(self) -> None:
        await self.add_gateways(1)
        self.runners = [await self.add_runner(f"p{number}") for number in range(5)]
        await self.wait_until_all_known()
        await self.apply_load(40.0, 1.0)
        counts = [len(self.list_arrivals(runner)) for runner in self.runners]
        self.assertLessEqual(max(counts), 2 * sum(counts) / len(counts))


class StreamTests(LimitedTestCase):
    path = "/draft/1"
    events = 5

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.add_gateways(2)
        self.near_runners = await self.add_pipeline("z1")
        self.far_runners = await self.add_pipeline("z2")
        self.runners = [*self.near_runners, *self.far_runners]
        await self.wait_until_all_known()

    async def test_first_and_later_stages_keep_their_limits(self) -> None:
        first, later = self.near_runners[0], self.far_runners[1]
        first.faults.stated_limits = ("2",)
        later.faults.stated_limits = ("2.5",)
        # Only the first stage answers streams; the other states its limit in reports.
        for process in self.gateways:
            backend = process.gateway.fleet.backend_by_name[later.name]
            await request_report(process.gateway, backend, 1.0)
        from_s = self.now() + CONTACT_S
        answers = await self.apply_load(20.0, LOAD_S)
        for runner, limit_per_s in ((first, 2.0), (later, 2.5)):
            self.check_limit(runner, limit_per_s, from_s)
        served = [answer for answer in answers if answer.status == 200]
        self.assertGreaterEqual(len(served) / LOAD_S, MIN_USED_FRACTION * (2 + 2.5))
        for answer in answers:
            self.assertIn(answer.status, (200, 503))

    async def test_limit_of_a_later_stage_ends_once_it_is_not_stated_any_more(
        self,
    ) -> None:
        later = (self.near_runners[1], self.far_runners[1])
        for runner in later:
            runner.faults.stated_limits = ("0.5",)
            for process in self.gateways:
                backend = process.gateway.fleet.backend_by_name[runner.name]
                await request_report(process.gateway, backend, 1.0)
        answers = await self.apply_load(10.0, 2.0)
        self.assertIn(503, {answer.status for answer in answers})
        for runner in later:
            runner.faults.stated_limits = ()
        # No answer of a later stage reaches a gateway unless it asks for one.
        await self.apply_load(10.0, CONTACT_S)
        self.check_all_served(await self.apply_load(10.0, 1.0))

    async def test_stream_that_no_chain_takes_in_time_is_refused_at_once(self) -> None:
        for runner in (self.near_runners[0], self.far_runners[0]):
            runner.faults.stated_limits = ("0",)
        await self.apply_load(10.0, 1.0)
        answers = []
        for number in range(4):
            async with asyncio.timeout(PROMPT_REFUSAL_S):
                answers.append(
                    await self.send_request(self.path, f"x{number}", events=5)
                )
        refused = [answer for answer in answers if answer.status == 503]
        self.assertGreaterEqual(len(refused), 2)
        for answer in refused:
            self.assertGreaterEqual(float(answer.headers["Retry-After"]), 0.5)


class ExhaustedCallTests(LimitedTestCase):
    """Calls that have tried the only server without a limit."""

    async def test_call_that_waits_for_a_limited_server_does_not_hold_others_back(
        self,
    ) -> None:
        await self.add_gateways(1)
        self.runners = [await self.add_runner(f"p{number}") for number in range(2)]
        await self.wait_until_all_known()
        limited, full = self.runners
        limited.faults.stated_limits = ("0",)
        await self.apply_load(20.0, 1.5)
        full.is_full = True
        waiting = asyncio.create_task(self.send_request(self.path, "waiting"))
        queue = self.gateway.gateway.get_call_queue("claims")
        await self.wait_until(lambda: queue.waiting_by_number)
        full.is_full = False
        await asyncio.sleep(0.3)
        async with asyncio.timeout(PROMPT_REFUSAL_S):
            answer = await self.send_request(self.path, "later")
        self.assertEqual(answer.status, 200)
        self.assertFalse(waiting.done())
        await waiting

"""Tests of backend servers that refuse requests with Retry-After."""

from __future__ import annotations

import asyncio

from tests.platform.deployment import Answer, DeploymentTestCase
from tests.platform.examples import MODEL
from yuccareach.gateway.backends import Backend
from yuccareach.gateway.chains import MAX_STARTING_STREAMS
from yuccareach.gateway.state import REPLACEMENT_DELAY_S
from yuccareach.health.servers import EndProof, record_end, record_refusal
from yuccareach.platform.standin import Runner

RETRY_AFTER_S = 2.0
# Requests sent before the refusal was known may arrive until so long after it.
IN_FLIGHT_S = 0.5
# Arrivals of one gateway that the platform allows from then on to the end.
MAX_ARRIVALS = 2
# Requests of a caller a second, as on the users' days.
REQUESTS_PER_S = 274 / 15
# A request that is refused at once is answered within this time.
PROMPT_REFUSAL_S = 0.5


class RefusingTestCase(DeploymentTestCase):
    """A deployment under a steady load, some of whose runners refuse requests."""

    path = "/look/1"
    events = 0
    runners: list[Runner]

    async def wait_until_all_known(self) -> None:
        """Wait until the gateway does not expect further members."""
        await self.wait_until_known(*(runner.name for runner in self.runners))
        await self.wait_until(lambda: not self.gateway.gateway.is_awaiting_members)

    async def apply_load(self, duration_s: float) -> list[Answer]:
        """Send requests at a steady rate and return their answers."""
        tasks = []
        for number in range(int(duration_s * REQUESTS_PER_S)):
            request = self.send_request(self.path, f"r{number}", events=self.events)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        return await asyncio.gather(*tasks)

    def count_statuses(self, answers: list[Answer]) -> dict[int, int]:
        statuses = [answer.status for answer in answers]
        return {status: statuses.count(status) for status in set(statuses)}

    def count_late_arrivals(self, runner: Runner) -> int:
        """Count arrivals from IN_FLIGHT_S after the first one to its Retry-After."""
        times_s = [
            item.arrived_s for item in self.group.arrivals if item.runner == runner.name
        ]
        return sum(IN_FLIGHT_S < at - times_s[0] < RETRY_AFTER_S for at in times_s)

    def check_refusals(self, answers: list[Answer]) -> None:
        """Check refusals that came before the first server wants requests again."""
        for answer in answers:
            self.assertEqual(answer.status, 503)
            retry_after_s = float(answer.headers["Retry-After"])
            self.assertLessEqual(retry_after_s, RETRY_AFTER_S)
        first_s = float(answers[0].headers["Retry-After"])
        self.assertGreater(first_s, RETRY_AFTER_S - IN_FLIGHT_S)


class PlainCallTests(RefusingTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        names = [f"p{number}" for number in range(3)]
        self.runners = [await self.add_runner(name) for name in names]
        await self.wait_until_all_known()

    async def test_calls_are_served_by_the_others_while_one_refuses(self) -> None:
        refusing = self.runners[0]
        refusing.faults.retry_after_s = RETRY_AFTER_S
        answers = await self.apply_load(1.5 * RETRY_AFTER_S)
        self.assertEqual(self.count_statuses(answers), {200: len(answers)})
        self.assertLessEqual(self.count_late_arrivals(refusing), MAX_ARRIVALS)

    async def test_callers_learn_when_the_first_of_all_servers_wants_requests_again(
        self,
    ) -> None:
        for runner in self.runners:
            runner.faults.retry_after_s = RETRY_AFTER_S
        # The first two calls tell of all servers, by their two attempts each.
        for number in range(2):
            await self.send_request(self.path, f"first{number}")
        answers = await self.apply_load(RETRY_AFTER_S - 2 * IN_FLIGHT_S)
        self.check_refusals(answers)
        for runner in self.runners:
            self.assertLessEqual(self.count_late_arrivals(runner), MAX_ARRIVALS)

    async def test_call_is_refused_at_once_while_all_servers_refuse(self) -> None:
        for runner in self.runners:
            runner.faults.retry_after_s = RETRY_AFTER_S
        for number in range(2):
            await self.send_request(self.path, f"first{number}")
        arrivals = len(self.group.arrivals)
        async with asyncio.timeout(PROMPT_REFUSAL_S):
            answer = await self.send_request(self.path, "r1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(len(self.group.arrivals), arrivals)

    async def test_server_gets_calls_again_once_its_time_is_over(self) -> None:
        for runner in self.runners:
            runner.faults.retry_after_s = 0.5
        await self.apply_load(0.2)
        for runner in self.runners:
            runner.faults.retry_after_s = None
        await asyncio.sleep(0.6)
        answers = await self.apply_load(0.5)
        self.assertEqual(self.count_statuses(answers), {200: len(answers)})

    async def test_later_incarnation_of_a_refusing_server_gets_calls(self) -> None:
        refusing = self.runners[0]
        for runner in self.runners:
            runner.faults.retry_after_s = 60.0
        for number in range(2):
            await self.send_request(self.path, f"first{number}")
        backend_by_name = self.gateway.gateway.fleet.backend_by_name
        earlier = backend_by_name[refusing.name]
        refusing.faults.retry_after_s = None
        refusing.crash()
        await self.wait_until(
            lambda: backend_by_name.get(refusing.name) not in (None, earlier)
        )
        answers = await self.apply_load(0.5)
        self.assertEqual(self.count_statuses(answers), {200: len(answers)})


class StreamTests(RefusingTestCase):
    path = "/draft/1"
    events = 5

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.near_runners = await self.add_pipeline("z1")
        self.far_runners = await self.add_pipeline("z2")
        self.runners = [*self.near_runners, *self.far_runners]
        await self.wait_until_all_known()

    async def test_streams_go_over_other_chains_while_a_first_stage_refuses(
        self,
    ) -> None:
        refusing = self.near_runners[0]
        refusing.faults.retry_after_s = RETRY_AFTER_S
        answers = await self.apply_load(1.5 * RETRY_AFTER_S)
        self.assertEqual(self.count_statuses(answers), {200: len(answers)})
        self.assertLessEqual(self.count_late_arrivals(refusing), MAX_ARRIVALS)

    async def test_callers_learn_when_the_first_of_all_first_stages_is_back(
        self,
    ) -> None:
        refusing = (self.near_runners[0], self.far_runners[0])
        for runner in refusing:
            runner.faults.retry_after_s = RETRY_AFTER_S
        await self.send_request(self.path, "first", events=self.events)
        answers = await self.apply_load(RETRY_AFTER_S - 2 * IN_FLIGHT_S)
        self.check_refusals(answers)
        for runner in refusing:
            self.assertLessEqual(self.count_late_arrivals(runner), MAX_ARRIVALS)

    async def test_refusing_first_stages_are_neither_unreachable_nor_replaced(
        self,
    ) -> None:
        for runner in (self.near_runners[0], self.far_runners[0]):
            runner.faults.retry_after_s = RETRY_AFTER_S
        await self.apply_load(0.5)
        # Control would have ordered other servers to load lost layers by then.
        await asyncio.sleep(1.5)
        gateway = self.gateway.gateway
        unreachable = gateway.fleet.list_unreachable_incarnations(gateway.now())
        self.assertEqual(unreachable, [])
        orders = [order for runner in self.runners for order in runner.received_orders]
        self.assertEqual(orders, [])

    async def start_waiting_stream(self) -> tuple[asyncio.Task[Answer], list[Backend]]:
        """Send a stream that waits, as both first stages can start no more."""
        gateway = self.gateway.gateway
        backends = [
            gateway.fleet.backend_by_name[item.name]
            for item in (self.near_runners[0], self.far_runners[0])
        ]
        for backend in backends:
            backend.starting_streams = MAX_STARTING_STREAMS
        request = asyncio.create_task(
            self.send_request(self.path, "r1", events=self.events)
        )
        queue = gateway.get_queue(MODEL)
        await self.wait_until(lambda: queue.waiting_by_number)
        return request, backends

    async def test_waiting_stream_is_refused_once_every_first_stage_refuses(
        self,
    ) -> None:
        request, backends = await self.start_waiting_stream()
        for backend in backends:
            now_ms = self.gateway.gateway.now_ms()
            record_refusal(backend.health, now_ms, 1000 * RETRY_AFTER_S)
        async with asyncio.timeout(PROMPT_REFUSAL_S):
            answer = await request
        self.check_refusals([answer])
        self.assertEqual(self.group.arrivals, [])

    async def test_waiting_stream_is_refused_once_its_only_stages_have_crashed(
        self,
    ) -> None:
        request, backends = await self.start_waiting_stream()
        for backend in backends:
            record_end(backend.health, EndProof.REFUSED)
        async with asyncio.timeout(PROMPT_REFUSAL_S):
            answer = await request
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), REPLACEMENT_DELAY_S)
        self.assertEqual(self.group.arrivals, [])

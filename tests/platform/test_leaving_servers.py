"""Tests of backend servers that say in their answers that they are leaving."""

from __future__ import annotations

import asyncio

from tests.platform.deployment import HEARTBEAT_MS, DeploymentTestCase, read_event_ids
from tests.platform.examples import MODEL
from yuccareach.gateway.chains import MAX_STARTING_STREAMS
from yuccareach.gateway.slowdowns import query_slowdowns
from yuccareach.platform.standin import Runner

# A request that is refused at once is answered within this time.
PROMPT_REFUSAL_S = 0.5
# Retry delay of refused calls while servers are only full.
FULL_RETRY_DELAY_S = 0.1


class LeavingTestCase(DeploymentTestCase):
    """A deployment whose arrivals at single runners are counted."""

    async def wait_until_all_known(self, runners: list[Runner]) -> None:
        """Wait until the gateway does not expect further members."""
        await self.wait_until_known(*(runner.name for runner in runners))
        await self.wait_until(lambda: not self.gateway.gateway.is_awaiting_members)

    def count_arrivals(self, runner: Runner) -> int:
        return sum(item.runner == runner.name for item in self.group.arrivals)


class PlainCallTests(LeavingTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        names = [f"p{number}" for number in range(3)]
        self.runners = [await self.add_runner(name) for name in names]
        await self.wait_until_all_known(self.runners)

    async def let_one_leave(self) -> Runner:
        """Return a runner that has said in an answer that it is leaving."""
        await self.send_request("/look/1", "first", method="GET")
        name = self.group.arrivals[0].runner
        leaving = next(item for item in self.runners if item.name == name)
        leaving.faults.announces_leaving = True
        arrivals = self.count_arrivals(leaving)
        for number in range(20):
            answer = await self.send_request("/look/1", f"l{number}", method="GET")
            if self.count_arrivals(leaving) > arrivals:
                self.assertEqual(answer.headers["Server-Leaving"], "1")
                return leaving
        raise AssertionError("no call has reached the runner")

    async def request_many(self, prefix: str) -> None:
        answers = await asyncio.gather(
            *(
                self.send_request("/look/1", f"{prefix}{number}", method="GET")
                for number in range(20)
            )
        )
        self.assertEqual({answer.status for answer in answers}, {200})

    async def test_leaving_server_gets_no_further_calls_whatever_its_heartbeats_say(
        self,
    ) -> None:
        leaving = await self.let_one_leave()
        arrivals = self.count_arrivals(leaving)
        await self.request_many("a")
        await asyncio.sleep(5 * HEARTBEAT_MS / 1000)
        await self.request_many("b")
        self.assertEqual(self.count_arrivals(leaving), arrivals)

    async def test_leaving_server_that_stops_saying_so_gets_no_further_calls(
        self,
    ) -> None:
        leaving = await self.let_one_leave()
        leaving.faults.announces_leaving = False
        arrivals = self.count_arrivals(leaving)
        await self.request_many("a")
        self.assertEqual(self.count_arrivals(leaving), arrivals)

    async def test_later_incarnation_of_a_leaving_server_gets_calls(self) -> None:
        leaving = await self.let_one_leave()
        leaving.faults.announces_leaving = False
        backend_by_name = self.gateway.gateway.fleet.backend_by_name
        earlier = backend_by_name[leaving.name]
        leaving.crash()
        await self.wait_until(
            lambda: backend_by_name.get(leaving.name) not in (None, earlier)
        )
        arrivals = self.count_arrivals(leaving)
        await self.request_many("a")
        self.assertGreater(self.count_arrivals(leaving), arrivals)

    async def test_refused_call_is_served_by_others_and_shows_the_departure(
        self,
    ) -> None:
        leaving = self.runners[0]
        leaving.faults.announces_leaving = leaving.is_full = True
        for number in range(len(self.runners)):
            answer = await self.send_request("/look/1", f"l{number}", method="GET")
            self.assertEqual(answer.status, 200)
        arrivals = self.count_arrivals(leaving)
        self.assertEqual(arrivals, 1)
        await self.request_many("a")
        self.assertEqual(self.count_arrivals(leaving), arrivals)

    async def test_call_is_refused_at_once_if_every_server_is_leaving(self) -> None:
        for runner in self.runners:
            runner.faults.announces_leaving = True
        for number in range(len(self.runners)):
            answer = await self.send_request("/look/1", f"l{number}", method="GET")
            self.assertEqual(answer.status, 200)
        async with asyncio.timeout(PROMPT_REFUSAL_S):
            answer = await self.send_request("/look/1", "r1", method="GET")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), FULL_RETRY_DELAY_S)
        self.assertEqual(len(self.group.arrivals), len(self.runners))


class StreamTests(LeavingTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # The gateway is in z1.
        self.near_runners = await self.add_pipeline("z1")
        self.far_runners = await self.add_pipeline("z2")
        await self.wait_until_all_known([*self.near_runners, *self.far_runners])

    async def request_streams(self, prefix: str, count: int = 5) -> None:
        answers = await asyncio.gather(
            *(
                self.send_request("/draft/1", f"{prefix}{number}", events=10)
                for number in range(count)
            )
        )
        for answer in answers:
            self.assertEqual(answer.status, 200)
            self.assertEqual(read_event_ids(answer), list(range(1, 11)))

    async def test_stream_at_a_leaving_server_finishes_and_later_ones_go_elsewhere(
        self,
    ) -> None:
        leaving = self.near_runners[0]
        leaving.faults.announces_leaving = True
        leaving.event_interval_s = 0.02
        running = asyncio.create_task(
            self.send_request("/draft/1", "r1", events=60),
        )
        await self.wait_until(lambda: "r1" in leaving.path_by_request)
        # By then the head of the answer has been read.
        await asyncio.sleep(0.2)
        await self.request_streams("a")
        answer = await running
        self.assertEqual(read_event_ids(answer), list(range(1, 61)))
        self.assertEqual(self.group.executed_request_ids.count("r1"), 1)
        self.assertEqual(self.count_arrivals(leaving), 1)

    async def test_later_stage_that_is_leaving_gets_no_part_of_new_chains(
        self,
    ) -> None:
        leaving = self.near_runners[1]
        leaving.faults.announces_leaving = True
        gateway = self.gateway.gateway
        # Its report says so too.
        await query_slowdowns(gateway, [gateway.fleet.backend_by_name[leaving.name]])
        await self.request_streams("a")
        addresses = {
            address
            for runner in (*self.near_runners, *self.far_runners)
            for path in runner.path_by_request.values()
            for address, _, _ in path
        }
        self.assertNotIn(leaving.address, addresses)

    async def test_stream_is_rerouted_at_a_first_stage_that_is_leaving(self) -> None:
        replica = await self.add_runner("z1-4", "a100", 30, 60, "z1")
        await self.wait_until_known(replica.name)
        first, lost = self.near_runners[:2]
        first.event_interval_s = 0.02
        was_lost = False

        async def _lose_stage(body: bytes) -> None:
            nonlocal was_lost
            if not was_lost and body.count(b"id:") >= 5:
                was_lost = True
                used = first.path_by_request["r1"][1][0]
                runner = lost if used == lost.address else replica
                first.faults.announces_leaving = True
                runner.heartbeat_task.cancel()  # type: ignore[attr-defined]
                await runner.stop()

        answer = await self.send_request(
            "/draft/1", "r1", events=40, on_event=_lose_stage
        )
        self.assertEqual(read_event_ids(answer), list(range(1, 41)))
        self.assertEqual(self.group.executed_request_ids, ["r1"])
        # The answer to the order has said so.
        arrivals = self.count_arrivals(first)
        await self.request_streams("a")
        self.assertEqual(self.count_arrivals(first), arrivals)

    async def test_stream_is_refused_at_once_if_every_first_stage_is_leaving(
        self,
    ) -> None:
        for runner in (self.near_runners[0], self.far_runners[0]):
            runner.faults.announces_leaving = True
        await self.request_streams("a", 1)
        await self.request_streams("b", 1)
        async with asyncio.timeout(PROMPT_REFUSAL_S):
            answer = await self.send_request("/draft/1", "r1", events=10)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), FULL_RETRY_DELAY_S)
        self.assertEqual(len(self.group.arrivals), 2)

    async def test_waiting_stream_is_refused_once_every_first_stage_is_leaving(
        self,
    ) -> None:
        gateway = self.gateway.gateway
        runners = (self.near_runners[0], self.far_runners[0])
        backends = [gateway.fleet.backend_by_name[item.name] for item in runners]
        for backend in backends:
            backend.starting_streams = MAX_STARTING_STREAMS
        request = asyncio.create_task(
            self.send_request("/draft/1", "r1", events=10),
        )
        queue = gateway.get_queue(MODEL)
        await self.wait_until(lambda: queue.waiting_by_number)
        for runner in runners:
            runner.faults.announces_leaving = True
        await query_slowdowns(gateway, backends)
        async with asyncio.timeout(PROMPT_REFUSAL_S):
            answer = await request
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.group.arrivals, [])

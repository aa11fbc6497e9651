"""Tests of the admission queue, alone and under simulated load."""

from __future__ import annotations

import asyncio
import heapq
import math
import unittest
from collections import Counter
from functools import partial
from random import Random
from typing import NamedTuple

from yuccareach.gateway.admission import (
    DEFAULT_RETRY_DELAY_S,
    MAX_RETRY_DELAY_S,
    MAX_WAIT_OBJECTIVES,
    AdmissionQueue,
    Ticket,
    WaitingRequest,
)
from yuccareach.gateway.stalls import WATCH_INTERVAL_S

OBJECTIVE_S = 0.5
HOLD_TIME_S = 1.0


def build_ticket(number: int, **fields: object) -> Ticket:
    values = {
        "workspace": "w",
        "priority": 1,
        "tokens": 100,
        "arrived_s": 0.0,
        "objective_s": OBJECTIVE_S,
        **fields,
    }
    return Ticket(number, **values)  # type: ignore[arg-type]


class OrderTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.queue: AdmissionQueue[str] = AdmissionQueue()
        self.free_tokens = 0

    def add_waiting(self, item: Ticket) -> asyncio.Future[str | None]:
        granted: asyncio.Future[str | None] = asyncio.get_running_loop().create_future()

        def _reserve_capacity() -> str | None:
            if self.free_tokens < item.tokens:
                return None
            self.free_tokens -= item.tokens
            return "chain"

        self.queue.add(WaitingRequest(item, _reserve_capacity, granted))
        return granted

    async def test_urgent_requests_go_first(self) -> None:
        ordinary = self.add_waiting(build_ticket(1))
        urgent = self.add_waiting(build_ticket(2, priority=0, arrived_s=0.1))
        self.free_tokens = 100
        self.queue.grant_capacity(0.2)
        self.assertTrue(urgent.done())
        self.assertFalse(ordinary.done())

    async def test_request_that_can_meet_its_objective_goes_before_a_late_one(
        self,
    ) -> None:
        late = self.add_waiting(build_ticket(1))
        in_time = self.add_waiting(build_ticket(2, arrived_s=0.6))
        self.free_tokens = 100
        self.queue.grant_capacity(0.7)
        self.assertTrue(in_time.done())
        self.assertFalse(late.done())

    async def test_request_that_is_held_back_neither_runs_nor_blocks_others(
        self,
    ) -> None:
        held_back = True
        granted: asyncio.Future[str | None] = asyncio.get_running_loop().create_future()
        ticket = build_ticket(1, priority=0)
        self.queue.add(
            WaitingRequest(ticket, lambda: "chain", granted, lambda: held_back)
        )
        self.assertEqual(self.queue.estimate_wait_s(build_ticket(2), 0.0), 0.0)
        self.assertEqual(self.queue.count_tokens_ahead(build_ticket(2)), 0)
        other = self.add_waiting(build_ticket(2))
        self.free_tokens = 100
        late_s = ticket.wait_deadline_s - 0.01
        self.queue.grant_capacity(late_s)
        self.assertFalse(granted.done())
        self.assertTrue(other.done())
        held_back = False
        self.queue.grant_capacity(late_s)
        self.assertEqual(granted.result(), "chain")

    async def test_workspace_that_holds_fewest_tokens_goes_first(self) -> None:
        self.queue.record_grant("large", 1_000, 0.0)
        large = self.add_waiting(build_ticket(1, workspace="large"))
        small = self.add_waiting(build_ticket(2, workspace="small", arrived_s=0.1))
        self.free_tokens = 100
        self.queue.grant_capacity(0.2)
        self.assertTrue(small.done())
        self.assertFalse(large.done())

    async def test_large_request_is_not_overtaken_indefinitely(self) -> None:
        large = self.add_waiting(build_ticket(1, tokens=200))
        self.free_tokens = 100
        self.queue.grant_capacity(0.8)
        small = self.add_waiting(build_ticket(2, tokens=100))
        self.queue.grant_capacity(0.8)
        self.assertFalse(small.done())
        self.free_tokens = 300
        self.queue.grant_capacity(0.9)
        self.assertTrue(large.done() and small.done())

    async def test_waiting_ends_before_the_caller_gives_up(self) -> None:
        granted = self.add_waiting(build_ticket(1))
        self.queue.grant_capacity(1.4)
        self.assertFalse(granted.done())
        self.queue.grant_capacity(1.5)
        self.assertIsNone(granted.result())

    async def test_callback_that_ends_its_wait_does_not_hold_up_the_others(
        self,
    ) -> None:
        granted = [asyncio.get_running_loop().create_future() for _ in range(3)]

        def _end_wait(number: int) -> None:
            granted[number].set_result(None)

        for number, future in enumerate(granted):
            waiting = WaitingRequest(
                build_ticket(number), partial(_end_wait, number), future
            )
            self.queue.add(waiting)
        # By then, a request that finds no capacity would not be overtaken.
        self.queue.grant_capacity(1.4)
        self.assertTrue(all(future.done() for future in granted))


class RefusalTests(unittest.TestCase):
    def test_request_that_cannot_be_granted_in_time_should_not_wait(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        queue.record_grant("w", 100, 0.0)
        queue.record_grant("w", 100, 1.0)
        self.assertTrue(
            queue.should_wait(build_ticket(1, arrived_s=2.0, tokens=100), 2.0)
        )
        self.assertFalse(
            queue.should_wait(build_ticket(1, arrived_s=2.0, tokens=200), 2.0)
        )

    def test_retry_delay_is_the_expected_wait(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        queue.record_grant("w", 1_000, 0.0)
        self.assertEqual(
            queue.estimate_retry_after_s(build_ticket(1, tokens=2_000), 1.0), 2.0
        )

    def test_old_grants_do_not_count_towards_the_rate(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        queue.record_grant("w", 1_000, 0.0)
        self.assertEqual(queue.estimate_wait_s(build_ticket(1), 10.0), 0.0)

    def test_withdrawn_grants_do_not_count_towards_the_rate(self) -> None:
        # Guards against retry delays that are too short: a stage was gone, so each
        # request was sent and refused. Each grant still raised the measured rate, so
        # callers retried at once and were refused again.
        queue: AdmissionQueue[str] = AdmissionQueue()
        queue.record_grant("w", 1_000, 0.0)
        for _ in range(9):
            queue.record_grant("w", 500, 1.0)
            queue.withdraw_grant(500)
        self.assertEqual(
            queue.estimate_retry_after_s(build_ticket(1, tokens=2_000), 1.0), 2.0
        )

    def test_stream_that_moves_to_another_chain_does_not_raise_the_rate(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        queue.record_grant("w", 1_000, 0.0)
        queue.release("w", 1_000)
        queue.record_move("w", 1_000)
        self.assertEqual(queue.held_tokens_by_workspace["w"], 1_000)
        self.assertEqual(
            queue.estimate_retry_after_s(build_ticket(1, tokens=2_000), 1.0), 2.0
        )

    def test_default_retry_delay_without_recent_grants(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        self.assertEqual(
            queue.estimate_retry_after_s(build_ticket(1), 1.0), DEFAULT_RETRY_DELAY_S
        )

    def test_retry_delay_includes_the_time_until_lost_layers_are_loaded(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        self.assertEqual(
            queue.estimate_retry_after_s(build_ticket(1), 1.0, coverage_gap_s=2.5), 2.5
        )
        queue.record_grant("w", 1_000, 0.0)
        item = build_ticket(1, tokens=1_000)
        self.assertEqual(
            queue.estimate_retry_after_s(item, 1.0, coverage_gap_s=2.5), 3.5
        )

    def test_retry_delay_is_not_shorter_than_the_refusal_of_all_servers(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        for refusal_s in (0.5, 3.0, 3 * MAX_RETRY_DELAY_S):
            delay_s = queue.estimate_retry_after_s(
                build_ticket(1), 1.0, refusal_s=refusal_s
            )
            self.assertEqual(delay_s, refusal_s)
        queue.record_grant("w", 1_000, 0.0)
        item = build_ticket(1, tokens=1_000)
        self.assertEqual(
            queue.estimate_retry_after_s(item, 1.0, coverage_gap_s=2.5, refusal_s=3.0),
            3.5,
        )


class Arrival(NamedTuple):
    """One request of a simulated load."""

    at_s: float
    workspace: str
    tokens: int


class LoadResult(NamedTuple):
    """Requests of a simulated load by how they ended.

    longest_refused_wait_s is the longest wait of a request that was granted nothing.
    """

    in_time: int
    late: int
    refused: int
    longest_refused_wait_s: float
    served_by_workspace: Counter[str]


def simulate_load(arrivals: list[Arrival], capacity_tokens: int) -> LoadResult:
    """Simulate a load on a fleet where every request holds its tokens equally long.

    That time is HOLD_TIME_S.
    """
    queue: AdmissionQueue[str] = AdmissionQueue()
    loop = asyncio.new_event_loop()
    free_tokens = [capacity_tokens]
    ends: list[tuple[float, str, int]] = []
    waiting: list[tuple[Ticket, asyncio.Future[str | None]]] = []
    count_by_outcome = {"in_time": 0, "late": 0, "refused": 0}
    served: Counter[str] = Counter()
    longest_refused_wait_s = [0.0]
    next_watch_s = [0.0]

    def _serve(item: Ticket, now_s: float) -> None:
        queue.record_grant(item.workspace, item.tokens, now_s)
        heapq.heappush(ends, (now_s + HOLD_TIME_S, item.workspace, item.tokens))
        served[item.workspace] += 1
        on_time = now_s - item.arrived_s <= item.objective_s
        count_by_outcome["in_time" if on_time else "late"] += 1

    def _process_grants(now_s: float) -> None:
        queue.grant_capacity(now_s)
        for item, granted in list(waiting):
            if granted.done():
                waiting.remove((item, granted))
                queue.remove(item)
                if granted.result() is None:
                    count_by_outcome["refused"] += 1
                    longest_refused_wait_s[0] = max(
                        longest_refused_wait_s[0], now_s - item.arrived_s
                    )
                else:
                    _serve(item, now_s)

    def _advance_to(until_s: float) -> None:
        while min(next_watch_s[0], ends[0][0] if ends else math.inf) <= until_s:
            if ends and ends[0][0] <= next_watch_s[0]:
                now_s, workspace, tokens = heapq.heappop(ends)
                free_tokens[0] += tokens
                queue.release(workspace, tokens)
            else:
                now_s = next_watch_s[0]
                next_watch_s[0] += WATCH_INTERVAL_S
            _process_grants(now_s)

    def _arrive(number: int, arrival: Arrival) -> None:
        item = build_ticket(
            number,
            workspace=arrival.workspace,
            tokens=arrival.tokens,
            arrived_s=arrival.at_s,
        )
        if free_tokens[0] >= item.tokens and not waiting:
            free_tokens[0] -= item.tokens
            _serve(item, arrival.at_s)
            return
        if not queue.should_wait(item, arrival.at_s):
            count_by_outcome["refused"] += 1
            return

        def _reserve_capacity() -> str | None:
            if free_tokens[0] < item.tokens:
                return None
            free_tokens[0] -= item.tokens
            return "chain"

        granted: asyncio.Future[str | None] = loop.create_future()
        queue.add(WaitingRequest(item, _reserve_capacity, granted))
        waiting.append((item, granted))
        _process_grants(arrival.at_s)

    for number, arrival in enumerate(arrivals):
        _advance_to(arrival.at_s)
        _arrive(number, arrival)
    _advance_to(arrivals[-1].at_s + 10)
    loop.close()
    return LoadResult(
        count_by_outcome["in_time"],
        count_by_outcome["late"],
        count_by_outcome["refused"],
        longest_refused_wait_s[0],
        served,
    )


class SimulatedLoadTests(unittest.TestCase):
    """Loads that the queue has to handle: bursts, and one workspace that floods."""

    def test_burst_keeps_the_fleet_busy_and_the_rest_is_refused_early(self) -> None:
        random = Random(3)
        # Capacity for ten requests of a second each, against fifteen requests a second
        # for ten seconds.
        arrivals = [
            Arrival(number / 15, f"w{random.randrange(4)}", 100)
            for number in range(150)
        ]
        result = simulate_load(arrivals, capacity_tokens=1_000)
        self.assertEqual(result.in_time + result.late + result.refused, 150)
        self.assertGreaterEqual(result.in_time + result.late, 95)
        self.assertGreater(result.in_time, result.late)
        self.assertLessEqual(
            result.longest_refused_wait_s,
            MAX_WAIT_OBJECTIVES * OBJECTIVE_S + WATCH_INTERVAL_S,
        )

    def test_no_request_waits_while_capacity_is_free(self) -> None:
        arrivals = [Arrival(number / 8, "w", 100) for number in range(80)]
        result = simulate_load(arrivals, capacity_tokens=1_000)
        self.assertEqual(result, LoadResult(80, 0, 0, 0.0, Counter(w=80)))

    def test_large_workspace_does_not_crowd_out_a_small_one(self) -> None:
        flood = [Arrival(number / 30, "large", 100) for number in range(300)]
        trickle = [Arrival(number / 2 + 0.01, "small", 100) for number in range(20)]
        result = simulate_load(sorted(flood + trickle), capacity_tokens=1_000)
        self.assertGreaterEqual(result.served_by_workspace["small"], 10)

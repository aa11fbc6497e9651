"""Requests that wait for room, played against a fleet of a known size."""

from __future__ import annotations

import asyncio
import heapq
import math
import unittest
from collections import Counter
from random import Random
from typing import NamedTuple

from yuccareach.gateway.admission import (
    UNKNOWN_RETRY_S,
    WAIT_OBJECTIVES,
    AdmissionQueue,
    Ticket,
    Waiting,
)
from yuccareach.gateway.stalls import WATCH_INTERVAL_S

OBJECTIVE_S = 0.5
SERVICE_S = 1.0


def ticket(number: int, **fields: object) -> Ticket:
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
        self.room = 0

    def wait(self, item: Ticket) -> asyncio.Future[str | None]:
        granted: asyncio.Future[str | None] = asyncio.get_running_loop().create_future()

        def _find_room() -> str | None:
            if self.room < item.tokens:
                return None
            self.room -= item.tokens
            return "chain"

        self.queue.add(Waiting(item, _find_room, granted))
        return granted

    async def test_urgent_requests_go_first(self) -> None:
        ordinary = self.wait(ticket(1))
        urgent = self.wait(ticket(2, priority=0, arrived_s=0.1))
        self.room = 100
        self.queue.pump(0.2)
        self.assertTrue(urgent.done())
        self.assertFalse(ordinary.done())

    async def test_request_that_can_be_on_time_goes_before_a_late_one(self) -> None:
        late = self.wait(ticket(1))
        in_time = self.wait(ticket(2, arrived_s=0.6))
        self.room = 100
        self.queue.pump(0.7)
        self.assertTrue(in_time.done())
        self.assertFalse(late.done())

    async def test_workspace_that_holds_least_goes_first(self) -> None:
        self.queue.hold("large", 1_000, 0.0)
        large = self.wait(ticket(1, workspace="large"))
        small = self.wait(ticket(2, workspace="small", arrived_s=0.1))
        self.room = 100
        self.queue.pump(0.2)
        self.assertTrue(small.done())
        self.assertFalse(large.done())

    async def test_large_request_is_not_overtaken_for_ever(self) -> None:
        large = self.wait(ticket(1, tokens=200))
        self.room = 100
        self.queue.pump(0.8)
        small = self.wait(ticket(2, tokens=100))
        self.queue.pump(0.8)
        self.assertFalse(small.done())
        self.room = 300
        self.queue.pump(0.9)
        self.assertTrue(large.done() and small.done())

    async def test_waiting_ends_before_the_caller_gives_up(self) -> None:
        granted = self.wait(ticket(1))
        self.queue.pump(1.4)
        self.assertFalse(granted.done())
        self.queue.pump(1.5)
        self.assertIsNone(granted.result())


class RefusalTests(unittest.TestCase):
    def test_request_that_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        queue.hold("w", 100, 0.0)
        queue.hold("w", 100, 1.0)
        self.assertTrue(queue.should_wait(ticket(1, arrived_s=2.0, tokens=100), 2.0))
        self.assertFalse(queue.should_wait(ticket(1, arrived_s=2.0, tokens=200), 2.0))

    def test_time_to_return_is_when_room_is_expected(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        queue.hold("w", 1_000, 0.0)
        self.assertEqual(queue.retry_after_s(ticket(1, tokens=2_000), 1.0), 2.0)

    def test_rate_that_has_passed_is_forgotten(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        queue.hold("w", 1_000, 0.0)
        self.assertEqual(queue.expected_wait_s(ticket(1), 10.0), 0.0)

    def test_room_that_was_refused_after_all_does_not_count(self) -> None:
        # Found in a hunt: a stage was gone, each request was sent and refused, and each
        # caller was told that it could return at once, to be refused again.
        queue: AdmissionQueue[str] = AdmissionQueue()
        queue.hold("w", 1_000, 0.0)
        for _ in range(9):
            queue.hold("w", 500, 1.0)
            queue.withdraw(500)
        self.assertEqual(queue.retry_after_s(ticket(1, tokens=2_000), 1.0), 2.0)

    def test_stream_that_goes_on_elsewhere_does_not_quicken_the_pace(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        queue.hold("w", 1_000, 0.0)
        queue.free("w", 1_000)
        queue.move("w", 1_000)
        self.assertEqual(queue.held_by_workspace["w"], 1_000)
        self.assertEqual(queue.retry_after_s(ticket(1, tokens=2_000), 1.0), 2.0)

    def test_time_to_return_without_a_known_pace(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        self.assertEqual(queue.retry_after_s(ticket(1), 1.0), UNKNOWN_RETRY_S)

    def test_nobody_is_told_to_return_before_lost_layers_are_loaded(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        self.assertEqual(queue.retry_after_s(ticket(1), 1.0, closed_s=2.5), 2.5)
        queue.hold("w", 1_000, 0.0)
        item = ticket(1, tokens=1_000)
        self.assertEqual(queue.retry_after_s(item, 1.0, closed_s=2.5), 3.5)


class Arrival(NamedTuple):
    """One request of a played load."""

    at_s: float
    workspace: str
    tokens: int


class Played(NamedTuple):
    """What became of a played load."""

    in_time: int
    late: int
    refused: int
    longest_held_s: float
    served_by_workspace: Counter[str]


def play(arrivals: list[Arrival], room: int) -> Played:
    """Play a load against a fleet whose requests each hold room for SERVICE_S."""
    queue: AdmissionQueue[str] = AdmissionQueue()
    loop = asyncio.new_event_loop()
    free = [room]
    ends: list[tuple[float, str, int]] = []
    waiting: list[tuple[Ticket, asyncio.Future[str | None]]] = []
    result = {"in_time": 0, "late": 0, "refused": 0}
    served: Counter[str] = Counter()
    held_s = [0.0]
    ticks = [0.0]

    def _serve(item: Ticket, now_s: float) -> None:
        queue.hold(item.workspace, item.tokens, now_s)
        heapq.heappush(ends, (now_s + SERVICE_S, item.workspace, item.tokens))
        served[item.workspace] += 1
        on_time = now_s - item.arrived_s <= item.objective_s
        result["in_time" if on_time else "late"] += 1

    def _settle(now_s: float) -> None:
        queue.pump(now_s)
        for item, granted in list(waiting):
            if granted.done():
                waiting.remove((item, granted))
                queue.remove(item)
                if granted.result() is None:
                    result["refused"] += 1
                    held_s[0] = max(held_s[0], now_s - item.arrived_s)
                else:
                    _serve(item, now_s)

    def _finish_until(until_s: float) -> None:
        while min(ticks[0], ends[0][0] if ends else math.inf) <= until_s:
            if ends and ends[0][0] <= ticks[0]:
                now_s, workspace, tokens = heapq.heappop(ends)
                free[0] += tokens
                queue.free(workspace, tokens)
            else:
                now_s = ticks[0]
                ticks[0] += WATCH_INTERVAL_S
            _settle(now_s)

    def _arrive(number: int, arrival: Arrival) -> None:
        item = ticket(
            number,
            workspace=arrival.workspace,
            tokens=arrival.tokens,
            arrived_s=arrival.at_s,
        )
        if free[0] >= item.tokens and not waiting:
            free[0] -= item.tokens
            _serve(item, arrival.at_s)
            return
        if not queue.should_wait(item, arrival.at_s):
            result["refused"] += 1
            return

        def _find_room() -> str | None:
            if free[0] < item.tokens:
                return None
            free[0] -= item.tokens
            return "chain"

        granted: asyncio.Future[str | None] = loop.create_future()
        queue.add(Waiting(item, _find_room, granted))
        waiting.append((item, granted))
        _settle(arrival.at_s)

    for number, arrival in enumerate(arrivals):
        _finish_until(arrival.at_s)
        _arrive(number, arrival)
    _finish_until(arrivals[-1].at_s + 10)
    loop.close()
    return Played(
        result["in_time"], result["late"], result["refused"], held_s[0], served
    )


class PlayedLoadTests(unittest.TestCase):
    """The loads that the queue answers: a burst, and one workspace that floods."""

    def test_burst_keeps_the_fleet_busy_and_tells_the_rest_at_once(self) -> None:
        random = Random(3)
        # Room for ten requests of a second each, and fifteen a second for ten seconds.
        arrivals = [
            Arrival(number / 15, f"w{random.randrange(4)}", 100)
            for number in range(150)
        ]
        played = play(arrivals, room=1_000)
        self.assertEqual(played.in_time + played.late + played.refused, 150)
        self.assertGreaterEqual(played.in_time + played.late, 95)
        self.assertGreater(played.in_time, played.late)
        self.assertLessEqual(
            played.longest_held_s, WAIT_OBJECTIVES * OBJECTIVE_S + WATCH_INTERVAL_S
        )

    def test_no_request_waits_while_there_is_room(self) -> None:
        arrivals = [Arrival(number / 8, "w", 100) for number in range(80)]
        played = play(arrivals, room=1_000)
        self.assertEqual(played, Played(80, 0, 0, 0.0, Counter(w=80)))

    def test_large_workspace_does_not_crowd_out_a_small_one(self) -> None:
        flood = [Arrival(number / 30, "large", 100) for number in range(300)]
        trickle = [Arrival(number / 2 + 0.01, "small", 100) for number in range(20)]
        played = play(sorted(flood + trickle), room=1_000)
        self.assertGreaterEqual(played.served_by_workspace["small"], 10)

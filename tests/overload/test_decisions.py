"""Tests of the decision on waiting requests, alone and over random loads."""

from __future__ import annotations

import heapq
import unittest
from collections import Counter
from random import Random
from typing import NamedTuple

import highspy

from yuccareach.overload.decisions import decide, rank_by_urgency
from yuccareach.overload.tickets import (
    MAX_WAIT_OBJECTIVES_WITH_PRIORITIES,
    Ticket,
)

RANDOM_LOADS = 2_000
OPTIMUM_LOADS = 60
VALUE_BY_PRIORITY = {0: (2.8, 0.29), 1: (1.4, 0.36), 2: (0.74, 0.28)}


def build_ticket(number: int, **fields: object) -> Ticket:
    values = {
        "workspace": "w",
        "priority": 1,
        "tokens": 100,
        "arrived_s": 0.0,
        "objective_s": 0.5,
        **fields,
    }
    return Ticket(number, **values)  # type: ignore[arg-type]


def start_within(free_tokens: list[int], ticket: Ticket) -> bool:
    """Take a ticket's tokens of the only item of a list, if there are as many."""
    if ticket.tokens > free_tokens[0]:
        return False
    free_tokens[0] -= ticket.tokens
    return True


class DecisionTests(unittest.TestCase):
    def decide(self, *tickets: Ticket, free: int = 100, now_s: float = 0.1):
        left = [free]
        return decide(tickets, lambda item: start_within(left, item), {}, now_s)

    def test_more_urgent_request_starts_and_the_other_waits(self) -> None:
        # Guards against a burst in which the most urgent were refused most often.
        decision = self.decide(build_ticket(1), build_ticket(2, priority=0))
        self.assertEqual(decision.started, (2,))
        self.assertEqual(decision.wait_until_s_by_number, {1: 1.5})

    def test_caller_that_returns_as_told_goes_before_a_new_one_of_its_priority(
        self,
    ) -> None:
        # Guards against a caller that is refused twice, since it is new each time.
        late_return = build_ticket(1, arrived_s=0.05, is_return=True)
        self.assertEqual(self.decide(build_ticket(2), late_return).started, (1,))
        urgent = build_ticket(3, priority=0)
        self.assertEqual(self.decide(urgent, late_return).started, (3,))

    def test_late_request_goes_after_one_that_can_be_on_time(self) -> None:
        # Guards against two late callers in place of one.
        late = build_ticket(1, priority=0)
        on_time = build_ticket(2, priority=2, arrived_s=0.6)
        self.assertEqual(self.decide(late, on_time, now_s=0.7).started, (2,))

    def test_least_work_goes_first_and_counts_for_more_in_a_large_workspace(
        self,
    ) -> None:
        small = build_ticket(1, arrived_s=0.05, work=50.0)
        self.assertEqual(self.decide(build_ticket(2, work=60.0), small).started, (1,))
        left = [100]
        tickets = (build_ticket(2, work=60.0, workspace="small"), small)
        decision = decide(
            tickets, lambda item: start_within(left, item), {"w": 3_000}, 0.1
        )
        self.assertEqual(decision.started, (2,))

    def test_request_past_its_deadline_is_refused_although_it_fits(self) -> None:
        decision = self.decide(build_ticket(1), now_s=1.5)
        self.assertEqual((decision.started, decision.refused), ((), (1,)))

    def test_smaller_request_overtakes_until_the_larger_has_waited_long(self) -> None:
        # Guards against large requests that never start beside small ones.
        large = build_ticket(1, tokens=200)
        small = build_ticket(2, arrived_s=0.05)
        self.assertEqual(self.decide(large, small).started, (2,))
        self.assertEqual(self.decide(large, small, now_s=0.8).started, ())


class Arrival(NamedTuple):
    """A request of a random load on one pool of tokens."""

    ticket: Ticket
    hold_s: float


class Outcome(NamedTuple):
    """When each request of a random load started, and which were refused when."""

    started_s_by_number: dict[int, float]
    refused_s_by_number: dict[int, float]


def draw_load(random: Random, count: int, step_s: float = 0.1) -> list[Arrival]:
    """Return random requests that arrive at multiples of a step, in order."""
    arrivals = []
    arrived_s = 0.0
    for number in range(count):
        arrived_s += step_s * random.choice((0, 0, 1, 1, 2))
        priority = random.randrange(3)
        ticket = Ticket(
            number=number,
            workspace=f"w{random.randrange(3)}",
            priority=priority,
            tokens=random.randint(1, 3),
            arrived_s=arrived_s,
            objective_s=(0.5, 0.6, 1.2)[priority],
            max_wait_objectives=MAX_WAIT_OBJECTIVES_WITH_PRIORITIES,
        )
        hold_s = step_s * random.randint(3, 12)
        ticket = ticket._replace(work=ticket.tokens * hold_s)
        arrivals.append(Arrival(ticket, hold_s))
    return arrivals


class Pool:
    """A pool of tokens that random loads share, and checks of each decision."""

    def __init__(self, test: unittest.TestCase, capacity: int) -> None:
        self.test = test
        self.capacity = capacity
        self.free = [capacity]
        self.held: Counter[str] = Counter()
        self.waiting: dict[int, Arrival] = {}
        self.ends: list[tuple[float, int, Arrival]] = []
        self.outcome = Outcome({}, {})

    def apply(self, now_s: float) -> None:
        """Decide, and check what was decided."""
        tickets = [item.ticket for item in self.waiting.values()]
        held = dict(self.held)
        decision = decide(
            tickets, lambda item: start_within(self.free, item), held, now_s
        )
        left = [
            item.ticket
            for number, item in self.waiting.items()
            if number in decision.wait_until_s_by_number
        ]
        is_blocked = any(ticket.blocks_overtaking(now_s) for ticket in left)
        # No capacity is idle beside a request that fits and may wait.
        if not is_blocked:
            for ticket in left:
                self.test.assertGreater(ticket.tokens, self.free[0])
        # None that is at least as large starts before one that goes first.
        for number in decision.started:
            started = self.waiting[number].ticket
            for ticket in left:
                goes_first = rank_by_urgency(
                    ticket, held.get(ticket.workspace, 0), now_s
                ) < rank_by_urgency(started, held.get(started.workspace, 0), now_s)
                self.test.assertFalse(goes_first and ticket.tokens <= started.tokens)
        for number in decision.refused:
            # Refusals are true: the request has not started.
            self.test.assertNotIn(number, self.outcome.started_s_by_number)
            self.test.assertGreaterEqual(
                now_s, self.waiting[number].ticket.wait_deadline_s
            )
            self.outcome.refused_s_by_number[number] = now_s
            del self.waiting[number]
        for number in decision.started:
            arrival = self.waiting.pop(number)
            self.held[arrival.ticket.workspace] += arrival.ticket.tokens
            heapq.heappush(self.ends, (now_s + arrival.hold_s, number, arrival))
            self.outcome.started_s_by_number[number] = now_s

    def release(self, now_s: float) -> None:
        """Release the capacity of the requests that have ended."""
        while self.ends and self.ends[0][0] <= now_s + 1e-9:
            _, _, arrival = heapq.heappop(self.ends)
            self.free[0] += arrival.ticket.tokens
            self.held[arrival.ticket.workspace] -= arrival.ticket.tokens


def play(test: unittest.TestCase, load: list[Arrival], capacity: int) -> Outcome:
    """Play a load in steps of 0.1 s until every request has started or is refused."""
    pool = Pool(test, capacity)
    step = 0
    rest = list(reversed(load))
    while rest or pool.waiting:
        now_s = step * 0.1
        pool.release(now_s)
        while rest and rest[-1].ticket.arrived_s <= now_s + 1e-9:
            arrival = rest.pop()
            pool.waiting[arrival.ticket.number] = arrival
        pool.apply(now_s)
        step += 1
    return pool.outcome


def compute_value(load: list[Arrival], outcome: Outcome) -> float:
    """Return what callers get of a load."""
    value = 0.0
    for arrival in load:
        started_s = outcome.started_s_by_number.get(arrival.ticket.number)
        if started_s is not None:
            on_time, late = VALUE_BY_PRIORITY[arrival.ticket.priority]
            value += late if is_late(arrival.ticket, started_s) else on_time
    return value


def is_late(ticket: Ticket, started_s: float) -> bool:
    return started_s > ticket.arrived_s + ticket.objective_s + 1e-9


def solve_optimum(load: list[Arrival], capacity: int) -> float:
    """Return the most that callers can get of a load that is known in advance."""
    highs = highspy.Highs()
    highs.setOptionValue("output_flag", False)
    choices = []
    for arrival in load:
        ticket = arrival.ticket
        first = round(ticket.arrived_s * 10)
        last = int(ticket.wait_deadline_s * 10 - 1e-6)
        on_time, late = VALUE_BY_PRIORITY[ticket.priority]
        for step in range(first, last + 1):
            value = late if is_late(ticket, step / 10) else on_time
            choices.append((highs.addBinary(), arrival, step, value))
    for arrival in load:
        highs.addConstr(sum(item[0] for item in choices if item[1] is arrival) <= 1)
    for step in range(max(item[2] for item in choices) + 1):
        used = [
            variable * arrival.ticket.tokens
            for variable, arrival, start, _ in choices
            if start <= step < start + round(arrival.hold_s * 10)
        ]
        if used:
            highs.addConstr(sum(used) <= capacity)
    highs.maximize(sum(variable * value for variable, _, _, value in choices))
    return highs.getInfo().objective_function_value


class RandomLoadTests(unittest.TestCase):
    def test_decisions_keep_their_rules_and_answer_each_request_in_time(self) -> None:
        # Guards against idle capacity, unfair overtaking, and callers without answer.
        random = Random(1)
        for _ in range(RANDOM_LOADS):
            load = draw_load(random, random.randint(2, 14))
            outcome = play(self, load, random.randint(3, 6))
            for arrival in load:
                number = arrival.ticket.number
                deadline_s = arrival.ticket.wait_deadline_s
                started_s = outcome.started_s_by_number.get(number)
                refused_s = outcome.refused_s_by_number.get(number)
                self.assertNotEqual(started_s is None, refused_s is None)
                answered_s = started_s if refused_s is None else refused_s
                self.assertLess(answered_s, deadline_s + 0.1 + 1e-9)

    def test_more_urgent_kind_is_not_served_less_often(self) -> None:
        # Guards against the burst in which priority 0 was refused 40 times as often as
        # priority 2, since its requests have the shortest time to wait.
        random = Random(2)
        arrived: Counter[int] = Counter()
        on_time: Counter[int] = Counter()
        for _ in range(200):
            load = draw_load(random, 40)
            outcome = play(self, load, 5)
            for arrival in load:
                ticket = arrival.ticket
                started_s = outcome.started_s_by_number.get(ticket.number)
                arrived[ticket.priority] += 1
                on_time[ticket.priority] += started_s is not None and not is_late(
                    ticket, started_s
                )
        fractions = [on_time[priority] / arrived[priority] for priority in range(3)]
        self.assertEqual(fractions, sorted(fractions, reverse=True))

    def test_callers_get_nine_tenths_of_the_optimum_on_average(self) -> None:
        random = Random(3)
        ratios = []
        for _ in range(OPTIMUM_LOADS):
            load = draw_load(random, random.randint(4, 8))
            capacity = random.randint(3, 5)
            value = compute_value(load, play(self, load, capacity))
            ratios.append(value / solve_optimum(load, capacity))
        mean_ratio = sum(ratios) / len(ratios)
        print(f"\noverload: {mean_ratio:.3f} of the optimum, worst {min(ratios):.3f}")
        self.assertGreaterEqual(mean_ratio, 0.9)
        self.assertLessEqual(max(ratios), 1 + 1e-6)

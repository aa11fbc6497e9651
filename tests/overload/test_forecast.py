"""Tests of the forecast of free capacity, and of headroom and return times."""

from __future__ import annotations

import unittest

from yuccareach.overload.forecast import (
    GrantRate,
    HoldTimes,
    ServiceLoad,
    count_tokens_ahead,
    estimate_wait_s,
)
from yuccareach.overload.headroom import (
    HEADROOM_FRACTION,
    MAX_HEADROOM_FRACTION,
    MAX_SUMS_AGE_S,
    PRIORITY_RETENTION_S,
    WAITING_ELSEWHERE_WEIGHT,
    PriorityDemand,
    WaitingElsewhere,
    compute_headroom_fraction,
)
from yuccareach.overload.returns import (
    MAX_EXPECTED_RETURNS,
    MAX_RETRY_DELAY_S,
    MAX_RETURN_DELAY_S,
    MIN_RETRY_DELAY_S,
    ReturnSlots,
)

from .test_decisions import build_ticket


class WaitTests(unittest.TestCase):
    def test_ends_of_all_entries_streams_are_counted_where_they_are_known(self) -> None:
        # Guards against refusals by an entry that had granted nothing for 2 s, while
        # 140 streams a second ended.
        load = ServiceLoad(350, 2.5, 912.0, {})
        wait_s = estimate_wait_s(build_ticket(1, tokens=912), 0, 0.0, load)
        self.assertAlmostEqual(wait_s or 0.0, 1 / 140)
        self.assertIsNone(estimate_wait_s(build_ticket(1), 0, 0.0, None))
        unknown = load._replace(mean_hold_s=0.0)
        self.assertIsNone(estimate_wait_s(build_ticket(1), 0, 0.0, unknown))

    def test_only_more_urgent_tokens_that_wait_elsewhere_go_first(self) -> None:
        load = ServiceLoad(10, 1.0, 100.0, {0: 500, 1: 400, 2: 9_000})
        ticket = build_ticket(1, tokens=100)
        self.assertEqual(estimate_wait_s(ticket, 0, 0.0, load), 1.0)
        waiting = [build_ticket(2, priority=2), build_ticket(3, priority=0)]
        self.assertEqual(count_tokens_ahead(ticket, waiting), 100)

    def test_withdrawn_and_old_grants_do_not_count_towards_the_rate(self) -> None:
        rate = GrantRate()
        rate.record(1_000, 0.0)
        rate.record(500, 1.0)
        rate.withdraw(500)
        self.assertEqual(rate.measure_rate(1.0), 1_000.0)
        self.assertEqual(rate.measure_rate(3.0), 0.0)

    def test_hold_times_follow_the_requests_that_end(self) -> None:
        times = HoldTimes()
        times.record(2.0, 900)
        for _ in range(200):
            times.record(4.0, 300)
        self.assertAlmostEqual(times.mean_s, 4.0, 2)
        self.assertAlmostEqual(times.mean_tokens, 300, delta=1)


class HeadroomTests(unittest.TestCase):
    def test_single_priority_leaves_nothing_free(self) -> None:
        # Guards against idle capacity on deployments whose requests are all equal.
        self.assertEqual(compute_headroom_fraction(1, {1}, {1: 9_000}, 1e6), 0.0)

    def test_each_more_urgent_priority_adds_to_the_headroom(self) -> None:
        for priority, levels in ((0, 0), (1, 1), (2, 2)):
            fraction = compute_headroom_fraction(priority, {0, 1, 2}, {}, 1e6)
            self.assertAlmostEqual(fraction, levels * HEADROOM_FRACTION)

    def test_tokens_that_wait_elsewhere_add_up_to_a_maximum(self) -> None:
        quiet = compute_headroom_fraction(2, {0, 2}, {}, 100_000)
        waiting = compute_headroom_fraction(2, {0, 2}, {0: 10_000}, 100_000)
        self.assertAlmostEqual(waiting - quiet, 0.1 * WAITING_ELSEWHERE_WEIGHT)
        most = compute_headroom_fraction(2, {0, 2}, {0: 10**9}, 100_000)
        self.assertEqual(most, MAX_HEADROOM_FRACTION)
        less_urgent = compute_headroom_fraction(0, {0, 2}, {2: 10**9}, 100_000)
        self.assertEqual(less_urgent, 0.0)

    def test_old_sums_and_priorities_are_forgotten(self) -> None:
        # Guards against capacity held back by sums of a leader that is gone.
        demand = PriorityDemand()
        demand.record_arrival(2, 0.0)
        demand.elsewhere = WaitingElsewhere({0: 10, 1: 0}, 0.0)
        self.assertEqual(demand.find_priorities(MAX_SUMS_AGE_S), {0, 2})
        self.assertEqual(demand.find_priorities(MAX_SUMS_AGE_S + 0.1), {2})
        self.assertEqual(demand.find_priorities(PRIORITY_RETENTION_S + 0.1), set())

    def test_priority_below_its_share_is_found(self) -> None:
        # Guards against a kind that gets nothing while more urgent ones fill all.
        demand = PriorityDemand()
        demand.record_grant(0, 10_000, 0.0)
        self.assertTrue(demand.is_below_min_share(2))
        demand.record_grant(2, 1_000, 0.1)
        self.assertFalse(demand.is_below_min_share(2))
        for at_s in range(1, 60):
            demand.record_grant(0, 10_000, float(at_s))
        self.assertTrue(demand.is_below_min_share(2))


class ReturnTests(unittest.TestCase):
    def plan(self, slots: ReturnSlots, priority: int, interval_s: float = 0.5) -> float:
        return slots.plan(priority, interval_s, 10.0, 100.0, 10.0)

    def test_refused_callers_return_one_after_another(self) -> None:
        # Guards against callers that all return at once and are refused again.
        slots = ReturnSlots()
        times_s = [self.plan(slots, 1) for _ in range(3)]
        self.assertEqual(times_s, [10.5, 11.0, 11.5])

    def test_less_urgent_callers_do_not_delay_more_urgent_ones(self) -> None:
        slots = ReturnSlots()
        self.plan(slots, 2, 3.0)
        self.assertEqual(self.plan(slots, 0), 10.5)
        self.assertEqual(self.plan(slots, 2), 13.5)

    def test_times_keep_their_bounds(self) -> None:
        # Guards against times so late that callers do not return at all.
        slots = ReturnSlots()
        for _ in range(40):
            last_s = self.plan(slots, 1)
        self.assertEqual(last_s, 10.0 + MAX_RETRY_DELAY_S)
        self.assertEqual(slots.plan(1, 0.5, 10.0, 12.0, 10.0), 12.0)
        self.assertEqual(slots.plan(1, 0.5, 30.0, 12.0, 10.0), 30.0)
        soonest_s = ReturnSlots().plan(1, 0.0, 10.0, 10.0, 10.0)
        self.assertEqual(soonest_s, 10.0 + MIN_RETRY_DELAY_S)

    def test_caller_that_returns_as_told_is_expected_once(self) -> None:
        slots = ReturnSlots()
        slots.expect(b"a", 12.0)
        self.assertTrue(slots.accept(b"a", 12.1))
        self.assertFalse(slots.accept(b"a", 12.1))
        for returned_s in (11.0, 12.1 + MAX_RETURN_DELAY_S):
            slots.expect(b"b", 12.0)
            self.assertFalse(slots.accept(b"b", returned_s))

    def test_memory_for_callers_that_never_return_is_bounded(self) -> None:
        slots = ReturnSlots()
        for number in range(MAX_EXPECTED_RETURNS + 10):
            slots.expect(str(number).encode(), 12.0)
        self.assertEqual(len(slots.due_s_by_fingerprint), MAX_EXPECTED_RETURNS)
        self.assertFalse(slots.accept(b"0", 12.0))

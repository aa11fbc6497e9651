"""Tests of what an instance may send to a limited server."""

from __future__ import annotations

import unittest

from yuccareach.quota.holdings import (
    DEMAND_WINDOW_MS,
    STOCK_WINDOW_MS,
    GrantRequest,
    Holding,
    Share,
    apply_grants,
    count_available,
    give_back,
    plan_grant_request,
    record_miss,
    scale,
    take,
)
from yuccareach.quota.limits import GRANT_LIFETIME_MS


def build_share(
    now_ms: int, contact_ms: int | None = None, instances: int = 4
) -> Share:
    return Share(4.0, instances, now_ms if contact_ms is None else contact_ms, now_ms)


class HoldingTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.holding = Holding(0.0)
        # Control knows of the limit.
        apply_grants(self.holding, 0, 0)

    def count(self, now_ms: int, contact_ms: int | None = None) -> int:
        return count_available(self.holding, build_share(now_ms, contact_ms))


class GrantTests(HoldingTestCase):
    def test_grant_is_used_once(self) -> None:
        apply_grants(self.holding, 1, 0)
        self.assertIsNotNone(take(self.holding, build_share(10)))
        self.assertIsNone(take(self.holding, build_share(10)))

    def test_grant_that_has_run_out_is_not_used(self) -> None:
        apply_grants(self.holding, 3, 0)
        self.assertEqual(self.count(GRANT_LIFETIME_MS - 1), 3)
        self.assertEqual(self.count(GRANT_LIFETIME_MS), 0)

    def test_grant_counts_from_the_request_for_it(self) -> None:
        apply_grants(self.holding, 1, 1_000)
        apply_grants(self.holding, 1, 500)
        self.assertEqual(self.count(500 + GRANT_LIFETIME_MS), 1)

    def test_request_that_was_not_sent_gives_its_grant_back(self) -> None:
        apply_grants(self.holding, 1, 0)
        grant = take(self.holding, build_share(10))
        assert grant is not None
        give_back(self.holding, grant)
        self.assertEqual(self.count(20), 1)
        self.assertEqual(self.count(GRANT_LIFETIME_MS), 0)

    def test_lower_limit_leaves_a_part_of_the_grants(self) -> None:
        for former_per_s, limit_per_s, left in (
            (8.0, 4.0, 2),
            (8.0, 1.0, 0),
            (2.0, 8.0, 4),
            (None, 2.0, 4),
        ):
            holding = Holding(0.0)
            apply_grants(holding, 4, 0)
            scale(holding, former_per_s, limit_per_s)
            self.assertEqual(count_available(holding, build_share(0)), left)


class GrantRequestTests(HoldingTestCase):
    def test_demand_is_what_was_sent_and_what_missed_a_grant(self) -> None:
        apply_grants(self.holding, 4, 0)
        for _ in range(4):
            take(self.holding, build_share(0))
        for request in ("a", "b", "b"):
            record_miss(self.holding, request, 0)
        self.assertEqual(
            plan_grant_request(self.holding, build_share(0)), GrantRequest(4, 0)
        )

    def test_past_demand_counts_no_longer(self) -> None:
        record_miss(self.holding, "a", 0)
        share = Share(0.5, 4, DEMAND_WINDOW_MS, DEMAND_WINDOW_MS)
        self.assertEqual(plan_grant_request(self.holding, share), GrantRequest(0, 0))

    def test_grants_that_are_not_needed_are_returned_and_not_used(self) -> None:
        apply_grants(self.holding, 3, 0)
        self.assertEqual(
            plan_grant_request(self.holding, build_share(0)), GrantRequest(0, 3)
        )
        self.assertEqual(self.count(0), 0)

    def test_grants_that_expire_soon_are_returned_and_asked_for_again(self) -> None:
        apply_grants(self.holding, 1, 0)
        record_miss(self.holding, "a", 900)
        self.assertEqual(
            plan_grant_request(self.holding, build_share(900)), GrantRequest(1, 1)
        )

    def test_share_of_an_instance_with_recent_demand_is_kept_in_stock(self) -> None:
        record_miss(self.holding, "a", 0)
        ample = Share(8.0, 2, 2_000, 2_000)
        self.assertEqual(plan_grant_request(self.holding, ample), GrantRequest(2, 0))
        later = Share(8.0, 2, STOCK_WINDOW_MS, STOCK_WINDOW_MS)
        self.assertEqual(plan_grant_request(self.holding, later), GrantRequest(0, 0))


class NewLimitTests(HoldingTestCase):
    def test_share_of_its_own_bridges_the_time_until_control_answers(self) -> None:
        holding = Holding(0.5)
        self.assertEqual(count_available(holding, build_share(0)), 0)
        self.assertEqual(count_available(holding, build_share(1_000)), 1)
        apply_grants(holding, 0, 1_000)
        self.assertEqual(count_available(holding, build_share(1_100)), 0)


class CutOffTests(HoldingTestCase):
    """An instance that control has not answered since time 0."""

    def count_sent(self, from_ms: int, to_ms: int, step_ms: int = 10) -> int:
        """Return how many requests are sent if there is always one at hand."""
        return sum(
            take(self.holding, build_share(now_ms, 0)) is not None
            for now_ms in range(from_ms, to_ms, step_ms)
        )

    def test_instance_sends_half_of_an_equal_share(self) -> None:
        self.assertEqual(self.count_sent(GRANT_LIFETIME_MS, 41_210), 20)

    def test_nothing_is_sent_before_the_last_grants_have_expired(self) -> None:
        self.assertEqual(self.count_sent(0, GRANT_LIFETIME_MS), 0)

    def test_idle_instance_saves_no_more_than_a_grants_lifetime(self) -> None:
        self.count_sent(GRANT_LIFETIME_MS, 1_300)
        self.assertLessEqual(self.count(60_000, 0), 1)

    def test_paused_instance_saves_nothing(self) -> None:
        self.assertEqual(self.count(60_000, 0), 0)

    def test_own_share_is_over_once_control_answers(self) -> None:
        self.count_sent(GRANT_LIFETIME_MS, 3_000)
        self.count(4_000, 0)
        apply_grants(self.holding, 1, 4_000)
        self.assertEqual(self.count(4_100, 4_000), 1)

    def test_no_own_request_is_returned_to_control(self) -> None:
        self.count(GRANT_LIFETIME_MS, 0)
        self.count(GRANT_LIFETIME_MS + 2_500, 0)
        demand = plan_grant_request(
            self.holding, build_share(GRANT_LIFETIME_MS + 2_500, 0)
        )
        self.assertEqual(demand.returned, 0)

"""Tests of control's part of the limits of backend servers."""

from __future__ import annotations

import math
import unittest

from yuccareach.quota.allocation import (
    DEMAND_RETENTION_MS,
    LIMIT_RETENTION_MS,
    AllocationTable,
    LimitNotice,
    LimitReport,
    build_notices,
    find_grant_delay_ms,
    record_reports,
)

SERVER = "s@1"


def build_report(
    limit_per_s: float | None = 2.0,
    age_ms: int = 0,
    wanted: int = 0,
    returned: int = 0,
    incarnation: str = SERVER,
) -> LimitReport:
    return LimitReport(incarnation, limit_per_s, age_ms, wanted, returned)


class AllocationTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.table = AllocationTable()

    def report(self, now_ms: int, report: LimitReport, instance: str = "a") -> None:
        record_reports(self.table, instance, [report], now_ms)

    def grant(self, now_ms: int, wanted: int, instance: str = "a") -> int:
        """Report a demand and return what is granted at once."""
        report = build_report(wanted=wanted)
        self.report(now_ms, report, instance)
        return self.notify(now_ms, [report], 0, instance)[0].granted

    def notify(
        self,
        now_ms: int,
        reports: list[LimitReport],
        after_change: int = 0,
        instance: str = "a",
    ) -> list[LimitNotice]:
        return build_notices(self.table, instance, reports, after_change, now_ms)

    @property
    def limit_per_s(self) -> float | None:
        limit = self.table.allocation_by_incarnation[SERVER].limit
        return limit.per_s if limit is not None else None


class GrantTests(AllocationTestCase):
    def test_new_limit_grants_nothing_until_its_rate_has_added_something(self) -> None:
        self.assertEqual(self.grant(0, 5), 0)
        self.assertEqual(self.grant(499, 5), 0)
        self.assertEqual(self.grant(500, 5), 1)
        self.assertEqual(self.grant(501, 5), 0)

    def test_unused_rate_is_kept_up_to_the_capacity_of_the_bucket(self) -> None:
        self.report(0, build_report())
        self.assertEqual(self.grant(60_000, 50), 2)

    def test_instances_that_want_more_than_there_is_get_a_part_each(self) -> None:
        limit = build_report(20.0)
        self.report(0, limit)
        reports = {
            "a": build_report(20.0, wanted=30),
            "b": build_report(20.0, wanted=10),
        }
        for instance, report in reports.items():
            self.report(60_000, report, instance)
        granted = {
            instance: self.notify(60_000, [report], 0, instance)[0].granted
            for instance, report in reports.items()
        }
        self.assertEqual(granted, {"a": 6, "b": 1})

    def test_demand_of_an_instance_that_is_gone_counts_no_longer(self) -> None:
        self.report(0, build_report(20.0))
        self.report(10_000, build_report(20.0, wanted=90), "gone")
        now_ms = 10_000 + DEMAND_RETENTION_MS
        report = build_report(20.0, wanted=6)
        self.report(now_ms, report)
        self.assertEqual(self.notify(now_ms, [report])[0].granted, 6)

    def test_returned_requests_are_granted_again(self) -> None:
        self.report(0, build_report())
        self.assertEqual(self.grant(60_000, 2), 2)
        self.report(60_000, build_report(returned=1))
        self.assertEqual(self.grant(60_000, 2, "b"), 1)

    def test_server_that_takes_nothing_gets_one_request_in_four_seconds(self) -> None:
        report = build_report(0.0, wanted=10)
        granted = 0
        for now_ms in range(0, 40_000, 100):
            self.report(now_ms, report)
            granted += self.notify(now_ms, [report])[0].granted
        self.assertEqual(granted, 9)

    def test_delay_until_the_next_grant_is_known(self) -> None:
        report = build_report(wanted=1)
        self.report(0, report)
        self.assertEqual(find_grant_delay_ms(self.table, [report], 100), 400)
        self.assertEqual(find_grant_delay_ms(self.table, [report], 500), 0)
        idle = build_report()
        self.assertEqual(find_grant_delay_ms(self.table, [idle], 500), math.inf)


class LimitTests(AllocationTestCase):
    def test_newer_reading_of_another_instance_holds(self) -> None:
        self.report(0, build_report(2.0))
        for now_ms, per_s in ((1_000, 8.0), (2_000, 1.0), (3_000, None)):
            self.report(now_ms, build_report(per_s), "b")
            self.assertEqual(self.limit_per_s, per_s)

    def test_older_reading_that_is_reported_late_changes_nothing(self) -> None:
        self.report(5_000, build_report(8.0))
        for per_s in (10.0, None):
            self.report(5_100, build_report(per_s, age_ms=4_000), "b")
            self.assertEqual(self.limit_per_s, 8.0)

    def test_lower_of_two_limits_read_at_about_the_same_time_holds(self) -> None:
        self.report(1_000, build_report(8.0))
        self.report(1_100, build_report(1.0, age_ms=200), "b")
        self.assertEqual(self.limit_per_s, 1.0)
        self.report(1_200, build_report(8.0))
        self.assertEqual(self.limit_per_s, 1.0)
        self.report(1_700, build_report(8.0))
        self.assertEqual(self.limit_per_s, 8.0)

    def test_limit_that_sinks_leaves_no_more_than_its_own_bucket(self) -> None:
        self.report(0, build_report(20.0))
        self.report(60_000, build_report(1.0))
        report = build_report(1.0, wanted=50)
        self.assertEqual(self.notify(60_000, [report])[0].granted, 2)

    def test_limit_that_is_over_grants_nothing_and_is_told(self) -> None:
        self.report(0, build_report())
        change = self.table.changes
        report = build_report(None, wanted=3)
        self.report(60_000, report)
        notice = self.notify(60_000, [], change)[0]
        self.assertEqual((notice.limit_per_s, notice.granted), (None, 0))

    def test_only_changes_after_the_known_one_are_told(self) -> None:
        self.report(0, build_report())
        change = self.table.changes
        self.report(1_000, build_report(incarnation="t@1"))
        told = [notice.incarnation for notice in self.notify(1_000, [], change)]
        self.assertEqual(told, ["t@1"])
        self.report(2_000, build_report(incarnation="t@1"))
        self.assertEqual(self.notify(2_000, [], self.table.changes), [])

    def test_limits_that_are_reported_no_longer_are_forgotten(self) -> None:
        self.report(0, build_report())
        self.report(LIMIT_RETENTION_MS, build_report(incarnation="t@1"))
        self.assertEqual(set(self.table.allocation_by_incarnation), {"t@1"})

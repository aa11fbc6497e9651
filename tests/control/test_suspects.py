"""Tests of which backend servers entries are told to probe."""

from __future__ import annotations

import unittest

from yuccareach.control.suspects import MAX_SUSPECTS_PER_ENTRY, SuspectReports
from yuccareach.control.views import ENTRY_REPORT_RETENTION_MS, EntryReports
from yuccareach.proto import control_pb2 as cpb


class SuspectReportsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reports = SuspectReports()

    def test_first_report_lists_a_server_and_later_ones_change_nothing(self) -> None:
        self.assertTrue(self.reports.record("e1", ["a"]))
        self.assertFalse(self.reports.record("e1", ["a"]))
        self.assertFalse(self.reports.record("e2", ["a"]))
        self.assertEqual((self.reports.listed, self.reports.version), ({"a"}, 1))

    def test_server_is_no_suspect_once_no_entry_reports_it(self) -> None:
        self.reports.record("e1", ["a"])
        self.reports.record("e2", ["a"])
        self.reports.record("e1", [])
        self.assertEqual(self.reports.listed, {"a"})
        self.reports.record("e2", [])
        self.assertEqual(self.reports.listed, frozenset())
        self.assertTrue(self.reports.record("e2", ["a"]))
        self.assertEqual(self.reports.version, 2)

    def test_entry_that_is_cut_off_makes_nobody_probe_all_servers(self) -> None:
        names = [f"s{number}" for number in range(MAX_SUSPECTS_PER_ENTRY + 1)]
        self.assertFalse(self.reports.record("e1", names))
        self.assertEqual(self.reports.listed, frozenset())
        self.assertTrue(self.reports.record("e2", names[:2]))
        self.assertEqual(self.reports.listed, set(names[:2]))

    def test_zone_that_is_lost_is_confirmed_by_a_second_entry(self) -> None:
        names = [f"s{number}" for number in range(MAX_SUSPECTS_PER_ENTRY + 1)]
        self.reports.record("e1", names)
        self.assertTrue(self.reports.record("e2", names))
        self.assertEqual(self.reports.listed, set(names))


class EntryReportsTests(unittest.TestCase):
    def test_suspects_of_an_entry_that_fell_silent_are_dropped(self) -> None:
        reports = EntryReports()
        self.assertTrue(
            reports.record(cpb.ViewRequest(instance="e1", suspects=["a"]), 0)
        )
        reports.record(cpb.ViewRequest(instance="e2"), ENTRY_REPORT_RETENTION_MS)
        self.assertEqual(reports.suspects.listed, frozenset())

"""Tests of the replicated withdrawals of backend servers."""

from __future__ import annotations

import unittest
from unittest import mock

from yuccareach.control import withdrawals as withdrawals_module
from yuccareach.control.state_machine import StateMachine, load_state_machine
from yuccareach.control.withdrawals import WITHDRAWAL_RETENTION_MS, Withdrawals
from yuccareach.proto import control_pb2 as cpb


def departure(name: str, started: int = 5) -> cpb.Withdrawal:
    return cpb.Withdrawal(backend_server=name, started_ms=started, departed=True)


def drain(name: str, started: int = 5, sequence: int = 3) -> cpb.Withdrawal:
    return cpb.Withdrawal(backend_server=name, started_ms=started, sequence=sequence)


class WithdrawalTests(unittest.TestCase):
    def setUp(self) -> None:
        self.withdrawals = Withdrawals()

    def names(self) -> list[str]:
        return list(self.withdrawals.record_by_name)

    def test_departure_covers_the_drain_of_the_same_incarnation(self) -> None:
        self.withdrawals.apply(departure("a"), 0)
        self.assertTrue(self.withdrawals.covers(drain("a", sequence=99)))
        self.assertFalse(self.withdrawals.covers(drain("a", started=6)))
        self.assertFalse(self.withdrawals.covers(drain("b")))

    def test_repeated_or_late_withdrawal_changes_nothing(self) -> None:
        self.withdrawals.apply(departure("a", started=6), 0)
        self.withdrawals.apply(departure("a", started=6), 10)
        self.withdrawals.apply(departure("a", started=5), 20)
        self.assertEqual(self.withdrawals.changes, 1)
        (record,) = self.withdrawals.list_after(0)
        self.assertEqual((record.started_ms, record.at_ms), (6, 0))

    def test_departure_without_a_start_is_not_stored(self) -> None:
        self.withdrawals.apply(departure("a", started=0), 0)
        self.assertEqual(self.names(), [])

    def test_changes_after_a_number_are_listed_oldest_first(self) -> None:
        for name in ("a", "b"):
            self.withdrawals.apply(drain(name), 0)
        self.withdrawals.apply(departure("a"), 0)
        listed = [item.backend_server for item in self.withdrawals.list_after(0)]
        self.assertEqual(listed, ["b", "a"])
        listed = [item.backend_server for item in self.withdrawals.list_after(2)]
        self.assertEqual(listed, ["a"])

    def test_old_withdrawals_and_those_above_the_limit_are_removed(self) -> None:
        self.withdrawals.apply(departure("a"), 0)
        self.withdrawals.apply(departure("b"), WITHDRAWAL_RETENTION_MS + 1)
        self.assertEqual(self.names(), ["b"])
        with mock.patch.object(withdrawals_module, "MAX_WITHDRAWALS", 2):
            self.withdrawals.apply(departure("c"), WITHDRAWAL_RETENTION_MS + 1)
            self.withdrawals.apply(departure("d"), WITHDRAWAL_RETENTION_MS + 1)
        self.assertEqual(self.names(), ["c", "d"])


class SnapshotTests(unittest.TestCase):
    def test_snapshot_lost_withdrawals(self) -> None:
        machine = StateMachine()
        for withdrawal in (drain("a"), departure("b"), departure("a")):
            machine.apply(cpb.Command(withdrawal=withdrawal))
        restored = load_state_machine(machine.dump())
        self.assertEqual(restored.dump(), machine.dump())
        self.assertEqual(restored.withdrawals.changes, 3)
        self.assertTrue(restored.withdrawals.covers(departure("a")))
        restored.apply(cpb.Command(withdrawal=departure("c")))
        (newest,) = restored.withdrawals.list_after(3)
        self.assertEqual(newest.backend_server, "c")

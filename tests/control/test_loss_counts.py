"""Tests of the loss counts in the replicated state machine."""

from __future__ import annotations

import unittest

from yuccareach.control.state_machine import StateMachine, load_state_machine
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quarantine.counts import (
    CONFIRMED_PART_LOSSES,
    MAX_FINGERPRINTS,
    QUARANTINE_MS,
    LossCount,
)
from yuccareach.quarantine.reporting import build_command


class LossCountTests(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = StateMachine()

    def report(
        self, fingerprint: bytes, generation: int, losses: int, at_ms: int = 1_000
    ) -> None:
        command = build_command({fingerprint: LossCount(generation, losses)})
        command.losses.at_ms = at_ms
        self.machine.apply(command)

    def read_counts(self, after: int = 0, wall_ms: int = 1_000) -> list[LossCount]:
        records = self.machine.loss_counts.list_after(after, wall_ms)
        return [LossCount(record.generation, record.losses) for record in records]

    def test_repeated_or_outdated_report_changes_nothing(self) -> None:
        self.report(b"a", 0, 2)
        changes = self.machine.loss_counts.changes
        self.report(b"a", 0, 2)
        self.report(b"a", 0, 1)
        self.assertEqual(self.machine.loss_counts.changes, changes)
        self.report(b"a", 1, 0)
        self.report(b"a", 0, 3)
        self.assertEqual(self.read_counts(), [LossCount(1, 0)])

    def test_readers_get_only_changes_that_they_lack(self) -> None:
        self.report(b"a", 0, 1)
        change = self.machine.loss_counts.changes
        self.report(b"b", 0, 1)
        (record,) = self.machine.loss_counts.list_after(change, 61_000)
        self.assertEqual(record.fingerprint, b"b")
        self.assertEqual(record.expires_ms, 1_000 + QUARANTINE_MS)

    def test_expired_counts_are_not_sent(self) -> None:
        self.report(b"a", 0, 1)
        self.assertEqual(self.read_counts(wall_ms=1_000 + QUARANTINE_MS), [])

    def test_limited_reader_gets_the_oldest_changes_first(self) -> None:
        for fingerprint in (b"a", b"b", b"c"):
            self.report(fingerprint, 0, 1)
        records = self.machine.loss_counts.list_after(0, 1_000, limit=2)
        self.assertEqual([item.fingerprint for item in records], [b"a", b"b"])

    def test_snapshot_keeps_counts_and_drops_expired_ones(self) -> None:
        self.report(b"old", 0, 1, at_ms=1_000)
        self.report(b"a", 3, 2, at_ms=1_000 + QUARANTINE_MS)
        restored = load_state_machine(self.machine.dump())
        self.assertEqual(list(restored.loss_counts.record_by_fingerprint), [b"a"])
        self.assertEqual(restored.dump(), self.machine.dump())
        self.assertEqual(restored.loss_counts.changes, self.machine.loss_counts.changes)

    def test_reports_that_know_of_different_servers_are_joined(self) -> None:
        for lost_servers, losses in (((1, 7), 2), ((3,), 1)):
            command = build_command({b"a": LossCount(0, losses, lost_servers)})
            command.losses.at_ms = 1_000
            self.machine.apply(command)
        (record,) = self.machine.loss_counts.list_after(0, 1_000)
        self.assertEqual((record.losses, list(record.lost_servers)), (2, [1, 3, 7]))
        restored = load_state_machine(self.machine.dump())
        self.assertEqual(restored.dump(), self.machine.dump())

    def test_report_of_fewer_losses_leaves_the_time_of_a_quarantine(self) -> None:
        for count, at_ms in (
            (LossCount(0, CONFIRMED_PART_LOSSES, (1,)), 1_000),
            (LossCount(0, 2, (2,)), 9),
        ):
            command = build_command({b"a": count})
            command.losses.at_ms = at_ms
            self.machine.apply(command)
        (record,) = self.machine.loss_counts.list_after(0, 1_000)
        self.assertEqual(record.expires_ms, 1_000 + 2 * QUARANTINE_MS)

    def test_report_of_an_earlier_version_keeps_the_servers(self) -> None:
        for count in (LossCount(0, 1, (5,)), LossCount(0, 2)):
            command = build_command({b"a": count})
            command.losses.at_ms = 1_000
            self.machine.apply(command)
        (record,) = self.machine.loss_counts.list_after(0, 1_000)
        self.assertEqual((record.losses, list(record.lost_servers)), (2, [5]))

    def test_command_of_an_earlier_version_adds_one_loss(self) -> None:
        for _ in range(2):
            command = cpb.Command(
                quarantine=cpb.Quarantine(
                    fingerprint=b"a", duration_ms=QUARANTINE_MS, at_ms=1_000
                )
            )
            self.machine.apply(command)
        self.assertEqual(self.read_counts(), [LossCount(0, 2)])

    def test_number_of_counts_is_bounded(self) -> None:
        self.report(b"kept", 0, 3)
        fingerprints = [
            number.to_bytes(16, "big") for number in range(MAX_FINGERPRINTS + 5)
        ]
        counts = dict.fromkeys(fingerprints, LossCount(0, 1))
        self.machine.apply(build_command(counts))
        self.assertEqual(
            len(self.machine.loss_counts.record_by_fingerprint), MAX_FINGERPRINTS
        )
        self.assertIn(b"kept", self.machine.loss_counts.record_by_fingerprint)

"""Tests of the counts of backend servers lost under a request."""

from __future__ import annotations

import unittest

from yuccareach.quarantine import admission, table
from yuccareach.quarantine.admission import TRIAL_MS
from yuccareach.quarantine.counts import (
    MAX_FINGERPRINTS,
    NO_LOSSES,
    QUARANTINE_LOSS_THRESHOLD,
    QUARANTINE_MS,
    LossCount,
    compute_retention_ms,
)
from yuccareach.quarantine.table import (
    PENDING_LOSS_RETENTION_MS,
    QuarantineTable,
    TrackedAttempt,
)

FINGERPRINT = b"f" * 16


class TableTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.table = QuarantineTable()

    def start_attempt(
        self, now_ms: int = 0, quarantine_table: QuarantineTable | None = None
    ) -> TrackedAttempt:
        known_count = table.get_count(
            quarantine_table or self.table, FINGERPRINT, now_ms
        )
        return TrackedAttempt(FINGERPRINT, known_count, "r1", "w")

    def lose_servers(self, number: int, now_ms: int = 0) -> None:
        for _ in range(number):
            table.record_loss(self.table, self.start_attempt(now_ms), "i", now_ms)

    def compute_refusal_ms(self, now_ms: int) -> int:
        return admission.compute_refusal_ms(self.table, FINGERPRINT, now_ms)


class CountTests(TableTestCase):
    def test_third_successive_loss_quarantines(self) -> None:
        self.lose_servers(QUARANTINE_LOSS_THRESHOLD - 1)
        self.assertEqual(self.compute_refusal_ms(0), 0)
        self.lose_servers(1)
        self.assertEqual(self.compute_refusal_ms(0), QUARANTINE_MS)
        self.assertEqual(self.compute_refusal_ms(1_000), QUARANTINE_MS - 1_000)

    def test_servers_lost_at_once_under_one_request_count_once(self) -> None:
        # Guards against a refusal of a frequent request: it ran on every server of a
        # rack that lost power.
        attempts = [self.start_attempt() for _ in range(10)]
        changes = [
            table.record_loss(self.table, attempt, f"i{number}", 0)
            for number, attempt in enumerate(attempts)
        ]
        self.assertEqual(table.get_count(self.table, FINGERPRINT, 0).losses, 1)
        self.assertEqual([item is not None for item in changes], [True] + [False] * 9)

    def test_complete_answer_resets_losses_for_attempts_that_started_before(
        self,
    ) -> None:
        self.lose_servers(2)
        earlier_attempt = self.start_attempt()
        change = table.record_answer(self.table, self.start_attempt(), 0)
        assert change is not None
        self.assertEqual(change.loss_count, LossCount(1, 0))
        self.assertIsNone(table.record_loss(self.table, earlier_attempt, "i", 0))
        self.assertEqual(table.get_count(self.table, FINGERPRINT, 0).losses, 0)

    def test_answer_of_a_request_without_losses_changes_nothing(self) -> None:
        self.assertIsNone(table.record_answer(self.table, self.start_attempt(), 0))
        self.assertEqual(self.table.record_by_fingerprint, {})

    def test_frequent_request_is_answered_between_crashes_and_never_refused(
        self,
    ) -> None:
        for now_ms in range(0, 100_000, 1_000):
            self.lose_servers(1, now_ms)
            self.assertEqual(self.compute_refusal_ms(now_ms), 0)
            table.record_answer(self.table, self.start_attempt(now_ms), now_ms)

    def test_losses_are_forgotten_after_the_retention(self) -> None:
        self.lose_servers(2)
        self.assertEqual(
            table.get_count(self.table, FINGERPRINT, QUARANTINE_MS), NO_LOSSES
        )


class QuarantineTests(TableTestCase):
    def test_one_trial_at_a_time_is_admitted_after_a_quarantine(self) -> None:
        self.lose_servers(QUARANTINE_LOSS_THRESHOLD)
        end_ms = QUARANTINE_MS
        self.assertGreater(admission.admit(self.table, FINGERPRINT, end_ms - 1), 0)
        self.assertEqual(admission.admit(self.table, FINGERPRINT, end_ms), 0)
        self.assertEqual(admission.admit(self.table, FINGERPRINT, end_ms), TRIAL_MS)
        self.assertEqual(admission.admit(self.table, FINGERPRINT, end_ms + TRIAL_MS), 0)

    def test_loss_in_a_trial_doubles_the_quarantine(self) -> None:
        self.lose_servers(QUARANTINE_LOSS_THRESHOLD)
        admission.admit(self.table, FINGERPRINT, QUARANTINE_MS)
        self.lose_servers(1, QUARANTINE_MS)
        self.assertEqual(self.compute_refusal_ms(QUARANTINE_MS), 2 * QUARANTINE_MS)

    def test_answer_in_a_trial_ends_the_quarantine(self) -> None:
        self.lose_servers(QUARANTINE_LOSS_THRESHOLD)
        admission.admit(self.table, FINGERPRINT, QUARANTINE_MS)
        table.record_answer(self.table, self.start_attempt(), QUARANTINE_MS)
        self.assertEqual(self.compute_refusal_ms(QUARANTINE_MS), 0)


class MergeTests(TableTestCase):
    def test_tables_that_exchange_counts_in_any_order_agree(self) -> None:
        other = QuarantineTable()
        self.lose_servers(2)
        loss = table.record_loss(other, self.start_attempt(0, other), "i", 0)
        answer = table.record_answer(self.table, self.start_attempt(), 0)
        assert loss is not None and answer is not None
        for target, change in ((self.table, loss), (other, answer), (other, loss)):
            table.merge_count(target, FINGERPRINT, change.loss_count, 1_000, 0)
        self.assertEqual(
            table.get_count(self.table, FINGERPRINT, 0),
            table.get_count(other, FINGERPRINT, 0),
        )

    def test_merged_quarantine_ends_when_the_reported_one_does(self) -> None:
        count = LossCount(0, QUARANTINE_LOSS_THRESHOLD)
        remaining_ms = compute_retention_ms(count) - 60_000
        table.merge_count(self.table, FINGERPRINT, count, remaining_ms, 5_000)
        self.assertEqual(self.compute_refusal_ms(5_000), QUARANTINE_MS - 60_000)

    def test_table_is_bounded_and_keeps_quarantined_fingerprints(self) -> None:
        self.lose_servers(QUARANTINE_LOSS_THRESHOLD)
        for number in range(MAX_FINGERPRINTS + 10):
            fingerprint = number.to_bytes(16, "big")
            table.merge_count(self.table, fingerprint, LossCount(0, 1), 1_000, 0)
        self.assertEqual(len(self.table.record_by_fingerprint), MAX_FINGERPRINTS)
        self.assertGreater(self.compute_refusal_ms(0), 0)


class PendingLossTests(TableTestCase):
    def resolve(self, present: set[str], leaving: set[str], now_ms: int = 0) -> int:
        """Resolve pending losses, and return the losses that are counted then."""
        table.resolve_pending_losses(self.table, present, leaving, now_ms)
        return table.get_count(self.table, FINGERPRINT, now_ms).losses

    def setUp(self) -> None:
        super().setUp()
        table.add_pending_loss(self.table, self.start_attempt(), "a@1", 0)

    def test_loss_counts_once_its_server_is_gone(self) -> None:
        self.assertEqual(self.resolve({"a@1"}, set()), 0)
        self.assertEqual(self.resolve({"a@2"}, set()), 1)

    def test_server_that_leaves_as_announced_counts_no_loss(self) -> None:
        self.assertEqual(self.resolve({"a@1"}, {"a@1"}), 0)
        self.assertEqual(self.resolve(set(), set()), 0)

    def test_loss_of_a_server_that_stays_is_dropped(self) -> None:
        self.assertEqual(self.resolve({"a@1"}, set(), PENDING_LOSS_RETENTION_MS), 0)
        self.assertEqual(self.table.pending_by_incarnation, {})

    def test_confirmed_crash_counts_at_once(self) -> None:
        changes = table.confirm_losses(self.table, "a@1", 0)
        self.assertEqual([item.incarnation for item in changes], ["a@1"])
        self.assertEqual(self.table.pending_by_incarnation, {})

"""Tests of losses of servers under requests that had made progress there."""

from __future__ import annotations

import itertools
import unittest

from yuccareach.quarantine import admission, table
from yuccareach.quarantine.counts import QUARANTINE_LOSS_THRESHOLD
from yuccareach.quarantine.progress import (
    MAX_POSITIONS,
    MIN_NEW_EVENTS,
    Progress,
    counts_as_loss,
)
from yuccareach.quarantine.table import QuarantineTable, TrackedAttempt

FINGERPRINT = b"f" * 16


class ProgressTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = QuarantineTable()
        self.numbers = itertools.count(1)

    def lose(self, first_event: int, last_event: int, request: str = "") -> bool:
        """Lose a server under an attempt, and return whether that counts."""
        attempt = TrackedAttempt(
            FINGERPRINT,
            table.get_count(self.table, FINGERPRINT, 0),
            request or f"r{next(self.numbers)}",
            "w",
            progress=Progress(first_event, last_event, last_event - first_event),
        )
        return table.record_loss(self.table, attempt, "i", 0) is not None

    def is_refused(self) -> bool:
        return admission.compute_refusal_ms(self.table, FINGERPRINT, 0) > 0

    def test_loss_before_any_new_event_counts(self) -> None:
        self.assertTrue(self.lose(0, 0))
        self.assertTrue(self.lose(7, 7))

    def test_loss_after_a_single_event_counts(self) -> None:
        # Guards against a stream that crashes a later stage at each event.
        for event in range(QUARANTINE_LOSS_THRESHOLD):
            self.assertTrue(self.lose(event, event + MIN_NEW_EVENTS - 1))
        self.assertTrue(self.is_refused())

    def test_request_that_goes_on_after_each_loss_is_never_refused(self) -> None:
        for event in range(0, 500, 10):
            self.assertFalse(self.lose(event, event + 10, "r1"))

    def test_request_that_crashes_at_one_event_is_refused_when_it_is_resumed(
        self,
    ) -> None:
        self.assertFalse(self.lose(0, 20, "r1"))
        for _ in range(QUARANTINE_LOSS_THRESHOLD):
            self.assertTrue(self.lose(20, 20, "r1"))
        self.assertTrue(self.is_refused())

    def test_request_that_crashes_at_one_event_is_refused_when_it_starts_anew(
        self,
    ) -> None:
        self.assertFalse(self.lose(0, 20))
        for _ in range(QUARANTINE_LOSS_THRESHOLD):
            self.assertTrue(self.lose(0, 20))
        self.assertTrue(self.is_refused())

    def test_fresh_start_that_gets_further_does_not_count(self) -> None:
        self.lose(0, 20)
        self.assertFalse(self.lose(0, 21))

    def test_several_servers_lost_under_one_attempt_do_not_count(self) -> None:
        # Guards against a chain whose stages fail together and each seem a new loss.
        for _ in range(3):
            self.assertFalse(self.lose(0, 20, "r1"))

    def test_remembered_positions_are_bounded(self) -> None:
        for number in range(MAX_POSITIONS + 10):
            fingerprint = number.to_bytes(16, "big")
            counts_as_loss(
                self.table.lost_positions, fingerprint, "r1", Progress(0, 2, 2)
            )
        positions = self.table.lost_positions.position_by_fingerprint
        self.assertEqual(len(positions), MAX_POSITIONS)
        self.assertNotIn((0).to_bytes(16, "big"), positions)

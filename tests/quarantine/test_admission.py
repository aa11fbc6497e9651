"""Tests of refusals while a part of prompts is quarantined, and of its trials."""

from __future__ import annotations

import itertools

from tests.quarantine.test_parts import BAD, OTHER, SHARED, PartTestCase
from yuccareach.quarantine import admission, table
from yuccareach.quarantine.admission import PART_TRIAL_MS
from yuccareach.quarantine.counts import (
    PROVISIONAL_QUARANTINE_MS,
    QUARANTINE_LOSS_THRESHOLD,
    QUARANTINE_MS,
    LossCount,
    compute_retention_ms,
)
from yuccareach.quarantine.parts import MIN_ACCUSING_SERVERS
from yuccareach.quarantine.table import TrackedAttempt

# Callers of a sound part are told to return within this time: the soak's bound.
MAX_UNCONFIRMED_REFUSAL_MS = 10_000


class TrialTests(PartTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.crash_round(MIN_ACCUSING_SERVERS, BAD)
        self.crash_round(1, BAD)

    def test_quarantine_refuses_every_request_with_the_part(self) -> None:
        refused = admission.admit_all(self.table, (b"r", SHARED, BAD), 0)
        self.assertEqual(refused, (BAD, PROVISIONAL_QUARANTINE_MS))
        self.assertEqual(admission.admit_all(self.table, (b"r", SHARED), 0)[1], 0)

    def test_one_trial_at_a_time_is_admitted_after_the_quarantine(self) -> None:
        end_ms = PROVISIONAL_QUARANTINE_MS
        self.assertEqual(admission.admit_all(self.table, (b"r", BAD), end_ms)[1], 0)
        self.assertEqual(
            admission.admit_all(self.table, (b"q", BAD), end_ms), (BAD, PART_TRIAL_MS)
        )

    def test_part_accused_on_little_is_not_refused_for_ten_minutes(self) -> None:
        self.assertEqual(
            admission.compute_refusal_ms(self.table, BAD, 0), PROVISIONAL_QUARANTINE_MS
        )

    def test_losses_in_trials_lengthen_the_quarantine(self) -> None:
        for expected_ms in (QUARANTINE_MS, 2 * QUARANTINE_MS):
            self.crash_round(1, BAD)
            refusal_ms = admission.compute_refusal_ms(self.table, BAD, 0)
            self.assertEqual(refusal_ms, expected_ms)

    def test_part_is_not_refused_for_long_before_a_trial_has_failed(self) -> None:
        for _ in range(QUARANTINE_LOSS_THRESHOLD):
            self.crash_round(1, OTHER)
        for part in (BAD, OTHER):
            refusal_ms = admission.compute_refusal_ms(self.table, part, 0)
            self.assertGreater(refusal_ms, 0)
            self.assertLessEqual(refusal_ms, MAX_UNCONFIRMED_REFUSAL_MS)

    def test_caller_is_not_told_to_wait_for_the_trial_of_a_late_instance(self) -> None:
        self.table.trial_phase, self.table.trial_spread_ms = 0.9, 100_000
        for now_ms in (0, PROVISIONAL_QUARANTINE_MS):
            refusal_ms = admission.admit_all(self.table, (b"r", BAD), now_ms)[1]
            self.assertGreater(refusal_ms, 0)
            self.assertLessEqual(refusal_ms, MAX_UNCONFIRMED_REFUSAL_MS)

    def find_trial_ms(self, trial_phase: float, part: bytes) -> int:
        """Return when an instance starts the trial of a part, at steps of 1 ms."""
        self.table.trial_phase, self.table.trial_spread_ms = trial_phase, 1_000
        self.table.trial_end_ms_by_fingerprint.clear()
        end_ms = PROVISIONAL_QUARANTINE_MS
        return next(
            ms
            for ms in range(end_ms, end_ms + 1_001)
            if not admission.admit_all(self.table, (b"r", part), ms)[1]
        )

    def test_instances_start_their_trials_one_after_the_other(self) -> None:
        times_ms = {self.find_trial_ms(phase, BAD) for phase in (0.0, 0.25, 0.5, 0.75)}
        self.assertEqual(len(times_ms), 4)
        gaps_ms = [b - a for a, b in itertools.pairwise(sorted(times_ms))]
        self.assertGreaterEqual(min(gaps_ms), 240)

    def test_parts_accused_at_one_moment_are_not_tried_out_at_one_moment(self) -> None:
        self.crash_round(MIN_ACCUSING_SERVERS, OTHER)
        self.crash_round(1, OTHER)
        bad_ms, other_ms = (self.find_trial_ms(0.0, part) for part in (BAD, OTHER))
        self.assertGreater(abs(bad_ms - other_ms), 10)

    def test_proof_in_a_trial_ends_the_quarantine(self) -> None:
        self.prove(BAD)
        self.assertFalse(self.is_refused(BAD))

    def test_refusal_for_another_reason_starts_no_trial(self) -> None:
        self.crash_round(MIN_ACCUSING_SERVERS, OTHER)
        self.crash_round(1, OTHER)
        self.crash_round(1, OTHER)
        admission.admit_all(self.table, (b"r", BAD, OTHER), PROVISIONAL_QUARANTINE_MS)
        self.assertEqual(self.table.trial_end_ms_by_fingerprint, {})


class SpoiledTrialTests(PartTestCase):
    """The trial of a sound part, on a server that a harmful one crashes."""

    def setUp(self) -> None:
        super().setUp()
        self.prove(SHARED)
        self.crash_round(1, BAD)
        count = LossCount(0, QUARANTINE_LOSS_THRESHOLD, (1, 2, 3, 4), (1, 2, 3, 4))
        table.merge_count(self.table, SHARED, count, compute_retention_ms(count), 0)
        self.end_ms = PROVISIONAL_QUARANTINE_MS

    def start_trial(self, *parts: bytes) -> TrackedAttempt:
        self.assertEqual(
            admission.admit_all(self.table, (b"r", *parts), self.end_ms)[1], 0
        )
        return self.start_attempt(*parts)

    def assert_sound_part_is_tried_again(self) -> None:
        self.assertEqual(self.count_losses(SHARED), QUARANTINE_LOSS_THRESHOLD)
        self.start_trial(SHARED)

    def test_harmful_part_in_the_trial_does_not_confirm_the_sound_one(self) -> None:
        self.crash(self.start_trial(SHARED, BAD))
        self.assert_sound_part_is_tried_again()

    def test_harmful_part_beside_the_trial_does_not_confirm_the_sound_one(self) -> None:
        harmful = self.start_attempt(BAD)
        self.crash(self.start_trial(SHARED), harmful)
        self.assert_sound_part_is_tried_again()

    def test_new_part_without_losses_does_not_excuse_a_failed_trial(self) -> None:
        self.crash(self.start_trial(SHARED, OTHER))
        self.assertGreater(self.count_losses(SHARED), QUARANTINE_LOSS_THRESHOLD)

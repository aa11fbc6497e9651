"""Tests of what is known of a backend server, and by what proof."""

from __future__ import annotations

import math
import unittest

from yuccareach.health.servers import (
    MAX_REFUSAL_MS,
    PRESUMED_LOST_SILENCE_MS,
    TRIAL_TIMEOUT_MS,
    EndProof,
    ServerHealth,
    Silence,
    StatedLimit,
    accepts_connections,
    accepts_requests,
    compute_refusal_ms,
    compute_silence_ms,
    copy_notices,
    find_acceptance_ms,
    get_limit_per_s,
    has_ended,
    is_on_trial,
    is_presumed_lost,
    record_acceptance,
    record_connection,
    record_contact,
    record_end,
    record_leaving,
    record_limit,
    record_refusal,
    record_request,
    record_silence,
)


class SilenceTests(unittest.TestCase):
    def test_silence_however_long_is_no_end(self) -> None:
        health = ServerHealth()
        record_silence(health, 1_000)
        record_silence(health, 5_000)
        self.assertEqual(compute_silence_ms(health, 3_601_000), 3_600_000)
        self.assertFalse(has_ended(health))
        self.assertTrue(accepts_requests(health, 3_601_000))

    def test_contact_ends_a_silence(self) -> None:
        health = ServerHealth()
        record_silence(health, 1_000)
        record_contact(health)
        self.assertEqual(compute_silence_ms(health, 9_000), 0)

    def test_connection_ends_a_silence_only_if_none_was_accepted(self) -> None:
        # The operating system accepts connections for a process that is silent.
        dark, hanging = ServerHealth(), ServerHealth()
        record_silence(dark, 1_000, Silence.CONNECTION)
        record_silence(hanging, 1_000)
        self.assertFalse(accepts_connections(dark))
        self.assertTrue(accepts_connections(hanging))
        for health in (dark, hanging):
            record_connection(health)
        self.assertEqual(compute_silence_ms(dark, 2_000), 0)
        self.assertEqual(compute_silence_ms(hanging, 2_000), 1_000)

    def test_silent_server_that_accepts_no_connection_either_stays_unconnectable(
        self,
    ) -> None:
        for silences in (
            (Silence.ANSWER, Silence.CONNECTION),
            (Silence.CONNECTION, Silence.ANSWER),
        ):
            health = ServerHealth()
            for silence in silences:
                record_silence(health, 1_000, silence)
            self.assertFalse(accepts_connections(health))
            record_connection(health)
            self.assertTrue(accepts_connections(health))
            self.assertEqual(compute_silence_ms(health, 2_000), 1_000)

    def test_server_is_presumed_lost_only_after_more_than_a_second_or_so(self) -> None:
        health = ServerHealth()
        record_silence(health, 0)
        self.assertFalse(is_presumed_lost(health, PRESUMED_LOST_SILENCE_MS - 1))
        self.assertTrue(is_presumed_lost(health, PRESUMED_LOST_SILENCE_MS))
        self.assertFalse(has_ended(health))
        record_contact(health)
        self.assertFalse(is_presumed_lost(health, PRESUMED_LOST_SILENCE_MS))


class EndTests(unittest.TestCase):
    def test_ended_server_accepts_nothing(self) -> None:
        health = ServerHealth()
        record_end(health, EndProof.REFUSED)
        self.assertTrue(is_presumed_lost(health, 0))
        self.assertFalse(accepts_connections(health))
        self.assertTrue(has_ended(health))
        self.assertFalse(accepts_requests(health, 0))

    def test_contact_refutes_a_refused_connection_but_no_later_incarnation(
        self,
    ) -> None:
        refused, succeeded = ServerHealth(), ServerHealth()
        record_end(refused, EndProof.REFUSED)
        record_end(succeeded, EndProof.SUCCEEDED)
        record_contact(refused)
        record_contact(succeeded)
        self.assertFalse(has_ended(refused))
        self.assertTrue(has_ended(succeeded))


class RefusalTests(unittest.TestCase):
    def test_server_accepts_nothing_until_the_longest_time_it_asked_for(self) -> None:
        health = ServerHealth()
        record_refusal(health, 1_000, 3_000)
        record_refusal(health, 2_000, 500)
        self.assertEqual(compute_refusal_ms(health, 2_000), 2_000)
        self.assertFalse(accepts_requests(health, 3_999))
        self.assertTrue(accepts_requests(health, 4_000))

    def test_longest_time_that_a_server_may_ask_for_is_bounded(self) -> None:
        for retry_after_ms in (10 * MAX_REFUSAL_MS, math.inf):
            health = ServerHealth()
            record_refusal(health, 1_000, retry_after_ms)
            self.assertEqual(compute_refusal_ms(health, 1_000), MAX_REFUSAL_MS)

    def test_part_of_a_millisecond_counts_as_a_whole_one(self) -> None:
        health = ServerHealth()
        record_refusal(health, 1_000, 0.2)
        self.assertEqual(compute_refusal_ms(health, 1_000), 1)

    def test_acceptance_is_known_in_advance(self) -> None:
        health = ServerHealth()
        self.assertEqual(find_acceptance_ms(health), 0)
        record_refusal(health, 1_000, 3_000)
        self.assertEqual(find_acceptance_ms(health), 4_000)
        record_leaving(health)
        self.assertEqual(find_acceptance_ms(health), math.inf)

    def test_copy_tells_what_the_original_had_said(self) -> None:
        health, copy = ServerHealth(), ServerHealth()
        record_refusal(health, 1_000, 3_000)
        record_silence(health, 1_000)
        copy_notices(health, copy)
        self.assertEqual(compute_refusal_ms(copy, 1_000), 3_000)
        self.assertIsNone(copy.silent_since_ms)

    def test_leaving_server_accepts_nothing(self) -> None:
        health = ServerHealth()
        record_leaving(health)
        self.assertFalse(accepts_requests(health, 0))


class TrialTests(unittest.TestCase):
    def setUp(self) -> None:
        self.health = ServerHealth()
        record_refusal(self.health, 0, 1_000)

    def test_request_after_a_refusal_is_a_trial_until_it_is_answered(self) -> None:
        self.assertFalse(is_on_trial(self.health, 1_000))
        record_request(self.health, 1_000)
        self.assertTrue(is_on_trial(self.health, 1_001))
        record_acceptance(self.health, 1_100)
        self.assertFalse(is_on_trial(self.health, 1_100))
        record_request(self.health, 1_200)
        self.assertFalse(is_on_trial(self.health, 1_201))

    def test_trial_without_an_answer_ends(self) -> None:
        record_request(self.health, 1_000)
        self.assertFalse(is_on_trial(self.health, 1_000 + TRIAL_TIMEOUT_MS))

    def test_answer_to_a_request_from_before_the_refusal_is_no_acceptance(
        self,
    ) -> None:
        record_acceptance(self.health, 500)
        record_request(self.health, 1_000)
        self.assertTrue(is_on_trial(self.health, 1_001))


class LimitTests(unittest.TestCase):
    def setUp(self) -> None:
        self.health = ServerHealth()

    def record(self, per_s: float | None, sent_ms: int, read_ms: int) -> bool:
        return record_limit(self.health, StatedLimit(per_s, sent_ms, read_ms))

    def test_answer_to_a_request_sent_after_the_known_one_was_read_holds(self) -> None:
        self.assertTrue(self.record(2.0, 0, 10))
        for per_s in (8.0, 1.0, None, 3.0):
            sent_ms = self.health.limit.read_ms if self.health.limit else 0
            self.assertTrue(self.record(per_s, sent_ms, sent_ms + 10))
            self.assertEqual(get_limit_per_s(self.health), per_s)

    def test_late_answer_that_states_an_older_higher_limit_changes_nothing(
        self,
    ) -> None:
        self.record(2.0, 50, 60)
        for per_s in (8.0, None):
            self.assertFalse(self.record(per_s, 0, 70))
            self.assertEqual(get_limit_per_s(self.health), 2.0)

    def test_lower_limit_holds_while_it_is_unknown_which_is_newer(self) -> None:
        self.record(8.0, 50, 60)
        self.assertTrue(self.record(1.0, 40, 70))
        self.assertFalse(self.record(8.0, 55, 80))
        self.assertEqual(get_limit_per_s(self.health), 1.0)

    def test_statement_read_before_the_known_one_was_asked_for_is_older(self) -> None:
        self.record(None, 0, 10)
        self.record(5.0, 20, 30)
        self.record(None, 40, 50)
        self.assertFalse(self.record(5.0, 30, 40))
        self.assertIsNone(get_limit_per_s(self.health))

    def test_server_that_never_stated_a_limit_has_none(self) -> None:
        self.assertFalse(self.record(None, 0, 1))
        self.assertIsNone(get_limit_per_s(self.health))

"""Tests of what is known of a backend server, and by what proof."""

from __future__ import annotations

import unittest

from yuccareach.health.servers import (
    PRESUMED_LOST_SILENCE_MS,
    EndProof,
    ServerHealth,
    Silence,
    accepts_connections,
    accepts_requests,
    compute_refusal_ms,
    compute_silence_ms,
    has_ended,
    is_presumed_lost,
    record_connection,
    record_contact,
    record_end,
    record_leaving,
    record_refusal,
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

    def test_leaving_server_accepts_nothing(self) -> None:
        health = ServerHealth()
        record_leaving(health)
        self.assertFalse(accepts_requests(health, 0))

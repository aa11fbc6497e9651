"""Tests of what is known of a backend server, and by what proof."""

from __future__ import annotations

import unittest

from yuccareach.health.servers import (
    EndProof,
    ServerHealth,
    accepts_requests,
    compute_refusal_ms,
    compute_silence_ms,
    has_ended,
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


class EndTests(unittest.TestCase):
    def test_ended_server_accepts_nothing(self) -> None:
        health = ServerHealth()
        record_end(health, EndProof.REFUSED)
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

"""Tests of the durations that calls are expected to take."""

from __future__ import annotations

import unittest

from yuccareach.gateway.call_durations import WINDOW_S, CallDurations


class CallDurationTests(unittest.TestCase):
    def setUp(self) -> None:
        self.durations = CallDurations()

    def test_longest_attempt_of_the_route_counts(self) -> None:
        for duration_s in (0.2, 3.0, 0.1):
            self.durations.record("a", duration_s, 0.0)
        self.durations.record("b", 5.0, 0.0)
        self.assertEqual(self.durations.estimate_s("a", 1.0), 3.0)
        self.assertEqual(self.durations.estimate_s("c", 1.0), 0.0)

    def test_durations_are_forgotten_after_two_windows(self) -> None:
        self.durations.record("a", 3.0, 0.0)
        self.durations.record("a", 1.0, WINDOW_S)
        self.assertEqual(self.durations.estimate_s("a", 2 * WINDOW_S - 1), 3.0)
        self.assertEqual(self.durations.estimate_s("a", 2 * WINDOW_S), 1.0)
        self.assertEqual(self.durations.estimate_s("a", 4 * WINDOW_S), 0.0)

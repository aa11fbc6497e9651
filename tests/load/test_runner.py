"""Tests of arrival times and of planned requests."""

from __future__ import annotations

import unittest
from random import Random

from yuccareach.load.arrivals import Arrivals, generate_arrival_times
from yuccareach.load.client import Target
from yuccareach.load.runner import Workload, plan_requests


class ArrivalTimesTests(unittest.TestCase):
    def test_mean_rate_of_every_arrival_process_is_the_given_rate(self) -> None:
        for arrivals in Arrivals:
            with self.subTest(arrivals=arrivals):
                due_times = list(
                    generate_arrival_times(arrivals, 20.0, 500.0, Random(1))
                )
                self.assertEqual(due_times, sorted(due_times))
                self.assertAlmostEqual(len(due_times) / 500.0, 20.0, delta=1.0)


class PlanTests(unittest.TestCase):
    def test_same_seed_gives_the_same_requests_and_prompts_are_unique(self) -> None:
        targets = [Target("http://a", "k", "p", 4)]
        workload = Workload(50.0, 5.0, seed=4)
        planned = plan_requests(targets, workload)
        self.assertEqual(planned, plan_requests(targets, workload))
        prompts = {item.prompt for item in planned}
        self.assertEqual(len(prompts), len(planned))

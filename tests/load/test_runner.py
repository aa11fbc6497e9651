"""Planned load."""

from __future__ import annotations

import unittest
from random import Random

from yuccareach.load.arrivals import Arrivals, generate_arrival_times
from yuccareach.load.client import Target
from yuccareach.load.runner import Workload, plan_requests


class ArrivalTimesTests(unittest.TestCase):
    def test_every_process_keeps_the_rate_asked_for(self) -> None:
        for arrivals in Arrivals:
            with self.subTest(arrivals=arrivals):
                due_times = list(
                    generate_arrival_times(arrivals, 20.0, 500.0, Random(1))
                )
                self.assertEqual(due_times, sorted(due_times))
                self.assertAlmostEqual(len(due_times) / 500.0, 20.0, delta=1.0)


class PlanTests(unittest.TestCase):
    def test_is_the_same_for_a_seed_and_no_prompt_comes_twice(self) -> None:
        targets = [Target("http://a", "k", "p", 4)]
        workload = Workload(50.0, 5.0, seed=4)
        planned = plan_requests(targets, workload)
        self.assertEqual(planned, plan_requests(targets, workload))
        prompts = {item.prompt for item in planned}
        self.assertEqual(len(prompts), len(planned))

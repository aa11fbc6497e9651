"""Placement and its bound."""

from __future__ import annotations

import unittest
from random import Random

from yuccareach.proto import data_pb2 as pb
from yuccareach.route.chain import check_tiling
from yuccareach.route.placement import (
    CannotPlace,
    Engine,
    PlacedEngine,
    compute_engine_flows,
    compute_flow,
    compute_flow_bound,
    make_plan,
    place_equal_split,
)

LAYERS = 24


def fleet(seed: int, count: int = 14) -> list[Engine]:
    random = Random(seed)
    return [
        Engine(
            f"e{number}",
            f"zone-{number % 3}",
            random.choice([10_000.0, 40_000.0, 130_000.0]),
            random.choice([8, 12, 24]),
        )
        for number in range(count)
    ]


class BoundTests(unittest.TestCase):
    def test_is_the_sum_of_rates_where_memory_does_not_bind(self) -> None:
        engines = [Engine("a", "z", 240.0, 24), Engine("b", "z", 480.0, 24)]
        self.assertAlmostEqual(compute_flow_bound(engines, LAYERS), 30.0)

    def test_memory_binds_where_one_engine_is_all_the_speed(self) -> None:
        engines = [Engine("a", "z", 24_000.0, 12), Engine("b", "z", 120.0, 12)]
        self.assertAlmostEqual(compute_flow_bound(engines, LAYERS), 10.0)


class FlowTests(unittest.TestCase):
    def test_slowest_range_limits_the_flow(self) -> None:
        placement = [
            PlacedEngine(Engine("a", "z", 1_200.0, 24), 0, 12),
            PlacedEngine(Engine("b", "z", 600.0, 24), 12, 24),
            PlacedEngine(Engine("c", "z", 240.0, 24), 12, 24),
        ]
        self.assertAlmostEqual(compute_flow(placement, LAYERS, {}), 70.0)
        shares = compute_engine_flows(placement, LAYERS, {})
        self.assertAlmostEqual(shares["b"] + shares["c"], 70.0)

    def test_ranges_that_do_not_meet_carry_nothing(self) -> None:
        placement = [
            PlacedEngine(Engine("a", "z", 1_200.0, 24), 0, 10),
            PlacedEngine(Engine("b", "z", 600.0, 24), 12, 24),
        ]
        self.assertAlmostEqual(compute_flow(placement, LAYERS, {}), 0.0)

    def test_slow_link_limits_the_flow_across_it(self) -> None:
        placement = [
            PlacedEngine(Engine("a", "x", 1_200.0, 24), 0, 12),
            PlacedEngine(Engine("b", "y", 1_200.0, 24), 12, 24),
        ]
        self.assertAlmostEqual(compute_flow(placement, LAYERS, {("x", "y"): 7.0}), 7.0)
        self.assertAlmostEqual(
            compute_flow(placement, LAYERS, {("y", "x"): 7.0}), 100.0
        )


class MakePlanTests(unittest.TestCase):
    def test_holds_every_layer_within_memory_and_below_the_bound(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                plan = make_plan(fleet(seed), LAYERS, rounds=60)
                self.assertLessEqual(plan.flow, plan.bound * (1 + 1e-6))
                for item in plan.placement:
                    held = item.end_layer - item.first_layer
                    self.assertLessEqual(held, item.engine.memory_layers)
                ranges = sorted({item[1:] for item in plan.placement})
                stages = [pb.Stage(first_layer=a, end_layer=b) for a, b in ranges]
                check_tiling(stages, LAYERS)

    def test_is_never_worse_than_the_equal_split(self) -> None:
        zones = ("zone-0", "zone-1", "zone-2")
        slow = {(a, b): 300.0 for a in zones for b in zones if a != b}
        for seed in range(4):
            for links in ({}, slow):
                with self.subTest(seed=seed, links=bool(links)):
                    engines = fleet(seed)
                    plan = make_plan(engines, LAYERS, links, rounds=60)
                    baseline = compute_flow(
                        place_equal_split(engines, LAYERS), LAYERS, links
                    )
                    self.assertGreaterEqual(plan.flow, baseline - 1e-6)

    def test_fleet_too_small_for_the_model_is_refused(self) -> None:
        with self.assertRaises(CannotPlace):
            make_plan([Engine("a", "z", 100.0, 8)], LAYERS)

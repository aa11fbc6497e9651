"""The search for a placement, its flow and the bound."""

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


def make_engines(seed: int, count: int = 14) -> list[Engine]:
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
    def test_equals_the_sum_of_rates_if_memory_suffices(self) -> None:
        engines = [Engine("a", "z", 240.0, 24), Engine("b", "z", 480.0, 24)]
        self.assertAlmostEqual(compute_flow_bound(engines, LAYERS), 30.0)

    def test_memory_limits_the_bound_if_one_engine_has_nearly_all_speed(self) -> None:
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
        flow_by_engine = compute_engine_flows(placement, LAYERS, {})
        self.assertAlmostEqual(flow_by_engine["b"] + flow_by_engine["c"], 70.0)

    def test_flow_is_zero_if_ranges_leave_a_gap(self) -> None:
        placement = [
            PlacedEngine(Engine("a", "z", 1_200.0, 24), 0, 10),
            PlacedEngine(Engine("b", "z", 600.0, 24), 12, 24),
        ]
        self.assertAlmostEqual(compute_flow(placement, LAYERS, {}), 0.0)

    def test_slow_link_limits_the_flow_in_its_direction(self) -> None:
        placement = [
            PlacedEngine(Engine("a", "x", 1_200.0, 24), 0, 12),
            PlacedEngine(Engine("b", "y", 1_200.0, 24), 12, 24),
        ]
        self.assertAlmostEqual(compute_flow(placement, LAYERS, {("x", "y"): 7.0}), 7.0)
        self.assertAlmostEqual(
            compute_flow(placement, LAYERS, {("y", "x"): 7.0}), 100.0
        )


class MakePlanTests(unittest.TestCase):
    def test_plan_covers_all_layers_within_memory_and_bound(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                plan = make_plan(make_engines(seed), LAYERS, rounds=60)
                self.assertLessEqual(plan.flow, plan.bound * (1 + 1e-6))
                for item in plan.placement:
                    layer_count = item.end_layer - item.first_layer
                    self.assertLessEqual(layer_count, item.engine.memory_layers)
                ranges = sorted({item[1:] for item in plan.placement})
                stages = [pb.Stage(first_layer=a, end_layer=b) for a, b in ranges]
                check_tiling(stages, LAYERS)

    def test_plan_is_at_least_as_good_as_the_equal_split(self) -> None:
        zones = ("zone-0", "zone-1", "zone-2")
        slow_links = {(a, b): 300.0 for a in zones for b in zones if a != b}
        for seed in range(4):
            for links in ({}, slow_links):
                with self.subTest(seed=seed, links=bool(links)):
                    engines = make_engines(seed)
                    plan = make_plan(engines, LAYERS, links, rounds=60)
                    baseline = compute_flow(
                        place_equal_split(engines, LAYERS), LAYERS, links
                    )
                    self.assertGreaterEqual(plan.flow, baseline - 1e-6)

    def test_engines_too_small_for_the_model_raise_cannot_place(self) -> None:
        with self.assertRaises(CannotPlace):
            make_plan([Engine("a", "z", 100.0, 8)], LAYERS)

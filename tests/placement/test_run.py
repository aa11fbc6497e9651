"""Carrying out the placement."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from tests.gateway.fleet import MODEL
from tests.placement.test_planner import fresh_fleet, server
from yuccareach.placement.assignments import Assignment, LayerRange
from yuccareach.placement.run import Ordered, PlacementController


class LoadLimitTests(unittest.TestCase):
    def setUp(self) -> None:
        process: Any = SimpleNamespace()
        self.placement = PlacementController(process, lambda: None, self.order)

    async def order(self, address: str, layers: LayerRange) -> bool:
        return True

    def assignments(self, count: int) -> list[Assignment]:
        return [
            Assignment(server(f"s{number}", "z1", "l4"), LayerRange(0, 5))
            for number in range(count)
        ]

    def test_fresh_fleet_is_loaded_at_once(self) -> None:
        assignments = self.assignments(20)
        within = self.placement._within_load_limit(assignments, fresh_fleet(), MODEL)
        self.assertEqual(within, assignments)

    def test_fleet_in_use_loads_only_as_many_as_the_store_serves_well(self) -> None:
        # Found on a grown deployment: forty loads at once took eight times as long,
        # were taken for lost, and were ordered elsewhere.
        used = [server("used", "z1", "a100", LayerRange(0, 40))]
        assignments = self.assignments(20)
        within = self.placement._within_load_limit(assignments, used, MODEL)
        self.assertEqual(len(within), MODEL.loads_at_once)
        for assignment in within[:3]:
            self.placement.ordered_by_name[assignment.server.name] = Ordered(
                assignment.server.incarnation, assignment.layers, 10_000
            )
        within = self.placement._within_load_limit(assignments, used, MODEL)
        self.assertEqual(len(within), MODEL.loads_at_once - 3)

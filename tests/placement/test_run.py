"""Limits on the loads that the control loop of placement orders."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from tests.gateway.fleet import MODEL
from tests.placement.test_planner import make_server, make_unloaded_fleet
from yuccareach.placement.assignments import Assignment, LayerRange
from yuccareach.placement.run import PendingOrder, PlacementController


class LoadLimitTests(unittest.TestCase):
    def setUp(self) -> None:
        process: Any = SimpleNamespace()
        self.placement = PlacementController(process, lambda: None, self.accept_order)

    async def accept_order(self, address: str, layers: LayerRange) -> bool:
        return True

    def make_assignments(self, count: int) -> list[Assignment]:
        return [
            Assignment(make_server(f"s{number}", "z1", "l4"), LayerRange(0, 5))
            for number in range(count)
        ]

    def test_unloaded_fleet_loads_everything_at_the_same_time(self) -> None:
        assignments = self.make_assignments(20)
        limited = self.placement._limit_loads(assignments, make_unloaded_fleet(), MODEL)
        self.assertEqual(limited, assignments)

    def test_loaded_fleet_loads_as_many_as_the_store_serves_at_full_speed(self) -> None:
        # On a large deployment, forty loads at the same time took eight times as long;
        # the control loop took them for failed and ordered the layers elsewhere.
        loaded_fleet = [make_server("used", "z1", "a100", LayerRange(0, 40))]
        assignments = self.make_assignments(20)
        limited = self.placement._limit_loads(assignments, loaded_fleet, MODEL)
        self.assertEqual(len(limited), MODEL.max_concurrent_loads)
        for assignment in limited[:3]:
            self.placement.pending_order_by_name[assignment.server.name] = PendingOrder(
                assignment.server.incarnation, assignment.layers, 10_000
            )
        limited = self.placement._limit_loads(assignments, loaded_fleet, MODEL)
        self.assertEqual(len(limited), MODEL.max_concurrent_loads - 3)

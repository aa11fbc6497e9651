"""Carrying out the placement."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from tests.gateway.fleet import MODEL
from tests.placement.test_planner import fresh_fleet, server
from yuccareach.placement.moves import LayerRange, Move
from yuccareach.placement.run import Ordered, Placement


class LoadLimitTests(unittest.TestCase):
    def setUp(self) -> None:
        process: Any = SimpleNamespace()
        self.placement = Placement(process, lambda: None, self.order)

    async def order(self, address: str, layers: LayerRange) -> bool:
        return True

    def moves(self, count: int) -> list[Move]:
        return [
            Move(server(f"s{number}", "z1", "l4"), LayerRange(0, 5))
            for number in range(count)
        ]

    def test_fresh_fleet_is_loaded_at_once(self) -> None:
        moves = self.moves(20)
        within = self.placement._within_load_limit(moves, fresh_fleet(), MODEL)
        self.assertEqual(within, moves)

    def test_fleet_in_use_loads_only_as_many_as_the_store_serves_well(self) -> None:
        # Found on a grown deployment: forty loads at once took eight times as long,
        # were taken for lost, and were ordered elsewhere.
        used = [server("used", "z1", "a100", LayerRange(0, 40))]
        moves = self.moves(20)
        within = self.placement._within_load_limit(moves, used, MODEL)
        self.assertEqual(len(within), MODEL.max_concurrent_loads)
        for move in within[:3]:
            self.placement.ordered_by_name[move.server.name] = Ordered(
                move.server.incarnation, move.layers, 10_000
            )
        within = self.placement._within_load_limit(moves, used, MODEL)
        self.assertEqual(len(within), MODEL.max_concurrent_loads - 3)

"""Limits on the loads that the control loop of placement orders."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from tests.gateway.fleet import MODEL
from tests.placement.test_planner import make_server, make_unloaded_fleet
from yuccareach.placement.assignments import Assignment, LayerRange
from yuccareach.placement.run import (
    NEW_SERVER_MS,
    PendingOrder,
    PlacementController,
)


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


def make_member(name: str, layers: LayerRange, *, incarnation: str = "1") -> Any:
    return SimpleNamespace(
        backend_server=name,
        incarnation=f"{name}@{incarnation}",
        service="s",
        kind="a100",
        availability_zone="z1",
        address="127.0.0.1:1",
        draining=False,
        first_layer=layers.first,
        end_layer=layers.end,
    )


class ControlLoopTests(unittest.TestCase):
    def setUp(self) -> None:
        self.record_by_name: dict[str, Any] = {}
        process: Any = SimpleNamespace(
            members=SimpleNamespace(record_by_name=self.record_by_name, version=1),
            entry_reports=SimpleNamespace(find_unreachable=lambda now: set()),
        )
        self.placement = PlacementController(process, lambda: None, self.accept_order)
        self.now_ms = 10_000
        clock = patch(
            "yuccareach.placement.run.monotonic_ms", side_effect=lambda: self.now_ms
        )
        clock.start()
        self.addCleanup(clock.stop)

    async def accept_order(self, address: str, layers: LayerRange) -> bool:
        return True

    def add_member(self, member: Any) -> None:
        self.record_by_name[member.backend_server] = SimpleNamespace(member=member)

    def test_server_without_layers_is_new_for_a_heartbeat_interval(self) -> None:
        self.add_member(make_member("used", LayerRange(0, 40)))
        self.add_member(make_member("empty", LayerRange(0, 0)))
        used, empty = self.placement._list_servers("s", MODEL)
        self.assertEqual((used.is_new, empty.is_new), (False, True))
        self.now_ms += NEW_SERVER_MS
        _, empty = self.placement._list_servers("s", MODEL)
        self.assertFalse(empty.is_new)

    def test_restarted_server_is_new_again_and_departed_ones_are_forgotten(
        self,
    ) -> None:
        # A record that stays would let memory grow with each restart.
        self.add_member(make_member("empty", LayerRange(0, 0)))
        self.placement._list_servers("s", MODEL)
        self.now_ms += NEW_SERVER_MS
        self.add_member(make_member("empty", LayerRange(0, 0), incarnation="2"))
        (server,) = self.placement._list_servers("s", MODEL)
        self.assertTrue(server.is_new)
        self.placement._forget_departed()
        self.assertEqual(list(self.placement.first_seen_ms_by_incarnation), ["empty@2"])

    def test_ordered_server_is_loading_until_it_reports_the_range(self) -> None:
        self.add_member(make_member("empty", LayerRange(0, 0)))
        self.placement.pending_order_by_name["empty"] = PendingOrder(
            "empty@1", LayerRange(0, 5), self.now_ms + 10_000
        )
        (server,) = self.placement._list_servers("s", MODEL)
        self.assertEqual((server.is_loading, server.is_new), (True, False))
        self.add_member(make_member("empty", LayerRange(0, 5)))
        (server,) = self.placement._list_servers("s", MODEL)
        self.assertFalse(server.is_loading)

    def test_fleet_that_needs_nothing_is_not_planned_again(self) -> None:
        # The loop runs four times a second on instances with less than half a core.
        for number in range(4):
            layers = LayerRange(20 * number, 20 * number + 20)
            self.add_member(make_member(f"used-{number}", layers))
        with patch(
            "yuccareach.placement.run.plan_assignments", return_value=[]
        ) as plan:
            for _ in range(3):
                asyncio.run(self.placement._place_service("s", MODEL))
            self.assertEqual(plan.call_count, 1)
            del self.record_by_name["used-0"]
            asyncio.run(self.placement._place_service("s", MODEL))
            self.assertEqual(plan.call_count, 2)

    def test_no_plan_is_made_while_the_store_is_busy(self) -> None:
        # Plans of many empty servers take longest, and none of them could be ordered.
        for number in range(4):
            layers = LayerRange(20 * number, 20 * number + 20)
            self.add_member(make_member(f"used-{number}", layers))
        for number in range(MODEL.max_concurrent_loads):
            self.add_member(make_member(f"empty-{number}", LayerRange(0, 0)))
            self.placement.pending_order_by_name[f"empty-{number}"] = PendingOrder(
                f"empty-{number}@1", LayerRange(0, 20), self.now_ms + 10_000
            )
        with patch(
            "yuccareach.placement.run.plan_assignments", return_value=[]
        ) as plan:
            asyncio.run(self.placement._place_service("s", MODEL))
            self.assertEqual(plan.call_count, 0)
            self.placement.pending_order_by_name.popitem()
            asyncio.run(self.placement._place_service("s", MODEL))
            self.assertEqual(plan.call_count, 1)

    def test_zone_is_logged_when_its_state_changes(self) -> None:
        for number in range(4):
            layers = LayerRange(20 * number, 20 * number + 20)
            self.add_member(make_member(f"used-{number}", layers))
        with (
            patch("yuccareach.placement.run.plan_assignments", return_value=[]),
            self.assertLogs("yuccareach", "INFO") as logs,
        ):
            for _ in range(3):
                asyncio.run(self.placement._place_service("s", MODEL))
            del self.record_by_name["used-0"]
            asyncio.run(self.placement._place_service("s", MODEL))
        self.assertEqual(
            [
                (record.msg, record.__dict__["missing_layers"])
                for record in logs.records
            ],
            [("placement_zone_changed", 0), ("placement_zone_changed", 20)],
        )

"""Plans of which backend server holds which layers."""

from __future__ import annotations

import unittest
from random import Random

from tests.gateway.fleet import MODEL
from yuccareach.placement.assignments import (
    NO_LAYERS,
    Assignment,
    LayerRange,
    Server,
    compute_token_capacity,
    count_servers_by_layer,
)
from yuccareach.placement.pipelines import build_pipelines
from yuccareach.placement.planner import (
    MAX_SERVERS_PER_ZONE,
    divide_fleet,
    plan_assignments,
)

MEMORY_MB_BY_KIND = {"a100": 72_000.0, "l40s": 43_200.0, "l4": 21_600.0}
DECODE_FACTOR_BY_KIND = {"a100": 2.4, "l40s": 5.6, "l4": 16.0}
# Servers of each kind in each availability zone.
FLEET = {
    "z1": {"a100": 1, "l40s": 3, "l4": 8},
    "z2": {"a100": 1, "l40s": 6, "l4": 5},
    "z3": {"a100": 2, "l40s": 2, "l4": 5},
}


def make_server(
    name: str, zone: str, kind: str, layers: LayerRange = NO_LAYERS
) -> Server:
    return Server(
        name,
        f"{name}@1",
        zone,
        MEMORY_MB_BY_KIND[kind],
        DECODE_FACTOR_BY_KIND[kind],
        layers,
    )


def make_unloaded_fleet() -> list[Server]:
    return [
        make_server(f"{zone}-{kind}-{number}", zone, kind)
        for zone, count_by_kind in FLEET.items()
        for kind, count in count_by_kind.items()
        for number in range(count)
    ]


def apply_assignments(
    servers: list[Server], assignments: list[Assignment]
) -> list[Server]:
    layers_by_name = {
        assignment.server.name: assignment.layers for assignment in assignments
    }
    return [
        item._replace(layers=layers_by_name.get(item.name, item.layers))
        for item in servers
    ]


class PlannerTestCase(unittest.TestCase):
    def check_memory(self, servers: list[Server]) -> None:
        for item in servers:
            self.assertLessEqual(item.layers.size * MODEL.layer_mb, item.memory_mb)

    def find_complete_zones(self, servers: list[Server]) -> set[str]:
        return {
            zone
            for zone in FLEET
            if min(
                count_servers_by_layer([s for s in servers if s.zone == zone], MODEL)
            )
            > 0
        }


class LargeFleetTests(PlannerTestCase):
    """First plans of fleets that take too long to plan at once."""

    def test_parts_are_small_and_complete_their_zones(self) -> None:
        # Guards against a leader that answers nobody while it plans 3,000 servers.
        servers = [
            item._replace(name=f"{item.name}-{copy}")
            for item in make_unloaded_fleet()
            for copy in range(10)
        ]
        parts = divide_fleet(servers, MODEL)
        self.assertEqual(len(parts), 4)
        self.assertCountEqual([item for part in parts for item in part], servers)
        for part in parts:
            for zone in FLEET:
                count = sum(item.zone == zone for item in part)
                self.assertLessEqual(count, MAX_SERVERS_PER_ZONE)
            placed = apply_assignments(part, plan_assignments(part, MODEL))
            self.check_memory(placed)
            self.assertEqual(self.find_complete_zones(placed), FLEET.keys())

    def test_small_fleet_and_zones_without_two_copies_are_not_divided(self) -> None:
        servers = make_unloaded_fleet()
        (part,) = divide_fleet(servers, MODEL)
        self.assertCountEqual(part, servers)
        tiny = [make_server(f"t{number}", "z9", "l4") for number in range(7)]
        many = [
            item._replace(name=f"{item.name}-{copy}")
            for item in servers
            for copy in range(10)
        ]
        parts = divide_fleet(many + tiny, MODEL)
        zones = [{item.zone for item in part} for part in parts]
        self.assertEqual([("z9" in item) for item in zones], [True] + [False] * 3)


class UnloadedFleetTests(PlannerTestCase):
    def test_each_zone_gets_a_complete_pipeline(self) -> None:
        servers = make_unloaded_fleet()
        placed_servers = apply_assignments(servers, plan_assignments(servers, MODEL))
        self.assertEqual(self.find_complete_zones(placed_servers), set(FLEET))
        self.check_memory(placed_servers)

    def test_accelerators_too_slow_for_a_pipeline_hold_replicas(self) -> None:
        servers = make_unloaded_fleet()
        pipelines = build_pipelines(servers, MODEL)
        used_names = {
            assignment.server.name
            for assignments in pipelines
            for assignment in assignments
        }
        unused_names = {item.name for item in servers} - used_names
        self.assertEqual({name.split("-")[1] for name in unused_names}, {"l4"})
        placed_servers = apply_assignments(servers, plan_assignments(servers, MODEL))
        replicas = {
            item.name for item in placed_servers if item.layers.size
        } - used_names
        self.assertEqual(replicas, unused_names)
        self.check_memory(placed_servers)
        self.assertEqual(plan_assignments(placed_servers, MODEL), [])

    def test_ranges_of_a_pipeline_tile_the_layers(self) -> None:
        for pipeline in build_pipelines(make_unloaded_fleet(), MODEL):
            ranges = [assignment.layers for assignment in pipeline]
            ends = [0, *(item.end for item in ranges)]
            self.assertEqual(ends, [*(item.first for item in ranges), 80])

    def test_zones_too_small_for_the_model_share_one_pipeline(self) -> None:
        servers = [make_server(f"s{i}", f"z{i}", "a100") for i in range(3)]
        placed_servers = apply_assignments(servers, plan_assignments(servers, MODEL))
        self.assertEqual(min(count_servers_by_layer(placed_servers, MODEL)), 1)

    def test_fleet_too_small_for_the_model_gets_no_assignments(self) -> None:
        self.assertEqual(plan_assignments([make_server("s", "z1", "l4")], MODEL), [])

    def test_first_stages_have_slots_for_all_requests_that_fit_into_memory(
        self,
    ) -> None:
        servers = make_unloaded_fleet()
        placed_servers = apply_assignments(servers, plan_assignments(servers, MODEL))
        for zone in FLEET:
            loaded = [
                item
                for item in placed_servers
                if item.zone == zone and item.layers.size
            ]
            slots = MODEL.slots * sum(item.layers.first == 0 for item in loaded)
            pipeline = [
                item
                for item in loaded
                if item.decode_factor < DECODE_FACTOR_BY_KIND["l4"]
            ]
            min_capacity = min(
                compute_token_capacity(Assignment(item, item.layers), MODEL)
                for item in pipeline
            )
            tokens_per_request = (
                MODEL.typical_prompt_tokens + MODEL.typical_answer_tokens
            )
            with self.subTest(zone=zone):
                self.assertGreaterEqual(slots, min_capacity / tokens_per_request)


class RepairTests(PlannerTestCase):
    def test_gap_in_all_zones_goes_to_the_slowest_sufficient_server(self) -> None:
        holders = [
            make_server("a", "z1", "a100", LayerRange(0, 38)),
            make_server("b", "z1", "a100", LayerRange(38, 76)),
        ]
        free = [make_server("slow", "z2", "l4"), make_server("fast", "z2", "a100")]
        for fleet in (holders + free, holders + free[::-1]):
            assignments = plan_assignments(fleet, MODEL)
            self.assertEqual(
                [
                    (assignment.server.name, assignment.layers)
                    for assignment in assignments
                ],
                [("slow", LayerRange(76, 80))],
            )

    def setUp(self) -> None:
        self.servers = make_unloaded_fleet()
        self.apply_plans()

    def remove_server(self, name: str) -> Server:
        removed = next(item for item in self.servers if item.name == name)
        self.servers.remove(removed)
        return removed

    def drop_replicas(self) -> None:
        pipelines = build_pipelines(make_unloaded_fleet(), MODEL)
        self.servers = [
            assignment.server._replace(layers=assignment.layers)
            for assignments in pipelines
            for assignment in assignments
        ]

    def apply_plans(self, *, repartition: bool = False) -> list[Assignment]:
        """Plan and apply assignments until the plan is empty."""
        applied: list[Assignment] = []
        while assignments := plan_assignments(
            self.servers, MODEL, repartition=repartition
        ):
            self.servers = apply_assignments(self.servers, assignments)
            applied += assignments
            self.assertLess(len(applied), 100)
        return applied

    def compute_min_capacity(self, zone: str) -> float:
        """Return the lowest token capacity of any layer in a zone."""
        capacity_by_layer = [0.0] * MODEL.layers
        for item in self.servers:
            if item.zone == zone:
                for layer in range(item.layers.first, item.layers.end):
                    capacity_by_layer[layer] += compute_token_capacity(
                        Assignment(item, item.layers), MODEL
                    )
        return min(capacity_by_layer)

    def test_complete_fleet_gets_no_assignments(self) -> None:
        self.assertEqual(plan_assignments(self.servers, MODEL), [])

    def test_lost_server_is_replaced_within_its_zone(self) -> None:
        capacity_before = self.compute_min_capacity("z2")
        self.remove_server("z2-l40s-0")
        assignments = self.apply_plans()
        self.assertLessEqual(
            {assignment.server.zone for assignment in assignments}, {"z2"}
        )
        self.assertEqual(self.find_complete_zones(self.servers), set(FLEET))
        self.assertGreaterEqual(self.compute_min_capacity("z2"), 0.4 * capacity_before)
        self.check_memory(self.servers)

    def test_loss_of_any_server_leaves_all_zones_complete(self) -> None:
        for name in [item.name for item in self.servers]:
            with self.subTest(lost=name):
                self.setUp()
                self.remove_server(name)
                self.apply_plans()
                self.assertEqual(self.find_complete_zones(self.servers), set(FLEET))
                self.check_memory(self.servers)

    def test_without_replicas_adjacent_servers_extend_into_the_gap(self) -> None:
        self.drop_replicas()
        self.remove_server("z2-l40s-2")
        assignments = self.apply_plans()
        self.assertLessEqual(len(assignments), 2)
        self.assertEqual(self.find_complete_zones(self.servers), set(FLEET))
        self.check_memory(self.servers)

    def test_lasting_gap_has_its_zone_repartitioned(self) -> None:
        self.drop_replicas()
        self.remove_server("z3-l40s-0")
        self.apply_plans()
        self.assertEqual(self.find_complete_zones(self.servers), {"z1", "z2"})
        self.apply_plans(repartition=True)
        self.assertEqual(self.find_complete_zones(self.servers), set(FLEET))
        self.check_memory(self.servers)

    def test_returned_server_raises_the_lowest_token_capacity(self) -> None:
        removed = self.remove_server("z3-a100-1")
        self.apply_plans()
        lowest_capacity = self.compute_min_capacity("z3")
        self.servers.append(removed._replace(layers=NO_LAYERS))
        self.apply_plans()
        self.assertGreater(self.compute_min_capacity("z3"), 1.5 * lowest_capacity)

    def test_layers_stay_covered_while_memory_suffices(self) -> None:
        random = Random(11)
        order = [item.name for item in self.servers]
        random.shuffle(order)
        for name in order:
            self.remove_server(name)
            self.apply_plans()
            self.check_memory(self.servers)
            max_layers = sum(int(s.memory_mb / MODEL.layer_mb) for s in self.servers)
            if max_layers >= 3 * MODEL.layers:
                self.assertGreater(min(count_servers_by_layer(self.servers, MODEL)), 0)

    def test_layers_missing_in_all_zones_are_covered_by_a_redundant_server(
        self,
    ) -> None:
        servers = [
            make_server("a", "z1", "a100", LayerRange(0, 41)),
            make_server("b", "z2", "a100", LayerRange(0, 41)),
            make_server("c", "z3", "a100", LayerRange(41, 60)),
        ]
        placed_servers = apply_assignments(servers, plan_assignments(servers, MODEL))
        self.assertGreater(sum(count_servers_by_layer(placed_servers, MODEL)), 60)
        self.check_memory(placed_servers)

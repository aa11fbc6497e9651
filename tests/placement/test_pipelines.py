"""Tests of how many pipelines an availability zone gets, and from which servers."""

from __future__ import annotations

import unittest
from random import Random

from tests.gateway.fleet import MODEL
from tests.placement.test_planner import (
    apply_assignments,
    make_server,
    make_unloaded_fleet,
)
from yuccareach.placement.assignments import (
    NO_LAYERS,
    Assignment,
    Server,
    compute_token_capacity,
    count_servers_by_layer,
    sum_max_layers,
)
from yuccareach.placement.pipelines import build_pipelines
from yuccareach.placement.planner import plan_assignments

# Memory and decode factor by kind of accelerator.
SMALL_KINDS = {
    "large": (72_000.0, 2.4),
    "medium": (36_000.0, 4.0),
    "small": (21_600.0, 8.0),
    "tiny": (14_400.0, 16.0),
}
# A fleet of 58 small servers: a request takes a tenth of the memory that it takes in
# the fleet of test_planner, so that slots run out before memory.
SMALL_FLEET = {
    "z1": {"medium": 1, "small": 12, "tiny": 5},
    "z2": {"large": 1, "medium": 2, "small": 6, "tiny": 11},
    "z3": {"medium": 2, "small": 8, "tiny": 10},
}
SMALL_FLEET_MODEL = MODEL._replace(
    token_layer_mb=0.0048,
    max_concurrent_loads=9,
    typical_prompt_tokens=772,
    typical_answer_tokens=140,
)
TOKENS_PER_REQUEST = 772 + 140


def make_small_server(name: str, zone: str, kind: str) -> Server:
    memory_mb, decode_factor = SMALL_KINDS[kind]
    return Server(name, f"{name}@1", zone, memory_mb, decode_factor, NO_LAYERS)


def make_small_fleet() -> list[Server]:
    return [
        make_small_server(f"{zone}-{kind}-{number}", zone, kind)
        for zone, count_by_kind in SMALL_FLEET.items()
        for kind, count in count_by_kind.items()
        for number in range(count)
    ]


def count_servable_requests(servers: list[Server]) -> float:
    """Return for how many requests servers have slots, and memory in every layer."""
    tokens_by_layer = [0.0] * SMALL_FLEET_MODEL.layers
    for server in servers:
        for layer in range(server.layers.first, server.layers.end):
            tokens_by_layer[layer] += compute_token_capacity(
                Assignment(server, server.layers), SMALL_FLEET_MODEL
            )
    first_stages = sum(
        server.layers.size > 0 and server.layers.first == 0 for server in servers
    )
    return min(
        first_stages * SMALL_FLEET_MODEL.slots,
        min(tokens_by_layer) / TOKENS_PER_REQUEST,
    )


class SlotLimitedZoneTests(unittest.TestCase):
    def setUp(self) -> None:
        fleet = make_small_fleet()
        plan = plan_assignments(fleet, SMALL_FLEET_MODEL)
        self.servers = apply_assignments(fleet, plan)

    def list_zone(self, zone: str) -> list[Server]:
        return [server for server in self.servers if server.zone == zone]

    def test_every_layer_has_two_holders_in_each_zone(self) -> None:
        # One pipeline of all servers of a zone stopped with each loss or replacement.
        for zone in SMALL_FLEET:
            with self.subTest(zone=zone):
                counts = count_servers_by_layer(self.list_zone(zone), SMALL_FLEET_MODEL)
                self.assertGreaterEqual(min(counts), 2)

    def test_loss_of_any_server_leaves_its_zone_complete_before_any_load(self) -> None:
        for lost in self.servers:
            with self.subTest(lost=lost.name):
                others = [item for item in self.list_zone(lost.zone) if item != lost]
                counts = count_servers_by_layer(others, SMALL_FLEET_MODEL)
                self.assertGreater(min(counts), 0)

    def test_two_copies_of_the_weights_leave_memory_for_two_first_stages(self) -> None:
        # Two copies of the weights leave less memory for requests than one. They must
        # leave room for the requests of two first stages, less a few.
        for zone in SMALL_FLEET:
            with self.subTest(zone=zone):
                servable = count_servable_requests(self.list_zone(zone))
                self.assertGreaterEqual(servable, 186)

    def test_ranges_fit_into_memory_and_nothing_is_left_to_plan(self) -> None:
        for server in self.servers:
            size_mb = server.layers.size * SMALL_FLEET_MODEL.layer_mb
            self.assertLessEqual(size_mb, server.memory_mb)
        self.assertEqual(plan_assignments(self.servers, SMALL_FLEET_MODEL), [])

    def test_division_does_not_depend_on_the_order_of_speeds(self) -> None:
        # Servers were divided in the order of their speed. Where that is not the order
        # of size, the last large server made the memory of the groups uneven.
        zone = [item for item in make_small_fleet() if item.zone == "z1"]
        for factor_by_memory_mb in (
            {36_000.0: 16.0, 21_600.0: 4.0, 14_400.0: 8.0},
            {36_000.0: 8.0, 21_600.0: 16.0, 14_400.0: 4.0},
            {36_000.0: 6.0, 21_600.0: 6.0, 14_400.0: 6.0},
        ):
            servers = [
                item._replace(decode_factor=factor_by_memory_mb[item.memory_mb])
                for item in zone
            ]
            with self.subTest(factors=factor_by_memory_mb):
                plan = plan_assignments(servers, SMALL_FLEET_MODEL)
                placed = apply_assignments(servers, plan)
                self.assertGreaterEqual(count_servable_requests(placed), 186)


class RandomFleetTests(unittest.TestCase):
    def test_plans_fit_into_memory_and_complete_each_zone_that_is_large_enough(
        self,
    ) -> None:
        # Requests from a tenth to three times the size of those of test_planner, so
        # that some zones are limited by slots and others by memory.
        for seed in range(40):
            random = Random(seed)
            model = MODEL._replace(token_layer_mb=random.uniform(0.002, 0.07))
            zones = [f"z{number}" for number in range(random.randint(1, 5))]
            servers = [
                make_small_server(
                    str(number), random.choice(zones), random.choice([*SMALL_KINDS])
                )
                for number in range(random.randint(10, 60))
            ]
            with self.subTest(seed=seed):
                plan = plan_assignments(servers, model)
                placed = apply_assignments(servers, plan)
                for server in placed:
                    self.assertLessEqual(
                        server.layers.size * model.layer_mb, server.memory_mb
                    )
                    self.assertLessEqual(server.layers.end, model.layers)
                for zone in zones:
                    group = [server for server in placed if server.zone == zone]
                    if sum_max_layers(group, model, 0) >= model.layers:
                        counts = count_servers_by_layer(group, model)
                        self.assertGreater(min(counts), 0)


class MemoryLimitedZoneTests(unittest.TestCase):
    def test_zone_keeps_the_plan_that_ignores_slots(self) -> None:
        # Dividing a zone whose memory runs out before its slots would hold the weights
        # twice and leave less memory for requests.
        servers = make_unloaded_fleet()
        self.assertEqual(
            build_pipelines(servers, MODEL),
            build_pipelines(servers, MODEL._replace(slots=100_000)),
        )
        self.assertEqual(
            [pipeline[0].server.zone for pipeline in build_pipelines(servers, MODEL)],
            ["z1", "z2", "z3"],
        )

    def test_model_without_slots_gets_one_pipeline_per_zone(self) -> None:
        pipelines = build_pipelines(
            make_small_fleet(), SMALL_FLEET_MODEL._replace(slots=0)
        )
        self.assertEqual(len(pipelines), len(SMALL_FLEET))

    def test_zone_with_memory_for_one_copy_gets_one_pipeline(self) -> None:
        servers = [make_server(f"s{number}", "z1", "a100") for number in range(3)]
        light_model = MODEL._replace(token_layer_mb=0.0001)
        self.assertEqual(len(build_pipelines(servers, light_model)), 1)

"""Tests of which loads begin first while many servers are lost and replaced."""

from __future__ import annotations

import unittest

from tests.gateway.fleet import MODEL
from tests.placement.test_planner import (
    apply_assignments,
    make_server,
    make_unloaded_fleet,
)
from yuccareach.placement.assignments import (
    NO_LAYERS,
    Assignment,
    LayerRange,
    Server,
    count_servers_by_layer,
)
from yuccareach.placement.loads import (
    LoadReason,
    ZoneState,
    find_load_reason,
    measure_zone_states,
    select_loads,
)
from yuccareach.placement.planner import plan_assignments

ZONES = tuple(f"zone-{letter}" for letter in "abcde")


class SelectLoadsTests(unittest.TestCase):
    def test_zone_that_lacks_fewest_layers_comes_first(self) -> None:
        servers = [
            make_server("a-1", "a", "a100", LayerRange(0, 30)),
            make_server("b-1", "b", "a100", LayerRange(0, 60)),
        ]
        far = Assignment(make_server("a-2", "a", "l40s"), LayerRange(30, 50))
        near = Assignment(make_server("b-2", "b", "l40s"), LayerRange(60, 80))
        replica = Assignment(make_server("a-3", "a", "l4"), LayerRange(0, 5))
        selected = select_loads([replica, far, near], servers, MODEL, 0)
        self.assertEqual(selected, [near, far, replica])

    def test_layers_with_a_single_holder_come_before_other_replicas(self) -> None:
        # A third copy of some layers was loaded while the next loss of a server would
        # have stopped the zone.
        servers = [
            make_server("a-1", "a", "a100", LayerRange(0, 40)),
            make_server("a-2", "a", "a100", LayerRange(0, 40)),
            make_server("a-3", "a", "a100", LayerRange(40, 80)),
        ]
        third = Assignment(make_server("a-4", "a", "l4"), LayerRange(0, 10))
        second = Assignment(make_server("a-5", "a", "l4"), LayerRange(35, 45))
        selected = select_loads([third, second], servers, MODEL, 0)
        self.assertEqual(selected, [second, third])

    def test_pending_loads_are_not_exceeded(self) -> None:
        replica = Assignment(make_server("a-3", "a", "l4"), LayerRange(0, 5))
        for pending in (MODEL.max_concurrent_loads, MODEL.max_concurrent_loads + 3):
            self.assertEqual(
                select_loads([replica], [replica.server], MODEL, pending), []
            )

    def test_zone_without_any_layers_has_no_gap(self) -> None:
        servers = [make_server("a-1", "a", "a100")]
        replica = Assignment(servers[0], LayerRange(0, 5))
        self.assertEqual(select_loads([replica], servers, MODEL, 0), [replica])


class ObservationTests(unittest.TestCase):
    """What operators read in the log about loads and zones."""

    def setUp(self) -> None:
        self.servers = [
            make_server("a-1", "a", "a100", LayerRange(0, 40)),
            make_server("a-2", "a", "a100", LayerRange(20, 60)),
            make_server("b-1", "b", "a100", LayerRange(60, 80)),
        ]

    def test_reason_is_that_of_the_layer_with_the_fewest_holders(self) -> None:
        for layers, reason in (
            (LayerRange(50, 65), LoadReason.GAP),
            (LayerRange(15, 25), LoadReason.SINGLE_HOLDER),
            (LayerRange(20, 40), LoadReason.CAPACITY),
        ):
            with self.subTest(layers=layers):
                assignment = Assignment(make_server("a-3", "a", "l4"), layers)
                self.assertEqual(
                    find_load_reason(assignment, self.servers, MODEL), reason
                )

    def test_layers_that_are_being_loaded_are_missing(self) -> None:
        # The plan counts them as held, but no request can use them yet.
        self.assertEqual(
            measure_zone_states(self.servers, MODEL),
            {"a": ZoneState(20, 40), "b": ZoneState(60, 20)},
        )
        loading = [*self.servers[:1], self.servers[1]._replace(is_loading=True)]
        self.assertEqual(measure_zone_states(loading, MODEL), {"a": ZoneState(40, 40)})


class ReleaseBesideCrashTests(unittest.TestCase):
    """Five zones; servers restart empty in the first four, and one loses a stage."""

    def setUp(self) -> None:
        fleet = [
            server._replace(name=f"{zone}-{server.name}", zone=zone)
            for zone in ZONES
            for server in make_unloaded_fleet()
            if server.zone == "z1"
        ]
        self.servers = apply_assignments(fleet, plan_assignments(fleet, MODEL))
        for zone in ZONES:
            self.assertTrue(self.is_whole(self.servers, zone))
        # Replicas restart without layers in each zone but the last.
        redundant = [
            server
            for server in self.servers
            if server.zone != ZONES[-1]
            and self.is_whole([s for s in self.servers if s is not server], server.zone)
        ]
        restarted = {server.name for server in redundant if "l4-" in server.name}
        self.servers = [
            server._replace(layers=NO_LAYERS) if server.name in restarted else server
            for server in self.servers
        ]
        lost = next(
            server
            for server in self.servers
            if server.zone == ZONES[-1]
            and not self.is_whole(
                [item for item in self.servers if item is not server], server.zone
            )
        )
        self.servers.remove(lost)

    def is_whole(self, servers: list[Server], zone: str) -> bool:
        held = [server for server in servers if server.zone == zone]
        return min(count_servers_by_layer(held, MODEL)) > 0

    def test_gap_waited_for_the_replicas_of_the_zones_before_it(self) -> None:
        servers = self.servers
        planned = plan_assignments(servers, MODEL)
        self.assertGreater(len(planned), MODEL.max_concurrent_loads)
        # Each step is the time of one load.
        for step in range(1, 4):
            selected = select_loads(plan_assignments(servers, MODEL), servers, MODEL, 0)
            self.assertLessEqual(len(selected), MODEL.max_concurrent_loads)
            servers = apply_assignments(servers, selected)
            if self.is_whole(servers, ZONES[-1]):
                break
        self.assertEqual(step, 1)

"""Tests of which backend servers may take part in new chains."""

from __future__ import annotations

import math
import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import MODEL, build_two_zones
from yuccareach.gateway.availability import (
    count_uncovered_layers,
    find_for_chain,
    find_layers_acceptance_ms,
)
from yuccareach.gateway.backends import Backend
from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.gateway.chains import LayerGraph
from yuccareach.gateway.state import Gateway, GatewaySettings
from yuccareach.gateway.table import Service
from yuccareach.health.servers import (
    PRESUMED_LOST_SILENCE_MS,
    EndProof,
    record_end,
    record_leaving,
    record_refusal,
    record_silence,
)
from yuccareach.platform.headers import DIALECT

SERVICE = Service("s", 100, MODEL)


class FindForChainTests(unittest.TestCase):
    def setUp(self) -> None:
        self.backends = build_two_zones()

    def test_leaving_server_takes_part_only_in_a_stream_that_runs_there(self) -> None:
        leaving = self.backends[0]
        record_leaving(leaving.health)
        others = self.backends[1:]
        self.assertEqual(find_for_chain(self.backends, 0.0, ()), others)
        self.assertEqual(find_for_chain(self.backends, 0.0, others), others)
        self.assertEqual(find_for_chain(self.backends, 0.0, [leaving]), self.backends)

    def test_lost_server_takes_no_part_in_a_stream_that_ran_there(self) -> None:
        ended, silent = self.backends[:2]
        record_end(ended.health, EndProof.REPORTED)
        record_silence(silent.health, 0)
        now_s = PRESUMED_LOST_SILENCE_MS / 1000
        self.assertEqual(
            find_for_chain(self.backends, now_s, self.backends), self.backends[2:]
        )


class AcceptanceTests(unittest.TestCase):
    def setUp(self) -> None:
        self.backends = build_two_zones()

    def find_acceptance_ms(self) -> float:
        return find_layers_acceptance_ms(self.backends, MODEL, 0.0)

    def test_layers_with_an_accepting_server_are_available(self) -> None:
        # Each zone holds all layers.
        for backend in self.backends[:4]:
            record_leaving(backend.health)
        self.assertEqual(self.find_acceptance_ms(), 0)

    def test_layers_held_by_leaving_servers_only_are_not_available(self) -> None:
        for backend in (self.backends[0], self.backends[4]):
            record_leaving(backend.health)
        self.assertEqual(self.find_acceptance_ms(), math.inf)

    def test_layers_held_by_refusing_servers_only_are_available_with_the_first(
        self,
    ) -> None:
        record_refusal(self.backends[0].health, 0, 3_000)
        record_refusal(self.backends[4].health, 0, 2_000)
        self.assertEqual(self.find_acceptance_ms(), 2_000)
        record_refusal(self.backends[3].health, 0, 5_000)
        record_refusal(self.backends[6].health, 0, 4_000)
        self.assertEqual(self.find_acceptance_ms(), 4_000)
        record_leaving(self.backends[6].health)
        self.assertEqual(self.find_acceptance_ms(), 5_000)

    def test_refusing_servers_keep_their_layers(self) -> None:
        for backend in self.backends:
            record_refusal(backend.health, 0, 3_000)
        self.assertEqual(count_uncovered_layers(self.backends, MODEL, 0.0), 0)
        for backend in self.backends[:4]:
            record_leaving(backend.health)
        # a1 to a4 held layers 62 to 80 with b3 only.
        record_leaving(self.backends[6].health)
        self.assertEqual(count_uncovered_layers(self.backends, MODEL, 0.0), 80 - 62)

    def test_ended_server_does_not_count(self) -> None:
        record_leaving(self.backends[0].health)
        record_end(self.backends[4].health, EndProof.REFUSED)
        self.assertEqual(self.find_acceptance_ms(), math.inf)

    def test_layers_without_any_server_are_left_out(self) -> None:
        self.assertEqual(find_layers_acceptance_ms([], MODEL, 0.0), 0)


class CachedGraphTests(unittest.IsolatedAsyncioTestCase):
    """The graph that a gateway keeps between two changes of the members."""

    async def asyncSetUp(self) -> None:
        limits = RetryBudgetLimits(0.2, 100, 10)
        self.gateway = Gateway(GatewaySettings("g", "z1", 5.0, limits, 8.0), DIALECT)
        table: Any = mock.Mock(version=1)
        self.gateway.table = table
        announcements = [item.announcement for item in build_two_zones()]
        self.gateway.fleet.update(announcements, [])

    def get_backend(self, name: str) -> Backend:
        return self.gateway.fleet.backend_by_name[name]

    def list_names(self, graph: LayerGraph) -> set[str]:
        return {
            backend.name
            for at_boundary in graph.backends_by_boundary
            for backend in at_boundary
        }

    async def test_graph_is_kept_while_nothing_changes(self) -> None:
        graph = self.gateway.get_graph(SERVICE)
        self.assertIs(self.gateway.get_graph(SERVICE), graph)

    async def test_server_that_says_it_is_leaving_is_not_in_the_cached_graph(
        self,
    ) -> None:
        self.assertIn("a2", self.list_names(self.gateway.get_graph(SERVICE)))
        record_leaving(self.get_backend("a2").health)
        graph = self.gateway.get_graph(SERVICE)
        self.assertNotIn("a2", self.list_names(graph))
        self.assertEqual(graph.complete_zones, {"z2"})

    async def test_graph_for_a_running_stream_keeps_its_leaving_stage(self) -> None:
        leaving = self.get_backend("a2")
        record_leaving(leaving.health)
        graph = self.gateway.get_graph(SERVICE, [leaving])
        self.assertIn("a2", self.list_names(graph))
        self.assertNotIn("a2", self.list_names(self.gateway.get_graph(SERVICE)))

    async def test_refusing_server_is_in_no_graph_until_its_time_is_over(
        self,
    ) -> None:
        now_s = 100.0
        with mock.patch.object(self.gateway, "now", lambda: now_s):
            record_refusal(self.get_backend("a2").health, 100_000, 3_000)
            graph = self.gateway.get_graph(SERVICE)
            self.assertNotIn("a2", self.list_names(graph))
            now_s = 103.0
            graph = self.gateway.get_graph(SERVICE)
            self.assertIn("a2", self.list_names(graph))

    async def test_layers_held_by_refusing_servers_only_are_no_coverage_gap(
        self,
    ) -> None:
        with mock.patch.object(self.gateway, "now", lambda: 100.0):
            for name in ("a2", "b2"):
                record_refusal(self.get_backend(name).health, 100_000, 3_000)
            self.assertEqual(self.gateway.estimate_refusal_s(SERVICE), 3.0)
            self.assertEqual(self.gateway.estimate_coverage_gap_s(SERVICE), 0)
            # A refusal that is extended is not taken from the cache.
            record_refusal(self.get_backend("a2").health, 100_000, 4_000)
            record_refusal(self.get_backend("b2").health, 100_000, 5_000)
            self.assertEqual(self.gateway.estimate_refusal_s(SERVICE), 4.0)

    async def test_layers_held_by_leaving_servers_only_are_a_coverage_gap(
        self,
    ) -> None:
        self.assertEqual(self.gateway.estimate_refusal_s(SERVICE), 0)
        for name in ("a2", "b2"):
            record_leaving(self.get_backend(name).health)
        self.assertEqual(self.gateway.estimate_refusal_s(SERVICE), math.inf)
        self.assertGreater(self.gateway.estimate_coverage_gap_s(SERVICE), 0)

    async def test_layers_of_servers_silent_for_a_moment_are_no_coverage_gap(
        self,
    ) -> None:
        # Guards against refusals with the time of a load while one connect timed out.
        now_s = 100.0
        with mock.patch.object(self.gateway, "now", lambda: now_s):
            for name in ("a2", "b2"):
                self.get_backend(name).record_connect_failure(now_s, refused=False)
            self.assertEqual(self.gateway.estimate_coverage_gap_s(SERVICE), 0)
            # Requests wait for them in the queue.
            graph = self.gateway.get_graph(SERVICE)
            self.assertFalse(self.list_names(graph) & {"a2", "b2"})
            now_s += PRESUMED_LOST_SILENCE_MS / 1000
            self.assertGreater(self.gateway.estimate_coverage_gap_s(SERVICE), 0)
            for name in ("a2", "b2"):
                self.get_backend(name).record_connect_success()
            self.assertEqual(self.gateway.estimate_coverage_gap_s(SERVICE), 0)

    async def test_layers_of_ended_servers_are_a_coverage_gap_at_once(self) -> None:
        for name in ("a2", "b2"):
            self.get_backend(name).record_connect_failure(0.0, refused=True)
        self.assertGreater(self.gateway.estimate_coverage_gap_s(SERVICE), 0)

    async def test_silent_server_beside_a_leaving_one_is_waited_for(self) -> None:
        with mock.patch.object(self.gateway, "now", lambda: 100.0):
            record_leaving(self.get_backend("a2").health)
            self.get_backend("b2").record_connect_failure(100.0, refused=False)
            self.assertEqual(self.gateway.estimate_refusal_s(SERVICE), 0)
            self.assertEqual(self.gateway.estimate_coverage_gap_s(SERVICE), 0)

"""Tests of the search for chains that run every layer once and in order."""

from __future__ import annotations

import unittest
from random import Random

from tests.gateway.fleet import MODEL, build_backend, build_two_zones
from yuccareach.gateway.backends import FULL_DURATION_S, Backend
from yuccareach.gateway.chains import (
    MAX_STARTING_STREAMS,
    Chain,
    ChainRequirements,
    ChainStage,
    build_graph,
    compute_token_capacity,
    find_chain,
)


class FindChainTests(unittest.TestCase):
    def setUp(self) -> None:
        self.backends = build_two_zones()
        self.backend_by_name = {item.name: item for item in self.backends}

    def find_chain(
        self,
        zone: str = "z1",
        tokens: int = 974,
        excluded_incarnations: frozenset[str] = frozenset(),
        first_stage: ChainStage | None = None,
        now_s: float = 0.0,
    ) -> Chain | None:
        graph = build_graph(self.backends, MODEL)
        return find_chain(
            graph,
            MODEL,
            ChainRequirements(zone, tokens, now_s, excluded_incarnations),
            first_stage,
        )

    def list_names(self, chain: Chain | None) -> list[str]:
        assert chain is not None
        return [stage.backend.name for stage in chain.stages]

    def test_chain_stays_within_the_zone_of_the_entry(self) -> None:
        self.assertEqual(
            self.list_names(self.find_chain("z1")), ["a1", "a2", "a3", "a4"]
        )
        self.assertEqual(self.list_names(self.find_chain("z2")), ["b1", "b2", "b3"])

    def test_zone_with_uncovered_layers_is_avoided_not_crossed(self) -> None:
        # Guards against an overloaded link: chains that left a zone only for the layers
        # lacking there filled the link between zones, which all requests share, until
        # no request was served.
        self.backends.remove(self.backend_by_name["a3"])
        self.assertEqual(self.list_names(self.find_chain("z1")), ["b1", "b2", "b3"])

    def test_no_hop_between_zones_unless_allowed(self) -> None:
        for name in ("a2", "b3"):
            self.backends.remove(self.backend_by_name[name])
        graph = build_graph(self.backends, MODEL)
        self.assertEqual(graph.complete_zones, frozenset())
        requirements = ChainRequirements("z1", 974, 0.0, cross_zone_allowed=False)
        self.assertIsNone(find_chain(graph, MODEL, requirements))
        self.assertIsNotNone(
            find_chain(graph, MODEL, requirements._replace(cross_zone_allowed=True))
        )

    def test_zones_that_cover_every_layer_are_complete(self) -> None:
        graph = build_graph(self.backends, MODEL)
        self.assertEqual(graph.complete_zones, {"z1", "z2"})
        self.backends.remove(self.backend_by_name["a3"])
        self.assertEqual(build_graph(self.backends, MODEL).complete_zones, {"z2"})
        self.assertEqual(build_graph([], MODEL).complete_zones, frozenset())

    def test_uncovered_layers_are_counted(self) -> None:
        self.assertEqual(build_graph(self.backends, MODEL).uncovered_layers, 0)
        for name in ("a2", "b2"):
            self.backends.remove(self.backend_by_name[name])
        # b2 had loaded layers 31 to 62, and a3 has loaded layers 46 to 63.
        graph = build_graph(self.backends, MODEL)
        self.assertEqual(graph.uncovered_layers, 46 - 31)
        self.assertEqual(build_graph([], MODEL).uncovered_layers, MODEL.layers)

    def test_chain_avoids_a_full_zone(self) -> None:
        self.backend_by_name["a3"].reserved_tokens = compute_token_capacity(
            self.backend_by_name["a3"], MODEL
        )
        self.assertEqual(self.list_names(self.find_chain("z1")), ["b1", "b2", "b3"])

    def test_server_that_refused_recently_counts_as_full(self) -> None:
        # Guards against floods of refused requests: entries learn late of each other's
        # requests, so a full stage was sent 181 requests in a second, as no other stage
        # had free capacity.
        for name in ("a3", "b2"):
            self.backend_by_name[name].record_refusal(0.0)
        self.assertIsNone(self.find_chain(now_s=FULL_DURATION_S / 2))
        self.assertIsNotNone(self.find_chain(now_s=FULL_DURATION_S * 2))

    def test_reserved_tokens_of_other_entries_count(self) -> None:
        for item in self.backends:
            item.reserved_tokens_elsewhere = compute_token_capacity(item, MODEL)
        self.assertIsNone(self.find_chain())

    def test_no_chain_with_uncovered_layers(self) -> None:
        for name in ("a1", "b1"):
            self.backends.remove(self.backend_by_name[name])
        self.assertIsNone(self.find_chain())

    def test_server_that_failed_is_used_only_if_there_is_no_other(self) -> None:
        self.backend_by_name["a2"].record_failure(0.0)
        self.assertEqual(
            self.list_names(self.find_chain("z1", now_s=0.1)), ["b1", "b2", "b3"]
        )
        self.backend_by_name["b2"].record_failure(0.0)
        self.assertIsNotNone(self.find_chain("z1", now_s=0.1))

    def test_slow_server_is_used_only_if_no_other_has_capacity(self) -> None:
        self.backend_by_name["a2"].slowdown = 12.0
        self.assertEqual(self.list_names(self.find_chain("z1")), ["b1", "b2", "b3"])
        for name in ("b1", "b2", "b3"):
            self.backend_by_name[name].reserved_tokens = compute_token_capacity(
                self.backend_by_name[name], MODEL
            )
        self.assertIn("a2", self.list_names(self.find_chain("z1")))

    def test_excluded_incarnation_is_not_used(self) -> None:
        chain = self.find_chain("z1", excluded_incarnations=frozenset({"a1@1"}))
        self.assertNotIn("a1", self.list_names(chain))

    def test_chain_keeps_a_fixed_first_stage(self) -> None:
        first_stage = ChainStage(self.backend_by_name["a1"], 0, 29)
        chain = self.find_chain(
            "z1", excluded_incarnations=frozenset({"a2@1"}), first_stage=first_stage
        )
        assert chain is not None
        self.assertEqual(chain.stages[0], first_stage)
        self.assertNotIn("a2", self.list_names(chain))

    def test_starting_streams_at_one_first_stage_are_bounded(self) -> None:
        self.backend_by_name["a1"].starting_streams = MAX_STARTING_STREAMS
        self.assertEqual(self.list_names(self.find_chain("z1")), ["b1", "b2", "b3"])

    def test_chain_starts_at_a_server_with_free_slots(self) -> None:
        # Guards against late first events after servers were added: all slots of one
        # first stage were taken, and the first event of each stream waited for a slot.
        self.backend_by_name["a1"].first_stage_streams_elsewhere = MODEL.slots
        self.backends.append(build_backend("a0", "z1", "l4", 0, 5))
        chain = self.find_chain("z1")
        self.assertEqual(self.list_names(chain)[:2], ["a0", "a1"])


class CoverageTests(unittest.TestCase):
    def test_chains_over_random_layers_have_no_gap_or_overlap(self) -> None:
        random = Random(5)
        found_chains = 0
        for _ in range(300):
            backends = [
                self.build_random_backend(random, number) for number in range(20)
            ]
            graph = build_graph(backends, MODEL)
            chain = find_chain(graph, MODEL, ChainRequirements("z1", 10, 0.0))
            if chain is None:
                self.assertFalse(self.covers_all_layers(backends))
                continue
            found_chains += 1
            self.check_chain(chain)
        self.assertGreater(found_chains, 50)

    def build_random_backend(self, random: Random, number: int) -> Backend:
        first = random.randrange(0, 80, 5)
        end = min(80, first + random.choice((5, 10, 15, 20)))
        zone = random.choice(("z1", "z2", "z3"))
        return build_backend(f"s{number}", zone, "a100", first, end)

    def covers_all_layers(self, backends: list[Backend]) -> bool:
        loaded = {
            layer
            for item in backends
            for layer in range(
                item.announcement.first_layer, item.announcement.end_layer
            )
        }
        return loaded == set(range(80))

    def check_chain(self, chain: Chain) -> None:
        layer = 0
        for stage in chain.stages:
            self.assertEqual(stage.first_layer, layer)
            self.assertLess(stage.first_layer, stage.end_layer)
            loaded = stage.backend.announcement
            self.assertLessEqual(loaded.first_layer, stage.first_layer)
            self.assertLessEqual(stage.end_layer, loaded.end_layer)
            layer = stage.end_layer
        self.assertEqual(layer, 80)
        names = [stage.backend.name for stage in chain.stages]
        self.assertEqual(len(names), len(set(names)))

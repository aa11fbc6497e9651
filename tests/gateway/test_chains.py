"""Chains that run every layer once and in order."""

from __future__ import annotations

import unittest
from random import Random

from tests.gateway.fleet import MODEL, backend, two_zones
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
        self.backends = two_zones()
        self.by_name = {item.name: item for item in self.backends}

    def find(
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

    def names(self, chain: Chain | None) -> list[str]:
        assert chain is not None
        return [stage.backend.name for stage in chain.stages]

    def test_chain_stays_within_the_zone_of_the_entry(self) -> None:
        self.assertEqual(self.names(self.find("z1")), ["a1", "a2", "a3", "a4"])
        self.assertEqual(self.names(self.find("z2")), ["b1", "b2", "b3"])

    def test_zone_with_a_hole_is_left_whole_rather_than_crossed_twice(self) -> None:
        # Found on the bench: detours through other zones filled the link that all
        # requests share, until nothing was served any more.
        self.backends.remove(self.by_name["a3"])
        self.assertEqual(self.names(self.find("z1")), ["b1", "b2", "b3"])

    def test_no_hop_between_zones_unless_allowed(self) -> None:
        for name in ("a2", "b3"):
            self.backends.remove(self.by_name[name])
        graph = build_graph(self.backends, MODEL)
        self.assertEqual(graph.complete_zones, frozenset())
        requirements = ChainRequirements("z1", 974, 0.0, cross_zone_allowed=False)
        self.assertIsNone(find_chain(graph, MODEL, requirements))
        self.assertIsNotNone(
            find_chain(graph, MODEL, requirements._replace(cross_zone_allowed=True))
        )

    def test_zones_that_hold_every_layer_are_known(self) -> None:
        graph = build_graph(self.backends, MODEL)
        self.assertEqual(graph.complete_zones, {"z1", "z2"})
        self.backends.remove(self.by_name["a3"])
        self.assertEqual(build_graph(self.backends, MODEL).complete_zones, {"z2"})
        self.assertEqual(build_graph([], MODEL).complete_zones, frozenset())

    def test_layers_that_nobody_holds_are_counted(self) -> None:
        self.assertEqual(build_graph(self.backends, MODEL).uncovered_layers, 0)
        for name in ("a2", "b2"):
            self.backends.remove(self.by_name[name])
        # b2 held 31 to 62, and a3 holds 46 to 63.
        graph = build_graph(self.backends, MODEL)
        self.assertEqual(graph.uncovered_layers, 46 - 31)
        self.assertEqual(build_graph([], MODEL).uncovered_layers, MODEL.layers)

    def test_full_zone_gives_way_to_one_with_room(self) -> None:
        self.by_name["a3"].reserved_tokens = compute_token_capacity(
            self.by_name["a3"], MODEL
        )
        self.assertEqual(self.names(self.find("z1")), ["b1", "b2", "b3"])

    def test_server_that_refused_lately_has_no_room(self) -> None:
        # Found in a hunt: entries learn late of each other's requests. A stage without
        # room was sent 181 requests in a second, since nothing else had any.
        for name in ("a3", "b2"):
            self.by_name[name].record_refusal(0.0)
        self.assertIsNone(self.find(now_s=FULL_DURATION_S / 2))
        self.assertIsNotNone(self.find(now_s=FULL_DURATION_S * 2))

    def test_tokens_of_other_entries_count(self) -> None:
        for item in self.backends:
            item.reserved_tokens_elsewhere = compute_token_capacity(item, MODEL)
        self.assertIsNone(self.find())

    def test_layers_that_nobody_holds_allow_no_chain(self) -> None:
        for name in ("a1", "b1"):
            self.backends.remove(self.by_name[name])
        self.assertIsNone(self.find())

    def test_server_that_failed_is_taken_only_where_there_is_no_other(self) -> None:
        self.by_name["a2"].record_failure(0.0)
        self.assertEqual(self.names(self.find("z1", now_s=0.1)), ["b1", "b2", "b3"])
        self.by_name["b2"].record_failure(0.0)
        self.assertIsNotNone(self.find("z1", now_s=0.1))

    def test_slow_server_is_taken_only_where_nothing_else_has_room(self) -> None:
        self.by_name["a2"].slowdown = 12.0
        self.assertEqual(self.names(self.find("z1")), ["b1", "b2", "b3"])
        for name in ("b1", "b2", "b3"):
            self.by_name[name].reserved_tokens = compute_token_capacity(
                self.by_name[name], MODEL
            )
        self.assertIn("a2", self.names(self.find("z1")))

    def test_excluded_incarnation_takes_no_part(self) -> None:
        chain = self.find("z1", excluded_incarnations=frozenset({"a1@1"}))
        self.assertNotIn("a1", self.names(chain))

    def test_detour_keeps_its_first_part(self) -> None:
        first_stage = ChainStage(self.by_name["a1"], 0, 29)
        chain = self.find(
            "z1", excluded_incarnations=frozenset({"a2@1"}), first_stage=first_stage
        )
        assert chain is not None
        self.assertEqual(chain.stages[0], first_stage)
        self.assertNotIn("a2", self.names(chain))

    def test_starts_at_one_first_stage_are_bounded(self) -> None:
        self.by_name["a1"].starting_streams = MAX_STARTING_STREAMS
        self.assertEqual(self.names(self.find("z1")), ["b1", "b2", "b3"])

    def test_stream_begins_where_slots_are_free(self) -> None:
        # Found on a grown deployment: one first stage had all its slots taken, and the
        # first event of each stream waited for one of them.
        self.by_name["a1"].first_stage_streams_elsewhere = MODEL.slots
        self.backends.append(backend("a0", "z1", "l4", 0, 5))
        chain = self.find("z1")
        self.assertEqual(self.names(chain)[:2], ["a0", "a1"])


class TilingTests(unittest.TestCase):
    def test_random_holdings_are_tiled_without_gap_or_overlap(self) -> None:
        random = Random(5)
        found = 0
        for _ in range(300):
            backends = [self.random_backend(random, number) for number in range(20)]
            graph = build_graph(backends, MODEL)
            chain = find_chain(graph, MODEL, ChainRequirements("z1", 10, 0.0))
            if chain is None:
                self.assertFalse(self.covered(backends))
                continue
            found += 1
            self.check(chain)
        self.assertGreater(found, 50)

    def random_backend(self, random: Random, number: int) -> Backend:
        first = random.randrange(0, 80, 5)
        end = min(80, first + random.choice((5, 10, 15, 20)))
        zone = random.choice(("z1", "z2", "z3"))
        return backend(f"s{number}", zone, "a100", first, end)

    def covered(self, backends: list[Backend]) -> bool:
        held = {
            layer
            for item in backends
            for layer in range(
                item.announcement.first_layer, item.announcement.end_layer
            )
        }
        return held == set(range(80))

    def check(self, chain: Chain) -> None:
        layer = 0
        for stage in chain.stages:
            self.assertEqual(stage.first_layer, layer)
            self.assertLess(stage.first_layer, stage.end_layer)
            held = stage.backend.announcement
            self.assertLessEqual(held.first_layer, stage.first_layer)
            self.assertLessEqual(stage.end_layer, held.end_layer)
            layer = stage.end_layer
        self.assertEqual(layer, 80)
        names = [stage.backend.name for stage in chain.stages]
        self.assertEqual(len(names), len(set(names)))

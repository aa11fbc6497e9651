"""Choice of chains."""

from __future__ import annotations

import itertools
import unittest
from random import Random

from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
from yuccareach.route.chain import check_tiling
from yuccareach.route.choice import (
    choose_chain,
    compute_batch_fill_cost,
    compute_load_cost,
)
from yuccareach.route.errors import ChainGap


def member(name: str, first: int, end: int, zone: str = "z") -> cpb.Member:
    return cpb.Member(
        backend_server=name,
        first_layer=first,
        end_layer=end,
        availability_zone=zone,
    )


class ChooseChainTests(unittest.TestCase):
    def test_cheapest_chain_equals_that_of_a_full_search(self) -> None:
        random = Random(7)
        zones = ("x", "y", "z")
        for _ in range(200):
            members = []
            for number in range(7):
                first = random.randrange(5)
                end = random.randrange(first + 1, 7)
                zone = random.choice(zones)
                members.append(member(str(number), first, min(end, 6), zone))
            cost = {item.backend_server: random.random() for item in members}

            def link(first: str, second: str) -> float:
                return 0.0 if first == second else 0.4

            def total(chain: tuple[cpb.Member, ...]) -> float:
                places = ["x", *(item.availability_zone for item in chain)]
                hops = sum(map(link, places, places[1:]))
                return hops + sum(cost[item.backend_server] for item in chain)

            chosen = choose_chain(
                members, 6, lambda item: cost[item.backend_server], link, "x"
            )
            tilings = [
                chain
                for length in range(1, 7)
                for chain in itertools.permutations(members, length)
                if _tiles(chain)
            ]
            if not tilings:
                self.assertIsNone(chosen)
                continue
            self.assertAlmostEqual(total(chosen), min(map(total, tilings)))

    def test_no_chain_where_a_layer_is_missing(self) -> None:
        members = [member("a", 0, 3), member("b", 4, 6)]
        self.assertIsNone(choose_chain(members, 6, lambda _: 1, lambda *_: 0, "z"))


def _tiles(chain: tuple[cpb.Member, ...]) -> bool:
    ends = [0, *(item.end_layer for item in chain)]
    return ends[-1] == 6 and all(
        item.first_layer == end for item, end in zip(chain, ends)
    )


class CheckTilingTests(unittest.TestCase):
    def test_gaps_overlaps_and_missing_ends_are_refused(self) -> None:
        bad = [[], [(0, 2)], [(1, 4)], [(0, 2), (3, 4)], [(0, 3), (2, 4)], [(0, 5)]]
        for ranges in bad:
            chain = [pb.Stage(first_layer=a, end_layer=b) for a, b in ranges]
            with self.subTest(ranges=ranges), self.assertRaises(ChainGap):
                check_tiling(chain, 4)
        check_tiling([pb.Stage(first_layer=0, end_layer=4)], 4)


class LoadCostTests(unittest.TestCase):
    def test_grows_with_load_and_falls_with_speed(self) -> None:
        for cost in (compute_load_cost, compute_batch_fill_cost):
            costs = [cost(running, 8, 100.0) for running in range(0, 40)]
            self.assertEqual(costs, sorted(costs))
            self.assertLess(cost(4, 8, 200.0), cost(4, 8, 100.0))

    def test_equal_cost_means_streams_in_proportion_to_rates(self) -> None:
        slow = compute_load_cost(20, 8, 10.0)
        fast = compute_load_cost(2_000, 64, 1_000.0)
        self.assertAlmostEqual(slow, fast, delta=0.2 * slow)

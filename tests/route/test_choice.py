"""Choice of chains, their check, and the costs of backend servers."""

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


def make_member(name: str, first: int, end: int, zone: str = "z") -> cpb.Member:
    return cpb.Member(
        backend_server=name,
        first_layer=first,
        end_layer=end,
        availability_zone=zone,
    )


class ChooseChainTests(unittest.TestCase):
    def test_chosen_chain_costs_as_little_as_the_best_of_all_chains(self) -> None:
        random = Random(7)
        zones = ("x", "y", "z")
        for _ in range(200):
            members = []
            for number in range(7):
                first = random.randrange(5)
                end = random.randrange(first + 1, 7)
                zone = random.choice(zones)
                members.append(make_member(str(number), first, min(end, 6), zone))
            cost = {item.backend_server: random.random() for item in members}

            def compute_link_cost(first: str, second: str) -> float:
                return 0.0 if first == second else 0.4

            def compute_total_cost(chain: tuple[cpb.Member, ...]) -> float:
                zones_on_path = ["x", *(item.availability_zone for item in chain)]
                link_costs = sum(
                    map(compute_link_cost, zones_on_path, zones_on_path[1:])
                )
                return link_costs + sum(cost[item.backend_server] for item in chain)

            chosen = choose_chain(
                members,
                6,
                lambda item: cost[item.backend_server],
                compute_link_cost,
                "x",
            )
            valid_chains = [
                chain
                for length in range(1, 7)
                for chain in itertools.permutations(members, length)
                if _covers_all_layers(chain)
            ]
            if not valid_chains:
                self.assertIsNone(chosen)
                continue
            self.assertAlmostEqual(
                compute_total_cost(chosen), min(map(compute_total_cost, valid_chains))
            )

    def test_no_chain_is_chosen_if_no_member_holds_a_layer(self) -> None:
        members = [make_member("a", 0, 3), make_member("b", 4, 6)]
        self.assertIsNone(choose_chain(members, 6, lambda _: 1, lambda *_: 0, "z"))


def _covers_all_layers(chain: tuple[cpb.Member, ...]) -> bool:
    ends = [0, *(item.end_layer for item in chain)]
    return ends[-1] == 6 and all(
        item.first_layer == end for item, end in zip(chain, ends)
    )


class CheckTilingTests(unittest.TestCase):
    def test_gaps_overlaps_and_wrong_ends_are_rejected(self) -> None:
        invalid_chains = [
            [],
            [(0, 2)],
            [(1, 4)],
            [(0, 2), (3, 4)],
            [(0, 3), (2, 4)],
            [(0, 5)],
        ]
        for ranges in invalid_chains:
            chain = [pb.Stage(first_layer=a, end_layer=b) for a, b in ranges]
            with self.subTest(ranges=ranges), self.assertRaises(ChainGap):
                check_tiling(chain, 4)
        check_tiling([pb.Stage(first_layer=0, end_layer=4)], 4)


class LoadCostTests(unittest.TestCase):
    def test_cost_grows_with_load_and_falls_with_decode_rate(self) -> None:
        for cost in (compute_load_cost, compute_batch_fill_cost):
            costs = [cost(running, 8, 100.0) for running in range(0, 40)]
            self.assertEqual(costs, sorted(costs))
            self.assertLess(cost(4, 8, 200.0), cost(4, 8, 100.0))

    def test_costs_are_similar_if_streams_are_proportional_to_rates(self) -> None:
        slow = compute_load_cost(20, 8, 10.0)
        fast = compute_load_cost(2_000, 64, 1_000.0)
        self.assertAlmostEqual(slow, fast, delta=0.2 * slow)

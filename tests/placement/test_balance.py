"""Tests of the ranges of servers in a zone that holds several copies of the weights."""

from __future__ import annotations

import unittest

from tests.placement.test_pipelines import SMALL_FLEET_MODEL, make_small_server
from yuccareach.placement.assignments import LayerRange, Server
from yuccareach.placement.balance import assign_free_servers, find_move
from yuccareach.placement.repairs import close_gaps

MODEL = SMALL_FLEET_MODEL


def make_copies(count: int) -> list[Server]:
    """Return servers that hold the weights this many times, ten layers each."""
    return [
        make_small_server(f"s-{copy}-{first}", "z1", "small")._replace(
            layers=LayerRange(first, first + 10)
        )
        for copy in range(count)
        for first in range(0, MODEL.layers, 10)
    ]


def without(servers: list[Server], *names: str) -> list[Server]:
    return [server for server in servers if server.name not in names]


class FreeServerTests(unittest.TestCase):
    def test_each_server_gets_the_range_that_fits_it(self) -> None:
        # The slowest server came first and took a part of the longest range; the one
        # that fitted that range got the rest.
        holders = without(make_copies(2), "s-0-20", "s-1-70")
        holders.append(
            make_small_server("t", "z1", "tiny")._replace(layers=LayerRange(70, 74))
        )
        free = [
            make_small_server("tiny", "z1", "tiny"),
            make_small_server("small", "z1", "small"),
        ]
        for servers in (free, free[::-1]):
            layers_by_name = {
                server.name: layers
                for server, layers in assign_free_servers(servers, holders, MODEL)
            }
            self.assertEqual(
                layers_by_name,
                {"small": LayerRange(20, 30), "tiny": LayerRange(74, 80)},
            )

    def test_adjacent_gaps_are_divided_without_a_rest(self) -> None:
        holders = without(make_copies(2), "s-0-20", "s-1-20", "s-0-30")
        free = [make_small_server(f"n{number}", "z1", "small") for number in range(3)]
        assigned = assign_free_servers(free, holders, MODEL)
        self.assertEqual(
            sorted(layers for _, layers in assigned),
            [LayerRange(20, 30), LayerRange(20, 30), LayerRange(30, 40)],
        )

    def test_new_server_waits_while_nothing_is_short(self) -> None:
        # It may replace a server that has not begun to drain. With another replica
        # loaded there it could not take the range of that server.
        holders = make_copies(2)
        new_server = make_small_server("new", "z1", "small")._replace(is_new=True)
        self.assertEqual(assign_free_servers([new_server], holders, MODEL), [])
        short = without(holders, "s-1-40")
        ((_, layers),) = assign_free_servers([new_server], short, MODEL)
        self.assertEqual(layers, LayerRange(40, 50))
        known_server = new_server._replace(is_new=False)
        self.assertEqual(len(assign_free_servers([known_server], holders, MODEL)), 1)


class MoveTests(unittest.TestCase):
    def test_gap_is_closed_by_a_server_whose_layers_keep_a_holder(self) -> None:
        holders = without(make_copies(2), "s-0-20", "s-1-20")
        ((server, layers),) = find_move(holders, MODEL)
        self.assertNotEqual(server.layers, LayerRange(20, 30))
        self.assertLessEqual(layers.first, 20)
        self.assertGreaterEqual(layers.end, 30)

    def test_second_holder_is_not_taken_from_layers_with_two(self) -> None:
        # The move would only exchange which layers have a single holder.
        self.assertEqual(find_move(without(make_copies(2), "s-0-20"), MODEL), [])

    def test_second_holder_is_taken_from_layers_with_three(self) -> None:
        holders = without(make_copies(2), "s-0-20")
        third = make_small_server("third", "z1", "small")._replace(
            layers=LayerRange(60, 70)
        )
        ((server, layers),) = find_move([*holders, third], MODEL)
        self.assertEqual(server.layers, LayerRange(60, 70))
        self.assertEqual(layers, LayerRange(20, 30))

    def test_server_beside_holders_that_are_still_loading_is_not_moved(self) -> None:
        # A range that was being loaded counted as held. Its only loaded server was
        # moved to a gap, and the zone lacked the layers until the load was done.
        holders = [
            server._replace(is_loading=server.name.startswith("s-1"))
            for server in without(make_copies(2), "s-0-20", "s-1-20")
        ]
        self.assertEqual(find_move(holders, MODEL), [])

    def test_server_without_memory_for_a_layer_does_not_prevent_moves(self) -> None:
        # Such a server stays free, and the zone kept its gap or its single holders. It
        # was also ordered to load a layer for which it has no memory.
        third = make_small_server("third", "z1", "small")._replace(
            layers=LayerRange(60, 70)
        )
        tiny = make_small_server("tiny", "z1", "tiny")._replace(memory_mb=1_500.0)
        for holders in (
            without(make_copies(2), "s-0-20", "s-1-20"),
            [*without(make_copies(2), "s-0-20"), third],
        ):
            move = find_move(holders, MODEL)
            self.assertEqual(len(move), 1)
            self.assertEqual(
                close_gaps([*holders, tiny], MODEL, repartition=False), move
            )

    def test_zone_with_equal_copies_has_no_move(self) -> None:
        self.assertEqual(find_move(make_copies(2), MODEL), [])

"""Replacements, losses and additions of servers, replayed against the planner."""

from __future__ import annotations

import unittest
from random import Random

from tests.placement.replay import (
    CONTACT_S,
    STEPS_PER_S,
    Arrival,
    Drain,
    Event,
    Loss,
    Replay,
)
from tests.placement.test_pipelines import (
    SMALL_FLEET,
    SMALL_FLEET_MODEL,
    make_small_fleet,
)
from tests.placement.test_planner import apply_assignments
from yuccareach.placement.assignments import (
    NO_LAYERS,
    Server,
    count_servers_by_layer,
)
from yuccareach.placement.planner import plan_assignments

SEEDS = range(6)
FIRST_EVENT_S = 2.0
# Planned replacement: servers replaced, how many at a time, and how often.
REPLACED_SERVERS = 10
REPLACED_TOGETHER = 3
REPLACEMENT_INTERVAL_S = 0.93
# How much later than the announcement of its replacement a server begins to drain.
DRAIN_DELAYS_S = (0.0, 0.5)
LATE_DRAIN_DELAY_S = 2.0
# Time to load the longest range of the fleet, of 33 layers, and a step of the planner.
LONGEST_LOAD_S = 14 * 33 / 80 + 0.25


def make_loaded_fleet() -> list[Server]:
    servers = make_small_fleet()
    return apply_assignments(servers, plan_assignments(servers, SMALL_FLEET_MODEL))


def make_empty_copy(server: Server, name: str) -> Server:
    return server._replace(name=name, incarnation=f"{name}@2", layers=NO_LAYERS)


def is_complete_without(servers: list[Server], removed: list[Server]) -> bool:
    remaining = [server for server in servers if server not in removed]
    return all(
        min(
            count_servers_by_layer(
                [server for server in remaining if server.zone == zone],
                SMALL_FLEET_MODEL,
            )
        )
        for zone in SMALL_FLEET
    )


def choose_replaced(servers: list[Server], random: Random) -> list[Server]:
    """Choose servers whose layers all have another holder that is not chosen."""
    chosen: list[Server] = []
    for server in random.sample(servers, len(servers)):
        if len(chosen) < REPLACED_SERVERS and is_complete_without(
            servers, [*chosen, server]
        ):
            chosen.append(server)
    return chosen


def make_replacement(chosen: list[Server], drain_delay_s: float) -> list[Event]:
    events: list[Event] = []
    for number, server in enumerate(chosen):
        wave = number // REPLACED_TOGETHER
        second = FIRST_EVENT_S + wave * REPLACEMENT_INTERVAL_S
        new_server = make_empty_copy(server, f"{server.name}-new")
        events += [
            Arrival(second, new_server),
            Drain(second + drain_delay_s, server.name),
        ]
    return events


def choose_chain(servers: list[Server], random: Random) -> list[Server]:
    """Choose servers of one zone that together run each layer once."""
    zone = random.choice(sorted(SMALL_FLEET))
    chain: list[Server] = []
    layer = 0
    while layer < SMALL_FLEET_MODEL.layers:
        chain.append(
            random.choice(
                [
                    server
                    for server in servers
                    if server.zone == zone
                    and server.layers.first <= layer < server.layers.end
                ]
            )
        )
        layer = chain[-1].layers.end
    return chain


class ReplayTestCase(unittest.TestCase):
    def play(
        self, servers: list[Server], events: list[Event], seconds: float = 20.0
    ) -> Replay:
        replay = Replay(servers, SMALL_FLEET_MODEL, events)
        replay.run(seconds)
        self.assertEqual(replay.emptied_layers, [])
        for server in replay.server_by_name.values():
            self.assertLessEqual(
                server.layers.size * SMALL_FLEET_MODEL.layer_mb, server.memory_mb
            )
        return replay


class PlannedReplacementTests(ReplayTestCase):
    def test_each_new_server_loads_once_and_zones_stay_complete(self) -> None:
        # A new server was given layers that nothing was short of, a part of the range
        # that was, or too few layers as a first stage. Others were then moved, and the
        # capacity was lower for good.
        for seed in SEEDS:
            for drain_delay_s in DRAIN_DELAYS_S:
                with self.subTest(seed=seed, drain_delay_s=drain_delay_s):
                    servers = make_loaded_fleet()
                    chosen = choose_replaced(servers, Random(seed))
                    self.assertEqual(len(chosen), REPLACED_SERVERS)
                    replay = self.play(servers, make_replacement(chosen, drain_delay_s))
                    totals = replay.list_totals()
                    self.assertGreater(min(s.min_holders for s in replay.samples), 0)
                    self.assertEqual(len(replay.loads), REPLACED_SERVERS)
                    self.assertGreaterEqual(min(totals), 0.5 * totals[0])
                    self.assertGreaterEqual(totals[-1], 0.85 * totals[0])
                    self.assertLess(replay.compute_lost_seconds(), 3.0)

    def test_layers_that_lose_all_holders_at_once_are_loaded_first(self) -> None:
        # Servers chosen at random include all holders of some layers.
        for seed in SEEDS:
            for drain_delay_s in DRAIN_DELAYS_S:
                with self.subTest(seed=seed, drain_delay_s=drain_delay_s):
                    servers = make_loaded_fleet()
                    chosen = Random(seed).sample(servers, REPLACED_SERVERS)
                    replay = self.play(servers, make_replacement(chosen, drain_delay_s))
                    totals = replay.list_totals()
                    incomplete = sum(not s.min_holders for s in replay.samples)
                    # Ten layers load in 1.75 s.
                    self.assertLessEqual(incomplete / STEPS_PER_S, 2.0)
                    self.assertEqual(len(replay.loads), REPLACED_SERVERS)
                    self.assertGreaterEqual(totals[-1], 0.85 * totals[0])
                    self.assertLess(replay.compute_lost_seconds(), 3.0)

    def test_late_drains_find_the_new_servers_without_layers(self) -> None:
        # A server that had waited for 1.6 s loaded a replica, and the range that was
        # short two seconds after its announcement was left to moves.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                servers = make_loaded_fleet()
                chosen = Random(seed).sample(servers, REPLACED_SERVERS)
                replay = self.play(
                    servers, make_replacement(chosen, LATE_DRAIN_DELAY_S)
                )
                totals = replay.list_totals()
                self.assertLessEqual(len(replay.loads), REPLACED_SERVERS + 2)
                self.assertGreaterEqual(totals[-1], 0.8 * totals[0])
                self.assertLess(replay.compute_lost_seconds(), 4.0)

    def test_servers_that_restart_empty_get_what_is_short(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                servers = make_loaded_fleet()
                restarted = choose_replaced(servers, Random(seed))
                replay = self.play(
                    servers,
                    [
                        Arrival(FIRST_EVENT_S, make_empty_copy(server, server.name))
                        for server in restarted
                    ],
                )
                totals = replay.list_totals()
                self.assertGreater(min(s.min_holders for s in replay.samples), 0)
                # The store serves nine loads at a time, so that the tenth server is
                # planned anew; one more move may follow.
                self.assertLessEqual(len(replay.loads), REPLACED_SERVERS + 1)
                self.assertGreaterEqual(totals[-1], 0.85 * totals[0])


class LossTests(ReplayTestCase):
    def test_zone_is_complete_again_one_load_after_the_loss_is_known(self) -> None:
        for seed in range(2 * len(SEEDS)):
            with self.subTest(seed=seed):
                servers = make_loaded_fleet()
                random = Random(seed)
                lost = random.sample(choose_chain(servers, random), 2)
                replay = self.play(
                    servers, [Loss(FIRST_EVENT_S, server.name) for server in lost]
                )
                complete_s = FIRST_EVENT_S + CONTACT_S + LONGEST_LOAD_S
                self.assertEqual(
                    [
                        sample
                        for sample in replay.samples
                        if not sample.min_holders and sample.second > complete_s
                    ],
                    [],
                )
                totals = replay.list_totals()
                self.assertGreaterEqual(totals[-1], 0.8 * totals[0])
                self.assertLessEqual(len(replay.loads), 4)

    def test_new_servers_after_a_loss_restore_the_capacity(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                servers = make_loaded_fleet()
                random = Random(seed)
                lost = random.sample(choose_chain(servers, random), 2)
                events: list[Event] = [
                    Loss(FIRST_EVENT_S, server.name) for server in lost
                ]
                events += [
                    Arrival(10.0, make_empty_copy(server, f"{server.name}-new"))
                    for server in lost
                ]
                replay = self.play(servers, events)
                totals = replay.list_totals()
                self.assertGreaterEqual(totals[-1], 0.9 * totals[0])


class AddedServerTests(ReplayTestCase):
    def test_added_servers_load_once_and_nothing_else_is_moved(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                servers = make_loaded_fleet()
                events = [
                    Arrival(
                        FIRST_EVENT_S + number,
                        make_empty_copy(server, f"{server.name}-added"),
                    )
                    for number, server in enumerate(Random(seed).sample(servers, 8))
                ]
                replay = self.play(servers, [*events])
                totals = replay.list_totals()
                self.assertEqual(len(replay.loads), len(events))
                self.assertEqual(min(totals), totals[0])
                self.assertGreaterEqual(min(s.min_holders for s in replay.samples), 2)

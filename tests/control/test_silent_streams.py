"""Streams between control instances that fall silent, with disks lost meanwhile.

They guard against a cluster that is without a leader, or without a voter that lost its
disk, for as long as a silent stream lasts (docs/incidents/15-silent-connections.md).
"""

from __future__ import annotations

import itertools
import os
import unittest
from random import Random

from tests.control.cluster import (
    MAX_SILENCE_MS,
    ROUND_MS,
    Cluster,
    change_everywhere,
    run_silent,
)
from yuccareach.control.raft_types import Role

# What gRPC takes to give up a silent stream without a time-out for its pings.
SILENCE_WITHOUT_TIMEOUT_MS = 60_000
# Callers are promised that changes are acknowledged again a second after the bound on
# contact, 3 s.
MAX_INTERRUPTION_MS = 4_000


class SeededSilenceTests(unittest.TestCase):
    def test_silent_links_and_lost_disks_are_overcome_in_bounded_time(self) -> None:
        first = int(os.environ.get("FUZZ_SEED", "1"))
        count = int(os.environ.get("FUZZ_RUNS", "200"))
        for seed in range(first, first + count):
            with self.subTest(seed=seed):
                run_silent(seed)

    def test_streams_silent_for_a_minute_exceed_the_bound(self) -> None:
        # Without this, the test above might pass whatever a silent stream does.
        for seed in range(5):
            with self.subTest(seed=seed), self.assertRaises(AssertionError) as caught:
                run_silent(seed, SILENCE_WITHOUT_TIMEOUT_MS)
            self.assertIn("no progress", str(caught.exception))


class InterruptionTests(unittest.TestCase):
    def measure_interruption_ms(self, seed: int) -> int:
        """Silence all streams; return the time until a change is accepted again."""
        cluster = Cluster()
        for _ in range(Random(seed).randrange(60)):
            cluster.advance()
        for sender, receiver in itertools.permutations(cluster.nodes, 2):
            cluster.silence_stream(sender, receiver, MAX_SILENCE_MS)
        known = len(cluster.accepted_change_by_revision)
        max_rounds = SILENCE_WITHOUT_TIMEOUT_MS // ROUND_MS
        for number in range(1, max_rounds + 1):
            change_everywhere(cluster, f"c{number}")
            cluster.advance()
            if len(cluster.accepted_change_by_revision) > known:
                return number * ROUND_MS
        raise AssertionError(f"no change accepted within {max_rounds} rounds")

    def test_change_is_accepted_within_the_promised_time_of_silence(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.assertLessEqual(
                    self.measure_interruption_ms(seed), MAX_INTERRUPTION_MS
                )


class ReadmissionTests(unittest.TestCase):
    def test_emptied_instance_that_the_leader_cannot_reach_is_admitted(self) -> None:
        # The streams of the other two to the emptied instance are still silent when it
        # asks to join.
        for silent_ms in range(0, MAX_SILENCE_MS + 1, 350):
            with self.subTest(silent_ms=silent_ms):
                cluster = Cluster()
                leader, emptied, _ = sorted(
                    cluster.nodes,
                    key=lambda name: cluster.nodes[name].state.role is not Role.LEADER,
                )
                cluster.lose_disk(emptied)
                if silent_ms:
                    cluster.silence_stream(leader, emptied, silent_ms)
                for rounds in itertools.count(1):
                    cluster.advance()
                    if cluster.has_converged(0):
                        break
                    self.assertLess(rounds * ROUND_MS, silent_ms + 1_000)

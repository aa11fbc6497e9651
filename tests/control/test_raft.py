"""Replication under loss, delay, duplication, partitions, crashes and lost disks."""

from __future__ import annotations

import os
import unittest

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.control.cluster import TEAMS, Cluster, run_random
from yuccareach.control.raft_types import Role

NODES = st.sampled_from(["a", "b", "c"])
POSITIONS = st.integers(0, 50)


class SeededHistoryTests(unittest.TestCase):
    def test_random_histories(self) -> None:
        first = int(os.environ.get("FUZZ_SEED", "1"))
        count = int(os.environ.get("FUZZ_RUNS", "12"))
        steps = int(os.environ.get("FUZZ_STEPS", "3000"))
        for seed in range(first, first + count):
            with self.subTest(seed=seed, steps=steps):
                run_random(seed, steps)

    def test_late_snapshot_keeps_acknowledged_records(self) -> None:
        # Found by this fuzzing: a late snapshot cut records already acknowledged.
        run_random(473, 6000)


class ClusterTests(unittest.TestCase):
    def test_second_loss_right_after_a_repair_loses_nothing(self) -> None:
        cluster = Cluster()
        for number in range(5):
            cluster.change("a", TEAMS[0], f"c{number}", number)
            cluster.settle()
        for name in ("b", "c", "a"):
            cluster.replace(name)
            cluster.settle()
            cluster.check_rest()
        self.assertGreaterEqual(len(cluster.accepted), 1)

    def test_cut_off_leader_steps_down_and_confirms_no_read(self) -> None:
        cluster = Cluster()
        leader = next(
            name
            for name, node in cluster.nodes.items()
            if node.state.role is Role.LEADER
        )
        for other in set(cluster.nodes) - {leader}:
            cluster.partition(leader, other)
        cluster.read(leader)
        for _ in range(40):
            for name in cluster.nodes:
                cluster.tick(name, 50)
            while cluster.messages:
                cluster.deliver(0)
        self.assertIsNot(cluster.nodes[leader].state.role, Role.LEADER)
        leaders = [
            node for node in cluster.nodes.values() if node.state.role is Role.LEADER
        ]
        self.assertEqual(len(leaders), 1)
        cluster.settle()
        cluster.check_rest()

    def test_emptied_disk_never_votes_under_its_old_identity(self) -> None:
        cluster = Cluster()
        old = cluster.nodes["b"].identity
        cluster.replace("b")
        cluster.settle()
        self.assertNotEqual(cluster.nodes["b"].identity, old)
        members = cluster.nodes["a"].state.membership.peers
        self.assertNotIn(old, {peer.identity for peer in members})


class ReplicationMachine(RuleBasedStateMachine):
    """Lets hypothesis choose the history, and shrink one that fails."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster()

    @rule(position=POSITIONS, keep=st.booleans())
    def deliver(self, position: int, keep: bool) -> None:
        self.cluster.deliver(position, keep=keep)

    @rule()
    def deliver_all(self) -> None:
        for _ in range(100):
            self.cluster.deliver(0)

    @rule(position=POSITIONS)
    def drop(self, position: int) -> None:
        self.cluster.drop(position)

    @rule(name=NODES, elapsed_ms=st.sampled_from([50, 150, 800, 1500]))
    def tick(self, name: str, elapsed_ms: int) -> None:
        self.cluster.tick(name, elapsed_ms)

    @rule(name=NODES, team=st.sampled_from(TEAMS), number=st.integers(0, 3))
    def change(self, name: str, team: str, number: int) -> None:
        teams = self.cluster.nodes[name].state.machine.team_by_name
        base = teams[team].revision if team in teams else 0
        self.cluster.change(name, team, f"c{number}", base)

    @rule(name=NODES, key=st.sampled_from(["k1", "k2"]))
    def acquire(self, name: str, key: str) -> None:
        self.cluster.acquire(name, key, name)

    @rule(name=NODES)
    def read(self, name: str) -> None:
        self.cluster.read(name)

    @rule(name=NODES)
    def crash(self, name: str) -> None:
        self.cluster.crash(self.cluster.nodes[name])

    @rule(name=NODES)
    def restart(self, name: str) -> None:
        self.cluster.restart(self.cluster.nodes[name])

    @rule(first=NODES, second=NODES)
    def partition(self, first: str, second: str) -> None:
        self.cluster.partition(first, second)

    @rule()
    def heal(self) -> None:
        self.cluster.heal()

    @invariant()
    def one_leader_for_each_term(self) -> None:
        leaders = [
            (node.state.term, node.identity)
            for node in self.cluster.nodes.values()
            if node.up and node.state.role is Role.LEADER
        ]
        assert len({term for term, _ in leaders}) == len(leaders)

    def teardown(self) -> None:
        self.cluster.settle(2_000)
        self.cluster.check_rest()


ReplicationTests = ReplicationMachine.TestCase
ReplicationTests.settings = settings(
    max_examples=30,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)

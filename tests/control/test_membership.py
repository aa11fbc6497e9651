"""Tests of which control instances the leader promotes to voter or removes."""

from __future__ import annotations

import unittest
from random import Random

from yuccareach.control.membership import CONTACT_TIMEOUT_MS, reconcile_voters
from yuccareach.control.raft_types import Progress, RaftState, Role, StoredState
from yuccareach.control.state_machine import StateMachine
from yuccareach.proto import control_pb2 as cpb

NOW = 10_000


def leader(*peers: cpb.Peer, target_voter_count: int = 3) -> RaftState:
    """Return the state of leader "a", to which every peer has just replied."""
    membership = cpb.Membership(peers=peers)
    snapshot = cpb.SnapshotFile(last_index=5, last_term=1, membership=membership)
    hard_state = cpb.HardState(identity="a", term=1)
    stored = StoredState(hard_state, snapshot, [])
    state = RaftState("a", stored, StateMachine(), Random(1), 100, target_voter_count)
    state.role = Role.LEADER
    for peer in peers:
        progress = state.progress_by_peer[peer.identity] = Progress(6, NOW)
        progress.match_index = 5
    return state


def peer(identity: str, *, voter: bool = True, **fields: object) -> cpb.Peer:
    return cpb.Peer(identity=identity, name=f"n{identity}", voter=voter, **fields)


def lose_contact(state: RaftState, identity: str) -> None:
    state.progress_by_peer[identity].last_contact_ms = NOW - CONTACT_TIMEOUT_MS - 1


def voters_after_reconciling(state: RaftState) -> set[str]:
    reconcile_voters(state, NOW)
    return {item.identity for item in state.membership.peers if item.voter}


class ReconcileVotersTests(unittest.TestCase):
    def test_non_voter_is_not_promoted_beyond_the_target_count(self) -> None:
        state = leader(peer("a"), peer("b"), peer("c"), peer("d", voter=False))
        self.assertEqual(voters_after_reconciling(state), {"a", "b", "c"})

    def test_non_voter_is_promoted_while_a_voter_is_missing(self) -> None:
        state = leader(peer("a"), peer("b"), peer("c", voter=False))
        self.assertEqual(voters_after_reconciling(state), {"a", "b", "c"})

    def test_unresponsive_voter_is_removed_if_a_non_voter_can_replace_it(self) -> None:
        state = leader(peer("a"), peer("b"), peer("c"), peer("d", voter=False))
        lose_contact(state, "b")
        self.assertEqual(voters_after_reconciling(state), {"a", "c"})

    def test_unresponsive_voter_stays_without_a_non_voter(self) -> None:
        state = leader(peer("a"), peer("b"), peer("c"))
        lose_contact(state, "b")
        self.assertEqual(voters_after_reconciling(state), {"a", "b", "c"})

    def test_unresponsive_non_voter_is_not_promoted(self) -> None:
        state = leader(peer("a"), peer("b"), peer("d", voter=False))
        lose_contact(state, "d")
        self.assertEqual(voters_after_reconciling(state), {"a", "b"})

    def test_surplus_voter_is_removed_only_when_unresponsive(self) -> None:
        state = leader(peer("a"), peer("b"), peer("c"), peer("d"))
        self.assertEqual(voters_after_reconciling(state), {"a", "b", "c", "d"})
        lose_contact(state, "d")
        self.assertEqual(voters_after_reconciling(state), {"a", "b", "c"})

    def test_volatile_instance_is_not_promoted(self) -> None:
        volatile = peer("c", voter=False, volatile=True)
        state = leader(peer("a"), peer("b"), volatile)
        self.assertEqual(voters_after_reconciling(state), {"a", "b"})

    def test_non_voter_replaces_the_voter_of_its_name(self) -> None:
        non_voter = cpb.Peer(identity="b2", name="nb")
        state = leader(peer("a"), peer("b"), peer("c"), non_voter)
        self.assertEqual(voters_after_reconciling(state), {"a", "c"})

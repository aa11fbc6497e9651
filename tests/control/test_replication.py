"""Tests of which messages a leader sends to confirm reads."""

from __future__ import annotations

import unittest
from typing import Any

from tests.control.test_membership import NOW, leader, peer
from yuccareach.control import raft
from yuccareach.control.peers import PeerStreams
from yuccareach.control.raft_types import (
    HEARTBEAT_INTERVAL_MS,
    BatchEnded,
    RaftMessageReceived,
    ReadConfirmed,
    ReadRequested,
    SendMessage,
)
from yuccareach.proto import control_pb2 as cpb


class ReadRoundTests(unittest.TestCase):
    def setUp(self) -> None:
        voters = [peer(name) for name in "abcde"]
        self.state = leader(*voters, peer("v", voter=False, volatile=True))
        self.state.heartbeat_due_ms = NOW + HEARTBEAT_INTERVAL_MS
        self.confirmed = False

    def run_batch(self, *events: Any, now: int = NOW) -> list[str]:
        """Reduce events as one batch; return the targets of the messages it sends."""
        effects = [
            effect
            for event in (*events, BatchEnded())
            for effect in raft.reduce(self.state, event, now)
        ]
        self.confirmed |= any(isinstance(item, ReadConfirmed) for item in effects)
        return sorted(
            item.message.target for item in effects if isinstance(item, SendMessage)
        )

    def reply(self, source: str) -> RaftMessageReceived:
        reply = cpb.AppendReply(
            term=1, success=True, match_index=5, round=self.state.read_round
        )
        return RaftMessageReceived(
            cpb.RaftMessage(source=source, target="a", append_reply=reply)
        )

    def test_each_reply_sent_the_round_again_to_those_that_had_not_replied(
        self,
    ) -> None:
        self.assertEqual(self.run_batch(ReadRequested(1)), ["b", "c", "d", "e"])
        self.assertEqual(self.run_batch(self.reply("b")), [])
        self.assertEqual(self.run_batch(self.reply("c")), [])
        self.assertTrue(self.confirmed)

    def test_heartbeat_makes_up_for_a_lost_message(self) -> None:
        self.run_batch(ReadRequested(1))
        later = NOW + HEARTBEAT_INTERVAL_MS
        self.assertEqual(self.run_batch(now=later), ["b", "c", "d", "e", "v"])

    def test_next_round_is_sent_to_a_voter_that_has_not_replied(self) -> None:
        self.run_batch(ReadRequested(1))
        self.assertEqual(self.run_batch(ReadRequested(2)), ["b", "c", "d", "e"])


class BroadcastTests(unittest.TestCase):
    def test_members_are_relayed_only_to_instances_that_may_lead(self) -> None:
        peers = [
            peer("a", address="a:1"),
            peer("b", address="b:1"),
            peer("c", voter=False, address="c:1"),
            peer("v", voter=False, volatile=True, address="v:1"),
        ]
        state = leader(*peers)
        streams = PeerStreams(state, "a:1")
        addresses: list[str] = []

        class _Outbox:
            def put(self, frame: cpb.RaftFrame) -> None:
                pass

        def _record(address: str) -> Any:
            addresses.append(address)
            return _Outbox()

        streams._outbox = _record  # type: ignore[method-assign]
        streams.broadcast(heard_all=True)
        self.assertEqual(addresses, ["b:1", "c:1"])

"""Queueing and limits at an entry."""

from __future__ import annotations

import unittest
from collections import Counter

from yuccareach.entry import admission, queueing
from yuccareach.entry.fleet import update_members
from yuccareach.entry.state import EntryOptions, EntryState, Request
from yuccareach.proto import control_pb2 as cpb
from yuccareach.settings.store import Limits, RequestClass, Workspace

PIPELINE = "p"


def workspace(name: str, weight: float = 1.0, **limits: float) -> Workspace:
    return Workspace(name, "t", (), weight=weight, limits=Limits(**limits))


class EntryTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.state = EntryState(EntryOptions("e", "z"))
        member = cpb.Member(
            backend_server="b", incarnation="i", pipeline=PIPELINE, max_batch=8
        )
        update_members(
            self.state, cpb.WatchUpdate(members=[member], members_snapshot=True)
        )
        self.number = 0

    def ask(self, owner: Workspace, priority: int = 10) -> Request:
        """Queue one request."""
        self.number += 1
        request = Request(
            f"r{self.number}",
            owner,
            RequestClass("c", priority=priority),
            "",
            10,
            10,
            0,
        )
        request.pipeline = PIPELINE
        self.state.request_by_id[request.identifier] = request
        self.refusal = queueing.admit(self.state, request)
        return request

    def finish_one(self, now: int) -> None:
        """End the request that has run longest."""
        queue = queueing.queue_of(self.state, PIPELINE)
        first = min(queue.running, key=lambda name: int(name[1:]))
        queueing.release(self.state, self.state.request_by_id[first], now)


class QueueTests(EntryTestCase):
    def serve(self, count: int) -> list[Request]:
        """Serve so many requests, one place at a time, in the order chosen."""
        served = list(queueing.take_ready(self.state, PIPELINE))
        while len(served) < count:
            self.finish_one(0)
            served += queueing.take_ready(self.state, PIPELINE)
        return [self.state.request_by_id[name] for name in served[:count]]

    def test_runs_no_more_than_its_share_of_the_batches(self) -> None:
        for _ in range(40):
            self.ask(workspace("a"))
        ready = queueing.take_ready(self.state, PIPELINE)
        self.assertEqual(len(ready), int(8 * queueing.OVERSUBSCRIPTION))
        self.assertEqual(queueing.take_ready(self.state, PIPELINE), [])

    def test_workspaces_share_by_weight_whoever_asks_first(self) -> None:
        light, heavy = workspace("light", 1.0), workspace("heavy", 3.0)
        for _ in range(200):
            self.ask(light)
        for _ in range(200):
            self.ask(heavy)
        served = Counter(item.workspace.name for item in self.serve(100))
        self.assertAlmostEqual(served["heavy"] / served["light"], 3.0, delta=0.3)

    def test_higher_priority_comes_first_and_low_is_not_starved(self) -> None:
        low, high = workspace("low"), workspace("high")
        for _ in range(300):
            self.ask(low, priority=0)
            self.ask(high, priority=1)
        served = [item.workspace.name for item in self.serve(500)]
        self.assertEqual(set(served[:80]), {"high"})
        self.assertIn("low", served)

    def test_wait_that_is_too_long_is_refused_at_once(self) -> None:
        self.ask(workspace("a"))
        queueing.take_ready(self.state, PIPELINE)
        self.finish_one(now=10_000)
        refusals = []
        for _ in range(40):
            self.ask(workspace("a"))
            refusals.append(self.refusal)
        self.assertIsNone(refusals[0])
        self.assertEqual(refusals[-1].reason, "overloaded")
        self.assertGreaterEqual(refusals[-1].retry_after_s, 1)


class LimitTests(EntryTestCase):
    def test_entries_share_a_limit(self) -> None:
        owner = workspace("a", requests_in_flight=8)
        self.state.entries = 4
        refusals = [admission.charge(self.state, owner, 5, 0) for _ in range(3)]
        self.assertEqual([item and item.reason for item in refusals[:2]], [None, None])
        self.assertEqual(refusals[2].reason, "limit_requests_in_flight")

    def test_every_charge_is_settled_exactly(self) -> None:
        owner = workspace("a", tokens_per_second=100.0)
        self.assertIsNone(admission.charge(self.state, owner, 150, 0))
        usage = self.state.usage_by_workspace["a"]
        self.assertEqual((usage.requests, usage.tokens, usage.allowance), (1, 150, 50))
        admission.settle(self.state, owner, 150, 20)
        self.assertEqual((usage.requests, usage.tokens, usage.allowance), (0, 0, 180))

    def test_rate_limit_tells_when_to_come_back(self) -> None:
        owner = workspace("a", tokens_per_second=10.0)
        self.assertIsNone(admission.charge(self.state, owner, 60, 0))
        refusal = admission.charge(self.state, owner, 1, 0)
        self.assertEqual((refusal.status, refusal.retry_after_s), (429, 5))
        self.assertIsNone(admission.charge(self.state, owner, 1, 4_100))

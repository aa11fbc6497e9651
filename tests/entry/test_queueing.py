"""Tests of an entry's queueing and workspace limits."""

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
        self.request_count = 0

    def enqueue(self, owner: Workspace, priority: int = 10) -> Request:
        """Create a request and enqueue it; a refusal is kept in last_refusal."""
        self.request_count += 1
        request = Request(
            f"r{self.request_count}",
            owner,
            RequestClass("c", priority=priority),
            "",
            10,
            10,
            0,
        )
        request.pipeline = PIPELINE
        self.state.request_by_id[request.identifier] = request
        self.last_refusal = queueing.enqueue(self.state, request)
        return request

    def remove_oldest_running(self, now: int) -> None:
        """Remove the running request that was created first."""
        queue = queueing.get_queue(self.state, PIPELINE)
        first = min(queue.running_ids, key=lambda name: int(name[1:]))
        queueing.remove(self.state, self.state.request_by_id[first], now)


class QueueTests(EntryTestCase):
    def serve_requests(self, count: int) -> list[Request]:
        """Return the first requests that are served, in the order of service.

        Each further request starts when one that is running has ended.
        """
        served = list(queueing.dequeue_ready(self.state, PIPELINE))
        while len(served) < count:
            self.remove_oldest_running(0)
            served += queueing.dequeue_ready(self.state, PIPELINE)
        return [self.state.request_by_id[name] for name in served[:count]]

    def test_running_requests_are_bounded_by_batch_sizes(self) -> None:
        for _ in range(40):
            self.enqueue(workspace("a"))
        ready = queueing.dequeue_ready(self.state, PIPELINE)
        self.assertEqual(len(ready), int(8 * queueing.OVERSUBSCRIPTION_FACTOR))
        self.assertEqual(queueing.dequeue_ready(self.state, PIPELINE), [])

    def test_workspaces_share_by_weight_whatever_arrives_first(self) -> None:
        light, heavy = workspace("light", 1.0), workspace("heavy", 3.0)
        for _ in range(200):
            self.enqueue(light)
        for _ in range(200):
            self.enqueue(heavy)
        served = Counter(item.workspace.name for item in self.serve_requests(100))
        self.assertAlmostEqual(served["heavy"] / served["light"], 3.0, delta=0.3)

    def test_high_priority_is_served_first_and_low_is_not_starved(self) -> None:
        low, high = workspace("low"), workspace("high")
        for _ in range(300):
            self.enqueue(low, priority=0)
            self.enqueue(high, priority=1)
        served = [item.workspace.name for item in self.serve_requests(500)]
        self.assertEqual(set(served[:80]), {"high"})
        self.assertIn("low", served)

    def test_request_with_too_long_expected_wait_is_refused(self) -> None:
        self.enqueue(workspace("a"))
        queueing.dequeue_ready(self.state, PIPELINE)
        self.remove_oldest_running(now=10_000)
        refusals = []
        for _ in range(40):
            self.enqueue(workspace("a"))
            refusals.append(self.last_refusal)
        self.assertIsNone(refusals[0])
        self.assertEqual(refusals[-1].reason, "overloaded")
        self.assertGreaterEqual(refusals[-1].retry_after_s, 1)


class LimitTests(EntryTestCase):
    def test_limit_is_divided_among_entries(self) -> None:
        owner = workspace("a", requests_in_flight=8)
        self.state.entry_count = 4
        refusals = [admission.charge(self.state, owner, 5, 0) for _ in range(3)]
        self.assertEqual([item and item.reason for item in refusals[:2]], [None, None])
        self.assertEqual(refusals[2].reason, "limit_requests_in_flight")

    def test_release_refunds_unused_tokens(self) -> None:
        owner = workspace("a", tokens_per_second=100.0)
        self.assertIsNone(admission.charge(self.state, owner, 150, 0))
        usage = self.state.usage_by_workspace["a"]
        self.assertEqual(
            (usage.requests_in_flight, usage.tokens_in_flight, usage.bucket_tokens),
            (1, 150, 50),
        )
        admission.release(self.state, owner, 150, 20)
        self.assertEqual(
            (usage.requests_in_flight, usage.tokens_in_flight, usage.bucket_tokens),
            (0, 0, 180),
        )

    def test_rate_limit_returns_when_to_retry(self) -> None:
        owner = workspace("a", tokens_per_second=10.0)
        self.assertIsNone(admission.charge(self.state, owner, 60, 0))
        refusal = admission.charge(self.state, owner, 1, 0)
        self.assertEqual((refusal.status, refusal.retry_after_s), (429, 5))
        self.assertIsNone(admission.charge(self.state, owner, 1, 4_100))

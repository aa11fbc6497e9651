"""Tests of the sums of what waits at entries, from their polls to their views."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from typing import Any
from unittest import mock

from yuccareach.control.views import ENTRY_REPORT_RETENTION_MS, EntryReports
from yuccareach.control.waiting import (
    MAX_REPORTED_TOKENS,
    WaitingKey,
    build_messages,
    read_messages,
)
from yuccareach.gateway.admission import AdmissionQueue, Ticket, WaitingRequest
from yuccareach.gateway.view import ViewPoller
from yuccareach.overload.headroom import MAX_SUMS_AGE_S
from yuccareach.overload.tickets import RESUMED_PRIORITY
from yuccareach.proto import control_pb2 as cpb

URGENT, ORDINARY = WaitingKey("s", 0), WaitingKey("s", 1)


def report(entry: str, tokens_by_key: dict[WaitingKey, int]) -> cpb.ViewRequest:
    waiting = build_messages(Counter(tokens_by_key))
    return cpb.ViewRequest(instance=entry, waiting=waiting)


class SumTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reports = EntryReports()

    def sum(self, entry: str, now_ms: int = 0) -> dict[WaitingKey, int]:
        return dict(self.reports.sum_waiting_of_others(entry, now_ms))

    def test_entry_gets_the_sums_of_all_others(self) -> None:
        self.reports.record(report("e1", {URGENT: 5}), 0)
        self.reports.record(report("e2", {URGENT: 7, ORDINARY: 1}), 0)
        self.reports.record(report("e3", {URGENT: 2}), 0)
        self.assertEqual(self.sum("e1"), {URGENT: 9, ORDINARY: 1})

    def test_entry_where_nothing_waits_any_more_is_not_counted(self) -> None:
        # Guards against capacity held back for requests that have started.
        self.reports.record(report("e1", {URGENT: 5}), 0)
        self.reports.record(report("e1", {}), 10)
        self.assertEqual(self.sum("e2"), {})

    def test_silent_entry_is_not_counted_even_before_others_report(self) -> None:
        self.reports.record(report("e1", {URGENT: 5}), 0)
        self.assertEqual(self.sum("e2", ENTRY_REPORT_RETENTION_MS - 1), {URGENT: 5})
        self.assertEqual(self.sum("e2", ENTRY_REPORT_RETENTION_MS), {})
        self.reports.record(report("e2", {}), ENTRY_REPORT_RETENTION_MS)
        self.assertEqual(self.reports.waiting_by_entry, {})

    def test_new_leader_starts_without_sums(self) -> None:
        self.assertEqual(self.sum("e1"), {})


class MessageTests(unittest.TestCase):
    def test_nothing_is_sent_while_nothing_waits(self) -> None:
        # Guards against bytes in each of the polls that 38 entries send twice a second.
        plain = cpb.ViewRequest(instance="e1")
        self.assertEqual(report("e1", {URGENT: 0}).ByteSize(), plain.ByteSize())

    def test_message_of_a_priority_is_small(self) -> None:
        tokens_by_key = {WaitingKey("service", item): 1_000_000 for item in range(3)}
        added = report("e1", tokens_by_key).ByteSize() - report("e1", {}).ByteSize()
        self.assertLessEqual(added, 3 * 20)

    def test_messages_are_read_as_they_were_built(self) -> None:
        counts = Counter({URGENT: 5, ORDINARY: MAX_REPORTED_TOKENS + 1})
        read = read_messages(build_messages(counts))
        self.assertEqual(read, {URGENT: 5, ORDINARY: MAX_REPORTED_TOKENS})


class GatewayTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.queue: AdmissionQueue[Any] = AdmissionQueue()
        self.gateway: Any = mock.Mock(queue_by_service={"s": self.queue})
        self.gateway.now = lambda: self.now_s
        self.gateway.get_queue = lambda name: self.queue
        self.now_s = 100.0
        self.poller = ViewPoller(self.gateway, ["a"], mock.Mock())

    def apply_waiting(self, tokens_by_key: dict[WaitingKey, int]) -> None:
        waiting = build_messages(Counter(tokens_by_key))
        self.poller._apply_waiting(cpb.View(waiting=waiting))

    async def test_sums_are_used_until_the_next_view_and_for_two_seconds(self) -> None:
        demand = self.queue.demand
        self.apply_waiting({URGENT: 5})
        self.assertEqual(demand.get_waiting_elsewhere(self.now_s), {0: 5})
        old_s = self.now_s + MAX_SUMS_AGE_S + 0.1
        self.assertEqual(demand.get_waiting_elsewhere(old_s), {})
        # A leader of an earlier version sends none.
        self.apply_waiting({})
        self.assertEqual(demand.get_waiting_elsewhere(self.now_s), {})

    async def test_waiting_streams_are_counted_by_priority(self) -> None:
        for number, (priority, is_held_back, is_done) in enumerate(
            (
                (RESUMED_PRIORITY, False, False),
                (1, False, False),
                (1, False, False),
                (1, True, False),
                (2, False, True),
            )
        ):
            ticket = Ticket(number, "w", priority, 100, 0.0, 0.5)
            granted: Any = mock.Mock()
            granted.done.return_value = is_done
            self.queue.add(
                WaitingRequest(
                    ticket, lambda: None, granted, lambda held=is_held_back: held
                )
            )
        # Without a record of other arrivals, the most urgent priority is taken.
        self.assertEqual(self.queue.count_waiting_tokens(), {0: 100, 1: 200})

    async def test_resumed_stream_adds_no_priority_to_a_service_with_one(self) -> None:
        # Guards against other gateways that leave capacity free, and let streams wait
        # longer, in a service whose only priority is not 0.
        self.queue.demand.record_arrival(101, 0.0)
        for number, priority in enumerate((RESUMED_PRIORITY, 101)):
            ticket = Ticket(number, "w", priority, 100, 0.0, 0.5)
            granted = asyncio.get_running_loop().create_future()
            self.queue.add(WaitingRequest(ticket, lambda: None, granted))
        self.assertEqual(self.queue.count_waiting_tokens(), {101: 200})
        self.queue.demand.record_arrival(0, 0.0)
        self.assertEqual(self.queue.count_waiting_tokens(), {0: 100, 101: 100})

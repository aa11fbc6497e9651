"""Tests of the reports that entries send and of batched read confirmation."""

from __future__ import annotations

import asyncio
import unittest

from yuccareach.control.errors import RequestRefusedError
from yuccareach.control.usage import ServerUsage
from yuccareach.control.views import (
    ENTRY_REPORT_RETENTION_MS,
    UNREACHABLE_RETENTION_MS,
    EntryReports,
    ReadBatcher,
)
from yuccareach.proto import control_pb2 as cpb


def report(
    entry: str, unreachable: tuple[str, ...] = (), **tokens: int
) -> cpb.ViewRequest:
    uses = [
        cpb.ServerUse(backend_server=server, tokens=count, first=1)
        for server, count in tokens.items()
    ]
    return cpb.ViewRequest(instance=entry, unreachable=unreachable, uses=uses)


class EntryReportsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reports = EntryReports()

    def test_usage_of_others_sums_all_other_entries(self) -> None:
        self.reports.record(report("e1", a=5), 0)
        self.reports.record(report("e2", a=7, b=1), 0)
        self.reports.record(report("e3", a=2), 0)
        self.assertEqual(
            self.reports.usage_of_others("e1"),
            {"a": ServerUsage(9, 2), "b": ServerUsage(1, 1)},
        )

    def test_usage_of_a_silent_entry_expires(self) -> None:
        self.reports.record(report("e1", a=5), 0)
        self.reports.record(report("e2"), ENTRY_REPORT_RETENTION_MS)
        self.assertEqual(self.reports.usage_of_others("e2"), {})

    def test_totals_decrease_when_an_entry_reports_less(self) -> None:
        self.reports.record(report("e1", a=5, b=2), 0)
        self.reports.record(report("e1", b=3), 10)
        self.assertEqual(self.reports.usage_of_others("e2"), {"b": ServerUsage(3, 1)})
        self.reports.record(report("e1"), 20)
        self.assertEqual(self.reports.total_usage_by_server, {})

    def test_one_of_several_entries_cannot_mark_a_server_unreachable(self) -> None:
        # In a large deployment, single slow entries reported working servers as
        # unreachable, and their layers were loaded on other servers repeatedly.
        self.reports.record(report("e1", ("a@1",)), 0)
        self.reports.record(report("e2"), 0)
        self.assertEqual(self.reports.find_unreachable(0), set())
        self.reports.record(report("e2", ("a@1",)), 10)
        self.assertEqual(self.reports.find_unreachable(10), {"a@1"})

    def test_only_entry_can_mark_a_server_unreachable(self) -> None:
        self.reports.record(report("e1", ("a@1",)), 0)
        known_ms = ENTRY_REPORT_RETENTION_MS
        self.reports.record(report("e1", ("a@1",)), known_ms - 1)
        self.assertEqual(self.reports.find_unreachable(known_ms), {"a@1"})

    def test_first_entry_that_polls_a_leader_cannot_mark_a_server_alone(self) -> None:
        # Guards against the reload of a working server's layers after an election: the
        # new leader took the first entry for the only one.
        self.reports.record(report("e1", ("a@1",)), 10)
        self.assertEqual(self.reports.find_unreachable(10), set())

    def test_entries_are_not_counted_before_all_had_time_to_report(self) -> None:
        # Guards against shares of the retry budget that exceed it together: a new
        # leader told the first entry that polled it that there were no others.
        for number in range(5):
            self.reports.record(report(f"e{number}"), 10)
            self.assertEqual(self.reports.count_entries(10), 0)
        later_ms = 10 + ENTRY_REPORT_RETENTION_MS
        for number in range(5):
            self.reports.record(report(f"e{number}"), later_ms - 1)
        self.assertEqual(self.reports.count_entries(later_ms), 5)

    def test_unreachable_reports_expire_unless_sent_again(self) -> None:
        for entry in ("e1", "e2"):
            self.reports.record(report(entry, ("a@1",)), 0)
        self.assertEqual(self.reports.find_unreachable(UNREACHABLE_RETENTION_MS), set())


class ReadBatcherTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.started_rounds = 0
        self.answers: asyncio.Queue[Exception | None] = asyncio.Queue()
        self.batcher = ReadBatcher(self.run_round)

    async def run_round(self) -> None:
        self.started_rounds += 1
        error = await self.answers.get()
        if error is not None:
            raise error

    def read(self) -> asyncio.Task[None]:
        return asyncio.create_task(self.batcher.confirm())

    async def test_reads_requested_during_a_round_share_the_next_one(self) -> None:
        # In a large deployment, a separate round for each of 27 entries several times a
        # second overloaded the leader, and every lease expired.
        first = self.read()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(self.started_rounds, 1)
        later = [self.read() for _ in range(20)]
        await asyncio.sleep(0.01)
        self.answers.put_nowait(None)
        await first
        await asyncio.sleep(0.01)
        self.assertEqual(self.started_rounds, 2)
        self.assertFalse(any(task.done() for task in later))
        self.answers.put_nowait(None)
        await asyncio.gather(*later)
        self.assertEqual(self.started_rounds, 2)

    async def test_failed_round_fails_only_the_reads_that_joined_it(self) -> None:
        first = self.read()
        await asyncio.sleep(0.01)
        second = self.read()
        self.answers.put_nowait(RequestRefusedError(""))
        with self.assertRaises(RequestRefusedError):
            await first
        self.answers.put_nowait(None)
        await second

    async def test_cancelled_read_does_not_cancel_the_others(self) -> None:
        first, second = self.read(), self.read()
        await asyncio.sleep(0.01)
        first.cancel()
        self.answers.put_nowait(None)
        await second

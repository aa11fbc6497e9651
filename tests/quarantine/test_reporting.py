"""Tests that changed counts reach control."""

from __future__ import annotations

import asyncio
import unittest

from yuccareach.control.errors import ControlUnavailable
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quarantine.admission import compute_refusal_ms
from yuccareach.quarantine.counts import (
    QUARANTINE_LOSS_THRESHOLD,
    QUARANTINE_MS,
    LossCount,
    compute_retention_ms,
)
from yuccareach.quarantine.reporting import LossReporter, build_log, merge_records
from yuccareach.quarantine.table import CountChange, QuarantineTable
from yuccareach.runtime.logs import Log


class MergeRecordsTests(unittest.TestCase):
    def test_count_is_kept_as_long_as_control_keeps_it(self) -> None:
        quarantine = QuarantineTable()
        count = LossCount(0, QUARANTINE_LOSS_THRESHOLD)
        expires_ms = 1_000 + compute_retention_ms(count)
        record = cpb.QuarantineRecord(
            fingerprint=b"a", expires_ms=expires_ms, losses=count.losses
        )
        merge_records(quarantine, [record], 61_000, 5_000)
        self.assertEqual(
            compute_refusal_ms(quarantine, b"a", 5_000), QUARANTINE_MS - 60_000
        )


def make_change(fingerprint: bytes, losses: int) -> CountChange:
    return CountChange(fingerprint, LossCount(0, losses), "r1", "w", "i")


class LogTests(unittest.TestCase):
    def test_loss_names_the_parts_of_the_prompt_on_the_lost_server(self) -> None:
        change = make_change(b"a", 1)._replace(parts=(b"\1" * 16, b"\2" * 16))
        line = build_log(change)
        self.assertEqual(line.event, "loss_noted")
        self.assertEqual(line.fields["parts"], "01010101,02020202")


class LossReporterTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.commands: list[cpb.Command] = []
        self.failures = 0
        self.lines: list[Log] = []
        self.reporter = LossReporter()
        task = asyncio.create_task(self.reporter.run(self.submit, self.lines.append))
        self.addCleanup(task.cancel)

    async def submit(self, command: cpb.Command) -> None:
        if self.failures:
            self.failures -= 1
            raise ControlUnavailable("no leader", False)
        self.commands.append(command)

    async def wait_until_reported(self) -> None:
        async with asyncio.timeout(5):
            while self.reporter.unreported_by_fingerprint:
                await asyncio.sleep(0.01)

    async def test_only_the_newest_count_of_a_fingerprint_is_sent(self) -> None:
        self.reporter.add([make_change(b"a", 1), make_change(b"b", 1)])
        self.reporter.add([make_change(b"a", 2)])
        await self.wait_until_reported()
        self.assertEqual(
            [
                (report.fingerprint, report.losses)
                for command in self.commands
                for report in command.losses.reports
            ],
            [(b"a", 2), (b"b", 1)],
        )

    async def test_report_is_sent_again_until_control_confirms_it(self) -> None:
        self.failures = 1
        self.reporter.add([make_change(b"a", 1)])
        await self.wait_until_reported()
        self.assertEqual(len(self.commands), 1)
        self.assertEqual([line.event for line in self.lines], ["losses_unreported"])

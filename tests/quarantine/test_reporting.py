"""Tests that changed counts reach control."""

from __future__ import annotations

import asyncio
import unittest

from yuccareach.control.errors import ControlUnavailable
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quarantine.reporting import LossReporter
from yuccareach.quarantine.table import CountChange, LossCount
from yuccareach.runtime.logs import Log


def make_change(fingerprint: bytes, losses: int) -> CountChange:
    return CountChange(fingerprint, LossCount(0, losses), "r1", "w", "i")


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

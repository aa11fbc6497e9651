"""Tests of ending background tasks."""

from __future__ import annotations

import asyncio
import unittest

from yuccareach.runtime.logs import Log
from yuccareach.runtime.tasks import cancel_tasks, keep_running

TIMEOUT_S = 5.0


class KeepRunningTests(unittest.IsolatedAsyncioTestCase):
    async def test_loop_goes_on_after_an_unexpected_error_which_is_logged(self) -> None:
        runs = 0
        goes_on = asyncio.Event()
        lines: list[Log] = []

        async def _loop() -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                raise KeyError("unknown")
            goes_on.set()
            await asyncio.sleep(60)

        task = asyncio.create_task(keep_running(_loop, lines.append))
        async with asyncio.timeout(TIMEOUT_S):
            await goes_on.wait()
        self.assertEqual([line.event for line in lines], ["task_crashed"])
        await cancel_tasks([task])
        self.assertTrue(task.cancelled())


class CancelTasksTests(unittest.IsolatedAsyncioTestCase):
    async def test_task_that_lost_its_cancellation_to_an_error_is_ended(self) -> None:
        # Guards against a process that never stopped: its engine's channel failed as it
        # was cancelled, and the client paused and connected again.
        has_failed = False

        async def _stay_connected() -> None:
            nonlocal has_failed
            while True:
                try:
                    await asyncio.sleep(60)
                except asyncio.CancelledError:
                    if has_failed:
                        raise
                    has_failed = True

        task = asyncio.create_task(_stay_connected())
        await asyncio.sleep(0)
        async with asyncio.timeout(TIMEOUT_S):
            await cancel_tasks([task])
        self.assertTrue(has_failed)
        self.assertTrue(task.cancelled())

    async def test_tasks_that_have_ended_are_not_waited_for(self) -> None:
        async def _fail() -> None:
            raise ValueError

        task = asyncio.create_task(_fail())
        await asyncio.gather(task, return_exceptions=True)
        await cancel_tasks([task])
        self.assertFalse(task.cancelled())

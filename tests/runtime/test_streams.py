"""Tests of the wake-up of request generators when streams are replaced."""

from __future__ import annotations

import asyncio
import unittest

from yuccareach.runtime.streams import NewestStreamSignal


class NewestStreamSignalTests(unittest.IsolatedAsyncioTestCase):
    async def test_generators_of_ended_streams_take_no_message(self) -> None:
        # Generators left over from 40 failed calls each took one message that was meant
        # for the peer's next stream. Found by measuring the time without a leader.
        signal = NewestStreamSignal()
        items: list[int] = []
        taken: list[tuple[int, int]] = []

        async def _stream() -> None:
            number = signal.start_stream()
            while await signal.wait(number):
                while items:
                    taken.append((number, items.pop(0)))

        tasks = []
        for _ in range(40):
            tasks.append(asyncio.create_task(_stream()))
            await asyncio.sleep(0)
        for item in range(5):
            items.append(item)
            signal.notify()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.assertEqual(taken, [(40, item) for item in range(5)])
        self.assertEqual(sum(not task.done() for task in tasks), 1)
        tasks[-1].cancel()

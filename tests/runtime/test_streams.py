"""Streams that end and begin again."""

from __future__ import annotations

import asyncio
import unittest

from yuccareach.runtime.streams import StreamTurn


class StreamTurnTests(unittest.IsolatedAsyncioTestCase):
    async def test_generators_of_ended_streams_take_nothing(self) -> None:
        # Found by measuring the time without a leader: generators left over from forty
        # failed calls each took one message meant for the peer that had come back.
        turn = StreamTurn()
        items: list[int] = []
        taken: list[tuple[int, int]] = []

        async def _stream() -> None:
            number = turn.begin()
            while await turn.wait(number):
                while items:
                    taken.append((number, items.pop(0)))

        tasks = []
        for _ in range(40):
            tasks.append(asyncio.create_task(_stream()))
            await asyncio.sleep(0)
        for item in range(5):
            items.append(item)
            turn.wake()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.assertEqual(taken, [(40, item) for item in range(5)])
        self.assertEqual(sum(not task.done() for task in tasks), 1)
        tasks[-1].cancel()

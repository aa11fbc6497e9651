"""The stand-in engine."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from yuccareach.proto import engine_pb2 as epb
from yuccareach.standin.engine import EngineOptions, StandinEngine


class CancelTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.engine = StandinEngine(EngineOptions("m", 4, 0, 4))
        self.results: asyncio.Queue[Any] = asyncio.Queue()

    def step(self, sequence: str) -> tuple[epb.Step, asyncio.Queue[Any]]:
        return epb.Step(sequence=sequence, prompt="x", count=1), self.results

    async def run_batch(self, *cancelled: str) -> None:
        """Run the queued steps, and cancel sequences while their batch runs."""

        async def _wait_for(batch: Any) -> None:
            for sequence in cancelled:
                self.engine._cancel(sequence)

        self.engine._wait_for = _wait_for  # type: ignore[method-assign]
        self.engine.work.set()
        task = asyncio.create_task(self.engine._run_batches())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_sequence_cancelled_while_its_batch_runs_leaves_nothing(self) -> None:
        # Found by a run of the whole CI beside load: the batch made the sequence anew,
        # and its memory was never freed.
        self.engine.queue.extend((self.step("kept"), self.step("left")))
        await self.run_batch("left")
        self.assertEqual(set(self.engine.sequence_by_id), {"kept"})
        (result,) = await self.results.get()
        self.assertEqual(result.sequence, "kept")

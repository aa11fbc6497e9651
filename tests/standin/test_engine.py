"""Tests of the stand-in engine."""

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

    def build_step(self, sequence: str) -> tuple[epb.Step, asyncio.Queue[Any]]:
        return epb.Step(sequence=sequence, prompt="x", count=1), self.results

    async def run_batch(self, *cancelled: str) -> None:
        """Run the queued steps, and cancel sequences while their batch runs."""

        async def _cancel_sequences(batch: Any) -> None:
            for sequence in cancelled:
                self.engine._cancel(sequence)

        self.engine._wait_batch_time = _cancel_sequences  # type: ignore[method-assign]
        self.engine.work_available.set()
        task = asyncio.create_task(self.engine._run_batches())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_sequence_cancelled_while_its_batch_runs_is_freed(self) -> None:
        # A batch that ran steps of a cancelled sequence stored the sequence again, and
        # its memory was never freed. A CI run under load showed it.
        self.engine.queue.extend(
            (self.build_step("kept"), self.build_step("cancelled"))
        )
        await self.run_batch("cancelled")
        self.assertEqual(set(self.engine.sequence_by_id), {"kept"})
        (result,) = await self.results.get()
        self.assertEqual(result.sequence, "kept")

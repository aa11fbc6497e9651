"""Serving while nobody reads the logs."""

from __future__ import annotations

import asyncio
import logging
import os

from tests.platform.deployment import DeploymentTestCase, events_of
from yuccareach.runtime.logs import BoundedHandler, LogWriter


class StalledLogTests(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        reader, writer = os.pipe()
        handler = BoundedHandler(LogWriter(writer))
        log = logging.getLogger("yuccareach")
        kept = log.handlers[:], log.propagate, log.level

        def _restore() -> None:
            log.handlers[:], log.propagate = kept[0], kept[1]
            log.setLevel(kept[2])
            os.close(reader)
            os.close(writer)

        self.addCleanup(_restore)
        log.handlers[:], log.propagate = [handler], False
        log.setLevel(logging.INFO)
        self.log_writer = handler.writer
        # More than a pipe holds.
        self.log_writer.put(b"x" * (1 << 17))
        await self.add_pipeline("z1")
        await self.known("z1-1", "z1-2", "z1-3")

    async def test_streams_are_served_while_nobody_reads_the_logs(self) -> None:
        answers = await asyncio.gather(
            *(self.ask("/draft/1", f"r{number}", events=20) for number in range(40))
        )
        for answer in answers:
            self.assertTrue(answer.whole)
            self.assertEqual(events_of(answer), list(range(1, 21)))
        self.assertGreater(self.log_writer.buffered_bytes, 0)

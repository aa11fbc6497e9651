"""Tests of serving while the pipe of the logs is full and nobody reads it."""

from __future__ import annotations

import asyncio
import logging
import os

from tests.platform.deployment import DeploymentTestCase, read_event_ids
from yuccareach.runtime.logs import BoundedHandler, LogWriter


class StalledLogTests(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        reader, writer = os.pipe()
        handler = BoundedHandler(LogWriter(writer))
        log = logging.getLogger("yuccareach")
        previous = log.handlers[:], log.propagate, log.level

        def _restore() -> None:
            log.handlers[:], log.propagate = previous[0], previous[1]
            log.setLevel(previous[2])
            os.close(reader)
            os.close(writer)

        self.addCleanup(_restore)
        log.handlers[:], log.propagate = [handler], False
        log.setLevel(logging.INFO)
        self.log_writer = handler.writer
        # More than the pipe's buffer can hold.
        self.log_writer.put(b"x" * (1 << 17))
        await self.add_pipeline("z1")
        await self.wait_until_known("z1-1", "z1-2", "z1-3")

    async def test_streams_are_served_while_nobody_reads_the_logs(self) -> None:
        answers = await asyncio.gather(
            *(
                self.send_request("/draft/1", f"r{number}", events=20)
                for number in range(40)
            )
        )
        for answer in answers:
            self.assertTrue(answer.is_complete)
            self.assertEqual(read_event_ids(answer), list(range(1, 21)))
        self.assertGreater(self.log_writer.buffered_bytes, 0)

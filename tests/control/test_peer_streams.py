"""Tests of when a stream to another control instance is opened again."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from yuccareach.control.peers import REOPEN_INTERVAL_MS, PeerStreams, _PeerOutbox
from yuccareach.proto import control_pb2 as cpb

ADDRESS = "b:1"


class ReopenedStreamTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.opened_count = 0
        self.streams = PeerStreams(mock.Mock(identity="a"), "a:1")
        self.streams._run_stream = self.run_stream  # type: ignore[method-assign]
        self.addAsyncCleanup(self.streams.close)
        self.now_ms = 1_000
        clock = mock.patch(
            "yuccareach.control.peers.monotonic_ms", side_effect=lambda: self.now_ms
        )
        clock.start()
        self.addCleanup(clock.stop)
        self.streams._outbox(ADDRESS)

    async def run_stream(self, address: str, outbox: _PeerOutbox) -> None:
        self.opened_count += 1
        await asyncio.Event().wait()

    async def hear(self, identity: str) -> None:
        """Hear from an identity, and let a new stream be opened."""
        frame = cpb.RaftFrame(source=identity, source_address=ADDRESS)
        self.streams.record_source_address(frame, self.now_ms)
        for _ in range(10):
            await asyncio.sleep(0)

    async def test_stream_is_opened_again_for_another_identity(self) -> None:
        for identity in ("b", "b", "c", "c"):
            await self.hear(identity)
        self.assertEqual(self.opened_count, 2)

    async def test_two_identities_at_one_address_reopen_once_in_an_interval(
        self,
    ) -> None:
        # Guards against a stream that is closed and opened for each frame when two
        # instances are configured with the same address.
        for number in range(20):
            await self.hear("bc"[number % 2])
        self.assertEqual(self.opened_count, 2)
        self.now_ms += REOPEN_INTERVAL_MS
        for number in range(20):
            await self.hear("bc"[number % 2])
        self.assertEqual(self.opened_count, 3)

    async def test_identity_that_came_too_soon_gets_its_stream_later(self) -> None:
        # An instance that lost its disk twice must not wait for pings only.
        for identity in ("b", "c", "d"):
            await self.hear(identity)
        self.assertEqual(self.opened_count, 2)
        self.now_ms += REOPEN_INTERVAL_MS
        await self.hear("d")
        self.assertEqual(self.opened_count, 3)

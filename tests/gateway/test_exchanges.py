"""The bound on all bodies that a process buffers at a time."""

from __future__ import annotations

import unittest

from yuccareach.gateway.dialect import ResponseMetadata
from yuccareach.gateway.exchanges import (
    Ending,
    Exchange,
    ResponseBuffers,
    ResponseHead,
)
from yuccareach.platform.headers import DIALECT

METADATA = ResponseMetadata(None, True, False, None, None, None, None)
PART = b"x" * 10


class ResponseBuffersTests(unittest.IsolatedAsyncioTestCase):
    def start(self, buffers: ResponseBuffers, is_stream: bool = False) -> Exchange:
        self.event_bytes = 0

        def _on_data(data: bytes) -> int:
            self.event_bytes += len(data)
            return self.event_bytes

        on_data = _on_data if is_stream else None
        exchange = Exchange(b"", DIALECT.read_response, on_data, buffers=buffers)
        exchange.set_head(ResponseHead(200, [], METADATA))
        return exchange

    async def test_largest_response_is_failed_once_all_exceed_the_limit(self) -> None:
        buffers = ResponseBuffers(max_bytes=50)
        large, small, third = (self.start(buffers) for _ in range(3))
        for exchange, parts in ((large, 3), (small, 1), (third, 2)):
            for _ in range(parts):
                exchange.receive_data(PART)
        self.assertIs(large.ended.result(), Ending.BUFFERS_FULL)
        self.assertEqual(large.body, b"")
        self.assertFalse(small.ended.done() or third.ended.done())
        self.assertEqual(buffers.total_bytes, 30)

    async def test_response_may_be_the_one_that_exceeds_the_limit(self) -> None:
        buffers = ResponseBuffers(max_bytes=50)
        small, large = self.start(buffers), self.start(buffers)
        small.receive_data(PART)
        for _ in range(5):
            large.receive_data(PART)
        self.assertIs(large.ended.result(), Ending.BUFFERS_FULL)
        self.assertEqual(buffers.total_bytes, len(PART))

    async def test_complete_response_counts_until_it_is_released(self) -> None:
        buffers = ResponseBuffers()
        exchange = self.start(buffers)
        exchange.receive_data(PART)
        exchange.set_ending(Ending.COMPLETE)
        self.assertEqual(buffers.total_bytes, len(PART))
        exchange.release_buffers()
        self.assertEqual((buffers.total_bytes, buffers.exchanges), (0, set()))
        self.assertEqual(exchange.body, PART)

    async def test_incomplete_event_of_a_stream_counts(self) -> None:
        buffers = ResponseBuffers()
        exchange = self.start(buffers, is_stream=True)
        exchange.receive_data(PART)
        exchange.receive_data(PART)
        self.assertEqual(buffers.total_bytes, 2 * len(PART))
        exchange.set_ending(Ending.BROKEN)
        self.assertEqual((buffers.total_bytes, buffers.exchanges), (0, set()))

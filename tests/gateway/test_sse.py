"""Splitting a stream into events."""

from __future__ import annotations

import unittest

from yuccareach.gateway.sse import EventSplitter, parse_event_id

EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\r\ndata: b\r\n\r\n", b"data: c\nid: 3\n\n"]


class EventSplitterTests(unittest.TestCase):
    def test_events_are_complete_and_unchanged_for_every_chunk_size(self) -> None:
        data = b"".join(EVENTS)
        for size in range(1, len(data) + 1):
            with self.subTest(size=size):
                splitter = EventSplitter()
                events = [
                    event
                    for start in range(0, len(data), size)
                    for event in splitter.feed(data[start : start + size])
                ]
                self.assertEqual(b"".join(events), data)
                self.assertEqual([parse_event_id(event) for event in events], [1, 2, 3])
                self.assertEqual(splitter.get_remainder(), b"")

    def test_incomplete_event_stays_in_the_buffer(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(EVENTS[0] + b"id: 2\nda"), [EVENTS[0]])
        self.assertEqual(splitter.get_remainder(), b"id: 2\nda")

    def test_id_within_the_data_is_ignored(self) -> None:
        self.assertIsNone(parse_event_id(b"data: id: 7\n\n"))

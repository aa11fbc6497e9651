"""Tests of the structured logs and of their limits."""

from __future__ import annotations

import logging
import os
import unittest

from yuccareach.runtime import logs


class PipeTestCase(unittest.TestCase):
    """Writes the logs into a pipe, which is read only when the test calls read."""

    def setUp(self) -> None:
        self.reader, self.pipe = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.pipe)
        os.set_blocking(self.reader, False)
        logs.configure("info", "i1")
        root = logging.getLogger("yuccareach")
        self.handler = root.handlers[0]
        assert isinstance(self.handler, logs.BoundedHandler)
        self.writer = self.handler.writer = logs.LogWriter(self.pipe)
        self.addCleanup(root.handlers.clear)
        self.log = logs.logger("test")

    def read(self) -> list[str]:
        """Return all lines written so far, buffered ones included."""
        data = b""
        while True:
            try:
                chunk = os.read(self.reader, 1 << 16)
            except BlockingIOError:
                if not self.writer.buffer:
                    return data.decode().splitlines()
                self.writer.flush()
                continue
            data += chunk


class ConfigureTests(PipeTestCase):
    def test_one_line_of_key_value_pairs_for_each_event(self) -> None:
        text = 'two words "quoted"\nand a line'
        self.log.info("something", extra={"reason": text, "count": 3})
        (line,) = self.read()
        expected = r'reason="two words \"quoted\"\nand a line" count=3'
        self.assertTrue(line.endswith(expected), line)
        self.assertIn("event=something instance=i1", line)


class BoundedHandlerTests(PipeTestCase):
    def test_stalled_reader_neither_blocks_nor_reorders_lines(self) -> None:
        for number in range(5_000):
            self.log.warning(f"event{number}", extra={"text": "x" * 100})
        self.assertGreater(self.writer.buffered_bytes, 0)
        lines = self.read()
        numbers = [int(line.split("event=event")[1].split()[0]) for line in lines]
        self.assertEqual(numbers, list(range(len(numbers))))
        self.assertEqual(len(numbers), 5_000)

    def test_warnings_are_written_when_routine_lines_are_omitted(self) -> None:
        for number in range(30_000):
            self.log.info(f"routine{number}", extra={"text": "x" * 100})
        self.log.warning("request_failed")
        lines = self.read()
        self.assertLess(len(lines), 30_000)
        self.assertIn("event=request_failed", lines[-1])

    def test_lines_per_second_of_one_event_are_limited(self) -> None:
        for _ in range(3 * logs.MAX_ROUTINE_LINES_PER_S):
            self.log.info("busy")
        self.log.info("other")
        lines = self.read()
        busy = sum("event=busy" in line for line in lines)
        # The loop may cross a boundary between seconds, where the count starts again.
        self.assertLessEqual(busy, 2 * logs.MAX_ROUTINE_LINES_PER_S)
        self.assertTrue(any("event=other" in line for line in lines))

    def test_omitted_lines_are_reported_once(self) -> None:
        writer = self.writer
        max_lines = logs.MAX_ROUTINE_LINES_PER_S
        admitted = [writer.admit("busy", False, 100.0) for _ in range(max_lines + 7)]
        self.assertEqual(admitted.count(True), max_lines)
        self.assertEqual(writer.take_omitted(100.5), {"n_busy": 7})
        self.assertEqual(writer.take_omitted(102.0), {})

    def test_closed_reader_raises_no_error(self) -> None:
        reader, pipe = os.pipe()
        os.close(reader)
        self.handler.writer = logs.LogWriter(pipe)
        self.addCleanup(os.close, pipe)
        self.log.info("something")
        self.assertEqual(self.handler.writer.buffered_bytes, 0)


class RepeatFilterTests(unittest.TestCase):
    """Which of recurring outcomes are logged."""

    def setUp(self) -> None:
        self.filter = logs.RepeatFilter(5.0)

    def test_unchanged_outcome_is_admitted_again_after_the_interval(self) -> None:
        self.assertTrue(self.filter.admit("a", "refused", 0.0))
        self.assertFalse(self.filter.admit("a", "refused", 4.9))
        self.assertTrue(self.filter.admit("a", "refused", 5.0))
        self.assertFalse(self.filter.admit("a", "refused", 9.9))

    def test_changed_outcome_and_another_key_are_admitted_at_once(self) -> None:
        self.assertTrue(self.filter.admit("a", "refused", 0.0))
        self.assertTrue(self.filter.admit("a", "timed out", 0.1))
        self.assertTrue(self.filter.admit("b", "refused", 0.1))

    def test_forgotten_outcome_is_admitted(self) -> None:
        self.filter.admit("a", "refused", 0.0)
        self.filter.clear()
        self.assertTrue(self.filter.admit("a", "refused", 0.1))

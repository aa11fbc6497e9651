"""Log lines."""

from __future__ import annotations

import io
import logging
import unittest

from yuccareach.runtime import logs


class ConfigureTests(unittest.TestCase):
    def test_one_line_of_pairs_for_each_event(self) -> None:
        logs.configure("info", "i1")
        handler = logging.getLogger("yuccareach").handlers[0]
        output = io.StringIO()
        handler.setStream(output)
        text = 'two words "quoted"\nand a line'
        logs.logger("test").info("something", extra={"reason": text, "count": 3})
        line = output.getvalue()
        self.assertEqual(line.count("\n"), 1)
        expected = r'reason="two words \"quoted\"\nand a line" count=3'
        self.assertTrue(line.rstrip().endswith(expected), line)
        self.assertIn("event=something instance=i1", line)

"""Tests that only failures of tests listed in KNOWN-RED.txt are not counted."""

from __future__ import annotations

import io
import unittest

from bench.run_tests import UnknownTest, iterate_tests, read_known_red, run

KNOWN_RED = """\
tests.some.module.SomeTests.test_listed
  seen: once; tests.other.OtherTests.test_named_in_a_note is not listed
fleetbench replay SITE DAY
  seen: twice
"""


def _make_case(failing: frozenset[str]) -> type[unittest.TestCase]:
    """Return a test case, not found by discovery, whose named tests fail."""

    class _Case(unittest.TestCase):
        def test_assertion(self) -> None:
            self.assertNotIn("test_assertion", failing)

        def test_exception(self) -> None:
            if "test_exception" in failing:
                raise ValueError("unexpected")

        def test_subtests(self) -> None:
            for number in range(2):
                with self.subTest(number=number):
                    self.assertNotIn("test_subtests", failing)

    return _Case


class RunTests(unittest.TestCase):
    def run_case(
        self, failing: frozenset[str], listed: frozenset[str]
    ) -> tuple[bool, str]:
        """Run the case with these tests failing and listed, by their short names."""
        suite = unittest.defaultTestLoader.loadTestsFromTestCase(_make_case(failing))
        id_by_name = {
            test.id().rpartition(".")[2]: test.id() for test in iterate_tests(suite)
        }
        output = io.StringIO()
        passed = run(suite, frozenset(id_by_name[name] for name in listed), output)
        return passed, output.getvalue()

    def test_failure_of_listed_test_is_printed_but_not_counted(self) -> None:
        for name in ("test_assertion", "test_exception", "test_subtests"):
            with self.subTest(name=name):
                only = frozenset({name})
                passed, output = self.run_case(only, only)
                self.assertTrue(passed)
                self.assertIn("known red, failed and not counted", output)
                self.assertIn("Traceback", output)

    def test_failure_of_other_test_counts(self) -> None:
        for name in ("test_assertion", "test_exception", "test_subtests"):
            with self.subTest(name=name):
                others = {"test_assertion", "test_exception", "test_subtests"} - {name}
                passed, output = self.run_case(frozenset({name}), frozenset(others))
                self.assertFalse(passed)
                self.assertIn("known red, passed in this run", output)

    def test_listed_test_that_does_not_exist_is_an_error(self) -> None:
        with self.assertRaises(UnknownTest):
            run(unittest.TestSuite(), frozenset({"tests.gone.GoneTests.test_gone"}))

    def test_entries_of_other_commands_are_left_out(self) -> None:
        self.assertEqual(
            read_known_red(KNOWN_RED),
            frozenset({"tests.some.module.SomeTests.test_listed"}),
        )


if __name__ == "__main__":
    unittest.main()

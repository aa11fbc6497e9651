"""Run the tests; failures that KNOWN-RED.txt lists are reported but do not count.

python -m bench.run_tests
"""

from __future__ import annotations

import sys
import traceback
import unittest
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

KNOWN_RED_PATH = Path("KNOWN-RED.txt")
TEST_ID_PREFIX = "tests."


class UnknownTest(Exception):
    """A listed test does not exist."""


class KnownRedResult(unittest.TextTestResult):
    """A result that keeps the failures of listed tests apart from the others."""

    def __init__(self, *args: Any, known_red: frozenset[str], **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.known_red = known_red
        # Test id and traceback of each failure of a listed test.
        self.known_failures: list[tuple[str, str]] = []

    def _keep_apart(self, test: Any, error: Any) -> bool:
        """Record the failure of a test if it is listed; return whether it is."""
        if test.id() not in self.known_red:
            return False
        text = "".join(traceback.format_exception(*error))
        self.known_failures.append((test.id(), text))
        return True

    def addFailure(self, test: Any, err: Any) -> None:
        """Record a failed assertion."""
        if not self._keep_apart(test, err):
            super().addFailure(test, err)

    def addError(self, test: Any, err: Any) -> None:
        """Record an unexpected exception."""
        if not self._keep_apart(test, err):
            super().addError(test, err)

    def addSubTest(self, test: Any, subtest: Any, err: Any) -> None:
        """Record the outcome of a subtest."""
        if err is None or not self._keep_apart(test, err):
            super().addSubTest(test, subtest, err)

    def print_known_red(self) -> None:
        """Print whether each listed test failed in this run, with its traceback."""
        for test_id, text in self.known_failures:
            self.stream.writeln(f"known red, failed and not counted: {test_id}")
            self.stream.writeln(text)
        failed = {test_id for test_id, _ in self.known_failures}
        for test_id in sorted(self.known_red - failed):
            self.stream.writeln(f"known red, passed in this run: {test_id}")


def read_known_red(text: str) -> frozenset[str]:
    """Return the ids of the listed tests; entries of other commands are left out."""
    # The first line of an entry is not indented.
    return frozenset(
        line.strip() for line in text.splitlines() if line.startswith(TEST_ID_PREFIX)
    )


def iterate_tests(suite: Iterable[Any]) -> Iterator[unittest.TestCase]:
    """Yield every test of a suite and of the suites in it."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def run(
    suite: unittest.TestSuite, known_red: frozenset[str], stream: Any = None
) -> bool:
    """Run a suite; return whether every test that is not listed passed.

    Raises UnknownTest if the suite lacks a listed test, so that an entry cannot outlast
    its test.
    """
    missing = known_red - {test.id() for test in iterate_tests(suite)}
    if missing:
        names = ", ".join(sorted(missing))
        raise UnknownTest(f"{KNOWN_RED_PATH} lists tests that do not exist: {names}")
    result_class: Any = partial(KnownRedResult, known_red=known_red)
    result = unittest.TextTestRunner(stream, resultclass=result_class).run(suite)
    assert isinstance(result, KnownRedResult)
    result.print_known_red()
    return result.wasSuccessful()


def main() -> None:
    """Run all tests; exits with status 1 if one failed that is not listed."""
    text = KNOWN_RED_PATH.read_text() if KNOWN_RED_PATH.exists() else ""
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    sys.exit(not run(suite, read_known_red(text)))


if __name__ == "__main__":
    main()

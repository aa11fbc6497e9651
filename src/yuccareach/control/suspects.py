"""Backend servers that some entries cannot connect to, so that the others probe them.

Each entry would otherwise send streams to a server that has gone dark until one of its
own has stalled there: with many entries, many streams. A report is only a reason to
probe, since an entry that is cut off itself can connect to nothing.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# An entry that cannot connect to more servers than this is likely to be cut off itself,
# and counts only where another entry reports the same server.
MAX_SUSPECTS_PER_ENTRY = 8
MIN_CONFIRMING_REPORTS = 2


class SuspectReports:
    """The incarnations that each entry could not connect to when it last reported."""

    def __init__(self) -> None:
        self.suspects_by_entry: dict[str, frozenset[str]] = {}
        self.listed: frozenset[str] = frozenset()
        # Grows whenever an incarnation is listed that was not before.
        self.version = 0

    def record(self, entry: str, incarnations: Iterable[str]) -> bool:
        """Replace an entry's report; return whether entries have more to probe."""
        suspects = frozenset(incarnations)
        if suspects == self.suspects_by_entry.get(entry, frozenset()):
            return False
        self.suspects_by_entry[entry] = suspects
        return self._update()

    def remove(self, entry: str) -> None:
        """Remove the report of an entry that has fallen silent."""
        if self.suspects_by_entry.pop(entry, None):
            self._update()

    def _update(self) -> bool:
        reports = self.suspects_by_entry.values()
        counts = Counter(name for suspects in reports for name in suspects)
        credible = frozenset(
            name
            for suspects in reports
            if len(suspects) <= MAX_SUSPECTS_PER_ENTRY
            for name in suspects
        )
        confirmed = {
            name for name, count in counts.items() if count >= MIN_CONFIRMING_REPORTS
        }
        previous, self.listed = self.listed, credible | confirmed
        has_more = bool(self.listed - previous)
        self.version += has_more
        return has_more


__all__ = ["SuspectReports"]

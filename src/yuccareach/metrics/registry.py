"""Histograms per workspace and class, with a bounded number of them."""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from hdrh.histogram import HdrHistogram

from yuccareach.metrics.catalog import DESCRIPTION_BY_NAME

if TYPE_CHECKING:
    from collections.abc import Iterator

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
DIGITS = 2
WORKSPACES_KEPT = 200
QUANTILES = (50.0, 95.0, 99.0)
OTHER = "other"


class SeriesKey(NamedTuple):
    """What one histogram stands for; workspace is empty for a class total."""

    metric: str
    workspace: str
    class_name: str


def new_histogram() -> HdrHistogram:
    """Return a histogram of milliseconds up to an hour."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)


class Registry:
    """The histograms and counters of one process.

    Only the workspaces seen last keep histograms of their own. A workspace that falls
    out is merged into one named "other", so memory stays bounded.
    """

    def __init__(self, workspaces_kept: int = WORKSPACES_KEPT) -> None:
        self.workspaces_kept = workspaces_kept
        self.pending_by_key: dict[SeriesKey, Counter[int]] = {}
        self.histogram_by_key: dict[SeriesKey, HdrHistogram] = {}
        self.keys_by_workspace: OrderedDict[str, set[SeriesKey]] = OrderedDict()
        self.count_by_name: dict[tuple[str, str], int] = {}

    def observe(
        self, metric: str, workspace: str, class_name: str, duration_ms: int
    ) -> None:
        """Record a duration for a workspace and for its class."""
        assert metric in DESCRIPTION_BY_NAME, metric
        key = SeriesKey(metric, workspace, class_name)
        pending = self.pending_by_key.get(key)
        if pending is None:
            pending = self.pending_by_key[key] = Counter()
        pending[duration_ms] += 1
        if len(self.pending_by_key) > self.workspaces_kept:
            self.fold()

    def fold(self) -> None:
        """Move the durations counted since the last time into the histograms.

        Counting by value is far cheaper than recording each one.
        """
        for key, pending in self.pending_by_key.items():
            own = self._histogram(key)
            total = self._histogram(key._replace(workspace=""))
            for duration_ms, count in pending.items():
                value = min(max(duration_ms, LOWEST_MS), HIGHEST_MS)
                own.record_value(value, count)
                total.record_value(value, count)
            self.keys_by_workspace.setdefault(key.workspace, set()).add(key)
            self.keys_by_workspace.move_to_end(key.workspace)
        self.pending_by_key.clear()
        while len(self.keys_by_workspace) > self.workspaces_kept:
            self._fold_oldest()

    def _histogram(self, key: SeriesKey) -> HdrHistogram:
        histogram = self.histogram_by_key.get(key)
        if histogram is None:
            histogram = self.histogram_by_key[key] = new_histogram()
        return histogram

    def _fold_oldest(self) -> None:
        """Merge the workspace seen longest ago into the histogram of the others."""
        _, keys = self.keys_by_workspace.popitem(last=False)
        for key in keys:
            other = self._histogram(key._replace(workspace=OTHER))
            other.add(self.histogram_by_key.pop(key))

    def count(self, metric: str, reason: str, amount: int = 1) -> None:
        """Count an event."""
        assert metric in DESCRIPTION_BY_NAME, metric
        key = (metric, reason)
        self.count_by_name[key] = self.count_by_name.get(key, 0) + amount

    def series(self) -> Iterator[tuple[SeriesKey, HdrHistogram]]:
        """Yield every histogram in a fixed order."""
        self.fold()
        yield from sorted(self.histogram_by_key.items())


__all__ = ["OTHER", "QUANTILES", "Registry", "SeriesKey", "new_histogram"]

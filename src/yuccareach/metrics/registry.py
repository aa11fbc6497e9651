"""Histograms by workspace and class, bounded in number, and counters."""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from hdrh.histogram import HdrHistogram

from yuccareach.metrics.catalog import DESCRIPTION_BY_NAME

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_DURATION_MS = 1
MAX_DURATION_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
MAX_WORKSPACES = 200
QUANTILES = (50.0, 95.0, 99.0)
OTHER_WORKSPACES = "other"


class SeriesKey(NamedTuple):
    """Labels of one histogram; the workspace is empty for the total of a class."""

    metric: str
    workspace: str
    class_name: str


def create_histogram() -> HdrHistogram:
    """Return an empty histogram of durations from 1 ms to 1 hour."""
    return HdrHistogram(MIN_DURATION_MS, MAX_DURATION_MS, SIGNIFICANT_DIGITS)


class Registry:
    """The histograms and counters of one process.

    To bound memory, only the most recently active workspaces have histograms of their
    own; those of the others are merged into the workspace named "other".
    """

    def __init__(self, max_workspaces: int = MAX_WORKSPACES) -> None:
        self.max_workspaces = max_workspaces
        self.count_by_duration_by_key: dict[SeriesKey, Counter[int]] = {}
        self.histogram_by_key: dict[SeriesKey, HdrHistogram] = {}
        self.keys_by_workspace: OrderedDict[str, set[SeriesKey]] = OrderedDict()
        self.count_by_metric_and_reason: dict[tuple[str, str], int] = {}

    def observe(
        self, metric: str, workspace: str, class_name: str, duration_ms: int
    ) -> None:
        """Record a duration for a workspace and for its class."""
        assert metric in DESCRIPTION_BY_NAME, metric
        key = SeriesKey(metric, workspace, class_name)
        pending = self.count_by_duration_by_key.get(key)
        if pending is None:
            pending = self.count_by_duration_by_key[key] = Counter()
        pending[duration_ms] += 1
        if len(self.count_by_duration_by_key) > self.max_workspaces:
            self.record_pending()

    def record_pending(self) -> None:
        """Record the durations observed since the last call in the histograms.

        Durations are first counted by value, because that is far cheaper than recording
        each one in a histogram.
        """
        for key, pending in self.count_by_duration_by_key.items():
            workspace_histogram = self._get_or_create_histogram(key)
            total = self._get_or_create_histogram(key._replace(workspace=""))
            for duration_ms, count in pending.items():
                value = min(max(duration_ms, MIN_DURATION_MS), MAX_DURATION_MS)
                workspace_histogram.record_value(value, count)
                total.record_value(value, count)
            self.keys_by_workspace.setdefault(key.workspace, set()).add(key)
            self.keys_by_workspace.move_to_end(key.workspace)
        self.count_by_duration_by_key.clear()
        while len(self.keys_by_workspace) > self.max_workspaces:
            self._merge_oldest_workspace()

    def _get_or_create_histogram(self, key: SeriesKey) -> HdrHistogram:
        histogram = self.histogram_by_key.get(key)
        if histogram is None:
            histogram = self.histogram_by_key[key] = create_histogram()
        return histogram

    def _merge_oldest_workspace(self) -> None:
        """Merge the least recently active workspace into the one of the others."""
        _, keys = self.keys_by_workspace.popitem(last=False)
        for key in keys:
            other = self._get_or_create_histogram(
                key._replace(workspace=OTHER_WORKSPACES)
            )
            other.add(self.histogram_by_key.pop(key))

    def count(self, metric: str, reason: str, amount: int = 1) -> None:
        """Add events to the counter of a metric and reason."""
        assert metric in DESCRIPTION_BY_NAME, metric
        key = (metric, reason)
        self.count_by_metric_and_reason[key] = (
            self.count_by_metric_and_reason.get(key, 0) + amount
        )

    def iterate_histograms(self) -> Iterator[tuple[SeriesKey, HdrHistogram]]:
        """Record pending durations, then yield every histogram ordered by its key."""
        self.record_pending()
        yield from sorted(self.histogram_by_key.items())


__all__ = [
    "OTHER_WORKSPACES",
    "QUANTILES",
    "Registry",
    "SeriesKey",
    "create_histogram",
]

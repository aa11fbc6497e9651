"""Runs of layers that have least of something."""

from __future__ import annotations

import itertools

from yuccareach.placement.assignments import LayerRange


def longest_run(counts: list[int]) -> LayerRange:
    """Return the longest run of layers with the least count."""
    least = min(counts)
    runs = []
    first = 0
    for is_least, group in itertools.groupby(counts, key=lambda count: count == least):
        size = len(list(group))
        if is_least:
            runs.append(LayerRange(first, first + size))
        first += size
    return max(runs, key=lambda run: run.size)


__all__ = ["longest_run"]

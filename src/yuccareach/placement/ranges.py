"""Ranges of adjacent layers."""

from __future__ import annotations

import itertools

from yuccareach.placement.assignments import LayerRange


def find_longest_minimum(counts: list[int]) -> LayerRange:
    """Return the longest range of adjacent layers that all have the lowest count.

    Of several ranges of this length, the first one is returned.
    """
    lowest = min(counts)
    ranges = []
    first = 0
    for is_lowest, group in itertools.groupby(
        counts, key=lambda count: count == lowest
    ):
        size = len(list(group))
        if is_lowest:
            ranges.append(LayerRange(first, first + size))
        first += size
    return max(ranges, key=lambda layers: layers.size)


__all__ = ["find_longest_minimum"]

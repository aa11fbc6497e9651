"""Arrival times of an open-loop load, which does not wait for answers."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

# During BURST_FRACTION of each period, the rate is BURST_FACTOR times the mean.
BURST_PERIOD_S = 5.0
BURST_FRACTION = 0.2
BURST_FACTOR = 3.0


class Arrivals(StrEnum):
    """Arrival processes of requests; the value is the name in options."""

    POISSON = "poisson"
    BURSTS = "bursts"
    OFFICE = "office"


def generate_arrival_times(
    arrivals: Arrivals, rate: float, duration_s: float, random: Random
) -> Iterator[float]:
    """Yield the times at which requests are due, in seconds after the start.

    Thins a Poisson process of the highest rate to the rate at each point in time.
    """
    max_rate = rate * (BURST_FACTOR if arrivals is Arrivals.BURSTS else 2.0)
    if arrivals is Arrivals.POISSON:
        max_rate = rate
    time_s = random.expovariate(max_rate)
    while time_s < duration_s:
        current_rate = _compute_rate(arrivals, rate, time_s, duration_s)
        if random.random() * max_rate < current_rate:
            yield time_s
        time_s += random.expovariate(max_rate)


def _compute_rate(
    arrivals: Arrivals, rate: float, time_s: float, duration_s: float
) -> float:
    """Return the rate at a point in time; its mean over the run is the given rate."""
    if arrivals is Arrivals.BURSTS:
        is_in_burst = time_s % BURST_PERIOD_S < BURST_FRACTION * BURST_PERIOD_S
        base_factor = (1 - BURST_FRACTION * BURST_FACTOR) / (1 - BURST_FRACTION)
        return rate * (BURST_FACTOR if is_in_burst else base_factor)
    if arrivals is Arrivals.OFFICE:
        # The run is one working day, with the highest rate in its middle.
        return rate * (1 - math.cos(2 * math.pi * time_s / duration_s))
    return rate


__all__ = ["Arrivals", "generate_arrival_times"]

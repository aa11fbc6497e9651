"""When requests arrive, without regard to how fast they are answered."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

BURST_PERIOD_S = 5.0
BURST_SHARE = 0.2
BURST_FACTOR = 3.0


class Arrivals(StrEnum):
    """Processes by which requests arrive."""

    POISSON = "poisson"
    BURSTS = "bursts"
    OFFICE = "office"


def arrival_times(
    arrivals: Arrivals, rate: float, duration_s: float, random: Random
) -> Iterator[float]:
    """Yield the seconds after the start at which requests are due.

    Thins a Poisson process of the highest rate down to the rate of each moment.
    """
    peak = rate * (BURST_FACTOR if arrivals is Arrivals.BURSTS else 2.0)
    if arrivals is Arrivals.POISSON:
        peak = rate
    moment = random.expovariate(peak)
    while moment < duration_s:
        wanted = _rate_at(arrivals, rate, moment, duration_s)
        if random.random() * peak < wanted:
            yield moment
        moment += random.expovariate(peak)


def _rate_at(
    arrivals: Arrivals, rate: float, moment: float, duration_s: float
) -> float:
    """Return the rate at a moment; its mean over the run is the rate asked for."""
    if arrivals is Arrivals.BURSTS:
        in_burst = moment % BURST_PERIOD_S < BURST_SHARE * BURST_PERIOD_S
        quiet = (1 - BURST_SHARE * BURST_FACTOR) / (1 - BURST_SHARE)
        return rate * (BURST_FACTOR if in_burst else quiet)
    if arrivals is Arrivals.OFFICE:
        # One working day from morning to evening, with its peak at noon.
        return rate * (1 - math.cos(2 * math.pi * moment / duration_s))
    return rate


__all__ = ["Arrivals", "arrival_times"]

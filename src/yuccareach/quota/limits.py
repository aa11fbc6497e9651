"""Rates and times that control and instances use alike for the limit of a server.

In any span of time, all instances together send what was granted and is still valid at
its begin, what is in the bucket then, and what the rate adds to the bucket during it:
at most (span + GRANT_LIFETIME_MS) x rate + 2 x the bucket's capacity.
"""

from __future__ import annotations

import math

# A grant that has not been used within this time after its request was sent is void.
GRANT_LIFETIME_MS = 1_200
# A server that wants no requests gets this many a second from all instances, since only
# its answers show that it wants some again.
TRIAL_RATE_PER_S = 0.25
# Capacity of a bucket: time at the limit's rate, and requests beside it.
BUCKET_S = 0.3
MIN_BUCKET_REQUESTS = 1.0
MAX_EXTRA_BUCKET_REQUESTS = 1.0


def is_valid_limit(limit_per_s: float) -> bool:
    """Return whether a number that another process sent can be a limit."""
    return math.isfinite(limit_per_s) and limit_per_s >= 0


def compute_rate_per_s(limit_per_s: float) -> float:
    """Return the requests a second that are granted to all instances together."""
    return max(limit_per_s, TRIAL_RATE_PER_S)


def compute_bucket_capacity(limit_per_s: float) -> float:
    """Return the requests that may be granted at once."""
    extra = min(limit_per_s, MAX_EXTRA_BUCKET_REQUESTS)
    return MIN_BUCKET_REQUESTS + extra + BUCKET_S * limit_per_s


__all__ = [
    "GRANT_LIFETIME_MS",
    "compute_bucket_capacity",
    "compute_rate_per_s",
    "is_valid_limit",
]

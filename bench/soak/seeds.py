"""Seeds that failed in the past, each with the cause."""

from __future__ import annotations

# Defects of the platform's code. CI runs these seeds as well.
REGRESSIONS = {
    16: "heartbeats moved to another control instance, and live servers expired",
}
# Defects of the soak itself. `--again` runs these seeds with the others.
SOAK_DEFECTS = {
    12: "SIGTERM reached a process before it served, which may end it at once",
    19: "the soak restarted an instance that lost its disk with bootstrap set",
    23: "the soak restarted an instance that lost its disk with bootstrap set",
    37: "gateways were scraped one after another, for longer than the bound allows",
    501: "streams were expected to begin while their whole service took no requests",
    902: "a link closed connections as it was mended, just before a stream ended",
    1005: "a server crashed before it had read a request that the others had rejected",
    412: "a control instance was wiped while the group had two voters",
}

__all__ = ["REGRESSIONS", "SOAK_DEFECTS"]

"""Seeds that failed once, with the cause."""

from __future__ import annotations

# Faults of the system; played in CI as well.
REGRESSIONS = {
    16: "heartbeats moved to another control instance, and living servers expired",
}
# Faults of the soak itself; played by hand with the others.
OWN_FAULTS = {
    12: "SIGTERM met a process before it served, which may end it at once",
    19: "an instance that lost its disk was started with bootstrap set",
    23: "an instance that lost its disk was started with bootstrap set",
}

__all__ = ["OWN_FAULTS", "REGRESSIONS"]

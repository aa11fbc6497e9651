"""Make a random schedule of faults."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

# Control tolerates the loss of one instance at a time. By the platform's bound, an
# instance counts as lost until this long after its restart.
CONTROL_CATCH_UP_S = 6.0
MAX_FAULT_DURATION_S = 1.5
# Each kind is a role and the action on a process of that role.
GATEWAY_FAULT_KINDS = ("gateway_kill", "gateway_term", "gateway_pause")
CONTROL_FAULT_KINDS = ("control_kill", "control_term", "control_pause", "control_wipe")
RUNNER_FAULT_KINDS = ("runner_link", "runner_crash", "runner_drain")
# Requests that crash the backend servers that run them, sent again and again.
CRASHING_REQUESTS = 1
# Faults of which each seed has at least one, and how many a second.
MORE_FAULTS_PER_S = {
    "runner_silent": 0.4,
    "runner_leaving": 0.1,
    "runner_refusing": 0.15,
    "runner_bytes": 0.15,
    "caller_part": 0.0,
    "runner_limited": 0.1,
    "links_instance": 0.1,
    "links_all": 0.05,
}
# The fault that ends a seed: all processes are killed after the seeds were exchanged.
CLOSING_FAULT_KIND = "all_stop"
# Targets are drawn below this number. It exceeds the number of processes of any role.
MAX_TARGETS = 300


class ScheduledFault(NamedTuple):
    """One fault of a schedule."""

    start_s: float
    kind: str
    # Index of the process, modulo the number of processes at that time.
    target: int
    duration_s: float


def make_schedule(
    seed: int, duration_s: float, faults_per_s: float, control_count: int
) -> list[ScheduledFault]:
    """Return the faults of a seed, ordered by their start.

    Faults of gateways and backend servers may overlap. Those of control never do, and
    there are none with fewer than three control instances.
    """
    rng = Random(seed)
    kinds = (*GATEWAY_FAULT_KINDS, *RUNNER_FAULT_KINDS * 2)
    faults = []
    start_s = rng.expovariate(faults_per_s)
    while start_s < duration_s:
        kind = rng.choice(kinds)
        length_s = rng.uniform(0.2, MAX_FAULT_DURATION_S)
        faults.append(
            ScheduledFault(start_s, kind, rng.randrange(MAX_TARGETS), length_s)
        )
        start_s += rng.expovariate(faults_per_s)
    start_s = rng.uniform(0, CONTROL_CATCH_UP_S)
    while start_s < duration_s and control_count > 2:
        kind = rng.choice(CONTROL_FAULT_KINDS)
        length_s = rng.uniform(0.2, MAX_FAULT_DURATION_S)
        faults.append(
            ScheduledFault(start_s, kind, rng.randrange(control_count), length_s)
        )
        start_s += (
            length_s + CONTROL_CATCH_UP_S + rng.uniform(0, CONTROL_CATCH_UP_S / 2)
        )
    # Drawn last, so that the other faults of earlier seeds stay as they were.
    for _ in range(CRASHING_REQUESTS):
        start_s = rng.uniform(0, duration_s / 2)
        target = rng.randrange(MAX_TARGETS)
        faults.append(ScheduledFault(start_s, "caller_crash", target, 0.0))
    for kind, per_s in MORE_FAULTS_PER_S.items():
        for _ in range(max(1, round(duration_s * per_s))):
            start_s = rng.uniform(0, duration_s)
            length_s = rng.uniform(0.2, MAX_FAULT_DURATION_S)
            target = rng.randrange(MAX_TARGETS)
            faults.append(ScheduledFault(start_s, kind, target, length_s))
    return sorted(faults)


__all__ = ["CLOSING_FAULT_KIND", "ScheduledFault", "make_schedule"]

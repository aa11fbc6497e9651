"""Control's part of the limits of backend servers: who is granted how many requests.

Only the leader grants, after a quorum has confirmed it, and it starts with empty
buckets. The table is kept in memory only: instances report the limits that they know to
each new leader.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.health.servers import StatedLimit, merge_limits
from yuccareach.quota.limits import compute_bucket_capacity, compute_rate_per_s

if TYPE_CHECKING:
    from collections.abc import Iterable

# Two instances that read different limits within this time of each other may have read
# them in either order.
READING_UNCERTAINTY_MS = 500
# An instance's demand counts for this long; instances report it several times within.
DEMAND_RETENTION_MS = 1_500
# A limit that no instance has reported for this long is forgotten.
LIMIT_RETENTION_MS = 600_000


class LimitReport(NamedTuple):
    """What one instance reports of one incarnation of a backend server."""

    incarnation: str
    # The limit that it knows, or None if the server states none any more.
    limit_per_s: float | None
    # For how long it has known it.
    age_ms: int
    # Requests that it wants to be granted, and that it returns unused.
    wanted: int
    returned: int


class LimitNotice(NamedTuple):
    """What control tells an instance of the limit of one incarnation."""

    incarnation: str
    limit_per_s: float | None
    age_ms: int
    granted: int


class Demand(NamedTuple):
    """The requests that an instance wants to be granted."""

    wanted: int
    reported_ms: int


class Allocation:
    """The bucket of one incarnation's limit, and the demand for it."""

    def __init__(self, now_ms: int) -> None:
        self.limit: StatedLimit | None = None
        self.requests = 0.0
        self.refilled_ms = now_ms
        self.reported_ms = now_ms
        self.demand_by_instance: dict[str, Demand] = {}
        # The number of the last change of the limit.
        self.change = 0


class AllocationTable:
    """The allocations of all limited servers."""

    def __init__(self) -> None:
        self.allocation_by_incarnation: dict[str, Allocation] = {}
        # Numbers the changes of limits, so that an instance is told only of later ones.
        self.changes = 0


def record_reports(
    table: AllocationTable, instance: str, reports: Iterable[LimitReport], now_ms: int
) -> None:
    """Record what an instance reports."""
    for report in reports:
        _record_report(table, instance, report, now_ms)


def _record_report(
    table: AllocationTable, instance: str, report: LimitReport, now_ms: int
) -> None:
    allocation = table.allocation_by_incarnation.get(report.incarnation)
    if allocation is None:
        _forget_unreported(table, now_ms)
        allocation = Allocation(now_ms)
        table.allocation_by_incarnation[report.incarnation] = allocation
    _refill(allocation, now_ms)
    allocation.reported_ms = now_ms
    read_ms = now_ms - report.age_ms
    previous = allocation.limit
    stated = StatedLimit(report.limit_per_s, read_ms - READING_UNCERTAINTY_MS, read_ms)
    allocation.limit = merge_limits(previous, stated)
    if _get_limit_per_s(allocation) != (previous.per_s if previous else None):
        table.changes += 1
        allocation.change = table.changes
    limit_per_s = _get_limit_per_s(allocation)
    capacity = 0.0 if limit_per_s is None else compute_bucket_capacity(limit_per_s)
    allocation.requests = min(capacity, allocation.requests + report.returned)
    allocation.demand_by_instance[instance] = Demand(report.wanted, now_ms)


def _forget_unreported(table: AllocationTable, now_ms: int) -> None:
    table.allocation_by_incarnation = {
        incarnation: allocation
        for incarnation, allocation in table.allocation_by_incarnation.items()
        if now_ms - allocation.reported_ms < LIMIT_RETENTION_MS
    }


def _get_limit_per_s(allocation: Allocation) -> float | None:
    return allocation.limit.per_s if allocation.limit is not None else None


def _refill(allocation: Allocation, now_ms: int) -> None:
    """Add what the rate has added to the bucket since the last time."""
    elapsed_s = max(0, now_ms - allocation.refilled_ms) / 1000
    allocation.refilled_ms = now_ms
    limit_per_s = _get_limit_per_s(allocation)
    if limit_per_s is not None:
        allocation.requests = min(
            compute_bucket_capacity(limit_per_s),
            allocation.requests + elapsed_s * compute_rate_per_s(limit_per_s),
        )


def find_grant_delay_ms(
    table: AllocationTable, reports: Iterable[LimitReport], now_ms: int
) -> float:
    """Return in how long one of the wanted requests can be granted, or infinity."""
    return min(
        (
            _compute_delay_ms(allocation, now_ms)
            for report in reports
            if report.wanted
            and (allocation := table.allocation_by_incarnation.get(report.incarnation))
        ),
        default=math.inf,
    )


def _compute_delay_ms(allocation: Allocation, now_ms: int) -> float:
    _refill(allocation, now_ms)
    limit_per_s = _get_limit_per_s(allocation)
    if limit_per_s is None:
        return math.inf
    missing = max(0.0, 1 - allocation.requests)
    return math.ceil(1000 * missing / compute_rate_per_s(limit_per_s))


def build_notices(
    table: AllocationTable,
    instance: str,
    reports: Iterable[LimitReport],
    after_change: int,
    now_ms: int,
) -> list[LimitNotice]:
    """Grant what an instance wants, as far as it may have it now.

    The notices are of the incarnations that it has reported, and of those whose limit
    has changed since the change that it knows.
    """
    granted_by_incarnation = {
        report.incarnation: _grant(table, instance, report, now_ms)
        for report in reports
    }
    allocations = table.allocation_by_incarnation
    changed = [
        incarnation
        for incarnation in (allocations if table.changes > after_change else ())
        if allocations[incarnation].change > after_change
    ]
    return [
        LimitNotice(
            incarnation,
            allocation.limit.per_s,
            max(0, now_ms - allocation.limit.read_ms),
            granted_by_incarnation.get(incarnation, 0),
        )
        for incarnation in dict.fromkeys(
            itertools.chain(granted_by_incarnation, changed)
        )
        if (allocation := allocations.get(incarnation)) and allocation.limit is not None
    ]


def _grant(
    table: AllocationTable, instance: str, report: LimitReport, now_ms: int
) -> int:
    """Return the requests of one limit that are granted to an instance.

    While several want more than there is, each gets a part in proportion.
    """
    allocation = table.allocation_by_incarnation.get(report.incarnation)
    if allocation is None or not report.wanted:
        return 0
    _refill(allocation, now_ms)
    if _get_limit_per_s(allocation) is None:
        return 0
    allocation.demand_by_instance = {
        name: demand
        for name, demand in allocation.demand_by_instance.items()
        if now_ms - demand.reported_ms < DEMAND_RETENTION_MS
    }
    total = sum(demand.wanted for demand in allocation.demand_by_instance.values())
    available = int(allocation.requests)
    part = math.ceil(available * report.wanted / max(total, report.wanted))
    granted = min(report.wanted, part)
    allocation.requests -= granted
    return granted


__all__ = [
    "AllocationTable",
    "LimitNotice",
    "LimitReport",
    "build_notices",
    "find_grant_delay_ms",
    "record_reports",
]

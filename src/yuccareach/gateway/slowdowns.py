"""Slowdowns of backend servers, as their own reports give them.

A slowdown is the multiple of its expected times that a server takes: 1 is normal.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccareach.gateway.server_calls import request_report

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.state import Gateway

REPORT_TIMEOUT_S = 0.4
# Minimum interval between two queries to one server. The platform counts every request
# for a report as a health check, so reports are requested rarely. A report is already
# some hundred milliseconds old when it arrives.
QUERY_INTERVAL_S = 1.0
# A slow server is queried again after this time, so that it is used again once it has
# recovered.
RECHECK_INTERVAL_S = 2.0
# From this slowdown on, a server counts as slow, since it delays its whole chain.
SLOWDOWN_THRESHOLD = 2.0


async def query_slowdowns(
    gateway: Gateway, backends: Iterable[Backend]
) -> list[Backend]:
    """Update the slowdowns of servers and return those that are slow.

    A server that was queried within QUERY_INTERVAL_S is not queried again.
    """
    now_s = gateway.now()
    candidates = list(backends)
    due_backends = [
        item
        for item in candidates
        if now_s - item.last_slowdown_query_s > QUERY_INTERVAL_S
    ]
    for backend in due_backends:
        backend.last_slowdown_query_s = now_s
    await asyncio.gather(
        *(_query_slowdown(gateway, backend) for backend in due_backends)
    )
    return [backend for backend in candidates if backend.slowdown >= SLOWDOWN_THRESHOLD]


async def _query_slowdown(gateway: Gateway, backend: Backend) -> None:
    report = await request_report(gateway, backend, REPORT_TIMEOUT_S)
    slowdown = (
        gateway.dialect.read_slowdown(report.body) if report is not None else None
    )
    if slowdown is None:
        return
    if (slowdown >= SLOWDOWN_THRESHOLD) != (backend.slowdown >= SLOWDOWN_THRESHOLD):
        gateway.log("pace_changed", backend_server=backend.name, pace=slowdown)
    backend.slowdown = slowdown


def find_due_for_recheck(gateway: Gateway) -> list[Backend]:
    """Return the slow servers that are due to be queried again."""
    now_s = gateway.now()
    return [
        backend
        for backend in gateway.fleet.backend_by_name.values()
        if backend.slowdown >= SLOWDOWN_THRESHOLD
        and now_s - backend.last_slowdown_query_s > RECHECK_INTERVAL_S
        and backend.accepts_requests(now_s)
    ]


__all__ = ["SLOWDOWN_THRESHOLD", "find_due_for_recheck", "query_slowdowns"]

"""Backend servers that have turned slow, as their own reports say."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccareach.gateway.http_client import call_backend

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.state import Gateway

REPORT_TIMEOUT_S = 0.4
# A report is a priced probe and some hundred milliseconds old when it comes.
MEASURE_INTERVAL_S = 1.0
# One that was slow is asked again after this long, to be used again once it is not.
RECHECK_S = 2.0
# At this multiple of its usual times a server holds a whole chain back.
SLOW_PACE = 2.0


async def measure(gateway: Gateway, backends: Iterable[Backend]) -> list[Backend]:
    """Ask servers for their pace, each rarely; return those that are slow."""
    now_s = gateway.now()
    chosen = list(backends)
    due = [item for item in chosen if now_s - item.paced_s > MEASURE_INTERVAL_S]
    for backend in due:
        backend.paced_s = now_s
    await asyncio.gather(*(_measure_one(gateway, backend) for backend in due))
    return [backend for backend in chosen if backend.pace >= SLOW_PACE]


async def _measure_one(gateway: Gateway, backend: Backend) -> None:
    path = gateway.dialect.report_path
    report = await call_backend(backend.pool, b"GET", path, b"", REPORT_TIMEOUT_S)
    pace = gateway.dialect.read_slowdown(report.body) if report is not None else None
    if pace is None:
        return
    if (pace >= SLOW_PACE) != (backend.pace >= SLOW_PACE):
        gateway.log("pace_changed", backend_server=backend.name, pace=pace)
    backend.pace = pace


def due_again(gateway: Gateway) -> list[Backend]:
    """Return the slow servers whose pace is to be looked at again."""
    now_s = gateway.now()
    return [
        backend
        for backend in gateway.fleet.backend_by_name.values()
        if backend.pace >= SLOW_PACE and now_s - backend.paced_s > RECHECK_S
    ]


__all__ = ["SLOW_PACE", "due_again", "measure"]

"""Asking limited later stages whether their limits still hold.

A later stage answers no requests, so that only a report shows that its limit has ended.
All gateways ask for reports in turn, and share what they read through control.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from yuccareach.gateway.server_calls import request_report
from yuccareach.gateway.server_limits import count_instances, has_recent_demand
from yuccareach.health.servers import get_limit_per_s

if TYPE_CHECKING:
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.state import Gateway

CHECK_INTERVAL_S = 0.25
# Mean time between two reports of a server that all gateways ask for together.
REPORT_SPACING_S = 0.5
REPORT_TIMEOUT_S = 1.0
# Part of the mean interval by which the next one may be shorter or longer, so that
# gateways do not ask at the same moments.
INTERVAL_SPREAD = 0.5


async def recheck_limits(gateway: Gateway) -> None:
    """Ask for the reports that are due until the task is cancelled."""
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        due = [
            backend
            for backend in gateway.fleet.backend_by_name.values()
            if is_recheck_due(gateway, backend)
        ]
        for backend in due:
            backend.last_limit_recheck_s = gateway.now()
            backend.recheck_factor = 1 + random.uniform(
                -INTERVAL_SPREAD, INTERVAL_SPREAD
            )
        await asyncio.gather(
            *(request_report(gateway, item, REPORT_TIMEOUT_S) for item in due)
        )


def is_recheck_due(gateway: Gateway, backend: Backend) -> bool:
    """Return whether to ask a server for its report now.

    Only the limits that hold requests of this gateway back are of interest to it.
    """
    if get_limit_per_s(backend.health) is None or not backend.is_later_stage:
        return False
    if not has_recent_demand(gateway, backend):
        return False
    interval_s = count_instances(gateway) * REPORT_SPACING_S * backend.recheck_factor
    return gateway.now() - backend.last_limit_recheck_s >= interval_s


__all__ = ["is_recheck_due", "recheck_limits"]

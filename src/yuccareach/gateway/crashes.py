"""Telling a backend server's crash from the other reasons for a failed attempt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccareach.gateway.losses import add_pending_losses, confirm_crash
from yuccareach.gateway.probes import probe_backend
from yuccareach.health.servers import has_ended

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.state import Gateway
    from yuccareach.quarantine.table import TrackedAttempt

# While an open attempt is waited for, its server is probed this often. Each probe opens
# a connection.
MAX_PROBE_AGE_S = 1.0


async def record_broken_attempt(
    gateway: Gateway, attempt: TrackedAttempt, backends: Iterable[Backend]
) -> None:
    """Count a loss if one of these servers has crashed under an attempt.

    A server that refuses connections has crashed. A loss of one that does not answer is
    pending until it refuses or a later incarnation is in its place.
    """
    servers = list(backends)
    for backend in add_pending_losses(gateway, attempt, servers):
        if has_ended(backend.health):
            confirm_crash(gateway, backend)
    await asyncio.gather(
        *(seek_end_proof(gateway, backend, 0.0) for backend in servers)
    )


async def seek_end_proof(
    gateway: Gateway, backend: Backend, max_age_s: float = MAX_PROBE_AGE_S
) -> bool:
    """Return whether it is shown that a server has ended.

    It is probed first unless it was probed within max_age_s.
    """
    now_s = gateway.now()
    if (
        not gateway.fleet.has_ended(backend)
        and now_s - backend.last_probe_s >= max_age_s
    ):
        backend.last_probe_s = now_s
        await probe_backend(gateway, backend)
    return gateway.fleet.has_ended(backend)


__all__ = ["record_broken_attempt", "seek_end_proof"]

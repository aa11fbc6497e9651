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
    await asyncio.gather(*(seek_end_proof(gateway, backend) for backend in servers))


async def seek_end_proof(gateway: Gateway, backend: Backend) -> bool:
    """Return whether it is shown that a server has ended, after a probe if needed."""
    if not gateway.fleet.has_ended(backend):
        await probe_backend(gateway, backend)
    return gateway.fleet.has_ended(backend)


__all__ = ["record_broken_attempt", "seek_end_proof"]

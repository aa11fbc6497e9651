"""Telling a backend server's crash from the other reasons for a failed attempt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccareach.gateway.losses import add_pending_losses, confirm_crash
from yuccareach.gateway.probes import probe_backend

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
    pending until it refuses or departs.
    """
    suspects = add_pending_losses(gateway, attempt, backends)
    for backend in suspects:
        if backend.is_refusing:
            confirm_crash(gateway, backend)
    await asyncio.gather(
        *(
            probe_backend(gateway, backend)
            for backend in suspects
            if backend.is_connectable
        )
    )


__all__ = ["record_broken_attempt"]

"""Finding a lost stage by connecting to it, sooner than its neighbours report it.

A stage that crashed refuses connections at once; one that fell silent does not answer.
Both show within some ten milliseconds, so that a stream can go on over another stage
before its caller notices a pause.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.chains import Chain
    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.streams import StreamRun

# A connection within a region is made within a few milliseconds.
CONNECT_TIMEOUT_S = 0.04
# A lost packet is no lost server.
TRIES = 2
# What was found of a server holds this long.
PROBE_INTERVAL_S = 0.12
# A stream is suspected after this many of its usual pauses, or this long.
USUAL_PAUSES = 2.2
LEAST_PAUSE_S = 0.06


def suspected(run: StreamRun, now_s: float) -> bool:
    """Return whether a stream that has flowed has paused for unusually long."""
    if not run.attempt_events or run.pause_s is None:
        return False
    quiet_s = now_s - run.progress_s
    return quiet_s > max(LEAST_PAUSE_S, USUAL_PAUSES * run.pause_s)


async def find_lost(gateway: Gateway, chain: Chain) -> list[Backend]:
    """Return the servers of a chain that cannot be connected to, each probed rarely."""
    now_s = gateway.now()
    due = [
        part.backend
        for part in chain.parts
        if now_s - part.backend.probed_s > PROBE_INTERVAL_S
    ]
    for backend in due:
        backend.probed_s = now_s
    answers = await asyncio.gather(*(_answers(backend) for backend in due))
    lost = [item for item, answer in zip(due, answers, strict=True) if not answer]
    for backend in lost:
        backend.lost(gateway.now())
        gateway.log(
            "stage_lost",
            backend_server=backend.name,
            address=backend.announced.address,
            members=gateway.fleet.version,
        )
    return lost


async def _answers(backend: Backend) -> bool:
    """Return whether a server accepts connections."""
    for _ in range(TRIES):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await backend.pool.connect()
        except TimeoutError:
            continue
        except OSError:
            return False
        backend.pool.keep_fresh(connection)
        return True
    return False


__all__ = ["find_lost", "suspected"]

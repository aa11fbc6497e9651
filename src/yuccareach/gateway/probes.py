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
    from yuccareach.gateway.stream_run import StreamRun

# A connection within a region is made within a few milliseconds.
CONNECT_TIMEOUT_S = 0.04
# A lost packet is no lost server.
TRIES = 2
# A timer that fires later than this shows that the process itself was held up.
OWN_DELAY_S = 0.02
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
    """Return whether a server accepts connections, in doubt True.

    Where a wait took far longer than it should, this process was held up itself, and
    nothing is known of the server.
    """
    loop = asyncio.get_running_loop()
    for _ in range(TRIES):
        begun_s = loop.time()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await backend.pool.connect()
        except TimeoutError:
            if loop.time() - begun_s > CONNECT_TIMEOUT_S + OWN_DELAY_S:
                return True
            continue
        except OSError:
            return False
        backend.pool.keep_fresh(connection)
        return True
    return False


__all__ = ["OWN_DELAY_S", "find_lost", "suspected"]

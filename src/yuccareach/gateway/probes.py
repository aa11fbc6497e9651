"""Finding a lost backend server by connecting to it, sooner than others report it.

A stage that crashed refuses connections at once; one that fell silent does not answer.
Both show within some ten milliseconds, so that a stream can go on over another stage
before its caller notices a pause.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

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
# A server that took no connection is tried again after this long.
RETRY_INTERVAL_S = 0.25
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
    return await probe(gateway, [part.backend for part in chain.parts])


async def probe(gateway: Gateway, backends: Iterable[Backend]) -> list[Backend]:
    """Connect to servers that were not probed lately; returns those that are lost."""
    now_s = gateway.now()
    due = [item for item in backends if now_s - item.probed_s > PROBE_INTERVAL_S]
    for backend in due:
        backend.probed_s = now_s
    answers = await asyncio.gather(*(_answers(backend) for backend in due))
    lost = []
    for backend, answer in zip(due, answers, strict=True):
        if answer:
            _note_answer(gateway, backend)
        elif answer is not None:
            _note_silence(gateway, backend)
            lost.append(backend)
    return lost


def _note_silence(gateway: Gateway, backend: Backend) -> None:
    if backend.connectable:
        gateway.log(
            "stage_lost",
            backend_server=backend.name,
            address=backend.announced.address,
            members=gateway.fleet.version,
        )
    backend.connect_failed(gateway.now())


def _note_answer(gateway: Gateway, backend: Backend) -> None:
    if not backend.connectable:
        gateway.log("backend_server_regained", backend_server=backend.name)
    backend.connected()


async def watch_unconnectable(gateway: Gateway) -> None:
    """Try the members that took no connection again, until they do or depart."""
    while True:
        await asyncio.sleep(RETRY_INTERVAL_S)
        if gone := gateway.fleet.unconnectable():
            await probe(gateway, gone)


async def _answers(backend: Backend) -> bool | None:
    """Return whether a server accepts connections; None where that is not known.

    Where a wait took far longer than it should, this process was held up itself.
    """
    loop = asyncio.get_running_loop()
    for _ in range(TRIES):
        begun_s = loop.time()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await backend.pool.connect()
        except TimeoutError:
            if loop.time() - begun_s > CONNECT_TIMEOUT_S + OWN_DELAY_S:
                return None
            continue
        except OSError:
            return False
        backend.pool.add_unused(connection)
        return True
    return False


__all__ = ["OWN_DELAY_S", "find_lost", "probe", "suspected", "watch_unconnectable"]

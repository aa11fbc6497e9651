"""Connection probes, which find a lost backend server before others report it.

A stage that crashed refuses connections at once; one that is cut off does not answer.
Both show within some ten milliseconds, so that a stream can continue over another stage
before its caller notices a pause. Only the refusal proves that a server has ended.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccareach.gateway.backends import ProbeResult
from yuccareach.gateway.http_client import TIMER_DELAY_THRESHOLD_S
from yuccareach.gateway.losses import confirm_crash
from yuccareach.gateway.server_calls import request_report
from yuccareach.health.servers import record_contact

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.chains import Chain
    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.stream_run import StreamRun

# A connection within a region is made within a few milliseconds.
CONNECT_TIMEOUT_S = 0.04
# A single lost packet must not make a server count as lost.
MAX_CONNECT_ATTEMPTS = 2
# Time to read an answer that came while this process was delayed.
LATE_ANSWER_TIMEOUT_S = 0.01
# The result of a probe stays valid for this long.
PROBE_INTERVAL_S = 0.12
# A server that accepted no connection is probed again after this long.
RECONNECT_INTERVAL_S = 0.25
# A server that leaves requests unanswered is sent one request for a report at a time,
# which it answers when its silence ends.
RECONTACT_TIMEOUT_S = 2.0
# A stream is suspiciously idle after this many of its typical pauses between events,
# but not before this time.
SUSPICIOUS_PAUSE_FACTOR = 2.2
MIN_SUSPICIOUS_PAUSE_S = 0.06
# Without an event yet, the stages of an attempt are probed once, after this fraction of
# its route's objective: early enough to start over another chain within the objective,
# and several times later than a first event usually comes.
START_PROBE_FRACTION = 0.5


def is_suspiciously_idle(run: StreamRun, now_s: float) -> bool:
    """Return whether a stream with events is idle for unusually long."""
    if not run.attempt_events or run.typical_pause_s is None:
        return False
    idle_s = now_s - run.last_progress_s
    return idle_s > max(
        MIN_SUSPICIOUS_PAUSE_S, SUSPICIOUS_PAUSE_FACTOR * run.typical_pause_s
    )


def is_start_overdue(run: StreamRun, now_s: float) -> bool:
    """Return whether the first event of an attempt is late, and no stage was probed."""
    limit_s = START_PROBE_FRACTION * run.admitted.route.objective_ms / 1000
    return (
        not run.attempt_events
        and run.probed_request is not run.backend_request
        and now_s - run.last_progress_s > limit_s
    )


async def find_lost_backends(gateway: Gateway, chain: Chain) -> list[Backend]:
    """Probe the servers of a chain and return those that accept no connection.

    Servers that were probed within PROBE_INTERVAL_S are left out.
    """
    return await probe_backends(gateway, [stage.backend for stage in chain.stages])


async def probe_backends(
    gateway: Gateway, backends: Iterable[Backend]
) -> list[Backend]:
    """Probe servers and return those that accept no connection.

    Servers that were probed within PROBE_INTERVAL_S are left out, and so are servers
    whose probe gave no result.
    """
    now_s = gateway.now()
    due_backends = [
        item for item in backends if now_s - item.last_probe_s > PROBE_INTERVAL_S
    ]
    for backend in due_backends:
        backend.last_probe_s = now_s
    results = await asyncio.gather(
        *(probe_backend(gateway, backend) for backend in due_backends)
    )
    return [
        backend
        for backend, result in zip(due_backends, results, strict=True)
        if result in (ProbeResult.REFUSED, ProbeResult.SILENT)
    ]


async def probe_backend(gateway: Gateway, backend: Backend) -> ProbeResult:
    """Probe a server, or wait for the probe that is in progress."""
    if backend.probe is None or backend.probe.done():
        backend.probe = asyncio.ensure_future(_probe(gateway, backend))
    return await asyncio.shield(backend.probe)


async def _probe(gateway: Gateway, backend: Backend) -> ProbeResult:
    result = await _try_to_connect(backend)
    if result is ProbeResult.REACHABLE:
        _record_reachable(gateway, backend)
        if not gateway.fleet.is_current(backend):
            backend.pool.close()
    elif result is not ProbeResult.UNKNOWN:
        _record_unreachable(gateway, backend, result)
    if result is ProbeResult.REFUSED:
        confirm_crash(gateway, backend)
    return result


def _record_unreachable(
    gateway: Gateway, backend: Backend, result: ProbeResult
) -> None:
    if backend.is_connectable:
        gateway.log(
            "stage_lost",
            backend_server=backend.name,
            address=backend.announcement.address,
            reason=str(result),
            members=gateway.fleet.version,
        )
        gateway.suspect_found.set()
    refused = result is ProbeResult.REFUSED
    backend.record_connect_failure(gateway.now(), refused=refused)


def _record_reachable(gateway: Gateway, backend: Backend) -> None:
    if not backend.is_connectable:
        gateway.log("backend_server_regained", backend_server=backend.name)
    backend.record_connect_success()


async def retry_unreachable_backends(gateway: Gateway) -> None:
    """Probe the members that are silent or have ended until they answer or depart.

    Departed servers that may have crashed are probed too, as long as that would count.
    """
    while True:
        await asyncio.sleep(RECONNECT_INTERVAL_S)
        departed_suspects = [
            backend
            for backend in gateway.fleet.suspect_by_incarnation.values()
            if not gateway.fleet.is_current(backend)
        ]
        for backend in gateway.fleet.find_unanswering():
            if not backend.is_recontacted:
                backend.is_recontacted = True
                gateway.start_background_task(_recontact(gateway, backend))
        unconnectable = gateway.fleet.find_unconnectable()
        if due_backends := [*unconnectable, *departed_suspects]:
            await probe_backends(gateway, due_backends)


async def _recontact(gateway: Gateway, backend: Backend) -> None:
    """Request a report from a silent server, and wait for the end of its silence."""
    report = await request_report(gateway, backend, RECONTACT_TIMEOUT_S)
    backend.is_recontacted = False
    if report is not None:
        record_contact(backend.health)
        gateway.log("backend_server_regained", backend_server=backend.name)


async def _try_to_connect(backend: Backend) -> ProbeResult:
    """Try to connect to a server; a connection that is made is kept for requests.

    The result is unknown if a timeout fired far too late and no later attempt had a
    result, since this process itself was delayed then.
    """
    loop = asyncio.get_running_loop()
    was_delayed = False
    for _ in range(MAX_CONNECT_ATTEMPTS):
        started_s = loop.time()
        attempt = asyncio.ensure_future(backend.pool.connect())
        try:
            await asyncio.wait((attempt,), timeout=CONNECT_TIMEOUT_S)
            elapsed_s = loop.time() - started_s
            is_late = elapsed_s > CONNECT_TIMEOUT_S + TIMER_DELAY_THRESHOLD_S
            if is_late and not attempt.done():
                # An answer that came during the delay has not been read yet.
                await asyncio.wait((attempt,), timeout=LATE_ANSWER_TIMEOUT_S)
            if attempt.done():
                backend.pool.add_unused(attempt.result())
                return ProbeResult.REACHABLE
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except OSError:
            return ProbeResult.SILENT
        finally:
            attempt.cancel()
        was_delayed |= is_late
    return ProbeResult.UNKNOWN if was_delayed else ProbeResult.SILENT


__all__ = [
    "find_lost_backends",
    "is_start_overdue",
    "is_suspiciously_idle",
    "probe_backend",
    "probe_backends",
    "retry_unreachable_backends",
]

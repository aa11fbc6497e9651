"""Streams that have stopped: finding the cause and carrying them on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.chains import Chain, find_chain
from yuccareach.gateway.http_client import call_backend
from yuccareach.gateway.paces import due_again, measure
from yuccareach.gateway.probes import OWN_DELAY_S, find_lost, suspected
from yuccareach.gateway.stream_run import StreamRun, describe, stages

if TYPE_CHECKING:
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.state import Gateway

# A pause that callers notice is not much longer than the time to end one.
WATCH_INTERVAL_S = 0.02
# A stream is looked into after this many of its longest good pauses without an event.
PAUSES_PATIENT = 1.5
# The first event has to read the prompt first.
OBJECTIVES_PATIENT = 1.2
ASK_TIMEOUT_S = 0.4
# An order is answered within some ten milliseconds, or was not heard. It states the
# whole chain, so it may be repeated; then on a new connection.
ORDER_TIMEOUTS_S = (0.12, 0.38)
LEAST_PAUSE_S = 0.2
# Time for new stages to read all tokens so far, before the stream is looked into again.
REPAIR_PATIENCE_S = 0.6
REROUTES_MOST = 3


async def watch_streams(gateway: Gateway) -> None:
    """Look into streams that have stopped, and those whose chain has lost a part."""
    while True:
        due_s = gateway.now() + WATCH_INTERVAL_S
        await asyncio.sleep(WATCH_INTERVAL_S)
        if not gateway.streams:
            continue
        _forgive_own_delay(gateway, gateway.now() - due_s)
        for queue in gateway.queue_by_service.values():
            queue.pump(gateway.now())
        if again := due_again(gateway):
            gateway.start_background_task(measure(gateway, again))
        open_runs = [
            run
            for run in gateway.streams
            if run.sent is not None and run.chain is not None and not run.repairing
        ]
        _probe_suspects(gateway, open_runs)
        _repair_stopped(gateway, open_runs)


def _forgive_own_delay(gateway: Gateway, late_s: float) -> None:
    """Do not count against streams what held this process up itself."""
    if late_s > OWN_DELAY_S:
        now_s = gateway.now()
        for run in gateway.streams:
            run.progress_s = min(now_s, run.progress_s + late_s + LEAST_PAUSE_S)


def _probe_suspects(gateway: Gateway, runs: list[StreamRun]) -> None:
    """Connect to the stages of streams that have paused for unusually long."""
    now_s = gateway.now()
    chain_by_parts = {
        run.chain.parts: run.chain
        for run in runs
        if run.chain is not None and suspected(run, now_s)
    }
    for chain in chain_by_parts.values():
        gateway.start_background_task(find_lost(gateway, chain))


def _repair_stopped(gateway: Gateway, runs: list[StreamRun]) -> None:
    stopped: dict[str, list[StreamRun]] = {}
    for run in runs:
        if run.sent is not None and _stopped(gateway, run):
            stopped.setdefault(run.sent.backend.name, []).append(run)
    for group in stopped.values():
        for run in group:
            run.repairing = True
        gateway.start_background_task(_look_into(gateway, group))


def _stopped(gateway: Gateway, run: StreamRun) -> bool:
    quiet_s = gateway.now() - run.progress_s
    route = run.admitted.route
    if run.attempt_events:
        limit_s = max(LEAST_PAUSE_S, PAUSES_PATIENT * route.gap_objective_ms / 1000)
    else:
        limit_s = OBJECTIVES_PATIENT * route.objective_ms / 1000
    return quiet_s > limit_s or _lost_part(gateway, run) is not None


def _lost_part(gateway: Gateway, run: StreamRun) -> Backend | None:
    """Return a backend server of the chain that is gone or cannot be reached.

    One that is only silent towards control goes on serving: it is not lost while events
    of its stream come as usual.
    """
    now_s = gateway.now()
    flows = run.attempt_events and not suspected(run, now_s)
    for part in run.chain.parts if run.chain else ():
        backend = part.backend
        gone = not gateway.fleet.current(backend) and not flows
        if gone or backend.unreachable(now_s):
            return backend
    return None


async def _look_into(gateway: Gateway, runs: list[StreamRun]) -> None:
    """Ask the first backend server of some streams what they wait for."""
    first = runs[0].sent.backend if runs[0].sent else None
    try:
        if first is None:
            return
        known = all(_lost_part(gateway, run) is not None for run in runs)
        stalled = {} if known else await _ask_stalled(gateway, first)
        await asyncio.gather(
            *(
                _treat(gateway, run, first, stalled)
                for run in runs
                if run.sent is not None and run.sent.backend is first
            )
        )
    finally:
        for run in runs:
            run.repairing = False


async def _ask_stalled(gateway: Gateway, first: Backend) -> dict[bytes, str] | None:
    """Return what a backend server says its requests wait for; None without a word."""
    path = gateway.dialect.report_path
    begun_s = gateway.now()
    report = await call_backend(first.pool, b"GET", path, b"", ASK_TIMEOUT_S)
    if report is not None:
        return gateway.dialect.read_stalled_requests(report.body)
    held_up = gateway.now() - begun_s > ASK_TIMEOUT_S + OWN_DELAY_S
    return {} if held_up else None


async def _treat(
    gateway: Gateway,
    run: StreamRun,
    first: Backend,
    stalled: dict[bytes, str] | None,
) -> None:
    """Carry a stream on over other stages, or have it resumed elsewhere."""
    now_s = gateway.now()
    run.progress_s = max(run.progress_s, now_s - LEAST_PAUSE_S)
    if stalled is None:
        first.lost(now_s)
        run.first_lost = True
        _interrupt(gateway, run, "first_stage_silent")
        return
    address = stalled.get(run.admitted.metadata.request_id)
    lost = _lost_part(gateway, run)
    if address is not None:
        lost = gateway.fleet.backend_by_address.get(address, lost)
    if lost is None:
        run.progress_s = now_s
        await _treat_slow(gateway, run, first)
        return
    lost.lost(now_s)
    if lost is first:
        run.first_lost = True
        _interrupt(gateway, run, "first_stage_lost")
        return
    await _reroute(gateway, run, lost)


async def _treat_slow(gateway: Gateway, run: StreamRun, first: Backend) -> None:
    """Find out whether a stage has turned slow, and carry the stream on without it."""
    parts = run.chain.parts if run.chain else ()
    slow = await measure(gateway, [part.backend for part in parts])
    gateway.log(
        "stream_slow",
        request=run.admitted.request_id,
        slow=",".join(backend.name for backend in slow),
    )
    run.excluded.update(backend.announced.incarnation for backend in slow)
    others = [backend for backend in slow if backend is not first]
    if others and run.sent is not None and _find_detour(run, across_zones=False):
        await _reroute(gateway, run, others[0])


def _interrupt(gateway: Gateway, run: StreamRun, reason: str) -> None:
    gateway.log(
        "stream_interrupted",
        request=run.admitted.request_id,
        reason=reason,
        after_event=run.last_event_id,
    )
    if run.sent is not None:
        run.excluded.add(run.sent.backend.announced.incarnation)
    run.interrupted.set()


async def _reroute(gateway: Gateway, run: StreamRun, lost: Backend) -> None:
    """Order the first backend server to go on over other stages."""
    run.excluded.add(lost.announced.incarnation)
    for _ in range(REROUTES_MOST):
        if run.sent is None or run.chain is None:
            return
        detour = _choose_detour(run)
        if detour is None:
            break
        answer = await _order_reroute(gateway, run, run.sent.backend, detour)
        _log_reroute(gateway, run, lost, detour, answer)
        if run.sent is None or answer is None:
            break
        if answer.status < 300:
            run.move(detour)
            run.repairs += 1
            run.progress_s = gateway.now() + REPAIR_PATIENCE_S
            return
        faulty = gateway.fleet.backend_by_address.get(answer.faulty_address)
        if faulty is None:
            break
        faulty.refused(gateway.now())
        run.excluded.add(faulty.announced.incarnation)
    _interrupt(gateway, run, "reroute_failed")


def _choose_detour(run: StreamRun) -> Chain | None:
    """Return the detour to go on over; None where resuming is better, or nothing is.

    A new stage reads all tokens so far. In another zone, their activations would cross
    the link that all streams share, and a lost stage stops many streams at once. So a
    stream rather begins anew over another zone's own stages, if it may.
    """
    detour = _find_detour(run, across_zones=False)
    if detour is not None or _may_resume(run):
        return detour
    return _find_detour(run, across_zones=True)


def _find_detour(run: StreamRun, *, across_zones: bool) -> Chain | None:
    """Return a chain that keeps the first part and avoids what has failed."""
    service = run.admitted.service
    if service.model is None or run.chain is None:
        return None
    head = run.chain.parts[0]
    graph = run.gateway.get_graph(service)
    if head.end_layer not in graph.cuts:
        return None
    demand = run.demand()._replace(across_zones=across_zones)
    return find_chain(graph, service.model, demand, head)


def _may_resume(run: StreamRun) -> bool:
    """Return whether a stream may begin anew within some zone; its repeat is taken."""
    service = run.admitted.service
    if service.model is None or run.chain is None:
        return False
    if not run.may_run_again(run.runs + 1):
        return False
    # It is not sent to the same first stage again, see _interrupt.
    first = run.chain.parts[0].backend.announced.incarnation
    demand = run.demand()
    demand = demand._replace(across_zones=False, excluded=demand.excluded | {first})
    chain = find_chain(run.gateway.get_graph(service), service.model, demand)
    return chain is not None and run.take_repeat()


def _log_reroute(
    gateway: Gateway,
    run: StreamRun,
    lost: Backend,
    detour: Chain,
    answer: OrderAnswer | None,
) -> None:
    gateway.log(
        "stream_rerouted",
        request=run.admitted.request_id,
        lost=lost.name,
        chain=describe(detour),
        quiet_ms=int((gateway.now() - run.event_s) * 1000),
        status=answer.status if answer else None,
        faulty=answer.faulty_address if answer else None,
        after_event=run.last_event_id,
    )


class OrderAnswer(NamedTuple):
    """How a backend server answered an order to carry a request on."""

    status: int
    # The part that is not there or has no room; empty where none is named.
    faulty_address: str


async def _order_reroute(
    gateway: Gateway, run: StreamRun, first: Backend, detour: Chain
) -> OrderAnswer | None:
    """Return the answer to the order, or None without one."""
    dialect = gateway.dialect
    body = dialect.encode_reroute_order(
        run.admitted.metadata.request_id, stages(detour)
    )
    for number, timeout_s in enumerate(ORDER_TIMEOUTS_S):
        answer = await call_backend(
            first.pool,
            b"POST",
            dialect.order_path,
            body,
            timeout_s,
            new_connection=number > 0,
        )
        if answer is not None:
            return OrderAnswer(answer.status, dialect.read_refusal_address(answer.body))
    return None


__all__ = ["watch_streams"]

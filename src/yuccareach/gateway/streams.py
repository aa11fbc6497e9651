"""Streams of events from a chain of backend servers, each event once and in order.

A stream that is broken off is resumed over another chain after the last event that was
delivered, within the same answer.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING

from yuccareach.gateway.admission import Ticket, Waiting
from yuccareach.gateway.admitted_requests import (
    CALLER_LEFT,
    AdmittedRequest,
    Outcome,
    record_outcome,
    send_failure,
    send_refusal,
    strip_connection_headers,
)
from yuccareach.gateway.backend_requests import BackendRequest, send_request
from yuccareach.gateway.chains import Chain, find_chain
from yuccareach.gateway.dialect import ForwardMetadata
from yuccareach.gateway.http_client import Ending, ResponseHead
from yuccareach.gateway.probes import probe
from yuccareach.gateway.sse import EventSplitter
from yuccareach.gateway.stream_run import StreamRun, describe, stages

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccareach.gateway.http_server import Reply
    from yuccareach.gateway.state import Gateway

# Left of the deadline, below which no stream is started or resumed.
LEAST_S = 0.1
# Attempts whose backend server said at once that it did not run the request.
REFUSALS_MOST = 3
MISDIRECTED = 421
# A resumed stream goes before all others: its caller waits in the middle of an answer.
RESUMED_PRIORITY = -1


class Step(StrEnum):
    """How one attempt at a stream ended."""

    DONE = "done"
    NOT_RUN = "not_run"
    # The backend server answered with a failure.
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


async def serve_stream(
    gateway: Gateway, admitted: AdmittedRequest, reply: Reply
) -> None:
    """Serve a stream over one chain, or over several in turn."""
    run = StreamRun(gateway, admitted, reply)
    gateway.streams.add(run)
    try:
        outcome = await _run(run)
    except asyncio.CancelledError:
        _record(run, CALLER_LEFT)
        raise
    finally:
        run.let_go()
        gateway.streams.discard(run)
    _record(run, outcome)


def _record(run: StreamRun, outcome: Outcome) -> None:
    record_outcome(
        run.gateway, run.admitted, outcome, run.tries, run.events, run.first_event_s
    )


async def _run(run: StreamRun) -> Outcome:
    may_have_run = False
    refusals = 0
    while True:
        if run.admitted.deadline_s - run.gateway.now() < LEAST_S:
            return _give_up(run, may_have_run, 504, "deadline")
        if run.tries and not run.take_repeat():
            return _give_up(run, may_have_run, 502, "over_budget")
        chain = await _wait_for_chain(run)
        if chain is None:
            return _give_up(run, may_have_run, 502, "no_room")
        run.tries += 1
        run.repeat_taken = False
        step = await _attempt(run, chain)
        if step is Step.DONE:
            return Outcome(200, "answered")
        if step is Step.TIMED_OUT:
            return _give_up(run, True, 504, "deadline")
        if step is Step.NOT_RUN:
            run.queue.withdraw(run.tokens)
            refusals += 1
            if refusals >= REFUSALS_MOST and not run.reply.has_started:
                return _give_up(run, may_have_run, 502, "full")
            continue
        may_have_run = True
        # A backend server that is gone does not count against the route's attempts.
        run.runs += not run.first_lost
        if not run.may_run_again(run.runs):
            return _give_up(run, True, 502, "broken")


def _choose(run: StreamRun) -> Chain | None:
    """Return a chain within one zone, or across zones where none is whole.

    Where a zone is only full, waiting is better than the link between zones.
    """
    service, gateway = run.admitted.service, run.gateway
    if service.model is None:
        return None
    graph = gateway.get_graph(service)
    demand = run.demand()
    if not graph.whole_zones and not gateway.is_awaiting_members:
        return find_chain(graph, service.model, demand)
    return find_chain(graph, service.model, demand._replace(across_zones=False))


async def _wait_for_chain(run: StreamRun) -> Chain | None:
    """Return a chain that counts the request, once there is one; None if too late."""
    chain = None if run.queue.waiting_by_number else _choose(run)
    if chain is not None:
        run.hold(chain)
        return chain
    ticket = _ticket(run)
    now_s = run.gateway.now()
    hopeful = run.reply.has_started or run.gateway.is_awaiting_members
    closed = run.gateway.estimate_coverage_gap_s(run.admitted.service) > 0
    if not hopeful and (closed or not run.queue.should_wait(ticket, now_s)):
        run.gateway.log(
            "refused_for_want_of_room",
            request=run.admitted.request_id,
            tokens=run.tokens,
            ahead=run.queue.tokens_ahead(ticket),
            expected_wait_s=run.queue.expected_wait_s(ticket, now_s),
            closed=closed,
        )
        return None
    granted: asyncio.Future[Chain | None] = asyncio.get_running_loop().create_future()

    def _find_room() -> Chain | None:
        found = _choose(run)
        if found is not None:
            run.hold(found)
        return found

    run.queue.add(Waiting(ticket, _find_room, granted))
    try:
        run.queue.pump(now_s)
        return await granted
    finally:
        run.queue.remove(ticket)


def _ticket(run: StreamRun) -> Ticket:
    route, workspace = run.admitted.route, run.admitted.workspace
    urgent = workspace.priority if workspace else None
    priority = route.priority if urgent is None else urgent
    arrived_s = run.admitted.request.received_s
    if run.reply.has_started:
        priority, arrived_s = RESUMED_PRIORITY, run.event_s
    return Ticket(
        number=id(run),
        workspace=run.workspace,
        priority=priority,
        tokens=run.tokens,
        arrived_s=arrived_s,
        objective_s=route.objective_ms / 1000,
    )


def _give_up(run: StreamRun, may_have_run: bool, status: int, reason: str) -> Outcome:
    """End the answer: cut short, as failed, or as not run with a time to return."""
    reply = run.reply
    if reply.has_started:
        return send_failure(reply, status, reason)
    if not may_have_run:
        closed_s = run.gateway.estimate_coverage_gap_s(run.admitted.service)
        retry_s = run.queue.retry_after_s(_ticket(run), run.gateway.now(), closed_s)
        return send_refusal(reply, retry_s, reason)
    if run.head is not None and run.head.metadata.is_signed:
        reply.send(
            run.head.status, strip_connection_headers(run.head), run.failure_body
        )
        return Outcome(run.head.status, "answered_failure")
    return send_failure(reply, status, reason)


async def _attempt(run: StreamRun, chain: Chain) -> Step:
    """Run a stream over one chain until it ends, breaks or is interrupted."""
    gateway, admitted = run.gateway, run.admitted
    remaining_s = admitted.deadline_s - gateway.now()
    first = chain.parts[0].backend
    facts = ForwardMetadata(
        int(remaining_s * 1000),
        first.name,
        admitted.workspace.name if admitted.workspace else None,
        stages(chain),
        run.last_event_id,
        None,
    )
    run.splitter = EventSplitter()
    run.interrupted.clear()
    run.first_lost = False
    run.progress_s = gateway.now()
    _log_attempt(run, chain)
    try:
        run.sent = await send_request(gateway, admitted, first, facts, _sink(run))
        if run.sent is None:
            run.excluded.add(first.announced.incarnation)
            return Step.NOT_RUN
        try:
            return await _await_end(run, run.sent, remaining_s)
        finally:
            run.sent.release()
    finally:
        run.let_go()
        run.sent = None


def _sink(run: StreamRun) -> Callable[[bytes], None]:
    """Return what takes the body: events of a success, bytes of a failure."""
    failure: list[bytes] = []

    def _take(data: bytes) -> None:
        sent = run.sent
        head = sent.exchange.head.result() if sent else None
        if head is not None and head.status == 200 and head.metadata.is_signed:
            run.take_data(data)
        else:
            failure.append(data)
            run.failure_body = b"".join(failure)

    return _take


async def _await_end(run: StreamRun, sent: BackendRequest, remaining_s: float) -> Step:
    interrupted = asyncio.ensure_future(run.interrupted.wait())
    try:
        done, _ = await asyncio.wait(
            (sent.exchange.ended, interrupted),
            timeout=remaining_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        interrupted.cancel()
    if not done:
        return Step.TIMED_OUT
    if sent.exchange.ended not in done:
        return Step.BROKEN
    return _judge(run, sent, sent.exchange.ended.result())


def _judge(run: StreamRun, sent: BackendRequest, ending: Ending) -> Step:
    """Decide what an ended exchange means for the stream."""
    head = sent.exchange.head.result()
    now_s = run.gateway.now()
    whole = ending is Ending.COMPLETE and head is not None
    if whole and head is not None and head.status == 200 and head.metadata.is_signed:
        if not run.splitter.get_remainder():
            for part in run.chain.parts if run.chain else ():
                part.backend.succeeded()
            if not run.reply.has_started:
                run.reply.start(head.status, strip_connection_headers(head))
            run.reply.finish()
            return Step.DONE
    _log_failure(run, sent, ending, head)
    if whole and head is not None and head.metadata.has_not_run:
        _blame(run, sent, head, now_s)
        return Step.NOT_RUN
    if whole and head is not None and head.status != 200 and head.metadata.is_signed:
        run.head = head
        return Step.FAILED
    sent.backend.failed(now_s)
    run.excluded.add(sent.backend.announced.incarnation)
    return Step.BROKEN


def _blame(
    run: StreamRun, sent: BackendRequest, head: ResponseHead, now_s: float
) -> None:
    """Avoid the backend server that a refusal names, or the one that refused."""
    address = head.metadata.faulty_address or sent.backend.announced.address
    faulty = run.gateway.fleet.backend_by_address.get(address, sent.backend)
    if head.status == MISDIRECTED:
        # It is another incarnation, or holds other layers than control knows of.
        run.excluded.add(faulty.announced.incarnation)
        faulty.lost(now_s)
    else:
        faulty.refused(now_s)
        if faulty is not sent.backend:
            # It is full or gone, which the refusal does not tell apart.
            run.gateway.start_background_task(probe(run.gateway, [faulty]))


def _log_attempt(run: StreamRun, chain: Chain) -> None:
    run.gateway.log(
        "stream_sent",
        request=run.admitted.request_id,
        attempt=run.tries,
        chain=describe(chain),
        token_ms=round(chain.token_ms, 2),
        members=run.gateway.fleet.version,
        after_event=run.last_event_id,
    )


def _log_failure(
    run: StreamRun, sent: BackendRequest, ending: Ending, head: ResponseHead | None
) -> None:
    run.gateway.log(
        "attempt_failed",
        request=run.admitted.request_id,
        backend_server=sent.backend.name,
        ending=str(ending),
        status=head.status if head else 0,
        not_run=bool(head and head.metadata.has_not_run),
        faulty=head.metadata.faulty_address if head else None,
        after_event=run.last_event_id,
    )


__all__ = ["serve_stream"]

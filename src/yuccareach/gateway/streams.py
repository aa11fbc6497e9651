"""Streams of events from a chain of backend servers, each event once and in order.

If an attempt ends early, the stream is resumed over another chain after the last event
that was delivered, within the same response to the caller.
"""

from __future__ import annotations

import asyncio
import math
from enum import StrEnum
from typing import TYPE_CHECKING

from yuccareach.gateway.admission import Ticket, WaitingRequest
from yuccareach.gateway.admitted_requests import (
    LIMITED,
    QUARANTINED,
    SHUT_DOWN,
    SHUT_DOWN_RETRY_DELAY_S,
    AdmittedRequest,
    Outcome,
    end_cancelled,
    record_outcome,
    send_failure,
    send_refusal,
    strip_connection_headers,
)
from yuccareach.gateway.backend_requests import BackendRequest, send_request
from yuccareach.gateway.chain_choice import MIN_REMAINING_S, choose_chain
from yuccareach.gateway.chains import Chain
from yuccareach.gateway.crashes import record_broken_attempt
from yuccareach.gateway.dialect import ForwardMetadata
from yuccareach.gateway.http_client import Ending, ResponseHead
from yuccareach.gateway.losses import (
    add_pending_losses,
    compute_refusal_s,
    log_refusal,
    record_answer,
)
from yuccareach.gateway.probes import probe_backend
from yuccareach.gateway.server_limits import (
    estimate_interval_s,
    plan_return_s,
)
from yuccareach.gateway.sse import EventSplitter
from yuccareach.gateway.stream_run import StreamRun, format_chain, to_dialect_stages
from yuccareach.gateway.suspects import must_wait_apart
from yuccareach.overload.streams import (
    build_ticket,
    compute_headroom,
    find_load,
    find_search_key,
    plan_retry_after_s,
    record_arrival,
)
from yuccareach.quarantine.fingerprints import format_fingerprints

if TYPE_CHECKING:
    from yuccareach.gateway.http_server import Reply
    from yuccareach.gateway.state import Gateway

# After this many attempts that backend servers refused to run, the stream is refused.
MAX_REFUSALS = 3
MISDIRECTED_STATUS = 421
# Interval between requests to the retry budget for a stream that has left an attempt
# that might have gone on.
BUDGET_CHECK_INTERVAL_S = 0.1
# An answer is rarely this many times as long as its caller expects, and its tokens
# rarely take this many times as long as estimated of the chain.
MAX_LENGTH_FACTOR = 2.0
MAX_TOKEN_TIME_FACTOR = 1.5


class AttemptResult(StrEnum):
    """How one attempt at a stream ended."""

    DONE = "done"
    NOT_RUN = "not_run"
    # The backend server answered with a failure of its own.
    FAILED = "failed"
    # The answer was incomplete or invalid, or this entry interrupted the attempt.
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


async def serve_stream(
    gateway: Gateway, admitted: AdmittedRequest, reply: Reply
) -> None:
    """Serve a stream over one chain, or over several in turn after failures."""
    run = StreamRun(gateway, admitted, reply)
    gateway.streams.add(run)
    try:
        outcome = await _run_attempts(run)
    except asyncio.CancelledError:
        _record_outcome(run, end_cancelled(reply, may_have_run=run.attempts > 0))
        raise
    finally:
        run.release_chain()
        run.release_next_chain()
        run.cancel_reservation()
        gateway.streams.discard(run)
    _record_outcome(run, outcome)


def _record_outcome(run: StreamRun, outcome: Outcome) -> None:
    record_outcome(
        run.gateway,
        run.admitted,
        outcome,
        run.attempts,
        run.delivered_events,
        run.first_event_s,
    )


async def _run_attempts(run: StreamRun) -> Outcome:
    may_have_run = False
    refusals = 0
    while True:
        if run.admitted.deadline_s - run.gateway.now() < MIN_REMAINING_S:
            return _end_unserved(run, may_have_run, 504, "deadline")
        if run.attempts and compute_refusal_s(run.gateway, run.admitted):
            return _end_unserved(run, may_have_run, 502, QUARANTINED)
        if run.attempts and not run.reserve_retry():
            if run.has_left_open_attempt:
                await asyncio.sleep(BUDGET_CHECK_INTERVAL_S)
                continue
            return _end_unserved(run, may_have_run, 502, "over_budget")
        chain = run.take_next_chain() or await _wait_for_chain(run)
        if chain is None and run.has_left_open_attempt:
            continue
        if chain is None:
            is_refused = compute_refusal_s(run.gateway, run.admitted) > 0
            reason = QUARANTINED if is_refused else "no_room"
            return _end_unserved(run, may_have_run, 502, reason)
        if not may_have_run and _may_outlast_shutdown(run, chain):
            run.queue.withdraw_grant(run.tokens)
            return send_refusal(run.reply, SHUT_DOWN_RETRY_DELAY_S, SHUT_DOWN)
        run.attempts += 1
        run.retry_reserved = False
        result = await _run_attempt(run, chain)
        await _count_losses(run, result)
        if result is AttemptResult.DONE:
            return Outcome(200, "answered")
        if result is AttemptResult.TIMED_OUT:
            return _end_unserved(run, True, 504, "deadline")
        if result is AttemptResult.NOT_RUN:
            run.queue.withdraw_grant(run.tokens)
            if run.named_backend is not None:
                # The refusal does not tell whether the named server is full or gone.
                await probe_backend(run.gateway, run.named_backend)
                run.named_backend = None
            refusals += 1
            must_go_on = run.reply.has_started or run.has_left_open_attempt
            if refusals >= MAX_REFUSALS and not must_go_on:
                return _end_unserved(run, may_have_run, 502, "full")
            continue
        may_have_run = True
        run.leave(run.last_chain.stages[0].backend)
        if not run.can_retry():
            return _end_unserved(run, True, 502, "broken")


def _may_outlast_shutdown(run: StreamRun, chain: Chain) -> bool:
    """Return whether a stream that starts now might be cut by a shutdown under way.

    Another gateway can serve it whole.
    """
    metadata = run.admitted.metadata
    likely_tokens = MAX_LENGTH_FACTOR * metadata.expected_answer_tokens
    tokens = min(likely_tokens, metadata.max_answer_tokens)
    duration_s = MAX_TOKEN_TIME_FACTOR * tokens * chain.token_ms / 1000
    return run.gateway.now() + duration_s > run.gateway.shutdown_s


async def _count_losses(run: StreamRun, result: AttemptResult) -> None:
    """Record a complete answer or possible losses of the attempt that has ended.

    An answer during which a later stage was lost does not show that the request is
    harmless. Such a loss is counted when it is detected as a stall, but the attempt may
    also end by it.
    """
    if result in (AttemptResult.DONE, AttemptResult.FAILED):
        if not run.later_stage_lost:
            record_answer(run.gateway, run.tracked_attempt)
            if result is AttemptResult.DONE:
                run.prove_parts()
    elif result in (AttemptResult.BROKEN, AttemptResult.TIMED_OUT):
        backends = [stage.backend for stage in run.last_chain.stages]
        add_pending_losses(run.gateway, run.lost_attempt, backends)
        if result is AttemptResult.BROKEN:
            await record_broken_attempt(run.gateway, run.lost_attempt, backends[:1])


async def _wait_for_chain(run: StreamRun) -> Chain | None:
    """Wait for a chain and reserve capacity at it.

    Return None if no chain is likely to be free before the caller gives up, or if none
    was free in time.
    """
    record_arrival(run)
    ticket = build_ticket(run)
    must_queue = run.queue.has_waiting_before(ticket.priority) or must_wait_apart(run)
    chain = None if must_queue else choose_chain(run)
    if chain is not None:
        run.reserve(chain)
        return chain
    now_s = run.gateway.now()
    is_closed = _is_closed(run)
    should_wait = not is_closed and _should_wait(run, ticket, now_s)
    if not should_wait and not _must_wait(run):
        _log_refusal(run, ticket, closed=is_closed)
        return None
    run.granted = granted = asyncio.get_running_loop().create_future()

    def _reserve_capacity() -> Chain | None:
        found_chain = choose_chain(run)
        if found_chain is not None:
            run.reserve(found_chain)
        elif _is_closed(run) and not _must_wait(run):
            granted.set_result(None)
        return found_chain

    run.queue.add(
        WaitingRequest(
            ticket,
            _reserve_capacity,
            granted,
            lambda: must_wait_apart(run),
            lambda: find_search_key(run),
        )
    )
    run.gateway.registry.count("queued_streams", "waited")
    try:
        run.queue.grant_capacity(now_s)
        chain = await granted
    finally:
        run.granted = None
        run.queue.remove(ticket)
    if chain is None:
        _log_refusal(run, ticket, closed=_is_closed(run))
    return chain


def _log_refusal(run: StreamRun, ticket: Ticket, *, closed: bool) -> None:
    """Log that a stream gets no capacity, and what has got it lately in its place."""
    gateway, queue, now_s = run.gateway, run.queue, run.gateway.now()
    load = find_load(gateway, run.admitted.service)
    waiting_elsewhere = queue.demand.get_waiting_elsewhere(now_s)
    gateway.registry.count("queued_streams", "refused")
    gateway.log(
        "refused_for_want_of_room",
        request=run.admitted.request_id,
        priority=ticket.priority,
        tokens=run.tokens,
        ahead=queue.count_tokens_ahead(ticket),
        ahead_elsewhere=sum(
            tokens
            for priority, tokens in waiting_elsewhere.items()
            if priority <= ticket.priority
        ),
        expected_wait_s=queue.estimate_wait_s(ticket, now_s, load),
        waited_s=round(now_s - ticket.arrived_s, 3),
        headroom=round(compute_headroom(run), 3),
        granted=queue.demand.format_granted(),
        closed=closed,
    )


def _should_wait(run: StreamRun, ticket: Ticket, now_s: float) -> bool:
    """Return whether a chain is likely in time, by the limits of servers if any."""
    interval_s = estimate_interval_s(run.gateway, run.admitted.service, run.queue)
    if not interval_s:
        load = find_load(run.gateway, run.admitted.service)
        return run.queue.should_wait(ticket, now_s, load)
    wait_s = (len(run.queue.waiting_by_number) + 1) * interval_s
    if now_s + wait_s >= ticket.wait_deadline_s:
        return False
    run.gateway.registry.count("limited_requests", "waited")
    return True


def _is_closed(run: StreamRun) -> bool:
    """Return whether some layers have no server that accepts requests."""
    service = run.admitted.service
    return (
        run.gateway.estimate_coverage_gap_s(service) > 0
        or run.gateway.estimate_refusal_s(service) > 0
    )


def _must_wait(run: StreamRun) -> bool:
    """Return whether a stream waits for capacity even if none is likely in time.

    A started response cannot be refused any more, nor can a stream that may still run
    at a server that it has left. Members that have yet to announce themselves may add
    capacity.
    """
    return (
        run.reply.has_started
        or run.has_left_open_attempt
        or run.gateway.is_awaiting_members
    )


def _end_unserved(
    run: StreamRun, may_have_run: bool, status: int, reason: str
) -> Outcome:
    """End the response to a stream that no attempt has completed.

    A started response is aborted. Otherwise the caller gets a refusal with a retry
    delay if the request has certainly not run, and else the last failure that a backend
    server has answered or, without one, the given status.
    """
    reply = run.reply
    if reply.has_started:
        return send_failure(reply, status, reason)
    refusal_s = compute_refusal_s(run.gateway, run.admitted)
    if refusal_s and (reason == QUARANTINED or not may_have_run):
        log_refusal(run.gateway, run.admitted)
    if not may_have_run and refusal_s:
        return send_refusal(reply, refusal_s, QUARANTINED)
    if not may_have_run:
        return_s = plan_return_s(run.gateway, run.admitted.service, run.queue)
        retry_s = _estimate_retry_after_s(run, return_s)
        return send_refusal(reply, retry_s, LIMITED if return_s else reason)
    if run.failure_head is not None and run.failure_head.metadata.is_signed:
        reply.send(
            run.failure_head.status,
            strip_connection_headers(run.failure_head),
            run.failure_body,
        )
        return Outcome(run.failure_head.status, "answered_failure")
    return send_failure(reply, status, reason)


def _estimate_retry_after_s(run: StreamRun, return_s: float) -> float:
    """Estimate after how many seconds the same stream is likely to be served.

    By the limits of servers, that is after return_s at the earliest.
    """
    gateway, service = run.gateway, run.admitted.service
    refusal_s = gateway.estimate_refusal_s(service)
    # Layers of leaving servers only are a coverage gap.
    refusal_s = refusal_s if math.isfinite(refusal_s) else 0.0
    gap_s = gateway.estimate_coverage_gap_s(service)
    blocked_s = max(refusal_s, return_s)
    retry_s = run.queue.estimate_retry_after_s(
        build_ticket(run),
        gateway.now(),
        gap_s,
        blocked_s,
        find_load(gateway, service),
    )
    return plan_retry_after_s(run, retry_s, max(blocked_s, gap_s))


async def _run_attempt(run: StreamRun, chain: Chain) -> AttemptResult:
    """Run a stream over one chain until it ends, fails or is interrupted."""
    gateway, admitted = run.gateway, run.admitted
    remaining_s = admitted.deadline_s - gateway.now()
    first_backend = chain.stages[0].backend
    metadata = ForwardMetadata(
        int(remaining_s * 1000),
        first_backend.name,
        admitted.workspace.name if admitted.workspace else None,
        to_dialect_stages(chain),
        run.last_event_id,
        None,
    )
    run.splitter = EventSplitter()
    run.interrupted.clear()
    run.later_stage_lost = run.wait_logged = False
    run.suspected_incarnations.clear()
    run.next_repair_s = 0.0
    run.start_tracking()
    run.last_progress_s = started_s = gateway.now()
    _log_attempt(run, chain)
    reservation, run.reservation = run.reservation, None
    try:
        if reservation is not None:
            run.backend_request = await send_request(
                gateway,
                admitted,
                first_backend,
                metadata,
                reservation,
                run.deliver_data,
            )
        if run.backend_request is None:
            if not first_backend.is_connectable:
                incarnation = first_backend.announcement.incarnation
                run.excluded_incarnations.add(incarnation)
            return AttemptResult.NOT_RUN
        try:
            result = await _await_end(run, run.backend_request, remaining_s)
            if result is AttemptResult.DONE:
                run.queue.hold_times.record(gateway.now() - started_s, run.tokens)
            return result
        finally:
            run.backend_request.release()
    finally:
        run.last_chain = run.chain or chain
        run.release_chain()
        run.backend_request = None


async def _await_end(
    run: StreamRun, backend_request: BackendRequest, remaining_s: float
) -> AttemptResult:
    interrupted = asyncio.ensure_future(run.interrupted.wait())
    try:
        done, _ = await asyncio.wait(
            (backend_request.exchange.ended, interrupted),
            timeout=remaining_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        interrupted.cancel()
    if not done:
        return AttemptResult.TIMED_OUT
    if backend_request.exchange.ended not in done:
        return AttemptResult.BROKEN
    return _evaluate_ending(
        run, backend_request, backend_request.exchange.ended.result()
    )


def _evaluate_ending(
    run: StreamRun, backend_request: BackendRequest, ending: Ending
) -> AttemptResult:
    """Record how an exchange ended, and return the result of its attempt."""
    head = backend_request.exchange.head.result()
    now_s = run.gateway.now()
    is_complete = ending is Ending.COMPLETE and head is not None
    if (
        is_complete
        and head is not None
        and head.status == 200
        and head.metadata.is_signed
    ):
        if not run.splitter.get_remainder():
            for stage in run.chain.stages if run.chain else ():
                stage.backend.record_success()
            if not run.reply.has_started:
                run.reply.start(head.status, strip_connection_headers(head))
            run.reply.finish()
            return AttemptResult.DONE
    _log_failure(run, backend_request, ending, head)
    if is_complete and head is not None and head.metadata.has_not_run:
        _record_not_run(run, backend_request, head, now_s)
        return AttemptResult.NOT_RUN
    if (
        is_complete
        and head is not None
        and head.status != 200
        and head.metadata.is_signed
    ):
        run.failure_head = head
        run.failure_body = backend_request.exchange.take_body()
        return AttemptResult.FAILED
    backend_request.backend.record_failure(now_s)
    run.excluded_incarnations.add(backend_request.backend.announcement.incarnation)
    return AttemptResult.BROKEN


def _record_not_run(
    run: StreamRun, backend_request: BackendRequest, head: ResponseHead, now_s: float
) -> None:
    """Avoid the backend server that a refusal names, or else the one that refused."""
    address = (
        head.metadata.faulty_address or backend_request.backend.announcement.address
    )
    faulty = run.gateway.fleet.backend_by_address.get(address, backend_request.backend)
    if run.has_left_open_attempt:
        # The stream rather goes back to the server that it has left.
        run.excluded_incarnations.add(faulty.announcement.incarnation)
    if head.status == MISDIRECTED_STATUS:
        # The server is another incarnation than announced, or has loaded other layers.
        run.excluded_incarnations.add(faulty.announcement.incarnation)
        faulty.record_failure(now_s)
    else:
        faulty.record_refusal(now_s)
        if faulty is not backend_request.backend:
            run.named_backend = faulty


def _log_attempt(run: StreamRun, chain: Chain) -> None:
    run.gateway.log(
        "stream_sent",
        request=run.admitted.request_id,
        attempt=run.attempts,
        chain=format_chain(chain),
        token_ms=round(chain.token_ms, 2),
        members=run.gateway.fleet.version,
        after_event=run.last_event_id,
        parts=format_fingerprints(run.admitted.part_fingerprints),
    )


def _log_failure(
    run: StreamRun,
    backend_request: BackendRequest,
    ending: Ending,
    head: ResponseHead | None,
) -> None:
    run.gateway.log(
        "attempt_failed",
        request=run.admitted.request_id,
        backend_server=backend_request.backend.name,
        ending=str(ending),
        status=head.status if head else 0,
        not_run=bool(head and head.metadata.has_not_run),
        faulty=head.metadata.faulty_address if head else None,
        after_event=run.last_event_id,
    )


__all__ = ["serve_stream"]

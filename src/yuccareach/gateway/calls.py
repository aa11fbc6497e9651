"""Plain calls: one request, and one answer delivered completely or not at all."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, NamedTuple

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
from yuccareach.gateway.attempts import (
    LeftServers,
    count_attempts,
    record_left,
)
from yuccareach.gateway.backend_requests import BackendRequest, send_request
from yuccareach.gateway.backends import Backend, rank_backends
from yuccareach.gateway.call_places import CallPlace, cancel_place, find_place
from yuccareach.gateway.crashes import record_broken_attempt, seek_end_proof
from yuccareach.gateway.dialect import ForwardMetadata
from yuccareach.gateway.http_client import Ending, ResponseHead
from yuccareach.gateway.losses import (
    add_pending_losses,
    compute_refusal_s,
    is_suspect,
    prove_parts,
    record_answer,
    record_attempt,
    start_attempt,
)
from yuccareach.gateway.server_limits import may_send, plan_return_s
from yuccareach.health.servers import find_acceptance_ms

if TYPE_CHECKING:
    from yuccareach.gateway.admission import Ticket
    from yuccareach.gateway.http_server import Reply
    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.table import Service

# An idempotent call without an answer is sent to another backend server after this many
# times the route's objective, if that is possible then. Otherwise it is waited for, and
# sent once it is possible.
ATTEMPT_TIMEOUT_FACTOR = 2.5
SWITCH_CHECK_INTERVAL_S = 0.25
# A time-out after less time than this does not count as a failure, since the backend
# server may only have been busy.
MIN_FAILURE_WAIT_S = 0.25
# No attempt is made with less time than this before the deadline, since a backend
# server could not finish it.
MIN_REMAINING_MS = 5
# Interval between checks for members that have yet to announce themselves.
MEMBERS_CHECK_INTERVAL_S = 0.02
# Retry delay for a refused call. A full service has free capacity again after about the
# duration of a call.
FULL_RETRY_DELAY_S = 0.1
# Retry delay while all backend servers are leaving. One that takes their place
# announces itself with its first heartbeat.
LEAVING_RETRY_DELAY_S = 1.0


class Attempt(NamedTuple):
    """The result of sending a call to one backend server."""

    ending: Ending
    head: ResponseHead | None
    body: bytes

    @property
    def has_not_run(self) -> bool:
        """Whether the call has certainly not run at the backend server."""
        head = self.complete_head
        return self.ending is Ending.NOT_SENT or bool(
            head and head.metadata.has_not_run
        )

    @property
    def is_answered(self) -> bool:
        """Whether a complete answer came that is the backend server's own."""
        head = self.complete_head
        return bool(head and head.metadata.is_signed and not head.metadata.has_not_run)

    @property
    def is_success(self) -> bool:
        """Whether the backend server answered without a server error."""
        head = self.complete_head
        return bool(head and self.is_answered and head.status < 500)

    @property
    def complete_head(self) -> ResponseHead | None:
        """The head of the answer, or None if the answer is not complete."""
        return self.head if self.ending is Ending.COMPLETE else None


_NOT_SENT = Attempt(Ending.NOT_SENT, None, b"")


class CallRun:
    """The attempts of one call so far."""

    def __init__(self) -> None:
        self.attempts = 0
        # Number of attempts that backend servers refused to run.
        self.refusals = 0
        # Number of attempts that may have run at a backend server.
        self.possible_runs = 0
        self.left_servers = LeftServers()
        self.excluded_incarnations: set[str] = set()
        # Whether an attempt was given up that might have gone on.
        self.has_left_open_attempt = False
        # Whether the retry budget has already granted the next attempt.
        self.retry_reserved = False
        self.last_attempt = _NOT_SENT
        # Whether it was not sent since the shutdown under way might cut it.
        self.is_refused_by_shutdown = False
        # Tickets with which the call was granted a place in the queue.
        self.queued_tickets: list[Ticket] = []


async def serve_call(gateway: Gateway, admitted: AdmittedRequest, reply: Reply) -> None:
    """Send a call to backend servers and answer it with the result."""
    run = CallRun()
    try:
        await _run_attempts(gateway, admitted, run)
    except asyncio.CancelledError:
        outcome = end_cancelled(reply, may_have_run=run.attempts > 0)
        record_outcome(gateway, admitted, outcome, run.attempts)
        raise
    finally:
        queue = gateway.get_call_queue(admitted.service.name)
        for ticket in run.queued_tickets:
            queue.release(ticket.workspace, ticket.tokens)
    if run.is_refused_by_shutdown:
        outcome = send_refusal(reply, SHUT_DOWN_RETRY_DELAY_S, SHUT_DOWN)
        record_outcome(gateway, admitted, outcome, run.attempts)
        return
    outcome = _deliver_answer(
        gateway,
        admitted,
        reply,
        run.last_attempt,
        may_have_run=run.possible_runs > 0,
    )
    record_outcome(gateway, admitted, outcome, run.attempts)


async def _run_attempts(
    gateway: Gateway, admitted: AdmittedRequest, run: CallRun
) -> None:
    """Send a call until it succeeds or no further attempt is possible.

    That is the case if its time is up, if the route or the retry budget allows no more
    attempts, if all backend servers of the service have been tried, if the call is
    quarantined, or if a shutdown might cut it. A call that has left an open attempt is
    sent on until its time is up.
    """
    while _compute_remaining_ms(gateway, admitted) >= MIN_REMAINING_MS:
        if _refuse_before_shutdown(gateway, admitted, run):
            return
        place = await find_place(gateway, admitted, run)
        if place is None and gateway.is_awaiting_members:
            await asyncio.sleep(MEMBERS_CHECK_INTERVAL_S)
            continue
        if compute_refusal_s(gateway, admitted):
            cancel_place(place)
            return
        if _refuse_before_shutdown(gateway, admitted, run):
            cancel_place(place)
            return
        if place is None or not _reserve_retry(gateway, admitted, run):
            cancel_place(place)
            if not run.has_left_open_attempt:
                return
            await asyncio.sleep(SWITCH_CHECK_INTERVAL_S)
            continue
        backend = place.backend
        run.attempts += 1
        run.retry_reserved = False
        tracked_attempt = start_attempt(gateway, admitted)
        last_attempt = await _send_attempt(gateway, admitted, place, run)
        record_attempt(gateway, admitted.part_fingerprints)
        run.last_attempt = last_attempt
        run.excluded_incarnations.add(backend.announcement.incarnation)
        _log_attempt(gateway, admitted, backend, last_attempt)
        if last_attempt.is_answered:
            record_answer(gateway, tracked_attempt)
            if last_attempt.is_success:
                prove_parts(gateway, tracked_attempt)
        elif last_attempt.ending is Ending.TIMED_OUT:
            add_pending_losses(gateway, tracked_attempt, [backend])
        elif last_attempt.ending is Ending.BROKEN:
            await record_broken_attempt(gateway, tracked_attempt, [backend])
        if last_attempt.is_success:
            return
        if not last_attempt.has_not_run:
            run.possible_runs += 1
            record_left(run.left_servers, backend)
        elif last_attempt.ending is not Ending.NOT_SENT:
            run.refusals += not run.has_left_open_attempt
        if not _can_retry(gateway, admitted, run):
            return


def _refuse_before_shutdown(
    gateway: Gateway, admitted: AdmittedRequest, run: CallRun
) -> bool:
    """Return whether a call is refused since the shutdown under way might cut it.

    Its caller would be left in doubt whether it has run; another gateway can serve it.
    """
    now_s = gateway.now()
    longest_s = gateway.call_durations.estimate_s(admitted.route.name, now_s)
    duration_s = longest_s or admitted.route.objective_ms / 1000
    may_be_cut = min(now_s + duration_s, admitted.deadline_s) > gateway.shutdown_s
    run.is_refused_by_shutdown = may_be_cut and not run.possible_runs
    return run.is_refused_by_shutdown


def _can_retry(
    gateway: Gateway,
    admitted: AdmittedRequest,
    run: CallRun,
    leaving: Backend | None = None,
) -> bool:
    """Return whether the route allows another attempt, after leaving a server."""
    route = admitted.route
    has_run = run.possible_runs > 0 or leaving is not None
    if has_run and not route.is_idempotent:
        return False
    counted = count_attempts(run.left_servers, gateway.fleet, leaving)
    return counted + run.refusals < route.max_attempts


def _reserve_retry(gateway: Gateway, admitted: AdmittedRequest, run: CallRun) -> bool:
    """Return whether the retry budget grants the next attempt, if it is a retry."""
    if run.attempts and not run.retry_reserved:
        run.retry_reserved = gateway.take_retry(admitted.service.name)
    return run.retry_reserved or not run.attempts


def _reserve_switch(
    gateway: Gateway, admitted: AdmittedRequest, run: CallRun, open_backend: Backend
) -> bool:
    """Return whether a call can be sent to another server now.

    If so, the retry is taken from the budget.
    """
    if not _can_retry(gateway, admitted, run, open_backend):
        return False
    if compute_refusal_s(gateway, admitted):
        return False
    ranked = rank_backends(
        gateway.fleet.find_by_service(admitted.service.name),
        gateway.settings.zone,
        gateway.now(),
        run.excluded_incarnations | {open_backend.announcement.incarnation},
        runs_apart=is_suspect(gateway, admitted.fingerprint),
    )
    backend = next((item for item in ranked if may_send(gateway, item)), None)
    if backend is None or backend.is_avoided(gateway.now()):
        return False
    return _reserve_retry(gateway, admitted, run)


def _compute_remaining_ms(gateway: Gateway, admitted: AdmittedRequest) -> int:
    return int((admitted.deadline_s - gateway.now()) * 1000)


async def _send_attempt(
    gateway: Gateway, admitted: AdmittedRequest, place: CallPlace, run: CallRun
) -> Attempt:
    """Send a call to one backend server and return the result."""
    backend = place.backend
    remaining_ms = _compute_remaining_ms(gateway, admitted)
    sent_s = gateway.now()
    metadata = ForwardMetadata(
        remaining_ms,
        backend.name,
        admitted.workspace.name if admitted.workspace else None,
        (),
        admitted.metadata.last_event_id,
        None,
    )
    suspects = int(is_suspect(gateway, admitted.fingerprint))
    backend.running_requests += 1
    backend.suspect_requests += suspects
    try:
        backend_request = await send_request(
            gateway, admitted, backend, metadata, place.reservation
        )
        if backend_request is None:
            return _NOT_SENT
        try:
            ending = await _await_ending(gateway, admitted, backend_request, run)
        finally:
            backend_request.release()
        head = (
            backend_request.exchange.head.result()
            if backend_request.exchange.head.done()
            else None
        )
        attempt = Attempt(ending, head, backend_request.exchange.take_body())
        waited_s = gateway.now() - sent_s
        if not attempt.has_not_run:
            gateway.call_durations.record(admitted.route.name, waited_s, gateway.now())
        if ending is not Ending.TIMED_OUT or waited_s >= MIN_FAILURE_WAIT_S:
            _record_result(gateway, backend, attempt)
        return attempt
    finally:
        backend.running_requests -= 1
        backend.suspect_requests -= suspects


async def _await_ending(
    gateway: Gateway,
    admitted: AdmittedRequest,
    backend_request: BackendRequest,
    run: CallRun,
) -> Ending:
    """Wait for the answer to an attempt.

    Stop waiting at the call's deadline, and before it if the server has ended or the
    call can be sent to another one.
    """
    ended = backend_request.exchange.ended
    patience_s = ATTEMPT_TIMEOUT_FACTOR * admitted.route.objective_ms / 1000
    while True:
        remaining_s = admitted.deadline_s - gateway.now()
        await asyncio.wait((ended,), timeout=max(0.0, min(patience_s, remaining_s)))
        if ended.done():
            return ended.result()
        if patience_s >= remaining_s:
            return Ending.TIMED_OUT
        patience_s = SWITCH_CHECK_INTERVAL_S
        if not admitted.route.is_idempotent:
            continue
        if await seek_end_proof(gateway, backend_request.backend):
            return ended.result() if ended.done() else Ending.BROKEN
        if ended.done():
            return ended.result()
        if _reserve_switch(gateway, admitted, run, backend_request.backend):
            run.has_left_open_attempt = True
            return Ending.TIMED_OUT


def _record_result(gateway: Gateway, backend: Backend, attempt: Attempt) -> None:
    """Record a backend server's success or failure; a refusal is neither."""
    if attempt.is_answered:
        backend.record_success()
    elif not attempt.has_not_run:
        backend.record_failure(gateway.now())


def _log_attempt(
    gateway: Gateway, admitted: AdmittedRequest, backend: Backend, attempt: Attempt
) -> None:
    if attempt.is_success:
        return
    gateway.log(
        "attempt_failed",
        request=admitted.request_id,
        backend_server=backend.name,
        ending=str(attempt.ending),
        status=attempt.head.status if attempt.head else 0,
        not_run=attempt.has_not_run,
    )


def _deliver_answer(
    gateway: Gateway,
    admitted: AdmittedRequest,
    reply: Reply,
    last_attempt: Attempt,
    *,
    may_have_run: bool,
) -> Outcome:
    """Deliver the last answer, or report whether the call may have run."""
    if last_attempt.is_answered and last_attempt.head is not None:
        reply.send(
            last_attempt.head.status,
            strip_connection_headers(last_attempt.head),
            last_attempt.body,
        )
        return Outcome(last_attempt.head.status, "answered")
    refusal_s = compute_refusal_s(gateway, admitted)
    if not may_have_run:
        if refusal_s:
            return send_refusal(reply, refusal_s, QUARANTINED)
        retry_s = _estimate_retry_after_s(gateway, admitted.service)
        queue = gateway.get_call_queue(admitted.service.name)
        return_s = plan_return_s(gateway, admitted.service, queue)
        reason = LIMITED if return_s else "not_run"
        return send_refusal(reply, max(retry_s, return_s), reason)
    if last_attempt.ending is Ending.TIMED_OUT:
        return send_failure(reply, 504, "timed_out")
    return send_failure(reply, 502, QUARANTINED if refusal_s else "outcome_unknown")


def _estimate_retry_after_s(gateway: Gateway, service: Service) -> float:
    """Estimate after how many seconds a server of a plain service accepts a call."""
    acceptance_ms = min(
        (
            find_acceptance_ms(backend.health)
            for backend in gateway.fleet.find_by_service(service.name)
        ),
        default=0,
    )
    if acceptance_ms == math.inf:
        return LEAVING_RETRY_DELAY_S
    return max(FULL_RETRY_DELAY_S, (acceptance_ms - gateway.now_ms()) / 1000)


__all__ = ["Attempt", "serve_call"]

"""Calls to plain services: one request, one answer, delivered whole or not at all."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.admitted_requests import (
    CALLER_LEFT,
    AdmittedRequest,
    Outcome,
    record_outcome,
    send_failure,
    send_refusal,
    strip_connection_headers,
)
from yuccareach.gateway.backend_requests import send_request
from yuccareach.gateway.backends import Backend, choose_backend
from yuccareach.gateway.dialect import ForwardMetadata
from yuccareach.gateway.http_client import Ending, ResponseHead

if TYPE_CHECKING:
    from yuccareach.gateway.http_server import Reply
    from yuccareach.gateway.state import Gateway

# An idempotent call without an answer is sent elsewhere after this many objectives.
PATIENCE_OBJECTIVES = 2.5
# A backend server that gives no answer for less than this may just have been busy.
LONG_WAIT_S = 0.25
# Left of the deadline, below which a backend server could not finish.
LEAST_MS = 5
# How often a call looks for members that are about to announce themselves.
MEMBERS_CHECK_S = 0.02
# A full service has places again after about a call's time.
FULL_RETRY_S = 0.1


class Attempt(NamedTuple):
    """What one backend server did with a call."""

    ending: Ending
    head: ResponseHead | None
    body: bytes

    @property
    def not_run(self) -> bool:
        """Whether it certainly did not run."""
        whole = self.whole_head
        return self.ending is Ending.NOT_SENT or bool(
            whole and whole.metadata.has_not_run
        )

    @property
    def answered(self) -> bool:
        """Whether a whole answer of the backend server's own came."""
        whole = self.whole_head
        return bool(
            whole and whole.metadata.is_signed and not whole.metadata.has_not_run
        )

    @property
    def succeeded(self) -> bool:
        """Whether the answer is a success."""
        whole = self.whole_head
        return bool(whole and self.answered and whole.status < 500)

    @property
    def whole_head(self) -> ResponseHead | None:
        """The head of an answer that came whole."""
        return self.head if self.ending is Ending.COMPLETE else None


_NOT_SENT = Attempt(Ending.NOT_SENT, None, b"")


class CallRun:
    """The attempts that one call has had."""

    def __init__(self) -> None:
        self.tries = 0
        # Attempts that may have run at a backend server.
        self.runs = 0
        self.last = _NOT_SENT


async def serve_call(gateway: Gateway, admitted: AdmittedRequest, reply: Reply) -> None:
    """Answer a call with what came of its attempts."""
    run = CallRun()
    try:
        await _attempt_all(gateway, admitted, run)
    except asyncio.CancelledError:
        record_outcome(gateway, admitted, CALLER_LEFT, run.tries)
        raise
    outcome = _answer(admitted, reply, run.last, may_have_run=run.runs > 0)
    record_outcome(gateway, admitted, outcome, run.tries)


async def _attempt_all(
    gateway: Gateway, admitted: AdmittedRequest, run: CallRun
) -> None:
    """Send a call until it is answered, may not be repeated, or time is up."""
    excluded: set[str] = set()
    while True:
        backend = choose_backend(
            gateway.fleet.of_service(admitted.service.name),
            gateway.settings.zone,
            gateway.now(),
            excluded,
        )
        if _remaining_ms(gateway, admitted) < LEAST_MS:
            return
        if backend is None and gateway.is_awaiting_members:
            await asyncio.sleep(MEMBERS_CHECK_S)
            continue
        if backend is None:
            return
        if run.tries and not gateway.take_retry(admitted.service.name):
            return
        run.tries += 1
        last = await _attempt(gateway, admitted, backend, repeatable=run.runs == 0)
        run.last = last
        excluded.add(backend.announced.incarnation)
        _log_attempt(gateway, admitted, backend, last)
        if last.succeeded:
            return
        if not last.not_run:
            run.runs += 1
            if not admitted.route.is_idempotent:
                return
        sent = last.ending is not Ending.NOT_SENT
        if sent and run.tries >= admitted.route.max_attempts:
            return


def _remaining_ms(gateway: Gateway, admitted: AdmittedRequest) -> int:
    return int((admitted.deadline_s - gateway.now()) * 1000)


async def _attempt(
    gateway: Gateway, admitted: AdmittedRequest, backend: Backend, *, repeatable: bool
) -> Attempt:
    """Send a call to one backend server and wait for what comes."""
    remaining_ms = _remaining_ms(gateway, admitted)
    patience_s = remaining_ms / 1000
    if admitted.route.is_idempotent and repeatable and admitted.route.max_attempts > 1:
        objective_s = admitted.route.objective_ms / 1000
        patience_s = min(patience_s, PATIENCE_OBJECTIVES * objective_s)
    facts = ForwardMetadata(
        remaining_ms,
        backend.name,
        admitted.workspace.name if admitted.workspace else None,
        (),
        admitted.metadata.last_event_id,
        None,
    )
    backend.running += 1
    try:
        sent = await send_request(gateway, admitted, backend, facts)
        if sent is None:
            return _NOT_SENT
        try:
            async with asyncio.timeout(patience_s):
                ending = await asyncio.shield(sent.exchange.ended)
        except TimeoutError:
            ending = Ending.TIMED_OUT
        finally:
            sent.release()
        head = sent.exchange.head.result() if sent.exchange.head.done() else None
        attempt = Attempt(ending, head, b"".join(sent.exchange.body))
        if ending is not Ending.TIMED_OUT or patience_s >= LONG_WAIT_S:
            _judge(gateway, backend, attempt)
        return attempt
    finally:
        backend.running -= 1


def _judge(gateway: Gateway, backend: Backend, attempt: Attempt) -> None:
    """Remember how a backend server behaved; being full is no fault."""
    if attempt.answered:
        backend.succeeded()
    elif not attempt.not_run:
        backend.failed(gateway.now())


def _log_attempt(
    gateway: Gateway, admitted: AdmittedRequest, backend: Backend, attempt: Attempt
) -> None:
    if attempt.succeeded:
        return
    gateway.log(
        "attempt_failed",
        request=admitted.request_id,
        backend_server=backend.name,
        ending=str(attempt.ending),
        status=attempt.head.status if attempt.head else 0,
        not_run=attempt.not_run,
    )


def _answer(
    admitted: AdmittedRequest, reply: Reply, last: Attempt, may_have_run: bool
) -> Outcome:
    """Deliver the last answer, or say what is known of the call."""
    if last.answered and last.head is not None:
        reply.send(last.head.status, strip_connection_headers(last.head), last.body)
        return Outcome(last.head.status, "answered")
    if not may_have_run:
        return send_refusal(reply, FULL_RETRY_S, "not_run")
    if last.ending is Ending.TIMED_OUT:
        return send_failure(reply, 504, "timed_out")
    return send_failure(reply, 502, "outcome_unknown")


__all__ = ["Attempt", "serve_call"]

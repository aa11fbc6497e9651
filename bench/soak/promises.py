"""Check the platform's guarantees on what callers and backend servers recorded."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from bench.soak.crash_promises import CRASH_CHECKS
from bench.soak.deployment import Program
from bench.soak.documents import TEMPORARY_WORKSPACE
from bench.soak.observations import (
    RUNNERS,
    find_fault_kinds,
    group_arrivals,
    index_records,
)
from bench.soak.server_promises import SERVER_CHECKS, had_trouble

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.soak.callers import RequestRecord
    from bench.soak.observations import Observations

# HTTP statuses which state that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# The platform's bounds on the time in which a backend server still gets new requests
# after its drain was acknowledged, and a workspace after the removal of its key was.
MAX_DRAIN_DELAY_S = 2.5
MAX_REVOCATION_DELAY_S = 5.0
# Faults of backend servers that are no reason to interrupt a stream. What the others
# end is known by the server.
SOUND_FAULT_KINDS = frozenset(("silent", "refusing", "part"))


def find_violations(
    observations: Observations, check_time_bounds: bool = True
) -> list[str]:
    """Return a description of every violated guarantee, with the request's id.

    Without check_time_bounds, bounds in seconds are not checked.
    """
    checks = [
        _check_answers,
        _check_refusals,
        _check_run_once,
        _check_shutdowns,
        *CRASH_CHECKS,
        *SERVER_CHECKS,
    ]
    if check_time_bounds:
        checks += [_check_drains, _check_revocation]
    return [violation for check in checks for violation in check(observations)]


def parse_event_ids(body: bytes) -> list[int]:
    """Return the ids of the complete events of a stream."""
    events = body.decode().split("\n\n")[:-1]
    return [int(event.split("\n")[0].removeprefix("id: ")) for event in events]


def _check_answers(observations: Observations) -> Iterator[str]:
    """Check that each answer is complete, in order, and for its own request."""
    for record in observations.records:
        if record.status != 200:
            continue
        if record.echoed_request != record.request:
            yield f"{record.request} got the answer to {record.echoed_request}"
        if record.path.startswith("/draft/"):
            yield from _check_stream(record)
        elif record.is_complete and record.body != (
            record.sent_body or record.request.encode()
        ):
            yield f"{record.request} got the wrong body {record.body[:40]!r}"


def _check_stream(record: RequestRecord) -> Iterator[str]:
    ids = parse_event_ids(record.body)
    if ids != list(range(1, len(ids) + 1)):
        yield f"{record.request} has events out of order: {ids}"
    if b" bad" in record.body:
        yield f"{record.request} ran layers twice, out of order, or not at all"
    if record.is_complete and len(ids) != record.events:
        yield (
            f"{record.request} ended without an error after {len(ids)} of "
            f"{record.events} events"
        )


def _check_refusals(observations: Observations) -> Iterator[str]:
    """Check that no request ran whose caller got a status that denies it."""
    ran = {*observations.runs, *_list_endless_runs(observations)}
    for record in observations.records:
        if record.status in NOT_RUN_STATUSES and record.request in ran:
            yield f"{record.request} ran, but its caller got status {record.status}"
        if record.status == 503 and not record.retry_after:
            yield f"{record.request} got status 503 without Retry-After"


def _list_endless_runs(observations: Observations) -> list[str]:
    """Return the ids of requests that were answered without end."""
    return [
        request
        for runner in observations.runners
        for request, _ in runner.endless_bytes_by_answer
    ]


def _check_run_once(observations: Observations) -> Iterator[str]:
    """Check that no non-idempotent call ran more than once."""
    run_counts = Counter(observations.runs)
    run_counts.update(_list_endless_runs(observations))
    for record in observations.records:
        if record.path.startswith("/pay/") and run_counts[record.request] > 1:
            yield (
                f"{record.request} is not idempotent and ran "
                f"{run_counts[record.request]} times"
            )


def _check_drains(observations: Observations) -> Iterator[str]:
    """Check that a draining backend server gets no new request after the bound.

    Exempt are requests of a gateway whose process was suspended at that time, or at a
    time when connections to control were silent: it cannot have learned of the drain.
    """
    record_by_request = index_records(observations)
    for runner in observations.runners:
        if runner.drain_acknowledged_s is None:
            continue
        for arrival in runner.arrivals:
            record = record_by_request.get(arrival.request)
            late_s = (
                arrival.received_s - runner.drain_acknowledged_s - MAX_DRAIN_DELAY_S
            )
            if (
                late_s > 0
                and record
                and not _was_gateway_suspended(observations, record, arrival.received_s)
                and not _were_links_silent(observations, arrival.received_s)
            ):
                yield (
                    f"{arrival.request} reached {runner.name}, which is draining, "
                    f"{late_s:.1f} s after the bound"
                )


def _was_gateway_suspended(
    observations: Observations, record: RequestRecord, received_s: float
) -> bool:
    """Return whether a request's gateway was suspended then or shortly before."""
    return any(
        fault.kind == "pause"
        and fault.program == Program("gateway", record.gateway)
        and fault.started_s < received_s < fault.ended_s + MAX_DRAIN_DELAY_S
        for fault in observations.injected_faults
    )


def _were_links_silent(observations: Observations, received_s: float) -> bool:
    """Return whether connections to control were silent then or shortly before."""
    return any(
        fault.kind == "links"
        and fault.started_s < received_s < fault.ended_s + MAX_DRAIN_DELAY_S
        for fault in observations.injected_faults
    )


def _check_revocation(observations: Observations) -> Iterator[str]:
    """Check that no request with the revoked key arrives after the bound."""
    if observations.revoked_s is None:
        return
    for runner in observations.runners:
        for arrival in runner.arrivals:
            late_s = (
                arrival.received_s - observations.revoked_s - MAX_REVOCATION_DELAY_S
            )
            if arrival.workspace == TEMPORARY_WORKSPACE and late_s > 0:
                yield (
                    f"{arrival.request} with a revoked key arrived "
                    f"{late_s:.1f} s after the bound"
                )


def _check_shutdowns(observations: Observations) -> Iterator[str]:
    """Check that a gateway that shuts down on SIGTERM interrupts no request.

    Only requests during such a shutdown and no other fault of the gateway are checked.
    A request that the gateway never read may get no answer, but must not run. Streams
    during a fault of any backend server may be interrupted, unless it was sound.
    """
    ran = set(observations.runs)
    arrivals_by_request = group_arrivals(observations)
    for record in observations.records:
        kinds = find_fault_kinds(
            observations,
            Program("gateway", record.gateway),
            record.started_s,
            record.ended_s,
        )
        if kinds != {"term"}:
            continue
        if record.status == 0 and record.request in ran:
            yield f"{record.request} ran and got no answer when its gateway shut down"
        runner_kinds = find_fault_kinds(
            observations, RUNNERS, record.started_s, record.ended_s
        )
        runners_unaffected = not (
            runner_kinds - SOUND_FAULT_KINDS
            or had_trouble(observations.runners, record, arrivals_by_request)
        )
        if record.status == 200 and not record.is_complete and runners_unaffected:
            yield f"{record.request} was interrupted by a gateway's shutdown"


__all__ = ["find_violations", "parse_event_ids"]

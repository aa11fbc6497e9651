"""What callers, backend servers and the injector recorded while one seed ran."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from bench.soak.deployment import Program

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.soak.callers import RequestRecord
    from bench.soak.faults import InjectedFault
    from bench.soak.runners import Arrival, SoakRunner

RUNNERS = Program("runner", 0)
# A request may still fail because of a fault that ended this long before.
MAX_FAULT_EFFECT_DELAY_S = 1.0
# An instance is in touch once this long has passed since the last fault of it, of
# control or of its link.
CONTACT_DELAY_S = 3.0
# A server that asks for no requests within this time of a request may have done so when
# the request reached it.
REFUSAL_SPAN_S = 0.1
# So long after the end of a limit, gateways know of it: a server that took nothing gets
# one request in this time.
LIMIT_EFFECT_DELAY_S = 4.0


class Observations(NamedTuple):
    """What was recorded while one seed ran."""

    records: list[RequestRecord]
    runners: list[SoakRunner]
    # Ids of requests in the order in which backend servers started to run them.
    runs: list[str]
    injected_faults: list[InjectedFault]
    # When the removal of the temporary key was acknowledged, or None.
    revoked_s: float | None
    # Ids of the requests that carried each crashing body, in the order of sending.
    crash_resends: dict[bytes, list[str]] = {}


def index_records(observations: Observations) -> dict[str, RequestRecord]:
    """Return the records of requests by id."""
    return {record.request: record for record in observations.records}


def group_arrivals(
    observations: Observations,
) -> dict[str, list[tuple[SoakRunner, Arrival]]]:
    """Return the arrivals of each recorded request with their servers, in order."""
    recorded = index_records(observations)
    arrivals_by_request: dict[str, list[tuple[SoakRunner, Arrival]]] = {}
    for runner in observations.runners:
        for arrival in runner.arrivals:
            if arrival.request in recorded:
                arrivals_by_request.setdefault(arrival.request, []).append(
                    (runner, arrival)
                )
    for arrivals in arrivals_by_request.values():
        arrivals.sort(key=lambda item: item[1].received_s)
    return arrivals_by_request


def find_fault_kinds(
    observations: Observations, program: Program, from_s: float, to_s: float
) -> set[str]:
    """Return the kinds of fault of a program that had an effect in a span."""
    return {
        fault.kind
        for fault in observations.injected_faults
        if fault.program == program
        and fault.started_s < to_s
        and from_s < fault.ended_s + MAX_FAULT_EFFECT_DELAY_S
    }


def had_fault(
    observations: Observations, gateway: int, from_s: float, to_s: float
) -> bool:
    """Return whether a gateway was restarted or suspended in a span."""
    return any(
        fault.program == Program("gateway", gateway)
        and fault.started_s < to_s
        and from_s < fault.ended_s
        for fault in observations.injected_faults
    )


def was_out_of_touch(
    observations: Observations, record: RequestRecord, at_s: float
) -> bool:
    """Return whether control or a request's gateway had a fault then or just before."""
    return any(
        fault.program.role == "control"
        or fault.program == Program("gateway", record.gateway)
        for fault in observations.injected_faults
        if fault.started_s < at_s < fault.ended_s + CONTACT_DELAY_S
    )


def was_held_up(runner: SoakRunner, at_s: float) -> bool:
    """Return whether the link to a backend server had a fault then or just before."""
    return any(
        start_s < at_s < end_s + CONTACT_DELAY_S
        for start_s, end_s in runner.link_faults
    )


def do_all_hold_back(runners: list[SoakRunner], service: str, at_s: float) -> bool:
    """Return whether every server to which requests are sent asks for none or few.

    It does so by a refusal with Retry-After, or by stating a limit: callers that are
    refused return so soon that they always ask for more.
    """
    present = [
        runner
        for runner in runners
        if runner.service == service
        and runner.takes_requests
        and runner.started_s <= at_s
        and (runner.closed_s is None or at_s < runner.closed_s)
    ]
    return bool(present) and all(
        any(
            iterate_overlaps(_list_held_back_spans(runner), at_s, at_s + REFUSAL_SPAN_S)
        )
        for runner in present
    )


def _list_held_back_spans(runner: SoakRunner) -> list[tuple[float, float]]:
    limited = [
        (span.started_s, span.ended_s + LIMIT_EFFECT_DELAY_S)
        for span in runner.limit_spans
    ]
    return [*runner.refusals, *limited]


def is_run(runner: SoakRunner, arrival: Arrival) -> bool:
    """Return whether a server did not state that it rejects a request."""
    return all(item.arrival != arrival for item in runner.rejections)


def iterate_overlaps(
    spans: list[tuple[float, float]], from_s: float, to_s: float
) -> Iterator[tuple[float, float]]:
    """Yield the parts of spans, ordered by their start, that lie in another span.

    Where spans overlap, each part is yielded once.
    """
    for start_s, end_s in sorted(spans):
        start_s, end_s = max(start_s, from_s), min(end_s, to_s)
        if start_s < end_s:
            yield start_s, end_s
            from_s = end_s


def describe(observations: Observations) -> Iterator[str]:
    """Yield a line for each record, ordered by time within each kind of record."""
    yield from map(str, observations.injected_faults)
    for runner in observations.runners:
        yield (
            f"{runner.name} at {runner.address} closed {runner.closed_s} crashed "
            f"{runner.part_crash_s} silent {runner.silences} links "
            f"{runner.link_faults} refusals {runner.refusals} endless "
            f"{runner.endless_spans} limits {runner.limit_spans}"
        )
    for request, arrivals in group_arrivals(observations).items():
        yield f"{request} reached " + ", ".join(
            f"{runner.name} {arrival.received_s:.3f}"
            f"{'' if is_run(runner, arrival) else ' (rejected)'}"
            for runner, arrival in arrivals
        )
    for record in observations.records:
        yield str(record._replace(body=record.body[-100:]))


__all__ = [
    "CONTACT_DELAY_S",
    "RUNNERS",
    "Observations",
    "describe",
    "do_all_hold_back",
    "find_fault_kinds",
    "group_arrivals",
    "had_fault",
    "index_records",
    "is_run",
    "iterate_overlaps",
    "was_held_up",
    "was_out_of_touch",
]

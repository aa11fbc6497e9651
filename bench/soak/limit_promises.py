"""Check what is promised of backend servers that state how many requests they take."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from bench.soak.observations import had_fault, index_records, was_held_up

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.soak.observations import Observations
    from bench.soak.runners import LimitSpan, SoakRunner

# From CONTACT_S after a server first stated its limit, it gets in any WINDOW_S at most
# this many times what that allows, and some more, from the gateways that had passed on
# such an answer TOLD_S before or earlier.
CONTACT_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
LIMIT_FACTOR = 1.5
SLACK_REQUESTS = 5


class _GatewayArrival(NamedTuple):
    """A request that reached a server, at any stage, and the gateway it came from."""

    received_s: float
    gateway: int


def _list_arrivals(
    observations: Observations, server: SoakRunner
) -> list[_GatewayArrival]:
    """Return all requests that reached a server, by time."""
    record_by_request = index_records(observations)
    times = [
        (arrival.received_s, arrival.request)
        for runner in observations.runners
        for arrival in runner.arrivals
        if runner is server or server.address in arrival.stages
    ]
    return sorted(
        _GatewayArrival(received_s, record_by_request[request].gateway)
        for received_s, request in times
        if request in record_by_request
    )


def _find_told_times(
    observations: Observations, server: SoakRunner, span: LimitSpan
) -> dict[int, float]:
    """Return when each gateway had passed on an answer that states a limit."""
    record_by_request = index_records(observations)
    told_s: dict[int, float] = {}
    for arrival in server.arrivals:
        record = record_by_request.get(arrival.request)
        if record is None or not span.started_s <= arrival.received_s < span.ended_s:
            continue
        if record.status == 200 and record.answered_s >= arrival.received_s:
            known_s = told_s.get(record.gateway, record.answered_s)
            told_s[record.gateway] = min(known_s, record.answered_s)
    return told_s


def _check_span(
    observations: Observations, server: SoakRunner, span: LimitSpan
) -> Iterator[str]:
    told_s = _find_told_times(observations, server, span)
    if not told_s:
        return
    judged_from_s = min(told_s.values()) + CONTACT_S
    counted_s = [
        arrival.received_s
        for arrival in _list_arrivals(observations, server)
        if arrival.gateway in told_s
        and told_s[arrival.gateway] + TOLD_S <= arrival.received_s < span.ended_s
        and not had_fault(
            observations, arrival.gateway, span.started_s, arrival.received_s
        )
        and not was_held_up(server, arrival.received_s)
    ]
    allowed = LIMIT_FACTOR * span.limit_per_s * WINDOW_S + SLACK_REQUESTS
    for end_s in counted_s:
        if end_s >= judged_from_s:
            count = sum(end_s - WINDOW_S < at_s <= end_s for at_s in counted_s)
            if count > allowed:
                yield (
                    f"{server.name} got {count} requests in {WINDOW_S} s, where its "
                    f"limit of {span.limit_per_s} a second allows {allowed:g}"
                )
                return


def check_limits(observations: Observations) -> Iterator[str]:
    """Check that servers get no more requests than they state."""
    for server in observations.runners:
        for span in server.limit_spans:
            yield from _check_span(observations, server, span)


__all__ = ["check_limits"]

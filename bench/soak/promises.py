"""The promises of the platform's rules, checked on what callers and servers saw."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from bench.soak.deployment import Program
from bench.soak.documents import PASSING_WORKSPACE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.soak.callers import Asked
    from bench.soak.faults import Disturbance
    from bench.soak.runners import SoakRunner

# Statuses that state that a request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
# The platform's bounds: after a drain was acknowledged, and after a key was revoked.
DRAIN_S = 2.5
REVOKE_S = 5.0
# What a fault has broken may end this much later.
AFTERMATH_S = 1.0


class Seen(NamedTuple):
    """All that a soak saw."""

    asked: list[Asked]
    runners: list[SoakRunner]
    # Ids of requests in the order in which a backend server began to run them.
    runs: list[str]
    disturbances: list[Disturbance]
    # When the removal of the passing key was acknowledged, if it was.
    revoked_s: float | None


def find_breaches(seen: Seen, timed: bool = True) -> list[str]:
    """Return every breach of a promise, with the request that shows it.

    Bounds in seconds are only checked where timed.
    """
    checks = [_check_answers, _check_not_run, _check_run_once, _check_shutdowns]
    if timed:
        checks += [_check_drains, _check_revocation]
    return [breach for check in checks for breach in check(seen)]


def event_ids(body: bytes) -> list[int]:
    """Return the ids of the whole events of a stream."""
    events = body.decode().split("\n\n")[:-1]
    return [int(event.split("\n")[0].removeprefix("id: ")) for event in events]


def _check_answers(seen: Seen) -> Iterator[str]:
    """Check that an answer is whole, in order, and its own caller's."""
    for item in seen.asked:
        if item.status != 200:
            continue
        if item.echoed != item.request:
            yield f"{item.request} got the answer of {item.echoed}"
        if item.path.startswith("/draft/"):
            yield from _check_stream(item)
        elif item.whole and item.body != item.request.encode():
            yield f"{item.request} got {item.body[:40]!r}"


def _check_stream(item: Asked) -> Iterator[str]:
    ids = event_ids(item.body)
    if ids != list(range(1, len(ids) + 1)):
        yield f"{item.request} has events out of order: {ids}"
    if b" bad" in item.body:
        yield f"{item.request} ran layers twice, not at all, or out of order"
    if item.whole and len(ids) != item.events:
        yield f"{item.request} ended as whole after {len(ids)} of {item.events}"


def _check_not_run(seen: Seen) -> Iterator[str]:
    """Check that what was said not to have run did not, and never did."""
    ran = set(seen.runs)
    for item in seen.asked:
        if item.status in NOT_RUN and item.request in ran:
            yield f"{item.request} ran, its caller was told {item.status}"
        if item.status == 503 and not item.retry_after:
            yield f"{item.request} was refused without a time to return"


def _check_run_once(seen: Seen) -> Iterator[str]:
    times = Counter(seen.runs)
    for item in seen.asked:
        if item.path.startswith("/pay/") and times[item.request] > 1:
            yield f"{item.request} may run once and ran {times[item.request]} times"


def _check_drains(seen: Seen) -> Iterator[str]:
    """Check that a leaving backend server gets nothing new after the bound.

    A gateway that was suspended meanwhile cannot know.
    """
    by_request = {item.request: item for item in seen.asked}
    for runner in seen.runners:
        if runner.drained_s is None:
            continue
        for arrival in runner.arrivals:
            item = by_request.get(arrival.request)
            late_s = arrival.at_s - runner.drained_s - DRAIN_S
            if late_s > 0 and item and not _paused(seen, item, arrival.at_s):
                yield f"{arrival.request} reached {runner.name} {late_s:.1f} s too late"


def _paused(seen: Seen, item: Asked, at_s: float) -> bool:
    """Return whether a request's gateway was suspended shortly before."""
    return any(
        fault.kind == "pause"
        and fault.program == Program("gateway", item.gateway)
        and fault.begun_s < at_s < fault.ended_s + DRAIN_S
        for fault in seen.disturbances
    )


def _check_revocation(seen: Seen) -> Iterator[str]:
    if seen.revoked_s is None:
        return
    for runner in seen.runners:
        for arrival in runner.arrivals:
            late_s = arrival.at_s - seen.revoked_s - REVOKE_S
            if arrival.workspace == PASSING_WORKSPACE and late_s > 0:
                yield f"{arrival.request} ran {late_s:.1f} s after its key was revoked"


def _check_shutdowns(seen: Seen) -> Iterator[str]:
    """Check that a gateway that is told to leave cuts nothing.

    A request that it never read may be met by a closed connection, and has not run.
    What a backend server's own fault cut is not held against it.
    """
    ran = set(seen.runs)
    for item in seen.asked:
        kinds = _met(seen, item, Program("gateway", item.gateway))
        if kinds != {"term"}:
            continue
        if item.status == 0 and item.request in ran:
            yield f"{item.request} ran and got no answer at a shutdown"
        sound = not _met(seen, item, Program("runner", 0))
        if item.status == 200 and not item.whole and sound:
            yield f"{item.request} was cut at a shutdown"


def _met(seen: Seen, item: Asked, program: Program) -> set[str]:
    """Return the faults of a program while a request was under way."""
    return {
        fault.kind
        for fault in seen.disturbances
        if fault.program == program
        and fault.begun_s < item.ended_s
        and item.begun_s < fault.ended_s + AFTERMATH_S
    }


__all__ = ["Seen", "event_ids", "find_breaches"]

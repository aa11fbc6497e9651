"""Check what is promised of requests that crash backend servers and of others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.soak.documents import CRASHING_PART, CRASHING_PREFIX, KEY, MODEL_SERVICE
from bench.soak.observations import (
    do_all_hold_back,
    group_arrivals,
    index_records,
    was_held_up,
    was_out_of_touch,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.soak.callers import RequestRecord
    from bench.soak.observations import Observations

# The platform's bounds on a request that has crashed MAX_CRASHES backend servers: after
# this time, this many of its retries may still reach one.
MAX_CRASHES = 3
MAX_QUARANTINE_DELAY_S = 3.0
MAX_LATE_RETRIES = 3
# The same for a part of prompts that has crashed MAX_PART_CRASHES backend servers.
MAX_PART_CRASHES = 5
MAX_LATE_PART_ARRIVALS = 3
# From this time after the last of these crashes, sound requests begin at least so often
# as before. The platform compares no fewer.
MAX_SOUND_DELAY_S = 6.0
MIN_BEGUN_FACTOR = 0.5
MIN_COMPARED_REQUESTS = 20
# Refusals for want of capacity or of a view ask for a retry within this time.
MAX_RETRY_AFTER_S = 10.0


def _check_crashing_requests(observations: Observations) -> Iterator[str]:
    """Check that a request that crashed backend servers is not sent to more of them.

    Not counted are retries during a fault of control or of the gateway that sent them,
    and shortly after: it may not have received the others' counts.
    """
    arrivals_by_request = group_arrivals(observations)
    record_by_request = index_records(observations)
    ran = set(observations.runs)
    for body, resends in observations.crash_resends.items():
        arrivals = [arrivals_by_request[item][0] for item in resends if item in ran]
        if len(arrivals) < MAX_CRASHES:
            continue
        runner, third = arrivals[MAX_CRASHES - 1]
        third_s = max(third.received_s, runner.closed_s or 0.0)
        late = [
            arrival.request
            for _, arrival in arrivals
            if arrival.received_s > third_s + MAX_QUARANTINE_DELAY_S
            and not was_out_of_touch(
                observations, record_by_request[arrival.request], arrival.received_s
            )
        ]
        if len(late) > MAX_LATE_RETRIES:
            yield f"{body!r} reached backend servers in {len(late)} late retries"


def _check_quarantined_requests(observations: Observations) -> Iterator[str]:
    """Check that only requests which crash backend servers are refused for long."""
    for record in observations.records:
        crashes = (
            record.sent_body.startswith(CRASHING_PREFIX)
            or CRASHING_PART in record.prompt_parts
        )
        if crashes or not record.retry_after:
            continue
        if float(record.retry_after) > MAX_RETRY_AFTER_S:
            yield f"{record.request} is told to retry after {record.retry_after} s"


def _list_part_crashes(observations: Observations) -> list[float]:
    """Return when the crashing part crashed backend servers, in order."""
    return sorted(
        runner.part_crash_s
        for runner in observations.runners
        if runner.part_crash_s is not None
    )


def _check_crashing_part(observations: Observations) -> Iterator[str]:
    """Check that requests with a part that crashed backend servers reach no more.

    Not counted are requests that were held up by their link, or sent by a gateway that
    was out of touch.
    """
    crashes = _list_part_crashes(observations)
    if len(crashes) < MAX_PART_CRASHES:
        return
    late_s = crashes[MAX_PART_CRASHES - 1] + MAX_QUARANTINE_DELAY_S
    record_by_request = index_records(observations)
    crashing = {
        item.request
        for item in observations.records
        if CRASHING_PART in item.prompt_parts
    }
    late = [
        arrival.request
        for runner in observations.runners
        for arrival in runner.arrivals
        if arrival.received_s > late_s
        and arrival.request in crashing
        and not was_held_up(runner, arrival.received_s)
        and not was_out_of_touch(
            observations, record_by_request[arrival.request], arrival.received_s
        )
    ]
    if len(late) > MAX_LATE_PART_ARRIVALS:
        yield (
            f"{len(late)} requests with a crashing part reached backend servers late, "
            f"after {len(crashes)} crashes: {late[:5]}"
        )


def _check_requests_beside_crashing_part(observations: Observations) -> Iterator[str]:
    """Check that sound streams with the same key begin as often as before.

    They share their prompts' other parts, too. Only gateways in touch count, and no
    requests for which every server of the service asks for none or few.
    """
    crashes = _list_part_crashes(observations)
    crashing = [
        item for item in observations.records if CRASHING_PART in item.prompt_parts
    ]
    if not crashes:
        return
    last_crash_s = crashes[:MAX_PART_CRASHES][-1]
    from_s = last_crash_s + MAX_SOUND_DELAY_S
    to_s = max(item.started_s for item in crashing)
    sound = [
        item
        for item in observations.records
        if item.path.startswith("/draft/")
        and item.key == KEY
        and CRASHING_PART not in item.prompt_parts
        and not item.sent_body.startswith(CRASHING_PREFIX)
        and not was_out_of_touch(observations, item, item.started_s)
        and not do_all_hold_back(observations.runners, MODEL_SERVICE, item.started_s)
    ]
    after = [item for item in sound if from_s < item.started_s < to_s]
    before = [item for item in sound if not crashes[0] < item.started_s < to_s]
    if min(len(before), len(after)) < MIN_COMPARED_REQUESTS:
        return
    before_fraction = _compute_begun_fraction(before)
    after_fraction = _compute_begun_fraction(after)
    if after_fraction < before_fraction * MIN_BEGUN_FACTOR:
        yield (
            f"{after_fraction:.0%} of the sound streams beside a crashing part begin, "
            f"{before_fraction:.0%} did before"
        )


def _compute_begun_fraction(records: list[RequestRecord]) -> float:
    """Return the share of streams that were answered with at least one event."""
    begun = sum(item.status == 200 and bool(item.body) for item in records)
    return begun / len(records)


CRASH_CHECKS = (
    _check_crashing_requests,
    _check_quarantined_requests,
    _check_crashing_part,
    _check_requests_beside_crashing_part,
)

__all__ = ["CRASH_CHECKS"]

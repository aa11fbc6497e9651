"""Measure what sharing the limits of backend servers costs, and write the result.

python -m bench.limits
"""

from __future__ import annotations

import json
import time
import tracemalloc
from pathlib import Path

from yuccareach.proto import control_pb2 as cpb
from yuccareach.quota.allocation import (
    AllocationTable,
    LimitReport,
    build_notices,
    find_grant_delay_ms,
    record_reports,
)
from yuccareach.quota.holdings import (
    Holding,
    Share,
    plan_grant_request,
    record_miss,
    take,
)

PATH = Path("docs/capacity/limits.json")
SERVERS = 2_310
INSTANCES = 370
# Limited servers for which one instance has demand with one poll.
REPORTS_PER_POLL = 40
POLLS = 400
# Requests of an instance in the time over which it measures its demand.
DEMAND_REQUESTS = 8
REPEATS = 5


def _name(number: int) -> str:
    return f"i-{number:010x}@{1_796_000_000_000 + number}"


def measure_leader() -> dict[str, float]:
    """Measure the leader's time for each report, and its memory for each limit."""
    table = AllocationTable()
    tracemalloc.start()
    for number in range(SERVERS):
        report = LimitReport(_name(number), 2.0, 10, 1, 0)
        record_reports(table, "front-0", [report], 0)
    bytes_per_limit = tracemalloc.get_traced_memory()[0] / SERVERS
    tracemalloc.stop()
    started_s = time.process_time()
    for poll in range(POLLS):
        first = poll * REPORTS_PER_POLL
        reports = [
            LimitReport(_name((first + offset) % SERVERS), 2.0, 10, 2, 1)
            for offset in range(REPORTS_PER_POLL)
        ]
        now_ms = 1_000 + poll
        instance = f"front-{poll % INSTANCES}"
        record_reports(table, instance, reports, now_ms)
        find_grant_delay_ms(table, reports, now_ms)
        build_notices(table, instance, reports, table.changes, now_ms)
    report_us = (time.process_time() - started_s) / POLLS / REPORTS_PER_POLL * 1e6
    return {"bytes_per_limit": bytes_per_limit, "report_us": report_us}


def measure_instance() -> dict[str, float]:
    """Measure an instance's time for each request and each demand."""
    holding = Holding(0.0)
    share = Share(2.0, INSTANCES, 1_000, 1_000)
    started_s = time.process_time()
    for number in range(POLLS):
        take(holding, share)
        record_miss(holding, number, 1_000)
    send_us = (time.process_time() - started_s) / POLLS * 1e6
    holding = Holding(0.0)
    for number in range(DEMAND_REQUESTS):
        record_miss(holding, number, 1_000)
    started_s = time.process_time()
    for _ in range(POLLS):
        plan_grant_request(holding, share)
    demand_us = (time.process_time() - started_s) / POLLS * 1e6
    return {"send_us": send_us, "demand_us": demand_us}


def main() -> None:
    """Measure, take the least of each figure, and write them."""
    report = cpb.LimitReport(
        incarnation=_name(1), limited=True, limit_per_s=2.5, age_ms=300, wanted=2
    )
    notice = cpb.LimitNotice(
        incarnation=_name(1), limited=True, limit_per_s=2.5, age_ms=300, granted=1
    )
    runs = [{**measure_leader(), **measure_instance()} for _ in range(REPEATS)]
    result = {
        # With the tag and the length of the field that holds it.
        "report_bytes": cpb.ViewRequest(limits=[report]).ByteSize(),
        "notice_bytes": cpb.View(limits=[notice]).ByteSize(),
        **{name: min(run[name] for run in runs) for name in runs[0]},
    }
    PATH.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    print(json.dumps(result))


if __name__ == "__main__":
    main()

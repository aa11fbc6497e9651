"""Measure the gateway's processor time per request and event, and control's for views.

Writes docs/capacity/gateway.json, which `make capacity` extrapolates to the target.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import NamedTuple

import aiohttp

from bench.fleet import read_cpu_seconds
from bench.soak.callers import Callers
from bench.soak.deployment import Deployment, Program
from bench.soak.run import Operator, Plan, start_deployment

# Concurrent requests, each on its own connection, and all requests of a measurement.
CONCURRENT_REQUESTS = 20
REQUEST_COUNT = 600
# Numbers of events in two otherwise equal kinds of stream. The difference between their
# costs is the cost of the additional events.
SHORT_STREAM_EVENTS, LONG_STREAM_EVENTS = 10, 110
GATEWAY, CONTROL = Program("gateway", 0), Program("control", 0)
# Numbers of idle gateways that get views from one leader, and the time of measurement.
FEW_GATEWAYS, MANY_GATEWAYS = 2, 12
IDLE_WINDOW_S = 10.0
DATA = Path("docs/capacity/gateway.json")


class Load(NamedTuple):
    """The path of all requests of a measurement, and the events of each answer."""

    path: str
    events: int


def read_program_cpu_s(deployment: Deployment, program: Program) -> float:
    """Return the processor time of a program's threads so far, in seconds."""
    return read_cpu_seconds(deployment.process_by_program[program].pid)


async def measure(deployment: Deployment, load: Load) -> float:
    """Return the gateway's processor time per request, in milliseconds."""
    callers = Callers(deployment, 1, CONCURRENT_REQUESTS, (load.events, load.events))

    async def _send_in_turn() -> None:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1)
        ) as http:
            for _ in range(REQUEST_COUNT // CONCURRENT_REQUESTS):
                await callers.send_request(http, 0, load.path)

    cpu_before_s = read_program_cpu_s(deployment, GATEWAY)
    await asyncio.gather(*(_send_in_turn() for _ in range(CONCURRENT_REQUESTS)))
    spent_s = read_program_cpu_s(deployment, GATEWAY) - cpu_before_s
    correct_count = sum(
        item.status == 200 and item.is_complete for item in callers.records
    )
    if correct_count != REQUEST_COUNT:
        raise SystemExit(
            f"{REQUEST_COUNT - correct_count} of {REQUEST_COUNT} requests failed"
        )
    return 1000 * spent_s / REQUEST_COUNT


async def start(deployment: Deployment) -> None:
    """Start the deployment and wait until it serves streams and plain calls."""
    plan = Plan(seed=1)
    await start_deployment(
        deployment, Operator(deployment, plan), Callers(deployment, 1, 1)
    )


async def measure_leader_share(gateway_count: int) -> float:
    """Return the fraction of a core that control uses with this many idle gateways."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(
            Path(folder), control_count=1, gateway_count=gateway_count
        )
        try:
            await start(deployment)
            cpu_before_s = read_program_cpu_s(deployment, CONTROL)
            await asyncio.sleep(IDLE_WINDOW_S)
            return (
                read_program_cpu_s(deployment, CONTROL) - cpu_before_s
            ) / IDLE_WINDOW_S
        finally:
            await deployment.stop()


async def measure_request_costs() -> dict[str, float]:
    """Return the processor time of a call, of a stream and of each event, in ms."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), control_count=1, gateway_count=1)
        try:
            await start(deployment)
            # The first measurement opens connections and is discarded.
            await measure(deployment, Load("/look/", 0))
            call_ms = await measure(deployment, Load("/look/", 0))
            short_ms = await measure(deployment, Load("/draft/", SHORT_STREAM_EVENTS))
            long_ms = await measure(deployment, Load("/draft/", LONG_STREAM_EVENTS))
        finally:
            await deployment.stop()
    event_ms = (long_ms - short_ms) / (LONG_STREAM_EVENTS - SHORT_STREAM_EVENTS)
    stream_ms = short_ms - SHORT_STREAM_EVENTS * event_ms
    return {"call_ms": call_ms, "stream_ms": stream_ms, "event_ms": event_ms}


async def main() -> None:
    """Measure all costs and write them to the data file."""
    few_share, many_share = (
        await measure_leader_share(FEW_GATEWAYS),
        await measure_leader_share(MANY_GATEWAYS),
    )
    data = await measure_request_costs()
    data["leader_core_share_per_gateway"] = (many_share - few_share) / (
        MANY_GATEWAYS - FEW_GATEWAYS
    )
    DATA.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")
    print(DATA.read_text(encoding="utf-8"))


if __name__ == "__main__":
    asyncio.run(main())

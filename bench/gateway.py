"""Measures the gateway's processor time by request and event, and what views cost.

Writes docs/capacity/gateway.json, from which `make capacity` carries it to the target.
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

# Requests at once on each connection's own task, and in all for each measurement.
AT_ONCE = 20
REQUESTS = 600
# Streams differ in nothing else, so that the difference is the events'.
SHORT, LONG = 10, 110
GATEWAY, CONTROL = Program("gateway", 0), Program("control", 0)
# Gateways at rest that one leader gives views to, and for how long that is watched.
FEW, MANY = 2, 12
REST_S = 10.0
DATA = Path("docs/capacity/gateway.json")


class Load(NamedTuple):
    """One kind of request, all alike."""

    path: str
    events: int


def processor_s(deployment: Deployment, program: Program) -> float:
    """Return the processor time of a process's threads so far."""
    return read_cpu_seconds(deployment.process_by_program[program].pid)


async def measure(deployment: Deployment, load: Load) -> float:
    """Return the gateway's processor time for a request, in milliseconds."""
    callers = Callers(deployment, 1, AT_ONCE, (load.events, load.events))

    async def _ask_in_turn() -> None:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1)
        ) as http:
            for _ in range(REQUESTS // AT_ONCE):
                await callers.send_request(http, 0, load.path)

    begun_s = processor_s(deployment, GATEWAY)
    await asyncio.gather(*(_ask_in_turn() for _ in range(AT_ONCE)))
    spent_s = processor_s(deployment, GATEWAY) - begun_s
    right = sum(item.status == 200 and item.is_complete for item in callers.records)
    if right != REQUESTS:
        raise SystemExit(f"{REQUESTS - right} of {REQUESTS} requests failed")
    return 1000 * spent_s / REQUESTS


async def start(deployment: Deployment) -> None:
    """Start the deployment and wait until it serves streams and calls."""
    plan = Plan(seed=1)
    await start_deployment(
        deployment, Operator(deployment, plan), Callers(deployment, 1, 1)
    )


async def leader_share(gateway_count: int) -> float:
    """Return the part of a core that control takes while so many gateways rest."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(
            Path(folder), control_count=1, gateway_count=gateway_count
        )
        try:
            await start(deployment)
            begun_s = processor_s(deployment, CONTROL)
            await asyncio.sleep(REST_S)
            return (processor_s(deployment, CONTROL) - begun_s) / REST_S
        finally:
            await deployment.stop()


async def request_costs() -> dict[str, float]:
    """Return the milliseconds of a plain call, of a stream, and of each event."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), control_count=1, gateway_count=1)
        try:
            await start(deployment)
            # The first load opens the connections.
            await measure(deployment, Load("/look/", 0))
            call_ms = await measure(deployment, Load("/look/", 0))
            short_ms = await measure(deployment, Load("/draft/", SHORT))
            long_ms = await measure(deployment, Load("/draft/", LONG))
        finally:
            await deployment.stop()
    event_ms = (long_ms - short_ms) / (LONG - SHORT)
    stream_ms = short_ms - SHORT * event_ms
    return {"call_ms": call_ms, "stream_ms": stream_ms, "event_ms": event_ms}


async def main() -> None:
    """Measure everything and write it down."""
    few, many = await leader_share(FEW), await leader_share(MANY)
    data = await request_costs()
    data["leader_core_share_per_gateway"] = (many - few) / (MANY - FEW)
    DATA.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")
    print(DATA.read_text(encoding="utf-8"))


if __name__ == "__main__":
    asyncio.run(main())

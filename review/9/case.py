"""A configuration adds a stream route to a service without an engine.

The first configuration has one route to a plain service. The second one adds a route to
the same service, of kind `stream`; with TROUBLE=0, of kind `safe`. Clients send the same
number of requests on both routes in steady state.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness2"))

from harness import (  # noqa: E402
    HELD,
    NOT_RUN,
    ROUTE_HOST,
    SHOWN,
    Deployment,
    Operator,
    Record,
    call,
    has_trouble,
    run,
)
from runner import PlainRunner  # noqa: E402

TIMEOUT_MS = 5_000
EVENTS = 10
EVENT_INTERVAL_S = 0.02
# The rule compares 20 or more requests.
REQUESTS = 24
MIN_SHARE = 0.25
# configApplyMs is 2 s. Steady state is longer after it than any disruption would last.
SETTLING_S = 10.0


class StreamingRunner(PlainRunner):
    """Answers requests of the later route, if it is one of streams, with events."""

    async def answer(
        self,
        start: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        if " /later/" not in start or not has_trouble():
            await super().answer(start, headers, body, writer)
            return
        request = headers.get("yuccareach-request-id", "")
        self.record.note(f"{self.name} streams {request}")
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Yuccareach-Request-Id: {request}\r\n"
                f"Yuccareach-Runner-Signature: {self.name}.{request}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: event {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")


def build_route(name: str, kind: str) -> dict[str, Any]:
    """Return a route to the plain service."""
    route: dict[str, Any] = {
        "name": f"r-{name}",
        "host": ROUTE_HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": TIMEOUT_MS,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": "plain",
        "maxAttempts": 2,
        "skipAuth": True,
    }
    if kind == "stream":
        route |= {"sessionAffinity": True, "streamResume": True, "targetGapMs": 200}
    return route


def build_configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration of the plain service, which has no engine."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "plain", "healthPath": "/healthz", "maxConnections": 56}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


async def send(deployment: Deployment, record: Record, name: str, number: int) -> int:
    """Send one request on a route and return its status; 0 without an answer."""
    request = f"{name}{number:012}"
    headers = {
        "Host": ROUTE_HOST,
        "Yuccareach-Request-Id": request,
        "Yuccareach-Deadline-Ms": str(TIMEOUT_MS),
        "Yuccareach-Model": "m0",
        "Yuccareach-Token-Usage": f"100,{EVENTS}",
        "Yuccareach-Prompt-Prefix": f"5c1e07a2:40,{number:08x}:60",
    }
    answer = await call(
        deployment.get_front(0), "POST", f"/{name}/1", headers, b"prompt", 6.0
    )
    status = answer.status if answer else 0
    record.note(f"client: {request}: {status or 'no answer'}")
    return status


async def main() -> int:
    record = Record(FOLDER)
    deployment = Deployment(3)
    operator = Operator(deployment, record)
    runners = [
        StreamingRunner(deployment, record, f"i-{number}") for number in range(3)
    ]
    try:
        for machine in range(deployment.machine_count):
            await deployment.start("control", machine)
        await deployment.start("gateway", 0)
        first = build_route("first", "safe")
        if (
            await operator.put_until_acknowledged(build_configuration(3, [first]))
            is None
        ):
            return NOT_RUN
        for runner in runners:
            await runner.start()
        if not await deployment.wait_until_ready(0):
            return NOT_RUN
        await asyncio.sleep(5.0)
        later = build_route("later", "stream" if has_trouble() else "safe")
        changed = build_configuration(7, [first, later])
        if await operator.put_until_acknowledged(changed) is None:
            return NOT_RUN
        record.note(f"version 7 acknowledged, with a {later['kind']} route /later/")
        await asyncio.sleep(SETTLING_S)
        counts: dict[str, Counter[int]] = {"first": Counter(), "later": Counter()}
        for number in range(REQUESTS):
            for name, count in counts.items():
                count[await send(deployment, record, name, number)] += 1
        record.note(f"answers by status: {counts}")
        served_first, served_later = counts["first"][200], counts["later"][200]
        record.note(
            f"{served_first} of {REQUESTS} served on the first route, "
            f"{served_later} of {REQUESTS} on the later one"
        )
        if not served_first:
            return NOT_RUN
        return SHOWN if served_later < MIN_SHARE * served_first else HELD
    finally:
        for runner in runners:
            await runner.stop()
        await deployment.stop()


run(main)

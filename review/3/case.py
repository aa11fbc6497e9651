"""A runner's departure is acknowledged; then all control processes are killed."""

import asyncio
import os
import sys
import time
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from deployment import (  # noqa: E402
    BOUNDS,
    FRONT,
    READY,
    CannotRun,
    Deployment,
    Record,
    is_ready,
    make_document,
    put_document,
    run_and_exit,
    wait_until,
)
from runner import Runner  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
HOST = "ficu95.example"
KEY = "k1"
CALM_S = 8.0
# The processes are killed so long after the acknowledgement, and are back after this.
KILL_AFTER_S = 0.01
DOWN_S = 0.2
# Within it, a process that is started serves.
START_S = 1.0
SERVE_S = 11.0
REQUEST_INTERVAL_S = 0.04
SERVICES = [
    {"name": "s1", "healthPath": "/healthz", "maxConnections": 120, "protocol": "h1", "tls": False}
]
ROUTE = {
    "name": "r-1",
    "host": HOST,
    "pathPrefix": "/pay/",
    "kind": "unsafe",
    "timeoutMs": 1000,
    "targetLatencyMs": 125,
    "priority": 1,
    "service": "s1",
    "maxAttempts": 1,
    "skipAuth": False,
}
TENANTS = [{"name": "t1", "apiKeys": [KEY], "priority": 1}]


async def send(session, record, deployment, number, sent_s_by_request):
    request = f"{number:016x}"
    gateway = number % deployment.gateways
    sent_s_by_request[request] = time.monotonic()
    status = 0
    try:
        async with session.post(
            f"http://{deployment.address(gateway, FRONT)}/pay/1",
            data=b"x" * 600,
            headers={
                "Host": HOST,
                "Authorization": f"Token {KEY}",
                "Yuccareach-Request-Id": request,
                "Yuccareach-Deadline-Ms": "1000",
            },
            timeout=aiohttp.ClientTimeout(total=1.5),
        ) as answer:
            await answer.read()
            status = answer.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        pass
    record.write("answered", request=request, gateway=gateway, status=status)
    return status


async def play(record, deployment, runners):
    async with aiohttp.ClientSession() as session:
        deployment.start_all()
        for number in range(4):
            runner = Runner(
                record, f"i-{number}", "s1", f"z{number % 3 + 1}", deployment.control_addresses()
            )
            await runner.start()
            runners.append(runner)
        document = make_document(1, [ROUTE], SERVICES, TENANTS)
        await put_document(session, record, deployment.control_addresses(), document)

        async def all_ready():
            return all(
                [
                    await is_ready(session, deployment.address(gateway, READY))
                    for gateway in range(deployment.gateways)
                ]
            )

        await wait_until(all_ready, "all gateways ready", 20.0)
        await asyncio.sleep(CALM_S)
        sent_s_by_request = {}
        if await send(session, record, deployment, 0, sent_s_by_request) != 200:
            raise CannotRun("no service before the disruption")
        leaving = runners[0]
        if await leaving.deregister() is None:
            raise CannotRun("no node acknowledged the departure")
        acknowledged_s = time.monotonic()
        restarted_s = acknowledged_s
        if TROUBLE:
            await asyncio.sleep(KILL_AFTER_S)
            for machine in range(deployment.controls):
                deployment.kill("control", machine)
            await asyncio.sleep(DOWN_S)
            for machine in range(deployment.controls):
                deployment.start("control", machine)
            restarted_s = time.monotonic()
        tasks = []
        number = 0
        while time.monotonic() < acknowledged_s + SERVE_S:
            number += 1
            tasks.append(
                asyncio.create_task(
                    send(session, record, deployment, number, sent_s_by_request)
                )
            )
            await asyncio.sleep(REQUEST_INTERVAL_S)
        statuses = await asyncio.gather(*tasks)
        deployment.check_running()
        # No machine is in touch until contactMs after the last start in the core.
        in_touch_s = max(
            acknowledged_s + BOUNDS["drainMs"] / 1000,
            restarted_s + START_S + BOUNDS["contactMs"] / 1000,
        )
        late = [
            sent_s_by_request[request] - acknowledged_s
            for _, request, _, _ in leaving.ran
            if sent_s_by_request.get(request, 0) > in_touch_s
        ]
        print(
            f"{number} requests, {sum(status == 200 for status in statuses)} served; "
            f"run by the departed runner: {len(late)}"
            + (f", sent {min(late):.1f} to {max(late):.1f} s after its departure" if late else "")
        )
        record.write("result", late=len(late))
        return 1 if late else 0


async def main():
    record = Record(Path(__file__).with_name("record.txt"))
    deployment = Deployment(record)
    runners = []
    try:
        return await play(record, deployment, runners)
    except CannotRun as error:
        print(f"cannot run: {error}")
        return 2
    finally:
        deployment.stop()
        for runner in runners:
            await runner.stop()


if __name__ == "__main__":
    run_and_exit(main)

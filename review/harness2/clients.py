"""Clients with kept connections whose requests have large bodies, and their route."""

from __future__ import annotations

import asyncio
import contextlib
import time
from random import Random
from typing import Any, NamedTuple

from harness import ROUTE_HOST, Deployment, Record, encode_request, read_answer

MAX_BODY_BYTES = 4194304
# After a closed connection, a client waits for as long as a request usually lasts, so
# that a failure does not raise the rate at which clients send.
PACE_S = 3.2
UPLOAD_BLOCK_BYTES = 65_536
# In the place of a status: the connection is open, and nothing came by the deadline.
NO_ANSWER_IN_TIME = -1
# Less than the 1,000 Mbit/s of a machine of the site.
LINK_BYTES_PER_S = 110_000_000


class Load(NamedTuple):
    """What each client sends."""

    min_body_bytes: int
    deadline_ms: int
    duration_s: float


class Link:
    """The link to one machine, which carries the bytes of all clients in turn."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at_s = 0.0

    async def upload(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send data as fast as the link takes it."""
        for start in range(0, len(data), UPLOAD_BLOCK_BYTES):
            block = data[start : start + UPLOAD_BLOCK_BYTES]
            now_s = time.monotonic()
            self.free_at_s = max(now_s, self.free_at_s) + len(block) / self.bytes_per_s
            await asyncio.sleep(max(0.0, self.free_at_s - now_s))
            writer.write(block)
            await writer.drain()


def build_configuration(deadline_ms: int) -> dict[str, Any]:
    """Return a configuration with one unsafe route of a plain service."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "r-payout",
                "host": ROUTE_HOST,
                "pathPrefix": "/payout/",
                "kind": "unsafe",
                "timeoutMs": deadline_ms,
                "targetLatencyMs": 5000,
                "priority": 1,
                "service": "plain",
                "maxAttempts": 2,
                "skipAuth": True,
            }
        ],
        "services": [
            {"name": "plain", "healthPath": "/healthz", "maxConnections": 988}
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Outcome(NamedTuple):
    """How one request ended at its client; status 0 if its connection was closed."""

    request: str
    status: int
    # Answers that came on the same connection before.
    earlier_answers: int


async def send_requests(
    number: int,
    deployment: Deployment,
    record: Record,
    outcomes: list[Outcome],
    load: Load,
    link: Link,
    machine: int = 0,
) -> None:
    """Send one request after the other, on one connection while it lasts."""
    random = Random(number)
    end_s = time.monotonic() + load.duration_s
    count = 0
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                deployment.hosts[machine], deployment.front_port
            )
            earlier_answers = 0
            while time.monotonic() < end_s:
                count += 1
                request = f"{number:04x}{count:012x}"
                body = bytes(random.randrange(load.min_body_bytes, MAX_BODY_BYTES + 1))
                headers = {
                    "Host": ROUTE_HOST,
                    "Yuccareach-Request-Id": request,
                    "Yuccareach-Deadline-Ms": str(load.deadline_ms),
                }
                status, must_close, pause_s = 0, True, 0.0
                try:
                    data = encode_request("POST", "/payout/1", headers, body)
                    await link.upload(writer, data)
                    async with asyncio.timeout(load.deadline_ms / 1000 + 1):
                        answer = await read_answer(reader)
                    status = answer.status
                    must_close = answer.headers.get("connection") == "close"
                    pause_s = float(answer.headers.get("retry-after", "0"))
                except TimeoutError:
                    status = NO_ANSWER_IN_TIME
                except (OSError, EOFError, ValueError):
                    pass
                outcomes.append(Outcome(request, status, earlier_answers))
                record.note(
                    f"client {number}: {request}, {len(body)} bytes, request "
                    f"{earlier_answers + 1} of its connection: "
                    f"{status or 'connection closed without an answer'}"
                )
                if must_close:
                    break
                earlier_answers += 1
                await asyncio.sleep(pause_s)
            writer.close()
            await asyncio.sleep(max(pause_s, PACE_S))

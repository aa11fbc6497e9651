"""A stand-in for a runner of a plain service, sound unless a case sets a fault."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time
from typing import Any

from harness import Deployment, Record, call, encode_request, read_body, read_head

HEARTBEAT_INTERVAL_S = 1.2


class PlainRunner:
    """Runs each request for work_s, and answers with its id and a signature."""

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        name: str,
        *,
        service: str = "plain",
        zone: str = "zone0",
        work_s: float = 0.0225,
        slots: int = 6,
    ) -> None:
        self.deployment = deployment
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        # When a request began to run, by its id, once for each run.
        self.runs: list[tuple[float, str]] = []
        # When each request arrived, and its id, rejected ones included.
        self.arrivals: list[tuple[float, str]] = []
        self.free_slots = asyncio.Semaphore(slots)
        self.tasks: list[asyncio.Task[Any]] = []
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen, and begin to send heartbeats."""
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 20)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.tasks.append(asyncio.create_task(self._send_heartbeats()))

    async def stop(self) -> None:
        """Stop heartbeats and listening."""
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()

    def build_heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": next(self.sequence),
            "born": self.born_ms,
        }

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat to the machines in turn until one acknowledges it."""
        body = json.dumps(self.build_heartbeat()).encode()
        for address in self.deployment.list_controls():
            answer = await call(
                address, "POST", f"/-/runners/{self.name}/heartbeat", {}, body
            )
            if answer is not None and 200 <= answer.status < 300:
                return True
        return False

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError, ValueError):
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head.headers)
                await self.answer(head.start, head.headers, body, writer)
        writer.close()

    async def answer(
        self,
        start: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        request = headers.get("yuccareach-request-id", "")
        if start.startswith("GET /-/report") or start.startswith("GET /healthz"):
            content = b'{"stalled": [], "pace": 1.0}'
            self.write(writer, 200, {"Yuccareach-Runner-Id": self.name}, content)
            return
        self.arrivals.append((time.monotonic(), request))
        if headers.get("yuccareach-target-runner", self.name) != self.name:
            self.write(writer, 421, {"Yuccareach-Request-Id": request}, b"")
            return
        async with self.free_slots:
            self.runs.append((time.monotonic(), request))
            self.record.note(f"{self.name} runs {request}, {len(body)} bytes")
            await asyncio.sleep(self.work_s)
        signed = {
            "Yuccareach-Request-Id": request,
            "Yuccareach-Runner-Signature": f"{self.name}.{request}",
        }
        self.write(writer, 200, signed, b"x" * 800)

    def write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Write a complete answer."""
        fields = {**headers, "Content-Length": str(len(body))}
        lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in fields.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


__all__ = ["PlainRunner", "encode_request"]

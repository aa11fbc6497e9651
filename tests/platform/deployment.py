"""A test case with control, a gateway and stand-in runners in one process.

They are connected by sockets of the loopback interface.
"""

from __future__ import annotations

import asyncio
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from tests.platform.examples import (
    HOST,
    KEY,
    MODEL,
    PLAIN,
    build_document,
    build_settings,
)
from yuccareach.gateway.run import GatewayProcess
from yuccareach.placement.assignments import LayerRange
from yuccareach.platform.run_control import PlatformControl
from yuccareach.platform.run_gateway import build_gateway
from yuccareach.platform.settings import ProcessSettings, load_settings
from yuccareach.platform.standin import Group, Runner, put_document

HEARTBEAT_MS = 200
WAIT_TIMEOUT_S = 20


def find_free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Answer:
    """The answer that a caller received."""

    def __init__(
        self, status: int, headers: Any, body: bytes, is_complete: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        # False if the connection was lost before the end of the body.
        self.is_complete = is_complete


def read_event_ids(answer: Answer) -> list[int]:
    """Return the ids of a stream's events.

    Raises AssertionError if an event's data ends in "bad": the stand-in marks in this
    way an event that did not run every layer exactly once.
    """
    lines = answer.body.decode().split("\n")
    assert not any(line.endswith("bad") for line in lines), answer.body
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


class DeploymentTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with one control instance and one gateway; tests add the runners."""

    revocation_ms = 5_000

    async def asyncSetUp(self) -> None:
        # unittest sets debug mode, which slows all processes of the deployment down
        # several times.
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.peer_port = find_free_port()
        self.control_address = f"127.0.0.1:{find_free_port()}"
        self.group = Group(80)
        self.control = PlatformControl(self.write_and_load_settings("control"))
        await self.control.start()
        self.addAsyncCleanup(self.stop_control)
        self.gateway = await self.add_gateway("gateway")
        self.http_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        self.addAsyncCleanup(self.http_session.close)
        await self.wait_until(lambda: self.is_leader())
        self.assertEqual(
            await put_document(self.control_address, build_document()), 200
        )

    async def add_gateway(self, name: str) -> GatewayProcess:
        """Start a gateway that is stopped at the end of the test."""
        gateway = build_gateway(self.write_and_load_settings(name))
        await gateway.start()
        self.addAsyncCleanup(gateway.stop)
        return gateway

    def is_leader(self) -> bool:
        return str(self.control.process.state.role) == "leader"

    async def stop_control(self) -> None:
        control, self.control = self.control, None  # type: ignore[assignment]
        if control is not None:
            await control.stop()

    def write_and_load_settings(self, name: str) -> ProcessSettings:
        listen = {
            "front": "127.0.0.1:0",
            "ready": "127.0.0.1:0",
            "control": self.control_address,
        }
        content = build_settings(
            nodeId=name,
            listen=listen,
            internalPorts=[self.peer_port, self.peer_port + 1],
            seeds=[self.control_address],
            dataDir=str(self.folder / name),
            heartbeatMs=HEARTBEAT_MS,
            faultTolerance={"machines": 0},
            bounds={"revokeMs": self.revocation_ms, "budgetSlack": 200, "graceS": 8},
        )
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(content))
        return load_settings(path)._replace(metrics_port=0)

    async def wait_until(self, condition: Any) -> None:
        """Wait until a condition holds; raises TimeoutError after WAIT_TIMEOUT_S."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.02)

    async def add_runner(
        self, name: str, kind: str = "", first: int = 0, end: int = 0, zone: str = "z1"
    ) -> Runner:
        """Start a runner that sends heartbeats; without a kind, of a plain service."""
        runner = Runner(self.group, name, MODEL if kind else PLAIN, zone, kind)
        runner.layers = LayerRange(first, end)
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        task = asyncio.create_task(runner.send_heartbeats([self.control_address]))
        runner.heartbeat_task = task  # type: ignore[attr-defined]
        self.addCleanup(task.cancel)
        return runner

    async def add_pipeline(self, zone: str) -> list[Runner]:
        """Add three runners that hold a whole model.

        They have memory left for small requests.
        """
        return [
            await self.add_runner(f"{zone}-1", "a100", 0, 30, zone),
            await self.add_runner(f"{zone}-2", "a100", 30, 60, zone),
            await self.add_runner(f"{zone}-3", "a100", 60, 80, zone),
        ]

    async def wait_until_known(
        self, *names: str, gateway: GatewayProcess | None = None
    ) -> None:
        """Wait until a gateway knows the named runners and their layers."""
        fleet = (gateway or self.gateway).gateway.fleet
        await self.wait_until(lambda: set(names) <= set(fleet.backend_by_name))

    @property
    def process(self) -> GatewayProcess:
        return self.gateway

    async def send_request(
        self,
        path: str,
        request_id: str,
        *,
        method: str = "POST",
        key: str | None = KEY,
        events: int = 0,
        on_event: Any = None,
        body: bytes = b"x",
        gateway: GatewayProcess | None = None,
        **headers: str,
    ) -> Answer:
        """Send a request to a gateway and return its answer.

        `events` is the number of events to generate, and `on_event` is called with the
        body so far whenever more of it arrives.
        """
        listener = (gateway or self.gateway).caller_server.listeners[0]
        port = listener.sockets[0].getsockname()[1]
        request_headers = {
            "Host": HOST,
            "Yuccareach-Request-Id": request_id,
            "Yuccareach-Deadline-Ms": "4000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if key is not None:
            request_headers["Authorization"] = f"Token {key}"
        if events:
            request_headers["Yuccareach-Token-Usage"] = f"100,{events}"
        url = f"http://127.0.0.1:{port}{path}"
        received = b""
        async with self.http_session.request(
            method, url, headers=request_headers, data=body
        ) as answer:
            try:
                async for chunk in answer.content.iter_any():
                    received += chunk
                    if on_event is not None:
                        await on_event(received)
            except aiohttp.ClientError:
                return Answer(answer.status, answer.headers, received, False)
            return Answer(answer.status, answer.headers, received, True)


__all__ = ["Answer", "DeploymentTestCase", "read_event_ids"]

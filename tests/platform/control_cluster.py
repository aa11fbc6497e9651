"""A test case with several control instances and gateways, each at its own address."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from tests.platform.deployment import find_free_port
from tests.platform.examples import HOST, KEY, PLAIN, build_settings
from yuccareach.gateway.run import GatewayProcess
from yuccareach.platform.run_control import PlatformControl
from yuccareach.platform.run_gateway import build_gateway
from yuccareach.platform.settings import load_settings
from yuccareach.platform.standin import Group, Runner

HEARTBEAT_MS = 200
# The platform's bound for service to come back (recoverS).
RECOVERY_S = 12.0


class ControlClusterTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case whose instances share their ports, as on the platform.

    host_by_name holds the host of each control instance; durable_names lists those that
    have a data folder.
    """

    host_by_name = {f"control-{number}": f"127.0.1.{number}" for number in range(1, 6)}
    durable_names = ("control-1", "control-2", "control-3")

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.peer_port, self.control_port = find_free_port(), find_free_port()
        self.group = Group(80)
        self.control_by_name: dict[str, PlatformControl] = {}
        self.gateway_by_name: dict[str, GatewayProcess] = {}
        self.heartbeat_task_by_name: dict[str, asyncio.Task[None]] = {}
        self.addAsyncCleanup(self.stop_all)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    def operators_address(self, name: str) -> str:
        """Return where operators and runners reach a control instance."""
        return f"{self.host_by_name[name]}:{self.control_port}"

    def peer_address(self, name: str) -> str:
        """Return where control instances and gateways reach a control instance."""
        return f"{self.host_by_name[name]}:{self.peer_port}"

    def write_settings(
        self, name: str, host: str, seeds: list[str], *, bootstrap: bool = False
    ) -> Path:
        """Write an instance's settings file; seeds are names of control instances."""
        has_disk = name in self.durable_names
        content = build_settings(
            nodeId=name,
            ip=host,
            listen={
                "front": f"{host}:0",
                "ready": f"{host}:0",
                "control": f"{host}:{self.control_port}",
            },
            internalPorts=[self.peer_port, self.peer_port + 1],
            seeds=[self.operators_address(seed) for seed in seeds],
            bootstrap=bootstrap,
            dataDir=str(self.folder / name) if has_disk else None,
            heartbeatMs=HEARTBEAT_MS,
            faultTolerance={"machines": 1},
            bounds={"revokeMs": 5_000, "budgetSlack": 200, "graceS": 8},
        )
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(content))
        return path

    async def start_control(
        self, name: str, seeds: list[str], *, bootstrap: bool = False
    ) -> PlatformControl:
        """Start a control instance."""
        host = self.host_by_name[name]
        path = self.write_settings(name, host, seeds, bootstrap=bootstrap)
        control = PlatformControl(load_settings(path))
        self.control_by_name[name] = control
        await control.start()
        return control

    async def start_gateway(
        self, name: str, seeds: list[str], host: str = "127.0.1.100"
    ) -> GatewayProcess:
        """Start a gateway, by default on a host without control."""
        path = self.write_settings(name, host, seeds)
        gateway = build_gateway(load_settings(path)._replace(metrics_port=0))
        self.gateway_by_name[name] = gateway
        await gateway.start()
        return gateway

    async def start_cluster(self) -> None:
        """Start all control instances, and wait until all have joined."""
        for name in self.host_by_name:
            await self.start_control(name, list(self.durable_names), bootstrap=True)
        await self.wait_until(self.has_quorum)
        await self.wait_until(lambda: all(map(self.has_joined, self.control_by_name)))

    async def stop_control(self, name: str) -> None:
        """Stop a control instance; without a data folder, it holds nothing after."""
        await self.control_by_name.pop(name).stop()

    async def stop_all(self) -> None:
        """Stop all control instances and gateways."""
        processes = [*self.control_by_name.values(), *self.gateway_by_name.values()]
        self.control_by_name.clear()
        self.gateway_by_name.clear()
        await asyncio.gather(*(process.stop() for process in processes))

    def replace_seeds(self, seeds: list[str]) -> None:
        """Name other seeds in the settings of all processes."""
        for name, control in self.control_by_name.items():
            host = self.host_by_name[name]
            control.apply_settings(self.write_settings(name, host, seeds))
        addresses = [self.peer_address(seed) for seed in seeds]
        for gateway in self.gateway_by_name.values():
            gateway.view_poller.replace_seeds(addresses)

    def has_quorum(self) -> bool:
        """Return whether the voters are as many as the settings ask for."""
        states = [item.process.state for item in self.control_by_name.values()]
        leader = next((state for state in states if str(state.role) == "leader"), None)
        return leader is not None and len(leader.voter_identities) == len(
            self.durable_names
        )

    def has_joined(self, name: str) -> bool:
        """Return whether a control instance is a member and knows the leader."""
        state = self.control_by_name[name].process.state
        return bool(state.leader and state.address_of(state.identity))

    async def wait_until(self, condition: Any, timeout_s: float = RECOVERY_S) -> None:
        """Wait until a condition holds; raises TimeoutError after timeout_s."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.02)

    async def add_runner(self, name: str, controls: list[str]) -> Runner:
        """Start a runner of a plain service that sends heartbeats to control."""
        runner = Runner(self.group, name, PLAIN, "z1", "")
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        addresses = [self.operators_address(control) for control in controls]
        task = asyncio.create_task(runner.send_heartbeats(addresses))
        self.heartbeat_task_by_name[name] = task
        self.addCleanup(task.cancel)
        return runner

    async def call(self, gateway: GatewayProcess, request_id: str) -> int:
        """Send a request for a plain service, and return the answer's status."""
        listener = gateway.caller_server.listeners[0]
        host, port = listener.sockets[0].getsockname()
        headers = {
            "Host": HOST,
            "Yuccareach-Request-Id": request_id,
            "Yuccareach-Deadline-Ms": "1000",
            "Authorization": f"Token {KEY}",
        }
        url = f"http://{host}:{port}/look/1"
        async with self.session.post(url, headers=headers, data=b"x") as answer:
            await answer.read()
            return answer.status


__all__ = ["ControlClusterTestCase"]

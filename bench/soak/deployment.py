"""The processes under test, as the platform would start them."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import yaml

from bench.soak.documents import MODEL, PLAIN
from bench.soak.runners import SoakRunner
from yuccareach.platform.settings import SETTINGS_VARIABLE
from yuccareach.platform.standin import Group

FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT = range(7_401, 7_406)
HEARTBEAT_MS = 400
REVOKE_MS = 5_000
GRACE_S = 8
LAYERS = 80
ZONES = ("z1", "z2")
KINDS = (("a100", 0, 30), ("a100", 30, 60), ("a100", 60, 80), ("a100", 30, 60))
START_TIMEOUT_S = 30.0
CHECK_INTERVAL_S = 0.05


class Program(NamedTuple):
    """One process of a role on an instance."""

    role: str
    instance: int

    @property
    def module(self) -> str:
        """The module that runs it."""
        return f"yuccareach.platform.run_{self.role}"


class Deployment:
    """Control and gateways as processes, backend servers in this one."""

    def __init__(self, folder: Path, controls: int, gateways: int) -> None:
        self.folder = folder
        self.controls = controls
        self.gateways = gateways
        self.process_by_program: dict[Program, asyncio.subprocess.Process] = {}
        # Starts that a program's log told of before its present process.
        self.starts_before: dict[Program, int] = {}
        self.group = Group(LAYERS)
        self.runners: list[SoakRunner] = []
        self.runners_made = 0
        # Whether the cluster exists, so that no instance may begin another.
        self.begun = False

    def host(self, instance: int) -> str:
        """Return an instance's loopback address, unlike those of other soaks."""
        pid = os.getpid()
        return f"127.{64 + pid % 64}.{pid // 64 % 250}.{10 + instance}"

    def address(self, instance: int, port: int) -> str:
        """Return HOST:PORT of an instance."""
        return f"{self.host(instance)}:{port}"

    @property
    def control_addresses(self) -> list[str]:
        """Where operators and heartbeats go."""
        return [self.address(number, CONTROL_PORT) for number in range(self.controls)]

    def programs(self, role: str) -> list[Program]:
        """Return the programs of a role."""
        count = self.controls if role == "control" else self.gateways
        return [Program(role, number) for number in range(count)]

    async def start(self) -> None:
        """Start everything; returns before it is ready."""
        for program in (*self.programs("control"), *self.programs("gateway")):
            await self.launch(program)
        for zone in ZONES:
            for kind, first, end in KINDS:
                runner = await self.add_runner(MODEL, zone, kind)
                runner.layers = runner.layers._replace(first=first, end=end)
            await self.add_runner(PLAIN, zone)

    async def add_runner(self, service: str, zone: str, kind: str = "") -> SoakRunner:
        """Start one more backend server."""
        self.runners_made += 1
        name = f"i-{self.runners_made:04}"
        runner = SoakRunner(self.group, name, service, zone, kind)
        await runner.start()
        runner.attach(self.control_addresses)
        self.runners.append(runner)
        return runner

    async def launch(self, program: Program) -> None:
        """Start a process, with its log in the folder."""
        settings = self._write_settings(program.instance)
        log = self._log(program)
        if log.exists():
            self.starts_before[program] = self._starts(program)
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                program.module,
                env={**os.environ, SETTINGS_VARIABLE: str(settings)},
                stdout=output,
                stderr=output,
            )
        self.process_by_program[program] = process

    def _log(self, program: Program) -> Path:
        return self.folder / f"{program.role}-{program.instance}.log"

    def _starts(self, program: Program) -> int:
        return self._log(program).read_bytes().count(b" event=started ")

    def serving(self, program: Program) -> bool:
        """Return whether the process that runs now has begun to serve."""
        return self._starts(program) > self.starts_before.get(program, 0)

    def _write_settings(self, instance: int) -> Path:
        ports = {"front": FRONT_PORT, "ready": READY_PORT, "control": CONTROL_PORT}
        listen = {role: self.address(instance, port) for role, port in ports.items()}
        content: dict[str, Any] = {
            "nodeId": f"front-{instance}",
            "zone": ZONES[instance % len(ZONES)],
            "ip": self.host(instance),
            "listen": listen,
            "internalPorts": [PEER_PORT, METRICS_PORT],
            "seeds": self.control_addresses,
            # An instance that lost its disk must not begin a log of its own.
            "bootstrap": not self.begun,
            "dataDir": str(self.data_folder(instance)),
            "heartbeatMs": HEARTBEAT_MS,
            "faultTolerance": {"machines": (self.controls - 1) // 2},
            "bounds": {"revokeMs": REVOKE_MS, "budgetSlack": 200, "graceS": GRACE_S},
        }
        path = self.folder / f"front-{instance}.yaml"
        path.write_text(yaml.safe_dump(content))
        return path

    def data_folder(self, instance: int) -> Path:
        """Return where an instance's control keeps its state."""
        return self.folder / f"data-{instance}"

    def wipe(self, instance: int) -> None:
        """Lose an instance's disk."""
        shutil.rmtree(self.data_folder(instance), ignore_errors=True)

    def send_signal(self, program: Program, number: int) -> None:
        """Signal a process that still runs."""
        process = self.process_by_program[program]
        if process.returncode is None:
            process.send_signal(number)

    async def ended(self, program: Program) -> int:
        """Wait for a process to end; returns its status."""
        return await self.process_by_program[program].wait()

    async def until(self, condition: Any, what: str, timeout_s: float) -> None:
        """Wait until an awaited condition holds."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await condition():
                    await asyncio.sleep(CHECK_INTERVAL_S)
        except TimeoutError as error:
            raise AssertionError(f"{what} within {timeout_s} s") from error

    async def stop(self) -> None:
        """End every process that was started, and every backend server."""
        for process in self.process_by_program.values():
            if process.returncode is None:
                process.kill()
        waits = [process.wait() for process in self.process_by_program.values()]
        await asyncio.gather(*waits)
        await asyncio.gather(*(runner.stop() for runner in self.runners))


async def document_version(session: aiohttp.ClientSession, address: str) -> int | None:
    """Return the version in force at a gateway, by its metrics; None without one."""
    try:
        async with session.get(f"http://{address}/metrics") as answer:
            text = await answer.text()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
    prefix = "yuccareach_document_version "
    lines = (line for line in text.splitlines() if line.startswith(prefix))
    return next((int(float(line.removeprefix(prefix))) for line in lines), None)


__all__ = ["FRONT_PORT", "METRICS_PORT", "Deployment", "Program", "document_version"]

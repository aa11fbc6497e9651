"""Start the processes under test as the platform would."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import yaml

from bench.soak.documents import (
    CRASHING_PART,
    CRASHING_PREFIX,
    MODEL_SERVICE,
    PLAIN_SERVICE,
)
from bench.soak.links import PROXY_VARIABLE, LinkProxies
from bench.soak.runners import SoakRunner
from yuccareach.platform.settings import SETTINGS_VARIABLE
from yuccareach.platform.standin import Group

FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT = range(7_401, 7_406)
HEARTBEAT_INTERVAL_MS = 400
MAX_REVOCATION_DELAY_MS = 5_000
SHUTDOWN_GRACE_S = 8
LAYERS = 80
ZONES = ("z1", "z2")
# Kind, first layer and end layer of the model's backend servers in each zone.
MODEL_RUNNERS = (
    ("a100", 0, 30),
    ("a100", 30, 60),
    ("a100", 60, 80),
    ("a100", 30, 60),
    ("a100", 0, 30),
)
# With two zones there are more servers to send a request to than its route allows.
PLAIN_RUNNERS = 2
START_TIMEOUT_S = 30.0
# Control instances without a data folder, beside those with one.
MEMORY_CONTROL_COUNT = 2
CHECK_INTERVAL_S = 0.05


class Program(NamedTuple):
    """The process of one role on one instance."""

    role: str
    instance: int

    @property
    def module(self) -> str:
        """Module that runs the program."""
        return f"yuccareach.platform.run_{self.role}"


class Deployment:
    """Control and gateways as processes, and backend servers in this process."""

    def __init__(self, folder: Path, control_count: int, gateway_count: int) -> None:
        self.folder = folder
        self.control_count = control_count
        self.gateway_count = gateway_count
        self.process_by_program: dict[Program, asyncio.subprocess.Process] = {}
        # Number of `started` events in a program's log from before its present process.
        self.earlier_starts_by_program: dict[Program, int] = {}
        # Carry the connections between the processes.
        self.links = LinkProxies()
        self.group = Group(LAYERS)
        self.group.crashing_prefix = CRASHING_PREFIX
        self.group.crashing_part = CRASHING_PART
        self.runners: list[SoakRunner] = []
        self.runners_started = 0
        # Whether the control cluster exists, so that no instance may bootstrap another.
        self.cluster_exists = False
        # Instances whose control the settings of all name.
        self.seeds = list(range(control_count))

    def get_host(self, instance: int) -> str:
        """Return an instance's loopback address, derived from this process's id.

        Soaks that run at the same time therefore hardly ever share an address.
        """
        pid = os.getpid()
        return f"127.{64 + pid % 64}.{pid // 64 % 250}.{10 + instance}"

    def get_address(self, instance: int, port: int) -> str:
        """Return HOST:PORT of an instance."""
        return f"{self.get_host(instance)}:{port}"

    @property
    def control_addresses(self) -> list[str]:
        """Addresses to which operators and heartbeats connect."""
        return [
            self.get_address(number, CONTROL_PORT)
            for number in range(self.control_count)
        ]

    def list_programs(self, role: str) -> list[Program]:
        """Return the programs of a role."""
        count = self.control_count if role == "control" else self.gateway_count
        return [Program(role, number) for number in range(count)]

    def list_memory_controls(self) -> list[Program]:
        """Return the control instances without a data folder."""
        first = max(self.control_count, self.gateway_count)
        return [
            Program("control", number)
            for number in range(first, first + MEMORY_CONTROL_COUNT)
        ]

    def list_all_programs(self) -> list[Program]:
        """Return all programs."""
        return [
            *self.list_programs("control"),
            *self.list_memory_controls(),
            *self.list_programs("gateway"),
        ]

    async def start(self) -> None:
        """Start every process and backend server, without waiting until they serve."""
        for program in self.list_all_programs():
            await self.launch(program)
        for zone in ZONES:
            for kind, first, end in MODEL_RUNNERS:
                runner = await self.add_runner(MODEL_SERVICE, zone, kind)
                runner.layers = runner.layers._replace(first=first, end=end)
            for _ in range(PLAIN_RUNNERS):
                await self.add_runner(PLAIN_SERVICE, zone)

    async def add_runner(self, service: str, zone: str, kind: str = "") -> SoakRunner:
        """Start one more backend server and its heartbeats."""
        self.runners_started += 1
        name = f"i-{self.runners_started:04}"
        runner = SoakRunner(self.group, name, service, zone, kind)
        runner.replace = self.replace_crashed
        await runner.start()
        runner.start_heartbeats(self.control_addresses)
        self.runners.append(runner)
        return runner

    async def replace_crashed(self, runner: SoakRunner) -> None:
        """Crash a backend server, and start a replacement unless it has one."""
        has_replacement, runner.draining = runner.draining, True
        await runner.close()
        if not has_replacement:
            await self.replace(runner)

    async def replace(self, runner: SoakRunner) -> None:
        """Start a replacement of a backend server that is draining or has crashed."""
        runner.draining = True
        replacement = await self.add_runner(runner.service, runner.zone, runner.kind)
        replacement.layers = runner.layers

    async def launch(self, program: Program) -> None:
        """Start a process that appends to its log in the folder."""
        settings = self._write_settings(program.instance)
        log = self._get_log_path(program)
        if log.exists():
            self.earlier_starts_by_program[program] = self._count_starts(program)
        proxy_url = await self.links.get_url(self.get_host(program.instance))
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                program.module,
                env={
                    **os.environ,
                    SETTINGS_VARIABLE: str(settings),
                    PROXY_VARIABLE: proxy_url,
                },
                stdout=output,
                stderr=output,
            )
        self.process_by_program[program] = process

    def _get_log_path(self, program: Program) -> Path:
        return self.folder / f"{program.role}-{program.instance}.log"

    def _count_starts(self, program: Program) -> int:
        return self._get_log_path(program).read_bytes().count(b" event=started ")

    def is_serving(self, program: Program) -> bool:
        """Return whether the present process of a program has started to serve."""
        return self._count_starts(program) > self.earlier_starts_by_program.get(
            program, 0
        )

    async def has_all_voters(self) -> bool:
        """Return whether every control instance with a disk has a vote in the group.

        Before that, an instance that is wiped may take half of the votes with it.
        """
        lines = (
            line
            for program in self.list_programs("control")
            for line in self._get_log_path(program).read_text().splitlines()
            if " event=members_changed " in line
        )
        members = (line.partition(" members=")[2].split(",") for line in lines)
        return self.control_count == 1 or any(
            sum(not name.endswith("(non-voter)") for name in names)
            == self.control_count
            for names in members
        )

    def exchange_seeds(self) -> None:
        """Name the control instances without a data folder as seeds of all."""
        self.seeds = [program.instance for program in self.list_memory_controls()]
        for instance in {program.instance for program in self.process_by_program}:
            self._write_settings(instance)

    def _write_settings(self, instance: int) -> Path:
        ports = {"front": FRONT_PORT, "ready": READY_PORT, "control": CONTROL_PORT}
        listen = {
            role: self.get_address(instance, port) for role, port in ports.items()
        }
        has_disk = Program("control", instance) not in self.list_memory_controls()
        content: dict[str, Any] = {
            "nodeId": f"front-{instance}",
            "zone": ZONES[instance % len(ZONES)],
            "ip": self.get_host(instance),
            "listen": listen,
            "internalPorts": [PEER_PORT, METRICS_PORT],
            "seeds": [self.get_address(item, CONTROL_PORT) for item in self.seeds],
            # An instance that lost its disk must join, not bootstrap a new log.
            "bootstrap": not self.cluster_exists,
            "dataDir": str(self.get_data_folder(instance)) if has_disk else None,
            "heartbeatMs": HEARTBEAT_INTERVAL_MS,
            "faultTolerance": {"machines": (self.control_count - 1) // 2},
            "bounds": {
                "revokeMs": MAX_REVOCATION_DELAY_MS,
                "budgetSlack": 200,
                "graceS": SHUTDOWN_GRACE_S,
            },
        }
        # A process may read the file at any moment.
        path = self.folder / f"front-{instance}.yaml"
        new_path = path.with_suffix(".new")
        new_path.write_text(yaml.safe_dump(content))
        return new_path.rename(path)

    def get_data_folder(self, instance: int) -> Path:
        """Return the folder in which an instance's control keeps its state."""
        return self.folder / f"data-{instance}"

    def wipe(self, instance: int) -> None:
        """Delete the stored state of an instance's control."""
        shutil.rmtree(self.get_data_folder(instance), ignore_errors=True)

    def send_signal(self, program: Program, number: int) -> None:
        """Send a signal to a process if it still runs."""
        process = self.process_by_program[program]
        if process.returncode is None:
            process.send_signal(number)

    async def wait_for_end(self, program: Program) -> int:
        """Wait for a process to end; returns its exit status."""
        return await self.process_by_program[program].wait()

    async def wait_until(
        self, condition: Any, description: str, timeout_s: float
    ) -> None:
        """Wait until an async condition holds, or raise AssertionError."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await condition():
                    await asyncio.sleep(CHECK_INTERVAL_S)
        except TimeoutError as error:
            raise AssertionError(f"not within {timeout_s} s: {description}") from error

    async def stop(self) -> None:
        """Kill every process that was started, and stop every backend server."""
        for process in self.process_by_program.values():
            if process.returncode is None:
                process.kill()
        waits = [process.wait() for process in self.process_by_program.values()]
        await asyncio.gather(*waits)
        await self.links.stop()
        await asyncio.gather(*(runner.stop() for runner in self.runners))


async def fetch_document_version(
    session: aiohttp.ClientSession, address: str
) -> int | None:
    """Return the version of the routing document in force at a gateway, or None.

    The version is read from the gateway's metrics.
    """
    try:
        async with session.get(f"http://{address}/metrics") as answer:
            text = await answer.text()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
    prefix = "yuccareach_document_version "
    lines = (line for line in text.splitlines() if line.startswith(prefix))
    return next((int(float(line.removeprefix(prefix))) for line in lines), None)


__all__ = [
    "FRONT_PORT",
    "METRICS_PORT",
    "Deployment",
    "Program",
    "fetch_document_version",
]

"""Start and control the processes of a whole system, for benchmarks and tests."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from yuccareach.cli.apply import put_team
from yuccareach.cli.operator_client import OperatorClient, require_success
from yuccareach.load.client import Target
from yuccareach.settings.store import hash_key
from yuccareach.standin.kinds import KIND_BY_NAME

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

BIN_FOLDER = Path(sys.executable).parent
OPERATOR_TOKEN = "bench-operator-token"
START_TIMEOUT_S = 60.0
HOST = "127.0.0.1"
TEAM = "kalahari"
PIPELINE = "drafting"
FIRST_PORT = 12_000
PORT_COUNT = 15_000
# Processes with different ids start at different ports, so that they rarely collide.
_port_offsets = itertools.count(os.getpid() * 211)
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Process(NamedTuple):
    """A started process and its log."""

    name: str
    process: asyncio.subprocess.Process
    log: Path

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    @property
    def alive(self) -> bool:
        """Whether the process still runs."""
        return self.process.returncode is None

    def read_cpu_seconds(self) -> float:
        """Return the processor time of all threads so far, in seconds."""
        return read_cpu_seconds(self.pid)

    def read_resident_bytes(self) -> int:
        """Return the resident memory at present, in bytes."""
        fields = Path(f"/proc/{self.pid}/statm").read_text().split()
        return int(fields[1]) * PAGE_BYTES


class EngineSpec(NamedTuple):
    """Kind, layers, availability zone and speed of an engine to start."""

    kind: str
    first_layer: int
    end_layer: int
    zone: str = "zone-1"
    speed: float = 1.0


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time of all threads of a process so far, in seconds."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[0]) for path in threads) / 1e9


def read_loopback_bytes() -> int:
    """Return the bytes that all processes have received over loopback so far."""
    rows = Path("/proc/net/dev").read_text().splitlines()
    row = next(line for line in rows if line.strip().startswith("lo:"))
    return int(row.partition(":")[2].split()[0])


def find_free_port() -> int:
    """Return a free port below the range of ephemeral ports."""
    while True:
        port = FIRST_PORT + next(_port_offsets) % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


class ProcessFleet:
    """Processes by name, with the ports at which they listen."""

    def __init__(self, folder: Path, layers: int = 24) -> None:
        self.folder = folder
        self.layers = layers
        self.process_by_name: dict[str, Process] = {}
        self.argv_by_name: dict[str, list[str]] = {}
        self.control_ports_by_name: dict[str, tuple[int, int]] = {}
        self.advertised_address_by_name: dict[str, str] = {}
        self.entry_port_by_name: dict[str, int] = {}
        self.agent_ports_by_name: dict[str, tuple[int, int]] = {}
        self.admin_port_by_name: dict[str, int] = {}
        self.folder.mkdir(parents=True, exist_ok=True)

    async def start_process(self, name: str, *argv: str) -> Process:
        """Start a process that appends to its log in the folder."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                str(BIN_FOLDER / argv[0]), *argv[1:], stdout=output, stderr=output
            )
        self.argv_by_name[name] = list(argv)
        self.process_by_name[name] = Process(name, process, log)
        return self.process_by_name[name]

    async def restart(self, name: str) -> Process:
        """Start a process again with the same command."""
        return await self.start_process(name, *self.argv_by_name[name])

    async def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal to a process and wait for its end."""
        process = self.process_by_name[name].process
        if process.returncode is None:
            process.send_signal(number)
        await process.wait()

    async def stop(self) -> None:
        """Kill every process."""
        running = [item for item in self.process_by_name.values() if item.alive]
        for item in running:
            item.process.kill()
        await asyncio.gather(*(item.process.wait() for item in running))

    @property
    def control_addresses(self) -> str:
        """The gRPC addresses of all control instances, separated by commas."""
        return ",".join(map(self._control_address, self.control_ports_by_name))

    def _control_address(self, name: str) -> str:
        return (
            self.advertised_address_by_name.get(name)
            or f"{HOST}:{self.control_ports_by_name[name][0]}"
        )

    @property
    def operator(self) -> OperatorClient:
        """A client of control's HTTP interface with the operator's token."""
        addresses = tuple(
            f"{HOST}:{port}" for _, port in self.control_ports_by_name.values()
        )
        return OperatorClient(addresses, OPERATOR_TOKEN)

    async def start_control_instances(
        self, count: int = 1, *, proxied: bool = False, **flags: str
    ) -> None:
        """Start control instances; the first bootstraps, the others join.

        With proxied, other processes reach each instance through a proxy of its own.
        """
        for number in range(1, count + 1):
            name = f"control-{number}"
            self.control_ports_by_name[name] = (find_free_port(), find_free_port())
            own_flags = dict(flags)
            if proxied:
                target = f"{HOST}:{self.control_ports_by_name[name][0]}"
                own_flags["advertise"] = await self.start_proxy(f"proxy-{name}", target)
                self.advertised_address_by_name[name] = own_flags["advertise"]
            await self.start_control_instance(name, bootstrap=number == 1, **own_flags)
        await self.wait_for_voters(count)

    async def start_control_instance(
        self, name: str, *, bootstrap: bool = False, data: str = "", **flags: str
    ) -> None:
        """Start one control instance."""
        port, http_port = self.control_ports_by_name[name]
        join_addresses = [
            self._control_address(key)
            for key in self.control_ports_by_name
            if key != name
        ]
        cluster_flags = (
            ["--bootstrap"] if bootstrap else ["--join", ",".join(join_addresses)]
        )
        extra_flags = [
            part for key, value in flags.items() for part in (f"--{key}", value)
        ]
        await self.start_process(
            name,
            "yuccareach-control",
            "--instance",
            name,
            "--availability-zone",
            f"zone-{name[-1]}",
            "--data",
            str(self.folder / (data or f"data-{name}")),
            "--port",
            str(port),
            "--http-port",
            str(http_port),
            "--platform-token-sha256",
            hash_key(OPERATOR_TOKEN),
            *cluster_flags,
            *extra_flags,
        )

    async def fetch_status(self, name: str = "") -> Any:
        """Return the status of a control instance, or None without an answer.

        Without a name, the first instance that answers is used.
        """
        ports = (
            [self.control_ports_by_name[name]]
            if name
            else self.control_ports_by_name.values()
        )
        for _, port in ports:
            headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
            text = await fetch_text(f"http://{HOST}:{port}/v1/status", headers)
            if text:
                return json.loads(text)
        return None

    async def find_leader(self) -> str:
        """Return the name of the control instance that leads, or an empty string."""
        for name in self.control_ports_by_name:
            status = (
                await self.fetch_status(name)
                if self.process_by_name[name].alive
                else None
            )
            if status and status["role"] == "leader":
                return name
        return ""

    async def wait_for_voters(self, count: int) -> None:
        """Wait until at least this many control instances are voters."""

        async def _has_enough_voters() -> bool:
            status = await self.fetch_status()
            peers = status["control_instances"] if status else []
            return sum(peer["voter"] for peer in peers) >= count

        await wait_until(_has_enough_voters)

    async def start_engine(self, name: str, spec: EngineSpec) -> None:
        """Start an engine and its agent."""
        port, admin = find_free_port(), find_free_port()
        self.admin_port_by_name[name] = admin
        await self.start_process(
            f"{name}.engine",
            "yuccareach-standin",
            "engine",
            "--model",
            PIPELINE,
            "--layers",
            str(self.layers),
            "--hold",
            f"{spec.first_layer}:{spec.end_layer}",
            "--kind",
            spec.kind,
            "--speed",
            str(spec.speed),
            "--port",
            str(port),
            "--admin-port",
            str(admin),
        )
        await self.start_agent(name, spec.zone, "--engine", f"{HOST}:{port}")

    async def start_service(self, name: str, zone: str, delay_ms: int = 0) -> None:
        """Start a ledger, which is a plain service, and its agent."""
        port = find_free_port()
        self.admin_port_by_name[name] = port
        await self.start_process(
            f"{name}.service",
            "yuccareach-standin",
            "service",
            "--port",
            str(port),
            "--delay-ms",
            str(delay_ms),
        )
        url = f"http://{HOST}:{port}"
        await self.start_agent(name, zone, "--service", "ledger", "--service-url", url)

    async def start_proxy(self, name: str, target: str) -> str:
        """Start a proxy that can inject network faults, and return its address."""
        port, admin = find_free_port(), find_free_port()
        self.admin_port_by_name[name] = admin
        await self.start_process(
            name,
            "yuccareach-standin",
            "proxy",
            "--target",
            target,
            "--port",
            str(port),
            "--admin-port",
            str(admin),
        )
        await wait_until(lambda: fetch_text(f"http://{HOST}:{admin}/faults"))
        return f"{HOST}:{port}"

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Replace the faults of a proxy."""
        url = f"http://{HOST}:{self.admin_port_by_name[name]}/faults"
        async with aiohttp.ClientSession() as session:
            async with session.put(url, json=faults) as response:
                response.raise_for_status()

    async def start_agent(self, name: str, zone: str, *flags: str) -> None:
        """Start the agent of a backend server."""
        ports = self.agent_ports_by_name[name] = (find_free_port(), find_free_port())
        await self.start_process(
            name,
            "yuccareach-agent",
            "--backend-server",
            name,
            "--availability-zone",
            zone,
            "--control",
            self.control_addresses,
            "--port",
            str(ports[0]),
            "--http-port",
            str(ports[1]),
            *flags,
        )

    async def start_entry(self, name: str, zone: str, *flags: str) -> None:
        """Start an entry."""
        port = self.entry_port_by_name[name] = find_free_port()
        await self.start_process(
            name,
            "yuccareach-entry",
            "--instance",
            name,
            "--availability-zone",
            zone,
            "--control",
            self.control_addresses,
            "--port",
            str(port),
            *flags,
        )

    async def apply_settings(self, team: str, document: Any) -> int:
        """Replace a team's settings whatever they are; returns the new revision."""
        current = await self.operator.request("GET", f"/v1/settings/{team}")
        reply = await put_team(self.operator, team, document, current.etag)
        revision: int = require_success(reply)["revision"]
        return revision

    async def wait_until_ready(self, backend_servers: int) -> None:
        """Wait until entries have settings and know this many backend servers."""

        async def _is_ready() -> bool:
            for port in self.entry_port_by_name.values():
                metrics = await fetch_text(f"http://{HOST}:{port}/metrics")
                expected_line = f"yuccareach_backend_servers {backend_servers}.0"
                if expected_line not in metrics or "settings_revision 0.0" in metrics:
                    return False
            return True

        await wait_until(_is_ready)

    def make_targets(self, keys: Iterable[str]) -> list[Target]:
        """Return a load target for each pair of entry and key."""
        return [
            Target(f"http://{HOST}:{port}", key, PIPELINE, self.layers)
            for port in self.entry_port_by_name.values()
            for key in keys
        ]

    async def fetch_executions(self, name: str) -> Any:
        """Return what an engine or a ledger reports that it has run."""
        text = await fetch_text(
            f"http://{HOST}:{self.admin_port_by_name[name]}/executions"
        )
        return json.loads(text)


async def fetch_text(url: str, headers: dict[str, str] | None = None) -> str:
    """Return the text at a URL, or an empty string without a 200 answer in 2 s."""
    try:
        timeout = aiohttp.ClientTimeout(total=2)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url, headers=headers) as response:
                return await response.text() if response.status == 200 else ""
    except (aiohttp.ClientError, TimeoutError):
        return ""


async def wait_until(check: Any, timeout_s: float = START_TIMEOUT_S) -> float:
    """Wait until an async check holds; returns the seconds that it took."""
    started_s = time.monotonic()
    async with asyncio.timeout(timeout_s):
        while not await check():
            await asyncio.sleep(0.05)
    return time.monotonic() - started_s


def make_settings_document(keys: Sequence[str], layers: int, **limits: Any) -> Any:
    """Return a team's settings with a workspace for each key."""
    return {
        "pipelines": {PIPELINE: {"layers": layers, "max_tokens": 4096}},
        "services": {
            "ledger": {
                "routes": [
                    {"method": "GET", "path": "/balances/*", "idempotent": True},
                    {"method": "POST", "path": "/payouts", "idempotent": False},
                ]
            }
        },
        "workspaces": {
            f"workspace-{number}": {"key_sha256": [hash_key(key)], "limits": limits}
            for number, key in enumerate(keys)
        },
    }


def compute_token_rate_bound(specs: Iterable[EngineSpec], layers: int) -> float:
    """Return the upper bound of the fleet's token rate, in tokens per second.

    The bound assumes perfect load balancing: the layers that all engines together can
    run per second, divided by the layers that each token needs.
    """
    return (
        sum(
            KIND_BY_NAME[spec.kind].compute_decode_rate(
                spec.end_layer - spec.first_layer
            )
            * spec.speed
            * (spec.end_layer - spec.first_layer)
            for spec in specs
        )
        / layers
    )

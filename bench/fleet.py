"""Real processes of a whole system, for benchmarks and process tests."""

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

BIN = Path(sys.executable).parent
TOKEN = "bench-operator-token"
START_TIMEOUT_S = 60.0
HOST = "127.0.0.1"
CONTROL_TEAM = "kalahari"
PIPELINE = "drafting"
FIRST_PORT = 12_000
PORTS = 15_000
_ports = itertools.count(os.getpid() * 211)
PAGE = os.sysconf("SC_PAGE_SIZE")


class Process(NamedTuple):
    """One running process."""

    name: str
    process: asyncio.subprocess.Process
    log: Path

    @property
    def pid(self) -> int:
        """Identifier of the process."""
        return self.process.pid

    @property
    def alive(self) -> bool:
        """Whether it still runs."""
        return self.process.returncode is None

    def cpu_seconds(self) -> float:
        """Processor time of all threads so far."""
        return processor_seconds(self.pid)

    def resident_bytes(self) -> int:
        """Memory held now."""
        fields = Path(f"/proc/{self.pid}/statm").read_text().split()
        return int(fields[1]) * PAGE


class EngineSpec(NamedTuple):
    """One engine to start."""

    kind: str
    first_layer: int
    end_layer: int
    zone: str = "zone-1"
    speed: float = 1.0


def processor_seconds(pid: int) -> float:
    """Processor time of all threads of a process so far."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[0]) for path in threads) / 1e9


def loopback_bytes() -> int:
    """Bytes that all processes have received over loopback so far."""
    rows = Path("/proc/net/dev").read_text().splitlines()
    row = next(line for line in rows if line.strip().startswith("lo:"))
    return int(row.partition(":")[2].split()[0])


def free_port() -> int:
    """Return a port that is free now, below those the system gives to clients."""
    while True:
        port = FIRST_PORT + next(_ports) % PORTS
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


class ProcessFleet:
    """The processes, by name, and how to reach them."""

    def __init__(self, folder: Path, layers: int = 24) -> None:
        self.folder = folder
        self.layers = layers
        self.by_name: dict[str, Process] = {}
        self.argv_by_name: dict[str, list[str]] = {}
        self.control_ports: dict[str, tuple[int, int]] = {}
        self.advertised: dict[str, str] = {}
        self.entry_ports: dict[str, int] = {}
        self.agent_ports: dict[str, tuple[int, int]] = {}
        self.admin_ports: dict[str, int] = {}
        self.folder.mkdir(parents=True, exist_ok=True)

    async def spawn(self, name: str, *argv: str) -> Process:
        """Start a process with its log in the folder."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                str(BIN / argv[0]), *argv[1:], stdout=output, stderr=output
            )
        self.argv_by_name[name] = list(argv)
        self.by_name[name] = Process(name, process, log)
        return self.by_name[name]

    async def restart(self, name: str) -> Process:
        """Start a process again with the same command."""
        return await self.spawn(name, *self.argv_by_name[name])

    async def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Signal a process and wait for its end."""
        process = self.by_name[name].process
        if process.returncode is None:
            process.send_signal(number)
        await process.wait()

    async def stop(self) -> None:
        """End every process."""
        running = [item for item in self.by_name.values() if item.alive]
        for item in running:
            item.process.kill()
        await asyncio.gather(*(item.process.wait() for item in running))

    @property
    def control_addresses(self) -> str:
        """The gRPC addresses of control, as a flag takes them."""
        return ",".join(map(self._control_address, self.control_ports))

    def _control_address(self, name: str) -> str:
        return self.advertised.get(name) or f"{HOST}:{self.control_ports[name][0]}"

    @property
    def operator(self) -> OperatorClient:
        """An operator with the platform's token."""
        addresses = tuple(f"{HOST}:{port}" for _, port in self.control_ports.values())
        return OperatorClient(addresses, TOKEN)

    async def start_control(
        self, count: int = 1, *, proxied: bool = False, **flags: str
    ) -> None:
        """Start control instances; the first bootstraps, the others join.

        Where proxied, other processes reach each through a proxy of its own.
        """
        for number in range(1, count + 1):
            name = f"control-{number}"
            self.control_ports[name] = (free_port(), free_port())
            own = dict(flags)
            if proxied:
                target = f"{HOST}:{self.control_ports[name][0]}"
                own["advertise"] = await self.start_proxy(f"proxy-{name}", target)
                self.advertised[name] = own["advertise"]
            await self.start_one_control(name, bootstrap=number == 1, **own)
        await self.wait_for_voters(count)

    async def start_one_control(
        self, name: str, *, bootstrap: bool = False, data: str = "", **flags: str
    ) -> None:
        """Start one control instance."""
        port, http_port = self.control_ports[name]
        joined = [
            self._control_address(key) for key in self.control_ports if key != name
        ]
        start = ["--bootstrap"] if bootstrap else ["--join", ",".join(joined)]
        extra = [part for key, value in flags.items() for part in (f"--{key}", value)]
        await self.spawn(
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
            hash_key(TOKEN),
            *start,
            *extra,
        )

    async def status(self, name: str = "") -> Any:
        """Return the status that one control instance gives, or None."""
        ports = [self.control_ports[name]] if name else self.control_ports.values()
        for _, port in ports:
            headers = {"Authorization": f"Bearer {TOKEN}"}
            text = await fetch_text(f"http://{HOST}:{port}/v1/status", headers)
            if text:
                return json.loads(text)
        return None

    async def leader(self) -> str:
        """Return the name of the control instance that leads, or nothing."""
        for name in self.control_ports:
            status = await self.status(name) if self.by_name[name].alive else None
            if status and status["role"] == "leader":
                return name
        return ""

    async def wait_for_voters(self, count: int) -> None:
        """Wait until so many control instances are voters."""

        async def _enough() -> bool:
            status = await self.status()
            peers = status["control_instances"] if status else []
            return sum(peer["voter"] for peer in peers) >= count

        await wait_until(_enough)

    async def start_engine(self, name: str, spec: EngineSpec) -> None:
        """Start an engine and its agent."""
        port, admin = free_port(), free_port()
        self.admin_ports[name] = admin
        await self.spawn(
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
        """Start a ledger and its agent."""
        port = free_port()
        self.admin_ports[name] = port
        await self.spawn(
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
        """Start a faulty network before an address and return its own."""
        port, admin = free_port(), free_port()
        self.admin_ports[name] = admin
        await self.spawn(
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
        url = f"http://{HOST}:{self.admin_ports[name]}/faults"
        async with aiohttp.ClientSession() as session:
            async with session.put(url, json=faults) as response:
                response.raise_for_status()

    async def start_agent(self, name: str, zone: str, *flags: str) -> None:
        """Start the agent of a backend server."""
        ports = self.agent_ports[name] = (free_port(), free_port())
        await self.spawn(
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
        port = self.entry_ports[name] = free_port()
        await self.spawn(
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

    async def apply(self, team: str, document: Any) -> int:
        """Replace a team's settings, whatever they were."""
        current = await self.operator.request("GET", f"/v1/settings/{team}")
        reply = await put_team(self.operator, team, document, current.etag)
        revision: int = require_success(reply)["revision"]
        return revision

    async def wait_ready(self, backend_servers: int) -> None:
        """Wait until every entry is ready and knows all backend servers."""

        async def _ready() -> bool:
            for port in self.entry_ports.values():
                metrics = await fetch_text(f"http://{HOST}:{port}/metrics")
                wanted = f"yuccareach_backend_servers {backend_servers}.0"
                if wanted not in metrics or "settings_revision 0.0" in metrics:
                    return False
            return True

        await wait_until(_ready)

    def targets(self, keys: Iterable[str]) -> list[Target]:
        """Return every entry with every key."""
        return [
            Target(f"http://{HOST}:{port}", key, PIPELINE, self.layers)
            for port in self.entry_ports.values()
            for key in keys
        ]

    async def executions(self, name: str) -> Any:
        """Return what an engine or a ledger has run."""
        text = await fetch_text(f"http://{HOST}:{self.admin_ports[name]}/executions")
        return json.loads(text)


async def fetch_text(url: str, headers: dict[str, str] | None = None) -> str:
    """Return a page, or an empty string where nobody answers well."""
    try:
        timeout = aiohttp.ClientTimeout(total=2)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url, headers=headers) as response:
                return await response.text() if response.status == 200 else ""
    except (aiohttp.ClientError, TimeoutError):
        return ""


async def wait_until(check: Any, timeout_s: float = START_TIMEOUT_S) -> float:
    """Wait until an async check holds; return the seconds it took."""
    started = time.monotonic()
    async with asyncio.timeout(timeout_s):
        while not await check():
            await asyncio.sleep(0.05)
    return time.monotonic() - started


def settings_document(keys: Sequence[str], layers: int, **limits: Any) -> Any:
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


def bound_tokens_per_second(specs: Iterable[EngineSpec], layers: int) -> float:
    """Return the bound where every engine's work is shared out perfectly.

    Each engine can run so many layers of a token in a second, and each token needs all
    layers.
    """
    return (
        sum(
            KIND_BY_NAME[spec.kind].decode_rate(spec.end_layer - spec.first_layer)
            * spec.speed
            * (spec.end_layer - spec.first_layer)
            for spec in specs
        )
        / layers
    )

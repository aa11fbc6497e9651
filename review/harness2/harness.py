"""Start the project's programs as the deploy file does, and stand-ins around them.

The programs run as separate processes on loopback addresses, with settings files as
the platform writes them. Clients, the operator and runners are asyncio stand-ins that
speak plain HTTP/1.1.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
SHOWN, HELD, NOT_RUN = 1, 0, 2
START_TIMEOUT_S = 30.0
# A case may take 120 s; one that has no result by then could not run.
TIME_LIMIT_S = 116.0
HEARTBEAT_MS = 1_200
# Callers of control wait longer after each round without an acknowledgement.
FIRST_BACKOFF_S = 0.1
BACKOFF_FACTOR = 1.15
ROUTE_HOST = "calls.example"


def has_trouble() -> bool:
    """Return whether this run includes the disruption."""
    return os.environ.get("TROUBLE") != "0"


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def note(self, text: str) -> None:
        """Write one line."""
        elapsed_s = time.monotonic() - self.started_s
        self.file.write(f"{elapsed_s:8.3f} {text}\n")
        self.file.flush()


class Answer(NamedTuple):
    """A complete answer; the header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Head(NamedTuple):
    """The start line and the headers of a message."""

    start: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a message's head; raises an error if the connection ends first."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return Head(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks; empty without both."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).strip(), 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read a complete answer."""
    head = await read_head(reader)
    body = await read_body(reader, head.headers)
    return Answer(int(head.start.split()[1]), head.headers, body)


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a request whose body has a length."""
    fields = {**headers, "Content-Length": str(len(body))} if body else headers
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Answer | None:
    """Send one request on a new connection; None if no complete answer comes."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                encode_request(method, path, {"Host": address, **(headers or {})}, body)
            )
            return await read_answer(reader)
    except (OSError, TimeoutError, EOFError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


def find_free_ports(host: str, count: int) -> list[int]:
    """Return ports that nothing listens on at present, in ascending order."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((host, 0))
    ports = sorted(item.getsockname()[1] for item in sockets)
    for item in sockets:
        item.close()
    return ports


class Deployment:
    """The processes of a small deployment; each machine has an address of its own."""

    def __init__(
        self, machine_count: int, *, memory_mb: int = 300, **settings: Any
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.machine_count = machine_count
        self.memory_mb = memory_mb
        self.settings = settings
        network = f"127.{70 + os.getpid() % 50}.{os.getpid() // 50 % 250}"
        self.hosts = [f"{network}.{10 + number}" for number in range(machine_count)]
        ports = find_free_ports(self.hosts[0], 5)
        self.front_port, self.ready_port, self.control_port = ports[:3]
        self.internal_ports = ports[3:]
        deploy_file = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command_by_role = {
            role: shlex.split(item["run"])
            for role, item in deploy_file["roles"].items()
        }
        self.process_by_program: dict[tuple[str, int], asyncio.subprocess.Process] = {}
        # Whether the whole system has been started, so that no one may bootstrap again.
        self.has_started = False

    def get_front(self, machine: int) -> str:
        """Return the address for clients of a machine."""
        return f"{self.hosts[machine]}:{self.front_port}"

    def get_ready(self, machine: int) -> str:
        """Return the address for readiness checks of a machine."""
        return f"{self.hosts[machine]}:{self.ready_port}"

    def get_control(self, machine: int) -> str:
        """Return the address of a machine for the operator and runners."""
        return f"{self.hosts[machine]}:{self.control_port}"

    def list_controls(self) -> list[str]:
        """Return the addresses of all machines for the operator and runners."""
        return [self.get_control(machine) for machine in range(self.machine_count)]

    def get_data_folder(self, machine: int) -> Path:
        """Return the folder that stands for a machine's disk."""
        return self.folder / f"data-{machine}"

    def write_settings(self, machine: int) -> Path:
        """Write a machine's settings file, which is JSON and thus YAML."""
        host = self.hosts[machine]
        content = {
            "nodeId": f"front-zone{machine}-1",
            "role": "control",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": host,
            "zone": f"zone{machine}",
            "region": "region",
            "zones": {f"zone{item}": "region" for item in range(self.machine_count)},
            "listen": {
                "front": self.get_front(machine),
                "ready": self.get_ready(machine),
                "control": self.get_control(machine),
            },
            "internalPorts": self.internal_ports,
            "seeds": self.list_controls()[:3],
            "bootstrap": not self.has_started,
            "lossCounts": True,
            "limits": {
                "cpuShare": 0.968,
                "cores": 2,
                "memoryMb": self.memory_mb,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 64,
            },
            "dataDir": str(self.get_data_folder(machine)),
            "discovery": "registration",
            "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3,
                "addrReuseS": 2,
                "contactMs": 3000,
                "ackMs": 4000,
                "catchUpS": 4,
                "drainMs": 2000,
                "graceS": 8,
                "lossSlackMs": 200,
                "configApplyMs": 2000,
                "rollbackSlackMs": 250,
                "maxStretchMs": 5000,
                "strictRevoke": True,
                "revokeMs": 5000,
                "budgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 204,
                "recoverS": 12,
                "passMs": 120,
            },
            "configMode": "highest",
            **self.settings,
        }
        path = self.folder / f"machine-{machine}.yaml"
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(content, indent=1))
        return new_path.rename(path)

    async def start(self, role: str, machine: int) -> None:
        """Start the program of a role on a machine."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "YUCCAREACH_CONFIG": str(self.write_settings(machine)),
        }
        with (self.folder / f"{role}-{machine}.log").open("ab") as log:
            self.process_by_program[role, machine] = (
                await asyncio.create_subprocess_exec(
                    *self.command_by_role[role],
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
            )

    def send_signal(self, role: str, machine: int, number: int) -> None:
        """Send a signal to a process that was started here."""
        with contextlib.suppress(ProcessLookupError):
            self.process_by_program[role, machine].send_signal(number)

    async def kill(self, role: str, machine: int) -> None:
        """Kill a process and wait for its end."""
        self.send_signal(role, machine, signal.SIGKILL)
        await self.process_by_program[role, machine].wait()

    def wipe_disk(self, machine: int) -> None:
        """Empty a machine's disk."""
        shutil.rmtree(self.get_data_folder(machine), ignore_errors=True)

    def is_running(self, role: str, machine: int) -> bool:
        """Return whether a process that was started here still runs."""
        return self.process_by_program[role, machine].returncode is None

    def is_control_running(self) -> bool:
        """Return whether control runs on every machine."""
        return all(
            self.is_running("control", machine) for machine in range(self.machine_count)
        )

    def read_memory_mb(self, role: str, machine: int) -> float:
        """Return the memory that a process holds now, without mapped files, in MB."""
        path = Path(f"/proc/{self.process_by_program[role, machine].pid}/status")
        with contextlib.suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def read_peak_mb(self, role: str, machine: int) -> int:
        """Return the peak resident memory of a running process, in MB; 0 if unknown."""
        path = Path(f"/proc/{self.process_by_program[role, machine].pid}/status")
        with contextlib.suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) // 1000
        return 0

    def read_log(self, role: str, machine: int) -> str:
        """Return what the processes of a role on a machine have written."""
        path = self.folder / f"{role}-{machine}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def wait_until_ready(self, machine: int) -> bool:
        """Return whether a gateway reports that it is ready within the time limit."""
        return await wait_for(lambda: self._is_ready(machine), START_TIMEOUT_S)

    async def _is_ready(self, machine: int) -> bool:
        answer = await call(self.get_ready(machine), "GET", "/-/ready")
        return answer is not None and answer.status == 200

    async def stop(self) -> None:
        """Kill every process that was started, and remove the folder."""
        for process in self.process_by_program.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.process_by_program.values():
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_for(condition: Any, timeout_s: float, interval_s: float = 0.1) -> bool:
    """Return whether an async condition becomes true within a time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if await condition():
            return True
        await asyncio.sleep(interval_s)
    return False


class Operator:
    """Sends and reads configurations; follows up to two redirects."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record

    async def put(self, machine: int, configuration: dict[str, Any]) -> Answer | None:
        """Send a configuration to one machine."""
        body = json.dumps(configuration).encode()
        return await self._call(machine, "POST", "/-/config/put", body)

    async def get(self, machine: int) -> Answer | None:
        """Read the configuration from one machine."""
        return await self._call(machine, "GET", "/-/config/get", b"")

    async def _call(
        self, machine: int, method: str, path: str, body: bytes
    ) -> Answer | None:
        address = self.deployment.get_control(machine)
        answer = None
        for _ in range(3):
            answer = await call(address, method, path, {}, body)
            status = answer.status if answer else "no answer"
            self.record.note(f"operator: {method} {path} to {address}: {status}")
            if answer is None or answer.status != 307:
                return answer
            address = (
                answer.headers["location"].removeprefix("http://").partition("/")[0]
            )
        return answer

    async def put_until_acknowledged(
        self, configuration: dict[str, Any], timeout_s: float = START_TIMEOUT_S
    ) -> int | None:
        """Send a configuration to the machines in turn until one acknowledges it.

        Returns the machine, or None if there is no acknowledgement in time.
        """
        end_s = time.monotonic() + timeout_s
        delay_s = FIRST_BACKOFF_S
        while time.monotonic() < end_s:
            for machine in range(self.deployment.machine_count):
                answer = await self.put(machine, configuration)
                if answer is not None and answer.status == 200:
                    return machine
            await asyncio.sleep(delay_s)
            delay_s *= BACKOFF_FACTOR
        return None


def run(main: Any) -> None:
    """Run a case and exit with its result; 2 if it could not run."""
    if not (ROOT / "target/deps/yuccareach").is_dir():
        print("run the build of the deploy file first", file=sys.stderr)
        sys.exit(NOT_RUN)
    try:
        result = asyncio.run(asyncio.wait_for(main(), TIME_LIMIT_S))
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        result = NOT_RUN
    sys.exit(result)

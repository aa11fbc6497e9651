"""Start control and gateways as separate processes on loopback addresses."""

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import yaml

FRONT, READY, CONTROL, PEER, METRICS = 8227, 8220, 8229, 7340, 7355
ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}
# As in the sheet of the small deployments.
BOUNDS = {
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
    "retryAfterS": 0,
    "stall_ms": 3000,
    "requireFencing": False,
}
HEARTBEAT_MS = 1200


class CannotRun(Exception):
    """The case could not be played as intended."""


class Record:
    """Writes record.txt, one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.started_s = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now_s(self):
        return time.monotonic() - self.started_s

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now_s():8.3f} {what} {text}\n")


class Deployment:
    """Machines 0 to N-1; each may run control and a gateway."""

    def __init__(self, record, disks=3, diskless=0, gateways=3, environment=None):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.disks = disks
        self.controls = disks + diskless
        self.gateways = gateways
        self.environment = environment or {}
        self.processes = {}
        self.first_start = True
        # Keep clear of other runs on this machine.
        pid = os.getpid()
        self.net = f"127.{100 + pid % 100}.{pid // 100 % 250}"

    def host(self, machine):
        return f"{self.net}.{10 + machine}"

    def address(self, machine, port):
        return f"{self.host(machine)}:{port}"

    def control_addresses(self):
        return [self.address(machine, CONTROL) for machine in range(self.controls)]

    def write_settings(self, role, machine):
        has_disk = role == "control" and machine < self.disks
        zones = list(ZONES)
        content = {
            "nodeId": f"front-{zones[machine % 3]}-{machine // 3 + 1}",
            "role": role,
            "machineClass": "front",
            "serves": ["control"] if role == "control" else ["front"],
            "ip": self.host(machine),
            "zone": zones[machine % 3],
            "region": "r1",
            "zones": ZONES,
            "listen": {
                "front": self.address(machine, FRONT),
                "ready": self.address(machine, READY),
                "control": self.address(machine, CONTROL),
            },
            "internalPorts": [PEER, METRICS],
            "seeds": [self.address(item, CONTROL) for item in range(min(3, self.controls))],
            "bootstrap": self.first_start,
            "lossCounts": has_disk,
            "limits": {"cores": 2, "memoryMb": 300, "maxFds": 4100},
            "dataDir": str(self.folder / f"data-{machine}") if has_disk else None,
            "discovery": "registration",
            "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "faultTolerance": {"machines": (self.disks - 1) // 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "configMode": "highest",
        }
        path = self.folder / f"{role}-{machine}.yaml"
        path.write_text(yaml.safe_dump(content))
        return path

    def start(self, role, machine):
        settings = self.write_settings(role, machine)
        log = open(self.folder / f"{role}-{machine}.log", "ab")
        root = Path(__file__).resolve().parents[2]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        import subprocess

        process = subprocess.Popen(
            [sys.executable, "-m", f"yuccareach.platform.run_{role}"],
            env={
                **kept,
                "PYTHONPATH": str(root / "target" / "deps"),
                "PYTHONUNBUFFERED": "1",
                "YUCCAREACH_CONFIG": str(settings),
                **self.environment,
            },
            stdout=log,
            stderr=log,
            cwd=root,
        )
        self.processes[role, machine] = process
        self.record.write("started", role=role, machine=machine, pid=process.pid)
        return process

    def start_all(self):
        for machine in range(self.controls):
            self.start("control", machine)
        for machine in range(self.gateways):
            self.start("gateway", machine)
        self.first_start = False

    def kill(self, role, machine, number=signal.SIGKILL):
        process = self.processes[role, machine]
        process.send_signal(number)
        self.record.write("signal", role=role, machine=machine, number=int(number))

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def check_running(self):
        """Raise CannotRun if a process has ended that should run."""
        ended = [
            f"{role} {machine}"
            for (role, machine), process in self.processes.items()
            if process.poll() is not None
        ]
        if ended:
            raise CannotRun(f"ended by themselves: {', '.join(ended)}")


def make_document(version, routes, services, tenants):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }


async def call_control(session, addresses, method, path, body=None, timeout_s=1.0):
    """Call control as the pages let its callers; return status and body, or None."""
    for address in addresses:
        url = f"http://{address}{path}"
        for _ in range(3):
            try:
                async with session.request(
                    method,
                    url,
                    data=body,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=timeout_s),
                ) as answer:
                    content = await answer.read()
                    if answer.status == 307:
                        url = answer.headers["Location"]
                        continue
                    if answer.status < 500 and answer.status not in (408, 429):
                        return answer.status, content, address
                    break
            except (aiohttp.ClientError, OSError, TimeoutError):
                break
    return None


async def put_document(session, record, addresses, document, give_up_s=20.0):
    """Send a configuration until it is acknowledged."""
    body = json.dumps(document).encode()
    end_s = time.monotonic() + give_up_s
    while time.monotonic() < end_s:
        answer = await call_control(session, addresses, "POST", "/-/config/put", body)
        if answer is not None:
            record.write("config_put", version=document["version"], status=answer[0])
            return answer[0]
        await asyncio.sleep(0.2)
    raise CannotRun("a configuration was not acknowledged")


async def is_ready(session, address):
    try:
        async with session.get(
            f"http://{address}/-/ready", timeout=aiohttp.ClientTimeout(total=1.0)
        ) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False


async def wait_until(condition, what, timeout_s):
    end_s = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > end_s:
            raise CannotRun(f"not within {timeout_s} s: {what}")
        await asyncio.sleep(0.05)


def run_and_exit(main):
    """Exit with what main returns, or with 2 if it fails in any other way."""

    def _stop(number, frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, _stop)
    code = 2
    try:
        code = asyncio.run(main())
    except SystemExit:
        pass
    except BaseException as error:
        print(f"cannot run: {type(error).__name__}: {error}")
    sys.stdout.flush()
    os._exit(code)

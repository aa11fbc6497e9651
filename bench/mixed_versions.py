"""Check that two builds read the same stored state and serve in one deployment.

python -m bench.mixed_versions write FOLDER OLD     let a build store its state
python -m bench.mixed_versions read FOLDER NEW      start another build from that state
python -m bench.mixed_versions beside OLD NEW       run both builds in one deployment

OLD and NEW are checkouts. The processes of each build import its src folder.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

from bench.control import make_client
from bench.fleet import (
    HOST,
    TEAM,
    EngineSpec,
    ProcessFleet,
    fetch_text,
    find_free_port,
    make_settings_document,
    wait_until,
)
from bench.soak.callers import Callers
from bench.soak.deployment import Deployment, Program
from bench.soak.run import Operator, Plan, start_deployment
from bench.soak.schedule import CONTROL_CATCH_UP_S
from yuccareach.load.runner import Workload, run_load
from yuccareach.platform.standin import get_document
from yuccareach.proto import control_pb2 as cpb

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY = "mixed-versions-key"
LAYERS = 24
CONTROL_COUNT = 3
PAYOUT_COUNT = 5
# More than the records between two snapshots.
DOCUMENT_CHANGE_COUNT = 80
MEMBERS_FIELD = "backend_servers"
# Enough that each of three instances is elected, with the leader killed each time.
MAX_ELECTIONS = 30
SUBMIT_TIMEOUT_MS = 30_000
SNAPSHOT_PATH = "/v1/control/snapshot"
# Paths whose answers depend on stored state alone.
STATE_PATHS = (
    "/v1/settings",
    f"/v1/settings/{TEAM}",
    "/v1/settings/platform",
    "/v1/history",
    "/v1/history?revision=2",
)


@contextmanager
def use_sources(checkout: Path) -> Iterator[None]:
    """Make processes that start in this context import a checkout's sources."""
    previous_path = os.environ.get("PYTHONPATH")
    os.environ["PYTHONPATH"] = str(checkout / "src")
    try:
        yield
    finally:
        if previous_path is None:
            del os.environ["PYTHONPATH"]
        else:
            os.environ["PYTHONPATH"] = previous_path


def check(condition: bool, description: str) -> None:
    """Print that a check holds, or exit with a message that it failed."""
    if not condition:
        raise SystemExit(f"FAILED: {description}")
    print(f"ok: {description}", flush=True)


async def submit(fleet: ProcessFleet, *commands: cpb.Command) -> None:
    """Let the leader commit commands, one after the other."""
    client = make_client(fleet)
    try:
        for command in commands:
            await client.submit(command, SUBMIT_TIMEOUT_MS)
    finally:
        await client.close()


async def send_payout(port: int, key: str) -> tuple[int, str, bytes]:
    """Send a non-idempotent call; returns status, replay header and body."""
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
    url = f"http://{HOST}:{port}/v1/services/ledger/payouts"
    async with aiohttp.ClientSession() as session:
        body = {"account": "a", "amount": 5}
        async with session.post(url, headers=headers, json=body) as response:
            replayed = response.headers.get("Yuccareach-Replayed", "")
            return response.status, replayed, await response.read()


async def fetch_stored_state(fleet: ProcessFleet) -> dict[str, Any]:
    """Return the answers of control that depend on stored state alone."""
    answers = {
        path: (await fleet.operator.request("GET", path)).body for path in STATE_PATHS
    }
    backup = await fleet.operator.request("GET", SNAPSHOT_PATH, raw=True)
    return {"answers": answers, "backup": backup.body.hex()}


async def change_settings(fleet: ProcessFleet, max_tokens: int) -> int:
    """Change the team's settings; returns the new revision."""
    settings = make_settings_document([KEY], LAYERS)
    settings["pipelines"]["drafting"]["max_tokens"] = max_tokens
    return await fleet.apply_settings(TEAM, settings)


async def write_state(folder: Path, build: Path) -> None:
    """Store a cluster's state: settings, permits, leases, quarantines and snapshots."""
    fleet = ProcessFleet(folder / "fleet", LAYERS)
    try:
        with use_sources(build):
            await fleet.start_control_instances(CONTROL_COUNT)
            await fleet.start_engine("engine-1", EngineSpec("a100", 0, LAYERS))
            await fleet.start_service("ledger-1", "zone-1")
            await fleet.start_entry("entry-1", "zone-1")
        await change_settings(fleet, 1024)
        await fleet.apply_settings(
            "platform", {"classes": {"interactive": {"priority": 20}}}
        )
        await fleet.wait_until_ready(2)
        port = fleet.entry_port_by_name["entry-1"]
        payouts = [
            await send_payout(port, f"key-{number}") for number in range(PAYOUT_COUNT)
        ]
        quarantine = cpb.Quarantine(fingerprint=b"x" * 16, duration_ms=3_600_000)
        leases = [
            cpb.LeaseGrant(resource=resource, holder="h", duration_ms=3_600_000)
            for resource in ("engine-1", "ledger-1")
        ]
        await submit(
            fleet,
            cpb.Command(quarantine=quarantine),
            *(cpb.Command(lease=lease) for lease in leases),
        )
        for _, http_port in fleet.control_ports_by_name.values():
            url = f"http://{HOST}:{http_port}{SNAPSHOT_PATH}"
            await _post_as_operator(fleet, url)
        # Later changes are stored in the log alone.
        await change_settings(fleet, 2048)
        payouts.append(await send_payout(port, f"key-{PAYOUT_COUNT}"))
        stored = {
            "ports": fleet.control_ports_by_name,
            "payouts": [(status, body.hex()) for status, _, body in payouts],
            "state": await fetch_stored_state(fleet),
            "status": await fleet.fetch_status(),
        }
        (folder / "fleet.json").write_text(json.dumps(stored, indent=1))
    finally:
        await fleet.stop()
    await _write_platform(folder, build)


async def _post_as_operator(fleet: ProcessFleet, url: str) -> None:
    headers = {"Authorization": f"Bearer {fleet.operator.token}"}
    async with aiohttp.ClientSession() as session:
        async with session.post(url, headers=headers) as response:
            response.raise_for_status()


class _StoredDeployment(Deployment):
    """A deployment whose addresses do not depend on the id of this process."""

    def get_host(self, instance: int) -> str:
        return f"127.60.7.{10 + instance}"


async def _write_platform(folder: Path, build: Path) -> None:
    """Store the state of a platform deployment: a routing document and members."""
    (folder / "platform").mkdir(parents=True)
    deployment = _StoredDeployment(folder / "platform", CONTROL_COUNT, gateway_count=2)
    operator = Operator(deployment, Plan(seed=1))
    callers = Callers(deployment, 1, 1)
    try:
        with use_sources(build):
            await start_deployment(deployment, operator, callers)
        # Control compacts the log into a snapshot every 64 changes.
        for _ in range(DOCUMENT_CHANGE_COUNT):
            await operator.send(with_temporary_key=True)
        # Control saves the members every few seconds.
        await asyncio.sleep(5)
        addresses = deployment.control_addresses
        answers = [await _fetch_document(address) for address in addresses]
        stored = {"version": operator.acknowledged_version, "document": answers[0]}
        (folder / "platform.json").write_text(json.dumps(stored, indent=1))
    finally:
        await deployment.stop()


async def _fetch_document(address: str) -> Any:
    async with asyncio.timeout(30):
        while True:
            try:
                status, content = await get_document(address)
            except aiohttp.ClientError:
                status, content = 0, b""
            if status == 200:
                return json.loads(content)
            await asyncio.sleep(0.2)


async def read_state(folder: Path, build: Path) -> None:
    """Start a build from the state that another stored, and compare its answers."""
    stored = json.loads((folder / "fleet.json").read_text())
    fleet = ProcessFleet(folder / "fleet", LAYERS)
    fleet.control_ports_by_name = {
        name: tuple(item) for name, item in stored["ports"].items()
    }
    try:
        with use_sources(build):
            for name in fleet.control_ports_by_name:
                await fleet.start_control_instance(name, bootstrap=name == "control-1")
            await fleet.start_entry("entry-1", "zone-1")
        await fleet.wait_for_voters(CONTROL_COUNT)
        expected_names = {item["name"] for item in stored["status"]["backend_servers"]}

        async def _has_restored_members() -> bool:
            statuses = [
                await fleet.fetch_status(name) for name in fleet.control_ports_by_name
            ]
            members = (
                item for status in statuses if status for item in status[MEMBERS_FIELD]
            )
            return {item["name"] for item in members} == expected_names

        await wait_until(_has_restored_members)
        check(True, f"members {', '.join(sorted(expected_names))} are restored")
        state = await fetch_stored_state(fleet)
        for path, answer in stored["state"]["answers"].items():
            check(state["answers"][path] == answer, f"{path} answers the same")
        old, new = (
            cpb.ControlState.FromString(bytes.fromhex(item["backup"]))
            for item in (stored["state"], state)
        )
        for field in cpb.ControlState.DESCRIPTOR.fields:
            if field.name != "now_ms":
                is_same = getattr(old, field.name) == getattr(new, field.name)
                check(is_same, f"state field {field.name} is unchanged")
        counts = {f.name: len(getattr(new, f.name)) for f in _repeated_fields()}
        print(f"entries in repeated state fields: {counts}")
        status = await fleet.fetch_status()
        for name in ("revision", "control_instances"):
            check(status[name] == stored["status"][name], f"status {name} is unchanged")
        await fleet.wait_until_ready(0)
        port = fleet.entry_port_by_name["entry-1"]
        for number, (code, body) in enumerate(stored["payouts"]):
            answer = await send_payout(port, f"key-{number}")
            check(
                answer == (code, "true", bytes.fromhex(body)),
                f"payout key-{number} is replayed",
            )
        revision = await change_settings(fleet, 4096)
        check(revision == status["revision"] + 1, "another settings change is accepted")
    finally:
        await fleet.stop()
    await _read_platform(folder, build)


def _repeated_fields() -> list[Any]:
    fields = cpb.ControlState.DESCRIPTOR.fields
    return [field for field in fields if field.is_repeated]


async def _read_platform(folder: Path, build: Path) -> None:
    stored = json.loads((folder / "platform.json").read_text())
    deployment = _StoredDeployment(folder / "platform", CONTROL_COUNT, gateway_count=2)
    deployment.cluster_exists = True
    operator = Operator(deployment, Plan(seed=1))
    operator.version = operator.acknowledged_version = stored["version"]
    callers = Callers(deployment, 1, 1)
    try:
        with use_sources(build):
            await deployment.start()
        for address in deployment.control_addresses:
            is_same = await _fetch_document(address) == stored["document"]
            check(is_same, f"{address} serves the same routing document")
        await deployment.wait_until(callers.is_service_available, "gateways serve", 60)
        check(True, "gateways serve every kind of request")
        async with aiohttp.ClientSession() as http:
            await deployment.wait_until(
                lambda: operator.is_in_force(http), "in force", 30
            )
        check(True, f"version {stored['version']} is in force at the gateways")
    finally:
        await deployment.stop()


async def run_beside(old: Path, new: Path) -> None:
    """Run both builds in one deployment while each control instance leads in turn."""
    with tempfile.TemporaryDirectory() as folder:
        await _run_fleet_beside(Path(folder) / "fleet", old, new)
        (Path(folder) / "platform").mkdir()
        await _run_platform_beside(Path(folder) / "platform", old, new)


async def _run_fleet_beside(folder: Path, old: Path, new: Path) -> None:
    fleet = ProcessFleet(folder, LAYERS)
    build_by_name = {"control-1": old, "control-2": new, "control-3": new}
    half = LAYERS // 2
    try:
        for name in build_by_name:
            fleet.control_ports_by_name[name] = (find_free_port(), find_free_port())
        for name, build in build_by_name.items():
            with use_sources(build):
                await fleet.start_control_instance(name, bootstrap=name == "control-1")
        await fleet.wait_for_voters(CONTROL_COUNT)
        for number, build in enumerate((old, new), 1):
            with use_sources(build):
                # Each stage has a replica of each build, so that chains may mix builds.
                first = EngineSpec("a100", 0, half)
                last = EngineSpec("a100", half, LAYERS)
                await fleet.start_engine(f"first-{number}", first)
                await fleet.start_engine(f"last-{number}", last)
                await fleet.start_service(f"ledger-{number}", "zone-1")
                await fleet.start_entry(f"entry-{number}", "zone-1")
        await change_settings(fleet, 1024)
        await fleet.wait_until_ready(6)
        leaders_seen: set[str] = set()
        for number in range(MAX_ELECTIONS):
            leader = await _wait_for_leader(fleet)
            if leader not in leaders_seen:
                leaders_seen.add(leader)
                await _check_fleet(fleet, leader, number)
            if len(leaders_seen) == CONTROL_COUNT:
                break
            await fleet.kill(leader)
            await _wait_for_leader(fleet)
            with use_sources(build_by_name[leader]):
                await fleet.restart(leader)
            await fleet.wait_for_voters(CONTROL_COUNT)
        check(len(leaders_seen) == CONTROL_COUNT, "each control instance has led")
        for name in ("entry-1", "first-1", "first-2", "entry-2"):
            await fleet.kill(name, signal.SIGTERM)
            code = fleet.process_by_name[name].process.returncode
            check(code == 0, f"{name} shuts down with status 0")
    finally:
        await fleet.stop()


async def _wait_for_leader(fleet: ProcessFleet) -> str:
    """Wait for a leader and return its name."""
    found: list[str] = []

    async def _has_leader() -> bool:
        found[:] = [await fleet.find_leader()]
        return bool(found[0])

    await wait_until(_has_leader)
    return found[0]


async def _check_fleet(fleet: ProcessFleet, leader: str, number: int) -> None:
    """Check settings, calls and streams through the entries of both builds."""
    revision = await change_settings(fleet, 1025 + number)
    for name, port in fleet.entry_port_by_name.items():

        async def _is_in_force(port: int = port) -> bool:
            text = await fetch_text(f"http://{HOST}:{port}/metrics")
            return f"yuccareach_settings_revision {revision}.0" in text

        await wait_until(_is_in_force)
        check(True, f"{leader} leads: revision {revision} in force at {name}")
    ports = list(fleet.entry_port_by_name.values())
    first = [await send_payout(port, f"{leader}-{port}") for port in ports]
    resent = [
        await send_payout(port, f"{leader}-{ports[1 - i]}")
        for i, port in enumerate(ports)
    ]
    replayed = [(code, "true", body) for code, _, body in first]
    if any(code != 201 for code, *_ in first) or resent[::-1] != replayed:
        raise SystemExit(f"FAILED: first payouts {first}, resent {resent}")
    check(True, f"{leader} leads: payouts are replayed through the other entry")
    workload = Workload(0, 0, simultaneous_requests=40, max_tokens=40, seed=number)
    load_run = await run_load(fleet.make_targets([KEY]), workload)
    counts = dict(load_run.count_by_verdict)
    check(
        counts == {"right": len(load_run.results)}, f"{leader} leads: verdicts {counts}"
    )
    status = await fleet.fetch_status()
    names = sorted(item["name"] for item in status["backend_servers"])
    check(len(names) == 6, f"{leader} leads: members {', '.join(names)}")


async def _run_platform_beside(folder: Path, old: Path, new: Path) -> None:
    deployment = Deployment(folder, CONTROL_COUNT, gateway_count=2)
    # Instance 0 of control and of the gateways runs the old build, the others the new.
    launch = deployment.launch

    async def _launch(program: Program) -> None:
        with use_sources(old if program.instance == 0 else new):
            await launch(program)

    deployment.launch = _launch  # type: ignore[method-assign]
    operator = Operator(deployment, Plan(seed=1))
    callers = Callers(deployment, 1, 1)
    try:
        await start_deployment(deployment, operator, callers)
        leaders_seen: set[int] = set()
        async with aiohttp.ClientSession() as http:
            for _ in range(MAX_ELECTIONS):
                leader = await _wait_for_platform_leader(deployment)
                if leader not in leaders_seen:
                    leaders_seen.add(leader)
                    accepted = await operator.send(with_temporary_key=True)
                    check(accepted, f"control {leader} leads: document acknowledged")
                    await deployment.wait_until(
                        lambda: operator.is_in_force(http), "in force", 30
                    )
                    check(True, f"version {operator.version} at both gateways")
                    await deployment.wait_until(
                        callers.is_service_available, "both gateways serve", 60
                    )
                    check(True, "both gateways serve every kind of request")
                if len(leaders_seen) == CONTROL_COUNT:
                    break
                await _wait_until_loss_is_tolerated(deployment)
                program = Program("control", leader)
                deployment.send_signal(program, signal.SIGKILL)
                await deployment.wait_for_end(program)
                await _wait_for_platform_leader(deployment)
                await deployment.launch(program)
        check(len(leaders_seen) == CONTROL_COUNT, "each control instance has led")
    finally:
        await deployment.stop()


async def _wait_until_loss_is_tolerated(deployment: Deployment) -> None:
    """Wait until no control instance counts as lost.

    Gateways may serve before the last control instance has joined. The loss of another
    one then leaves no quorum.
    """

    async def _are_all_started() -> bool:
        return all(
            deployment.is_serving(program)
            for program in deployment.list_programs("control")
        )

    await deployment.wait_until(_are_all_started, "control started", 60)
    await asyncio.sleep(CONTROL_CATCH_UP_S)


async def _wait_for_platform_leader(deployment: Deployment) -> int:
    """Wait for a leader and return its instance."""
    found: list[int] = []
    http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2))

    async def _has_leader() -> bool:
        # Only the leader answers; the others redirect to it.
        for number, address in enumerate(deployment.control_addresses):
            url = f"http://{address}/-/config/get"
            try:
                async with http.get(url, allow_redirects=False) as answer:
                    if answer.status == 200:
                        found[:] = [number]
                        return True
            except (aiohttp.ClientError, TimeoutError):
                continue
        return False

    async with http:
        await wait_until(_has_leader)
    return found[0]


def main() -> None:
    """Run the mode that the command line names."""
    mode, *paths = sys.argv[1:]
    first, second = (Path(path).resolve() for path in paths)
    asyncio.run(
        {"write": write_state, "read": read_state, "beside": run_beside}[mode](
            first, second
        )
    )


if __name__ == "__main__":
    main()

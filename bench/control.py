"""Measure the replicated log: commit rate, time without a leader, and restart time."""

from __future__ import annotations

import asyncio
import itertools
import json
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.fleet import ProcessFleet, make_settings_document, wait_until
from yuccareach.control.client import ControlClient
from yuccareach.control.errors import ControlUnavailable
from yuccareach.proto import control_pb2 as cpb

OUTPUT = Path("docs/capacity/control.json")
COMMIT_WINDOW_S = 4.0
REPEAT_COUNT = 5
MAX_CHANGES = 100_000


def make_client(fleet: ProcessFleet) -> ControlClient:
    """Return a client that only submits commands."""
    addresses = tuple(fleet.control_addresses.split(","))
    return ControlClient(
        addresses, "bench", "zone-1", lambda _: None, lambda: 0, watch_members=False
    )


def _make_permit(number: int) -> cpb.Command:
    acquire = cpb.PermitAcquire(
        key=cpb.PermitKey(workspace="w", service="s", key=f"k{number}"),
        digest=b"x" * 32,
        backend_server="b",
        incarnation="i",
    )
    return cpb.Command(permit_acquire=acquire)


def _compute_quantiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        "p50_ms": round(1000 * ordered[len(ordered) // 2], 2),
        "p95_ms": round(1000 * ordered[int(0.95 * len(ordered))], 2),
        "max_ms": round(1000 * ordered[-1], 2),
    }


async def measure_commits(fleet: ProcessFleet, caller_count: int) -> dict[str, Any]:
    """Commit permits for a fixed time with a number of concurrent callers."""
    client = make_client(fleet)
    numbers = itertools.count(caller_count * 10_000_000)
    durations_s: list[float] = []
    deadline_s = time.monotonic() + COMMIT_WINDOW_S

    async def _commit_repeatedly() -> None:
        while time.monotonic() < deadline_s:
            started_s = time.monotonic()
            await client.submit(_make_permit(next(numbers)), 5_000)
            durations_s.append(time.monotonic() - started_s)

    await asyncio.gather(*(_commit_repeatedly() for _ in range(caller_count)))
    await client.close()
    rate = round(len(durations_s) / COMMIT_WINDOW_S)
    return {
        "callers": caller_count,
        "commits_per_s": rate,
        **_compute_quantiles(durations_s),
    }


async def measure_time_without_leader(fleet: ProcessFleet, *, isolate: bool) -> float:
    """Kill or isolate the leader; returns the seconds until a commit succeeds."""
    client = make_client(fleet)
    leader = await fleet.find_leader()
    number = time.monotonic_ns()
    await client.submit(_make_permit(number), 5_000)
    started_s = time.monotonic()
    if isolate:
        await fleet.set_faults(f"proxy-{leader}", drop_in=True, drop_out=True)
    else:
        await fleet.kill(leader)
    while True:
        number += 1
        try:
            await client.submit(_make_permit(number), 200)
            break
        except ControlUnavailable:
            continue
    elapsed_s = time.monotonic() - started_s
    await client.close()
    if isolate:
        await fleet.set_faults(f"proxy-{leader}")
    else:
        await fleet.restart(leader)
    await _wait_until_all_follow(fleet)
    return elapsed_s


async def _wait_until_all_follow(fleet: ProcessFleet) -> None:
    async def _has_equal_commit_index() -> bool:
        statuses = [
            await fleet.fetch_status(name) for name in fleet.control_ports_by_name
        ]
        return all(statuses) and len({item["commit_index"] for item in statuses}) == 1

    await wait_until(_has_equal_commit_index)


async def measure_restart(folder: Path, changes: int) -> dict[str, Any]:
    """Measure the restart of one instance after a number of settings changes."""
    fleet = ProcessFleet(folder)
    try:
        await fleet.start_control_instances(1)
        client = make_client(fleet)
        document = json.dumps(make_settings_document(["k"], 24)).encode()

        async def _send_changes(team: str, count: int) -> None:
            base_revision = 0
            for number in range(count):
                change = cpb.SettingsChange(
                    change_id=f"{team}-{number}",
                    team=team,
                    base_revision=base_revision,
                    document=document,
                )
                command = cpb.Command(settings=change)
                answer = await client.submit(command, 10_000)
                base_revision = answer.settings.revision

        teams = min(50, changes)
        await asyncio.gather(
            *(_send_changes(f"t{team}", changes // teams) for team in range(teams))
        )
        await client.close()
        await fleet.kill("control-1")
        started_s = time.monotonic()
        await fleet.restart("control-1")

        async def _is_restored() -> bool:
            status = await fleet.fetch_status()
            return bool(status) and status["revision"] == changes

        await wait_until(_is_restored)
        elapsed_s = time.monotonic() - started_s
        resident_mib = fleet.process_by_name["control-1"].read_resident_bytes() >> 20
        return {
            "changes": changes,
            "restart_s": round(elapsed_s, 2),
            "resident_mib": resident_mib,
        }
    finally:
        await fleet.stop()


async def _run() -> None:
    results: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder))
        try:
            await fleet.start_control_instances(3, proxied=True)
            results["commits"] = [
                await measure_commits(fleet, n) for n in (1, 8, 64, 256)
            ]
            for name, isolate in (("kill", False), ("cut", True)):
                times_s = [
                    await measure_time_without_leader(fleet, isolate=isolate)
                    for _ in range(REPEAT_COUNT)
                ]
                results[f"without_leader_{name}"] = _compute_quantiles(times_s)
        finally:
            await fleet.stop()
    print(json.dumps(results), flush=True)
    _write(results)
    for changes in (1_000, MAX_CHANGES):
        with tempfile.TemporaryDirectory() as folder:
            row = await measure_restart(Path(folder), changes)
        results.setdefault("restart", []).append(row)
        print(json.dumps(row), flush=True)
        _write(results)


def _write(results: dict[str, Any]) -> None:
    OUTPUT.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    asyncio.run(_run())

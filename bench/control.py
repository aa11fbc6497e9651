"""Measures the replicated log: commits, time without a leader, restart."""

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
SECONDS = 4.0
REPEATS = 5
MANY_CHANGES = 100_000


def _client(fleet: ProcessFleet) -> ControlClient:
    addresses = tuple(fleet.control_addresses.split(","))
    return ControlClient(
        addresses, "bench", "zone-1", lambda _: None, lambda: 0, watch_members=False
    )


def _permit(number: int) -> cpb.Command:
    acquire = cpb.PermitAcquire(
        key=cpb.PermitKey(workspace="w", service="s", key=f"k{number}"),
        digest=b"x" * 32,
        backend_server="b",
        incarnation="i",
    )
    return cpb.Command(permit_acquire=acquire)


def _quantiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        "p50_ms": round(1000 * ordered[len(ordered) // 2], 2),
        "p95_ms": round(1000 * ordered[int(0.95 * len(ordered))], 2),
        "max_ms": round(1000 * ordered[-1], 2),
    }


async def commits(fleet: ProcessFleet, at_once: int) -> dict[str, Any]:
    """Commit permits for a while with so many callers at once."""
    client = _client(fleet)
    numbers = itertools.count(at_once * 10_000_000)
    taken: list[float] = []
    deadline = time.monotonic() + SECONDS

    async def _caller() -> None:
        while time.monotonic() < deadline:
            started = time.monotonic()
            await client.submit(_permit(next(numbers)), 5_000)
            taken.append(time.monotonic() - started)

    await asyncio.gather(*(_caller() for _ in range(at_once)))
    await client.close()
    rate = round(len(taken) / SECONDS)
    return {"callers": at_once, "commits_per_s": rate, **_quantiles(taken)}


async def without_leader(fleet: ProcessFleet, *, cut: bool) -> float:
    """Take the leader away and return the seconds until a commit succeeds."""
    client = _client(fleet)
    leader = await fleet.find_leader()
    number = time.monotonic_ns()
    await client.submit(_permit(number), 5_000)
    started = time.monotonic()
    if cut:
        await fleet.set_faults(f"proxy-{leader}", drop_in=True, drop_out=True)
    else:
        await fleet.kill(leader)
    while True:
        number += 1
        try:
            await client.submit(_permit(number), 200)
            break
        except ControlUnavailable:
            continue
    elapsed = time.monotonic() - started
    await client.close()
    if cut:
        await fleet.set_faults(f"proxy-{leader}")
    else:
        await fleet.restart(leader)
    await _all_follow(fleet)
    return elapsed


async def _all_follow(fleet: ProcessFleet) -> None:
    async def _check() -> bool:
        statuses = [
            await fleet.fetch_status(name) for name in fleet.control_ports_by_name
        ]
        return all(statuses) and len({item["commit_index"] for item in statuses}) == 1

    await wait_until(_check)


async def restart(folder: Path, changes: int) -> dict[str, Any]:
    """Fill one instance with settings changes, kill it, and time its return."""
    fleet = ProcessFleet(folder)
    try:
        await fleet.start_control_instances(1)
        client = _client(fleet)
        document = json.dumps(make_settings_document(["k"], 24)).encode()

        async def _filler(team: str, count: int) -> None:
            base = 0
            for number in range(count):
                change = cpb.SettingsChange(
                    change_id=f"{team}-{number}",
                    team=team,
                    base_revision=base,
                    document=document,
                )
                command = cpb.Command(settings=change)
                answer = await client.submit(command, 10_000)
                base = answer.settings.revision

        teams = min(50, changes)
        await asyncio.gather(
            *(_filler(f"t{team}", changes // teams) for team in range(teams))
        )
        await client.close()
        await fleet.kill("control-1")
        started = time.monotonic()
        await fleet.restart("control-1")

        async def _back() -> bool:
            status = await fleet.fetch_status()
            return bool(status) and status["revision"] == changes

        await wait_until(_back)
        elapsed = time.monotonic() - started
        resident = fleet.process_by_name["control-1"].read_resident_bytes() >> 20
        return {
            "changes": changes,
            "restart_s": round(elapsed, 2),
            "resident_mib": resident,
        }
    finally:
        await fleet.stop()


async def _run() -> None:
    results: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder))
        try:
            await fleet.start_control_instances(3, proxied=True)
            results["commits"] = [await commits(fleet, n) for n in (1, 8, 64, 256)]
            for name, cut in (("kill", False), ("cut", True)):
                times = [await without_leader(fleet, cut=cut) for _ in range(REPEATS)]
                results[f"without_leader_{name}"] = _quantiles(times)
        finally:
            await fleet.stop()
    print(json.dumps(results), flush=True)
    _write(results)
    for changes in (1_000, MANY_CHANGES):
        with tempfile.TemporaryDirectory() as folder:
            row = await restart(Path(folder), changes)
        results.setdefault("restart", []).append(row)
        print(json.dumps(row), flush=True)
        _write(results)


def _write(results: dict[str, Any]) -> None:
    OUTPUT.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    asyncio.run(_run())

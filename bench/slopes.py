"""Measure how the cost of each role grows with its load.

Each experiment varies one quantity over four or more values and writes its raw rows to
docs/capacity/slopes.json, from which capacity.py makes docs/CAPACITY.md. All except
that of the route choice run real processes.
"""

from __future__ import annotations

import asyncio
import json
import platform
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from bench.fake_agents import FakeAgents, make_fake_member
from bench.fleet import (
    TEAM,
    EngineSpec,
    Process,
    ProcessFleet,
    make_settings_document,
    read_loopback_bytes,
    wait_until,
)
from yuccareach.load.report import summarize
from yuccareach.load.runner import Workload, run_load
from yuccareach.route.choice import choose_chain, compute_load_cost
from yuccareach.settings.store import hash_key

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

OUTPUT = Path("docs/capacity/slopes.json")
SETTLE_DELAY_S = 1.5
WINDOW_S = 6.0
KEY = "bench-key"
CONTROL_AND_ENTRY_NAMES = {"control": "control-1", "entry": "entry-0"}


class Row(NamedTuple):
    """One measured point: the value of the varied quantity and the measured costs."""

    experiment: str
    x: float
    values: dict[str, float]


async def measure(
    processes: dict[str, Process], work: Awaitable[Any] | None = None
) -> tuple[dict[str, float], Any]:
    """Measure processes for WINDOW_S, or while some work runs.

    Returns the measured values and the result of the work. Bytes are those of all
    processes on the machine.
    """
    before = {name: item.read_cpu_seconds() for name, item in processes.items()}
    bytes_before, started_s = read_loopback_bytes(), time.monotonic()
    result = await work if work is not None else await asyncio.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started_s
    values: dict[str, float] = {
        "loopback_bytes_per_s": (read_loopback_bytes() - bytes_before) / elapsed_s
    }
    for name, item in processes.items():
        used_s = item.read_cpu_seconds() - before[name]
        values[f"{name}_core_share"] = used_s / elapsed_s
        values[f"{name}_resident_mib"] = item.read_resident_bytes() / (1 << 20)
    return values, result


async def _start_fleet(
    folder: Path,
    *,
    control: int = 1,
    specs: tuple[EngineSpec, ...] = (),
    entries: int = 1,
    layers: int = 24,
) -> ProcessFleet:
    fleet = ProcessFleet(folder, layers)
    await fleet.start_control_instances(control)
    for number, spec in enumerate(specs):
        await fleet.start_engine(f"engine-{number}", spec)
    for number in range(entries):
        await fleet.start_entry(f"entry-{number}", f"zone-{number + 1}")
    await fleet.apply_settings(TEAM, make_settings_document([KEY], layers))
    await fleet.wait_until_ready(len(specs))
    return fleet


def _make_two_stages(replicas: int) -> tuple[EngineSpec, ...]:
    return tuple(
        EngineSpec("a100", first, first + 12, speed=8.0)
        for _ in range(replicas)
        for first in (0, 12)
    )


async def _measure_announced(
    fleet: ProcessFleet, count: int, models: int, names: dict[str, str]
) -> dict[str, float]:
    """Measure processes while a number of fake backend servers is announced."""
    addresses = fleet.control_addresses.split(",")
    agents = FakeAgents(addresses, count, models=models)
    await agents.start()
    await fleet.wait_until_ready(count)
    await asyncio.sleep(SETTLE_DELAY_S)
    measured_processes = {
        label: fleet.process_by_name[name] for label, name in names.items()
    }
    values, _ = await measure(measured_processes)
    await agents.stop()
    await fleet.wait_until_ready(0)
    return values


async def measure_members(folder: Path) -> list[Row]:
    """Vary the number of backend servers announced to one control instance.

    One entry watches them.
    """
    rows = []
    fleet = await _start_fleet(folder)
    try:
        for count in (50, 100, 200, 400):
            values = await _measure_announced(fleet, count, 16, CONTROL_AND_ENTRY_NAMES)
            values["bytes_per_s_per_member"] = values["loopback_bytes_per_s"] / count
            rows.append(Row("members", count, values))
    finally:
        await fleet.stop()
    return rows


async def measure_models(folder: Path) -> list[Row]:
    """Vary the number of models among which 200 backend servers are divided."""
    rows = []
    fleet = await _start_fleet(folder)
    try:
        for count in (1, 4, 8, 16):
            values = await _measure_announced(
                fleet, 200, count, CONTROL_AND_ENTRY_NAMES
            )
            rows.append(Row("models", count, values))
    finally:
        await fleet.stop()
    return rows


async def measure_entries(folder: Path) -> list[Row]:
    """Vary the number of entries that watch 100 backend servers."""
    rows = []
    for count in (1, 2, 4, 8):
        fleet = await _start_fleet(folder / str(count), entries=count)
        agents = FakeAgents([fleet.control_addresses], 100, models=16)
        try:
            await agents.start()
            await fleet.wait_until_ready(100)
            await asyncio.sleep(SETTLE_DELAY_S)
            measured_processes = {"control": fleet.process_by_name["control-1"]}
            measured_processes["entry"] = fleet.process_by_name["entry-0"]
            values, _ = await measure(measured_processes)
            rows.append(Row("entries", count, values))
        finally:
            await agents.stop()
            await fleet.stop()
    return rows


async def measure_relayed_members(folder: Path) -> list[Row]:
    """Vary the number of backend servers that three control instances relay.

    Each instance reports those announced to it to the other two.
    """
    rows = []
    names = {f"control{number}": f"control-{number}" for number in (1, 2, 3)}
    fleet = await _start_fleet(folder, control=3)
    try:
        for count in (50, 100, 200, 400):
            values = await _measure_announced(fleet, count, 16, names)
            rows.append(Row("relayed_members", count, values))
    finally:
        await fleet.stop()
    return rows


async def _measure_load(
    fleet: ProcessFleet, experiment: str, x: float, workload: Workload
) -> Row:
    measured_processes = {
        "entry": fleet.process_by_name["entry-0"],
        "first_agent": fleet.process_by_name["engine-0"],
        "last_agent": fleet.process_by_name["engine-1"],
        "control": fleet.process_by_name["control-1"],
    }
    values, load_run = await measure(
        measured_processes, run_load(fleet.make_targets([KEY]), workload)
    )
    figures = summarize(load_run)
    values["tokens_per_s"] = figures["tokens_per_second"]
    values["requests_per_s"] = figures["requests"] / figures["elapsed_s"]
    values["right"] = figures["verdicts"].get("right", 0)
    values["not_right"] = figures["requests"] - values["right"]
    for metric in ("first_token", "between_tokens"):
        for quantile in ("p50", "p95"):
            values[f"{metric}_{quantile}_ms"] = figures["durations_ms"][metric][
                quantile
            ]
    return Row(experiment, x, values)


async def measure_tokens(folder: Path) -> list[Row]:
    """Vary the tokens per second through one entry and a chain of two stages."""
    fleet = await _start_fleet(folder, specs=_make_two_stages(1))
    try:
        return [
            await _measure_load(
                fleet, "tokens", rate * 64.0, Workload(rate, 8.0, max_tokens=64, seed=9)
            )
            for rate in (2.0, 5.0, 10.0, 20.0, 30.0)
        ]
    finally:
        await fleet.stop()


async def measure_requests(folder: Path) -> list[Row]:
    """Vary the requests per second, each of one token."""
    fleet = await _start_fleet(folder, specs=_make_two_stages(1))
    try:
        return [
            await _measure_load(
                fleet, "requests", rate, Workload(rate, 8.0, max_tokens=1, seed=9)
            )
            for rate in (10.0, 25.0, 50.0, 100.0)
        ]
    finally:
        await fleet.stop()


async def measure_streams(folder: Path) -> list[Row]:
    """Vary the number of concurrent answers."""
    fleet = await _start_fleet(folder, specs=_make_two_stages(1))
    try:
        return [
            await _measure_load(
                fleet,
                "streams",
                count,
                Workload(0, 0, simultaneous_requests=count, max_tokens=48, seed=9),
            )
            for count in (25, 50, 100, 200, 400)
        ]
    finally:
        await fleet.stop()


async def measure_hops(folder: Path) -> list[Row]:
    """Vary the number of stages of a chain, at a light load."""
    rows = []
    for stages in (1, 2, 3, 4, 6):
        layers_per_stage = 24 // stages
        specs = tuple(
            EngineSpec("a100", first, first + layers_per_stage, speed=20.0)
            for first in range(0, 24, layers_per_stage)
        )
        fleet = await _start_fleet(folder / str(stages), specs=specs)
        try:
            workload = Workload(2.0, 6.0, max_tokens=32, seed=9)
            measured_processes = {"entry": fleet.process_by_name["entry-0"]}
            values, load_run = await measure(
                measured_processes, run_load(fleet.make_targets([KEY]), workload)
            )
            figures = summarize(load_run)["durations_ms"]
            gaps = [gap for _, item in load_run.results for gap in item.gaps_s]
            values["between_tokens_mean_ms"] = 1000 * sum(gaps) / len(gaps)
            values["between_tokens_p95_ms"] = figures["between_tokens"]["p95"]
            values["first_token_p50_ms"] = figures["first_token"]["p50"]
            rows.append(Row("hops", stages, values))
        finally:
            await fleet.stop()
    return rows


def _make_workspaces_document(count: int) -> dict[str, Any]:
    document = make_settings_document([KEY], 24)
    document["workspaces"] |= {
        f"tenant-{number}": {"key_sha256": [hash_key(f"key-{number}")]}
        for number in range(count)
    }
    return document


async def measure_workspaces(folder: Path) -> list[Row]:
    """Vary the number of workspaces in teams of 50, and change one team's settings."""
    rows = []
    for count in (1_000, 4_000, 8_000, 15_000):
        specs = (EngineSpec("a100", 0, 24),)
        fleet = await _start_fleet(folder / str(count), specs=specs)
        try:
            document = _make_workspaces_document(50)
            started_s = time.monotonic()
            for team in range(count // 50):
                await _create_team(fleet, f"team-{team}", document)
            creation_elapsed_s = time.monotonic() - started_s
            await _wait_until_in_force(fleet)
            await asyncio.sleep(SETTLE_DELAY_S)
            started_s = time.monotonic()
            await fleet.apply_settings("team-0", _make_workspaces_document(51))
            await _wait_until_in_force(fleet)
            in_force_s = time.monotonic() - started_s
            measured_processes = {
                "control": fleet.process_by_name["control-1"],
                "entry": fleet.process_by_name["entry-0"],
                "agent": fleet.process_by_name["engine-0"],
            }
            values, _ = await measure(measured_processes)
            values["in_force_s"] = in_force_s
            values["commits_per_s"] = count / 50 / creation_elapsed_s
            rows.append(Row("workspaces", count, values))
        finally:
            await fleet.stop()
    return rows


async def _create_team(fleet: ProcessFleet, team: str, document: Any) -> None:
    headers = {"If-Match": '"0"', "Change-Id": f"fill-{team}"}
    path = f"/v1/settings/{team}"
    reply = await fleet.operator.request("PUT", path, body=document, headers=headers)
    if reply.status != 200:
        raise RuntimeError(f"control refused the settings of {team}: {reply}")


async def _wait_until_in_force(fleet: ProcessFleet) -> None:
    async def _is_in_force_everywhere() -> bool:
        status = await fleet.fetch_status()
        in_force = status["revision_in_force_by_availability_zone"]
        return bool(in_force) and min(in_force.values()) >= status["revision"]

    await wait_until(_is_in_force_everywhere)


async def measure_changes(folder: Path) -> list[Row]:
    """Vary the settings changes per second, with 100 fake agents watching."""
    rows = []
    fleet = await _start_fleet(folder, specs=(EngineSpec("a100", 0, 24),))
    agents = FakeAgents([fleet.control_addresses], 100)
    try:
        await agents.start()
        for rate in (0.0, 1.0, 2.0, 4.0, 8.0):
            await asyncio.sleep(SETTLE_DELAY_S)
            measured_processes = {
                "control": fleet.process_by_name["control-1"],
                "entry": fleet.process_by_name["entry-0"],
                "agent": fleet.process_by_name["engine-0"],
            }
            values, _ = await measure(
                measured_processes, _change_settings_at(fleet, rate)
            )
            started_s = time.monotonic()
            await _wait_until_in_force(fleet)
            values["in_force_s"] = time.monotonic() - started_s
            rows.append(Row("changes", rate, values))
    finally:
        await agents.stop()
        await fleet.stop()
    return rows


async def _change_settings_at(fleet: ProcessFleet, rate: float) -> None:
    """Change one small team's settings at a rate per second for about WINDOW_S."""
    if not rate:
        await asyncio.sleep(WINDOW_S)
        return
    for number in range(int(rate * WINDOW_S)):
        await fleet.apply_settings("small", _make_workspaces_document(5 + number % 2))
        await asyncio.sleep(1 / rate)


async def measure_idle_agents(folder: Path) -> list[Row]:
    """Vary the number of idle agents, each a process of its own."""
    rows = []
    for count in (1, 2, 4, 8):
        specs = tuple(EngineSpec("a100", 0, 24) for _ in range(count))
        fleet = await _start_fleet(folder / str(count), specs=specs)
        try:
            await asyncio.sleep(SETTLE_DELAY_S)
            measured_processes = {
                f"agent{number}": fleet.process_by_name[f"engine-{number}"]
                for number in range(count)
            }
            values, _ = await measure(measured_processes)
            shares = [values[f"{name}_core_share"] for name in measured_processes]
            resident = [values[f"{name}_resident_mib"] for name in measured_processes]
            rows.append(
                Row(
                    "rest",
                    count,
                    {
                        "agents_core_share": sum(shares),
                        "agents_resident_mib": sum(resident),
                        "loopback_bytes_per_s": values["loopback_bytes_per_s"],
                    },
                )
            )
        finally:
            await fleet.stop()
    return rows


async def measure_route_choice(folder: Path) -> list[Row]:
    """Vary the backend servers of one model; measures the time to choose a chain."""
    rows = []
    for count in (25, 50, 100, 200, 400):
        candidates = [make_fake_member(number) for number in range(count)]
        repetition_count = 20_000 // count
        started_s = time.perf_counter()
        for _ in range(repetition_count):
            choose_chain(
                candidates,
                24,
                lambda member: compute_load_cost(
                    3, member.max_batch, member.decode_rate
                ),
                lambda first, second: 0.0 if first == second else 0.002,
                "zone-1",
            )
        elapsed_s = time.perf_counter() - started_s
        values = {"microseconds": 1e6 * elapsed_s / repetition_count}
        rows.append(Row("route_choice", count, values))
    return rows


EXPERIMENTS: dict[str, Callable[[Path], Awaitable[list[Row]]]] = {
    "members": measure_members,
    "relayed_members": measure_relayed_members,
    "models": measure_models,
    "entries": measure_entries,
    "tokens": measure_tokens,
    "requests": measure_requests,
    "streams": measure_streams,
    "hops": measure_hops,
    "workspaces": measure_workspaces,
    "changes": measure_changes,
    "rest": measure_idle_agents,
    "route_choice": measure_route_choice,
}


async def _run(names: list[str]) -> None:
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    saved_results: dict[str, Any] = (
        json.loads(OUTPUT.read_text()) if OUTPUT.exists() else {}
    )
    saved_results["machine"] = (
        f"{platform.machine()}, Python {platform.python_version()}"
    )
    for name in names:
        started_s = time.monotonic()
        with tempfile.TemporaryDirectory() as folder:
            rows = await EXPERIMENTS[name](Path(folder))
        saved_results[name] = [{"x": row.x, **row.values} for row in rows]
        OUTPUT.write_text(json.dumps(saved_results, indent=1) + "\n", encoding="utf-8")
        print(f"{name}: {len(rows)} points in {time.monotonic() - started_s:.0f} s")
        for row in rows:
            rounded = {key: round(value, 4) for key, value in row.values.items()}
            print(f"  {row.x:g}: {rounded}", flush=True)


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1:] or list(EXPERIMENTS)))

"""Measures what each role costs against what it has to carry.

Every experiment runs real processes at four or more points and writes its raw rows to
docs/capacity/slopes.json, from which capacity.py makes docs/CAPACITY.md.
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

from bench.fake_agents import FakeAgents, fake_member
from bench.fleet import (
    CONTROL_TEAM,
    EngineSpec,
    Process,
    ProcessFleet,
    loopback_bytes,
    settings_document,
    wait_until,
)
from yuccareach.load.report import summarize
from yuccareach.load.runner import Workload, run_load
from yuccareach.route.choice import choose_chain, compute_load_cost
from yuccareach.settings.store import hash_key

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

OUTPUT = Path("docs/capacity/slopes.json")
SETTLE_S = 1.5
WINDOW_S = 6.0
KEY = "bench-key"
CONTROL_AND_ENTRY = {"control": "control-1", "entry": "entry-0"}


class Row(NamedTuple):
    """One measured point: what was set, and what it cost."""

    experiment: str
    x: float
    values: dict[str, float]


async def measure(
    processes: dict[str, Process], work: Awaitable[Any] | None = None
) -> tuple[dict[str, float], Any]:
    """Measure processes over a window, or for as long as some work takes."""
    before = {name: item.cpu_seconds() for name, item in processes.items()}
    bytes_before, started = loopback_bytes(), time.monotonic()
    result = await work if work is not None else await asyncio.sleep(WINDOW_S)
    elapsed = time.monotonic() - started
    values: dict[str, float] = {
        "loopback_bytes_per_s": (loopback_bytes() - bytes_before) / elapsed
    }
    for name, item in processes.items():
        used = item.cpu_seconds() - before[name]
        values[f"{name}_core_share"] = used / elapsed
        values[f"{name}_resident_mib"] = item.resident_bytes() / (1 << 20)
    return values, result


async def _fleet(
    folder: Path,
    *,
    control: int = 1,
    specs: tuple[EngineSpec, ...] = (),
    entries: int = 1,
    layers: int = 24,
) -> ProcessFleet:
    fleet = ProcessFleet(folder, layers)
    await fleet.start_control(control)
    for number, spec in enumerate(specs):
        await fleet.start_engine(f"engine-{number}", spec)
    for number in range(entries):
        await fleet.start_entry(f"entry-{number}", f"zone-{number + 1}")
    await fleet.apply(CONTROL_TEAM, settings_document([KEY], layers))
    await fleet.wait_ready(len(specs))
    return fleet


def _two_stages(copies: int) -> tuple[EngineSpec, ...]:
    return tuple(
        EngineSpec("a100", first, first + 12, speed=8.0)
        for _ in range(copies)
        for first in (0, 12)
    )


async def _announced(
    fleet: ProcessFleet, count: int, models: int, names: dict[str, str]
) -> dict[str, float]:
    """Measure processes while so many backend servers are announced."""
    addresses = fleet.control_addresses.split(",")
    agents = FakeAgents(addresses, count, models=models)
    await agents.start()
    await fleet.wait_ready(count)
    await asyncio.sleep(SETTLE_S)
    watched = {label: fleet.by_name[name] for label, name in names.items()}
    values, _ = await measure(watched)
    await agents.stop()
    await fleet.wait_ready(0)
    return values


async def members(folder: Path) -> list[Row]:
    """Backend servers announced to one control instance, and one entry watching."""
    rows = []
    fleet = await _fleet(folder)
    try:
        for count in (50, 100, 200, 400):
            values = await _announced(fleet, count, 16, CONTROL_AND_ENTRY)
            values["bytes_per_s_per_member"] = values["loopback_bytes_per_s"] / count
            rows.append(Row("members", count, values))
    finally:
        await fleet.stop()
    return rows


async def models(folder: Path) -> list[Row]:
    """Models over which two hundred backend servers are spread."""
    rows = []
    fleet = await _fleet(folder)
    try:
        for count in (1, 4, 8, 16):
            values = await _announced(fleet, 200, count, CONTROL_AND_ENTRY)
            rows.append(Row("models", count, values))
    finally:
        await fleet.stop()
    return rows


async def entries(folder: Path) -> list[Row]:
    """Entries that watch a hundred backend servers."""
    rows = []
    for count in (1, 2, 4, 8):
        fleet = await _fleet(folder / str(count), entries=count)
        agents = FakeAgents([fleet.control_addresses], 100, models=16)
        try:
            await agents.start()
            await fleet.wait_ready(100)
            await asyncio.sleep(SETTLE_S)
            watched = {"control": fleet.by_name["control-1"]}
            watched["entry"] = fleet.by_name["entry-0"]
            values, _ = await measure(watched)
            rows.append(Row("entries", count, values))
        finally:
            await agents.stop()
            await fleet.stop()
    return rows


async def relayed_members(folder: Path) -> list[Row]:
    """Backend servers spread over three control instances that tell each other."""
    rows = []
    names = {f"control{number}": f"control-{number}" for number in (1, 2, 3)}
    fleet = await _fleet(folder, control=3)
    try:
        for count in (50, 100, 200, 400):
            values = await _announced(fleet, count, 16, names)
            rows.append(Row("relayed_members", count, values))
    finally:
        await fleet.stop()
    return rows


async def _loaded(
    fleet: ProcessFleet, experiment: str, x: float, workload: Workload
) -> Row:
    watched = {
        "entry": fleet.by_name["entry-0"],
        "first_agent": fleet.by_name["engine-0"],
        "last_agent": fleet.by_name["engine-1"],
        "control": fleet.by_name["control-1"],
    }
    values, outcome = await measure(watched, run_load(fleet.targets([KEY]), workload))
    figures = summarize(outcome)
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


async def tokens(folder: Path) -> list[Row]:
    """Tokens a second through one entry and a chain of two stages."""
    fleet = await _fleet(folder, specs=_two_stages(1))
    try:
        return [
            await _loaded(
                fleet, "tokens", rate * 64.0, Workload(rate, 8.0, max_tokens=64, seed=9)
            )
            for rate in (2.0, 5.0, 10.0, 20.0, 30.0)
        ]
    finally:
        await fleet.stop()


async def requests(folder: Path) -> list[Row]:
    """Requests a second of one token each."""
    fleet = await _fleet(folder, specs=_two_stages(1))
    try:
        return [
            await _loaded(
                fleet, "requests", rate, Workload(rate, 8.0, max_tokens=1, seed=9)
            )
            for rate in (10.0, 25.0, 50.0, 100.0)
        ]
    finally:
        await fleet.stop()


async def streams(folder: Path) -> list[Row]:
    """Answers open at the same time."""
    fleet = await _fleet(folder, specs=_two_stages(1))
    try:
        return [
            await _loaded(
                fleet,
                "streams",
                count,
                Workload(0, 0, simultaneous_requests=count, max_tokens=48, seed=9),
            )
            for count in (25, 50, 100, 200, 400)
        ]
    finally:
        await fleet.stop()


async def hops(folder: Path) -> list[Row]:
    """Stages in a chain, at a light load."""
    rows = []
    for stages in (1, 2, 3, 4, 6):
        held = 24 // stages
        specs = tuple(
            EngineSpec("a100", first, first + held, speed=20.0)
            for first in range(0, 24, held)
        )
        fleet = await _fleet(folder / str(stages), specs=specs)
        try:
            workload = Workload(2.0, 6.0, max_tokens=32, seed=9)
            watched = {"entry": fleet.by_name["entry-0"]}
            values, outcome = await measure(
                watched, run_load(fleet.targets([KEY]), workload)
            )
            figures = summarize(outcome)["durations_ms"]
            gaps = [gap for _, item in outcome.results for gap in item.gaps_s]
            values["between_tokens_mean_ms"] = 1000 * sum(gaps) / len(gaps)
            values["between_tokens_p95_ms"] = figures["between_tokens"]["p95"]
            values["first_token_p50_ms"] = figures["first_token"]["p50"]
            rows.append(Row("hops", stages, values))
        finally:
            await fleet.stop()
    return rows


def _many_workspaces(count: int) -> dict[str, Any]:
    document = settings_document([KEY], 24)
    document["workspaces"] |= {
        f"tenant-{number}": {"key_sha256": [hash_key(f"key-{number}")]}
        for number in range(count)
    }
    return document


async def workspaces(folder: Path) -> list[Row]:
    """Workspaces in the settings, in teams of fifty, and the change of one team."""
    rows = []
    for count in (1_000, 4_000, 8_000, 15_000):
        specs = (EngineSpec("a100", 0, 24),)
        fleet = await _fleet(folder / str(count), specs=specs)
        try:
            document = _many_workspaces(50)
            started = time.monotonic()
            for team in range(count // 50):
                await _put_new(fleet, f"team-{team}", document)
            filled_s = time.monotonic() - started
            await _in_force(fleet)
            await asyncio.sleep(SETTLE_S)
            started = time.monotonic()
            await fleet.apply("team-0", _many_workspaces(51))
            await _in_force(fleet)
            in_force_s = time.monotonic() - started
            watched = {
                "control": fleet.by_name["control-1"],
                "entry": fleet.by_name["entry-0"],
                "agent": fleet.by_name["engine-0"],
            }
            values, _ = await measure(watched)
            values["in_force_s"] = in_force_s
            values["commits_per_s"] = count / 50 / filled_s
            rows.append(Row("workspaces", count, values))
        finally:
            await fleet.stop()
    return rows


async def _put_new(fleet: ProcessFleet, team: str, document: Any) -> None:
    headers = {"If-Match": '"0"', "Change-Id": f"fill-{team}"}
    path = f"/v1/settings/{team}"
    reply = await fleet.operator.request("PUT", path, body=document, headers=headers)
    if reply.status != 200:
        raise RuntimeError(f"settings of {team} were refused: {reply}")


async def _in_force(fleet: ProcessFleet) -> None:
    async def _everywhere() -> bool:
        status = await fleet.status()
        in_force = status["revision_in_force_by_availability_zone"]
        return bool(in_force) and min(in_force.values()) >= status["revision"]

    await wait_until(_everywhere)


async def changes(folder: Path) -> list[Row]:
    """Settings changes a second, with a hundred processes watching."""
    rows = []
    fleet = await _fleet(folder, specs=(EngineSpec("a100", 0, 24),))
    agents = FakeAgents([fleet.control_addresses], 100)
    try:
        await agents.start()
        for rate in (0.0, 1.0, 2.0, 4.0, 8.0):
            await asyncio.sleep(SETTLE_S)
            watched = {
                "control": fleet.by_name["control-1"],
                "entry": fleet.by_name["entry-0"],
                "agent": fleet.by_name["engine-0"],
            }
            values, _ = await measure(watched, _change_at(fleet, rate))
            started = time.monotonic()
            await _in_force(fleet)
            values["in_force_s"] = time.monotonic() - started
            rows.append(Row("changes", rate, values))
    finally:
        await agents.stop()
        await fleet.stop()
    return rows


async def _change_at(fleet: ProcessFleet, rate: float) -> None:
    """Change one small team's settings at a rate."""
    if not rate:
        await asyncio.sleep(WINDOW_S)
        return
    for number in range(int(rate * WINDOW_S)):
        await fleet.apply("small", _many_workspaces(5 + number % 2))
        await asyncio.sleep(1 / rate)


async def rest(folder: Path) -> list[Row]:
    """Agents with nothing to do, each a process of its own."""
    rows = []
    for count in (1, 2, 4, 8):
        specs = tuple(EngineSpec("a100", 0, 24) for _ in range(count))
        fleet = await _fleet(folder / str(count), specs=specs)
        try:
            await asyncio.sleep(SETTLE_S)
            watched = {
                f"agent{number}": fleet.by_name[f"engine-{number}"]
                for number in range(count)
            }
            values, _ = await measure(watched)
            shares = [values[f"{name}_core_share"] for name in watched]
            resident = [values[f"{name}_resident_mib"] for name in watched]
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


async def route_choice(folder: Path) -> list[Row]:
    """Time to choose one chain, against the backend servers of one model."""
    rows = []
    for count in (25, 50, 100, 200, 400):
        candidates = [fake_member(number) for number in range(count)]
        repeats = 20_000 // count
        started = time.perf_counter()
        for _ in range(repeats):
            choose_chain(
                candidates,
                24,
                lambda member: compute_load_cost(
                    3, member.max_batch, member.decode_rate
                ),
                lambda first, second: 0.0 if first == second else 0.002,
                "zone-1",
            )
        elapsed = time.perf_counter() - started
        values = {"microseconds": 1e6 * elapsed / repeats}
        rows.append(Row("route_choice", count, values))
    return rows


EXPERIMENTS: dict[str, Callable[[Path], Awaitable[list[Row]]]] = {
    "members": members,
    "relayed_members": relayed_members,
    "models": models,
    "entries": entries,
    "tokens": tokens,
    "requests": requests,
    "streams": streams,
    "hops": hops,
    "workspaces": workspaces,
    "changes": changes,
    "rest": rest,
    "route_choice": route_choice,
}


async def _run(names: list[str]) -> None:
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    kept: dict[str, Any] = json.loads(OUTPUT.read_text()) if OUTPUT.exists() else {}
    kept["machine"] = f"{platform.machine()}, Python {platform.python_version()}"
    for name in names:
        started = time.monotonic()
        with tempfile.TemporaryDirectory() as folder:
            rows = await EXPERIMENTS[name](Path(folder))
        kept[name] = [{"x": row.x, **row.values} for row in rows]
        OUTPUT.write_text(json.dumps(kept, indent=1) + "\n", encoding="utf-8")
        print(f"{name}: {len(rows)} points in {time.monotonic() - started:.0f} s")
        for row in rows:
            shown = {key: round(value, 4) for key, value in row.values.items()}
            print(f"  {row.x:g}: {shown}", flush=True)


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1:] or list(EXPERIMENTS)))

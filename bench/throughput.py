"""Measure tokens per second relative to the upper bound of the simulated hardware."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from itertools import accumulate
from pathlib import Path
from typing import Any, NamedTuple

from bench.fleet import TEAM, EngineSpec, ProcessFleet, make_settings_document
from yuccareach.load.report import summarize
from yuccareach.load.runner import Workload, run_load
from yuccareach.route.placement import (
    Engine,
    PlacedEngine,
    compute_flow_bound,
    make_plan,
    place_equal_split,
)
from yuccareach.standin.kinds import KIND_BY_NAME

OUTPUT = Path("docs/capacity/throughput.json")
LAYERS = 24
KEYS = tuple(f"bench-key-{number}" for number in range(10))
BOUND_TOKENS_PER_S = 1_500.0
# Number of engines of each kind in each of three zones, 30 in total.
ENGINE_COUNTS = {
    "zone-1": {"a100": 2, "l40s": 3, "a10": 1, "t4": 2, "cpu": 2},
    "zone-2": {"a100": 1, "l40s": 2, "a10": 3, "t4": 2, "cpu": 2},
    "zone-3": {"a100": 2, "l40s": 1, "a10": 2, "t4": 3, "cpu": 2},
}
SATURATING_STREAMS = 1_400
STEADY_FRACTION = 0.8
MEAN_TOKENS = 32
# Short, since the bound counts generated tokens only, and prompts take time as well.
PROMPT_WORDS = 1
LOAD_FACTORS = (0.5, 0.8, 1.0, 1.5, 3.0)
# Few, so that streams end well within a run and the load is constant.
OFFERED_TOKENS = 8
LOAD_DURATION_S = 15.0


class Setup(NamedTuple):
    """A placement and a policy to compare."""

    name: str
    placement: str
    policy: str


SETUPS = (
    Setup("planned, by load", "planned", "load"),
    Setup("planned, by batch fill", "planned", "batch-fill"),
    Setup("planned, least outstanding", "planned", "least-outstanding"),
    Setup("planned, round robin", "planned", "round-robin"),
    Setup("planned, random", "planned", "random"),
    Setup("equal split, by load", "equal", "load"),
)


def make_engines() -> list[Engine]:
    """Return the fleet's engines at full speed."""
    return [
        Engine(
            f"{kind}-{zone}-{number}",
            zone,
            KIND_BY_NAME[kind].compute_decode_rate(1),
            KIND_BY_NAME[kind].memory_layers,
        )
        for zone, kinds in ENGINE_COUNTS.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]


def place_engines(name: str) -> tuple[PlacedEngine, ...]:
    """Return the engines with the layers that a named placement gives them."""
    if name == "equal":
        return place_equal_split(make_engines(), LAYERS)
    return make_plan(make_engines(), LAYERS).placement


async def start_fleet(folder: Path, setup: Setup) -> ProcessFleet:
    """Start the fleet of a setup; stops all its processes on an error."""
    fleet = ProcessFleet(folder, LAYERS)
    try:
        await _start_processes(fleet, setup)
    except BaseException:
        await fleet.stop()
        raise
    return fleet


async def _start_processes(fleet: ProcessFleet, setup: Setup) -> None:
    speed = BOUND_TOKENS_PER_S / compute_flow_bound(make_engines(), LAYERS)
    await fleet.start_control_instances(1)
    placed = place_engines(setup.placement)
    await asyncio.gather(
        *(
            fleet.start_engine(
                item.engine.name,
                EngineSpec(
                    item.engine.name.partition("-")[0],
                    item.first_layer,
                    item.end_layer,
                    item.engine.zone,
                    speed,
                ),
            )
            for item in placed
        )
    )
    for number in range(2):
        zone = f"zone-{number + 1}"
        await fleet.start_entry(f"entry-{number}", zone, "--policy", setup.policy)
    limits = {"requests_in_flight": 100_000, "tokens_in_flight": 10**8}
    document = make_settings_document(KEYS, LAYERS, **limits, tokens_per_second=1e8)
    await fleet.apply_settings(TEAM, document)
    await fleet.wait_until_ready(len(placed))


def compute_jain_index(shares: list[float]) -> float:
    """Return Jain's index of fairness, which is 1 where all shares are equal."""
    total = sum(shares)
    return total * total / (len(shares) * sum(x * x for x in shares)) if total else 0.0


async def measure_saturation(setup: Setup) -> dict[str, Any]:
    """Send far more streams than can run and measure while most of them are open."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = await start_fleet(Path(folder), setup)
        try:
            workload = Workload(
                0,
                0,
                simultaneous_requests=SATURATING_STREAMS,
                max_tokens=MEAN_TOKENS,
                prompt_words=PROMPT_WORDS,
                seed=11,
            )
            load_run = await run_load(fleet.make_targets(KEYS), workload)
            return {"setup": setup.name, **_compute_figures(load_run)}
        finally:
            await fleet.stop()


def _compute_figures(load_run: Any) -> dict[str, Any]:
    """Return the rate in the steady window, its share of the bound, and latencies."""
    times_s = sorted(
        time_s
        for _, result in load_run.results
        for time_s in _compute_token_times(result)
    )
    window_start_s, window_end_s = _find_steady_window(
        [result for _, result in load_run.results]
    )
    token_count = sum(window_start_s <= time_s < window_end_s for time_s in times_s)
    rate = token_count / (window_end_s - window_start_s)
    figures = summarize(load_run)
    return {
        "tokens_per_s": round(rate, 1),
        "share_of_bound": round(rate / BOUND_TOKENS_PER_S, 4),
        "verdicts": figures["verdicts"],
        "first_token_p95_ms": figures["durations_ms"]["first_token"]["p95"],
        "between_tokens_p95_ms": figures["durations_ms"]["between_tokens"]["p95"],
    }


def _compute_goodput(load_run: Any) -> float:
    """Return the token rate of correct answers in a run, as a share of the bound."""
    tokens = sum(
        result.tokens for _, result in load_run.results if result.verdict == "right"
    )
    return tokens / load_run.elapsed_s / BOUND_TOKENS_PER_S


def _find_steady_window(results: list[Any]) -> tuple[float, float]:
    """Return the start and end of the longest time with nearly the most open streams.

    Nearly means at least STEADY_FRACTION of the largest number of open streams.
    """
    edges: list[tuple[float, int]] = []
    for result in results:
        times_s = _compute_token_times(result)
        if times_s:
            edges += [(times_s[0], 1), (times_s[-1], -1)]
    edges.sort()
    open_counts = list(accumulate(change for _, change in edges))
    min_open_streams = STEADY_FRACTION * max(open_counts)
    windows: list[tuple[float, float]] = []
    start_s: float | None = None
    for (time_s, _), count in zip(edges, open_counts):
        if count >= min_open_streams and start_s is None:
            start_s = time_s
        elif count < min_open_streams and start_s is not None:
            windows.append((start_s, time_s))
            start_s = None
    return max(windows, key=lambda window: window[1] - window[0])


def _compute_token_times(result: Any) -> list[float]:
    time_s = result.started_s + result.first_token_s
    times_s = [time_s] if result.tokens else []
    for gap in result.gaps_s:
        time_s += gap
        times_s.append(time_s)
    return times_s


async def measure_overload(setup: Setup) -> list[dict[str, Any]]:
    """Offer several loads; measures goodput, refusals and fairness for each."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = await start_fleet(Path(folder), setup)
        try:
            for load_factor in LOAD_FACTORS:
                rate = load_factor * BOUND_TOKENS_PER_S / OFFERED_TOKENS
                workload = Workload(
                    rate,
                    LOAD_DURATION_S,
                    max_tokens=OFFERED_TOKENS,
                    prompt_words=PROMPT_WORDS,
                    seed=12,
                )
                load_run = await run_load(fleet.make_targets(KEYS), workload)
                tokens_by_key = dict.fromkeys(KEYS, 0.0)
                for key, result in load_run.results:
                    if result.verdict == "right":
                        tokens_by_key[key] += result.tokens
                rows.append(
                    {
                        "setup": setup.name,
                        "load": load_factor,
                        **_compute_figures(load_run),
                        "goodput_share_of_bound": round(_compute_goodput(load_run), 4),
                        "jain": round(
                            compute_jain_index(list(tokens_by_key.values())), 4
                        ),
                    }
                )
                print(json.dumps(rows[-1]), flush=True)
        finally:
            await fleet.stop()
    return rows


async def _run(saturated_setups: list[Setup], *, with_overload: bool) -> None:
    saved_results = json.loads(OUTPUT.read_text()) if OUTPUT.exists() else {}
    saved_results["bound_tokens_per_s"] = BOUND_TOKENS_PER_S
    for setup in saturated_setups:
        row = await measure_saturation(setup)
        print(json.dumps(row), flush=True)
        others = [
            item
            for item in saved_results.get("saturate", [])
            if item["setup"] != setup[0]
        ]
        saved_results["saturate"] = [*others, row]
        OUTPUT.write_text(json.dumps(saved_results, indent=1) + "\n", encoding="utf-8")
    if with_overload:
        saved_results["overload"] = await measure_overload(SETUPS[0])
        OUTPUT.write_text(json.dumps(saved_results, indent=1) + "\n", encoding="utf-8")


def main() -> None:
    """Run the named experiments: "saturate" with indices of setups, and "overload"."""
    arguments = sys.argv[1:] or ["saturate", "overload"]
    numbers = [int(item) for item in arguments if item.isdigit()]
    chosen_setups = [SETUPS[number] for number in numbers or range(len(SETUPS))]
    saturated_setups = chosen_setups if "saturate" in arguments else []
    asyncio.run(_run(saturated_setups, with_overload="overload" in arguments))


if __name__ == "__main__":
    main()

"""Measures completed tokens per second against the bound of the hardware."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from itertools import accumulate
from pathlib import Path
from typing import Any, NamedTuple

from bench.fleet import (
    CONTROL_TEAM,
    EngineSpec,
    ProcessFleet,
    settings_document,
)
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
# Engines of each kind in each of three zones: 30 in all.
FLEET = {
    "zone-1": {"a100": 2, "l40s": 3, "a10": 1, "t4": 2, "cpu": 2},
    "zone-2": {"a100": 1, "l40s": 2, "a10": 3, "t4": 2, "cpu": 2},
    "zone-3": {"a100": 2, "l40s": 1, "a10": 2, "t4": 3, "cpu": 2},
}
SATURATING_STREAMS = 1_400
STEADY_SHARE = 0.8
MEAN_TOKENS = 32
# Short, since the bound counts generated tokens and prompts take time too.
PROMPT_WORDS = 1
LOADS = (0.5, 0.8, 1.0, 1.5, 3.0)
# Few, so that streams end well within a run and the load is steady.
OFFERED_TOKENS = 8
LOAD_SECONDS = 15.0


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


def engines() -> list[Engine]:
    """Return the fleet at full speed."""
    return [
        Engine(
            f"{kind}-{zone}-{number}",
            zone,
            KIND_BY_NAME[kind].decode_rate(1),
            KIND_BY_NAME[kind].memory_layers,
        )
        for zone, kinds in FLEET.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]


def placement(name: str) -> tuple[PlacedEngine, ...]:
    """Return the engines with their layers."""
    if name == "equal":
        return place_equal_split(engines(), LAYERS)
    return make_plan(engines(), LAYERS).placement


async def start(folder: Path, setup: Setup) -> ProcessFleet:
    """Start the fleet of a setup, or leave nothing running."""
    fleet = ProcessFleet(folder, LAYERS)
    try:
        await _start_all(fleet, setup)
    except BaseException:
        await fleet.stop()
        raise
    return fleet


async def _start_all(fleet: ProcessFleet, setup: Setup) -> None:
    speed = BOUND_TOKENS_PER_S / compute_flow_bound(engines(), LAYERS)
    await fleet.start_control(1)
    placed = placement(setup.placement)
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
    document = settings_document(KEYS, LAYERS, **limits, tokens_per_second=1e8)
    await fleet.apply(CONTROL_TEAM, document)
    await fleet.wait_ready(len(placed))


def jain(shares: list[float]) -> float:
    """Return Jain's index of fairness: 1 where all shares are equal."""
    total = sum(shares)
    return total * total / (len(shares) * sum(x * x for x in shares)) if total else 0.0


async def saturate(setup: Setup) -> dict[str, Any]:
    """Send far more than fits at once and measure the middle of the run."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = await start(Path(folder), setup)
        try:
            workload = Workload(
                0,
                0,
                simultaneous_requests=SATURATING_STREAMS,
                max_tokens=MEAN_TOKENS,
                prompt_words=PROMPT_WORDS,
                seed=11,
            )
            outcome = await run_load(fleet.targets(KEYS), workload)
            return {"setup": setup.name, **_figures(outcome)}
        finally:
            await fleet.stop()


def _figures(outcome: Any) -> dict[str, Any]:
    """Return rates as shares of the bound, over the time of the most open streams."""
    moments = sorted(
        moment for _, result in outcome.results for moment in _token_moments(result)
    )
    low, high = _steady_window([result for _, result in outcome.results])
    inside = sum(low <= moment < high for moment in moments)
    rate = inside / (high - low)
    figures = summarize(outcome)
    return {
        "tokens_per_s": round(rate, 1),
        "share_of_bound": round(rate / BOUND_TOKENS_PER_S, 4),
        "verdicts": figures["verdicts"],
        "first_token_p95_ms": figures["durations_ms"]["first_token"]["p95"],
        "between_tokens_p95_ms": figures["durations_ms"]["between_tokens"]["p95"],
    }


def _goodput(outcome: Any) -> float:
    """Return tokens of right answers over the whole run, as a share of the bound."""
    tokens = sum(
        result.tokens for _, result in outcome.results if result.verdict == "right"
    )
    return tokens / outcome.elapsed_s / BOUND_TOKENS_PER_S


def _steady_window(results: list[Any]) -> tuple[float, float]:
    """Return the longest time in which nearly as many streams were open as ever."""
    edges: list[tuple[float, int]] = []
    for result in results:
        moments = _token_moments(result)
        if moments:
            edges += [(moments[0], 1), (moments[-1], -1)]
    edges.sort()
    counts = list(accumulate(change for _, change in edges))
    enough = STEADY_SHARE * max(counts)
    windows: list[tuple[float, float]] = []
    started: float | None = None
    for (moment, _), count in zip(edges, counts):
        if count >= enough and started is None:
            started = moment
        elif count < enough and started is not None:
            windows.append((started, moment))
            started = None
    return max(windows, key=lambda window: window[1] - window[0])


def _token_moments(result: Any) -> list[float]:
    moment = result.started_s + result.first_token_s
    moments = [moment] if result.tokens else []
    for gap in result.gaps_s:
        moment += gap
        moments.append(moment)
    return moments


async def overload(setup: Setup) -> list[dict[str, Any]]:
    """Offer several loads and measure goodput, refusals and fairness."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = await start(Path(folder), setup)
        try:
            for load in LOADS:
                rate = load * BOUND_TOKENS_PER_S / OFFERED_TOKENS
                workload = Workload(
                    rate,
                    LOAD_SECONDS,
                    max_tokens=OFFERED_TOKENS,
                    prompt_words=PROMPT_WORDS,
                    seed=12,
                )
                outcome = await run_load(fleet.targets(KEYS), workload)
                tokens_by_key = dict.fromkeys(KEYS, 0.0)
                for key, result in outcome.results:
                    if result.verdict == "right":
                        tokens_by_key[key] += result.tokens
                rows.append(
                    {
                        "setup": setup.name,
                        "load": load,
                        **_figures(outcome),
                        "goodput_share_of_bound": round(_goodput(outcome), 4),
                        "jain": round(jain(list(tokens_by_key.values())), 4),
                    }
                )
                print(json.dumps(rows[-1]), flush=True)
        finally:
            await fleet.stop()
    return rows


async def _run(saturated: list[Setup], *, overloaded: bool) -> None:
    kept = json.loads(OUTPUT.read_text()) if OUTPUT.exists() else {}
    kept["bound_tokens_per_s"] = BOUND_TOKENS_PER_S
    for setup in saturated:
        row = await saturate(setup)
        print(json.dumps(row), flush=True)
        others = [
            item for item in kept.get("saturate", []) if item["setup"] != setup[0]
        ]
        kept["saturate"] = [*others, row]
        OUTPUT.write_text(json.dumps(kept, indent=1) + "\n", encoding="utf-8")
    if overloaded:
        kept["overload"] = await overload(SETUPS[0])
        OUTPUT.write_text(json.dumps(kept, indent=1) + "\n", encoding="utf-8")


def main() -> None:
    """Run what the arguments name: "saturate" with numbers of setups, "overload"."""
    arguments = sys.argv[1:] or ["saturate", "overload"]
    numbers = [int(item) for item in arguments if item.isdigit()]
    chosen = [SETUPS[number] for number in numbers or range(len(SETUPS))]
    saturated = chosen if "saturate" in arguments else []
    asyncio.run(_run(saturated, overloaded="overload" in arguments))


if __name__ == "__main__":
    main()

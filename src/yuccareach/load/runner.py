"""Runs an open-loop load and gathers checked results."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from yuccareach.load.arrivals import Arrivals, generate_arrival_times
from yuccareach.load.client import Result, Target, Verdict, complete
from yuccareach.metrics.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

ANSWER_TIMEOUT_S = 120.0
PROMPT_VOCABULARY = (
    "tenant landlord arrears guarantee claim letter lease deposit summary notice "
    "payment agent month office skill hour member town match pledge"
).split()


class Workload(NamedTuple):
    """What to ask for, and how often."""

    rate: float
    duration_s: float
    arrivals: Arrivals = Arrivals.POISSON
    prompt_words: int = 24
    max_tokens: int = 32
    shared_prefixes: int = 0
    seed: int = 1
    simultaneous_requests: int = 0


class LoadRun(NamedTuple):
    """The results of one run."""

    results: list[tuple[str, Result]]
    elapsed_s: float
    registry: Registry

    @property
    def count_by_verdict(self) -> Counter[str]:
        """Number of requests for each verdict."""
        return Counter(str(result.verdict) for _, result in self.results)

    @property
    def tokens_per_second(self) -> float:
        """Tokens of right answers for each second of the run."""
        tokens = sum(
            result.tokens
            for _, result in self.results
            if result.verdict is Verdict.RIGHT
        )
        return tokens / self.elapsed_s


class PlannedRequest(NamedTuple):
    """One request to come."""

    due_s: float
    target: Target
    prompt: str
    max_tokens: int


def plan_requests(
    targets: Sequence[Target], workload: Workload
) -> list[PlannedRequest]:
    """Draw every request of a run from the seed alone."""
    random = Random(workload.seed)
    if workload.simultaneous_requests:
        due_times = [0.0] * workload.simultaneous_requests
    else:
        due_times = list(
            generate_arrival_times(
                workload.arrivals, workload.rate, workload.duration_s, random
            )
        )
    return [
        PlannedRequest(
            moment,
            random.choice(targets),
            _prompt(number, workload, random),
            max(1, round(random.gauss(workload.max_tokens, workload.max_tokens / 4))),
        )
        for number, moment in enumerate(due_times)
    ]


def _prompt(number: int, workload: Workload, random: Random) -> str:
    """Return a prompt that no other request has, perhaps with a shared start."""
    length = max(
        1, round(random.gauss(workload.prompt_words, workload.prompt_words / 4))
    )
    words = random.choices(PROMPT_VOCABULARY, k=length)
    if workload.shared_prefixes:
        shared = Random(random.randrange(workload.shared_prefixes))
        words[: length // 2] = shared.choices(PROMPT_VOCABULARY, k=length // 2)
    return " ".join([*words, f"number-{workload.seed}-{number}"])


async def run_load(targets: Sequence[Target], workload: Workload) -> LoadRun:
    """Send every planned request when it is due and wait for all answers."""
    planned = plan_requests(targets, workload)
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    started = time.monotonic()
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        tasks = []
        for item in planned:
            await asyncio.sleep(max(0.0, started + item.due_s - time.monotonic()))
            tasks.append(asyncio.create_task(_send_when_due(session, item, started)))
        results = await asyncio.gather(*tasks)
    elapsed_s = time.monotonic() - started
    return LoadRun(results, elapsed_s, _record_metrics(results))


async def _send_when_due(
    session: aiohttp.ClientSession, item: PlannedRequest, started: float
) -> tuple[str, Result]:
    result = await complete(
        session, item.target, item.prompt, item.max_tokens, started + item.due_s
    )
    return item.target.key, result


def _record_metrics(results: list[tuple[str, Result]]) -> Registry:
    """Record the times of right answers, with names of keys kept out."""
    registry = Registry()
    name_by_key: dict[str, str] = {}
    for key, result in results:
        name = name_by_key.setdefault(key, f"workspace-{len(name_by_key) + 1}")
        registry.count("requests", str(result.verdict))
        if result.verdict is not Verdict.RIGHT:
            continue
        registry.observe("first_token", name, "all", round(result.first_token_s * 1e3))
        registry.observe("whole_answer", name, "all", round(result.total_s * 1e3))
        for gap_s in result.gaps_s:
            registry.observe("between_tokens", name, "all", round(gap_s * 1e3))
    return registry


__all__ = ["LoadRun", "PlannedRequest", "Workload", "plan_requests", "run_load"]

"""Run an open-loop load and collect the checked results."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from yuccareach.load.arrivals import Arrivals, generate_arrival_times
from yuccareach.load.client import Result, Target, Verdict, request_completion
from yuccareach.metrics.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

ANSWER_TIMEOUT_S = 120.0
PROMPT_VOCABULARY = (
    "tenant landlord arrears guarantee claim letter lease deposit summary notice "
    "payment agent month office skill hour member town match pledge"
).split()


class Workload(NamedTuple):
    """The requests to send, and how often.

    rate is in requests per second. prompt_words and max_tokens are means. If
    simultaneous_requests is not 0, that many requests are sent at the start, and rate,
    duration_s and arrivals are ignored.
    """

    rate: float
    duration_s: float
    arrivals: Arrivals = Arrivals.POISSON
    prompt_words: int = 24
    max_tokens: int = 32
    shared_prefixes: int = 0
    seed: int = 1
    simultaneous_requests: int = 0


class LoadRun(NamedTuple):
    """The results of one load run, each with the key that sent the request."""

    results: list[tuple[str, Result]]
    elapsed_s: float
    registry: Registry

    @property
    def count_by_verdict(self) -> Counter[str]:
        """Number of requests by verdict."""
        return Counter(str(result.verdict) for _, result in self.results)

    @property
    def tokens_per_second(self) -> float:
        """Tokens of right answers per second of the run."""
        tokens = sum(
            result.tokens
            for _, result in self.results
            if result.verdict is Verdict.RIGHT
        )
        return tokens / self.elapsed_s


class PlannedRequest(NamedTuple):
    """One request to send, due_s seconds after the start."""

    due_s: float
    target: Target
    prompt: str
    max_tokens: int


def plan_requests(
    targets: Sequence[Target], workload: Workload
) -> list[PlannedRequest]:
    """Generate all requests of a run; the same seed gives the same requests."""
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
            due_s,
            random.choice(targets),
            _generate_prompt(number, workload, random),
            max(1, round(random.gauss(workload.max_tokens, workload.max_tokens / 4))),
        )
        for number, due_s in enumerate(due_times)
    ]


def _generate_prompt(number: int, workload: Workload, random: Random) -> str:
    """Return a prompt that is unique in the run.

    With shared prefixes, its first half is one of them.
    """
    word_count = max(
        1, round(random.gauss(workload.prompt_words, workload.prompt_words / 4))
    )
    words = random.choices(PROMPT_VOCABULARY, k=word_count)
    if workload.shared_prefixes:
        prefix_random = Random(random.randrange(workload.shared_prefixes))
        words[: word_count // 2] = prefix_random.choices(
            PROMPT_VOCABULARY, k=word_count // 2
        )
    return " ".join([*words, f"number-{workload.seed}-{number}"])


async def run_load(targets: Sequence[Target], workload: Workload) -> LoadRun:
    """Send every planned request when it is due and wait for all answers."""
    planned = plan_requests(targets, workload)
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    started_s = time.monotonic()
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        tasks = []
        for request in planned:
            await asyncio.sleep(max(0.0, started_s + request.due_s - time.monotonic()))
            tasks.append(
                asyncio.create_task(_send_request(session, request, started_s))
            )
        results = await asyncio.gather(*tasks)
    elapsed_s = time.monotonic() - started_s
    return LoadRun(results, elapsed_s, _record_metrics(results))


async def _send_request(
    session: aiohttp.ClientSession, request: PlannedRequest, started_s: float
) -> tuple[str, Result]:
    result = await request_completion(
        session,
        request.target,
        request.prompt,
        request.max_tokens,
        started_s + request.due_s,
    )
    return request.target.key, result


def _record_metrics(results: list[tuple[str, Result]]) -> Registry:
    """Record verdicts and the durations of right answers.

    Workspaces are numbered, so that metrics do not contain their keys.
    """
    registry = Registry()
    workspace_by_key: dict[str, str] = {}
    for key, result in results:
        workspace = workspace_by_key.setdefault(
            key, f"workspace-{len(workspace_by_key) + 1}"
        )
        registry.count("requests", str(result.verdict))
        if result.verdict is not Verdict.RIGHT:
            continue
        registry.observe(
            "first_token", workspace, "all", round(result.first_token_s * 1e3)
        )
        registry.observe("whole_answer", workspace, "all", round(result.total_s * 1e3))
        for gap_s in result.gaps_s:
            registry.observe("between_tokens", workspace, "all", round(gap_s * 1e3))
    return registry


__all__ = ["LoadRun", "PlannedRequest", "Workload", "plan_requests", "run_load"]

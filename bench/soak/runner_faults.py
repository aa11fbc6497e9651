"""Inject faults into backend servers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from bench.soak.endless import EndlessKind
from bench.soak.runners import LimitSpan
from yuccareach.standin.proxy import Faults

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bench.soak.deployment import Deployment
    from bench.soak.runners import SoakRunner
    from bench.soak.schedule import ScheduledFault

LINK_FAULTS = (
    Faults(cut=True),
    Faults(drop_in=True),
    Faults(drop_out=True),
    Faults(half_open=True),
    Faults(delay_ms=30, jitter_ms=60),
    Faults(refuse_share=0.5),
)
# Faults that separate a backend server from every gateway.
CUTTING_FAULTS = frozenset(LINK_FAULTS[:4])
ENDLESS_KINDS = tuple(EndlessKind)
# A sound backend server is silent for about a second at a time.
MIN_SILENCE_S = 0.9
MAX_SILENT_RUNNERS = 4
MAX_SILENT_ROUNDS = 3
SILENCE_PAUSE_S = 0.3
SILENCE_ON_ARRIVAL_DURATION_S = 2.0
# A leaving server says so in its answers for longer than gateways may take to notice,
# and then in its heartbeats.
LEAVING_DURATION_S = 3.0
MIN_RETRY_AFTER_S = 1.0
MIN_ENDLESS_DURATION_S = 1.0
# Requests a second that a server in need takes, for long enough that the platform
# judges the arrivals.
STATED_LIMITS = ("0", "0.5", "2", "5")
MIN_LIMITED_DURATION_S = 6.0


async def inject_runner_fault(deployment: Deployment, fault: ScheduledFault) -> None:
    """Inject a fault into one or several backend servers; returns when it ends."""
    runners = [item for item in deployment.runners if not item.draining]
    action_by_kind: dict[str, Callable[..., Awaitable[None]]] = {
        "runner_link": _break_link,
        "runner_crash": _crash,
        "runner_drain": _drain,
        "runner_silent": _silence,
        "runner_leaving": _leave,
        "runner_refusing": _refuse,
        "runner_bytes": _answer_without_end,
        "runner_limited": _limit,
    }
    await action_by_kind[fault.kind](deployment, runners, fault)


async def _break_link(
    deployment: Deployment, runners: list[SoakRunner], fault: ScheduledFault
) -> None:
    runner = runners[fault.target % len(runners)]
    faults = LINK_FAULTS[fault.target % len(LINK_FAULTS)]
    started_s = time.monotonic()
    runner.proxy.set_faults(faults)
    await asyncio.sleep(fault.duration_s)
    runner.proxy.set_faults(Faults())
    runner.link_faults.append((started_s, time.monotonic()))
    if faults in CUTTING_FAULTS:
        runner.cuts.append(runner.link_faults[-1])


async def _crash(
    deployment: Deployment, runners: list[SoakRunner], fault: ScheduledFault
) -> None:
    await deployment.replace_crashed(runners[fault.target % len(runners)])


async def _drain(
    deployment: Deployment, runners: list[SoakRunner], fault: ScheduledFault
) -> None:
    await deployment.replace(runners[fault.target % len(runners)])


async def _silence(
    deployment: Deployment, runners: list[SoakRunner], fault: ScheduledFault
) -> None:
    """Make several servers silent, one after another or all at a time, in series.

    They are any servers, or those of one service to which requests are sent, or these
    once a request reaches them.
    """
    one = _choose(runners, fault)
    similar = [
        item for item in runners if item.takes_requests and item.service == one.service
    ]
    length_s = MIN_SILENCE_S + fault.duration_s / 3
    if fault.target % 3 == 0:
        await _be_silent_on_arrival(similar, length_s)
        return
    candidates = similar if fault.target // 4 % 2 else runners
    count = min(len(candidates), 1 + fault.target % MAX_SILENT_RUNNERS)
    first = fault.target % len(candidates)
    chosen = (candidates + candidates)[first : first + count]
    for _ in range(1 + fault.target // 8 % MAX_SILENT_ROUNDS):
        for runner in chosen:
            runner.be_silent(length_s, with_heartbeats=bool(fault.target % 2))
            if fault.target % 3 == 1:
                await asyncio.sleep(SILENCE_PAUSE_S)
        await asyncio.sleep(length_s + SILENCE_PAUSE_S)


async def _be_silent_on_arrival(runners: list[SoakRunner], length_s: float) -> None:
    """Make servers silent from the next request that reaches each, for a while."""
    for runner in runners:
        runner.faults.silence_on_arrival_s = length_s
    await asyncio.sleep(SILENCE_ON_ARRIVAL_DURATION_S)
    for runner in runners:
        runner.faults.silence_on_arrival_s = 0.0


async def _leave(
    deployment: Deployment, runners: list[SoakRunner], fault: ScheduledFault
) -> None:
    """Announce a server's end in its answers first, then in its heartbeats."""
    runner = _choose(runners, fault)
    runner.faults.announces_leaving = True
    await asyncio.sleep(LEAVING_DURATION_S + fault.duration_s)
    if not runner.draining:
        await deployment.replace(runner)
    await asyncio.sleep(LEAVING_DURATION_S)
    await runner.close()


async def _refuse(
    deployment: Deployment, runners: list[SoakRunner], fault: ScheduledFault
) -> None:
    """Make one server or all of a service ask for no requests for a time."""
    chosen = _choose_one_or_service(runners, fault)
    retry_after_s = MIN_RETRY_AFTER_S + fault.duration_s
    started_s = time.monotonic()
    for runner in chosen:
        runner.faults.retry_after_s = retry_after_s
    await asyncio.sleep(retry_after_s + fault.duration_s)
    for runner in chosen:
        runner.faults.retry_after_s = None
        runner.refusals.append((started_s, time.monotonic() + retry_after_s))


async def _answer_without_end(
    deployment: Deployment, runners: list[SoakRunner], fault: ScheduledFault
) -> None:
    runner = _choose(runners, fault)
    started_s = time.monotonic()
    runner.endless_kind = ENDLESS_KINDS[fault.target % len(ENDLESS_KINDS)]
    await asyncio.sleep(MIN_ENDLESS_DURATION_S + fault.duration_s)
    runner.endless_kind = None
    runner.endless_spans.append((started_s, time.monotonic()))


async def _limit(
    deployment: Deployment, runners: list[SoakRunner], fault: ScheduledFault
) -> None:
    """Let one server or all of a service state how many requests they take."""
    chosen = _choose_one_or_service(runners, fault)
    value = STATED_LIMITS[fault.target % len(STATED_LIMITS)]
    started_s = time.monotonic()
    for runner in chosen:
        runner.faults.stated_limits = (value,)
    await asyncio.sleep(MIN_LIMITED_DURATION_S + fault.duration_s)
    for runner in chosen:
        runner.faults.stated_limits = ()
        span = LimitSpan(started_s, time.monotonic(), float(value))
        runner.limit_spans.append(span)


def _choose(runners: list[SoakRunner], fault: ScheduledFault) -> SoakRunner:
    """Choose one of the servers to which requests are sent."""
    candidates = [item for item in runners if item.takes_requests] or runners
    return candidates[fault.target % len(candidates)]


def _choose_one_or_service(
    runners: list[SoakRunner], fault: ScheduledFault
) -> list[SoakRunner]:
    """Choose one of these servers, or all of its service."""
    one = _choose(runners, fault)
    same = [item for item in runners if item.service == one.service]
    return same if fault.target % 3 == 0 else [one]


__all__ = ["inject_runner_fault"]

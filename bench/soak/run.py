"""Run seeds of the soak: python -m bench.soak.run --first 1 --seeds 50."""

from __future__ import annotations

import asyncio
import logging
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import NamedTuple

import aiohttp
import click

from bench.soak.callers import Callers
from bench.soak.deployment import METRICS_PORT, Deployment, fetch_document_version
from bench.soak.documents import make_document
from bench.soak.faults import Injector
from bench.soak.observations import Observations, describe
from bench.soak.promises import find_violations
from bench.soak.schedule import (
    CLOSING_FAULT_KIND,
    ScheduledFault,
    make_schedule,
)
from bench.soak.seeds import REGRESSIONS, SOAK_DEFECTS
from yuccareach.platform.standin import put_document

READY_TIMEOUT_S = 30.0
# The platform's bound on the time until an accepted routing document is in force at
# every gateway that can reach control.
MAX_IN_FORCE_DELAY_S = 2.5
# The platform's bound on the time from the last fault until every request is served.
MAX_RECOVERY_S = 15.0
CONFIG_INTERVAL_RANGE_S = (0.5, 2.0)
# Longer than a server may get requests after its departure.
DEPARTED_OBSERVATION_S = 3.0
POLL_INTERVAL_S = 0.2
SCRAPE_TIMEOUT_S = 2.0
FAULTS_PER_S = 1.5


class Plan(NamedTuple):
    """Size and duration of one seed's run."""

    seed: int
    control_count: int = 3
    gateway_count: int = 3
    caller_count: int = 12
    duration_s: float = 20.0
    # Whether bounds in seconds are checked as well, which needs an otherwise idle
    # machine.
    check_time_bounds: bool = True
    # Kinds of faults to inject; all if empty.
    fault_kinds: tuple[str, ...] = ()


class Operator:
    """Sends versions of the routing document and checks which are in force."""

    def __init__(self, deployment: Deployment, plan: Plan) -> None:
        self.deployment = deployment
        self.random = Random(plan.seed + 1)
        self.revoke_after_s = plan.duration_s / 3
        self.version = 0
        self.acknowledged_version = 0
        self.revoked_s: float | None = None
        self.violations: list[str] = []
        # By gateway instance and process id, the highest version seen in force.
        self.highest_version_by_process: dict[tuple[int, int], int] = {}

    async def send(self, *, with_temporary_key: bool) -> bool:
        """Send the next version to control; returns whether an instance accepted it.

        The control instances are tried in random order.
        """
        self.version += 1
        content = make_document(self.version, with_temporary_key=with_temporary_key)
        for address in self.random.sample(
            self.deployment.control_addresses, self.deployment.control_count
        ):
            try:
                async with asyncio.timeout(READY_TIMEOUT_S / 10):
                    status = await put_document(address, content)
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            if status == 200:
                self.acknowledged_version = self.version
                return True
        return False

    async def run(self) -> None:
        """Send versions at random intervals; those after a while revoke a key."""
        started_s = time.monotonic()
        while True:
            await asyncio.sleep(self.random.uniform(*CONFIG_INTERVAL_RANGE_S))
            with_temporary_key = time.monotonic() - started_s < self.revoke_after_s
            accepted = await self.send(with_temporary_key=with_temporary_key)
            if accepted and not with_temporary_key and self.revoked_s is None:
                self.revoked_s = time.monotonic()

    async def watch(self, http: aiohttp.ClientSession) -> None:
        """Check that no gateway process returns to an earlier version."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for program in self.deployment.list_programs("gateway"):
                process = self.deployment.process_by_program[program]
                address = self.deployment.get_address(program.instance, METRICS_PORT)
                version = await fetch_document_version(http, address)
                if version is None or process.returncode is not None:
                    continue
                process_key = (program.instance, process.pid)
                if version < self.highest_version_by_process.get(process_key, 0):
                    self.violations.append(
                        f"{program} returned to the earlier version {version}"
                    )
                self.highest_version_by_process[process_key] = version

    async def is_in_force(self, http: aiohttp.ClientSession) -> bool:
        """Return whether every gateway has at least the last acknowledged version."""
        versions = await asyncio.gather(
            *(
                fetch_document_version(
                    http, self.deployment.get_address(number, METRICS_PORT)
                )
                for number in range(self.deployment.gateway_count)
            )
        )
        return all((version or 0) >= self.acknowledged_version for version in versions)


class SeedResult(NamedTuple):
    """Result of one seed."""

    violations: list[str]
    # Number of answers by HTTP status, and of scheduled faults by kind.
    answers: Counter[int]
    faults: Counter[str]


async def run_seed(plan: Plan, folder: Path) -> SeedResult:
    """Run one seed and check every guarantee."""
    deployment = Deployment(folder, plan.control_count, plan.gateway_count)
    operator = Operator(deployment, plan)
    callers = Callers(deployment, plan.seed + 2, plan.caller_count)
    injector = Injector(deployment, callers)
    faults = [
        fault
        for fault in make_schedule(
            plan.seed, plan.duration_s, FAULTS_PER_S, plan.control_count
        )
        if not plan.fault_kinds or fault.kind in plan.fault_kinds
    ]
    violations = []
    timeout = aiohttp.ClientTimeout(total=SCRAPE_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as http:
            await start_deployment(deployment, operator, callers)
            callers.start()
            await _inject_faults(operator, injector, faults, http)
            if not plan.fault_kinds or CLOSING_FAULT_KIND in plan.fault_kinds:
                await injector.stop_all()
            await _wait_for_recovery(plan, operator, callers, http)
            # Servers that departed before the stop must get nothing after it.
            await asyncio.sleep(DEPARTED_OBSERVATION_S)
            await callers.stop()
    except AssertionError as error:
        violations.append(str(error))
    finally:
        await callers.stop()
        await deployment.stop()
    observations = Observations(
        callers.records,
        deployment.runners,
        deployment.group.executed_request_ids,
        injector.injected_faults,
        operator.revoked_s,
        callers.crash_resends,
    )
    violations += [*operator.violations, *injector.shutdown_failures]
    violations += find_violations(observations, plan.check_time_bounds)
    (folder / "observations.txt").write_text(
        "\n".join((*violations, *describe(observations)))
    )
    return SeedResult(
        violations,
        Counter(item.status for item in callers.records),
        Counter(fault.kind for fault in faults),
    )


async def start_deployment(
    deployment: Deployment, operator: Operator, callers: Callers
) -> None:
    """Start a deployment, configure it and wait until it serves."""

    async def _is_configured() -> bool:
        return await operator.send(with_temporary_key=True)

    await deployment.start()
    await deployment.wait_until(
        _is_configured, "first configuration accepted", READY_TIMEOUT_S
    )
    await deployment.wait_until(
        callers.is_service_available,
        "every kind of request served after the start",
        READY_TIMEOUT_S,
    )
    await deployment.wait_until(
        deployment.has_all_voters, "every control instance has a vote", READY_TIMEOUT_S
    )
    deployment.cluster_exists = True


async def _inject_faults(
    operator: Operator,
    injector: Injector,
    faults: list[ScheduledFault],
    http: aiohttp.ClientSession,
) -> None:
    """Inject all faults while the operator changes the configuration."""
    background = [
        asyncio.create_task(operator.watch(http)),
        asyncio.create_task(operator.run()),
    ]
    try:
        await injector.run(faults)
    finally:
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)


async def _wait_for_recovery(
    plan: Plan, operator: Operator, callers: Callers, http: aiohttp.ClientSession
) -> None:
    """Wait until all requests are served and the last configuration is in force."""
    deployment = operator.deployment
    recovery_timeout_s = MAX_RECOVERY_S if plan.check_time_bounds else READY_TIMEOUT_S
    await deployment.wait_until(
        callers.is_service_available,
        "every kind of request served after the last fault",
        recovery_timeout_s,
    )
    in_force_timeout_s = (
        MAX_IN_FORCE_DELAY_S if plan.check_time_bounds else READY_TIMEOUT_S
    )
    await deployment.wait_until(
        lambda: operator.is_in_force(http),
        "last configuration in force at every gateway",
        in_force_timeout_s,
    )


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds.")
@click.option("--seconds", default=20.0, show_default=True, help="Duration of each.")
@click.option("--controls", default=3, show_default=True, help="Control instances.")
@click.option("--gateways", default=3, show_default=True, help="Gateway instances.")
@click.option("--callers", default=12, show_default=True, help="Concurrent callers.")
@click.option(
    "--kind", "kinds", multiple=True, help="Kind of faults, repeatable; default all."
)
@click.option("--again", is_flag=True, help="Run the recorded seeds that once failed.")
@click.option(
    "--keep", default="", help="Folder to which the logs of failed seeds are copied."
)
def main(
    first: int,
    seeds: int,
    seconds: float,
    controls: int,
    gateways: int,
    callers: int,
    kinds: tuple[str, ...],
    again: bool,
    keep: str,
) -> None:
    """Run seeds one after another; fails if one violated a guarantee."""
    # The stand-in would log a traceback for each stream that a fault interrupts.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    failed_count = 0
    chosen_seeds = (
        [*REGRESSIONS, *SOAK_DEFECTS] if again else range(first, first + seeds)
    )
    for seed in chosen_seeds:
        plan = Plan(
            seed, controls, gateways, callers, seconds, fault_kinds=tuple(kinds)
        )
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(run_seed(plan, Path(folder)))
            if result.violations and keep:
                shutil.copytree(folder, Path(keep) / f"seed-{seed}", dirs_exist_ok=True)
        failed_count += bool(result.violations)
        verdict = "; ".join(result.violations[:5]) or "kept"
        answers = ", ".join(
            f"{status}: {count}" for status, count in sorted(result.answers.items())
        )
        print(f"seed {seed}: {verdict} | {answers} | {dict(result.faults)}", flush=True)
    print(
        f"{len(chosen_seeds) - failed_count} of {len(chosen_seeds)} "
        "seeds kept every guarantee"
    )
    sys.exit(failed_count > 0)


if __name__ == "__main__":
    main()

"""Plays seeds of the soak: python -m bench.soak.run --first 1 --seeds 50."""

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
from bench.soak.deployment import METRICS_PORT, Deployment, document_version
from bench.soak.documents import document
from bench.soak.faults import Fault, Injector, schedule
from bench.soak.promises import Seen, find_breaches
from bench.soak.seeds import OWN_FAULTS, REGRESSIONS
from yuccareach.platform.standin import put_document

READY_S = 30.0
# Accepted configuration is in force everywhere in touch within this time.
IN_FORCE_S = 2.5
# Everything is served again so long after the last fault.
RECOVER_S = 15.0
CONFIG_INTERVAL_S = (0.5, 2.0)
POLL_INTERVAL_S = 0.2
SCRAPE_TIMEOUT_S = 1.0
FAULTS_PER_S = 1.5


class Plan(NamedTuple):
    """How large a soak is, and how long."""

    seed: int
    controls: int = 3
    gateways: int = 3
    callers: int = 12
    duration_s: float = 20.0
    # Whether bounds in seconds are checked as well; not beside other work.
    timed: bool = True


class Operator:
    """Sends one version after another, and watches which are in force."""

    def __init__(self, deployment: Deployment, plan: Plan) -> None:
        self.deployment = deployment
        self.random = Random(plan.seed + 1)
        self.revoke_after_s = plan.duration_s / 3
        self.version = 0
        self.acknowledged = 0
        self.revoked_s: float | None = None
        self.breaches: list[str] = []
        # By gateway and start of its process, the highest version that it had.
        self.highest_by_process: dict[tuple[int, int], int] = {}

    async def send(self, *, passing: bool) -> bool:
        """Send the next version to some control instance; returns if it was taken."""
        self.version += 1
        content = document(self.version, passing=passing)
        for address in self.random.sample(
            self.deployment.control_addresses, self.deployment.controls
        ):
            try:
                async with asyncio.timeout(READY_S / 10):
                    status = await put_document(address, content)
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            if status == 200:
                self.acknowledged = self.version
                return True
        return False

    async def run(self) -> None:
        """Send versions at random times; one of them revokes a key."""
        begun_s = time.monotonic()
        while True:
            await asyncio.sleep(self.random.uniform(*CONFIG_INTERVAL_S))
            passing = time.monotonic() - begun_s < self.revoke_after_s
            taken = await self.send(passing=passing)
            if taken and not passing and self.revoked_s is None:
                self.revoked_s = time.monotonic()

    async def watch(self, http: aiohttp.ClientSession) -> None:
        """Check that no process goes back to an earlier version."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for program in self.deployment.programs("gateway"):
                process = self.deployment.process_by_program[program]
                address = self.deployment.address(program.instance, METRICS_PORT)
                version = await document_version(http, address)
                if version is None or process.returncode is not None:
                    continue
                key = (program.instance, process.pid)
                if version < self.highest_by_process.get(key, 0):
                    self.breaches.append(f"{program} went back to version {version}")
                self.highest_by_process[key] = version

    async def in_force(self, http: aiohttp.ClientSession) -> bool:
        """Return whether every gateway has what was acknowledged last."""
        versions = [
            await document_version(http, self.deployment.address(number, METRICS_PORT))
            for number in range(self.deployment.gateways)
        ]
        return all((version or 0) >= self.acknowledged for version in versions)


class Played(NamedTuple):
    """What became of a seed."""

    breaches: list[str]
    # Answers by status, and faults by what was done.
    answers: Counter[int]
    faults: Counter[str]


async def play(plan: Plan, folder: Path) -> Played:
    """Play one seed and check every promise."""
    deployment = Deployment(folder, plan.controls, plan.gateways)
    operator = Operator(deployment, plan)
    injector = Injector(deployment)
    callers = Callers(deployment, plan.seed + 2, plan.callers)
    faults = schedule(plan.seed, plan.duration_s, FAULTS_PER_S, plan.controls)
    breaches = []
    timeout = aiohttp.ClientTimeout(total=SCRAPE_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as http:
            await begin(deployment, operator, callers)
            callers.start()
            await _disturb(operator, injector, faults, http)
            await _recover(plan, operator, callers, http)
            await callers.stop()
    except AssertionError as error:
        breaches.append(str(error))
    finally:
        await callers.stop()
        await deployment.stop()
    seen = Seen(
        callers.asked,
        deployment.runners,
        deployment.group.executed_request_ids,
        injector.disturbances,
        operator.revoked_s,
    )
    breaches += [*operator.breaches, *injector.failures]
    return Played(
        breaches + find_breaches(seen, plan.timed),
        Counter(item.status for item in callers.asked),
        Counter(fault.kind for fault in faults),
    )


async def begin(deployment: Deployment, operator: Operator, callers: Callers) -> None:
    """Start everything and wait until it serves."""

    async def _configured() -> bool:
        return await operator.send(passing=True)

    await deployment.start()
    await deployment.until(_configured, "configuration taken", READY_S)
    await deployment.until(callers.served, "service begins", READY_S)
    deployment.begun = True


async def _disturb(
    operator: Operator,
    injector: Injector,
    faults: list[Fault],
    http: aiohttp.ClientSession,
) -> None:
    """Do all faults while the operator changes the configuration."""
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


async def _recover(
    plan: Plan, operator: Operator, callers: Callers, http: aiohttp.ClientSession
) -> None:
    """Wait until everything is served again, and the configuration is in force."""
    deployment = operator.deployment
    recover_s = RECOVER_S if plan.timed else READY_S
    await deployment.until(callers.served, "service recovers", recover_s)
    in_force_s = IN_FORCE_S if plan.timed else READY_S
    await deployment.until(
        lambda: operator.in_force(http), "configuration in force", in_force_s
    )


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="How many seeds.")
@click.option("--seconds", default=20.0, show_default=True, help="Length of each.")
@click.option("--controls", default=3, show_default=True, help="Control instances.")
@click.option("--gateways", default=3, show_default=True, help="Gateways.")
@click.option("--callers", default=12, show_default=True, help="Callers at once.")
@click.option("--again", is_flag=True, help="Play the seeds that failed once.")
@click.option("--keep", default="", help="Folder for the logs of seeds that fail.")
def main(
    first: int,
    seeds: int,
    seconds: float,
    controls: int,
    gateways: int,
    callers: int,
    again: bool,
    keep: str,
) -> None:
    """Play seeds one after the other; fails if a promise was broken."""
    # Streams that a fault cuts are not worth a traceback of the stand-in.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    broken = 0
    chosen = [*REGRESSIONS, *OWN_FAULTS] if again else range(first, first + seeds)
    for seed in chosen:
        plan = Plan(seed, controls, gateways, callers, seconds)
        with tempfile.TemporaryDirectory() as folder:
            played = asyncio.run(play(plan, Path(folder)))
            if played.breaches and keep:
                shutil.copytree(folder, Path(keep) / f"seed-{seed}", dirs_exist_ok=True)
        broken += bool(played.breaches)
        verdict = "; ".join(played.breaches[:5]) or "kept"
        answers = ", ".join(f"{key}: {n}" for key, n in sorted(played.answers.items()))
        print(f"seed {seed}: {verdict} | {answers} | {dict(played.faults)}", flush=True)
    print(f"{len(chosen) - broken} of {len(chosen)} seeds kept every promise")
    sys.exit(broken > 0)


if __name__ == "__main__":
    main()

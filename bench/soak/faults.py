"""A random schedule of faults, and doing them from outside the processes."""

from __future__ import annotations

import asyncio
import signal
import time
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from bench.soak.deployment import Program
from yuccareach.standin.proxy import Faults

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bench.soak.deployment import Deployment
    from bench.soak.runners import SoakRunner

LINK_FAULTS = (
    Faults(cut=True),
    Faults(drop_in=True),
    Faults(drop_out=True),
    Faults(half_open=True),
    Faults(delay_ms=30, jitter_ms=60),
    Faults(refuse_share=0.5),
)
# Control bears the loss of one instance at a time, which counts as lost for this long
# after it is back: the platform's bound.
CATCH_UP_S = 6.0
# Longest fault.
WORST_DELAY_S = 1.5
# A role and what is done to it.
KINDS_OF_GATEWAY = ("gateway_kill", "gateway_term", "gateway_pause")
KINDS_OF_CONTROL = ("control_kill", "control_term", "control_pause", "control_wipe")
KINDS_OF_RUNNER = ("runner_link", "runner_crash", "runner_drain")
# More than there are targets of any kind.
TARGETS = 300


class Disturbance(NamedTuple):
    """What was done, and when; ended_s is when the process was sound again.

    Backend servers are not told apart: their programs have the instance 0.
    """

    kind: str
    program: Program
    begun_s: float
    ended_s: float


class Fault(NamedTuple):
    """One fault of a schedule."""

    at_s: float
    kind: str
    # Which of those that there are then, modulo their number.
    target: int
    for_s: float


def schedule(seed: int, duration_s: float, per_s: float, controls: int) -> list[Fault]:
    """Return the faults of a seed; they come in series and overlap."""
    random = Random(seed)
    kinds = (*KINDS_OF_GATEWAY, *KINDS_OF_RUNNER * 2)
    faults = []
    at_s = random.expovariate(per_s)
    while at_s < duration_s:
        kind = random.choice(kinds)
        for_s = random.uniform(0.2, WORST_DELAY_S)
        faults.append(Fault(at_s, kind, random.randrange(TARGETS), for_s))
        at_s += random.expovariate(per_s)
    at_s = random.uniform(0, CATCH_UP_S)
    while at_s < duration_s and controls > 2:
        kind = random.choice(KINDS_OF_CONTROL)
        for_s = random.uniform(0.2, WORST_DELAY_S)
        faults.append(Fault(at_s, kind, random.randrange(controls), for_s))
        at_s += for_s + CATCH_UP_S + random.uniform(0, CATCH_UP_S / 2)
    return sorted(faults)


class Injector:
    """Does the faults of a schedule and remembers what it did."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.disturbances: list[Disturbance] = []
        # Programs that a fault holds now; another fault leaves them alone.
        self.held: set[Program] = set()
        self.failures: list[str] = []

    async def run(self, faults: list[Fault]) -> None:
        """Do all faults at their times; returns once all have ended."""
        begun_s = time.monotonic()

        async def _at(fault: Fault) -> None:
            await asyncio.sleep(max(0.0, begun_s + fault.at_s - time.monotonic()))
            await self._do(fault)

        await asyncio.gather(*(_at(fault) for fault in faults))

    async def _do(self, fault: Fault) -> None:
        role, _, what = fault.kind.partition("_")
        if role == "runner":
            begun_s = time.monotonic()
            await self._disturb_runner(what, fault)
            self.disturbances.append(
                Disturbance(what, Program(role, 0), begun_s, time.monotonic())
            )
            return
        count = len(self.deployment.programs(role))
        program = Program(role, fault.target % count)
        if program in self.held:
            return
        self.held.add(program)
        begun_s = time.monotonic()
        doing: dict[str, Callable[[Program, float], Awaitable[None]]] = {
            "kill": self._kill,
            "term": self._terminate,
            "pause": self._pause,
            "wipe": self._wipe,
        }
        await doing[what](program, fault.for_s)
        self.disturbances.append(Disturbance(what, program, begun_s, time.monotonic()))
        self.held.discard(program)

    async def _kill(self, program: Program, for_s: float) -> None:
        self.deployment.send_signal(program, signal.SIGKILL)
        await self.deployment.ended(program)
        await asyncio.sleep(for_s)
        await self.deployment.launch(program)

    async def _terminate(self, program: Program, for_s: float) -> None:
        self.deployment.send_signal(program, signal.SIGTERM)
        status = await self.deployment.ended(program)
        # A process that has not begun to serve has nothing to finish.
        if status and (status != -signal.SIGTERM or self.deployment.serving(program)):
            self.failures.append(f"{program} ended with {status} after SIGTERM")
        await self.deployment.launch(program)

    async def _pause(self, program: Program, for_s: float) -> None:
        self.deployment.send_signal(program, signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.deployment.send_signal(program, signal.SIGCONT)

    async def _wipe(self, program: Program, for_s: float) -> None:
        """Lose the disk of a control instance, which joins again with an empty one."""
        self.deployment.send_signal(program, signal.SIGKILL)
        await self.deployment.ended(program)
        self.deployment.wipe(program.instance)
        await asyncio.sleep(for_s)
        await self.deployment.launch(program)

    async def _disturb_runner(self, what: str, fault: Fault) -> None:
        runners = [item for item in self.deployment.runners if not item.draining]
        runner = runners[fault.target % len(runners)]
        if what == "link":
            faults = LINK_FAULTS[fault.target % len(LINK_FAULTS)]
            runner.disturb(faults)
            await asyncio.sleep(fault.for_s)
            runner.disturb(Faults())
        elif what == "crash":
            await self._replace(runner, crash=True)
        else:
            await self._replace(runner, crash=False)

    async def _replace(self, runner: SoakRunner, *, crash: bool) -> None:
        """Lose a backend server or release it, with another in its place."""
        deployment = self.deployment
        runner.draining = True
        if crash:
            await runner.stop()
        replacement = await deployment.add_runner(
            runner.service, runner.zone, runner.kind
        )
        replacement.layers = runner.layers


__all__ = ["Disturbance", "Fault", "Injector", "schedule"]

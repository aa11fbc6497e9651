"""Make a random schedule of faults and inject them from outside the processes."""

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

    from bench.soak.callers import Callers
    from bench.soak.deployment import Deployment

LINK_FAULTS = (
    Faults(cut=True),
    Faults(drop_in=True),
    Faults(drop_out=True),
    Faults(half_open=True),
    Faults(delay_ms=30, jitter_ms=60),
    Faults(refuse_share=0.5),
)
# Control tolerates the loss of one instance at a time. By the platform's bound, an
# instance counts as lost until this long after its restart.
CONTROL_CATCH_UP_S = 6.0
MAX_FAULT_DURATION_S = 1.5
# Each kind is a role and the action on a process of that role.
GATEWAY_FAULT_KINDS = ("gateway_kill", "gateway_term", "gateway_pause")
CONTROL_FAULT_KINDS = ("control_kill", "control_term", "control_pause", "control_wipe")
RUNNER_FAULT_KINDS = ("runner_link", "runner_crash", "runner_drain")
# Requests that crash the backend servers that run them, sent again and again.
CRASHING_REQUESTS = 1
# Targets are drawn below this number. It exceeds the number of processes of any role.
MAX_TARGETS = 300


class InjectedFault(NamedTuple):
    """A fault that was injected, and when.

    The kind is the action alone, without the role. ended_s is when the process worked
    again. All backend servers share the program of instance 0.
    """

    kind: str
    program: Program
    started_s: float
    ended_s: float


class ScheduledFault(NamedTuple):
    """One fault of a schedule."""

    start_s: float
    kind: str
    # Index of the process, modulo the number of processes at that time.
    target: int
    duration_s: float


def make_schedule(
    seed: int, duration_s: float, faults_per_s: float, control_count: int
) -> list[ScheduledFault]:
    """Return the faults of a seed, ordered by their start.

    Faults of gateways and backend servers may overlap. Those of control never do, and
    there are none with fewer than three control instances.
    """
    rng = Random(seed)
    kinds = (*GATEWAY_FAULT_KINDS, *RUNNER_FAULT_KINDS * 2)
    faults = []
    start_s = rng.expovariate(faults_per_s)
    while start_s < duration_s:
        kind = rng.choice(kinds)
        length_s = rng.uniform(0.2, MAX_FAULT_DURATION_S)
        faults.append(
            ScheduledFault(start_s, kind, rng.randrange(MAX_TARGETS), length_s)
        )
        start_s += rng.expovariate(faults_per_s)
    start_s = rng.uniform(0, CONTROL_CATCH_UP_S)
    while start_s < duration_s and control_count > 2:
        kind = rng.choice(CONTROL_FAULT_KINDS)
        length_s = rng.uniform(0.2, MAX_FAULT_DURATION_S)
        faults.append(
            ScheduledFault(start_s, kind, rng.randrange(control_count), length_s)
        )
        start_s += (
            length_s + CONTROL_CATCH_UP_S + rng.uniform(0, CONTROL_CATCH_UP_S / 2)
        )
    # Drawn last, so that the other faults of earlier seeds stay as they were.
    for _ in range(CRASHING_REQUESTS):
        start_s = rng.uniform(0, duration_s / 2)
        target = rng.randrange(MAX_TARGETS)
        faults.append(ScheduledFault(start_s, "caller_crash", target, 0.0))
    return sorted(faults)


class Injector:
    """Injects the faults of a schedule and records them."""

    def __init__(self, deployment: Deployment, callers: Callers) -> None:
        self.deployment = deployment
        self.callers = callers
        self.injected_faults: list[InjectedFault] = []
        # Programs with a fault at present. Another fault of the same program is
        # skipped.
        self.faulted_programs: set[Program] = set()
        self.shutdown_failures: list[str] = []

    async def run(self, faults: list[ScheduledFault]) -> None:
        """Inject each fault at its time; returns once all have ended."""
        started_s = time.monotonic()

        async def _inject_on_time(fault: ScheduledFault) -> None:
            await asyncio.sleep(max(0.0, started_s + fault.start_s - time.monotonic()))
            await self._inject(fault)

        await asyncio.gather(*(_inject_on_time(fault) for fault in faults))

    async def _inject(self, fault: ScheduledFault) -> None:
        role, _, action = fault.kind.partition("_")
        if role == "caller":
            started_s = time.monotonic()
            await self.callers.send_crashing_request(fault.target)
            self.injected_faults.append(
                InjectedFault(action, Program("runner", 0), started_s, time.monotonic())
            )
            return
        if role == "runner":
            started_s = time.monotonic()
            await self._inject_runner_fault(action, fault)
            self.injected_faults.append(
                InjectedFault(action, Program(role, 0), started_s, time.monotonic())
            )
            return
        count = len(self.deployment.list_programs(role))
        program = Program(role, fault.target % count)
        if program in self.faulted_programs:
            return
        self.faulted_programs.add(program)
        started_s = time.monotonic()
        action_by_name: dict[str, Callable[[Program, float], Awaitable[None]]] = {
            "kill": self._kill,
            "term": self._terminate,
            "pause": self._pause,
            "wipe": self._wipe,
        }
        await action_by_name[action](program, fault.duration_s)
        self.injected_faults.append(
            InjectedFault(action, program, started_s, time.monotonic())
        )
        self.faulted_programs.discard(program)

    async def _kill(self, program: Program, duration_s: float) -> None:
        self.deployment.send_signal(program, signal.SIGKILL)
        await self.deployment.wait_for_end(program)
        await asyncio.sleep(duration_s)
        await self.deployment.launch(program)

    async def _terminate(self, program: Program, duration_s: float) -> None:
        self.deployment.send_signal(program, signal.SIGTERM)
        status = await self.deployment.wait_for_end(program)
        # A process that does not serve yet has no requests to finish, and SIGTERM may
        # end it before its handler is installed.
        if status and (
            status != -signal.SIGTERM or self.deployment.is_serving(program)
        ):
            self.shutdown_failures.append(
                f"{program} exited with status {status} after SIGTERM"
            )
        await self.deployment.launch(program)

    async def _pause(self, program: Program, duration_s: float) -> None:
        self.deployment.send_signal(program, signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self.deployment.send_signal(program, signal.SIGCONT)

    async def _wipe(self, program: Program, duration_s: float) -> None:
        """Delete the data of a control instance and restart it with an empty folder."""
        self.deployment.send_signal(program, signal.SIGKILL)
        await self.deployment.wait_for_end(program)
        self.deployment.wipe(program.instance)
        await asyncio.sleep(duration_s)
        await self.deployment.launch(program)

    async def _inject_runner_fault(self, action: str, fault: ScheduledFault) -> None:
        runners = [item for item in self.deployment.runners if not item.draining]
        runner = runners[fault.target % len(runners)]
        if action == "link":
            faults = LINK_FAULTS[fault.target % len(LINK_FAULTS)]
            runner.set_link_faults(faults)
            await asyncio.sleep(fault.duration_s)
            runner.set_link_faults(Faults())
        elif action == "crash":
            await self.deployment.replace_crashed(runner)
        else:
            await self.deployment.replace(runner)


__all__ = ["InjectedFault", "Injector", "ScheduledFault", "make_schedule"]

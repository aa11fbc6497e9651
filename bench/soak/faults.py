"""Inject the faults of a schedule from outside the processes."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time
from typing import TYPE_CHECKING, NamedTuple

from bench.soak.deployment import Program
from bench.soak.observations import RUNNERS
from bench.soak.runner_faults import inject_runner_fault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bench.soak.callers import Callers
    from bench.soak.deployment import Deployment
    from bench.soak.schedule import ScheduledFault


# Servers that depart right before the stop of all, and the time in which those that
# take their place announce themselves.
DEPARTING_RUNNERS = 2
REPLACEMENT_START_S = 1.0
# The platform's bound on the time from the silence of connections until a change is
# acknowledged again.
MAX_SILENT_LINK_S = 4.0
# Less than a process takes to see that its settings have changed.
SEED_EXCHANGE_DELAY_S = 0.7


class InjectedFault(NamedTuple):
    """A fault that was injected, and when.

    The kind is the action alone, without the role. ended_s is when the process worked
    again. All backend servers share the program of instance 0.
    """

    kind: str
    program: Program
    started_s: float
    ended_s: float


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
        if role == "links":
            await self._silence_links(fault)
            return
        if role in ("caller", "runner"):
            started_s = time.monotonic()
            if role == "runner":
                await inject_runner_fault(self.deployment, fault)
            elif action == "part":
                await self.callers.send_crashing_parts(fault.target)
            else:
                await self.callers.send_crashing_request(fault.target)
            self.injected_faults.append(
                InjectedFault(action, RUNNERS, started_s, time.monotonic())
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

    async def _silence_links(self, fault: ScheduledFault) -> None:
        """Silence the open connections of an instance, or of all, for good.

        The fault lasts until the processes must have replaced the connections. It is
        recorded for control only: gateways serve on, and nothing excuses them but that
        they learn of changes later.
        """
        deployment = self.deployment
        host = ""
        if fault.kind == "links_instance":
            instances = sorted(
                {item.instance for item in deployment.list_all_programs()}
            )
            host = deployment.get_host(instances[fault.target % len(instances)])
        deployment.links.silence(host)
        started_s = time.monotonic()
        await asyncio.sleep(MAX_SILENT_LINK_S)
        self.injected_faults += [
            InjectedFault("links", program, started_s, time.monotonic())
            for program in deployment.list_programs("control")
        ]

    async def stop_all(self) -> None:
        """Exchange the seeds for instances that lose their state, then kill all.

        Some of the killed processes have read the new seeds before, others have not.
        Servers depart right before the kill, and serve on.
        """
        self.deployment.exchange_seeds()
        await asyncio.sleep(SEED_EXCHANGE_DELAY_S)
        await self._let_servers_depart()
        started_s = time.monotonic()
        programs = self.deployment.list_all_programs()
        for program in programs:
            self.deployment.send_signal(program, signal.SIGKILL)
        await asyncio.gather(*map(self.deployment.wait_for_end, programs))
        await asyncio.gather(*map(self.deployment.launch, programs))
        ended_s = time.monotonic()
        self.injected_faults += [
            InjectedFault("kill", program, started_s, ended_s) for program in programs
        ]

    async def _let_servers_depart(self) -> None:
        """Let some servers of the plain service depart at different instances."""
        departing = [
            runner
            for runner in self.deployment.runners
            if not runner.kind and not runner.draining and runner.closed_s is None
        ][:DEPARTING_RUNNERS]
        for runner in departing:
            # Until its departure, its heartbeats say that it is ready.
            await self.deployment.add_runner(runner.service, runner.zone)
        await asyncio.sleep(REPLACEMENT_START_S)
        addresses = itertools.cycle(self.deployment.control_addresses)
        await asyncio.gather(
            *(
                runner.depart(address)
                for runner, address in zip(departing, addresses, strict=False)
            )
        )

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


__all__ = ["InjectedFault", "Injector"]

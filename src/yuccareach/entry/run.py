"""The entry process."""

from __future__ import annotations

import asyncio
import functools
import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

from yuccareach.control.client import ControlClient
from yuccareach.control.errors import ControlUnavailable
from yuccareach.entry.events import (
    AcquirePermit,
    DeliverToken,
    DrainRequested,
    FinishAnswer,
    FinishPermit,
    IncrementCounter,
    ObserveDuration,
    PermitAnswered,
    Refuse,
    ReportLoss,
    ReturnReply,
)
from yuccareach.entry.reducer import reduce
from yuccareach.entry.response_queues import ResponseQueues
from yuccareach.entry.state import EntryOptions, EntryState
from yuccareach.entry.traces import Traces
from yuccareach.metrics.registry import Registry
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.http import HttpServer
from yuccareach.runtime.links import Links, Send
from yuccareach.runtime.logs import Log, logger, write_log
from yuccareach.runtime.process import new_incarnation
from yuccareach.runtime.reducer import Dispatcher, wall_clock_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

PERMIT_TIMEOUT_MS = 5_000
CONTROL_REPORT_TIMEOUT_MS = 30_000


class EntryProcessOptions(NamedTuple):
    """Settings of the entry process."""

    instance: str
    availability_zone: str
    control: tuple[str, ...]
    host: str = "127.0.0.1"
    port: int = 0
    resume: bool = True
    policy: str = "load"
    drain_grace_ms: int = 2_000


class EntryProcess:
    """One entry: its HTTP server, its links to agents and its reducer."""

    def __init__(
        self, options: EntryProcessOptions, build_app: Callable[[EntryProcess], Any]
    ) -> None:
        self.options = options
        self.build_app = build_app
        self.log = logger("entry")
        incarnation = f"{options.instance}-{new_incarnation()}"
        self.state = EntryState(
            EntryOptions(
                incarnation,
                options.availability_zone,
                options.resume,
                options.policy,
            )
        )
        numbers = itertools.count(1)
        # Unique to this process.
        self.new_request_id = lambda: f"{incarnation}-{next(numbers)}"
        self.metrics = Registry()
        self.response_queues = ResponseQueues()
        self.traces = Traces()
        self.dispatcher = Dispatcher(functools.partial(reduce, self.state))
        self.dispatch = self.dispatcher.dispatch
        self.links = Links(incarnation, self.dispatch, self._revision)
        self.control = ControlClient(
            options.control,
            options.instance,
            options.availability_zone,
            self.dispatch,
            self._revision,
            members=True,
        )
        self.is_shutting_down = False
        self.background: set[asyncio.Task[None]] = set()

    def _revision(self) -> int:
        return self.state.settings.revision

    async def start(self) -> None:
        """Watch control and serve callers."""
        self.dispatcher.perform_with(
            {
                Send: self.links.send,
                Log: self._write_log,
                DeliverToken: self.response_queues.put,
                FinishAnswer: self.response_queues.put,
                Refuse: self.response_queues.put,
                ReturnReply: self.response_queues.put,
                ObserveDuration: self._observe,
                IncrementCounter: lambda effect: self.metrics.count(*effect),
                AcquirePermit: lambda effect: self._spawn(self._acquire(effect)),
                FinishPermit: lambda effect: self._spawn(self._settle(effect.command)),
                ReportLoss: lambda effect: self._spawn(
                    self._settle(cpb.Command(quarantine=effect.report))
                ),
            }
        )
        app = self.build_app(self)
        self.http = HttpServer(app, self.options.host, self.options.port)
        self.control.start()
        self.dispatcher.start_ticks(self._busy)
        await self.http.start()
        self.log.info("started", extra={"http": self.http.address})

    def _busy(self) -> bool:
        return bool(self.state.request_by_id or self.state.call_by_id)

    def _write_log(self, effect: Log) -> None:
        self.traces.record(effect, wall_clock_ms())
        write_log(self.log, effect)

    def _observe(self, effect: ObserveDuration) -> None:
        self.metrics.observe(*effect)

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _acquire(self, effect: AcquirePermit) -> None:
        """Ask control for a permit and dispatch its answer."""
        command = cpb.Command(permit_acquire=effect.acquire)
        answer = None
        try:
            reply = await self.control.submit(command, PERMIT_TIMEOUT_MS)
            answer = reply.permit
        except ControlUnavailable as error:
            self.log.warning(
                "permit_unavailable",
                extra={"request": effect.request, "reason": str(error)},
            )
        self.dispatch(PermitAnswered(effect.request, answer))

    async def _settle(self, command: cpb.Command) -> None:
        """Tell control what it need not answer: a call's end, or a loss."""
        try:
            await self.control.submit(command, CONTROL_REPORT_TIMEOUT_MS)
        except ControlUnavailable as error:
            kind = command.WhichOneof("body")
            self.log.warning("not_settled", extra={"kind": kind, "reason": str(error)})

    def gauges(self) -> Mapping[str, float]:
        """Return the current numbers for metrics."""
        return {
            "requests_in_flight": len(self.state.request_by_id),
            "calls_in_flight": len(self.state.call_by_id),
            "backend_servers": len(self.state.server_by_name),
            "settings_revision": self.state.settings.revision,
        }

    async def drain(self) -> None:
        """Leave the balancer, then refuse new work, then finish what is in flight.

        Callers whom the balancer still sends meanwhile are served like all others.
        """
        self.is_shutting_down = True
        await asyncio.sleep(self.options.drain_grace_ms / 1000)
        self.dispatch(DrainRequested())
        await self.response_queues.all_closed.wait()
        if self.background:
            await asyncio.wait(self.background)

    async def stop(self) -> None:
        """Close everything."""
        await self.http.stop()
        for task in self.background:
            task.cancel()
        await self.dispatcher.stop_ticks()
        await self.control.close()
        await self.links.close()
        self.log.info("stopped")


__all__ = ["EntryProcess", "EntryProcessOptions"]

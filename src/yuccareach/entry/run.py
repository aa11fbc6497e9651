"""The entry process: HTTP server, links to agents, watch on control, and reducer."""

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
    ReportLosses,
    ReturnReply,
)
from yuccareach.entry.reducer import reduce
from yuccareach.entry.response_queues import ResponseQueues
from yuccareach.entry.state import EntryOptions, EntryState
from yuccareach.entry.traces import Traces
from yuccareach.metrics.registry import Registry
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quarantine.reporting import LossReporter
from yuccareach.runtime.http import HttpServer
from yuccareach.runtime.links import Links, Send
from yuccareach.runtime.logs import Log, logger, write_log
from yuccareach.runtime.process import new_incarnation
from yuccareach.runtime.reducer import Dispatcher, wall_clock_ms
from yuccareach.runtime.tasks import cancel_tasks

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

PERMIT_TIMEOUT_MS = 5_000
# Time to report a finished call or a loss to control, retries included.
CONTROL_REPORT_TIMEOUT_MS = 30_000


class EntryProcessOptions(NamedTuple):
    """Options of the entry process."""

    instance: str
    availability_zone: str
    control: tuple[str, ...]
    host: str = "127.0.0.1"
    port: int = 0
    resume: bool = True
    policy: str = "load"
    drain_grace_ms: int = 2_000


class EntryProcess:
    """An entry: it performs the effects of its reducer and feeds events to it."""

    def __init__(
        self, options: EntryProcessOptions, build_app: Callable[[EntryProcess], Any]
    ) -> None:
        self.options = options
        self.build_app = build_app
        self.log = logger("entry")
        incarnation = f"{options.instance}-{new_incarnation()}"
        self.state = EntryState(
            EntryOptions(
                incarnation, options.availability_zone, options.resume, options.policy
            )
        )
        request_numbers = itertools.count(1)
        # The incarnation makes the identifiers unique across processes.
        self.new_request_id = lambda: f"{incarnation}-{next(request_numbers)}"
        self.metrics = Registry()
        self.loss_reporter = LossReporter()
        self.response_queues = ResponseQueues()
        self.traces = Traces()
        self.dispatcher = Dispatcher(functools.partial(reduce, self.state))
        self.dispatch = self.dispatcher.dispatch
        self.links = Links(incarnation, self.dispatch, self._get_settings_revision)
        self.control = ControlClient(
            options.control,
            options.instance,
            options.availability_zone,
            self.dispatch,
            self._get_settings_revision,
            watch_members=True,
        )
        self.is_shutting_down = False
        self.background_tasks: set[asyncio.Task[None]] = set()

    def _get_settings_revision(self) -> int:
        return self.state.settings.revision

    async def start(self) -> None:
        """Start watching control and serving callers."""
        self.dispatcher.register_performers(
            {
                Send: self.links.send,
                Log: self._write_log,
                DeliverToken: self.response_queues.put,
                FinishAnswer: self.response_queues.put,
                Refuse: self.response_queues.put,
                ReturnReply: self.response_queues.put,
                ObserveDuration: self._observe_duration,
                IncrementCounter: lambda effect: self.metrics.count(*effect),
                AcquirePermit: lambda effect: self._start_background_task(
                    self._acquire_permit(effect)
                ),
                FinishPermit: lambda effect: self._start_background_task(
                    self._report_to_control(effect.command)
                ),
                ReportLosses: lambda effect: self.loss_reporter.add(effect.changes),
            }
        )
        app = self.build_app(self)
        self.http = HttpServer(app, self.options.host, self.options.port)
        self.control.start()
        self.loss_report_task = asyncio.create_task(
            self.loss_reporter.run(self._submit_losses, self._write_log)
        )
        self.dispatcher.start_ticks(self._is_busy)
        await self.http.start()
        self.log.info("started", extra={"http": self.http.address})

    def _is_busy(self) -> bool:
        return bool(self.state.request_by_id or self.state.call_by_id)

    def _write_log(self, effect: Log) -> None:
        self.traces.record(effect, wall_clock_ms())
        write_log(self.log, effect)

    def _observe_duration(self, effect: ObserveDuration) -> None:
        self.metrics.observe(*effect)

    def _start_background_task(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def _acquire_permit(self, effect: AcquirePermit) -> None:
        """Submit a permit command to control and dispatch its answer."""
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

    async def _submit_losses(self, command: cpb.Command) -> None:
        await self.control.submit(command, CONTROL_REPORT_TIMEOUT_MS)

    async def _report_to_control(self, command: cpb.Command) -> None:
        """Submit a command whose answer is not needed: a call's reply."""
        try:
            await self.control.submit(command, CONTROL_REPORT_TIMEOUT_MS)
        except ControlUnavailable as error:
            kind = command.WhichOneof("body")
            self.log.warning("not_settled", extra={"kind": kind, "reason": str(error)})

    def gauges(self) -> Mapping[str, float]:
        """Return the current values of the gauges."""
        return {
            "requests_in_flight": len(self.state.request_by_id),
            "calls_in_flight": len(self.state.call_by_id),
            "backend_servers": len(self.state.server_by_name),
            "settings_revision": self.state.settings.revision,
        }

    async def drain(self) -> None:
        """Report not ready, then refuse new requests, then finish those in flight.

        Requests are still served for drain_grace_ms after the readiness check fails,
        because a load balancer may send callers until it has noticed.
        """
        self.is_shutting_down = True
        await asyncio.sleep(self.options.drain_grace_ms / 1000)
        self.dispatch(DrainRequested())
        await self.response_queues.all_closed.wait()
        if self.background_tasks:
            await asyncio.wait(self.background_tasks)

    async def stop(self) -> None:
        """Stop the HTTP server and close all connections."""
        await self.http.stop()
        await cancel_tasks([self.loss_report_task, *self.background_tasks])
        await self.dispatcher.stop_ticks()
        await self.control.close()
        await self.links.close()
        self.log.info("stopped")


__all__ = ["EntryProcess", "EntryProcessOptions"]

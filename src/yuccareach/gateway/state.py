"""Everything that one gateway process believes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from yuccareach.gateway.admission import AdmissionQueue
from yuccareach.gateway.backends import Fleet
from yuccareach.gateway.budget import BudgetTerms, RetryBudget
from yuccareach.gateway.chains import Chain, Graph, build_graph
from yuccareach.gateway.table import Limits
from yuccareach.metrics.registry import Registry
from yuccareach.runtime.logs import Log, logger, write_log

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from yuccareach.gateway.dialect import Dialect
    from yuccareach.gateway.stream_run import StreamRun
    from yuccareach.gateway.table import RoutingTable, Service

# After a restart of everything, control is back and has a leader within this time.
FIRST_VIEW_S = 1.5
# Backend servers announce themselves anew within about an interval of heartbeats.
MEMBERS_DUE_S = 2.0
# Control notes within this time that a server is gone, and orders its layers elsewhere:
# reports of two entries, and a round of planning.
REPLACEMENT_DELAY_S = 1.0
# Part of the time within which a revoked key must be refused everywhere; the rest is
# for a request that is admitted in the last moment to reach its backend server.
LEASE_PART = 0.88
_log = logger("gateway")


class GatewaySettings(NamedTuple):
    """What a gateway is set up with."""

    instance: str
    zone: str
    # The time within which a revoked key must be refused everywhere.
    max_revocation_delay_s: float
    retry_budget: BudgetTerms
    # How long work in flight may go on after a request to shut down.
    grace_period_s: float

    @property
    def lease_s(self) -> float:
        """How long a confirmed view entitles to serve requests with a key."""
        return LEASE_PART * self.max_revocation_delay_s


class CachedGraph(NamedTuple):
    """The graph of one service, and what it was made from."""

    graph: Graph
    # Versions of members and table, and the servers left out as not connectable.
    made_from: tuple[int, int, frozenset[str]]


def boot_time_s() -> float:
    """Return a steady time that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Gateway:
    """The state that all requests of one process share."""

    def __init__(self, settings: GatewaySettings, dialect: Dialect) -> None:
        self.settings = settings
        self.dialect = dialect
        self.table: RoutingTable | None = None
        self.fleet = Fleet()
        self.entries = 1
        # On the clock of boot_time_s.
        self.lease_until_s = 0.0
        self.draining = False
        self.active = 0
        self.streams: set[StreamRun] = set()
        self.budget_by_service: dict[str, RetryBudget] = {}
        self.queue_by_service: dict[str, AdmissionQueue[Chain]] = {}
        self.graph_by_service: dict[str, CachedGraph] = {}
        self.registry = Registry()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.started_s = self.now()
        self.first_view = asyncio.Event()
        self.members_due_s = 0.0

    async def wait_for_first_view(self) -> None:
        """Wait for the view that a process which has just started is about to get."""
        left_s = self.started_s + FIRST_VIEW_S - self.now()
        if left_s > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.first_view.wait()

    @property
    def is_awaiting_members(self) -> bool:
        """Whether members are still to be heard of since the first view."""
        return self.now() < self.members_due_s

    def start_background_task(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run something beside the requests; its failure is logged."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log("task_crashed", logging.ERROR, error=repr(task.exception()))

    def get_limits(self) -> Limits:
        """Return the limits in force."""
        return self.table.limits if self.table is not None else Limits()

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def has_lease(self) -> bool:
        """Whether the view is recent enough to admit requests by their key."""
        return boot_time_s() < self.lease_until_s

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.table is not None and self.has_lease and not self.draining

    def get_retry_budget(self, service: str) -> RetryBudget:
        """Return the budget of repeats for a service."""
        budget = self.budget_by_service.get(service)
        if budget is None:
            budget = self.budget_by_service[service] = RetryBudget(
                self.settings.retry_budget
            )
        return budget

    def get_queue(self, service: str) -> AdmissionQueue[Chain]:
        """Return the requests of a service that wait for room."""
        queue = self.queue_by_service.get(service)
        if queue is None:
            queue = self.queue_by_service[service] = AdmissionQueue()
        return queue

    def take_retry(self, service: str, *, urgent: bool = False) -> bool:
        """Take one repeat from the budget, if there is one."""
        budget = self.get_retry_budget(service)
        allowed = budget.take(self.now(), self.entries, urgent=urgent)
        self.registry.count("repeats", "sent" if allowed else "over_budget")
        return allowed

    def get_graph(self, service: Service) -> Graph:
        """Return the ways through a service's layers, made anew as members change.

        Servers that take no connections are left out: a request sent there anyway would
        only be refused, and take a repeat from the budget.
        """
        assert self.table is not None and service.model is not None
        gone = frozenset(item.name for item in self.fleet.unconnectable())
        made_from = (self.fleet.version, self.table.version, gone)
        cached = self.graph_by_service.get(service.name)
        if cached is not None and cached.made_from == made_from:
            return cached.graph
        members = self.fleet.of_service(service.name)
        graph = build_graph(
            (item for item in members if item.connectable), service.model
        )
        self.graph_by_service[service.name] = CachedGraph(graph, made_from)
        return graph

    def estimate_coverage_gap_s(self, service: Service) -> float:
        """Return for how long no chain can have every layer; 0 while one can.

        Where servers lack, others are about to load their layers.
        """
        if service.model is None or self.table is None:
            return 0.0
        missing = self.get_graph(service).missing_layers
        if not missing:
            return 0.0
        load_s = service.model.load_s * missing / service.model.layers
        return REPLACEMENT_DELAY_S + load_s

    def log(self, event: str, level: int = logging.INFO, **fields: Any) -> None:
        """Write one log line."""
        write_log(_log, Log(event, fields, level))


__all__ = ["Gateway", "GatewaySettings", "boot_time_s"]

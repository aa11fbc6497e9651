"""State of one gateway process: settings, the view, members, queues and budgets."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import random
import time
from collections import Counter, deque
from typing import TYPE_CHECKING, Any, NamedTuple

from yuccareach.buffers.account import BufferAccount, BufferLimits
from yuccareach.buffers.limits import DEFAULT_LIMITS
from yuccareach.gateway.admission import AdmissionQueue
from yuccareach.gateway.availability import (
    can_take_part,
    count_uncovered_layers,
    find_for_chain,
    find_layers_acceptance_ms,
)
from yuccareach.gateway.backends import Fleet
from yuccareach.gateway.budget import RetryBudget, RetryBudgetLimits
from yuccareach.gateway.call_durations import CallDurations
from yuccareach.gateway.chains import Chain, LayerGraph, build_graph
from yuccareach.gateway.exchanges import ResponseBuffers
from yuccareach.gateway.server_limits import ServerLimits
from yuccareach.gateway.table import Limits
from yuccareach.health.servers import find_acceptance_ms
from yuccareach.metrics.registry import Registry
from yuccareach.quarantine.reporting import LossReporter
from yuccareach.quarantine.table import QuarantineTable
from yuccareach.runtime.logs import Log, logger, write_log

if TYPE_CHECKING:
    from collections.abc import Collection, Coroutine

    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.call_places import CallPlace
    from yuccareach.gateway.dialect import Dialect
    from yuccareach.gateway.stream_run import StreamRun
    from yuccareach.gateway.table import RoutingTable, Service

# After a restart of the whole system, control has elected a leader within this time.
FIRST_VIEW_TIMEOUT_S = 1.5
# After such a restart, backend servers register again within about one heartbeat
# interval.
MEMBERS_TIMEOUT_S = 2.0
# Control detects the loss of a backend server, and orders other servers to load its
# layers, within this time: it waits for the reports of two gateways and plans once.
REPLACEMENT_DELAY_S = 1.0
# Share of the maximum revocation delay for which a view permits admitting requests by
# their key. The rest is left for the last admitted requests to reach backend servers.
LEASE_FRACTION = 0.88
# Mean time between the trials of two gateways: the loss of a server under the first one
# is known everywhere within it.
TRIAL_SPACING_MS = 2_000
_log = logger("gateway")


class GatewaySettings(NamedTuple):
    """Settings of one gateway process."""

    instance: str
    zone: str
    # Within this time of its revocation, every gateway must refuse a key.
    max_revocation_delay_s: float
    retry_budget: RetryBudgetLimits
    # How long requests in flight may continue after a request to shut down.
    grace_period_s: float
    # Limits of what all connections together hold.
    buffers: BufferLimits = DEFAULT_LIMITS

    @property
    def lease_s(self) -> float:
        """How long a view from the leader permits admitting requests by their key."""
        return LEASE_FRACTION * self.max_revocation_delay_s


class CachedGraph(NamedTuple):
    """The graph of one service, and the versions that it was built from."""

    graph: LayerGraph
    # Loop time from which on every loaded layer has a server that accepts requests.
    acceptance_ms: float
    # Number of layers that no server keeps.
    uncovered_layers: int
    # Versions of the members and of the routing table, and of each server that was
    # left out its name, whether it is presumed lost, and when it accepts requests.
    cache_key: tuple[int, int, frozenset[tuple[str, bool, float]]]


def get_boot_time_s() -> float:
    """Return a monotonic time that includes time for which the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Gateway:
    """State that all requests of one process share."""

    def __init__(self, settings: GatewaySettings, dialect: Dialect) -> None:
        self.settings = settings
        self.dialect = dialect
        self.table: RoutingTable | None = None
        self.fleet = Fleet()
        self.response_buffers = ResponseBuffers(settings.buffers.response_bytes)
        self.buffer_account = BufferAccount(settings.buffers)
        # Gateways that share the retry budget, this one included; 0 if unknown.
        self.entry_count = 0
        # Loop time and number of gateways of recent views, oldest first.
        self.recent_entry_counts: deque[tuple[float, int]] = deque()
        # In terms of get_boot_time_s().
        self.lease_until_s = 0.0
        # When a shutdown ends what is still running; infinity without one.
        self.shutdown_s = math.inf
        self.active_requests = 0
        self.call_durations = CallDurations()
        self.streams: set[StreamRun] = set()
        self.server_limits = ServerLimits()
        self.budget_by_service: dict[str, RetryBudget] = {}
        self.queue_by_service: dict[str, AdmissionQueue[Chain]] = {}
        # Calls that wait for a grant of a limited server.
        self.call_queue_by_service: dict[str, AdmissionQueue[CallPlace]] = {}
        self.graph_by_service: dict[str, CachedGraph] = {}
        # Backend servers lost under each request, as all gateways have counted them.
        self.quarantine = QuarantineTable()
        # Until the next accusation of a prompt part is due.
        self.accusation_timer: asyncio.TimerHandle | None = None
        self.loss_reporter = LossReporter()
        self.quarantine.trial_phase = random.random()
        # Streams with each prompt part whose attempt has not proven it yet.
        self.unproven_streams_by_part: Counter[bytes] = Counter()
        # The newest change of those counts that control has sent.
        self.loss_changes = 0
        self.registry = Registry()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.started_s = self.now()
        self.first_view_received = asyncio.Event()
        # Set when a server is found that accepts no connection, to report it at once.
        self.suspect_found = asyncio.Event()
        self.awaiting_members_until_s = 0.0

    async def wait_for_first_view(self) -> None:
        """Wait for the first view, for a limited time after the process has started."""
        remaining_s = self.started_s + FIRST_VIEW_TIMEOUT_S - self.now()
        if remaining_s > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self.first_view_received.wait()

    @property
    def is_awaiting_members(self) -> bool:
        """Whether members may still be missing, as the first view came recently."""
        return self.now() < self.awaiting_members_until_s

    def start_background_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background; an exception from it is logged."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log("task_crashed", logging.ERROR, error=repr(task.exception()))

    def get_limits(self) -> Limits:
        """Return the limits of the routing table in force, or the defaults."""
        return self.table.limits if self.table is not None else Limits()

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def now_ms(self) -> int:
        """Return the loop's time in milliseconds."""
        return int(self.now() * 1000)

    def boot_ms(self) -> int:
        """Return the milliseconds of get_boot_time_s()."""
        return int(get_boot_time_s() * 1000)

    @property
    def has_lease(self) -> bool:
        """Whether the view is recent enough to admit requests by their key."""
        return get_boot_time_s() < self.lease_until_s

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may route callers to this gateway."""
        is_draining = self.shutdown_s < math.inf
        return self.table is not None and self.has_lease and not is_draining

    def get_retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budget_by_service.get(service)
        if budget is None:
            budget = self.budget_by_service[service] = RetryBudget(
                self.settings.retry_budget, self.started_s
            )
        return budget

    def update_entry_count(self, reported_count: int) -> None:
        """Set how many gateways share the retry budget.

        A gateway that control no longer counts may have used its share a moment ago, so
        the highest count of the last window applies. A leader that is new reports 0.
        """
        now_s = self.now()
        window_s = self.settings.retry_budget.window_s
        counts = self.recent_entry_counts
        if reported_count:
            counts.append((now_s, reported_count))
        while len(counts) > 1 and now_s - counts[0][0] > window_s:
            counts.popleft()
        count = max((item[1] for item in counts), default=0)
        if count != self.entry_count:
            self.log("entry_count", entries=count, previous=self.entry_count)
        self.entry_count = count
        instances = count or RetryBudget.ASSUMED_ENTRIES
        self.quarantine.trial_spread_ms = instances * TRIAL_SPACING_MS

    def get_queue(self, service: str) -> AdmissionQueue[Chain]:
        """Return the queue of a service's requests that wait for free capacity."""
        queue = self.queue_by_service.get(service)
        if queue is None:
            queue = self.queue_by_service[service] = AdmissionQueue()
        return queue

    def get_call_queue(self, service: str) -> AdmissionQueue[CallPlace]:
        """Return the queue of a service's calls that wait for a grant."""
        queue = self.call_queue_by_service.get(service)
        if queue is None:
            queue = self.call_queue_by_service[service] = AdmissionQueue()
        return queue

    def grant_capacity(self) -> None:
        """Grant free capacity to waiting streams, and grants to waiting calls."""
        now_s = self.now()
        for queue in self.queue_by_service.values():
            queue.grant_capacity(now_s)
        for call_queue in self.call_queue_by_service.values():
            call_queue.grant_capacity(now_s)

    def take_retry(self, service: str, *, urgent: bool = False) -> bool:
        """Take one retry from a service's budget; return False if none is left."""
        budget = self.get_retry_budget(service)
        allowed = budget.take_retry(self.now(), self.entry_count, urgent=urgent)
        self.registry.count("repeats", "sent" if allowed else "over_budget")
        return allowed

    def get_graph(
        self, service: Service, current_backends: Collection[Backend] = ()
    ) -> LayerGraph:
        """Return the graph of a service's layers, rebuilt when members change.

        Servers that accept no connections or requests, or are presumed to be lost, are
        left out: a request sent to one would only fail, and its retry use up the retry
        budget. Those where a stream runs already are kept for it, if it names them as
        current_backends.
        """
        now_s = self.now()
        if all(item.accepts_requests(now_s) for item in current_backends):
            return self._get_cached_graph(service).graph
        assert service.model is not None
        members = self.fleet.find_by_service(service.name)
        return build_graph(
            find_for_chain(members, now_s, current_backends), service.model
        )

    def _get_cached_graph(self, service: Service) -> CachedGraph:
        assert self.table is not None and service.model is not None
        now_s = self.now()
        left_out = frozenset(
            (item.name, item.is_unreachable(now_s), find_acceptance_ms(item.health))
            for item in self.fleet.backend_by_name.values()
            if not can_take_part(item, now_s)
        )
        cache_key = (self.fleet.version, self.table.version, left_out)
        cached = self.graph_by_service.get(service.name)
        if cached is None or cached.cache_key != cache_key:
            members = self.fleet.find_by_service(service.name)
            cached = self.graph_by_service[service.name] = CachedGraph(
                build_graph(find_for_chain(members, now_s, ()), service.model),
                find_layers_acceptance_ms(members, service.model, now_s),
                count_uncovered_layers(members, service.model, now_s),
                cache_key,
            )
        return cached

    def estimate_refusal_s(self, service: Service) -> float:
        """Estimate how long some layers have only servers that accept no requests.

        Infinity if they are leaving; 0 if no layer has such servers only.
        """
        if service.model is None or self.table is None:
            return 0.0
        acceptance_ms = self._get_cached_graph(service).acceptance_ms
        return max(0.0, acceptance_ms - self.now_ms()) / 1000

    def estimate_coverage_gap_s(self, service: Service) -> float:
        """Estimate how long some layers stay uncovered; 0 while every layer is loaded.

        Control orders other servers to load uncovered layers, so the estimate is the
        delay of that order and the time of the load.
        """
        if service.model is None or self.table is None:
            return 0.0
        uncovered_layers = self._get_cached_graph(service).uncovered_layers
        if not uncovered_layers:
            return 0.0
        load_s = service.model.load_s * uncovered_layers / service.model.layers
        return REPLACEMENT_DELAY_S + load_s

    def log(self, event: str, level: int = logging.INFO, **fields: Any) -> None:
        """Write one log line with structured fields."""
        self.write_log(Log(event, fields, level))

    def write_log(self, line: Log) -> None:
        """Write one log line."""
        write_log(_log, line)


__all__ = ["Gateway", "GatewaySettings", "get_boot_time_s"]

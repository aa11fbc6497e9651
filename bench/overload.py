"""Replay of recorded loads against policies for which requests start and wait.

`python -m bench.overload` prints what each policy gives on each load. A load is a list
of requests, drawn once by a fixed seed. The model has several gateways that hear of
each other's use of the servers through polls of control, and pipelines that refuse
requests which do not fit. All decisions are those of yuccareach.overload.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import mean
from typing import Any, NamedTuple

from yuccareach.overload.decisions import Rank, decide, rank_by_urgency
from yuccareach.overload.forecast import (
    GrantRate,
    HoldTimes,
    ServiceLoad,
    count_tokens_ahead,
    estimate_wait_s,
)
from yuccareach.overload.headroom import (
    HEADROOM_FRACTION,
    PriorityDemand,
    WaitingElsewhere,
    compute_headroom_fraction,
)
from yuccareach.overload.returns import (
    MAX_RETRY_DELAY_S,
    MIN_RETRY_DELAY_S,
    ReturnSlots,
)
from yuccareach.overload.tickets import (
    MAX_WAIT_OBJECTIVES,
    MAX_WAIT_OBJECTIVES_WITH_PRIORITIES,
    Ticket,
)

# As gateway/chains.py and gateway/backends.py have them.
MAX_MEMORY_UTILIZATION = 0.85
MAX_SLOT_UTILIZATION = 0.92
FULL_DURATION_S = 0.2
MAX_STARTING_STREAMS = 35
MAX_REFUSALS = 3
REMOTE_COST = 0.12
SLOTS = 96
# A poll is held by control, and the next one follows after a delay.
POLL_DELAY_S = 0.2
WATCH_INTERVAL_S = 0.02
CALLER_DEADLINE_S = 20.0
SEEDS = range(1, 5)
MAX_PROCESSES = 4
# Callers honour a longer Retry-After not at all.
MAX_REMAINING_FRACTION = 0.32
DEFAULT_RETRY_DELAY_S = 1.0
ZONES = 3
WORKSPACES = 24
LARGE_GATEWAYS = 6
# Capacity of a large gateway as a multiple of a small one's.
LARGE_WEIGHT = 3.5
TOKEN_S = 0.017


class Kind(NamedTuple):
    """A kind of request: its priority, its objective, and what callers get of it."""

    priority: int
    objective_s: float
    on_time_value: float
    late_value: float
    share: float = 1.0


THREE_KINDS = (
    Kind(0, 0.5, 2.8, 0.29),
    Kind(1, 0.6, 1.4, 0.36),
    Kind(2, 1.2, 0.74, 0.28),
)


class Load(NamedTuple):
    """How much arrives when, and what serves it."""

    name: str
    kinds: tuple[Kind, ...] = THREE_KINDS
    gateways: int = 22
    streams_per_s: float = 75.0
    burst_factor: float = 2.3
    burst_start_s: float = 10.0
    burst_end_s: float = 18.0
    end_s: float = 32.0
    pipelines: int = 6
    # Requests of a usual size for which a pipeline has memory.
    requests_per_pipeline: int = 58
    first_event_s: float = 0.12
    prefill_s: float = 0.0016
    # Multiple of the usual token time from slow_from_s on.
    slow_factor: float = 1.0
    slow_from_s: float = math.inf
    # Answers are this many times as long as callers expect.
    answer_factor: float = 1.0
    # How long control holds a poll.
    poll_hold_s: float = 0.4
    # Whether refused callers return at once.
    returns_at_once: bool = False


class Policy(NamedTuple):
    """What a gateway does with requests while capacity is short."""

    name: str
    rank: Rank = rank_by_urgency
    headroom_fraction: float = HEADROOM_FRACTION
    knows_sums: bool = True
    knows_load: bool = True
    # Whether a request is tried before it is refused for its expected wait.
    is_tried_first: bool = True
    spreads_returns: bool = True
    max_wait_objectives: float = MAX_WAIT_OBJECTIVES_WITH_PRIORITIES
    max_starting_streams: int = MAX_STARTING_STREAMS
    # Whether a gateway that sees requests of one priority only keeps to the present
    # policy, as the product does.
    needs_priorities: bool = True


def rank_by_deadline(ticket: Ticket, _held: int, _now_s: float) -> float:
    """Return the rank of earliest deadline first."""
    return ticket.arrived_s + ticket.objective_s


def rank_by_size(ticket: Ticket, _held: int, _now_s: float) -> float:
    """Return the rank of smallest work first."""
    return ticket.tokens


def rank_by_value_per_work(ticket: Ticket, held: int, now_s: float) -> float:
    """Return the rank of value per token now, with fairness by workspace."""
    kind = THREE_KINDS[ticket.priority]
    value = kind.late_value if ticket.is_late(now_s) else kind.on_time_value
    return -value / ticket.tokens / (1 + held / 3_000)


def rank_by_priority(
    ticket: Ticket, held: int, now_s: float
) -> tuple[int, bool, bool, int, float]:
    """Return the rank of the present policy."""
    is_late = ticket.is_late(now_s)
    return ticket.priority, not ticket.is_return, is_late, held, ticket.arrived_s


def rank_by_adaptive_lifo(
    ticket: Ticket, _held: int, now_s: float
) -> tuple[int, float]:
    """Return the rank of first in first out up to a delay of 0.3 s, then the newest."""
    waited_s = now_s - ticket.arrived_s
    return ticket.priority, ticket.arrived_s if waited_s <= 0.3 else 1e6 - waited_s


PRESENT = Policy(
    "present policy",
    rank=rank_by_priority,
    headroom_fraction=0.0,
    knows_sums=False,
    knows_load=False,
    is_tried_first=False,
    spreads_returns=False,
    max_wait_objectives=MAX_WAIT_OBJECTIVES,
)
CHOSEN = Policy("chosen")
_STRICT = PRESENT._replace(is_tried_first=True)
POLICIES = (
    PRESENT,
    _STRICT._replace(name="strict priority, tried first"),
    _STRICT._replace(name="earliest deadline first", rank=rank_by_deadline),
    _STRICT._replace(name="smallest work first", rank=rank_by_size),
    _STRICT._replace(name="value per work, fair", rank=rank_by_value_per_work),
    _STRICT._replace(name="adaptive LIFO", rank=rank_by_adaptive_lifo),
    CHOSEN._replace(name="chosen without headroom", headroom_fraction=0.0),
    CHOSEN._replace(name="chosen without sums", knows_sums=False),
    CHOSEN._replace(
        name="chosen, 3 objectives", max_wait_objectives=MAX_WAIT_OBJECTIVES
    ),
    CHOSEN._replace(name="chosen, own grant rate", knows_load=False),
    CHOSEN._replace(name="chosen, no spread", spreads_returns=False),
    CHOSEN._replace(name="chosen, present order", rank=rank_by_priority),
    CHOSEN._replace(name="chosen, value per work", rank=rank_by_value_per_work),
    CHOSEN._replace(name="chosen, 5 may start", max_starting_streams=110),
    CHOSEN._replace(name="chosen, also for one priority", needs_priorities=False),
    CHOSEN,
)
BURST = Load("burst of 2.3 for 8 s")
SECOND_DEPLOYMENT = BURST._replace(
    name="second deployment, three priorities",
    kinds=(Kind(0, 0.6, 2.0, 0.51), Kind(1, 0.6, 1.9, 0.48), Kind(2, 0.6, 2.0, 0.51)),
    gateways=38,
    streams_per_s=60.0,
    requests_per_pipeline=45,
)
ONE_PRIORITY = SECOND_DEPLOYMENT._replace(
    name="second deployment, one priority", kinds=(Kind(0, 0.6, 2.0, 0.51),)
)
LOADS = (
    BURST,
    BURST._replace(name="burst of 6 for 8 s", burst_factor=6.0),
    BURST._replace(name="undisturbed", burst_factor=1.0),
    BURST._replace(
        name="burst, mostly the least urgent",
        kinds=tuple(
            kind._replace(share=share)
            for kind, share in zip(THREE_KINDS, (0.05, 0.1, 0.85), strict=True)
        ),
    ),
    BURST._replace(name="burst, callers return at once", returns_at_once=True),
    BURST._replace(name="burst, answers 3 times as long", answer_factor=3.0),
    BURST._replace(name="burst, answers a third as long", answer_factor=1 / 3),
    BURST._replace(
        name="rates drop by half", burst_factor=1.0, slow_factor=2.0, slow_from_s=10.0
    ),
    BURST._replace(name="burst, first events after 0.3 s", first_event_s=0.3),
    BURST._replace(name="burst, views 2 s old", poll_hold_s=2.0),
    SECOND_DEPLOYMENT,
    ONE_PRIORITY,
)


class Request:
    """A caller's request, and what becomes of it."""

    def __init__(
        self, number: int, kind: Kind, arrived_s: float, workspace: int
    ) -> None:
        self.number = number
        self.kind = kind
        self.arrived_s = arrived_s
        self.workspace = f"w{workspace}"
        self.is_small_workspace = workspace >= WORKSPACES // 2
        self.prompt_tokens = 0
        self.answer_tokens = 0
        self.expected_tokens = 0
        self.attempts = 0
        self.refusals = 0
        self.first_event_s: float | None = None

    @property
    def tokens(self) -> int:
        """Tokens that the gateway expects it to hold."""
        return self.prompt_tokens + self.expected_tokens

    @property
    def held_tokens(self) -> int:
        """Tokens that it holds in the servers' memory, on average."""
        return self.prompt_tokens + self.answer_tokens // 2

    @property
    def is_on_time(self) -> bool:
        """Whether its first event came within the objective."""
        return (
            self.first_event_s is not None
            and self.first_event_s - self.arrived_s <= self.kind.objective_s
        )

    @property
    def value(self) -> float:
        """What its caller got of it."""
        if self.first_event_s is None:
            return 0.0
        return self.kind.on_time_value if self.is_on_time else self.kind.late_value


class Pipeline:
    """Servers that run every layer together."""

    def __init__(self, number: int, capacity_tokens: int) -> None:
        self.number = number
        self.zone = number % ZONES
        self.capacity_tokens = capacity_tokens
        self.held_tokens = 0
        self.streams = 0
        self.prefill_until_s = 0.0


class Usage(NamedTuple):
    """Tokens and streams of a pipeline."""

    tokens: int
    streams: int


class Gateway:
    """One gateway: what it runs, what waits, and what it knows of the others."""

    def __init__(self, number: int, pipelines: int) -> None:
        self.number = number
        self.zone = number % ZONES
        self.own_tokens = [0] * pipelines
        self.own_streams = [0] * pipelines
        self.starting = [0] * pipelines
        self.elsewhere = [Usage(0, 0)] * pipelines
        self.full_until_s = [0.0] * pipelines
        self.ticket_by_number: dict[int, Ticket] = {}
        self.held_tokens_by_workspace: Counter[str] = Counter()
        self.grants = GrantRate()
        self.hold_times = HoldTimes()
        self.demand = PriorityDemand()
        self.returns = ReturnSlots()


class Report(NamedTuple):
    """What a gateway told control with its last poll."""

    tokens: tuple[int, ...]
    streams: tuple[int, ...]
    waiting: Counter[int]


class Result(NamedTuple):
    """What callers got of a load. Fractions are of those that arrived in the burst."""

    # 1 if every request is on time.
    value: float
    on_time_by_priority: dict[int, int]
    late_by_priority: dict[int, int]
    unserved_by_priority: dict[int, int]
    first_event_p99_s: float
    refusals: int
    mean_retry_delay_s: float
    # Attempts at a pipeline that refused it.
    not_run: int
    # Searches that failed only by the limit on streams that start.
    held_by_starting_limit: int
    largest_on_time: float
    small_workspaces_on_time: float


def draw_requests(load: Load, seed: int) -> list[Request]:
    """Return the requests of a load, in the order of their arrival."""
    random = Random(seed)
    shares = [kind.share for kind in load.kinds]
    weights = [1 / (rank + 1) for rank in range(WORKSPACES)]
    requests = []
    now_s = 0.0
    while now_s < load.end_s:
        is_burst = load.burst_start_s <= now_s < load.burst_end_s
        rate = load.streams_per_s * (load.burst_factor if is_burst else 1.0)
        now_s += random.expovariate(rate)
        kind = random.choices(load.kinds, shares)[0]
        workspace = random.choices(range(WORKSPACES), weights)[0]
        request = Request(len(requests), kind, now_s, workspace)
        request.prompt_tokens = int(
            min(6_000, random.lognormvariate(math.log(772) - 0.32, 0.8))
        )
        answer = max(1, min(800, random.expovariate(1 / 140)))
        request.expected_tokens = max(1, int(answer * random.lognormvariate(0, 0.3)))
        request.answer_tokens = max(1, int(answer * load.answer_factor))
        requests.append(request)
    return requests


class Replay:
    """One run of a load against a policy."""

    def __init__(self, load: Load, policy: Policy, seed: int) -> None:
        self.load = load
        self.policy = policy
        self.random = Random(seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.event_numbers = itertools.count()
        capacity = load.requests_per_pipeline * 912
        self.pipelines = [Pipeline(n, capacity) for n in range(load.pipelines)]
        self.gateways = [Gateway(n, load.pipelines) for n in range(load.gateways)]
        self.weights = [
            LARGE_WEIGHT if n < LARGE_GATEWAYS else 1.0 for n in range(load.gateways)
        ]
        self.reports: dict[int, Report] = {}
        self.requests = draw_requests(load, seed)
        self.max_starting = min(
            5, math.ceil(policy.max_starting_streams / load.gateways)
        )
        self.retry_delays_s: list[float] = []
        self.refusals = self.not_run = self.held_by_starting_limit = 0

    def schedule(self, delay_s: float, call: Callable[..., None], *args: Any) -> None:
        """Run a call later."""
        at_s = self.now_s + delay_s
        heapq.heappush(self.events, (at_s, next(self.event_numbers), call, args))

    def play(self) -> Result:
        """Play the load until all requests have ended."""
        for request in self.requests:
            self.schedule(request.arrived_s, self._arrive, request, None)
        for gateway in self.gateways:
            self.schedule(self.random.random() * 0.6, self._poll, gateway)
            self.schedule(self.random.random() * 0.02, self._watch, gateway)
        end_s = self.load.end_s + CALLER_DEADLINE_S
        while self.events and self.events[0][0] < end_s:
            self.now_s, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self._summarize()

    def _poll(self, gateway: Gateway) -> None:
        waiting: Counter[int] = Counter()
        for ticket in gateway.ticket_by_number.values():
            waiting[ticket.priority] += ticket.tokens
        self.reports[gateway.number] = Report(
            tuple(gateway.own_tokens), tuple(gateway.own_streams), waiting
        )
        self.schedule(self.load.poll_hold_s, self._apply_view, gateway)

    def _apply_view(self, gateway: Gateway) -> None:
        others = [
            report
            for number, report in self.reports.items()
            if number != gateway.number
        ]
        gateway.elsewhere = [
            Usage(
                sum(report.tokens[index] for report in others),
                sum(report.streams[index] for report in others),
            )
            for index in range(len(self.pipelines))
        ]
        if self.policy.knows_sums:
            waiting = sum((report.waiting for report in others), Counter())
            gateway.demand.elsewhere = WaitingElsewhere(waiting, self.now_s)
        self._grant(gateway)
        self.schedule(POLL_DELAY_S, self._poll, gateway)

    def _watch(self, gateway: Gateway) -> None:
        if gateway.ticket_by_number:
            self._grant(gateway)
        self.schedule(WATCH_INTERVAL_S, self._watch, gateway)

    def _arrive(self, request: Request, _gateway: Gateway | None) -> None:
        gateway = self.random.choices(self.gateways, self.weights)[0]
        request.attempts += 1
        request.refusals = 0
        fingerprint = str(request.number).encode()
        is_return = self.policy.spreads_returns and gateway.returns.accept(
            fingerprint, self.now_s
        )
        gateway.demand.record_arrival(request.kind.priority, self.now_s)
        is_active = self._is_active(gateway)
        ticket = Ticket(
            number=request.number,
            workspace=request.workspace,
            priority=request.kind.priority,
            tokens=request.tokens,
            arrived_s=self.now_s,
            objective_s=request.kind.objective_s,
            max_wait_objectives=(
                self.policy.max_wait_objectives if is_active else MAX_WAIT_OBJECTIVES
            ),
            is_return=is_return,
            work=request.tokens * request.expected_tokens if is_active else 0.0,
        )
        self._enter(gateway, request, ticket)

    def _enter(self, gateway: Gateway, request: Request, ticket: Ticket) -> None:
        waiting = gateway.ticket_by_number
        is_first = (
            not any(item.priority <= ticket.priority for item in waiting.values())
            if self.policy.is_tried_first
            else not waiting
        )
        if is_first and self._start(gateway, ticket):
            return
        wait_s = self._estimate_wait_s(gateway, ticket)
        if wait_s is None or self.now_s + wait_s >= ticket.wait_deadline_s:
            self._refuse(gateway, request, ticket)
            return
        waiting[ticket.number] = ticket
        self._grant(gateway)

    def _is_active(self, gateway: Gateway) -> bool:
        """Return whether a gateway does more than the present policy."""
        return not self.policy.needs_priorities or gateway.demand.has_priorities(
            self.now_s
        )

    def _get_load(self, gateway: Gateway) -> ServiceLoad | None:
        if not self.policy.knows_load or not self._is_active(gateway):
            return None
        running = sum(gateway.own_streams) + sum(
            usage.streams for usage in gateway.elsewhere
        )
        return ServiceLoad(
            running,
            gateway.hold_times.mean_s,
            gateway.hold_times.mean_tokens,
            gateway.demand.get_waiting_elsewhere(self.now_s),
        )

    def _estimate_wait_s(self, gateway: Gateway, ticket: Ticket) -> float | None:
        tokens_ahead = count_tokens_ahead(ticket, gateway.ticket_by_number.values())
        return estimate_wait_s(
            ticket,
            tokens_ahead,
            gateway.grants.measure_rate(self.now_s),
            self._get_load(gateway),
        )

    def _grant(self, gateway: Gateway) -> None:
        decision = decide(
            gateway.ticket_by_number.values(),
            lambda ticket: self._start(gateway, ticket),
            gateway.held_tokens_by_workspace,
            self.now_s,
            self.policy.rank,
        )
        for number in decision.started:
            gateway.ticket_by_number.pop(number, None)
        for number in decision.refused:
            ticket = gateway.ticket_by_number.pop(number)
            self._refuse(gateway, self.requests[number], ticket)

    def _compute_headroom(self, gateway: Gateway, priority: int) -> float:
        if not self.policy.headroom_fraction and not self.policy.knows_sums:
            return 0.0
        if gateway.demand.is_below_min_share(priority):
            return 0.0
        is_counted = self.policy.headroom_fraction > 0
        return compute_headroom_fraction(
            priority,
            gateway.demand.find_priorities(self.now_s) if is_counted else (),
            gateway.demand.get_waiting_elsewhere(self.now_s),
            sum(pipeline.capacity_tokens for pipeline in self.pipelines),
        )

    def _start(self, gateway: Gateway, ticket: Ticket) -> bool:
        headroom = self._compute_headroom(gateway, ticket.priority)
        best: tuple[float, Pipeline] | None = None
        is_limited = False
        for index, pipeline in enumerate(self.pipelines):
            elsewhere = gateway.elsewhere[index]
            tokens = gateway.own_tokens[index] + elsewhere.tokens + ticket.tokens
            utilization = tokens / pipeline.capacity_tokens
            streams = gateway.own_streams[index] + elsewhere.streams + 1
            if (
                gateway.full_until_s[index] > self.now_s
                or utilization + headroom > MAX_MEMORY_UTILIZATION
                or streams / SLOTS + headroom > MAX_SLOT_UTILIZATION
            ):
                continue
            if gateway.starting[index] >= self.max_starting:
                is_limited = True
                continue
            cost = utilization + (REMOTE_COST if pipeline.zone != gateway.zone else 0)
            if best is None or cost < best[0]:
                best = cost, pipeline
        if best is None:
            self.held_by_starting_limit += is_limited
            return False
        self._send(gateway, ticket, best[1])
        return True

    def _send(self, gateway: Gateway, ticket: Ticket, pipeline: Pipeline) -> None:
        index = pipeline.number
        gateway.own_tokens[index] += ticket.tokens
        gateway.own_streams[index] += 1
        gateway.starting[index] += 1
        gateway.held_tokens_by_workspace[ticket.workspace] += ticket.tokens
        gateway.grants.record(ticket.tokens, self.now_s)
        gateway.demand.record_grant(ticket.priority, ticket.tokens, self.now_s)
        self.schedule(0.001, self._run, gateway, ticket, pipeline)

    def _release(self, gateway: Gateway, ticket: Ticket, pipeline: Pipeline) -> None:
        gateway.own_tokens[pipeline.number] -= ticket.tokens
        gateway.own_streams[pipeline.number] -= 1
        gateway.held_tokens_by_workspace[ticket.workspace] -= ticket.tokens

    def _run(self, gateway: Gateway, ticket: Ticket, pipeline: Pipeline) -> None:
        request = self.requests[ticket.number]
        used = pipeline.held_tokens + request.held_tokens
        if pipeline.streams >= SLOTS or used > pipeline.capacity_tokens:
            self._handle_not_run(gateway, ticket, pipeline)
            return
        pipeline.streams += 1
        pipeline.held_tokens += request.held_tokens
        prefill_s = self.load.prefill_s * request.prompt_tokens / 772
        pipeline.prefill_until_s = max(pipeline.prefill_until_s, self.now_s) + prefill_s
        first_s = pipeline.prefill_until_s + self.load.first_event_s - self.now_s
        # A fuller batch takes longer for each token.
        batch_factor = 0.6 + 0.5 * pipeline.streams / 60
        if self.now_s >= self.load.slow_from_s:
            batch_factor *= self.load.slow_factor
        duration_s = first_s + request.answer_tokens * TOKEN_S * batch_factor
        self.schedule(first_s, self._deliver_first, gateway, ticket, pipeline)
        self.schedule(duration_s, self._end, gateway, ticket, pipeline, self.now_s)

    def _handle_not_run(
        self, gateway: Gateway, ticket: Ticket, pipeline: Pipeline
    ) -> None:
        self.not_run += 1
        self._release(gateway, ticket, pipeline)
        gateway.starting[pipeline.number] -= 1
        gateway.grants.withdraw(ticket.tokens)
        gateway.full_until_s[pipeline.number] = self.now_s + FULL_DURATION_S
        request = self.requests[ticket.number]
        request.refusals += 1
        if request.refusals >= MAX_REFUSALS:
            self._refuse(gateway, request, ticket)
        else:
            self._enter(gateway, request, ticket)

    def _deliver_first(
        self, gateway: Gateway, ticket: Ticket, pipeline: Pipeline
    ) -> None:
        gateway.starting[pipeline.number] -= 1
        self.requests[ticket.number].first_event_s = self.now_s

    def _end(
        self, gateway: Gateway, ticket: Ticket, pipeline: Pipeline, started_s: float
    ) -> None:
        pipeline.streams -= 1
        pipeline.held_tokens -= self.requests[ticket.number].held_tokens
        self._release(gateway, ticket, pipeline)
        gateway.hold_times.record(self.now_s - started_s, ticket.tokens)
        self._grant(gateway)

    def _refuse(self, gateway: Gateway, request: Request, ticket: Ticket) -> None:
        self.refusals += 1
        delay_s = self._plan_return_s(gateway, ticket)
        self.retry_delays_s.append(delay_s)
        if self.load.returns_at_once:
            delay_s = 0.01
        remaining_s = request.arrived_s + CALLER_DEADLINE_S - self.now_s
        if request.attempts < 2 and delay_s <= remaining_s / 3:
            self.schedule(delay_s, self._arrive, request, gateway)

    def _plan_return_s(self, gateway: Gateway, ticket: Ticket) -> float:
        wait_s = self._estimate_wait_s(gateway, ticket)
        if wait_s is None:
            wait_s = DEFAULT_RETRY_DELAY_S
        delay_s = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, wait_s))
        if not self.policy.spreads_returns or not self._is_active(gateway):
            return delay_s
        load = self._get_load(gateway)
        rate = load.release_rate / len(self.gateways) if load else 0.0
        request = self.requests[ticket.number]
        remaining_s = request.arrived_s + CALLER_DEADLINE_S - self.now_s
        latest_s = self.now_s + MAX_REMAINING_FRACTION * remaining_s
        due_s = gateway.returns.plan(
            ticket.priority,
            ticket.tokens / rate if rate else 0.0,
            min(latest_s, self.now_s + delay_s),
            latest_s,
            self.now_s,
        )
        gateway.returns.expect(str(ticket.number).encode(), due_s)
        return due_s - self.now_s

    def _summarize(self) -> Result:
        load = self.load
        affected = [
            request
            for request in self.requests
            if load.burst_start_s <= request.arrived_s < load.burst_end_s + 5
        ]
        by_priority = {
            kind.priority: [item for item in affected if item.kind is kind]
            for kind in load.kinds
        }
        first_events_s = sorted(
            item.first_event_s - item.arrived_s
            for item in self.requests
            if item.first_event_s is not None
        )
        largest = sorted(affected, key=lambda item: -item.tokens)[: len(affected) // 10]
        small = [item for item in affected if item.is_small_workspace]
        return Result(
            value=sum(item.value for item in affected)
            / sum(item.kind.on_time_value for item in affected),
            on_time_by_priority={
                priority: sum(item.is_on_time for item in items)
                for priority, items in by_priority.items()
            },
            late_by_priority={
                priority: sum(
                    item.first_event_s is not None and not item.is_on_time
                    for item in items
                )
                for priority, items in by_priority.items()
            },
            unserved_by_priority={
                priority: sum(item.first_event_s is None for item in items)
                for priority, items in by_priority.items()
            },
            first_event_p99_s=first_events_s[int(0.99 * len(first_events_s))],
            refusals=self.refusals,
            mean_retry_delay_s=mean(self.retry_delays_s or [0.0]),
            not_run=self.not_run,
            held_by_starting_limit=self.held_by_starting_limit,
            largest_on_time=mean(item.is_on_time for item in largest),
            small_workspaces_on_time=mean(item.is_on_time for item in small),
        )


def replay(load: Load, policy: Policy, seed: int = 1) -> Result:
    """Return what callers get of a load under a policy."""
    return Replay(load, policy, seed).play()


def _format_row(policy: Policy, results: list[Result]) -> str:
    def _average(select: Callable[[Result], float]) -> float:
        return mean(select(result) for result in results)

    kinds = []
    for priority in results[0].on_time_by_priority:
        counts = [
            mean(getattr(result, field)[priority] for result in results)
            for field in (
                "on_time_by_priority",
                "late_by_priority",
                "unserved_by_priority",
            )
        ]
        kinds.append("/".join(f"{count:.0f}" for count in counts))
    return (
        f"| {policy.name} | {_average(lambda item: item.value):.3f} "
        f"| {' | '.join(kinds)} "
        f"| {_average(lambda item: item.first_event_p99_s):.1f} "
        f"| {_average(lambda item: item.refusals):.0f} "
        f"| {_average(lambda item: item.mean_retry_delay_s):.2f} "
        f"| {_average(lambda item: item.not_run):.0f} "
        f"| {_average(lambda item: item.held_by_starting_limit):.0f} "
        f"| {_average(lambda item: item.largest_on_time):.2f} "
        f"| {_average(lambda item: item.small_workspaces_on_time):.2f} |"
    )


def _play_job(job: tuple[Load, Policy, int]) -> Result:
    return replay(*job)


def main() -> None:
    """Print a table for each load: on time/late/not served by priority, and others."""
    for load in LOADS:
        print(f"\n{load.name}\n")
        priorities = " | ".join(str(kind.priority) for kind in load.kinds)
        print(
            f"| policy | value | {priorities} | p99 s | refusals | retry s | not run "
            "| held | largest | small |"
        )
        print("| --- " * (9 + len(load.kinds)) + "|")
        jobs = list(itertools.product((load,), POLICIES, SEEDS))
        with ProcessPoolExecutor(MAX_PROCESSES) as executor:
            played = list(executor.map(_play_job, jobs))
        results_by_policy: dict[str, list[Result]] = defaultdict(list)
        for (_, policy, _), result in zip(jobs, played, strict=True):
            results_by_policy[policy.name].append(result)
        for policy in POLICIES:
            results = results_by_policy[policy.name]
            print(_format_row(policy, results), flush=True)


if __name__ == "__main__":
    main()

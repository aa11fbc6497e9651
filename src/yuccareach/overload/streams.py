"""What the decisions are based on for the streams of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.gateway.chains import compute_token_capacity
from yuccareach.gateway.suspects import is_suspect_run
from yuccareach.health.servers import get_limit_per_s
from yuccareach.overload.forecast import ServiceLoad
from yuccareach.overload.headroom import compute_headroom_fraction
from yuccareach.overload.tickets import (
    MAX_WAIT_OBJECTIVES,
    MAX_WAIT_OBJECTIVES_WITH_PRIORITIES,
    RESUMED_PRIORITY,
    Ticket,
)

if TYPE_CHECKING:
    from collections.abc import Hashable

    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.stream_run import StreamRun
    from yuccareach.gateway.table import Service

# A stream waits for at most this fraction of the time that its caller gives it, so that
# it can still be served, or refused and sent again.
MAX_WAIT_FRACTION = 0.4
# Callers come back after at most a third of the time that remains to them, and not at
# all if they are told a longer time. Some of it passes on the way.
MAX_RETURN_FRACTION = 0.32


def record_arrival(run: StreamRun) -> None:
    """Record that a new stream wants capacity, and whether it returns as told."""
    if run.reply.has_started:
        return
    now_s = run.gateway.now()
    run.queue.demand.record_arrival(run.admitted.priority, now_s)
    if not run.is_return:
        run.is_return = run.queue.returns.accept(run.admitted.fingerprint, now_s)
        if run.is_return:
            run.gateway.registry.count("queued_streams", "returned")


def plan_retry_after_s(run: StreamRun, earliest_s: float, blocked_s: float) -> float:
    """Return after how many seconds a refused stream is to return.

    earliest_s is when capacity for it is expected, and blocked_s how long no stream can
    start at all; both count from now. With several priorities, the streams that this
    gateway refuses return one after another, at its share of the rate at which the
    streams of all gateways end.
    """
    gateway, queue, service = run.gateway, run.queue, run.admitted.service
    load = find_load(gateway, service)
    if load is None or not load.release_rate:
        return earliest_s
    now_s = gateway.now()
    remaining_s = run.admitted.deadline_s - now_s
    latest_s = now_s + MAX_RETURN_FRACTION * remaining_s
    own_rate = load.release_rate / gateway.entry_count
    due_s = queue.returns.plan(
        run.admitted.priority,
        run.tokens / own_rate,
        now_s + max(blocked_s, min(earliest_s, latest_s - now_s)),
        latest_s,
        now_s,
    )
    queue.returns.expect(run.admitted.fingerprint, due_s)
    return due_s - now_s


def build_ticket(run: StreamRun) -> Ticket:
    """Return the properties that decide a stream's place in the queue."""
    admitted = run.admitted
    priority, arrived_s = admitted.priority, admitted.request.received_s
    if run.reply.has_started:
        priority, arrived_s = RESUMED_PRIORITY, run.last_delivery_s
    ticket = Ticket(
        number=id(run),
        workspace=run.workspace,
        priority=priority,
        tokens=run.tokens,
        arrived_s=arrived_s,
        objective_s=admitted.route.objective_ms / 1000,
        give_up_s=admitted.deadline_s if run.has_left_open_attempt else None,
    )
    has_priorities = run.queue.demand.has_priorities(run.gateway.now())
    if not has_priorities or ticket.objective_s <= 0:
        return ticket
    available_s = MAX_WAIT_FRACTION * (admitted.deadline_s - arrived_s)
    max_objectives = min(
        MAX_WAIT_OBJECTIVES_WITH_PRIORITIES, available_s / ticket.objective_s
    )
    return ticket._replace(
        max_wait_objectives=max(MAX_WAIT_OBJECTIVES, max_objectives),
        is_return=run.is_return and not run.reply.has_started,
        work=float(run.tokens * admitted.metadata.expected_answer_tokens),
    )


def find_load(gateway: Gateway, service: Service) -> ServiceLoad | None:
    """Return what all gateways run and wait for, or None if it is not used.

    With a single priority, or with no other gateway known, the grants of this gateway
    tell how fast capacity becomes free.
    """
    queue = gateway.get_queue(service.name)
    now_s = gateway.now()
    if gateway.entry_count < 2 or not queue.demand.has_priorities(now_s):
        return None
    running_requests = sum(
        backend.first_stage_streams + backend.first_stage_streams_elsewhere
        for backend in gateway.fleet.find_by_service(service.name)
    )
    return ServiceLoad(
        running_requests,
        queue.hold_times.mean_s,
        queue.hold_times.mean_tokens,
        queue.demand.get_waiting_elsewhere(now_s),
    )


def compute_headroom(run: StreamRun) -> float:
    """Return the fraction of each server that a stream leaves to more urgent ones.

    A stream that has run leaves nothing, and neither does one of the only gateway,
    which knows what waits.
    """
    gateway, demand = run.gateway, run.queue.demand
    has_run = run.reply.has_started or run.has_left_open_attempt
    if has_run or gateway.entry_count == 1:
        return 0.0
    priority, now_s = run.admitted.priority, gateway.now()
    recent_priorities = demand.find_priorities(now_s)
    if min(recent_priorities, default=priority) >= priority:
        return 0.0
    if demand.is_below_min_share(priority):
        return 0.0
    waiting_elsewhere = demand.get_waiting_elsewhere(now_s)
    capacity_tokens = (
        _sum_capacity_tokens(gateway, run.admitted.service)
        if waiting_elsewhere
        else 0.0
    )
    return compute_headroom_fraction(
        priority, recent_priorities, waiting_elsewhere, capacity_tokens
    )


def find_search_key(run: StreamRun) -> Hashable | None:
    """Return what a stream's search for a chain depends on beside its tokens.

    None if each stream has to be tried, since the limits of servers count each one that
    finds no capacity, or since the stream may go back to a server that it has left.
    """
    if _has_limited_servers(run) or run.has_left_open_attempt:
        return None
    return (
        run.admitted.priority,
        run.admitted.route.objective_ms,
        run.reply.has_started,
        frozenset(run.excluded_incarnations),
        is_suspect_run(run),
    )


def _has_limited_servers(run: StreamRun) -> bool:
    """Return whether any server has a limit; looked up once in a round of grants."""
    queue = run.queue
    if queue.has_limited_servers is None:
        queue.has_limited_servers = any(
            get_limit_per_s(backend.health) is not None
            for backend in run.gateway.fleet.find_by_service(run.admitted.service.name)
        )
    return queue.has_limited_servers


def _sum_capacity_tokens(gateway: Gateway, service: Service) -> float:
    """Return the tokens of requests for which a service's servers have memory."""
    model = service.model
    if model is None:
        return 0.0
    return sum(
        compute_token_capacity(backend, model)
        * (backend.announcement.end_layer - backend.announcement.first_layer)
        / model.layers
        for backend in gateway.fleet.find_by_service(service.name)
    )


__all__ = [
    "build_ticket",
    "compute_headroom",
    "find_load",
    "find_search_key",
    "plan_retry_after_s",
    "record_arrival",
]

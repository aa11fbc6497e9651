"""What this gateway may send to backend servers that limit their requests.

Every request, of whatever kind, passes through here before it is sent: it takes a grant
at each limited server that it will reach, or is not sent.
"""

from __future__ import annotations

import itertools
import math
import random
from typing import TYPE_CHECKING, Any, NamedTuple

from yuccareach.gateway.budget import RetryBudget
from yuccareach.health.servers import StatedLimit, get_limit_per_s, record_limit
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quota import holdings
from yuccareach.quota.holdings import Grant, Holding, Share

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable, Iterable

    from yuccareach.gateway.admission import AdmissionQueue
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.chains import Chain
    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.table import Service

# A request is sent within this time after it has taken its grants. One that is not, as
# its process was paused or a chain was reserved ahead, needs new ones.
MAX_SEND_DELAY_MS = 500
# Demand counts as recent for this long.
DEMAND_RETENTION_MS = 2_000
# Retry delays of requests that the limits leave no room for.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 6.0


class ServerLimits:
    """State of one gateway: its grants, and what control knows of limits."""

    def __init__(self) -> None:
        # When the last poll was sent that control has answered, as all times here by
        # the clock that counts suspended time.
        self.contact_ms = 0
        self.holding_by_incarnation: dict[str, Holding] = {}
        # The newest change of limits that control has sent, and the process and the
        # term that number it.
        self.changes = 0
        self.source = ""
        self.term = 0
        # The limits that control knows, by incarnation.
        self.known_by_incarnation: dict[str, float | None] = {}
        # When the last refused request of each service may return.
        self.return_s_by_service: dict[str, float] = {}


class Reservation(NamedTuple):
    """The grants that a request has taken to be sent."""

    taken_ms: int
    backends: tuple[Backend, ...]
    grants: tuple[tuple[Holding, Grant], ...]


def may_send(gateway: Gateway, backend: Backend) -> bool:
    """Return whether a request may be sent to a server now, as its limit goes."""
    share = _build_share(gateway, backend)
    return share is None or bool(
        holdings.count_available(_get_holding(gateway, backend), share)
    )


def reserve_requests(
    gateway: Gateway, backends: Iterable[Backend]
) -> Reservation | None:
    """Take a grant at each limited server; return None if one has none left."""
    grants: list[tuple[Holding, Grant]] = []
    chosen = tuple(backends)
    for backend in chosen:
        share = _build_share(gateway, backend)
        if share is None:
            continue
        holding = _get_holding(gateway, backend)
        grant = holdings.take(holding, share)
        if grant is None:
            _give_back(grants)
            return None
        grants.append((holding, grant))
    return Reservation(gateway.boot_ms(), chosen, tuple(grants))


def reserve_new_stages(gateway: Gateway, current: Chain, detour: Chain) -> bool:
    """Take a grant at each limited server that has not got a stream yet.

    Return False if one has none left.
    """
    known = {stage.backend.announcement.incarnation for stage in current.stages}
    backends = (stage.backend for stage in detour.stages)
    new = [item for item in backends if item.announcement.incarnation not in known]
    return reserve_requests(gateway, new) is not None


def cancel_reservation(reservation: Reservation) -> None:
    """Give back the grants of a request that has not been sent."""
    _give_back(reservation.grants)


def renew_reservation(gateway: Gateway, reservation: Reservation) -> Reservation | None:
    """Return a reservation that holds for a request that is sent now, or None.

    The grants of one that was made too long ago are void.
    """
    if gateway.boot_ms() - reservation.taken_ms <= MAX_SEND_DELAY_MS:
        return reservation
    return reserve_requests(gateway, reservation.backends)


def _give_back(grants: Iterable[tuple[Holding, Grant]]) -> None:
    for holding, grant in grants:
        holdings.give_back(holding, grant)


def record_miss(gateway: Gateway, backend: Backend, request: Hashable) -> None:
    """Record that a request would be sent to a server if there were a grant."""
    holdings.record_miss(_get_holding(gateway, backend), request, gateway.boot_ms())


def has_recent_demand(gateway: Gateway, backend: Backend) -> bool:
    """Return whether requests were sent to a limited server, or missed a grant."""
    last_ms = _get_holding(gateway, backend).last_demand_ms
    return last_ms is not None and gateway.boot_ms() - last_ms < DEMAND_RETENTION_MS


def _build_share(gateway: Gateway, backend: Backend) -> Share | None:
    """Return the share of a server's limit, or None if it states none."""
    limit_per_s = get_limit_per_s(backend.health)
    if limit_per_s is None:
        return None
    return Share(
        limit_per_s,
        count_instances(gateway),
        gateway.server_limits.contact_ms,
        gateway.boot_ms(),
    )


def is_cut_off(gateway: Gateway) -> bool:
    """Return whether control has not answered a poll for some time."""
    contact_ms = gateway.server_limits.contact_ms
    return gateway.boot_ms() >= holdings.compute_cut_off_ms(contact_ms)


def count_instances(gateway: Gateway) -> int:
    """Return how many gateways share the limits, as far as is known."""
    return gateway.entry_count or RetryBudget.ASSUMED_ENTRIES


def _get_holding(gateway: Gateway, backend: Backend) -> Holding:
    holding_by_incarnation = gateway.server_limits.holding_by_incarnation
    incarnation = backend.announcement.incarnation
    holding = holding_by_incarnation.get(incarnation)
    if holding is None:
        holding = holding_by_incarnation[incarnation] = Holding(random.random())
    return holding


def apply_stated_limit(gateway: Gateway, backend: Backend, stated: StatedLimit) -> bool:
    """Record a server's limit; return whether another one holds now."""
    former_per_s = get_limit_per_s(backend.health)
    has_changed = record_limit(backend.health, stated)
    limit_per_s = get_limit_per_s(backend.health)
    if limit_per_s is None:
        incarnation = backend.announcement.incarnation
        gateway.server_limits.holding_by_incarnation.pop(incarnation, None)
    elif has_changed:
        holdings.scale(_get_holding(gateway, backend), former_per_s, limit_per_s)
    return has_changed


def build_reports(gateway: Gateway) -> list[cpb.LimitReport]:
    """Return what to report to control with the next poll.

    Reported are limits that control does not know as this gateway does, and demand.
    What is returned with them may not be sent any more.
    """
    state = gateway.server_limits
    members = gateway.fleet.backend_by_name.values()
    incarnations = {backend.announcement.incarnation for backend in members}
    for outdated in state.holding_by_incarnation.keys() - incarnations:
        del state.holding_by_incarnation[outdated]
    for outdated in state.known_by_incarnation.keys() - incarnations:
        del state.known_by_incarnation[outdated]
    reports = (
        _build_report(gateway, backend)
        for backend in members
        if backend.health.limit is not None
    )
    return [report for report in reports if report is not None]


def _build_report(gateway: Gateway, backend: Backend) -> cpb.LimitReport | None:
    limit = backend.health.limit
    assert limit is not None
    share = _build_share(gateway, backend)
    demand = holdings.GrantRequest(0, 0)
    if share is not None:
        demand = holdings.plan_grant_request(_get_holding(gateway, backend), share)
    incarnation = backend.announcement.incarnation
    known = gateway.server_limits.known_by_incarnation.get(incarnation, math.inf)
    if known == limit.per_s and demand == (0, 0):
        return None
    return cpb.LimitReport(
        incarnation=incarnation,
        limited=limit.per_s is not None,
        limit_per_s=limit.per_s or 0.0,
        age_ms=max(0, gateway.boot_ms() - limit.read_ms),
        wanted=demand.wanted,
        returned=demand.returned,
    )


def apply_view(gateway: Gateway, view: cpb.View, requested_ms: int) -> None:
    """Apply the limits and grants of a view that was requested at a time."""
    state = gateway.server_limits
    if (view.source, view.limits_term) != (state.source, state.term):
        # The leader is new, and knows no limits yet.
        state.source, state.term = view.source, view.limits_term
        state.known_by_incarnation.clear()
    backend_by_incarnation = {
        backend.announcement.incarnation: backend
        for backend in gateway.fleet.backend_by_name.values()
    }
    for notice in view.limits:
        backend = backend_by_incarnation.get(notice.incarnation)
        if backend is None:
            continue
        _apply_notice(gateway, backend, notice, requested_ms)
    state.changes = view.limit_changes
    if view.grants_limits:
        state.contact_ms = requested_ms


def _apply_notice(
    gateway: Gateway, backend: Backend, notice: cpb.LimitNotice, requested_ms: int
) -> None:
    limit_per_s = notice.limit_per_s if notice.limited else None
    # Control sent the age later than it was asked, so that this is the earliest time.
    read_ms = requested_ms - notice.age_ms
    state = gateway.server_limits
    state.known_by_incarnation[notice.incarnation] = limit_per_s
    former_per_s = get_limit_per_s(backend.health)
    stated = StatedLimit(limit_per_s, read_ms, read_ms)
    if apply_stated_limit(gateway, backend, stated):
        log_limit(gateway, backend, former_per_s, source="control")
    if get_limit_per_s(backend.health) is not None:
        holding = _get_holding(gateway, backend)
        holdings.apply_grants(holding, notice.granted, requested_ms)


def log_limit(
    gateway: Gateway, backend: Backend, former_per_s: float | None, source: str
) -> None:
    """Log the limit of a server that has changed, and an equal share of it here."""
    limit_per_s = get_limit_per_s(backend.health)
    instances = count_instances(gateway)
    gateway.log(
        "server_limit_ended" if limit_per_s is None else "server_limit",
        backend_server=backend.name,
        address=backend.announcement.address,
        limit_per_s=limit_per_s,
        previous_per_s=former_per_s,
        instances=instances,
        source=source,
    )


def estimate_interval_s(
    gateway: Gateway, service: Service, queue: AdmissionQueue[Any]
) -> float:
    """Estimate the time between two requests that the limits let this gateway send.

    It is 0 if no limit holds the service back, and infinity if its servers take none.
    Without recent grants, this gateway has an equal share of the limits.
    """
    rate_per_s = _compute_service_rate_per_s(gateway, service)
    if not rate_per_s or rate_per_s == math.inf:
        return 0.0 if rate_per_s else math.inf
    equal_s = count_instances(gateway) / rate_per_s
    return min(equal_s, queue.estimate_grant_interval_s(gateway.now()))


def _compute_service_rate_per_s(gateway: Gateway, service: Service) -> float:
    """Return the requests a second that a service's limits allow, or infinity."""
    if service.model is None:
        return _sum_limits(gateway, gateway.fleet.find_by_service(service.name))
    layers = gateway.get_graph(service).backends_by_boundary[:-1]
    rates = (_sum_limits(gateway, backends) for backends in layers if backends)
    return min(rates, default=math.inf)


def _sum_limits(gateway: Gateway, backends: Collection[Backend]) -> float:
    """Return the requests a second that servers take; infinity if one has no limit."""
    accepting = (item for item in backends if item.accepts_requests(gateway.now()))
    limits = [get_limit_per_s(backend.health) for backend in accepting]
    return sum(math.inf if limit is None else limit for limit in limits or [None])


def plan_return_s(
    gateway: Gateway, service: Service, queue: AdmissionQueue[Any]
) -> float:
    """Return after how many seconds a request that the limits leave out may return.

    Refused requests return one after the other, at the rate that the limits leave for
    this gateway, after those that wait here; 0 if no limit holds.
    """
    interval_s = estimate_interval_s(gateway, service, queue)
    if not interval_s:
        return 0.0
    gateway.registry.count("limited_requests", "refused")
    if interval_s == math.inf:
        return MAX_RETRY_DELAY_S
    now_s = gateway.now()
    slots = gateway.server_limits.return_s_by_service
    ahead_s = len(queue.waiting_by_number) * interval_s
    earliest_s = now_s + max(MIN_RETRY_DELAY_S, ahead_s)
    slot_s = max(earliest_s, slots.get(service.name, 0.0) + interval_s)
    slots[service.name] = min(slot_s, now_s + MAX_RETRY_DELAY_S)
    return slots[service.name] - now_s


def count_limited(gateway: Gateway) -> tuple[int, int]:
    """Return the number of limited servers, and of the grants that are held."""
    limited = [
        backend
        for backend in gateway.fleet.backend_by_name.values()
        if get_limit_per_s(backend.health) is not None
    ]
    held = itertools.chain.from_iterable(
        _get_holding(gateway, backend).grants for backend in limited
    )
    return len(limited), sum(1 for _ in held)


__all__ = [
    "Reservation",
    "ServerLimits",
    "apply_stated_limit",
    "apply_view",
    "build_reports",
    "cancel_reservation",
    "count_limited",
    "estimate_interval_s",
    "has_recent_demand",
    "is_cut_off",
    "log_limit",
    "may_send",
    "plan_return_s",
    "record_miss",
    "renew_reservation",
    "reserve_new_stages",
    "reserve_requests",
]

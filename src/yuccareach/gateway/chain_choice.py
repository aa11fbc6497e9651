"""The chain that a stream starts on, continues over or is resumed on."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from yuccareach.gateway.attempts import list_open_incarnations
from yuccareach.gateway.chains import (
    Chain,
    ChainRequirements,
    ChainStage,
    LayerGraph,
    find_chain,
)
from yuccareach.gateway.losses import compute_refusal_s
from yuccareach.gateway.server_limits import may_send, record_miss
from yuccareach.overload.streams import compute_headroom

if TYPE_CHECKING:
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.stream_run import StreamRun
    from yuccareach.gateway.table import ModelProfile

# No stream is started or resumed with less time than this before its deadline.
MIN_REMAINING_S = 0.1
# Chains that are tried in the order of their cost before all servers without a grant
# are left out.
MAX_LIMITED_SEARCHES = 4
# Interval between the times at which a waiting stream counts as missed.
MISS_INTERVAL_S = 0.5


def choose_chain(run: StreamRun) -> Chain | None:
    """Return a chain with free capacity for the next attempt, or None.

    A stream that has left an open attempt may go back there if no other chain has room.
    """
    requirements = run.build_requirements()._replace(
        headroom_fraction=compute_headroom(run)
    )
    chain = _find_preferred_chain(run, requirements)
    if chain is None and run.has_left_open_attempt:
        open_incarnations = list_open_incarnations(run.left_servers)
        requirements = requirements._replace(
            excluded_incarnations=requirements.excluded_incarnations - open_incarnations
        )
        chain = _find_preferred_chain(run, requirements)
    return chain


def _find_preferred_chain(
    run: StreamRun, requirements: ChainRequirements
) -> Chain | None:
    """Return a chain within one zone, or across zones if no zone covers all layers.

    If a zone covers all layers but is full, waiting is better than using the link
    between zones. The same holds while members have yet to announce themselves.
    """
    service, gateway = run.admitted.service, run.gateway
    if service.model is None:
        return None
    graph = gateway.get_graph(service)
    if graph.complete_zones or gateway.is_awaiting_members:
        requirements = requirements._replace(cross_zone_allowed=False)
    return _find_granted_chain(run, graph, service.model, requirements)


def _find_granted_chain(
    run: StreamRun,
    graph: LayerGraph,
    model: ModelProfile,
    requirements: ChainRequirements,
    first_stage: ChainStage | None = None,
) -> Chain | None:
    """Return the cheapest chain whose limited servers have grants left, or None.

    If a first stage is given, the servers of the current chain have the request
    already. Servers of cheaper chains without a grant are recorded as missed.
    """
    gateway = run.gateway
    excluded = requirements.excluded_incarnations
    current_stages = run.chain.stages if first_stage and run.chain else ()
    current = {stage.backend.announcement.incarnation for stage in current_stages}

    def _lacks_grant(backend: Backend) -> bool:
        is_new = backend.announcement.incarnation not in current
        return is_new and not may_send(gateway, backend)

    # A stream that waits is tried again many times a second, and missed once.
    searches = MAX_LIMITED_SEARCHES if gateway.now() >= run.next_miss_s else 0
    for _ in range(searches):
        chain = find_chain(
            graph,
            model,
            requirements._replace(excluded_incarnations=excluded),
            first_stage,
        )
        if chain is None:
            return None
        backends = (stage.backend for stage in chain.stages)
        missed = [backend for backend in backends if _lacks_grant(backend)]
        if not missed:
            if excluded != requirements.excluded_incarnations:
                gateway.registry.count("limited_requests", "moved")
            return chain
        run.next_miss_s = gateway.now() + MISS_INTERVAL_S
        for backend in missed:
            record_miss(gateway, backend, id(run))
        excluded |= {backend.announcement.incarnation for backend in missed}
    ungranted = {
        backend.announcement.incarnation
        for backend in itertools.chain.from_iterable(graph.backends_by_boundary)
        if _lacks_grant(backend)
    }
    requirements = requirements._replace(excluded_incarnations=excluded | ungranted)
    return find_chain(graph, model, requirements, first_stage)


def reserve_switch(run: StreamRun) -> bool:
    """Reserve all that another attempt needs; return False if none is possible now.

    An open attempt may still go on, so it is given up only for one that is certain to
    be made: the route allows it, the request is not quarantined, a chain of servers
    that are not to be avoided has room, and the retry budget grants the retry.
    """
    if run.backend_request is None or run.next_chain is not None:
        return run.next_chain is not None
    first_backend = run.backend_request.backend
    if not _may_switch(run, first_backend):
        return False
    chain = _find_preferred_chain(run, _exclude_backend(run, first_backend))
    return _reserve_certain(run, chain)


def _may_switch(run: StreamRun, first_backend: Backend) -> bool:
    """Return whether the route, the quarantine and the time allow another attempt."""
    remaining_s = run.admitted.deadline_s - run.gateway.now()
    return (
        remaining_s >= MIN_REMAINING_S
        and run.can_retry(first_backend)
        and not compute_refusal_s(run.gateway, run.admitted)
    )


def _reserve_certain(run: StreamRun, chain: Chain | None) -> bool:
    """Reserve a retry and a chain, unless it has servers that are to be avoided."""
    now_s = run.gateway.now()
    if chain is None or any(stage.backend.is_avoided(now_s) for stage in chain.stages):
        return False
    if not run.reserve_retry():
        return False
    run.reserve_next(chain)
    return True


def _exclude_backend(run: StreamRun, backend: Backend) -> ChainRequirements:
    requirements = run.build_requirements()
    return requirements._replace(
        excluded_incarnations=requirements.excluded_incarnations
        | {backend.announcement.incarnation}
    )


def choose_detour(run: StreamRun) -> Chain | None:
    """Return the chain to reroute over, or None to resume or if there is none.

    A new stage has to process all tokens so far. If it were in another zone, the
    activations of all these tokens would cross the link that all streams share, and a
    lost stage stalls many streams at once. So a stream is rather resumed over a chain
    within another zone, if its route and the retry budget allow that.
    """
    detour = find_detour(run, cross_zone_allowed=False)
    if detour is not None or _reserve_resume(run):
        return detour
    return find_detour(run, cross_zone_allowed=True)


def find_detour(run: StreamRun, *, cross_zone_allowed: bool) -> Chain | None:
    """Return a chain that keeps the first stage and avoids excluded incarnations."""
    service = run.admitted.service
    if service.model is None or run.chain is None:
        return None
    first_stage = run.chain.stages[0]
    graph = run.gateway.get_graph(
        service, [stage.backend for stage in run.chain.stages]
    )
    if first_stage.end_layer not in graph.boundaries:
        return None
    requirements = run.build_requirements()._replace(
        cross_zone_allowed=cross_zone_allowed
    )
    return _find_granted_chain(run, graph, service.model, requirements, first_stage)


def _reserve_resume(run: StreamRun) -> bool:
    """Reserve all that it needs to resume a stream over a chain within one zone.

    Return False if that is not certain to be possible, as for any other switch.
    """
    service = run.admitted.service
    if service.model is None or run.chain is None:
        return False
    # The current first stage is excluded from the next attempt.
    first_backend = run.chain.stages[0].backend
    if not _may_switch(run, first_backend):
        return False
    requirements = _exclude_backend(run, first_backend)
    requirements = requirements._replace(cross_zone_allowed=False)
    graph = run.gateway.get_graph(service)
    chain = _find_granted_chain(run, graph, service.model, requirements)
    return _reserve_certain(run, chain)


__all__ = [
    "MIN_REMAINING_S",
    "choose_chain",
    "choose_detour",
    "find_detour",
    "reserve_switch",
]

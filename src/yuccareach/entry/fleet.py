"""The entry's view of the backend servers, and the choice among them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import xxhash

from yuccareach.entry.state import BackendServer
from yuccareach.health.servers import accepts_requests
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
from yuccareach.quarantine.counts import ISOLATION_LOSS_THRESHOLD
from yuccareach.route.choice import (
    choose_chain,
    compute_batch_fill_cost,
    compute_load_cost,
)
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccareach.entry.state import EntryState, Request

# How long a failed backend server is avoided where others are available.
SUSPICION_TIMEOUT_MS = 5_000
# How long no chain with a backend server is opened after its first failure. The time
# doubles with each failure in a row, up to MAX_BLOCK_TIMEOUT_MS.
MIN_BLOCK_TIMEOUT_MS = 250
# Added to a backend server's cost for each suspect request that runs there. Suspect
# requests, those that lost a backend server before, are thereby spread over servers.
SUSPECT_REQUEST_COST_S = 0.2
MAX_BLOCK_TIMEOUT_MS = 4_000
# Added to the cost of a suspected backend server; far above the time for one token.
SUSPECTED_SERVER_COST_S = 1_000.0
# Cost of a link between two availability zones.
CROSS_ZONE_COST_S = 0.002
# Multiplies the cost of backend servers that hold the request's state, because they
# can resume from it.
SURVIVOR_COST_FACTOR = 0.01


def update_members(state: EntryState, update: cpb.WatchUpdate) -> list[Any]:
    """Apply members that control reported, and return the effects of the change."""
    if update.members_snapshot:
        present = {member.backend_server for member in update.members}
        departed = set(state.server_by_name) - present
    else:
        departed = set(update.departed)
    for name in departed:
        _remove(state, name)
    for member in update.members:
        _upsert(state, member)
    if not departed:
        return []
    return [Log("backend_servers_left", {"names": ",".join(sorted(departed))})]


def _upsert(state: EntryState, member: cpb.Member) -> None:
    name = member.backend_server
    server = state.server_by_name.get(name)
    if server is None or server.member.incarnation != member.incarnation:
        _remove(state, name)
        server = state.server_by_name[name] = BackendServer(member)
    else:
        _remove_from_index(state, server.member)
    server.member = member
    server.draining = member.draining
    server.other_entries_request_count = max(
        0, member.load.running - server.own_request_count
    )
    state.server_name_by_address[member.address] = name
    if member.pipeline:
        state.server_names_by_pipeline.setdefault(member.pipeline, {})[name] = None
    if member.service:
        state.server_names_by_service.setdefault(member.service, {})[name] = None


def _remove(state: EntryState, name: str) -> None:
    server = state.server_by_name.pop(name, None)
    if server is not None:
        _remove_from_index(state, server.member)


def _remove_from_index(state: EntryState, member: cpb.Member) -> None:
    if state.server_name_by_address.get(member.address) == member.backend_server:
        del state.server_name_by_address[member.address]
    for index, key in (
        (state.server_names_by_pipeline, member.pipeline),
        (state.server_names_by_service, member.service),
    ):
        names = index.get(key)
        if names is not None:
            names.pop(member.backend_server, None)


def record_load_report(state: EntryState, report: pb.LoadReport) -> None:
    """Record that an agent reported, on its data link, that it is draining."""
    server = state.server_by_name.get(report.backend_server)
    if server is not None:
        server.draining = server.draining or report.draining


def mark_suspected(state: EntryState, name: str, now: int) -> None:
    """Block a backend server after a failure, and avoid it for SUSPICION_TIMEOUT_MS.

    Each failure in a row doubles the time for which it is blocked. A failure reported
    while it is blocked does not count, so that one that many requests notice counts
    once.
    """
    server = state.server_by_name.get(name)
    if server is None:
        return
    server.last_suspected_ms = now
    server.avoided_until_ms = now + SUSPICION_TIMEOUT_MS
    if now >= server.blocked_until_ms:
        block_ms = min(
            MIN_BLOCK_TIMEOUT_MS << server.failure_count, MAX_BLOCK_TIMEOUT_MS
        )
        server.blocked_until_ms = now + block_ms
        server.failure_count += 1


def clear_suspicion(
    state: EntryState, members: Iterable[cpb.Member], opened_ms: int
) -> None:
    """End the suspicion of the backend servers that produced an attempt's first token.

    Backend servers suspected after the attempt was opened stay suspected: the token
    may have been computed before their failure.
    """
    for member in members:
        if not is_present(state, member):
            continue
        server = state.server_by_name[member.backend_server]
        if server.last_suspected_ms <= opened_ms:
            server.failure_count = server.blocked_until_ms = server.avoided_until_ms = 0


def is_present(state: EntryState, member: cpb.Member) -> bool:
    """Return whether control still lists this incarnation of the backend server."""
    server = state.server_by_name.get(member.backend_server)
    return server is not None and server.member.incarnation == member.incarnation


def has_successor(state: EntryState, member: cpb.Member) -> bool:
    """Return whether a later incarnation has a backend server's name or address.

    Control drops a backend server also if only its heartbeats are late, so that a
    departure by itself does not show that it has ended.
    """
    names = (member.backend_server, state.server_name_by_address.get(member.address))
    servers = (state.server_by_name.get(name) for name in names if name is not None)
    return any(
        server is not None
        and server.member.incarnation != member.incarnation
        and server.member.started_ms >= member.started_ms
        for server in servers
    )


def choose_chain_for(
    state: EntryState, request: Request, now: int
) -> tuple[cpb.Member, ...] | None:
    """Choose the cheapest chain for a request, or return None if it has to wait.

    Backend servers of the previous chain that did not refuse the request hold its
    state and are preferred. A chain with a blocked backend server is not returned.
    """
    if request.loss_count >= ISOLATION_LOSS_THRESHOLD:
        return _choose_exclusive_chain(state, request, now)
    chain_incarnations = {member.incarnation for member in request.chain}
    survivors = chain_incarnations - request.refused_by_incarnations

    policy = POLICY_BY_NAME[state.options.policy]
    state.choice_count += 1

    def _compute_server_cost(member: cpb.Member) -> float:
        server = state.server_by_name[member.backend_server]
        cost = policy(state, server)
        if now < server.avoided_until_ms:
            cost += SUSPECTED_SERVER_COST_S
        if request.loss_count:
            cost += server.suspect_request_count * SUSPECT_REQUEST_COST_S
        return cost * SURVIVOR_COST_FACTOR if member.incarnation in survivors else cost

    candidates = [
        state.server_by_name[name].member
        for name in state.server_names_by_pipeline.get(request.pipeline, ())
    ]
    usable = (
        member
        for member in candidates
        if member.layers == request.layers
        and (
            member.incarnation in survivors
            or _can_take_new_requests(state.server_by_name[member.backend_server])
        )
    )
    chain = choose_chain(
        usable,
        request.layers,
        _compute_server_cost,
        _compute_zone_cost,
        state.options.availability_zone,
    )
    if chain is not None and any(_is_blocked(state, chosen, now) for chosen in chain):
        return None
    return chain


def _can_take_new_requests(server: BackendServer) -> bool:
    return not server.draining and not server.reserved_for_request


def _choose_exclusive_chain(
    state: EntryState, request: Request, now: int
) -> tuple[cpb.Member, ...] | None:
    """Reserve a chain for one request, and return it once nothing else runs there.

    The wait covers the requests of this entry only; those that other entries run there
    raise the cost of a backend server.
    """
    identifier = request.identifier
    servers = [
        state.server_by_name[name]
        for name in state.server_names_by_pipeline.get(request.pipeline, ())
    ]
    usable = [
        server.member
        for server in servers
        if server.member.layers == request.layers
        and not server.draining
        and server.reserved_for_request in ("", identifier)
        and now >= server.blocked_until_ms
    ]

    def _compute_server_cost(member: cpb.Member) -> float:
        server = state.server_by_name[member.backend_server]
        reservation_cost = 0.0 if server.reserved_for_request == identifier else 1.0
        return (
            reservation_cost
            + server.own_request_count
            + server.other_entries_request_count
        )

    chain = choose_chain(
        usable,
        request.layers,
        _compute_server_cost,
        _compute_zone_cost,
        state.options.availability_zone,
    )
    if chain is None:
        return None
    chosen = [state.server_by_name[member.backend_server] for member in chain]
    for server in chosen:
        server.reserved_for_request = identifier
    if any(server.own_request_count for server in chosen):
        return None
    return chain


def release_reservation(state: EntryState, identifier: str) -> None:
    """Open the backend servers reserved for a request to all requests again."""
    for server in state.server_by_name.values():
        if server.reserved_for_request == identifier:
            server.reserved_for_request = ""


def _is_blocked(state: EntryState, member: cpb.Member, now: int) -> bool:
    return now < state.server_by_name[member.backend_server].blocked_until_ms


def _compute_load_cost(state: EntryState, server: BackendServer) -> float:
    """Return the expected time for one token, in seconds, from decode rate and load."""
    running = server.own_request_count + server.other_entries_request_count
    member = server.member
    return compute_load_cost(running, member.max_batch, member.decode_rate)


def _compute_batch_fill_cost(state: EntryState, server: BackendServer) -> float:
    """Return the time for one token, in seconds, from the utilization of the batch."""
    running = server.own_request_count + server.other_entries_request_count
    member = server.member
    return compute_batch_fill_cost(running, member.max_batch, member.decode_rate)


def _count_running_requests(state: EntryState, server: BackendServer) -> float:
    """Return the number of running requests, whatever the decode rate."""
    return server.own_request_count + server.other_entries_request_count


def _count_assigned_requests(state: EntryState, server: BackendServer) -> float:
    """Return how often this entry has chosen the backend server."""
    return server.assigned_request_count


def _draw_random_cost(state: EntryState, server: BackendServer) -> float:
    """Return a pseudo-random cost that does not depend on load or decode rate."""
    return _compute_tie_breaker(state, server)


POLICY_BY_NAME: dict[str, Callable[[EntryState, BackendServer], float]] = {
    "load": _compute_load_cost,
    "batch-fill": _compute_batch_fill_cost,
    "least-outstanding": _count_running_requests,
    "round-robin": _count_assigned_requests,
    "random": _draw_random_cost,
}


def _compute_zone_cost(first_zone: str, second_zone: str) -> float:
    return 0.0 if first_zone == second_zone else CROSS_ZONE_COST_S


def choose_service_server(
    state: EntryState, service: str, tried_incarnations: set[str], now: int
) -> cpb.Member | None:
    """Choose a backend server of a plain service that was not tried before, or None.

    Those that have asked for no calls are left out. Preferred are servers that are not
    suspected, then those with the fewest running requests, then those in the entry's
    availability zone.
    """
    servers = [
        state.server_by_name[name]
        for name in state.server_names_by_service.get(service, ())
    ]
    usable = [
        server
        for server in servers
        if not server.draining
        and server.member.incarnation not in tried_incarnations
        and accepts_requests(server.health, now)
    ]
    state.choice_count += 1
    best = min(
        usable,
        key=lambda server: (
            now < server.avoided_until_ms,
            server.own_request_count + server.other_entries_request_count,
            server.member.availability_zone != state.options.availability_zone,
            _compute_tie_breaker(state, server),
        ),
        default=None,
    )
    return best.member if best is not None else None


def _compute_tie_breaker(state: EntryState, server: BackendServer) -> int:
    """Return a hash that breaks ties differently with each choice.

    It depends only on the name and the number of choices, so that a replay of the
    same events chooses the same backend servers.
    """
    name = server.member.backend_server.encode()
    return xxhash.xxh32_intdigest(name, seed=state.choice_count)


def adjust_running_counts(
    state: EntryState,
    members: Iterable[cpb.Member],
    change: int,
    *,
    is_suspect: bool = False,
) -> None:
    """Add a change, 1 or -1, to the members' counts of requests of this entry."""
    for member in members:
        if is_present(state, member):
            server = state.server_by_name[member.backend_server]
            server.own_request_count = max(0, server.own_request_count + change)
            server.assigned_request_count += max(0, change)
            if is_suspect:
                server.suspect_request_count = max(
                    0, server.suspect_request_count + change
                )


def remove_from_running_counts(
    state: EntryState, request: Request, members: Iterable[cpb.Member]
) -> None:
    """Stop counting a request as running at backend servers that it has left."""
    adjust_running_counts(state, members, -1, is_suspect=request.counted_as_suspect)


__all__ = [
    "POLICY_BY_NAME",
    "adjust_running_counts",
    "choose_chain_for",
    "choose_service_server",
    "has_successor",
    "clear_suspicion",
    "is_present",
    "mark_suspected",
    "record_load_report",
    "release_reservation",
    "remove_from_running_counts",
    "update_members",
]

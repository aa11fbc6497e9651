"""Backend servers as the entry sees them, and the choice among them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import xxhash

from yuccareach.entry.quarantine import ISOLATION_LOSS_THRESHOLD
from yuccareach.entry.state import BackendServer
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
from yuccareach.route.choice import (
    choose_chain,
    compute_batch_fill_cost,
    compute_load_cost,
)
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccareach.entry.state import EntryState, Request

SUSPICION_TIMEOUT_MS = 5_000
MIN_BLOCK_TIMEOUT_MS = 250
SUSPECT_REQUEST_COST_S = 0.2
MAX_BLOCK_TIMEOUT_MS = 4_000
SUSPECTED_SERVER_COST_S = 1_000.0
CROSS_ZONE_COST_S = 0.002
SURVIVOR_COST_FACTOR = 0.01


def update_members(state: EntryState, update: cpb.WatchUpdate) -> list[Any]:
    """Take over members from control and return the effects of the change."""
    if update.members_snapshot:
        kept = {member.backend_server for member in update.members}
        departed = set(state.server_by_name) - kept
    else:
        departed = set(update.departed)
    for name in departed:
        _remove(state, name)
    for member in update.members:
        _put(state, member)
    if not departed:
        return []
    return [Log("backend_servers_left", {"names": ",".join(sorted(departed))})]


def _put(state: EntryState, member: cpb.Member) -> None:
    name = member.backend_server
    known = state.server_by_name.get(name)
    if known is None or known.member.incarnation != member.incarnation:
        _remove(state, name)
        known = state.server_by_name[name] = BackendServer(member)
    else:
        _unindex(state, known.member)
    known.member = member
    known.draining = member.draining
    known.other_entries_request_count = max(
        0, member.load.running - known.own_request_count
    )
    if member.pipeline:
        state.server_names_by_pipeline.setdefault(member.pipeline, {})[name] = None
    if member.service:
        state.server_names_by_service.setdefault(member.service, {})[name] = None


def _remove(state: EntryState, name: str) -> None:
    known = state.server_by_name.pop(name, None)
    if known is not None:
        _unindex(state, known.member)


def _unindex(state: EntryState, member: cpb.Member) -> None:
    for index, key in (
        (state.server_names_by_pipeline, member.pipeline),
        (state.server_names_by_service, member.service),
    ):
        names = index.get(key)
        if names is not None:
            names.pop(member.backend_server, None)


def load_reported(state: EntryState, report: pb.LoadReport) -> None:
    """Take over what an agent said in-band."""
    known = state.server_by_name.get(report.backend_server)
    if known is not None:
        known.draining = known.draining or report.draining


def suspect(state: EntryState, name: str, now: int) -> None:
    """Avoid a backend server for a while, and use it for nothing at first.

    Failures in a row block it longer each time; those at one moment count once.
    """
    known = state.server_by_name.get(name)
    if known is None:
        return
    known.last_suspected_ms = now
    known.suspected_until_ms = now + SUSPICION_TIMEOUT_MS
    if now >= known.blocked_until_ms:
        block_ms = min(
            MIN_BLOCK_TIMEOUT_MS << known.failures_in_a_row, MAX_BLOCK_TIMEOUT_MS
        )
        known.blocked_until_ms = now + block_ms
        known.failures_in_a_row += 1


def clear(state: EntryState, members: Iterable[cpb.Member], opened_ms: int) -> None:
    """End the suspicion of backend servers that have just done their part.

    An attempt opened before the suspicion proves nothing: its token may be older.
    """
    for member in members:
        if not is_present(state, member):
            continue
        server = state.server_by_name[member.backend_server]
        if server.last_suspected_ms <= opened_ms:
            server.failures_in_a_row = server.blocked_until_ms = (
                server.suspected_until_ms
            ) = 0


def is_present(state: EntryState, member: cpb.Member) -> bool:
    """Return whether just this incarnation is still announced."""
    known = state.server_by_name.get(member.backend_server)
    return known is not None and known.member.incarnation == member.incarnation


def choose_for(
    state: EntryState, request: Request, now: int
) -> tuple[cpb.Member, ...] | None:
    """Choose a chain; stages that hold the request's state are preferred."""
    if request.loss_count >= ISOLATION_LOSS_THRESHOLD:
        return _choose_alone(state, request, now)
    chain_held = {member.incarnation for member in request.chain}
    survivors = chain_held - request.refused_by_incarnations

    policy = POLICY_BY_NAME[state.options.policy]
    state.choice_number += 1

    def _cost(member: cpb.Member) -> float:
        server = state.server_by_name[member.backend_server]
        cost = policy(state, server)
        if now < server.suspected_until_ms:
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
            or _takes_new_work(state.server_by_name[member.backend_server])
        )
    )
    chain = choose_chain(
        usable, request.layers, _cost, _zone_cost, state.options.availability_zone
    )
    if chain is not None and any(_is_blocked(state, item, now) for item in chain):
        return None
    return chain


def _takes_new_work(server: BackendServer) -> bool:
    return not server.draining and not server.reserved_for_request


def _choose_alone(
    state: EntryState, request: Request, now: int
) -> tuple[cpb.Member, ...] | None:
    """Keep a chain free for a request, and return it once nothing else runs there."""
    name = request.identifier
    servers = [
        state.server_by_name[item]
        for item in state.server_names_by_pipeline.get(request.pipeline, ())
    ]
    usable = [
        server.member
        for server in servers
        if server.member.layers == request.layers
        and not server.draining
        and server.reserved_for_request in ("", name)
        and now >= server.blocked_until_ms
    ]

    def _cost(member: cpb.Member) -> float:
        server = state.server_by_name[member.backend_server]
        waited_for = 0.0 if server.reserved_for_request == name else 1.0
        return (
            waited_for + server.own_request_count + server.other_entries_request_count
        )

    chain = choose_chain(
        usable, request.layers, _cost, _zone_cost, state.options.availability_zone
    )
    if chain is None:
        return None
    chosen = [state.server_by_name[member.backend_server] for member in chain]
    for server in chosen:
        server.reserved_for_request = name
    if any(server.own_request_count for server in chosen):
        return None
    return chain


def unreserve(state: EntryState, request: str) -> None:
    """Give backend servers that were kept free for a request to all again."""
    for server in state.server_by_name.values():
        if server.reserved_for_request == request:
            server.reserved_for_request = ""


def _is_blocked(state: EntryState, member: cpb.Member, now: int) -> bool:
    return now < state.server_by_name[member.backend_server].blocked_until_ms


def _by_load(state: EntryState, server: BackendServer) -> float:
    """Return the expected seconds for a token, from speed and load."""
    running = server.own_request_count + server.other_entries_request_count
    member = server.member
    return compute_load_cost(running, member.max_batch, member.decode_rate)


def _by_batch_fill(state: EntryState, server: BackendServer) -> float:
    """Return the seconds for a token, from how full the batch would be."""
    running = server.own_request_count + server.other_entries_request_count
    member = server.member
    return compute_batch_fill_cost(running, member.max_batch, member.decode_rate)


def _by_outstanding(state: EntryState, server: BackendServer) -> float:
    """Return the requests running, whatever the speed."""
    return server.own_request_count + server.other_entries_request_count


def _by_turn(state: EntryState, server: BackendServer) -> float:
    """Return how often this backend server was chosen."""
    return server.assigned_request_count


def _by_chance(state: EntryState, server: BackendServer) -> float:
    """Return a number that has nothing to do with the backend server."""
    return _turn(state, server)


POLICY_BY_NAME: dict[str, Callable[[EntryState, BackendServer], float]] = {
    "load": _by_load,
    "batch-fill": _by_batch_fill,
    "least-outstanding": _by_outstanding,
    "round-robin": _by_turn,
    "random": _by_chance,
}


def _zone_cost(first: str, second: str) -> float:
    return 0.0 if first == second else CROSS_ZONE_COST_S


def choose_service(
    state: EntryState, service: str, tried: set[str], now: int
) -> cpb.Member | None:
    """Choose the least loaded backend server of a plain service."""
    servers = [
        state.server_by_name[name]
        for name in state.server_names_by_service.get(service, ())
    ]
    usable = [
        server
        for server in servers
        if not server.draining and server.member.incarnation not in tried
    ]
    state.choice_number += 1
    best = min(
        usable,
        key=lambda server: (
            now < server.suspected_until_ms,
            server.own_request_count + server.other_entries_request_count,
            server.member.availability_zone != state.options.availability_zone,
            _turn(state, server),
        ),
        default=None,
    )
    return best.member if best is not None else None


def _turn(state: EntryState, server: BackendServer) -> int:
    """Return a number that spreads equal choices over backend servers."""
    name = server.member.backend_server.encode()
    return xxhash.xxh32_intdigest(name, seed=state.choice_number)


def occupy(
    state: EntryState,
    members: Iterable[cpb.Member],
    change: int,
    *,
    suspect: bool = False,
) -> None:
    """Count requests that this entry has running at some backend servers."""
    for member in members:
        if is_present(state, member):
            server = state.server_by_name[member.backend_server]
            server.own_request_count = max(0, server.own_request_count + change)
            server.assigned_request_count += max(0, change)
            if suspect:
                server.suspect_request_count = max(
                    0, server.suspect_request_count + change
                )


def release(state: EntryState, request: Request, members: Iterable[cpb.Member]) -> None:
    """Stop counting a request at the backend servers that it has left."""
    occupy(state, members, -1, suspect=request.counted_as_suspect)


__all__ = [
    "POLICY_BY_NAME",
    "clear",
    "choose_for",
    "choose_service",
    "is_present",
    "load_reported",
    "occupy",
    "release",
    "suspect",
    "unreserve",
    "update_members",
]

"""Closing holes in the layers that a fleet in use holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.placement.assignments import (
    Assignment,
    LayerRange,
    Server,
    compute_max_layers,
    compute_target_tokens,
    compute_token_capacity,
    count_servers_by_layer,
    sum_max_layers,
)
from yuccareach.placement.pipelines import find_best_pipeline
from yuccareach.placement.ranges import find_longest_minimum
from yuccareach.placement.replicas import add_replicas

if TYPE_CHECKING:
    from yuccareach.gateway.table import ModelProfile


def fill_holes(
    servers: list[Server], model: ModelProfile, *, divide_anew: bool
) -> list[Assignment]:
    """Close the pipelines of all zones, or at least one that spans them."""
    by_zone: dict[str, list[Server]] = {}
    for server in servers:
        by_zone.setdefault(server.zone, []).append(server)
    assignments = [
        assignment
        for group in by_zone.values()
        for assignment in _fill_zone(group, model, divide_anew=divide_anew)
    ]
    return assignments or _fill_anywhere(servers, model)


def _fill_zone(
    servers: list[Server], model: ModelProfile, *, divide_anew: bool
) -> list[Assignment]:
    """Cover the layers that nobody holds in one zone, by free servers or neighbours."""
    holders = [server for server in servers if server.layers.size]
    if not holders:
        return find_best_pipeline(servers, model) or []
    counts = count_servers_by_layer(servers, model)
    free = sorted(
        (server for server in servers if not server.layers.size),
        key=lambda server: server.decode_factor,
    )
    if min(counts) > 0:
        return add_replicas(free, holders, model)
    hole = find_longest_minimum(counts)
    free += _redundant(holders, counts)
    if free:
        return _cover_by_free(free, hole, holders, model)
    assignments = _extend_neighbours(servers, hole, model)
    if not assignments and divide_anew:
        assignments = find_best_pipeline(servers, model) or []
    return assignments


def _cover_by_free(
    free: list[Server], hole: LayerRange, holders: list[Server], model: ModelProfile
) -> list[Assignment]:
    """Divide a hole among free servers, enough to leave as much room as the others.

    What they cannot cover remains a hole.
    """
    wanted = min(
        compute_token_capacity(Assignment(item, item.layers), model) for item in holders
    )
    tokens = max(wanted, compute_target_tokens(model))
    count = next(
        (
            count
            for count in range(1, len(free) + 1)
            if sum_max_layers(free[:count], model, tokens) >= hole.size
        ),
        len(free),
    )
    chosen = free[:count]
    if sum_max_layers(chosen, model, tokens) < hole.size:
        tokens = min(tokens, compute_target_tokens(model))
    assignments = []
    first = hole.first
    for server in chosen:
        most = max(1, compute_max_layers(server, model, tokens))
        end = min(hole.end, first + most)
        if end > first:
            assignments.append(Assignment(server, LayerRange(first, end)))
        first = end
    return assignments


def _extend_neighbours(
    servers: list[Server], hole: LayerRange, model: ModelProfile
) -> list[Assignment]:
    """Let the servers on both sides of a hole hold its layers as well, if they can."""

    def _spare(server: Server) -> int:
        most = compute_max_layers(server, model, compute_target_tokens(model))
        return max(0, most - server.layers.size)

    before = [
        server
        for server in servers
        if server.layers.size and server.layers.end == hole.first
    ]
    after = [
        server
        for server in servers
        if server.layers.size and server.layers.first == hole.end
    ]
    left = max(before, key=_spare, default=None)
    right = max(after, key=_spare, default=None)
    left_most = _spare(left) if left else 0
    right_most = _spare(right) if right else 0
    if left_most + right_most < hole.size:
        return []
    share = hole.size * left_most // (left_most + right_most)
    cut = hole.first + min(left_most, max(share, hole.size - right_most))
    assignments = []
    if left is not None and cut > hole.first:
        assignments.append(Assignment(left, LayerRange(left.layers.first, cut)))
    if right is not None and cut < hole.end:
        assignments.append(Assignment(right, LayerRange(cut, right.layers.end)))
    return assignments


def _fill_anywhere(servers: list[Server], model: ModelProfile) -> list[Assignment]:
    """Cover layers that nobody holds in any zone, by free servers or by moving one."""
    counts = count_servers_by_layer(servers, model)
    free = [server for server in servers if not server.layers.size]
    assignments: list[Assignment] = []
    while min(counts) == 0:
        hole = find_longest_minimum(counts)
        server = _pick_free(free, hole, model)
        if server is not None:
            free.remove(server)
        else:
            server = _pick_donor(
                servers, counts, {assignment.server.name for assignment in assignments}
            )
            if server is None:
                break
            for layer in range(server.layers.first, server.layers.end):
                counts[layer] -= 1
            hole = find_longest_minimum(counts)
        assignments.append(_cover(server, hole, model, counts))
    return assignments


def _cover(
    server: Server, hole: LayerRange, model: ModelProfile, counts: list[int]
) -> Assignment:
    most = max(1, compute_max_layers(server, model, compute_target_tokens(model)))
    layers = LayerRange(hole.first, min(hole.end, hole.first + most))
    for layer in range(layers.first, layers.end):
        counts[layer] += 1
    return Assignment(server, layers)


def _pick_free(
    free: list[Server], hole: LayerRange, model: ModelProfile
) -> Server | None:
    """Return the slowest free server that covers a hole alone, or the largest."""
    tokens = compute_target_tokens(model)
    whole = [
        item for item in free if compute_max_layers(item, model, tokens) >= hole.size
    ]
    if whole:
        return max(whole, key=lambda item: item.decode_factor)
    return max(free, key=lambda item: item.memory_mb, default=None)


def _pick_donor(
    servers: list[Server], counts: list[int], moved: set[str]
) -> Server | None:
    """Return the slowest server whose layers are all held by others as well."""
    donors = [
        server
        for server in servers
        if server.layers.size
        and server.name not in moved
        and min(counts[server.layers.first : server.layers.end], default=0) > 1
    ]
    return max(donors, key=lambda server: server.decode_factor, default=None)


def _redundant(holders: list[Server], counts: list[int]) -> list[Server]:
    """Return servers that may leave their layers to others, the slowest first."""
    left = list(counts)
    chosen = []
    for server in sorted(holders, key=lambda item: -item.decode_factor):
        layers = range(server.layers.first, server.layers.end)
        if min(left[layer] for layer in layers) > 1:
            chosen.append(server)
            for layer in layers:
                left[layer] -= 1
    return chosen


__all__ = ["fill_holes"]

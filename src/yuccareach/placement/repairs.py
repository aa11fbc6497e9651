"""Repair of gaps in the layers that a running fleet holds.

A gap is a range of adjacent layers that no server holds, in one availability zone or
in all of them.
"""

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
from yuccareach.placement.balance import assign_free_servers, find_move
from yuccareach.placement.divisions import is_slot_limited
from yuccareach.placement.pipelines import find_zone_pipelines
from yuccareach.placement.ranges import find_longest_minimum
from yuccareach.placement.replicas import add_replicas

if TYPE_CHECKING:
    from yuccareach.gateway.table import ModelProfile


def close_gaps(
    servers: list[Server], model: ModelProfile, *, repartition: bool
) -> list[Assignment]:
    """Return assignments that complete the pipeline of every zone.

    If nothing can be done within any single zone, layers that no server of any zone
    holds are covered, so that at least one pipeline across zones remains. With
    repartition, a zone whose gap cannot be closed otherwise is repartitioned.
    """
    by_zone: dict[str, list[Server]] = {}
    for server in servers:
        by_zone.setdefault(server.zone, []).append(server)
    assignments = [
        assignment
        for group in by_zone.values()
        for assignment in _close_zone_gap(group, model, repartition=repartition)
    ]
    return assignments or _close_gaps_across_zones(servers, model)


def _close_zone_gap(
    servers: list[Server], model: ModelProfile, *, repartition: bool
) -> list[Assignment]:
    """Cover the longest gap of one zone, or add replicas if it has no gap.

    The gap is assigned to free servers and to those whose layers others hold as well;
    if there are none, to the servers that hold the layers next to it.
    """
    holders = [server for server in servers if server.layers.size]
    if not holders:
        return _partition_zone(servers, model)
    counts = count_servers_by_layer(servers, model)
    free_servers = sorted(
        (server for server in servers if not server.layers.size),
        key=lambda server: server.decode_factor,
    )
    if is_slot_limited(servers, model):
        assignments = assign_free_servers(free_servers, holders, model)
        if assignments:
            return assignments
        move = find_move(holders, model)
        if move or min(counts) > 0:
            return move
        # None of them has memory for a layer.
        free_servers = []
    if min(counts) > 0:
        return add_replicas(free_servers, holders, model)
    gap = find_longest_minimum(counts)
    free_servers += _find_redundant_servers(holders, counts)
    if free_servers:
        return _assign_to_free_servers(free_servers, gap, holders, model)
    assignments = _extend_adjacent_servers(servers, gap, model)
    if not assignments and repartition:
        assignments = _partition_zone(servers, model)
    return assignments


def _partition_zone(servers: list[Server], model: ModelProfile) -> list[Assignment]:
    """Partition the layers among the servers of a zone, whatever these hold."""
    return [
        assignment
        for pipeline in find_zone_pipelines(servers, model)
        for assignment in pipeline
    ]


def _assign_to_free_servers(
    free_servers: list[Server],
    gap: LayerRange,
    holders: list[Server],
    model: ModelProfile,
) -> list[Assignment]:
    """Divide a gap among as few free servers as leave enough token capacity.

    Each of them should have as much token capacity as the zone's server with the least,
    and at least the target. If the free servers are too few for that, the target alone
    counts, and layers that still do not fit remain a gap.
    """
    min_capacity = min(
        compute_token_capacity(Assignment(item, item.layers), model) for item in holders
    )
    tokens = max(min_capacity, compute_target_tokens(model))
    count = next(
        (
            count
            for count in range(1, len(free_servers) + 1)
            if sum_max_layers(free_servers[:count], model, tokens) >= gap.size
        ),
        len(free_servers),
    )
    chosen_servers = free_servers[:count]
    if sum_max_layers(chosen_servers, model, tokens) < gap.size:
        tokens = min(tokens, compute_target_tokens(model))
    assignments = []
    first = gap.first
    for server in chosen_servers:
        max_layers = max(1, compute_max_layers(server, model, tokens))
        end = min(gap.end, first + max_layers)
        if end > first:
            assignments.append(Assignment(server, LayerRange(first, end)))
        first = end
    return assignments


def _extend_adjacent_servers(
    servers: list[Server], gap: LayerRange, model: ModelProfile
) -> list[Assignment]:
    """Let the servers on both sides of a gap hold its layers as well.

    Each side takes layers in proportion to its spare memory. If both together cannot
    hold the whole gap, no assignment is returned.
    """

    def _count_spare_layers(server: Server) -> int:
        max_layers = compute_max_layers(server, model, compute_target_tokens(model))
        return max(0, max_layers - server.layers.size)

    left_neighbours = [
        server
        for server in servers
        if server.layers.size and server.layers.end == gap.first
    ]
    right_neighbours = [
        server
        for server in servers
        if server.layers.size and server.layers.first == gap.end
    ]
    left = max(left_neighbours, key=_count_spare_layers, default=None)
    right = max(right_neighbours, key=_count_spare_layers, default=None)
    left_spare = _count_spare_layers(left) if left else 0
    right_spare = _count_spare_layers(right) if right else 0
    if left_spare + right_spare < gap.size:
        return []
    share = gap.size * left_spare // (left_spare + right_spare)
    boundary = gap.first + min(left_spare, max(share, gap.size - right_spare))
    assignments = []
    if left is not None and boundary > gap.first:
        assignments.append(Assignment(left, LayerRange(left.layers.first, boundary)))
    if right is not None and boundary < gap.end:
        assignments.append(Assignment(right, LayerRange(boundary, right.layers.end)))
    return assignments


def _close_gaps_across_zones(
    servers: list[Server], model: ModelProfile
) -> list[Assignment]:
    """Cover layers that no zone holds, by free servers or by moving redundant ones."""
    counts = count_servers_by_layer(servers, model)
    free_servers = [server for server in servers if not server.layers.size]
    assignments: list[Assignment] = []
    while min(counts) == 0:
        gap = find_longest_minimum(counts)
        server = _choose_free_server(free_servers, gap, model)
        if server is not None:
            free_servers.remove(server)
        else:
            server = _choose_redundant_server(
                servers, counts, {assignment.server.name for assignment in assignments}
            )
            if server is None:
                break
            for layer in range(server.layers.first, server.layers.end):
                counts[layer] -= 1
            gap = find_longest_minimum(counts)
        assignments.append(_assign_start_of_gap(server, gap, model, counts))
    return assignments


def _assign_start_of_gap(
    server: Server, gap: LayerRange, model: ModelProfile, counts: list[int]
) -> Assignment:
    """Assign the first layers of a gap, as many as fit, and add them to the counts."""
    max_layers = max(1, compute_max_layers(server, model, compute_target_tokens(model)))
    layers = LayerRange(gap.first, min(gap.end, gap.first + max_layers))
    for layer in range(layers.first, layers.end):
        counts[layer] += 1
    return Assignment(server, layers)


def _choose_free_server(
    free_servers: list[Server], gap: LayerRange, model: ModelProfile
) -> Server | None:
    """Return the slowest free server that can cover a gap alone, else the largest."""
    tokens = compute_target_tokens(model)
    sufficient_servers = [
        item
        for item in free_servers
        if compute_max_layers(item, model, tokens) >= gap.size
    ]
    if sufficient_servers:
        return max(sufficient_servers, key=lambda item: item.decode_factor)
    return max(free_servers, key=lambda item: item.memory_mb, default=None)


def _choose_redundant_server(
    servers: list[Server], counts: list[int], moved_names: set[str]
) -> Server | None:
    """Return the slowest server, not moved yet, whose layers others hold as well."""
    redundant_servers = [
        server
        for server in servers
        if server.layers.size
        and server.name not in moved_names
        and min(counts[server.layers.first : server.layers.end], default=0) > 1
    ]
    return max(redundant_servers, key=lambda server: server.decode_factor, default=None)


def _find_redundant_servers(holders: list[Server], counts: list[int]) -> list[Server]:
    """Return the servers whose layers others hold as well, slowest first.

    All of them can be moved together without opening a new gap.
    """
    remaining_counts = list(counts)
    redundant_servers = []
    for server in sorted(holders, key=lambda item: -item.decode_factor):
        layers = range(server.layers.first, server.layers.end)
        if min(remaining_counts[layer] for layer in layers) > 1:
            redundant_servers.append(server)
            for layer in layers:
                remaining_counts[layer] -= 1
    return redundant_servers


__all__ = ["close_gaps"]

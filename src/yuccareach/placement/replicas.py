"""Replicas of layers, and moves of servers to layers that lack token capacity."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

from yuccareach.placement.assignments import (
    Assignment,
    LayerRange,
    Server,
    compute_max_layers,
    compute_target_tokens,
    compute_token_capacity,
    count_tokens_per_request,
)
from yuccareach.placement.ranges import find_longest_minimum

if TYPE_CHECKING:
    from yuccareach.gateway.table import ModelProfile

# A replica is planned for at least this fraction of the median token capacity per
# layer.
REPLICA_CAPACITY_FRACTION = 0.5
# Token capacities that differ by less than this factor count as equal.
SIMILAR_CAPACITY_FACTOR = 1.2
# Layers with at most this fraction of the median token capacity limit the whole
# pipeline; a server is moved to them if none is free.
LOW_CAPACITY_FRACTION = 0.6


def add_replicas(
    free_servers: list[Server], holders: list[Server], model: ModelProfile
) -> list[Assignment]:
    """Assign free servers to the layers with the least token capacity.

    A replica takes over when a stage is lost, until the layers of that stage have been
    loaded elsewhere. Servers at the end of the free list are assigned first: to the
    first layers while these have too few servers for the expected streams, then to the
    end of the range that lacks capacity. The start of that range comes last, since the
    first stage of a running stream cannot be replaced. If no server is free, one of the
    holders may be moved.
    """
    if not free_servers:
        return _move_server_to_lowest_range(holders, model)
    capacity_by_layer = _sum_capacity_by_layer(holders, model)
    tokens = max(
        compute_target_tokens(model),
        REPLICA_CAPACITY_FRACTION * statistics.median(capacity_by_layer),
    )
    missing_first_stages = _count_needed_first_stages(capacity_by_layer, model) - sum(
        server.layers.first == 0 for server in holders
    )
    assignments = []
    for server in reversed(free_servers):
        if missing_first_stages > 0:
            missing_first_stages -= 1
            max_layers = compute_max_layers(
                server, model, statistics.median(capacity_by_layer)
            )
            assignment = Assignment(server, LayerRange(0, max(1, max_layers)))
        else:
            lowest_range = _find_lowest_capacity_range(capacity_by_layer)
            max_layers = max(1, compute_max_layers(server, model, tokens))
            assignment = Assignment(
                server,
                LayerRange(
                    max(lowest_range.first, lowest_range.end - max_layers),
                    lowest_range.end,
                ),
            )
        assignments.append(assignment)
        for layer in range(assignment.layers.first, assignment.layers.end):
            capacity_by_layer[layer] += compute_token_capacity(assignment, model)
    return assignments


def _count_needed_first_stages(
    capacity_by_layer: list[float], model: ModelProfile
) -> int:
    """Return how many servers have to hold the first layer.

    Each stream takes a slot of its first stage, and slots may run out before memory.
    """
    requests = statistics.median(capacity_by_layer) / count_tokens_per_request(model)
    return math.ceil(requests / max(1, model.slots))


def _sum_capacity_by_layer(holders: list[Server], model: ModelProfile) -> list[float]:
    """Return for each layer the total token capacity of the servers that hold it."""
    capacity_by_layer = [0.0] * model.layers
    for server in holders:
        for layer in range(server.layers.first, min(server.layers.end, model.layers)):
            capacity_by_layer[layer] += compute_token_capacity(
                Assignment(server, server.layers), model
            )
    return capacity_by_layer


def _find_lowest_capacity_range(capacity_by_layer: list[float]) -> LayerRange:
    """Return the longest range whose token capacities are close to the lowest one."""
    threshold = min(capacity_by_layer) * SIMILAR_CAPACITY_FACTOR
    return find_longest_minimum(
        [0 if tokens <= threshold else 1 for tokens in capacity_by_layer]
    )


def _move_server_to_lowest_range(
    holders: list[Server], model: ModelProfile
) -> list[Assignment]:
    """Move one server to the layers that limit the pipeline, if there are any.

    Without the server, its current layers must keep clearly more token capacity than
    half of what the limiting layers have with it.
    """
    capacity_by_layer = _sum_capacity_by_layer(holders, model)
    lowest_range = _find_lowest_capacity_range(capacity_by_layer)
    lowest_capacity = capacity_by_layer[lowest_range.first]
    if lowest_capacity > LOW_CAPACITY_FRACTION * statistics.median(capacity_by_layer):
        return []
    for server in sorted(holders, key=lambda item: item.decode_factor):
        own_capacity = compute_token_capacity(Assignment(server, server.layers), model)
        current_layers = range(server.layers.first, server.layers.end)
        remaining_capacity = (
            min(capacity_by_layer[layer] for layer in current_layers) - own_capacity
        )
        moved_assignment = Assignment(server, lowest_range)
        fits_memory = lowest_range.size <= compute_max_layers(
            server, model, max(lowest_capacity, 1.0)
        )
        is_disjoint = (
            server.layers.end <= lowest_range.first
            or lowest_range.end <= server.layers.first
        )
        if (
            fits_memory
            and is_disjoint
            and remaining_capacity
            > SIMILAR_CAPACITY_FACTOR
            * (lowest_capacity + compute_token_capacity(moved_assignment, model))
            / 2
        ):
            return [moved_assignment]
    return []


__all__ = ["add_replicas"]

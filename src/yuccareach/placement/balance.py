"""Ranges of servers in a zone that holds several copies of the weights.

Plans are compared by a cost: the sum over the layers of 1 / (1 + requests) ** 3, for
the requests that the servers of a layer have memory for together. The power makes the
layers with the fewest requests, which limit the zone, count most. The slots of the
first stages count as further layers.
"""

from __future__ import annotations

import itertools
import statistics
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.placement.assignments import (
    NO_LAYERS,
    Assignment,
    LayerRange,
    compute_max_layers,
    compute_target_tokens,
    count_servers_by_layer,
    count_tokens_per_request,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.table import ModelProfile
    from yuccareach.placement.assignments import Server

# The loss of the only holder of a layer stops its zone, so that a layer with one holder
# counts as if it had this fraction of its capacity. Capacity of one holder beyond the
# slots of this many first stages does not count.
SINGLE_HOLDER_FRACTION = 0.5
SINGLE_HOLDER_FIRST_STAGES = 2
# The slots of the first stages limit a zone as a range of layers does; they count as
# this many layers, which is about the size of a range.
FIRST_STAGE_WEIGHT = 8
# A server is moved only if the cost falls by at least this fraction: its layers are
# unavailable while it loads the new ones.
MOVE_GAIN_FRACTION = 0.1
# Layers with at most this fraction of the median requests are short of memory.
SHORT_FRACTION = 0.6
# A smaller free server is used if it gains at least this fraction of what the best one
# gains, so that the larger one remains for a larger range.
SIMILAR_GAIN_FRACTION = 0.8
# A server that is assigned keeps memory for this fraction of the requests that the
# median holder has memory for. Ranges that are longer gain more on the whole, but the
# next servers then do not fit what remains.
TYPICAL_TOKENS_FRACTION = 0.6
# How often the ranges of several free servers are chosen again. It bounds the time of
# a plan; most do not change any more after the second time.
MAX_REFINEMENTS = 3
# Each choice again measures the whole zone, so that many of them take seconds in a zone
# of a thousand servers.
MAX_REFINED_SERVERS = 64


class ZoneCapacity(NamedTuple):
    """Requests that fit into the holders of each layer, and how many hold it."""

    requests_by_layer: list[float]
    holders_by_layer: list[int]
    first_stages: int


class RangeGain(NamedTuple):
    """A range for one more server, and by how much it lowers the cost."""

    layers: LayerRange
    gain: float


def measure_zone(servers: Iterable[Server], model: ModelProfile) -> ZoneCapacity:
    """Return the capacity of the servers of one zone."""
    requests_by_layer = [0.0] * model.layers
    holders_by_layer = [0] * model.layers
    first_stages = 0
    for server in servers:
        first_stages += server.layers.size > 0 and server.layers.first == 0
        requests = _count_requests(server, server.layers.size, model)
        for layer in range(server.layers.first, min(server.layers.end, model.layers)):
            requests_by_layer[layer] += requests
            holders_by_layer[layer] += 1
    return ZoneCapacity(requests_by_layer, holders_by_layer, first_stages)


def compute_cost(zone: ZoneCapacity, model: ModelProfile) -> float:
    """Return the cost of a plan with this capacity; lower is better."""
    return _compute_slots_cost(zone.first_stages, model) + sum(
        _compute_layer_cost(requests, holders, model.slots)
        for requests, holders in zip(zone.requests_by_layer, zone.holders_by_layer)
    )


def find_best_range(
    server: Server, zone: ZoneCapacity, model: ModelProfile, tokens: float
) -> RangeGain:
    """Return the range of one more server that lowers the cost of a zone most.

    The server keeps memory for this many tokens of requests. The range is empty if that
    leaves none for a layer.
    """
    max_layers = compute_max_layers(server, model, tokens)
    slots_gain = _compute_slots_cost(zone.first_stages, model) - _compute_slots_cost(
        zone.first_stages + 1, model
    )
    # Most layers have the same holders as others, so that their cost is the same.
    capacity_by_layer = list(zip(zone.requests_by_layer, zone.holders_by_layer))
    capacities = list(set(capacity_by_layer))
    index_by_capacity = {capacity: place for place, capacity in enumerate(capacities)}
    index_by_layer = [index_by_capacity[capacity] for capacity in capacity_by_layer]
    costs = [_compute_layer_cost(*capacity, model.slots) for capacity in capacities]
    best = RangeGain(NO_LAYERS, 0.0)
    for size in range(1, min(max_layers, model.layers) + 1):
        added = _count_requests(server, size, model)
        gains = [
            cost - _compute_layer_cost(requests + added, holders + 1, model.slots)
            for (requests, holders), cost in zip(capacities, costs)
        ]
        gain_by_layer = [gains[index] for index in index_by_layer]
        sums = list(itertools.accumulate(gain_by_layer, initial=0.0))
        gain_by_first = [end - start for start, end in zip(sums, sums[size:])]
        gain_by_first[0] += slots_gain
        gain = max(gain_by_first)
        if gain > best.gain:
            first = gain_by_first.index(gain)
            best = RangeGain(LayerRange(first, first + size), gain)
    return best


def assign_free_servers(
    free_servers: list[Server], holders: list[Server], model: ModelProfile
) -> list[Assignment]:
    """Assign free servers to the ranges that lower the cost of a zone most.

    They keep about as much memory for requests as a typical holder. If gaps remain
    then, they hold more layers, beside memory for the target count of requests.
    """
    typical_tokens = compute_typical_tokens(holders, model)
    assignments = _assign_one_by_one(free_servers, holders, model, typical_tokens)
    placed = holders + [
        item.server._replace(layers=item.layers) for item in assignments
    ]
    if min(count_servers_by_layer(placed, model)) > 0:
        return assignments
    return _assign_one_by_one(
        free_servers, holders, model, compute_target_tokens(model)
    )


def compute_typical_tokens(holders: list[Server], model: ModelProfile) -> float:
    """Return the tokens that a further server should have memory for.

    The target count of requests is the least.
    """
    median = statistics.median(
        model.compute_token_capacity(server.memory_mb, server.layers.size)
        for server in holders
    )
    return max(compute_target_tokens(model), TYPICAL_TOKENS_FRACTION * median)


def _assign_one_by_one(
    free_servers: list[Server],
    holders: list[Server],
    model: ModelProfile,
    tokens: float,
) -> list[Assignment]:
    """Assign each free server to the range that gains most beside those before it.

    The server that gains most comes first, or a smaller one that gains about as much. A
    server that is new waits while no layer is short, since it may have been announced
    before the one that it replaces begins to drain.
    """
    remaining = sorted(free_servers, key=lambda item: item.memory_mb)
    zone = measure_zone(holders, model)
    assignments: list[Assignment] = []
    while remaining:
        if not is_short(zone):
            remaining = [server for server in remaining if not server.is_new]
        range_by_memory_mb = {
            memory_mb: find_best_range(server, zone, model, tokens)
            for memory_mb, server in {
                server.memory_mb: server for server in remaining
            }.items()
        }
        best_gain = max(
            (item.gain for item in range_by_memory_mb.values()), default=0.0
        )
        if not best_gain:
            break
        server = next(
            server
            for server in remaining
            if range_by_memory_mb[server.memory_mb].gain
            >= SIMILAR_GAIN_FRACTION * best_gain
        )
        layers = range_by_memory_mb[server.memory_mb].layers
        remaining.remove(server)
        zone = _add_capacity(
            zone, measure_zone([server._replace(layers=layers)], model)
        )
        assignments.append(Assignment(server, layers))
    return _refine(assignments, holders, model, tokens)


def _add_capacity(one: ZoneCapacity, other: ZoneCapacity) -> ZoneCapacity:
    """Return the capacity of the servers of both."""
    return ZoneCapacity(
        [a + b for a, b in zip(one.requests_by_layer, other.requests_by_layer)],
        [a + b for a, b in zip(one.holders_by_layer, other.holders_by_layer)],
        one.first_stages + other.first_stages,
    )


def _refine(
    assignments: list[Assignment],
    holders: list[Server],
    model: ModelProfile,
    tokens: float,
) -> list[Assignment]:
    """Choose each range again beside those of the others, until none changes.

    A server that was assigned to the middle of two adjacent gaps would leave a rest.
    """
    refined = list(assignments)
    is_due = 1 < len(refined) <= MAX_REFINED_SERVERS
    for _ in range(MAX_REFINEMENTS if is_due else 0):
        before = list(refined)
        for index, (server, _) in enumerate(before):
            others = [
                item.server._replace(layers=item.layers)
                for item in refined[:index] + refined[index + 1 :]
            ]
            zone = measure_zone(holders + others, model)
            layers, gain = find_best_range(server, zone, model, tokens)
            if gain:
                refined[index] = Assignment(server, layers)
        if refined == before:
            break
    return refined


def find_move(holders: list[Server], model: ModelProfile) -> list[Assignment]:
    """Return the move of one server that lowers the cost most, if by enough.

    Servers that are loading are not moved and do not count as holders of what a move
    would leave. Each layer that is given up keeps a holder, and at least as many as the
    layers of the move with the fewest holders then have.
    """
    zone = measure_zone(holders, model)
    if not is_short(zone):
        return []
    tokens = (
        compute_typical_tokens(holders, model)
        if min(zone.holders_by_layer) > 0
        else compute_target_tokens(model)
    )
    loaded = [server for server in holders if not server.is_loading]
    loaded_counts = count_servers_by_layer(loaded, model)
    best_cost = compute_cost(zone, model) * (1 - MOVE_GAIN_FRACTION)
    best_move: list[Assignment] = []
    for server in loaded:
        kept = min(loaded_counts[server.layers.first : server.layers.end]) - 1
        if kept < 1:
            continue
        zone_without = measure_zone(
            (item for item in holders if item is not server), model
        )
        layers, gain = find_best_range(server, zone_without, model, tokens)
        cost = compute_cost(zone_without, model) - gain
        holders_before = zone_without.holders_by_layer[layers.first : layers.end]
        if cost < best_cost and kept > min(holders_before, default=kept):
            best_cost = cost
            best_move = [Assignment(server, layers)]
    return best_move


def is_short(zone: ZoneCapacity) -> bool:
    """Return whether a layer has one holder or clearly less memory than the others.

    One first stage is too few as well.
    """
    threshold = SHORT_FRACTION * statistics.median(zone.requests_by_layer)
    return (
        zone.first_stages < 2
        or min(zone.holders_by_layer) < 2
        or min(zone.requests_by_layer) <= threshold
    )


def _compute_layer_cost(requests: float, holders: int, slots: int) -> float:
    if holders == 1:
        requests = SINGLE_HOLDER_FRACTION * min(
            requests, SINGLE_HOLDER_FIRST_STAGES * slots
        )
    return float((1 + requests) ** -3)


def _compute_slots_cost(first_stages: int, model: ModelProfile) -> float:
    return FIRST_STAGE_WEIGHT * _compute_layer_cost(
        first_stages * model.slots, first_stages, model.slots
    )


def _count_requests(server: Server, layers: int, model: ModelProfile) -> float:
    """Return for how many requests a server has memory beside so many layers."""
    tokens = model.compute_token_capacity(server.memory_mb, layers)
    return tokens / count_tokens_per_request(model)


__all__ = [
    "RangeGain",
    "ZoneCapacity",
    "assign_free_servers",
    "compute_cost",
    "compute_typical_tokens",
    "find_best_range",
    "find_move",
    "is_short",
    "measure_zone",
]

"""Partitioning of a model's layers among backend servers, which form pipelines."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from yuccareach.placement.assignments import (
    Assignment,
    LayerRange,
    Server,
    compute_max_layers,
    compute_token_capacity,
    count_servers_by_layer,
    count_tokens_per_request,
    sum_max_layers,
)
from yuccareach.placement.balance import assign_free_servers
from yuccareach.placement.divisions import (
    divide_servers,
    find_most_tokens,
    is_slot_limited,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.table import ModelProfile

# A request waits for the pass that runs on a server before its own starts, which
# multiplies the time of each token by this factor.
QUEUEING_FACTOR = 1.7
# Each server that a pipeline uses is one more that may fail and one spare server less.
# A further server has to raise the request rate by more than this fraction.
SERVER_COST_FRACTION = 0.02
# Pipelines into which the servers of a zone are divided at most. It bounds the time of
# the first plan; each layer then has enough holders for losses and replacements.
MAX_PIPELINES_PER_ZONE = 4


def build_pipelines(
    servers: Iterable[Server], model: ModelProfile
) -> list[list[Assignment]]:
    """Return the pipelines of each zone that can hold the model.

    If no zone can, return one pipeline over all zones, or none if memory is too small
    for that as well.
    """
    ordered = sorted(servers, key=lambda item: (item.zone, item.decode_factor))
    groups = [
        list(group)
        for _, group in itertools.groupby(ordered, key=lambda item: item.zone)
    ]
    pipelines = [
        pipeline for group in groups for pipeline in find_zone_pipelines(group, model)
    ]
    if pipelines:
        return pipelines
    ordered.sort(key=lambda item: item.decode_factor)
    pipeline_over_zones = find_best_pipeline(ordered, model)
    return [pipeline_over_zones] if pipeline_over_zones is not None else []


def find_zone_pipelines(
    servers: list[Server], model: ModelProfile
) -> list[list[Assignment]]:
    """Return the disjoint pipelines of one zone that together serve it best.

    Where slots run out before memory, these are those with the best rate together of
    the divisions that leave no layer with a single holder; else the best pipeline.

    The fastest servers should come first. Return none if all of them together cannot
    hold every layer.
    """
    if not is_slot_limited(servers, model):
        pipeline = find_best_pipeline(servers, model._replace(slots=0))
        return [pipeline] if pipeline is not None else []
    candidates = []
    for count in range(1, MAX_PIPELINES_PER_ZONE + 1):
        pipelines = [
            pipeline
            for group in divide_servers(servers, model, count)
            if (pipeline := find_best_pipeline(group, model)) is not None
        ]
        if len(pipelines) < count:
            break
        candidates.append(pipelines)
    return max(
        candidates,
        key=lambda pipelines: (
            len(pipelines) > 1 or _has_replicas_of_all(servers, pipelines, model),
            sum(_score_pipeline(pipeline, model) for pipeline in pipelines),
        ),
    )


def _has_replicas_of_all(
    servers: list[Server], pipelines: list[list[Assignment]], model: ModelProfile
) -> bool:
    """Return whether replicas on the other servers give each layer two holders."""
    layers_by_name = {
        server.name: layers
        for server, layers in itertools.chain.from_iterable(pipelines)
    }
    holders = [
        server._replace(layers=layers_by_name[server.name])
        for server in servers
        if server.name in layers_by_name
    ]
    free_servers = [
        server._replace(is_new=False)
        for server in servers
        if server.name not in layers_by_name
    ]
    replicas = assign_free_servers(free_servers, holders, model)
    holders += [server._replace(layers=layers) for server, layers in replicas]
    return min(count_servers_by_layer(holders, model)) >= 2


def find_best_pipeline(
    servers: list[Server], model: ModelProfile
) -> list[Assignment] | None:
    """Return the pipeline with the best request rate, after a deduction per server.

    Only the first N servers of the list are tried, for each N, so the fastest should
    come first. Return None if all servers together cannot hold every layer.
    """
    pipelines = [
        _partition_layers(servers[:count], model)
        for count in range(1, len(servers) + 1)
        if sum_max_layers(servers[:count], model, 0) >= model.layers
    ]
    return max(
        pipelines, key=lambda pipeline: _score_pipeline(pipeline, model), default=None
    )


def estimate_request_rate(assignments: list[Assignment], model: ModelProfile) -> float:
    """Return how many typical requests per second a fully used pipeline finishes.

    The stage with the lowest token capacity and the slots of the first stage limit how
    many requests run at a time; they are spread evenly over the stages.
    """
    tokens_per_request = count_tokens_per_request(model)
    requests = _count_requests_in_memory(assignments, model)
    if model.slots:
        requests = min(requests, model.slots)
    batch = requests / len(assignments)
    step_ms = (
        model.step_ms
        + batch * model.step_ms_per_request
        + batch * tokens_per_request / 1000 * model.step_ms_per_kilotoken
    )
    token_ms = sum(
        assignment.server.decode_factor
        * step_ms
        * assignment.layers.size
        / model.layers
        for assignment in assignments
    )
    seconds = QUEUEING_FACTOR * token_ms * max(1, model.typical_answer_tokens) / 1000
    return requests / seconds


def _score_pipeline(assignments: list[Assignment], model: ModelProfile) -> float:
    """Return the request rate of a pipeline after the deduction per server."""
    return estimate_request_rate(assignments, model) * (
        1 - SERVER_COST_FRACTION * len(assignments)
    )


def _count_requests_in_memory(
    assignments: list[Assignment], model: ModelProfile
) -> float:
    """Return for how many typical requests every stage of a pipeline has memory."""
    tokens = min(compute_token_capacity(item, model) for item in assignments)
    return tokens / count_tokens_per_request(model)


def _partition_layers(servers: list[Server], model: ModelProfile) -> list[Assignment]:
    """Assign all layers in the order of the servers, with balanced token capacity."""
    tokens = find_most_tokens(servers, model)
    assignments = []
    layer = 0
    for server in servers:
        end = min(model.layers, layer + compute_max_layers(server, model, tokens))
        if end > layer:
            assignments.append(Assignment(server, LayerRange(layer, end)))
        layer = end
    return assignments


__all__ = [
    "build_pipelines",
    "estimate_request_rate",
    "find_best_pipeline",
    "find_zone_pipelines",
]

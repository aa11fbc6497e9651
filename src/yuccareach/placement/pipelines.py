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
    sum_max_layers,
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


def build_pipelines(
    servers: Iterable[Server], model: ModelProfile
) -> list[list[Assignment]]:
    """Return a pipeline for each zone that can hold the model.

    If no zone can, return one pipeline over all zones, or none if memory is too small
    for that as well.
    """
    ordered = sorted(servers, key=lambda item: (item.zone, item.decode_factor))
    groups = [
        list(group)
        for _, group in itertools.groupby(ordered, key=lambda item: item.zone)
    ]
    pipelines = [
        pipeline
        for group in groups
        if (pipeline := find_best_pipeline(group, model)) is not None
    ]
    if pipelines:
        return pipelines
    ordered.sort(key=lambda item: item.decode_factor)
    pipeline_over_zones = find_best_pipeline(ordered, model)
    return [pipeline_over_zones] if pipeline_over_zones is not None else []


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

    def _score(assignments: list[Assignment]) -> float:
        return estimate_request_rate(assignments, model) * (
            1 - SERVER_COST_FRACTION * len(assignments)
        )

    return max(pipelines, key=_score, default=None)


def estimate_request_rate(assignments: list[Assignment], model: ModelProfile) -> float:
    """Return how many typical requests per second a pipeline with full memory finishes.

    The stage with the lowest token capacity limits how many requests run at a time;
    they are spread evenly over the stages.
    """
    tokens_per_request = max(
        1, model.typical_prompt_tokens + model.typical_answer_tokens
    )
    requests = (
        min(compute_token_capacity(assignment, model) for assignment in assignments)
        / tokens_per_request
    )
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


def _partition_layers(servers: list[Server], model: ModelProfile) -> list[Assignment]:
    """Assign all layers in the order of the servers, with balanced token capacity.

    A bisection finds the most tokens, to within one, that every server can hold beside
    its layers.
    """
    low, high = 0.0, 1.0
    while sum_max_layers(servers, model, high) >= model.layers:
        low, high = high, high * 2
    while high - low > 1:
        middle = (low + high) / 2
        if sum_max_layers(servers, model, middle) >= model.layers:
            low = middle
        else:
            high = middle
    assignments = []
    layer = 0
    for server in servers:
        end = min(model.layers, layer + compute_max_layers(server, model, low))
        if end > layer:
            assignments.append(Assignment(server, LayerRange(layer, end)))
        layer = end
    return assignments


__all__ = ["build_pipelines", "estimate_request_rate", "find_best_pipeline"]

"""Dividing a model among the backend servers of an availability zone."""

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

# Requests wait for the pass that is running before their own begins.
WAIT_FACTOR = 1.7
# Each further server is one more that may be lost, and one less to step in: it has to
# raise the rate by more than this part.
SERVER_COST = 0.02


def build_pipelines(
    servers: Iterable[Server], model: ModelProfile
) -> list[list[Assignment]]:
    """Form a pipeline in each zone that can hold one, else one over all zones."""
    ordered = sorted(servers, key=lambda item: (item.zone, item.decode_factor))
    groups = [
        list(group)
        for _, group in itertools.groupby(ordered, key=lambda item: item.zone)
    ]
    pipelines = [
        pipeline
        for group in groups
        if (pipeline := best_pipeline(group, model)) is not None
    ]
    if pipelines:
        return pipelines
    ordered.sort(key=lambda item: item.decode_factor)
    whole = best_pipeline(ordered, model)
    return [whole] if whole is not None else []


def best_pipeline(
    servers: list[Server], model: ModelProfile
) -> list[Assignment] | None:
    """Return the pipeline of the fastest servers that finishes most requests."""
    pipelines = [
        _divide(servers[:count], model)
        for count in range(1, len(servers) + 1)
        if sum_max_layers(servers[:count], model, 0) >= model.layers
    ]

    def _value(assignments: list[Assignment]) -> float:
        return request_rate(assignments, model) * (1 - SERVER_COST * len(assignments))

    return max(pipelines, key=_value, default=None)


def request_rate(assignments: list[Assignment], model: ModelProfile) -> float:
    """Return how many usual requests a pipeline finishes in a second, memory full."""
    usual = max(1, model.usual_prompt_tokens + model.usual_answer_tokens)
    requests = (
        min(compute_token_capacity(assignment, model) for assignment in assignments)
        / usual
    )
    batch = requests / len(assignments)
    step_ms = (
        model.step_ms
        + batch * model.step_ms_per_request
        + batch * usual / 1000 * model.step_ms_per_kilotoken
    )
    token_ms = sum(
        assignment.server.decode_factor
        * step_ms
        * assignment.layers.size
        / model.layers
        for assignment in assignments
    )
    seconds = WAIT_FACTOR * token_ms * max(1, model.usual_answer_tokens) / 1000
    return requests / seconds


def _divide(servers: list[Server], model: ModelProfile) -> list[Assignment]:
    """Give the layers out so that every stage has room for as many tokens."""
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


__all__ = ["best_pipeline", "build_pipelines", "request_rate"]

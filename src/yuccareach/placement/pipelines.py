"""Dividing a model among the backend servers of an availability zone."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from yuccareach.placement.moves import (
    LayerRange,
    Move,
    Server,
    capacity,
    layers_within,
    room_tokens,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.table import ModelProfile

# Requests wait for the pass that is running before their own begins.
WAIT_FACTOR = 1.7
# Each further server is one more that may be lost, and one less to step in: it has to
# raise the rate by more than this part.
SERVER_COST = 0.02


def build_pipelines(servers: Iterable[Server], model: ModelProfile) -> list[list[Move]]:
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


def best_pipeline(servers: list[Server], model: ModelProfile) -> list[Move] | None:
    """Return the pipeline of the fastest servers that finishes most requests."""
    pipelines = [
        _divide(servers[:count], model)
        for count in range(1, len(servers) + 1)
        if capacity(servers[:count], model, 0) >= model.layers
    ]

    def _value(moves: list[Move]) -> float:
        return request_rate(moves, model) * (1 - SERVER_COST * len(moves))

    return max(pipelines, key=_value, default=None)


def request_rate(moves: list[Move], model: ModelProfile) -> float:
    """Return how many usual requests a pipeline finishes in a second, memory full."""
    usual = max(1, model.typical_prompt_tokens + model.typical_answer_tokens)
    requests = min(room_tokens(move, model) for move in moves) / usual
    batch = requests / len(moves)
    step_ms = (
        model.step_ms
        + batch * model.step_ms_per_request
        + batch * usual / 1000 * model.step_ms_per_kilotoken
    )
    token_ms = sum(
        move.server.decode_factor * step_ms * move.layers.size / model.layers
        for move in moves
    )
    seconds = WAIT_FACTOR * token_ms * max(1, model.typical_answer_tokens) / 1000
    return requests / seconds


def _divide(servers: list[Server], model: ModelProfile) -> list[Move]:
    """Give the layers out so that every stage has room for as many tokens."""
    low, high = 0.0, 1.0
    while capacity(servers, model, high) >= model.layers:
        low, high = high, high * 2
    while high - low > 1:
        middle = (low + high) / 2
        if capacity(servers, model, middle) >= model.layers:
            low = middle
        else:
            high = middle
    moves = []
    layer = 0
    for server in servers:
        end = min(model.layers, layer + layers_within(server, model, low))
        if end > layer:
            moves.append(Move(server, LayerRange(layer, end)))
        layer = end
    return moves


__all__ = ["best_pipeline", "build_pipelines", "request_rate"]

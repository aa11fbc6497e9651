"""Deciding which backend server holds which layers of a model.

A fresh fleet is divided into pipelines: each takes the fastest accelerators that leave
room for enough requests beside the layers. From then on ranges stay where they are, and
only holes in the coverage are filled, so that few weights are loaded.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.table import ModelProfile

# Usual requests that a pipeline must have memory for, beside its layers.
REQUESTS_PER_PIPELINE = 24
# What is left over after the good pipelines may form one with this part of the room.
LEAN_PART = 0.4


class Server(NamedTuple):
    """A backend server that may hold layers."""

    name: str
    incarnation: str
    zone: str
    memory_mb: float
    decode_factor: float
    held: LayerRange


class LayerRange(NamedTuple):
    """Layers from first up to end; empty where they are equal."""

    first: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return max(0, self.end - self.first)


NO_LAYERS = LayerRange(0, 0)


class Move(NamedTuple):
    """A backend server is to hold a range in place of what it holds."""

    server: Server
    layers: LayerRange


def plan(servers: list[Server], model: ModelProfile) -> list[Move]:
    """Return what has to change; servers that drain must not be among them."""
    if not any(server.held.size for server in servers):
        return [
            move for pipeline in build_pipelines(servers, model) for move in pipeline
        ]
    return fill_holes(servers, model)


# A fresh fleet.


def build_pipelines(servers: Iterable[Server], model: ModelProfile) -> list[list[Move]]:
    """Divide servers into pipelines, each within one availability zone if possible."""
    ordered = sorted(servers, key=lambda item: (item.zone, item.decode_factor))
    wanted = wanted_tokens(model)
    pipelines: list[list[Move]] = []
    left: list[Server] = []
    for _, group in itertools.groupby(ordered, key=lambda item: item.zone):
        built, rest = _take_pipelines(list(group), model, wanted)
        pipelines += built
        left += rest
    for tokens in (wanted, wanted * LEAN_PART):
        left.sort(key=lambda item: item.decode_factor)
        built, left = _take_pipelines(left, model, tokens)
        pipelines += built
    if not pipelines:
        pipelines, _ = _take_pipelines(left, model, 0)
    return pipelines


def wanted_tokens(model: ModelProfile) -> float:
    """Return the tokens that every stage of a pipeline should have room for."""
    usual = model.usual_prompt_tokens + model.usual_answer_tokens
    return REQUESTS_PER_PIPELINE * usual


def _take_pipelines(
    servers: list[Server], model: ModelProfile, tokens: float
) -> tuple[list[list[Move]], list[Server]]:
    """Cut pipelines off the front of a list; returns them and what is left."""
    pipelines: list[list[Move]] = []
    left = list(servers)
    while True:
        count = next(
            (
                count
                for count in range(1, len(left) + 1)
                if _capacity(left[:count], model, tokens) >= model.layers
            ),
            None,
        )
        if count is None:
            return pipelines, left
        pipelines.append(_divide(left[:count], model, tokens))
        left = left[count:]


def layers_within(server: Server, model: ModelProfile, tokens: float) -> int:
    """Return how many layers fit beside requests of so many tokens."""
    return int(server.memory_mb / (model.layer_mb + tokens * model.token_layer_mb))


def _capacity(servers: list[Server], model: ModelProfile, tokens: float) -> int:
    return sum(layers_within(server, model, tokens) for server in servers)


def _divide(servers: list[Server], model: ModelProfile, tokens: float) -> list[Move]:
    """Give the layers out so that every stage has room for as many tokens."""
    low, high = tokens, tokens + 1
    while _capacity(servers, model, high) >= model.layers:
        low, high = high, high * 2
    while high - low > 1:
        middle = (low + high) / 2
        if _capacity(servers, model, middle) >= model.layers:
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


# A fleet in use.


def coverage(servers: Iterable[Server], model: ModelProfile) -> list[int]:
    """Return how many servers hold each layer."""
    counts = [0] * model.layers
    for server in servers:
        for layer in range(server.held.first, min(server.held.end, model.layers)):
            counts[layer] += 1
    return counts


def fill_holes(servers: list[Server], model: ModelProfile) -> list[Move]:
    """Give the least covered layers to servers that hold none.

    Where a layer is held by nobody and no server is free, one whose layers others hold
    as well is moved.
    """
    counts = coverage(servers, model)
    free = sorted(
        (server for server in servers if not server.held.size),
        key=lambda server: server.decode_factor,
    )
    moves: list[Move] = []
    while min(counts) < max(counts):
        hole = _widest_hole(counts)
        server = _pick_free(free, hole, model)
        if server is None:
            break
        free.remove(server)
        moves.append(_cover(server, hole, model, counts))
    while min(counts) == 0:
        donor = _pick_donor(servers, counts, {move.server.name for move in moves})
        if donor is None:
            break
        for layer in range(donor.held.first, donor.held.end):
            counts[layer] -= 1
        moves.append(_cover(donor, _widest_hole(counts), model, counts))
    return moves


def _cover(
    server: Server, hole: LayerRange, model: ModelProfile, counts: list[int]
) -> Move:
    most = max(1, layers_within(server, model, wanted_tokens(model)))
    layers = LayerRange(hole.first, min(hole.end, hole.first + most))
    for layer in range(layers.first, layers.end):
        counts[layer] += 1
    return Move(server, layers)


def _widest_hole(counts: list[int]) -> LayerRange:
    """Return the longest run of the least covered layers."""
    least = min(counts)
    runs = []
    first = 0
    for is_least, group in itertools.groupby(counts, key=lambda count: count == least):
        size = len(list(group))
        if is_least:
            runs.append(LayerRange(first, first + size))
        first += size
    return max(runs, key=lambda run: run.size)


def _pick_free(
    free: list[Server], hole: LayerRange, model: ModelProfile
) -> Server | None:
    """Return the slowest free server that covers a hole alone, or the largest."""
    tokens = wanted_tokens(model)
    whole = [item for item in free if layers_within(item, model, tokens) >= hole.size]
    if whole:
        return whole[-1]
    return max(free, key=lambda item: item.memory_mb, default=None)


def _pick_donor(
    servers: list[Server], counts: list[int], moved: set[str]
) -> Server | None:
    """Return the slowest server whose layers are all held by others as well."""
    donors = [
        server
        for server in servers
        if server.held.size
        and server.name not in moved
        and min(counts[server.held.first : server.held.end], default=0) > 1
    ]
    return max(donors, key=lambda server: server.decode_factor, default=None)


__all__ = [
    "NO_LAYERS",
    "LayerRange",
    "Move",
    "Server",
    "build_pipelines",
    "coverage",
    "fill_holes",
    "layers_within",
    "plan",
    "wanted_tokens",
]

"""Deciding which backend server holds which layers of a model.

A fresh fleet is divided into one pipeline for each availability zone, since a hop to
another zone carries every token's activations over a link that all requests share. A
pipeline takes the fastest accelerators of its zone, as many as pay off in requests
finished in a second; the others stay free, to step in where one is lost. From then on
ranges stay where they are, and only holes in the coverage are filled, so that few
weights are loaded.
"""

from __future__ import annotations

import itertools
import math
import statistics
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.table import ModelProfile

# Usual requests that a server which fills a hole keeps memory for, beside its layers.
REQUESTS_PER_STAGE = 24
# Requests wait for the pass that is running before their own begins.
WAIT_FACTOR = 1.7
# Each further server is one more that may be lost, and one less to step in: it has to
# raise the rate by more than this part.
SERVER_COST = 0.02
# A replica has room for this part of what the stages beside it have.
REPLICA_PART = 0.5
# Room that differs by less than this factor is about the same.
ABOUT = 1.2
# Layers with less than this part of the usual room hold the whole pipeline back.
WEAK_PART = 0.6


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


def plan(
    servers: list[Server], model: ModelProfile, *, divide_anew: bool = False
) -> list[Move]:
    """Return what has to change; servers that drain must not be among them.

    With divide_anew, a zone whose holes cannot be closed is divided as a fresh one,
    which loads many weights.
    """
    if not any(server.held.size for server in servers):
        return _place_fresh(servers, model)
    return fill_holes(servers, model, divide_anew=divide_anew)


# A fresh fleet.


def _place_fresh(servers: list[Server], model: ModelProfile) -> list[Move]:
    """Place pipelines and replicas at once, while loads are quick."""
    moves = [move for pipeline in build_pipelines(servers, model) for move in pipeline]
    layers_by_name = {move.server.name: move.layers for move in moves}
    placed = [
        server._replace(held=layers_by_name.get(server.name, server.held))
        for server in servers
    ]
    if not moves:
        return []
    return moves + fill_holes(placed, model, divide_anew=False)


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
        if _capacity(servers[:count], model, 0) >= model.layers
    ]

    def _value(moves: list[Move]) -> float:
        return request_rate(moves, model) * (1 - SERVER_COST * len(moves))

    return max(pipelines, key=_value, default=None)


def request_rate(moves: list[Move], model: ModelProfile) -> float:
    """Return how many usual requests a pipeline finishes in a second, memory full."""
    usual = max(1, model.usual_prompt_tokens + model.usual_answer_tokens)
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
    seconds = WAIT_FACTOR * token_ms * max(1, model.usual_answer_tokens) / 1000
    return requests / seconds


def room_tokens(move: Move, model: ModelProfile) -> float:
    """Return the tokens of requests that fit beside the layers of a move."""
    free_mb = move.server.memory_mb - move.layers.size * model.layer_mb
    return max(0.0, free_mb / (model.token_layer_mb * max(1, move.layers.size)))


def wanted_tokens(model: ModelProfile) -> float:
    """Return the tokens that a server which fills a hole should have room for."""
    usual = model.usual_prompt_tokens + model.usual_answer_tokens
    return REQUESTS_PER_STAGE * usual


def layers_within(server: Server, model: ModelProfile, tokens: float) -> int:
    """Return how many layers fit beside requests of so many tokens."""
    return int(server.memory_mb / (model.layer_mb + tokens * model.token_layer_mb))


def _capacity(servers: list[Server], model: ModelProfile, tokens: float) -> int:
    return sum(layers_within(server, model, tokens) for server in servers)


def _divide(servers: list[Server], model: ModelProfile) -> list[Move]:
    """Give the layers out so that every stage has room for as many tokens."""
    low, high = 0.0, 1.0
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


def fill_holes(
    servers: list[Server], model: ModelProfile, *, divide_anew: bool
) -> list[Move]:
    """Close the pipelines of all zones, or at least one that spans them."""
    by_zone: dict[str, list[Server]] = {}
    for server in servers:
        by_zone.setdefault(server.zone, []).append(server)
    moves = [
        move
        for group in by_zone.values()
        for move in _fill_zone(group, model, divide_anew=divide_anew)
    ]
    return moves or _fill_anywhere(servers, model)


def _fill_zone(
    servers: list[Server], model: ModelProfile, *, divide_anew: bool
) -> list[Move]:
    """Cover the layers that nobody holds in one zone, by free servers or neighbours."""
    holders = [server for server in servers if server.held.size]
    if not holders:
        return best_pipeline(servers, model) or []
    counts = coverage(servers, model)
    free = sorted(
        (server for server in servers if not server.held.size),
        key=lambda server: server.decode_factor,
    )
    if min(counts) > 0:
        return _reinforce(free, holders, model)
    hole = _widest_hole(counts)
    free += _redundant(holders, counts)
    if free:
        return _cover_by_free(free, hole, holders, model)
    moves = _extend_neighbours(servers, hole, model)
    if not moves and divide_anew:
        moves = best_pipeline(servers, model) or []
    return moves


def _redundant(holders: list[Server], counts: list[int]) -> list[Server]:
    """Return servers that may leave their layers to others, the slowest first."""
    left = list(counts)
    chosen = []
    for server in sorted(holders, key=lambda item: -item.decode_factor):
        layers = range(server.held.first, server.held.end)
        if min(left[layer] for layer in layers) > 1:
            chosen.append(server)
            for layer in layers:
                left[layer] -= 1
    return chosen


def _reinforce(
    free: list[Server], holders: list[Server], model: ModelProfile
) -> list[Move]:
    """Let free servers hold the layers with least room as well, the last ones first.

    They take over where a stage is lost, until its layers are loaded elsewhere. The
    first stage of a stream cannot be replaced, so that its layers come last.
    """
    if not free:
        return _rebalance(holders, model)
    room = _room_by_layer(holders, model)
    tokens = max(wanted_tokens(model), REPLICA_PART * statistics.median(room))
    first_missing = _first_stages_wanted(room, model) - sum(
        server.held.first == 0 for server in holders
    )
    moves = []
    for server in reversed(free):
        if first_missing > 0:
            first_missing -= 1
            most = layers_within(server, model, statistics.median(room))
            move = Move(server, LayerRange(0, max(1, most)))
        else:
            weak = _weakest_run(room)
            most = max(1, layers_within(server, model, tokens))
            move = Move(server, LayerRange(max(weak.first, weak.end - most), weak.end))
        moves.append(move)
        for layer in range(move.layers.first, move.layers.end):
            room[layer] += room_tokens(move, model)
    return moves


def _first_stages_wanted(room: list[float], model: ModelProfile) -> int:
    """Return how many servers have to hold the first layer.

    A stream takes a slot of its first stage, and slots may run out before memory does.
    """
    usual = max(1, model.usual_prompt_tokens + model.usual_answer_tokens)
    return math.ceil(statistics.median(room) / usual / max(1, model.slots))


def _room_by_layer(holders: list[Server], model: ModelProfile) -> list[float]:
    """Return the tokens of requests that all holders of each layer have room for."""
    room = [0.0] * model.layers
    for server in holders:
        for layer in range(server.held.first, min(server.held.end, model.layers)):
            room[layer] += room_tokens(Move(server, server.held), model)
    return room


def _weakest_run(room: list[float]) -> LayerRange:
    """Return the longest run of layers whose room is about the least."""
    bound = min(room) * ABOUT
    return _widest_hole([0 if tokens <= bound else 1 for tokens in room])


def _rebalance(holders: list[Server], model: ModelProfile) -> list[Move]:
    """Move one server from layers with room to spare to those that hold others back."""
    room = _room_by_layer(holders, model)
    weak = _weakest_run(room)
    least = room[weak.first]
    if least > WEAK_PART * statistics.median(room):
        return []
    for server in sorted(holders, key=lambda item: item.decode_factor):
        own = room_tokens(Move(server, server.held), model)
        held = range(server.held.first, server.held.end)
        spared = min(room[layer] for layer in held) - own
        moved = Move(server, weak)
        fits = weak.size <= layers_within(server, model, max(least, 1.0))
        apart = server.held.end <= weak.first or weak.end <= server.held.first
        if fits and apart and spared > ABOUT * (least + room_tokens(moved, model)) / 2:
            return [moved]
    return []


def _cover_by_free(
    free: list[Server], hole: LayerRange, holders: list[Server], model: ModelProfile
) -> list[Move]:
    """Divide a hole among free servers, enough to leave as much room as the others.

    What they cannot cover remains a hole.
    """
    wanted = min(room_tokens(Move(item, item.held), model) for item in holders)
    tokens = max(wanted, wanted_tokens(model))
    count = next(
        (
            count
            for count in range(1, len(free) + 1)
            if _capacity(free[:count], model, tokens) >= hole.size
        ),
        len(free),
    )
    chosen = free[:count]
    if _capacity(chosen, model, tokens) < hole.size:
        tokens = min(tokens, wanted_tokens(model))
    moves = []
    first = hole.first
    for server in chosen:
        most = max(1, layers_within(server, model, tokens))
        end = min(hole.end, first + most)
        if end > first:
            moves.append(Move(server, LayerRange(first, end)))
        first = end
    return moves


def _extend_neighbours(
    servers: list[Server], hole: LayerRange, model: ModelProfile
) -> list[Move]:
    """Let the servers on both sides of a hole hold its layers as well, if they can."""

    def _spare(server: Server) -> int:
        most = layers_within(server, model, wanted_tokens(model))
        return max(0, most - server.held.size)

    before = [
        server
        for server in servers
        if server.held.size and server.held.end == hole.first
    ]
    after = [
        server
        for server in servers
        if server.held.size and server.held.first == hole.end
    ]
    left = max(before, key=_spare, default=None)
    right = max(after, key=_spare, default=None)
    left_most = _spare(left) if left else 0
    right_most = _spare(right) if right else 0
    if left_most + right_most < hole.size:
        return []
    share = hole.size * left_most // (left_most + right_most)
    cut = hole.first + min(left_most, max(share, hole.size - right_most))
    moves = []
    if left is not None and cut > hole.first:
        moves.append(Move(left, LayerRange(left.held.first, cut)))
    if right is not None and cut < hole.end:
        moves.append(Move(right, LayerRange(cut, right.held.end)))
    return moves


def _fill_anywhere(servers: list[Server], model: ModelProfile) -> list[Move]:
    """Cover layers that nobody holds in any zone, by free servers or by moving one."""
    counts = coverage(servers, model)
    free = [server for server in servers if not server.held.size]
    moves: list[Move] = []
    while min(counts) == 0:
        hole = _widest_hole(counts)
        server = _pick_free(free, hole, model)
        if server is not None:
            free.remove(server)
        else:
            server = _pick_donor(servers, counts, {move.server.name for move in moves})
            if server is None:
                break
            for layer in range(server.held.first, server.held.end):
                counts[layer] -= 1
            hole = _widest_hole(counts)
        moves.append(_cover(server, hole, model, counts))
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
    "best_pipeline",
    "build_pipelines",
    "coverage",
    "fill_holes",
    "layers_within",
    "plan",
    "request_rate",
    "room_tokens",
    "wanted_tokens",
]

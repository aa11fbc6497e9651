"""Layers held a second time, and moves to layers that lack room."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

from yuccareach.placement.moves import (
    LayerRange,
    Move,
    Server,
    layers_within,
    room_tokens,
    wanted_tokens,
)
from yuccareach.placement.runs import longest_run

if TYPE_CHECKING:
    from yuccareach.gateway.table import ModelProfile

# A replica has room for this part of what the stages beside it have.
REPLICA_PART = 0.5
# Room that differs by less than this factor is about the same.
ABOUT = 1.2
# Layers with less than this part of the usual room hold the whole pipeline back.
WEAK_PART = 0.6


def reinforce(
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
    usual = max(1, model.typical_prompt_tokens + model.typical_answer_tokens)
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
    return longest_run([0 if tokens <= bound else 1 for tokens in room])


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


__all__ = ["reinforce"]

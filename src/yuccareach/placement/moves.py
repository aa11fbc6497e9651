"""Backend servers that hold layers, and changes of what they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.table import ModelProfile

# Usual requests that a server which fills a hole keeps memory for, beside its layers.
REQUESTS_PER_STAGE = 24


class LayerRange(NamedTuple):
    """Layers from first up to end; empty where they are equal."""

    first: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return max(0, self.end - self.first)


NO_LAYERS = LayerRange(0, 0)


class Server(NamedTuple):
    """A backend server that may hold layers."""

    name: str
    incarnation: str
    zone: str
    memory_mb: float
    decode_factor: float
    held: LayerRange


class Move(NamedTuple):
    """A backend server is to hold a range in place of what it holds."""

    server: Server
    layers: LayerRange


def room_tokens(move: Move, model: ModelProfile) -> float:
    """Return the tokens of requests that fit beside the layers of a move."""
    return model.compute_token_capacity(move.server.memory_mb, move.layers.size)


def wanted_tokens(model: ModelProfile) -> float:
    """Return the tokens that a server which fills a hole should have room for."""
    usual = model.typical_prompt_tokens + model.typical_answer_tokens
    return REQUESTS_PER_STAGE * usual


def layers_within(server: Server, model: ModelProfile, tokens: float) -> int:
    """Return how many layers fit beside requests of so many tokens."""
    return model.compute_max_layers(server.memory_mb, tokens)


def capacity(servers: list[Server], model: ModelProfile, tokens: float) -> int:
    """Return how many layers servers hold beside requests of so many tokens."""
    return sum(layers_within(server, model, tokens) for server in servers)


def coverage(servers: Iterable[Server], model: ModelProfile) -> list[int]:
    """Return how many servers hold each layer."""
    counts = [0] * model.layers
    for server in servers:
        for layer in range(server.held.first, min(server.held.end, model.layers)):
            counts[layer] += 1
    return counts


__all__ = [
    "NO_LAYERS",
    "LayerRange",
    "Move",
    "Server",
    "capacity",
    "coverage",
    "layers_within",
    "room_tokens",
    "wanted_tokens",
]

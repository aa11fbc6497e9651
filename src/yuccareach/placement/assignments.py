"""Backend servers, ranges of layers, and how many layers and tokens fit into memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.table import ModelProfile

# Typical requests for which a server that covers missing layers should have memory
# left beside the weights.
TARGET_REQUEST_COUNT = 24


class LayerRange(NamedTuple):
    """Layers [first, end); the range is empty where both are equal."""

    first: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return max(0, self.end - self.first)


NO_LAYERS = LayerRange(0, 0)


class Server(NamedTuple):
    """A backend server that may load layers.

    Layers are those that it has loaded, or those that it has been ordered to load.
    The decode factor multiplies the model's decode times: a higher one is slower. A
    server that is loading has been ordered to load its layers and serves none yet. One
    that is new may be meant to replace a server that has not begun to drain.
    """

    name: str
    incarnation: str
    zone: str
    memory_mb: float
    decode_factor: float
    layers: LayerRange
    is_loading: bool = False
    is_new: bool = False


class Assignment(NamedTuple):
    """A range of layers that a backend server is to hold instead of its current one."""

    server: Server
    layers: LayerRange


def compute_token_capacity(assignment: Assignment, model: ModelProfile) -> float:
    """Return how many tokens of requests fit into memory beside the assigned layers."""
    return model.compute_token_capacity(
        assignment.server.memory_mb, assignment.layers.size
    )


def count_tokens_per_request(model: ModelProfile) -> int:
    """Return the tokens of a typical request, at least one."""
    return max(1, model.typical_prompt_tokens + model.typical_answer_tokens)


def compute_target_tokens(model: ModelProfile) -> float:
    """Return the token capacity that a server covering missing layers should keep."""
    return TARGET_REQUEST_COUNT * count_tokens_per_request(model)


def compute_max_layers(server: Server, model: ModelProfile, tokens: float) -> int:
    """Return how many layers fit into memory beside this many tokens of requests."""
    return model.compute_max_layers(server.memory_mb, tokens)


def sum_max_layers(servers: list[Server], model: ModelProfile, tokens: float) -> int:
    """Return how many layers fit into all servers, each with this many tokens."""
    return sum(compute_max_layers(server, model, tokens) for server in servers)


def count_servers_by_layer(servers: Iterable[Server], model: ModelProfile) -> list[int]:
    """Return for each layer how many servers hold it."""
    counts = [0] * model.layers
    for server in servers:
        for layer in range(server.layers.first, min(server.layers.end, model.layers)):
            counts[layer] += 1
    return counts


__all__ = [
    "NO_LAYERS",
    "Assignment",
    "LayerRange",
    "Server",
    "compute_max_layers",
    "compute_target_tokens",
    "compute_token_capacity",
    "count_servers_by_layer",
    "count_tokens_per_request",
    "sum_max_layers",
]

"""Chains of backend servers that run every layer of a model once and in order.

Each request gets the chain with the lowest cost over servers that have capacity for the
request. The cost of a server is its time for a token, raised as its memory fills, so
that fast servers are preferred until they are full.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.slowdowns import SLOWDOWN_THRESHOLD

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.table import ModelProfile

# Cost of a hop beside the delay between availability zones: each further server is one
# more to wait for, and one more that can fail.
HOP_COST_MS = 0.5
# Traffic between the entry and a first stage in another zone is expensive. It is
# counted as delay, so that the pipeline of the entry's own zone is used until that
# pipeline is much fuller than the others.
REMOTE_ENTRY_COST_MS = 8.0
# Cost of a server that failed recently; higher than any chain without such a server.
AVOIDED_BACKEND_COST_MS = 1_000.0
# Cost of a slow server, multiplied by its slowdown. Every request of a chain waits for
# the slowest server, so a slow one is used only if no other server has capacity.
SLOW_BACKEND_COST_MS = 50.0
# Cost of a first stage that a request with a suspect prompt part would share with other
# requests; less than that of a server that failed.
SHARED_SUSPECT_COST_MS = 500.0
# Fraction of a stage's memory that may be allocated. The rest is kept for requests that
# other entries have sent since their last report and for answers that are longer than
# expected.
MAX_MEMORY_UTILIZATION = 0.85
# A full server costs this many times its token time more than an empty one.
UTILIZATION_COST_FACTOR = 4.0
# A link between zones carries the transfers of all requests one after another, so each
# transfer is counted as this many times its own duration.
SHARED_LINK_FACTOR = 200.0
# Streams of all entries together that may wait for their first event at one first
# stage, and those of one entry. Prompts are processed one after another, some
# milliseconds each, so more streams would only delay all of them past their objective.
MAX_STARTING_STREAMS = 35
MAX_OWN_STARTING_STREAMS = 5
# More may wait at a first stage that processes this many prompts within that fraction
# of the objective, which is 35 for prompts of 5 ms and an objective of 0.5 s. The first
# event may take much longer than the prompt at the first stage. In the replay of a
# burst with first events after 0.45 s, and prompts of 1.6 ms, 70 served 529 of 595
# requests of priority 1 on time, and 35 served 494. With 38 entries and first events
# after 0.12 s, more than 70 made servers refuse more requests.
MAX_STARTING_FRACTION = 0.35
MAX_STARTING_STREAMS_OF_FAST_STAGE = 70
# Fraction of a first stage's slots that may be allocated, for the same reason.
MAX_SLOT_UTILIZATION = 0.92
# Additional cost of a first stage with all slots taken over one with all slots free.
FULL_SLOTS_COST_MS = 10.0
# Decode factor of an accelerator kind that the model profile does not list.
DEFAULT_DECODE_FACTOR = 16.0


class ChainStage(NamedTuple):
    """A backend server's part of a chain: layers from first up to end."""

    backend: Backend
    first_layer: int
    end_layer: int

    @property
    def layer_fraction(self) -> float:
        """The fraction of the backend server's loaded layers that the chain uses."""
        return (self.end_layer - self.first_layer) / max(
            1, _count_loaded_layers(self.backend)
        )


class Chain(NamedTuple):
    """Stages that cover all layers without overlap, and their time for a token."""

    stages: tuple[ChainStage, ...]
    token_ms: float


class LayerGraph(NamedTuple):
    """The paths through the layers of a model that a set of servers allows."""

    # Layers at which a chain may change from one server to another, in order.
    boundaries: tuple[int, ...]
    # By index of a boundary, the servers that have loaded the layer that starts there.
    backends_by_boundary: tuple[tuple[Backend, ...], ...]
    # Zones whose servers together have loaded every layer.
    complete_zones: frozenset[str]
    # Number of layers that no server has loaded.
    uncovered_layers: int


class ChainRequirements(NamedTuple):
    """What a chain for one request has to meet."""

    # Availability zone of the entry.
    zone: str
    # Tokens that the request is expected to hold at its end.
    tokens: int
    now_s: float
    # Incarnations of backend servers that must not take part.
    excluded_incarnations: frozenset[str] = frozenset()
    # Whether adjacent stages may be in different zones.
    cross_zone_allowed: bool = True
    # Whether the request should start where it runs apart from others.
    runs_apart: bool = False
    # Streams of this entry that may start at one first stage at a time.
    max_starting_streams: int = MAX_OWN_STARTING_STREAMS
    # Entries that share the first stages, or 0 if unknown, and the objective for the
    # first event.
    entry_count: int = 0
    objective_s: float = 0.0
    # Fraction of each server's memory and slots that it leaves free for others. The
    # memory of a server without requests is used up to MAX_MEMORY_UTILIZATION.
    headroom_fraction: float = 0.0


def _count_loaded_layers(backend: Backend) -> int:
    return backend.announcement.end_layer - backend.announcement.first_layer


def compute_starting_limit(
    entry_count: int, max_streams: int = MAX_STARTING_STREAMS
) -> int:
    """Return how many streams of one entry may start at one first stage at a time.

    max_streams is the limit of all entries together. A burst that each of 70 entries
    let in up to a limit of its own put 350 prompts into the queue of one first stage,
    and all of their first events were late.
    """
    share = math.ceil(max_streams / max(1, entry_count))
    return min(MAX_OWN_STARTING_STREAMS, share)


def compute_max_starting_streams(
    backend: Backend, model: ModelProfile, objective_s: float
) -> int:
    """Return how many streams of all entries may start at one first stage at a time."""
    accelerator = model.accelerator_by_kind.get(backend.announcement.kind)
    if accelerator is None or model.prefill_tokens_per_s <= 0:
        return MAX_STARTING_STREAMS
    prompt_s = (
        accelerator.prefill_factor
        * model.typical_prompt_tokens
        / model.prefill_tokens_per_s
        * _count_loaded_layers(backend)
        / model.layers
    )
    if prompt_s <= 0:
        return MAX_STARTING_STREAMS
    fitting_prompts = int(MAX_STARTING_FRACTION * objective_s / prompt_s)
    return max(
        MAX_STARTING_STREAMS, min(MAX_STARTING_STREAMS_OF_FAST_STAGE, fitting_prompts)
    )


def build_graph(backends: Iterable[Backend], model: ModelProfile) -> LayerGraph:
    """Return the graph of the servers that have loaded any layers."""
    loaded_backends = [
        backend for backend in backends if _count_loaded_layers(backend) > 0
    ]
    layer_bounds = {0, model.layers}
    layer_bounds |= {backend.announcement.first_layer for backend in loaded_backends}
    layer_bounds |= {backend.announcement.end_layer for backend in loaded_backends}
    boundaries = tuple(
        sorted(boundary for boundary in layer_bounds if boundary <= model.layers)
    )
    backends_by_boundary = tuple(
        tuple(
            backend
            for backend in loaded_backends
            if backend.announcement.first_layer
            <= boundary
            < backend.announcement.end_layer
        )
        for boundary in boundaries
    )
    zones = [
        {backend.announcement.zone for backend in at_boundary}
        for at_boundary in backends_by_boundary[:-1]
    ]
    uncovered_layers = sum(
        following - boundary
        for (boundary, following), at_boundary in zip(
            itertools.pairwise(boundaries), backends_by_boundary, strict=False
        )
        if not at_boundary
    )
    return LayerGraph(
        boundaries,
        backends_by_boundary,
        frozenset(set.intersection(*zones)),
        uncovered_layers,
    )


def compute_token_capacity(backend: Backend, model: ModelProfile) -> int:
    """Return how many tokens of requests fit into memory beside the loaded layers."""
    accelerator = model.accelerator_by_kind.get(backend.announcement.kind)
    layers = _count_loaded_layers(backend)
    if accelerator is None or layers <= 0:
        return 0
    return int(model.compute_token_capacity(accelerator.memory_mb, layers))


def compute_utilization(backend: Backend, model: ModelProfile, tokens: float) -> float:
    """Return the fraction of a server's token capacity in use after adding tokens."""
    used = backend.reserved_tokens + backend.reserved_tokens_elsewhere + tokens
    return used / max(1, compute_token_capacity(backend, model))


def estimate_layer_ms(backend: Backend, model: ModelProfile) -> float:
    """Return the time of one layer for one token on an idle server."""
    accelerator = model.accelerator_by_kind.get(backend.announcement.kind)
    factor = accelerator.decode_factor if accelerator else DEFAULT_DECODE_FACTOR
    return factor * model.step_ms / model.layers


class _Path(NamedTuple):
    """The cheapest path found to a boundary, for one zone of its last server."""

    cost_ms: float
    stages: tuple[ChainStage, ...]


# By index of a boundary, the paths that lead there, by the zone of their last server.
_PathTable = list[dict[str, _Path]]


def find_chain(
    graph: LayerGraph,
    model: ModelProfile,
    requirements: ChainRequirements,
    first_stage: ChainStage | None = None,
) -> Chain | None:
    """Return the cheapest chain over servers with free capacity, or None.

    A first_stage is kept as it is; only the layers after it are searched.
    """
    paths: _PathTable = [{} for _ in graph.boundaries]
    start = graph.boundaries.index(first_stage.end_layer) if first_stage else 0
    start_zone = (
        first_stage.backend.announcement.zone if first_stage else requirements.zone
    )
    paths[start][start_zone] = _Path(0.0, (first_stage,) if first_stage else ())
    cost_by_server = _compute_server_costs(graph, model, requirements, first_stage)
    for index in range(start, len(graph.boundaries) - 1):
        for path in tuple(paths[index].values()):
            for backend in graph.backends_by_boundary[index]:
                cost = cost_by_server.get(backend.name)
                if cost is not None:
                    hop_ms = _compute_next_hop_cost_ms(
                        path, backend, model, requirements
                    )
                    if hop_ms is not None:
                        entered_ms = path.cost_ms + cost.fixed_ms + hop_ms
                        _extend_path(
                            graph,
                            paths,
                            index,
                            path,
                            backend,
                            entered_ms,
                            cost.per_layer_ms,
                        )
    cheapest = min(paths[-1].values(), key=lambda path: path.cost_ms, default=None)
    if cheapest is None:
        return None
    return Chain(
        cheapest.stages, estimate_token_ms(cheapest.stages, model, requirements.zone)
    )


def _compute_next_hop_cost_ms(
    path: _Path, backend: Backend, model: ModelProfile, requirements: ChainRequirements
) -> float | None:
    """Return the cost of extending a path to a server, or None if not allowed."""
    if not path.stages:
        return _compute_start_cost_ms(backend, model, requirements)
    if any(stage.backend is backend for stage in path.stages):
        return None
    previous = path.stages[-1].backend
    same_zone = previous.announcement.zone == backend.announcement.zone
    if not same_zone and not requirements.cross_zone_allowed:
        return None
    return _compute_hop_cost_ms(previous, backend, model, requirements.zone)


class _ServerCost(NamedTuple):
    """Cost of using a server at all, and of each layer there."""

    fixed_ms: float
    per_layer_ms: float


def _compute_server_costs(
    graph: LayerGraph,
    model: ModelProfile,
    requirements: ChainRequirements,
    first_stage: ChainStage | None,
) -> dict[str, _ServerCost]:
    """Return the costs, by name, of all servers that may take part."""
    cost_by_server: dict[str, _ServerCost] = {}
    for backend in itertools.chain.from_iterable(graph.backends_by_boundary):
        if backend.name in cost_by_server or (
            first_stage and backend is first_stage.backend
        ):
            continue
        if backend.announcement.incarnation in requirements.excluded_incarnations:
            continue
        utilization = compute_utilization(backend, model, requirements.tokens)
        max_utilization = MAX_MEMORY_UTILIZATION
        # A large request would never start if it had to leave it free even where
        # nothing runs.
        if backend.reserved_tokens or backend.reserved_tokens_elsewhere:
            max_utilization -= requirements.headroom_fraction
        if utilization > max_utilization or backend.is_full(requirements.now_s):
            continue
        fixed_ms = (
            AVOIDED_BACKEND_COST_MS if backend.is_avoided(requirements.now_s) else 0.0
        )
        if backend.slowdown >= SLOWDOWN_THRESHOLD:
            fixed_ms += SLOW_BACKEND_COST_MS * backend.slowdown
        per_layer_ms = (
            estimate_layer_ms(backend, model)
            * backend.slowdown
            * (1 + UTILIZATION_COST_FACTOR * utilization)
        )
        cost_by_server[backend.name] = _ServerCost(fixed_ms, per_layer_ms)
    return cost_by_server


def _compute_start_cost_ms(
    backend: Backend, model: ModelProfile, requirements: ChainRequirements
) -> float | None:
    """Return the cost of a server as first stage, or None if it can start no more."""
    slot_utilization = (
        backend.first_stage_streams + backend.first_stage_streams_elsewhere + 1
    ) / max(1, model.slots)
    max_starting_streams = max(
        requirements.max_starting_streams,
        compute_starting_limit(
            requirements.entry_count,
            compute_max_starting_streams(backend, model, requirements.objective_s),
        ),
    )
    if (
        backend.starting_streams >= max_starting_streams
        or slot_utilization > MAX_SLOT_UTILIZATION - requirements.headroom_fraction
    ):
        return None
    shared_ms = 0.0
    if (
        backend.running_requests
        if requirements.runs_apart
        else backend.suspect_requests
    ):
        shared_ms = SHARED_SUSPECT_COST_MS
    return (
        shared_ms
        + FULL_SLOTS_COST_MS * slot_utilization
        + _compute_hop_cost_ms(None, backend, model, requirements.zone)
    )


def _extend_path(
    graph: LayerGraph,
    paths: _PathTable,
    index: int,
    path: _Path,
    backend: Backend,
    entered_ms: float,
    per_layer_ms: float,
) -> None:
    """Record the path over one more server to each boundary that the server reaches.

    A path replaces a recorded one to the same boundary and zone if it costs less.
    """
    first_layer = graph.boundaries[index]
    zone = backend.announcement.zone
    for end_index in range(index + 1, len(graph.boundaries)):
        boundary = graph.boundaries[end_index]
        if boundary > backend.announcement.end_layer:
            return
        cost_ms = entered_ms + per_layer_ms * (boundary - first_layer)
        recorded_path = paths[end_index].get(zone)
        if recorded_path is None or cost_ms < recorded_path.cost_ms:
            paths[end_index][zone] = _Path(
                cost_ms, (*path.stages, ChainStage(backend, first_layer, boundary))
            )


def _compute_hop_cost_ms(
    previous: Backend | None, following: Backend, model: ModelProfile, zone: str
) -> float:
    """Return the cost of a hop; without a previous server, the hop from the entry."""
    if previous is None:
        return REMOTE_ENTRY_COST_MS if following.announcement.zone != zone else 0.0
    zones = frozenset((previous.announcement.zone, following.announcement.zone))
    if len(zones) == 1:
        return HOP_COST_MS
    transfer_ms = SHARED_LINK_FACTOR * estimate_transfer_ms_per_answer_token(model)
    return HOP_COST_MS + model.delay_ms_by_zones.get(zones, 0.0) + transfer_ms


def estimate_transfer_ms_per_answer_token(model: ModelProfile) -> float:
    """Return how long a typical request occupies a link between zones.

    The time for all activations of the request is divided by the tokens of its answer.
    """
    if not model.zone_link_mbps:
        return 0.0
    tokens = model.typical_prompt_tokens + model.typical_answer_tokens
    megabits = tokens * model.activation_bytes * 8 / 1e6
    return 1000 * megabits / model.zone_link_mbps / max(1, model.typical_answer_tokens)


def estimate_token_ms(
    stages: tuple[ChainStage, ...], model: ModelProfile, zone: str
) -> float:
    """Return the time of one token over an idle chain, with the hop from the entry."""
    stages_ms = sum(
        estimate_layer_ms(stage.backend, model) * (stage.end_layer - stage.first_layer)
        for stage in stages
    )
    hops_ms = sum(
        _compute_hop_cost_ms(one.backend, other.backend, model, zone)
        for one, other in itertools.pairwise(stages)
    )
    return (
        stages_ms + hops_ms + _compute_hop_cost_ms(None, stages[0].backend, model, zone)
    )


__all__ = [
    "Chain",
    "ChainRequirements",
    "ChainStage",
    "LayerGraph",
    "build_graph",
    "compute_max_starting_streams",
    "compute_starting_limit",
    "compute_token_capacity",
    "compute_utilization",
    "estimate_layer_ms",
    "estimate_token_ms",
    "estimate_transfer_ms_per_answer_token",
    "find_chain",
]

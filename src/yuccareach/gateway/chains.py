"""Chains of backend servers that run every layer of a model once and in order.

A chain is sought for each request, as the cheapest way through the layers over servers
that have room for it. A server's cost is its time for a token, raised as its memory
fills, so that fast servers are preferred until they are full.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.paces import SLOW_PACE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.table import ModelProfile

# A hop's own cost beside the delay between availability zones: one more server to wait
# for, and to lose.
HOP_MS = 0.5
# Traffic between the entry and a first stage elsewhere is dear; counted as delay, so
# that a zone's own pipeline is used until it is much fuller than others.
REMOTE_ENTRY_MS = 8.0
# Cost of a server that has failed lately; more than any chain without one.
AVOIDED_MS = 1_000.0
# Cost of a server that is slow, for each multiple of its usual times: every request of
# its chain waits for it, so that it is used only where nothing else has room.
SLOW_MS = 50.0
# Part of a stage's memory that is given out; other entries' latest requests and answers
# longer than expected take the rest.
MEMORY_PART = 0.85
# A full server costs this many times its token time more than an empty one.
FULL_FACTOR = 4.0
# A link between zones carries one transfer after another for all requests at once;
# counted as so many times a request's own transfer.
SHARED_LINK_FACTOR = 200.0
# Requests of this entry that may wait for their first event at one first stage. Prompts
# are read one after the other, so that more would only make all of them late.
STARTS_MOST = 5
# Part of a first stage's slots that is given out, for the same reason.
SLOTS_PART = 0.92
# Cost of a first stage whose slots are all taken, against one that has them free.
FULL_SLOTS_MS = 10.0
DEFAULT_CARD_FACTOR = 16.0


class Part(NamedTuple):
    """A backend server's part of a chain: layers from first up to end."""

    backend: Backend
    first_layer: int
    end_layer: int

    @property
    def share(self) -> float:
        """The part of the backend server's layers that is used."""
        return (self.end_layer - self.first_layer) / max(1, _held(self.backend))


class Chain(NamedTuple):
    """Parts that tile all layers, and the time that they take for a token."""

    parts: tuple[Part, ...]
    token_ms: float


class Graph(NamedTuple):
    """The ways through the layers that a set of servers allows."""

    # Layers at which one server may take over from another, in order.
    cuts: tuple[int, ...]
    # By index of a cut, the servers that hold the layer which begins there.
    holders: tuple[tuple[Backend, ...], ...]
    # Zones whose servers hold every layer.
    whole_zones: frozenset[str]
    # Layers that no server holds.
    missing_layers: int


class Demand(NamedTuple):
    """What a chain is sought for."""

    zone: str
    tokens: int
    now_s: float
    # Incarnations that must not take part.
    excluded: frozenset[str] = frozenset()
    # Whether one stage may hand over to another in a different zone.
    across_zones: bool = True


def _held(backend: Backend) -> int:
    return backend.announced.end_layer - backend.announced.first_layer


def build_graph(backends: Iterable[Backend], model: ModelProfile) -> Graph:
    """Return the graph of the servers that hold layers."""
    holders = [backend for backend in backends if _held(backend) > 0]
    bounds = {0, model.layers}
    bounds |= {holder.announced.first_layer for holder in holders}
    bounds |= {holder.announced.end_layer for holder in holders}
    cuts = tuple(sorted(cut for cut in bounds if cut <= model.layers))
    by_cut = tuple(
        tuple(
            holder
            for holder in holders
            if holder.announced.first_layer <= cut < holder.announced.end_layer
        )
        for cut in cuts
    )
    zones = [{holder.announced.zone for holder in at_cut} for at_cut in by_cut[:-1]]
    missing = sum(
        following - cut
        for (cut, following), at_cut in zip(
            itertools.pairwise(cuts), by_cut, strict=False
        )
        if not at_cut
    )
    return Graph(cuts, by_cut, frozenset(set.intersection(*zones)), missing)


def memory_tokens(backend: Backend, model: ModelProfile) -> int:
    """Return how many tokens of requests fit beside the layers that are held."""
    card = model.accelerator_by_kind.get(backend.announced.kind)
    layers = _held(backend)
    if card is None or layers <= 0:
        return 0
    return int(model.compute_token_capacity(card.memory_mb, layers))


def fullness(backend: Backend, model: ModelProfile, tokens: float) -> float:
    """Return the part of a server's memory in use once it takes more tokens."""
    used = backend.tokens + backend.tokens_elsewhere + tokens
    return used / max(1, memory_tokens(backend, model))


def layer_ms(backend: Backend, model: ModelProfile) -> float:
    """Return the time of one layer for one token, without load."""
    card = model.accelerator_by_kind.get(backend.announced.kind)
    factor = card.decode_factor if card else DEFAULT_CARD_FACTOR
    return factor * model.step_ms / model.layers


class _Way(NamedTuple):
    """The cheapest way found to a cut that ends in one zone."""

    cost: float
    parts: tuple[Part, ...]


# By index of a cut, the ways that lead there, by the zone of their last server.
_Ways = list[dict[str, _Way]]


def find_chain(
    graph: Graph, model: ModelProfile, demand: Demand, head: Part | None = None
) -> Chain | None:
    """Return the cheapest chain with room, or None.

    A head is a first part that stays as it is; the rest is sought from its end on.
    """
    ways: _Ways = [{} for _ in graph.cuts]
    start = graph.cuts.index(head.end_layer) if head else 0
    start_zone = head.backend.announced.zone if head else demand.zone
    ways[start][start_zone] = _Way(0.0, (head,) if head else ())
    cost_by_server = _costs(graph, model, demand, head)
    for index in range(start, len(graph.cuts) - 1):
        for way in tuple(ways[index].values()):
            for holder in graph.holders[index]:
                cost = cost_by_server.get(holder.name)
                if cost is not None:
                    hop_ms = _enter_ms(way, holder, model, demand)
                    if hop_ms is not None:
                        entered = way.cost + cost.enter + hop_ms
                        _extend(graph, ways, index, way, holder, entered, cost.layer)
    found = min(ways[-1].values(), key=lambda way: way.cost, default=None)
    if found is None:
        return None
    return Chain(found.parts, token_time_ms(found.parts, model, demand.zone))


def _enter_ms(
    way: _Way, holder: Backend, model: ModelProfile, demand: Demand
) -> float | None:
    """Return the cost of going on to a server, or None where it may not be."""
    if not way.parts:
        return _begin_ms(holder, model, demand)
    if any(part.backend is holder for part in way.parts):
        return None
    previous = way.parts[-1].backend
    same_zone = previous.announced.zone == holder.announced.zone
    if not same_zone and not demand.across_zones:
        return None
    return _hop_ms(previous, holder, model, demand.zone)


class _Cost(NamedTuple):
    """Cost of entering a server, and of each layer there."""

    enter: float
    layer: float


def _costs(
    graph: Graph, model: ModelProfile, demand: Demand, head: Part | None
) -> dict[str, _Cost]:
    """Return the costs of all servers that may take part."""
    costs: dict[str, _Cost] = {}
    for holder in itertools.chain.from_iterable(graph.holders):
        if holder.name in costs or (head and holder is head.backend):
            continue
        if holder.announced.incarnation in demand.excluded:
            continue
        full = fullness(holder, model, demand.tokens)
        if full > MEMORY_PART or holder.full(demand.now_s):
            continue
        enter = AVOIDED_MS if holder.avoided(demand.now_s) else 0.0
        if holder.pace >= SLOW_PACE:
            enter += SLOW_MS * holder.pace
        layer = layer_ms(holder, model) * holder.pace * (1 + FULL_FACTOR * full)
        costs[holder.name] = _Cost(enter, layer)
    return costs


def _begin_ms(holder: Backend, model: ModelProfile, demand: Demand) -> float | None:
    """Return the cost of beginning at a server, or None where it takes no more."""
    taken = (holder.first + holder.first_elsewhere + 1) / max(1, model.slots)
    if holder.starting >= STARTS_MOST or taken > SLOTS_PART:
        return None
    return FULL_SLOTS_MS * taken + _hop_ms(None, holder, model, demand.zone)


def _extend(
    graph: Graph,
    ways: _Ways,
    index: int,
    way: _Way,
    holder: Backend,
    entered: float,
    layer_cost: float,
) -> None:
    """Note the ways that lead on over one server, to each cut that it reaches."""
    first = graph.cuts[index]
    zone = holder.announced.zone
    for further in range(index + 1, len(graph.cuts)):
        cut = graph.cuts[further]
        if cut > holder.announced.end_layer:
            return
        cost = entered + layer_cost * (cut - first)
        known = ways[further].get(zone)
        if known is None or cost < known.cost:
            ways[further][zone] = _Way(cost, (*way.parts, Part(holder, first, cut)))


def _hop_ms(
    previous: Backend | None, following: Backend, model: ModelProfile, zone: str
) -> float:
    if previous is None:
        return REMOTE_ENTRY_MS if following.announced.zone != zone else 0.0
    zones = frozenset((previous.announced.zone, following.announced.zone))
    if len(zones) == 1:
        return HOP_MS
    transfer_ms = SHARED_LINK_FACTOR * transfer_ms_per_answer_token(model)
    return HOP_MS + model.delay_ms_by_zones.get(zones, 0.0) + transfer_ms


def transfer_ms_per_answer_token(model: ModelProfile) -> float:
    """Return how long a usual request occupies a link between zones, per token."""
    if not model.zone_link_mbps:
        return 0.0
    tokens = model.typical_prompt_tokens + model.typical_answer_tokens
    megabits = tokens * model.activation_bytes * 8 / 1e6
    return 1000 * megabits / model.zone_link_mbps / max(1, model.typical_answer_tokens)


def token_time_ms(parts: tuple[Part, ...], model: ModelProfile, zone: str) -> float:
    """Return the time of one token over a chain without load."""
    stages = sum(
        layer_ms(part.backend, model) * (part.end_layer - part.first_layer)
        for part in parts
    )
    hops = sum(
        _hop_ms(one.backend, other.backend, model, zone)
        for one, other in itertools.pairwise(parts)
    )
    return stages + hops + _hop_ms(None, parts[0].backend, model, zone)


__all__ = [
    "Chain",
    "Demand",
    "Graph",
    "Part",
    "build_graph",
    "find_chain",
    "fullness",
    "layer_ms",
    "memory_tokens",
    "token_time_ms",
    "transfer_ms_per_answer_token",
]

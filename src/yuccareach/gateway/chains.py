"""Chains of backend servers that run every layer of a model once and in order."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.table import ModelProfile

# Chains to choose from; each further one avoids the servers of those before it.
CHAINS_KEPT = 12
REUSE_FACTOR = 2.5
# A hop's own cost beside the delay between availability zones.
HOP_MS = 0.2
# Traffic between the entry and a first stage elsewhere is dear; counted as delay.
REMOTE_ENTRY_MS = 2.0
# Part of a stage's memory that is given out; other entries' latest requests and answers
# longer than expected take the rest.
MEMORY_PART = 0.85
# A chain that starts elsewhere is taken where those here are fuller by this part.
REMOTE_PART = 0.15
# A token time that counts as much as a full memory; well below a good pause.
SLOW_TOKEN_MS = 50.0
AVOIDED_MS = 1_000.0
DEFAULT_CARD_FACTOR = 16.0


class Part(NamedTuple):
    """A backend server's part of a chain: layers from first up to end."""

    backend: Backend
    first_layer: int
    end_layer: int

    @property
    def share(self) -> float:
        """The part of the backend server's layers that is used."""
        held = self.backend.announced.end_layer - self.backend.announced.first_layer
        return (self.end_layer - self.first_layer) / max(1, held)


class Chain(NamedTuple):
    """Parts that tile all layers, and the time that they take for a token."""

    parts: tuple[Part, ...]
    token_ms: float


def memory_tokens(backend: Backend, model: ModelProfile) -> int:
    """Return how many tokens of requests fit beside the layers that are held."""
    card = model.card_by_name.get(backend.announced.kind)
    layers = backend.announced.end_layer - backend.announced.first_layer
    if card is None or layers <= 0:
        return 0
    free_mb = card.memory_mb - layers * model.layer_mb
    return max(0, int(free_mb / (model.token_layer_mb * layers)))


def layer_ms(backend: Backend, model: ModelProfile) -> float:
    """Return the time of one layer for one token under the load at hand."""
    card = model.card_by_name.get(backend.announced.kind)
    factor = card.decode_factor if card else DEFAULT_CARD_FACTOR
    usual = max(1, model.usual_prompt_tokens + model.usual_answer_tokens)
    tokens = backend.tokens + backend.tokens_elsewhere
    step_ms = (
        model.step_ms
        + model.step_ms_per_request * tokens / usual
        + model.step_ms_per_kilotoken * tokens / 1000
    )
    return factor * step_ms / model.layers


def find_chains(
    backends: list[Backend], model: ModelProfile, zone: str, now_s: float
) -> list[Chain]:
    """Return chains to choose from, the quickest first, as unlike as may be."""
    holders = [
        backend
        for backend in backends
        if backend.announced.end_layer > backend.announced.first_layer
    ]
    factor_by_server = dict.fromkeys((holder.name for holder in holders), 1.0)
    chains: list[Chain] = []
    for _ in range(CHAINS_KEPT):
        parts = _quickest(holders, model, zone, now_s, factor_by_server)
        if parts is None:
            break
        if not any(parts == chain.parts for chain in chains):
            chains.append(Chain(parts, token_time_ms(parts, model, zone)))
        for part in parts:
            factor_by_server[part.backend.name] *= REUSE_FACTOR
    return chains


def _quickest(
    holders: list[Backend],
    model: ModelProfile,
    zone: str,
    now_s: float,
    factor_by_server: dict[str, float],
    head: tuple[Part, ...] = (),
) -> tuple[Part, ...] | None:
    """Return the quickest chain, by Dijkstra's algorithm over layers.

    head holds the parts that are given; the chain goes on from their end.
    """
    cuts = sorted(
        {0, model.layers}
        | {item.announced.first_layer for item in holders}
        | {item.announced.end_layer for item in holders}
    )
    starting: dict[int, list[Backend]] = {
        cut: [
            item
            for item in holders
            if item.announced.first_layer <= cut < item.announced.end_layer
        ]
        for cut in cuts
    }
    pace = {
        item.name: factor_by_server[item.name] * layer_ms(item, model)
        for item in holders
    }
    entered_ms = {
        item.name: (AVOIDED_MS if item.avoided(now_s) else 0.0) for item in holders
    }
    counter = itertools.count()
    queue: list[tuple[float, int, int, tuple[Part, ...]]] = [
        (0.0, next(counter), head[-1].end_layer if head else 0, head)
    ]
    settled: set[int] = set()
    while queue:
        cost, _, layer, parts = heapq.heappop(queue)
        if layer >= model.layers:
            return parts
        if layer in settled:
            continue
        settled.add(layer)
        used = {part.backend.name for part in parts}
        for holder in starting[layer]:
            if holder.name in used:
                continue
            hop = _hop_ms(parts[-1].backend if parts else None, holder, model, zone)
            base = cost + hop + entered_ms[holder.name]
            for cut in cuts:
                if layer < cut <= min(holder.announced.end_layer, model.layers):
                    extended = (*parts, Part(holder, layer, cut))
                    total = base + pace[holder.name] * (cut - layer)
                    heapq.heappush(queue, (total, next(counter), cut, extended))
    return None


def find_detour(
    backends: list[Backend],
    model: ModelProfile,
    zone: str,
    now_s: float,
    first: Part,
) -> Chain | None:
    """Return a chain that keeps a first part and avoids servers that have failed."""
    holders = [
        backend
        for backend in backends
        if not backend.avoided(now_s) and backend is not first.backend
    ]
    even = dict.fromkeys((holder.name for holder in holders), 1.0)
    parts = _quickest(holders, model, zone, now_s, even, (first,))
    if parts is None:
        return None
    return Chain(parts, token_time_ms(parts, model, zone))


def _hop_ms(
    previous: Backend | None, following: Backend, model: ModelProfile, zone: str
) -> float:
    if previous is None:
        return REMOTE_ENTRY_MS if following.announced.zone != zone else 0.0
    zones = frozenset((previous.announced.zone, following.announced.zone))
    return HOP_MS + (model.delay_ms_by_zones.get(zones, 0.0) if len(zones) > 1 else 0.0)


def token_time_ms(parts: tuple[Part, ...], model: ModelProfile, zone: str) -> float:
    """Return the time of one token over a chain under the load at hand."""
    stages = sum(
        layer_ms(part.backend, model) * (part.end_layer - part.first_layer)
        for part in parts
    )
    hops = sum(
        _hop_ms(one.backend, other.backend, model, zone)
        for one, other in itertools.pairwise(parts)
    )
    return stages + hops + _hop_ms(None, parts[0].backend, model, zone)


def fullness(chain: Chain, model: ModelProfile, tokens: int) -> float:
    """Return the part of its memory that a chain's tightest stage would have in use."""
    return max(
        (part.backend.tokens + part.backend.tokens_elsewhere + tokens * part.share)
        / max(1, memory_tokens(part.backend, model))
        for part in chain.parts
    )


def choose_chain(
    chains: list[Chain],
    model: ModelProfile,
    zone: str,
    tokens: int,
    now_s: float,
    excluded: set[str],
) -> Chain | None:
    """Return the chain that suits a request best, or None where none has room.

    Room counts most, since a stage without memory preempts or cuts requests, while
    token times are far below what callers notice. A chain over an excluded incarnation
    is not taken; one over a server that has failed lately only where there is no other.
    """
    ranked = [
        (rank, index)
        for index, chain in enumerate(chains)
        if not any(
            part.backend.announced.incarnation in excluded for part in chain.parts
        )
        and (rank := _rank(chain, model, zone, tokens, now_s)) is not None
    ]
    return chains[min(ranked)[1]] if ranked else None


def _rank(
    chain: Chain, model: ModelProfile, zone: str, tokens: int, now_s: float
) -> tuple[bool, float] | None:
    full = fullness(chain, model, tokens)
    if full > MEMORY_PART:
        return None
    avoided = any(part.backend.avoided(now_s) for part in chain.parts)
    remote = chain.parts[0].backend.announced.zone != zone
    token_ms = token_time_ms(chain.parts, model, zone)
    return (avoided, full + REMOTE_PART * remote + token_ms / SLOW_TOKEN_MS)


__all__ = [
    "Chain",
    "Part",
    "choose_chain",
    "find_chains",
    "find_detour",
    "fullness",
    "layer_ms",
    "memory_tokens",
    "token_time_ms",
]

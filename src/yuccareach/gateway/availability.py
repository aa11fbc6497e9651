"""Which backend servers may take part in new chains, and from when on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.gateway.chains import build_graph
from yuccareach.health.servers import find_acceptance_ms

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.table import ModelProfile


def can_take_part(backend: Backend, now_s: float) -> bool:
    """Return whether a server is there, as is presumed, and accepts new requests."""
    return can_continue(backend, now_s) and backend.accepts_requests(now_s)


def can_continue(backend: Backend, now_s: float) -> bool:
    """Return whether a server may go on with a stream that it runs."""
    return backend.is_connectable and not backend.is_unreachable(now_s)


def find_for_chain(
    backends: Iterable[Backend], now_s: float, current_backends: Collection[Backend]
) -> list[Backend]:
    """Return the servers that a chain may consist of.

    A stream that runs at some servers may go on there, also if they accept no new
    requests.
    """
    return [
        backend
        for backend in backends
        if can_take_part(backend, now_s)
        or (backend in current_backends and can_continue(backend, now_s))
    ]


def count_uncovered_layers(
    backends: Iterable[Backend], model: ModelProfile, now_s: float
) -> int:
    """Return the number of layers that no server keeps.

    A server that refuses requests for a time, or that is silent but not presumed to be
    lost, keeps its layers.
    """
    return build_graph(
        (
            backend
            for backend in backends
            if not backend.is_unreachable(now_s) and not backend.health.is_leaving
        ),
        model,
    ).uncovered_layers


def find_layers_acceptance_ms(
    backends: Iterable[Backend], model: ModelProfile, now_s: float
) -> float:
    """Return from when on each loaded layer has a server that accepts requests.

    Infinity if all servers that have loaded some layer are leaving. Servers that are
    presumed to be lost are left out.
    """
    graph = build_graph(
        (backend for backend in backends if not backend.is_unreachable(now_s)), model
    )
    return max(
        (
            min(find_acceptance_ms(backend.health) for backend in at_boundary)
            for at_boundary in graph.backends_by_boundary[:-1]
            if at_boundary
        ),
        default=0.0,
    )


__all__ = [
    "can_continue",
    "can_take_part",
    "count_uncovered_layers",
    "find_for_chain",
    "find_layers_acceptance_ms",
]

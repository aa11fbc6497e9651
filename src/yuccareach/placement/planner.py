"""Deciding which backend server holds which layers of a model.

A fresh fleet is divided into one pipeline for each availability zone, since a hop to
another zone carries every token's activations over a link that all requests share. A
pipeline takes the fastest accelerators of its zone, as many as pay off in requests
finished in a second; the others stay free, to step in where one is lost. From then on
ranges stay where they are, and only holes in the coverage are filled, so that few
weights are loaded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.placement.assignments import Assignment, Server
from yuccareach.placement.pipelines import build_pipelines
from yuccareach.placement.repairs import close_gaps

if TYPE_CHECKING:
    from yuccareach.gateway.table import ModelProfile


def plan(
    servers: list[Server], model: ModelProfile, *, repartition: bool = False
) -> list[Assignment]:
    """Return what has to change; servers that drain must not be among them.

    With divide_anew, a zone whose holes cannot be closed is divided as a fresh one,
    which loads many weights.
    """
    if not any(server.layers.size for server in servers):
        return _place_fresh(servers, model)
    return close_gaps(servers, model, repartition=repartition)


def _place_fresh(servers: list[Server], model: ModelProfile) -> list[Assignment]:
    """Place pipelines and replicas at once, while loads are quick."""
    assignments = [
        assignment
        for pipeline in build_pipelines(servers, model)
        for assignment in pipeline
    ]
    layers_by_name = {
        assignment.server.name: assignment.layers for assignment in assignments
    }
    placed = [
        server._replace(layers=layers_by_name.get(server.name, server.layers))
        for server in servers
    ]
    if not assignments:
        return []
    return assignments + close_gaps(placed, model, repartition=False)


__all__ = ["plan"]

"""Planning of which backend server holds which layers of a model.

A fleet that holds no layers yet gets pipelines within each availability zone, since a
hop to another zone sends every token's activations over a link that all requests
share. A pipeline uses the fastest accelerators of its zone, as many as raise the rate
of finished requests by enough; a zone that runs out of slots before memory gets several
of them. The other servers replicate layers, to take over when a server is lost. From
then on ranges stay where they are, unless a gap has to be closed or layers limit their
pipeline, so that few weights are loaded.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

from yuccareach.placement.assignments import Assignment, Server, sum_max_layers
from yuccareach.placement.pipelines import build_pipelines
from yuccareach.placement.repairs import close_gaps

if TYPE_CHECKING:
    from yuccareach.gateway.table import ModelProfile


# The time of a plan grows with the square of the servers of a zone. A first plan of
# 1,000 servers in each of three zones took 39 s, in which the leader answered nobody.
MAX_SERVERS_PER_ZONE = 32


def divide_fleet(servers: list[Server], model: ModelProfile) -> list[list[Server]]:
    """Divide a fleet without layers into parts that are planned one after another.

    Each part has some of the servers of each speed in each zone, and of a zone either
    none or memory for two copies of the layers. A zone without that much, or a small
    fleet, is not divided.
    """
    ordered = sorted(servers, key=lambda item: (item.zone, item.decode_factor))
    groups = [
        list(group)
        for _, group in itertools.groupby(ordered, key=lambda item: item.zone)
    ]
    largest = max((len(group) for group in groups), default=0)
    parts: list[list[Server]] = [
        [] for _ in range(max(1, math.ceil(largest / MAX_SERVERS_PER_ZONE)))
    ]
    for group in groups:
        copies = sum_max_layers(group, model, 0) // max(1, model.layers)
        count = min(len(parts), max(1, copies // 2))
        for number in range(count):
            parts[number] += group[number::count]
    return parts


def plan_assignments(
    servers: list[Server], model: ModelProfile, *, repartition: bool = False
) -> list[Assignment]:
    """Return the assignments that differ from what the servers hold.

    The servers must not include draining ones. With repartition, a zone whose gaps
    cannot be closed is partitioned like a new one, which loads many weights.
    """
    if not any(server.layers.size for server in servers):
        return _plan_new_fleet(servers, model)
    return close_gaps(servers, model, repartition=repartition)


def _plan_new_fleet(servers: list[Server], model: ModelProfile) -> list[Assignment]:
    """Assign pipelines and replicas in one step, while weights load quickly."""
    assignments = [
        assignment
        for pipeline in build_pipelines(servers, model)
        for assignment in pipeline
    ]
    layers_by_name = {
        assignment.server.name: assignment.layers for assignment in assignments
    }
    placed_servers = [
        server._replace(
            layers=layers_by_name.get(server.name, server.layers), is_new=False
        )
        for server in servers
    ]
    if not assignments:
        return []
    return assignments + close_gaps(placed_servers, model, repartition=False)


__all__ = ["divide_fleet", "plan_assignments"]

"""Which of the planned loads of weights begin now.

The store of weights serves a few loads at full speed. Many servers that are lost,
replaced and added at the same time, in several availability zones, need far more loads
than that: a zone that lacks layers serves nothing until they are loaded, while a
replica only guards against the next loss.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.placement.assignments import NO_LAYERS, count_servers_by_layer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from yuccareach.gateway.table import ModelProfile
    from yuccareach.placement.assignments import Assignment, Server


class LoadReason(StrEnum):
    """What a load is for, in the order in which loads begin."""

    GAP = "gap"
    SINGLE_HOLDER = "single_holder"
    CAPACITY = "capacity"


class ZoneState(NamedTuple):
    """How many layers no loaded server of a zone holds, and how many a single one."""

    missing_layers: int
    single_holder_layers: int


def find_load_reason(
    assignment: Assignment, servers: Sequence[Server], model: ModelProfile
) -> LoadReason:
    """Return what a load is for, beside what the other servers hold or load."""
    counts = count_servers_by_layer(
        [server for server in servers if server.zone == assignment.server.zone], model
    )
    lowest = min(counts[assignment.layers.first : assignment.layers.end], default=0)
    if lowest == 0:
        return LoadReason.GAP
    return LoadReason.SINGLE_HOLDER if lowest == 1 else LoadReason.CAPACITY


def measure_zone_states(
    servers: Sequence[Server], model: ModelProfile
) -> dict[str, ZoneState]:
    """Return the state of each zone; servers that are loading do not count."""
    loaded = [
        server._replace(layers=NO_LAYERS) if server.is_loading else server
        for server in servers
    ]
    return {
        zone: ZoneState(counts.count(0), counts.count(1))
        for zone, counts in _count_holders_by_zone(loaded, model).items()
    }


def select_loads(
    assignments: Sequence[Assignment],
    servers: Sequence[Server],
    model: ModelProfile,
    pending_loads: int,
) -> list[Assignment]:
    """Return the assignments to load now, those that close gaps first.

    Of several zones with gaps, the one that lacks fewest layers comes first, so that
    one is whole before another is begun. Layers with a single holder follow: the next
    loss makes them a gap.
    """
    counts_by_zone = _count_holders_by_zone(servers, model)
    # A zone that holds nothing has no pipeline to complete.
    missing_by_zone = {
        zone: {layer for layer, count in enumerate(counts) if any(counts) and not count}
        for zone, counts in counts_by_zone.items()
    }

    def _count_closed(assignment: Assignment) -> int:
        layers = range(assignment.layers.first, assignment.layers.end)
        return len(missing_by_zone[assignment.server.zone].intersection(layers))

    closing = sorted(
        (item for item in assignments if _count_closed(item)),
        key=lambda item: (
            len(missing_by_zone[item.server.zone]),
            item.server.zone,
            -_count_closed(item),
        ),
    )
    others = sorted(
        (item for item in assignments if not _count_closed(item)),
        key=lambda item: min(
            counts_by_zone[item.server.zone][item.layers.first : item.layers.end],
            default=0,
        )
        > 1,
    )
    free_loads = max(0, model.max_concurrent_loads - pending_loads)
    return [*closing, *others][:free_loads]


def _count_holders_by_zone(
    servers: Sequence[Server], model: ModelProfile
) -> dict[str, list[int]]:
    """Return by zone how many of its servers hold or load each layer."""
    return {
        zone: count_servers_by_layer(
            [server for server in servers if server.zone == zone], model
        )
        for zone in {server.zone for server in servers}
    }


__all__ = [
    "LoadReason",
    "ZoneState",
    "find_load_reason",
    "measure_zone_states",
    "select_loads",
]

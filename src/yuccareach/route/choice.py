"""Choice of a chain of backend servers for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccareach.proto import control_pb2 as cpb

# Decode rate, in tokens per second at a full batch, of a backend server that has
# reported none.
DEFAULT_DECODE_RATE = 100.0
# Fraction of the batch size that counts as load on an idle backend server, for the
# time that one token takes there.
IDLE_BATCH_FRACTION = 0.25


class RemainingChain(NamedTuple):
    """The cheapest chain found from one layer to the end of the model."""

    cost: float
    chain: tuple[cpb.Member, ...]


def choose_chain(
    members: Iterable[cpb.Member],
    layers: int,
    server_cost: Callable[[cpb.Member], float],
    link_cost: Callable[[str, str], float],
    start_zone: str,
) -> tuple[cpb.Member, ...] | None:
    """Return the cheapest chain that covers layers [0, layers) in order, or None.

    The search is dynamic programming from the last layer to the first. For each layer
    and each availability zone, only the cheapest chain that starts there is kept, so
    that the work grows with the number of members times the number of zones.
    """
    members_by_first_layer: dict[int, list[cpb.Member]] = {}
    for member in members:
        members_by_first_layer.setdefault(member.first_layer, []).append(member)
    remaining_by_layer: dict[int, dict[str, RemainingChain]] = {
        layers: {"": RemainingChain(0.0, ())}
    }
    for first_layer in sorted(members_by_first_layer, reverse=True):
        best_by_zone: dict[str, RemainingChain] = {}
        for member in members_by_first_layer[first_layer]:
            remaining = _find_cheapest_continuation(
                member, remaining_by_layer.get(member.end_layer, {}), link_cost
            )
            if remaining is None:
                continue
            cost = server_cost(member) + remaining.cost
            zone = member.availability_zone
            if zone not in best_by_zone or cost < best_by_zone[zone].cost:
                best_by_zone[zone] = RemainingChain(cost, (member, *remaining.chain))
        remaining_by_layer[first_layer] = best_by_zone
    starts = remaining_by_layer.get(0, {})
    if not starts:
        return None
    _, remaining = min(
        starts.items(), key=lambda item: item[1].cost + link_cost(start_zone, item[0])
    )
    return remaining.chain


def _find_cheapest_continuation(
    member: cpb.Member,
    remaining_by_zone: dict[str, RemainingChain],
    link_cost: Callable[[str, str], float],
) -> RemainingChain | None:
    """Return the cheapest chain after a backend server, with the link to it."""
    continuations = [
        RemainingChain(
            remaining.cost
            + (link_cost(member.availability_zone, zone) if zone else 0.0),
            remaining.chain,
        )
        for zone, remaining in remaining_by_zone.items()
    ]
    return min(continuations, key=lambda remaining: remaining.cost, default=None)


def compute_load_cost(running: float, max_batch: int, decode_rate: float) -> float:
    """Return the expected time for one token at a backend server, in seconds.

    A stream counts as running at each of its stages all the time. The number of streams
    that a backend server should run is therefore proportional to its decode rate, not
    to its batch size. The batch size only gives the time of a token without load.
    """
    rate = decode_rate or DEFAULT_DECODE_RATE
    return (running + IDLE_BATCH_FRACTION * max(1, max_batch)) / rate


def compute_batch_fill_cost(
    running: float, max_batch: int, decode_rate: float
) -> float:
    """Return the time for one token, in seconds, if all streams wait at this server.

    Below a full batch, the time grows linearly with the utilization of the batch,
    beyond it with the square of the utilization.
    """
    batch = max(1, max_batch)
    step_s = batch / (decode_rate or DEFAULT_DECODE_RATE)
    utilization = running / batch
    return step_s * (
        1.0 + utilization if utilization < 1.0 else 2.0 * utilization * utilization
    )


__all__ = ["choose_chain", "compute_batch_fill_cost", "compute_load_cost"]

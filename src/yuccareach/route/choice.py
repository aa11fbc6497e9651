"""Choice of a chain of backend servers for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccareach.proto import control_pb2 as cpb

DEFAULT_RATE = 100.0
LATENCY_SHARE = 0.25


class Step(NamedTuple):
    """The best way from one backend server to the end of the model."""

    cost: float
    chain: tuple[cpb.Member, ...]


def choose_chain(
    members: Iterable[cpb.Member],
    layers: int,
    server_cost: Callable[[cpb.Member], float],
    link_cost: Callable[[str, str], float],
    start_zone: str,
) -> tuple[cpb.Member, ...] | None:
    """Return the cheapest chain that tiles [0, layers), or None.

    Works back from the last layer, keeping the best way on from each layer for each
    availability zone, so the work grows with members times zones.
    """
    by_first_layer: dict[int, list[cpb.Member]] = {}
    for member in members:
        by_first_layer.setdefault(member.first_layer, []).append(member)
    best: dict[int, dict[str, Step]] = {layers: {"": Step(0.0, ())}}
    for first_layer in sorted(by_first_layer, reverse=True):
        best_by_zone: dict[str, Step] = {}
        for member in by_first_layer[first_layer]:
            step = _through(member, best.get(member.end_layer, {}), link_cost)
            if step is None:
                continue
            cost = server_cost(member) + step.cost
            zone = member.availability_zone
            if zone not in best_by_zone or cost < best_by_zone[zone].cost:
                best_by_zone[zone] = Step(cost, (member, *step.chain))
        best[first_layer] = best_by_zone
    starts = best.get(0, {})
    if not starts:
        return None
    _, step = min(
        starts.items(), key=lambda item: item[1].cost + link_cost(start_zone, item[0])
    )
    return step.chain


def _through(
    member: cpb.Member,
    following: dict[str, Step],
    link_cost: Callable[[str, str], float],
) -> Step | None:
    """Return the cheapest way on after a backend server."""
    ways = [
        Step(
            step.cost + (link_cost(member.availability_zone, zone) if zone else 0.0),
            step.chain,
        )
        for zone, step in following.items()
    ]
    return min(ways, key=lambda step: step.cost, default=None)


def compute_load_cost(running: float, max_batch: int, decode_rate: float) -> float:
    """Return the expected time for one token, in seconds, under a load.

    A stream that runs through several stages counts at each of them all the time, so a
    backend server's fair share of streams grows with its rate, not with its batch. The
    batch only says how long one token takes where nothing else runs.
    """
    rate = decode_rate or DEFAULT_RATE
    return (running + LATENCY_SHARE * max(1, max_batch)) / rate


def compute_batch_fill_cost(
    running: float, max_batch: int, decode_rate: float
) -> float:
    """Return the time for one token if every stream waited at this backend server."""
    batch = max(1, max_batch)
    step_s = batch / (decode_rate or DEFAULT_RATE)
    filled = running / batch
    return step_s * (1.0 + filled if filled < 1.0 else 2.0 * filled * filled)


__all__ = ["compute_batch_fill_cost", "choose_chain", "compute_load_cost"]

"""Search for a placement, which gives each engine a range of layers to hold.

A placement is scored by the largest flow of tokens per second through all layers that
it allows, within the rates of the links between availability zones. The bound on this
flow comes from a linear relaxation, in which every engine may run any layers for any
share of its time.
"""

from __future__ import annotations

import itertools
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.route.errors import RouteError
from yuccareach.route.linear_program import LinearProgram

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

# Random changes that each search tries, unless the caller gives another number.
DEFAULT_SEARCH_ROUND_COUNT = 400


class Engine(NamedTuple):
    """An engine's availability zone, speed and memory.

    layer_rate is how many layers times positions the engine runs per second, and
    memory_layers how many layers fit into its memory.
    """

    name: str
    zone: str
    layer_rate: float
    memory_layers: int


class PlacedEngine(NamedTuple):
    """An engine and the layers [first_layer, end_layer) that it holds."""

    engine: Engine
    first_layer: int
    end_layer: int

    @property
    def token_rate(self) -> float:
        """Tokens per second that the engine can run through its range."""
        return self.engine.layer_rate / (self.end_layer - self.first_layer)


class Plan(NamedTuple):
    """The best placement found, its flow and the bound, in tokens per second."""

    placement: tuple[PlacedEngine, ...]
    flow: float
    bound: float
    bottleneck: str


class CannotPlace(RouteError):
    """No placement was found that holds every layer within the engines' memory."""


# Tokens per second that a link between two availability zones can carry.
LinkRates = dict[tuple[str, str], float]


def compute_flow_bound(engines: Sequence[Engine], layers: int) -> float:
    """Return an upper bound on the tokens per second of any placement."""
    program = LinearProgram()
    rate_variable = program.add_variable(objective=1.0)
    work_variables = [
        program.add_variable(upper=engine.layer_rate) for engine in engines
    ]
    for engine, work_variable in zip(engines, work_variables):
        # An engine runs each token through no more layers than fit into its memory.
        program.add_upper_limit(
            {work_variable: 1.0, rate_variable: -float(engine.memory_layers)}, 0.0
        )
    work_balance = {rate_variable: float(layers)} | {
        work_variable: -1.0 for work_variable in work_variables
    }
    program.add_upper_limit(work_balance, 0.0)
    return program.maximise()


def compute_flow(
    placement: Sequence[PlacedEngine], layers: int, links: LinkRates
) -> float:
    """Return the largest flow through a placement, in tokens per second."""
    return _solve_flow(placement, layers, links)[0]


def compute_engine_flows(
    placement: Sequence[PlacedEngine], layers: int, links: LinkRates
) -> dict[str, float]:
    """Return the part of the largest flow that runs through each engine, by name.

    The values are in tokens per second.
    """
    _, shares = _solve_flow(placement, layers, links)
    return {item.engine.name: share for item, share in zip(placement, shares)}


def _solve_flow(
    placement: Sequence[PlacedEngine], layers: int, links: LinkRates
) -> tuple[float, list[float]]:
    program = LinearProgram()
    flow_variables = [
        program.add_variable(
            upper=item.token_rate, objective=1.0 if item.first_layer == 0 else 0.0
        )
        for item in placement
    ]
    boundaries = {item.first_layer for item in placement} | {
        item.end_layer for item in placement
    }
    link_terms_by_zones: dict[tuple[str, str], dict[int, float]] = {}
    for boundary in sorted(boundaries - {0, layers}):
        _conserve_flow_at(
            program, placement, flow_variables, boundary, link_terms_by_zones
        )
    for pair, terms in link_terms_by_zones.items():
        if pair in links:
            program.add_upper_limit(terms, links[pair])
    if not any(item.end_layer == layers for item in placement):
        return 0.0, [0.0] * len(placement)
    total_flow = program.maximise()
    return total_flow, [program.get_value(variable) for variable in flow_variables]


def _conserve_flow_at(
    program: LinearProgram,
    placement: Sequence[PlacedEngine],
    flow_variables: Sequence[int],
    boundary: int,
    link_terms_by_zones: dict[tuple[str, str], dict[int, float]],
) -> None:
    """Constrain the flow into a boundary to equal the flow out of it.

    Engines whose ranges end at the boundary send to engines whose ranges start there,
    with one variable for each pair of zones, which is added to the terms of the link.
    """
    outgoing = _group_variables_by_zone(
        placement, flow_variables, lambda item: item.end_layer == boundary
    )
    incoming = _group_variables_by_zone(
        placement, flow_variables, lambda item: item.first_layer == boundary
    )
    transfer_variables = {
        (source, target): program.add_variable()
        for source in outgoing
        for target in incoming
    }
    for zone, variables in outgoing.items():
        balance = {variable: 1.0 for variable in variables}
        balance |= {
            transfer: -1.0
            for (source, _), transfer in transfer_variables.items()
            if source == zone
        }
        program.add_equality(balance, 0.0)
    for zone, variables in incoming.items():
        balance = {variable: 1.0 for variable in variables}
        balance |= {
            transfer: -1.0
            for (_, target), transfer in transfer_variables.items()
            if target == zone
        }
        program.add_equality(balance, 0.0)
    for pair, transfer in transfer_variables.items():
        link_terms_by_zones.setdefault(pair, {})[transfer] = 1.0


def _group_variables_by_zone(
    placement: Sequence[PlacedEngine],
    flow_variables: Sequence[int],
    is_selected: Callable[[PlacedEngine], bool],
) -> Mapping[str, list[int]]:
    variables_by_zone: dict[str, list[int]] = {}
    for item, variable in zip(placement, flow_variables):
        if is_selected(item):
            variables_by_zone.setdefault(item.engine.zone, []).append(variable)
    return variables_by_zone


def assign_engines(
    engines: Sequence[Engine], boundaries: Sequence[int]
) -> tuple[PlacedEngine, ...] | None:
    """Assign engines to the ranges between boundaries.

    Engines are assigned from the fastest to the slowest, each to the range with the
    lowest token rate so far among those that fit into its memory. Return None if a
    range has no engine.
    """
    ranges = list(zip(boundaries, boundaries[1:]))
    rates = [0.0] * len(ranges)
    placement: list[PlacedEngine] = []
    for engine in sorted(engines, key=lambda item: (-item.layer_rate, item.name)):
        fitting_ranges = [
            number
            for number, (first, end) in enumerate(ranges)
            if end - first <= engine.memory_layers
        ]
        if not fitting_ranges:
            continue
        slowest = min(fitting_ranges, key=lambda number: rates[number])
        item = PlacedEngine(engine, *ranges[slowest])
        rates[slowest] += item.token_rate
        placement.append(item)
    return tuple(placement) if min(rates) > 0 else None


def place_equal_split(
    engines: Sequence[Engine], layers: int
) -> tuple[PlacedEngine, ...]:
    """Return the baseline: equal ranges, to which engines are assigned round robin."""
    min_memory_layers = min(engine.memory_layers for engine in engines)
    stages = -(-layers // min_memory_layers)
    boundaries = [round(layers * number / stages) for number in range(stages + 1)]
    return tuple(
        PlacedEngine(
            engine, boundaries[number % stages], boundaries[number % stages + 1]
        )
        for number, engine in enumerate(engines)
    )


def make_plan(
    engines: Sequence[Engine],
    layers: int,
    links: LinkRates | None = None,
    *,
    seed: int = 0,
    rounds: int = DEFAULT_SEARCH_ROUND_COUNT,
) -> Plan:
    """Return the placement with the largest flow found, or raise CannotPlace.

    Pairs of zones that are missing among the links are not limited. The seed makes the
    search reproducible.
    """
    links = links or {}
    random = Random(seed)
    candidates = [_search_boundaries(engines, layers, links, random, rounds)]
    if links:
        # Another candidate has a separate pipeline in each zone, which uses no links.
        zones = sorted({engine.zone for engine in engines})
        zone_placements = [
            _search_boundaries(
                [engine for engine in engines if engine.zone == zone],
                layers,
                links,
                random,
                rounds // len(zones),
            )
            for zone in zones
        ]
        candidates.append(tuple(itertools.chain.from_iterable(zone_placements)))
    candidates.append(place_equal_split(engines, layers))
    best = max(candidates, key=lambda placement: compute_flow(placement, layers, links))
    if links:
        best = _move_engines(best, layers, links, random, rounds)
    total_flow = compute_flow(best, layers, links)
    if total_flow <= 0:
        raise CannotPlace(f"no placement holds all {layers} layers")
    return Plan(
        best,
        total_flow,
        compute_flow_bound(engines, layers),
        _describe_bottleneck(best, layers),
    )


def _search_boundaries(
    engines: Sequence[Engine],
    layers: int,
    links: LinkRates,
    random: Random,
    rounds: int,
) -> tuple[PlacedEngine, ...]:
    """Return the best placement found by moving the boundaries between ranges."""
    best: tuple[float, tuple[PlacedEngine, ...]] = (0.0, ())
    best_boundaries: list[int] = []
    for boundaries in _generate_boundaries(
        engines, layers, random, rounds, lambda: best_boundaries
    ):
        placement = assign_engines(engines, boundaries)
        if placement is None:
            continue
        score = compute_flow(placement, layers, links)
        if score > best[0] + 1e-9:
            best, best_boundaries = (score, placement), list(boundaries)
    return best[1]


def _move_engines(
    placement: tuple[PlacedEngine, ...],
    layers: int,
    links: LinkRates,
    random: Random,
    rounds: int,
) -> tuple[PlacedEngine, ...]:
    """Move single engines to random ranges, keeping the moves that raise the flow."""
    best, best_flow = placement, compute_flow(placement, layers, links)
    ranges = sorted({(item.first_layer, item.end_layer) for item in placement})
    for _ in range(rounds):
        index = random.randrange(len(best))
        first, end = random.choice(ranges)
        if end - first > best[index].engine.memory_layers:
            continue
        changed_engine = PlacedEngine(best[index].engine, first, end)
        candidate = (*best[:index], changed_engine, *best[index + 1 :])
        score = compute_flow(candidate, layers, links)
        if score > best_flow + 1e-9:
            best, best_flow = candidate, score
    return best


def _generate_boundaries(
    engines: Sequence[Engine],
    layers: int,
    random: Random,
    rounds: int,
    best_boundaries: Callable[[], Sequence[int]],
) -> Iterator[Sequence[int]]:
    """Yield boundaries of equal ranges, then random changes of the best boundaries.

    Equal ranges are tried for each possible number of stages. best_boundaries returns
    the best boundaries that the caller has found so far.
    """
    if not engines:
        return
    max_layers = max(engine.memory_layers for engine in engines)
    min_stages = -(-layers // max_layers)
    for stages in range(min_stages, min(layers, len(engines)) + 1):
        yield [round(layers * number / stages) for number in range(stages + 1)]
    for _ in range(rounds):
        boundaries = list(best_boundaries())
        if len(boundaries) < 3:
            return
        index = random.randrange(1, len(boundaries) - 1)
        low, high = boundaries[index - 1] + 1, boundaries[index + 1] - 1
        boundaries[index] = random.randint(low, high)
        yield boundaries


def _describe_bottleneck(placement: Iterable[PlacedEngine], layers: int) -> str:
    """Return a description of the range of layers with the lowest token rate."""
    rates: dict[tuple[int, int], float] = {}
    for item in placement:
        key = (item.first_layer, item.end_layer)
        rates[key] = rates.get(key, 0.0) + item.token_rate
    (first, end), rate = min(rates.items(), key=lambda entry: entry[1])
    return f"layers [{first}, {end}) of {layers} pass {rate:.1f} tokens/s"


__all__ = [
    "CannotPlace",
    "Engine",
    "LinkRates",
    "PlacedEngine",
    "Plan",
    "assign_engines",
    "compute_engine_flows",
    "compute_flow",
    "compute_flow_bound",
    "make_plan",
    "place_equal_split",
]

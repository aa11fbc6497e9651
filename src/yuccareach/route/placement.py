"""Placement: which engine holds which range of layers.

The bound is a linear relaxation in which every engine may run any layers for any share
of its time. A placement is scored by the largest flow of tokens through the layers that
it allows, with the links between availability zones as further limits.
"""

from __future__ import annotations

import itertools
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.route.errors import RouteError
from yuccareach.route.linear_program import LinearProgram

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

SEARCH_ROUNDS = 400


class Engine(NamedTuple):
    """What an engine can do; layer_rate is in layers times positions per second."""

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
        """Tokens per second that it can pass on."""
        return self.engine.layer_rate / (self.end_layer - self.first_layer)


class Plan(NamedTuple):
    """A placement, its flow and the bound, in tokens per second."""

    placement: tuple[PlacedEngine, ...]
    flow: float
    bound: float
    bottleneck: str


class CannotPlace(RouteError):
    """The engines' memory cannot hold every layer."""


# Tokens per second that a link between two availability zones can carry.
LinkRates = dict[tuple[str, str], float]


def compute_flow_bound(engines: Sequence[Engine], layers: int) -> float:
    """Return the tokens per second that no placement can exceed."""
    program = LinearProgram()
    rate = program.add_variable(objective=1.0)
    works = [program.add_variable(upper=engine.layer_rate) for engine in engines]
    for engine, work in zip(engines, works):
        # An engine runs each token at most through the layers that fit into it.
        program.add_upper_limit({work: 1.0, rate: -float(engine.memory_layers)}, 0.0)
    needed = {rate: float(layers)} | {work: -1.0 for work in works}
    program.add_upper_limit(needed, 0.0)
    return program.maximise()


def compute_flow(
    placement: Sequence[PlacedEngine], layers: int, links: LinkRates
) -> float:
    """Return the largest flow of tokens through a placement."""
    return _solve_flow(placement, layers, links)[0]


def compute_engine_flows(
    placement: Sequence[PlacedEngine], layers: int, links: LinkRates
) -> dict[str, float]:
    """Return the tokens per second that the largest flow sends through each engine."""
    _, shares = _solve_flow(placement, layers, links)
    return {item.engine.name: share for item, share in zip(placement, shares)}


def _solve_flow(
    placement: Sequence[PlacedEngine], layers: int, links: LinkRates
) -> tuple[float, list[float]]:
    program = LinearProgram()
    through = [
        program.add_variable(
            upper=item.token_rate, objective=1.0 if item.first_layer == 0 else 0.0
        )
        for item in placement
    ]
    cuts = {item.first_layer for item in placement} | {
        item.end_layer for item in placement
    }
    carried: dict[tuple[str, str], dict[int, float]] = {}
    for cut in sorted(cuts - {0, layers}):
        _join_at(program, placement, through, cut, carried)
    for pair, terms in carried.items():
        if pair in links:
            program.add_upper_limit(terms, links[pair])
    if not any(item.end_layer == layers for item in placement):
        return 0.0, [0.0] * len(placement)
    total = program.maximise()
    return total, [program.get_value(variable) for variable in through]


def _join_at(
    program: LinearProgram,
    placement: Sequence[PlacedEngine],
    through: Sequence[int],
    cut: int,
    carried: dict[tuple[str, str], dict[int, float]],
) -> None:
    """Let what leaves engines that end at a cut enter those that start there."""
    outgoing = _by_zone(placement, through, lambda item: item.end_layer == cut)
    incoming = _by_zone(placement, through, lambda item: item.first_layer == cut)
    across = {
        (source, target): program.add_variable()
        for source in outgoing
        for target in incoming
    }
    for zone, variables in outgoing.items():
        balance = {variable: 1.0 for variable in variables}
        balance |= {
            link: -1.0 for (source, _), link in across.items() if source == zone
        }
        program.add_equality(balance, 0.0)
    for zone, variables in incoming.items():
        balance = {variable: 1.0 for variable in variables}
        balance |= {
            link: -1.0 for (_, target), link in across.items() if target == zone
        }
        program.add_equality(balance, 0.0)
    for pair, link in across.items():
        carried.setdefault(pair, {})[link] = 1.0


def _by_zone(
    placement: Sequence[PlacedEngine],
    through: Sequence[int],
    chosen: Callable[[PlacedEngine], bool],
) -> Mapping[str, list[int]]:
    variables_by_zone: dict[str, list[int]] = {}
    for item, variable in zip(placement, through):
        if chosen(item):
            variables_by_zone.setdefault(item.engine.zone, []).append(variable)
    return variables_by_zone


def assign(
    engines: Sequence[Engine], cuts: Sequence[int]
) -> tuple[PlacedEngine, ...] | None:
    """Spread engines over the ranges between cuts, or return None if some stay empty.

    The fastest engine that is left goes to the range that is slowest so far, among
    those whose layers fit into its memory.
    """
    ranges = list(zip(cuts, cuts[1:]))
    rates = [0.0] * len(ranges)
    placement: list[PlacedEngine] = []
    for engine in sorted(engines, key=lambda item: (-item.layer_rate, item.name)):
        fitting = [
            number
            for number, (first, end) in enumerate(ranges)
            if end - first <= engine.memory_layers
        ]
        if not fitting:
            continue
        slowest = min(fitting, key=lambda number: rates[number])
        item = PlacedEngine(engine, *ranges[slowest])
        rates[slowest] += item.token_rate
        placement.append(item)
    return tuple(placement) if min(rates) > 0 else None


def place_equal_split(
    engines: Sequence[Engine], layers: int
) -> tuple[PlacedEngine, ...]:
    """Return the baseline: equal ranges, engines dealt out in turn."""
    least_memory = min(engine.memory_layers for engine in engines)
    stages = -(-layers // least_memory)
    cuts = [round(layers * number / stages) for number in range(stages + 1)]
    return tuple(
        PlacedEngine(engine, cuts[number % stages], cuts[number % stages + 1])
        for number, engine in enumerate(engines)
    )


def make_plan(
    engines: Sequence[Engine],
    layers: int,
    links: LinkRates | None = None,
    *,
    seed: int = 0,
    rounds: int = SEARCH_ROUNDS,
) -> Plan:
    """Search for the placement with the largest flow, or raise CannotPlace."""
    links = links or {}
    random = Random(seed)
    starts = [_search_cuts(engines, layers, links, random, rounds)]
    if links:
        # Chains that stay within one zone use no link at all.
        zones = sorted({engine.zone for engine in engines})
        parts = [
            _search_cuts(
                [engine for engine in engines if engine.zone == zone],
                layers,
                links,
                random,
                rounds // len(zones),
            )
            for zone in zones
        ]
        starts.append(tuple(itertools.chain.from_iterable(parts)))
    starts.append(place_equal_split(engines, layers))
    best = max(starts, key=lambda placement: compute_flow(placement, layers, links))
    if links:
        best = _move_engines(best, layers, links, random, rounds)
    total = compute_flow(best, layers, links)
    if total <= 0:
        raise CannotPlace(f"no placement holds all {layers} layers")
    return Plan(
        best, total, compute_flow_bound(engines, layers), _bottleneck(best, layers)
    )


def _search_cuts(
    engines: Sequence[Engine],
    layers: int,
    links: LinkRates,
    random: Random,
    rounds: int,
) -> tuple[PlacedEngine, ...]:
    """Return the best placement found by moving the cuts between ranges."""
    best: tuple[float, tuple[PlacedEngine, ...]] = (0.0, ())
    best_cuts: list[int] = []
    for cuts in _candidates(engines, layers, random, rounds, lambda: best_cuts):
        placement = assign(engines, cuts)
        if placement is None:
            continue
        score = compute_flow(placement, layers, links)
        if score > best[0] + 1e-9:
            best, best_cuts = (score, placement), list(cuts)
    return best[1]


def _move_engines(
    placement: tuple[PlacedEngine, ...],
    layers: int,
    links: LinkRates,
    random: Random,
    rounds: int,
) -> tuple[PlacedEngine, ...]:
    """Move single engines to other ranges for as long as that helps."""
    best, best_flow = placement, compute_flow(placement, layers, links)
    ranges = sorted({(item.first_layer, item.end_layer) for item in placement})
    for _ in range(rounds):
        moved = random.randrange(len(best))
        first, end = random.choice(ranges)
        if end - first > best[moved].engine.memory_layers:
            continue
        changed = PlacedEngine(best[moved].engine, first, end)
        tried = (*best[:moved], changed, *best[moved + 1 :])
        score = compute_flow(tried, layers, links)
        if score > best_flow + 1e-9:
            best, best_flow = tried, score
    return best


def _candidates(
    engines: Sequence[Engine],
    layers: int,
    random: Random,
    rounds: int,
    best_cuts: Callable[[], Sequence[int]],
) -> Iterator[Sequence[int]]:
    """Yield equal cuts for each number of stages, then changes of the best so far."""
    if not engines:
        return
    most = max(engine.memory_layers for engine in engines)
    fewest = -(-layers // most)
    for stages in range(fewest, min(layers, len(engines)) + 1):
        yield [round(layers * number / stages) for number in range(stages + 1)]
    for _ in range(rounds):
        cuts = list(best_cuts())
        if len(cuts) < 3:
            return
        changed = random.randrange(1, len(cuts) - 1)
        low, high = cuts[changed - 1] + 1, cuts[changed + 1] - 1
        cuts[changed] = random.randint(low, high)
        yield cuts


def _bottleneck(placement: Iterable[PlacedEngine], layers: int) -> str:
    """Name the range of layers that limits the flow."""
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
    "assign",
    "compute_engine_flows",
    "compute_flow",
    "compute_flow_bound",
    "make_plan",
    "place_equal_split",
]

"""Division of the servers of a zone into groups that each hold the whole model."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.placement.assignments import count_tokens_per_request, sum_max_layers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from yuccareach.gateway.table import ModelProfile
    from yuccareach.placement.assignments import Server

# How often a division is improved by moving or exchanging servers. It bounds the time
# of a plan.
MAX_CHANGES = 12
# A pipeline that has memory for more than this many times the requests that its first
# stage has slots for is limited by slots. Below that, replicas of the first stage add
# the slots that are missing: at 2.0 to 2.5 times, a second copy of the weights left
# memory for 12 to 36% fewer requests in 9 of 11 zones of random fleets.
SLOT_SHORTAGE_FACTOR = 2.5

Group = list["Server"]


class GroupScore(NamedTuple):
    """How well a group holds the model; higher is better, the first field first.

    Surplus layers are those that fit into memory beyond the model's, at most 0. Tokens
    fit beside the layers into every server of the group.
    """

    surplus_layers: int
    tokens: float

    def plus(self, other: GroupScore) -> GroupScore:
        """Return the score of two groups together."""
        return GroupScore(
            self.surplus_layers + other.surplus_layers, self.tokens + other.tokens
        )


def divide_servers(
    servers: list[Server], model: ModelProfile, count: int
) -> list[Group]:
    """Divide servers into groups that together have memory for the most requests.

    Memory for more requests than a group's first stage has slots for does not count.
    The servers of a group keep their order. Groups may be too small for the model.
    """
    groups = _divide_evenly(servers, count)
    score = _build_group_score(model)
    for _ in range(MAX_CHANGES):
        changes = [
            (index, other, changed)
            for index, other in itertools.combinations(range(count), 2)
            for changed in _list_changes(groups[index], groups[other])
        ]
        best_gain = (0, 0.0)
        best_groups = None
        for index, other, (group, other_group) in changes:
            before = score(groups[index]).plus(score(groups[other]))
            after = score(group).plus(score(other_group))
            gain = (
                after.surplus_layers - before.surplus_layers,
                after.tokens - before.tokens,
            )
            if gain > best_gain:
                best_gain = gain
                best_groups = list(groups)
                best_groups[index], best_groups[other] = group, other_group
        if best_groups is None:
            break
        groups = best_groups
    position_by_name = {server.name: place for place, server in enumerate(servers)}
    return [
        sorted(group, key=lambda server: position_by_name[server.name])
        for group in groups
    ]


def is_slot_limited(servers: list[Server], model: ModelProfile) -> bool:
    """Return whether one pipeline of servers has memory for far more than its slots."""
    if not model.slots:
        return False
    slot_tokens = model.slots * count_tokens_per_request(model)
    return find_most_tokens(servers, model) > SLOT_SHORTAGE_FACTOR * slot_tokens


def find_most_tokens(servers: list[Server], model: ModelProfile) -> float:
    """Return the most tokens, to within one, that fit into every server of a pipeline.

    The servers together hold all layers of the model. Return 0 if they cannot.
    """
    count_by_memory_mb = Counter(server.memory_mb for server in servers)

    def _fits(tokens: float) -> bool:
        layers = sum(
            count * model.compute_max_layers(memory_mb, tokens)
            for memory_mb, count in count_by_memory_mb.items()
        )
        return layers >= model.layers

    low, high = 0.0, 1.0
    while _fits(high):
        low, high = high, high * 2
    while high - low > 1:
        middle = (low + high) / 2
        if _fits(middle):
            low = middle
        else:
            high = middle
    return low


def _divide_evenly(servers: list[Server], count: int) -> list[Group]:
    """Divide servers into groups of about equal memory, the largest servers first."""
    groups: list[Group] = [[] for _ in range(count)]
    for server in sorted(servers, key=lambda item: -item.memory_mb):
        min(groups, key=lambda group: sum(item.memory_mb for item in group)).append(
            server
        )
    return groups


def _list_changes(first: Group, second: Group) -> Iterator[tuple[Group, Group]]:
    """Yield two groups after each move or exchange of servers of different sizes."""
    of_first = _pick_one_per_size(first)
    of_second = _pick_one_per_size(second)
    for server in of_first:
        yield _exchange(first, second, [server], [])
    for server in of_second:
        yield _exchange(first, second, [], [server])
    for server, other in itertools.product(of_first, of_second):
        if server.memory_mb != other.memory_mb:
            yield _exchange(first, second, [server], [other])


def _pick_one_per_size(group: Group) -> Group:
    return list({server.memory_mb: server for server in group}.values())


def _exchange(
    first: Group, second: Group, from_first: Group, from_second: Group
) -> tuple[Group, Group]:
    """Return two groups after the given servers of each have moved to the other."""
    return (
        [item for item in first if item not in from_first] + from_second,
        [item for item in second if item not in from_second] + from_first,
    )


def _build_group_score(model: ModelProfile) -> Callable[[Group], GroupScore]:
    """Return a function that scores groups, and remembers those of the same sizes."""
    slot_tokens = float(model.slots * count_tokens_per_request(model))
    max_tokens = slot_tokens if model.slots else float("inf")
    score_by_sizes: dict[tuple[float, ...], GroupScore] = {}

    def _score(group: Group) -> GroupScore:
        sizes = tuple(sorted(server.memory_mb for server in group))
        if sizes not in score_by_sizes:
            surplus_layers = sum_max_layers(group, model, 0) - model.layers
            score_by_sizes[sizes] = GroupScore(
                min(0, surplus_layers),
                min(max_tokens, find_most_tokens(group, model)),
            )
        return score_by_sizes[sizes]

    return _score


__all__ = ["divide_servers", "find_most_tokens", "is_slot_limited"]

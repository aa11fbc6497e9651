"""Which part of a prompt is accused of the crashes of backend servers.

Each part that a crashed server was running counts the loss, unless the same attempt has
already shown the part to be harmless. So harmless parts that come with the harmful one
count losses too. Of the parts with enough losses, only the most suspicious is accused:
the one that was shown to be harmless the longest ago, or never.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.quarantine.counts import (
    CONFIRMED_PART_LOSSES,
    ISOLATION_LOSS_THRESHOLD,
    QUARANTINE_LOSS_THRESHOLD,
)

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping, Sequence

    from yuccareach.quarantine.counts import LossCount

# Servers lost under a part, with no proof of its harmlessness between, that accuse it
# before QUARANTINE_LOSS_THRESHOLD losses in a row. A loss in a row that follows an
# earlier one is needed too, since a rack that fails ends many servers at once.
MIN_ACCUSING_SERVERS = 4
# Parts whose use, and requests whose losses, an entry remembers.
MAX_PARTS_REMEMBERED = 20_000
MAX_REQUESTS_REMEMBERED = 20_000


class PartUse(NamedTuple):
    """What one entry has seen of a prompt part."""

    requests: int = 0
    # When an attempt last showed that the part is harmless; None if none has.
    proven_ms: int | None = None


class PartHistory:
    """Use by the part's fingerprint, and requests whose losses counted against parts.

    The least recently used part and the oldest request come first.
    """

    def __init__(self) -> None:
        self.use_by_part: dict[bytes, PartUse] = {}
        # The incarnation that was lost, by the request's id.
        self.incarnation_by_request: dict[str, str] = {}


class Candidate(NamedTuple):
    """A part with enough losses to be accused."""

    fingerprint: bytes
    # The count that was known when the attempt started that was lost.
    known_count: LossCount
    loss_count: LossCount
    # Its index in the prompt.
    position: int


def record_request(history: PartHistory, parts: Iterable[bytes]) -> None:
    """Count a request for each of the parts of its prompt."""
    for part in parts:
        use = history.use_by_part.pop(part, PartUse())
        history.use_by_part[part] = use._replace(requests=use.requests + 1)
    while len(history.use_by_part) > MAX_PARTS_REMEMBERED:
        del history.use_by_part[next(iter(history.use_by_part))]


def record_proof(history: PartHistory, parts: Iterable[bytes], now_ms: int) -> None:
    """Remember that parts that are still in use were shown to be harmless."""
    for part in parts:
        use = history.use_by_part.get(part)
        if use is not None:
            history.use_by_part[part] = use._replace(proven_ms=now_ms)


def record_part_loss(history: PartHistory, request: str, incarnation: str) -> bool:
    """Return whether the loss of a server counts against the parts of a request.

    Only the first loss does. The further attempts of one request may well crash more
    servers, but tell nothing of the parts that others share.
    """
    incarnations = history.incarnation_by_request
    counted_incarnation = incarnations.setdefault(request, incarnation)
    while len(incarnations) > MAX_REQUESTS_REMEMBERED:
        del incarnations[next(iter(incarnations))]
    return counted_incarnation == incarnation


def compute_part_losses(known: LossCount) -> int:
    """Return the losses of a part, not accused, after one more than were known.

    The step to the quarantine is left to select_accused.
    """
    if known.is_quarantined:
        return known.losses + 1
    return min(known.losses + 1, ISOLATION_LOSS_THRESHOLD)


def compute_accused_losses(known: LossCount) -> int:
    """Return the losses of a part that is accused by a loss that follows a count.

    Fewer than three losses in a row lead to a short quarantine and a trial.
    """
    is_confirmed = known.losses + 1 >= QUARANTINE_LOSS_THRESHOLD
    return CONFIRMED_PART_LOSSES if is_confirmed else QUARANTINE_LOSS_THRESHOLD


def is_accusable(
    known: LossCount, count: LossCount, explained_servers: Container[int] = ()
) -> bool:
    """Return whether a loss that follows a known count is enough to accuse a part.

    count includes the loss. It has another generation if the part has been shown to be
    harmless meanwhile. Servers that were lost under a quarantined part are explained by
    it, and accuse no other one.
    """
    losses = known.losses + 1
    explained = sum(server in explained_servers for server in count.lost_servers)
    unexplained = len(count.lost_servers) - explained
    has_lost_in_a_row = losses >= QUARANTINE_LOSS_THRESHOLD and (
        not explained or unexplained >= QUARANTINE_LOSS_THRESHOLD
    )
    has_lost_enough = (
        losses >= ISOLATION_LOSS_THRESHOLD and unexplained >= MIN_ACCUSING_SERVERS
    )
    return count.generation == known.generation and (
        has_lost_in_a_row or has_lost_enough
    )


def select_accused(
    history: PartHistory,
    charged_parts: Sequence[Candidate],
    count_by_part: Mapping[bytes, LossCount],
    lost_server: int,
) -> list[Candidate]:
    """Return the most suspicious of the parts that may have crashed a server.

    It is the one that was proven harmless the longest ago by this entry, then by all of
    them, then the one in the fewest requests, and then the later one in the prompt,
    since requests share the first parts of their prompts most. Nobody is accused if
    the loss is explained: by a part that is quarantined, or by a more suspicious one
    that other attempts had on the server, or that these have lost two servers with in a
    row, and that the next loss accuses.
    """
    explained_servers = {
        server
        for count in count_by_part.values()
        if count.is_quarantined
        for server in count.lost_servers
    }
    candidates = [
        candidate
        for candidate in charged_parts
        if is_accusable(candidate.known_count, candidate.loss_count, explained_servers)
    ]
    if not candidates:
        return []
    accusable = {candidate.fingerprint for candidate in candidates}
    suspects = [
        Candidate(part, count, count, 0)
        for part, count in count_by_part.items()
        if lost_server in count.lost_servers
        and count.losses >= ISOLATION_LOSS_THRESHOLD
    ]
    if any(item.loss_count.is_quarantined for item in (*candidates, *suspects)):
        return []
    rivals = [
        suspect
        for suspect in suspects
        if len(suspect.loss_count.lost_servers) >= MIN_ACCUSING_SERVERS
        and suspect.fingerprint in history.use_by_part
        and suspect.fingerprint not in accusable
    ]
    rivals += [
        charged
        for charged in charged_parts
        if charged.fingerprint not in accusable
        and charged.loss_count.losses >= ISOLATION_LOSS_THRESHOLD
        and explained_servers.isdisjoint(charged.loss_count.lost_servers)
    ]

    def _rank(candidate: Candidate) -> tuple[float, int, int, int]:
        use = history.use_by_part.get(candidate.fingerprint, PartUse())
        proven_ms = float("-inf") if use.proven_ms is None else use.proven_ms
        return (
            proven_ms,
            candidate.loss_count.generation,
            use.requests,
            -candidate.position,
        )

    least = min(_rank(candidate) for candidate in (*candidates, *rivals))
    return [candidate for candidate in candidates if _rank(candidate) == least]


__all__ = [
    "MAX_PARTS_REMEMBERED",
    "MAX_REQUESTS_REMEMBERED",
    "MIN_ACCUSING_SERVERS",
    "Candidate",
    "PartHistory",
    "PartUse",
    "compute_accused_losses",
    "compute_part_losses",
    "is_accusable",
    "record_part_loss",
    "record_proof",
    "record_request",
    "select_accused",
]

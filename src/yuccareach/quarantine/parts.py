"""Which part of a prompt is accused of the crashes of backend servers.

Each part that a crashed server was running counts the loss, unless the same attempt has
already shown the part to be harmless. So harmless parts that come with the harmful one
count losses too. Of the parts with enough losses, only the most suspicious is accused:
the one that was shown to be harmless the longest ago, or never.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.quarantine.counts import (
    ISOLATION_LOSS_THRESHOLD,
    QUARANTINE_LOSS_THRESHOLD,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence, Set as AbstractSet

    from yuccareach.quarantine.counts import LossCount

# Servers lost under a part, with no proof of its harmlessness between, that accuse it
# before QUARANTINE_LOSS_THRESHOLD losses in a row. A loss in a row that follows an
# earlier one is needed too, since a rack that fails ends many servers at once.
MIN_ACCUSING_SERVERS = 4
# Lost servers that a fingerprint must have been on to explain them. Each request is on
# the one under which it counted against its parts.
MIN_EXPLAINED_SERVERS = 2
# Parts whose use, and requests whose losses, an entry remembers.
MAX_PARTS_REMEMBERED = 20_000
MAX_REQUESTS_REMEMBERED = 20_000


class PartUse(NamedTuple):
    """What one entry has seen of a prompt part."""

    attempts: int = 0
    # Its index in the prompt of the last one.
    position: int = 0
    # When an attempt last showed that the part is harmless; None if none has.
    proven_ms: int | None = None


# Of a part that only other entries have seen, by whose counts it is known.
UNSEEN_PART = PartUse()


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
    use: PartUse


def record_attempt(history: PartHistory, parts: Iterable[bytes]) -> None:
    """Count an attempt for each of the parts of its prompt."""
    for position, part in enumerate(parts):
        use = history.use_by_part.pop(part, UNSEEN_PART)
        history.use_by_part[part] = PartUse(use.attempts + 1, position, use.proven_ms)
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


def select_excused(suspects: Sequence[Candidate]) -> set[bytes]:
    """Return the quarantined parts that a more suspicious one excuses for a loss.

    The suspects are the parts that were lost with one server, and with others before.
    """
    least_rank = min(map(_rank, suspects), default=None)
    return {
        item.fingerprint
        for item in suspects
        if item.known_count.is_quarantined and _rank(item) != least_rank
    }


def is_proven(use: PartUse, count: LossCount) -> bool:
    """Return whether a part was ever shown to be harmless."""
    return use.proven_ms is not None or count.generation > 0


def is_accusable(
    candidate: Candidate, explained_servers: AbstractSet[int] = frozenset()
) -> bool:
    """Return whether a loss that follows a known count is enough to accuse a part.

    Explained servers accuse nobody. A part that was never shown to be harmless is also
    accused by the servers that further attempts of its requests have lost.
    """
    known, count = candidate.known_count, candidate.loss_count
    if count.generation != known.generation:
        # The part has been shown to be harmless meanwhile.
        return False
    losses = known.losses + 1
    unexplained = set(count.lost_servers) - explained_servers
    has_lost_in_a_row = losses >= QUARANTINE_LOSS_THRESHOLD and (
        explained_servers.isdisjoint(count.lost_servers)
        or len(unexplained) >= QUARANTINE_LOSS_THRESHOLD
    )
    accusing = unexplained
    if not is_proven(candidate.use, count):
        accusing = accusing | (set(count.exposed_servers) - explained_servers)
    has_lost_enough = (
        losses >= ISOLATION_LOSS_THRESHOLD and len(accusing) >= MIN_ACCUSING_SERVERS
    )
    return has_lost_in_a_row or has_lost_enough


def select_accused(
    history: PartHistory,
    charged_parts: Sequence[Candidate],
    count_by_fingerprint: Mapping[bytes, LossCount],
    lost_server: int,
) -> list[Candidate]:
    """Return the most suspicious of the parts that may have crashed a server.

    The loss of a server counts against no part if a quarantined one explains it, or a
    more suspicious one that was on several of the same servers. Nobody is accused if a
    quarantined part explains this loss, or if a more suspicious one that other attempts
    had on the server has enough losses already.
    """
    quarantined_servers = {
        server
        for count in count_by_fingerprint.values()
        if count.is_quarantined and count.lost_servers
        for server in (*count.lost_servers, *count.exposed_servers)
    }
    candidates = sorted(filter(is_accusable, charged_parts), key=_rank)
    candidate_servers = {
        server for item in candidates for server in item.loss_count.exposed_servers
    }
    exposed_by_fingerprint = {
        fingerprint: count
        for fingerprint, count in count_by_fingerprint.items()
        if not candidate_servers.isdisjoint(count.exposed_servers)
    }
    accused = next(
        (
            item
            for item in candidates
            if is_accusable(
                item,
                quarantined_servers
                | find_explained_servers(history, item, exposed_by_fingerprint),
            )
        ),
        None,
    )
    if accused is None:
        return []
    accusable = {candidate.fingerprint for candidate in candidates}
    suspects = [
        build_candidate(history, fingerprint, count, count)
        for fingerprint, count in count_by_fingerprint.items()
        if lost_server in count.lost_servers
        and count.losses >= ISOLATION_LOSS_THRESHOLD
    ]
    if any(item.loss_count.is_quarantined for item in (*candidates, *suspects)):
        return []
    rivals = (
        suspect
        for suspect in suspects
        if len(suspect.loss_count.lost_servers) >= MIN_ACCUSING_SERVERS
        and suspect.fingerprint in history.use_by_part
        and suspect.fingerprint not in accusable
    )
    rank = _rank(accused)
    if any(_rank(rival) < rank for rival in rivals):
        return []
    return [item for item in candidates if _rank(item) == rank]


def find_explained_servers(
    history: PartHistory,
    candidate: Candidate,
    count_by_fingerprint: Mapping[bytes, LossCount],
) -> set[int]:
    """Return the servers whose loss a part and a request explain, of a part's servers.

    They are the more suspicious part, and the request that has lost several servers in
    a row, that explain the most of them. Each needs MIN_EXPLAINED_SERVERS.
    """
    count = candidate.loss_count
    explained_by_part: set[int] = set()
    explained_by_request: set[int] = set()
    for fingerprint, other in count_by_fingerprint.items():
        if not other.losses or fingerprint == candidate.fingerprint:
            continue
        # Only counts of parts name servers that count against them.
        if other.lost_servers:
            common = {*count.exposed_servers, *count.lost_servers}.intersection(
                other.exposed_servers
            )
            suspect = build_candidate(history, fingerprint, other, other)
            if len(common) >= max(
                MIN_EXPLAINED_SERVERS, len(explained_by_part) + 1
            ) and _rank(suspect) < _rank(candidate):
                explained_by_part = common
        elif other.losses >= ISOLATION_LOSS_THRESHOLD:
            # Each attempt at a request exposes its parts. The first one counts.
            common = set(count.lost_servers).intersection(other.exposed_servers)
            if len(common) >= max(MIN_EXPLAINED_SERVERS, len(explained_by_request) + 1):
                explained_by_request = common
    return explained_by_part | explained_by_request


def build_candidate(
    history: PartHistory,
    fingerprint: bytes,
    known_count: LossCount,
    loss_count: LossCount,
) -> Candidate:
    """Return a part with its counts and what this entry has seen of it."""
    use = history.use_by_part.get(fingerprint, UNSEEN_PART)
    return Candidate(fingerprint, known_count, loss_count, use)


def _rank(candidate: Candidate) -> tuple[float, int, float, int, int]:
    """Return a key by which the most suspicious part comes first.

    It is the one that was proven harmless the longest ago by this entry, then by all of
    them, then the one with the most lost servers for each of its attempts, and then the
    later one in the prompt, since requests share the first parts of their prompts most.
    """
    use, count = candidate.use, candidate.loss_count
    proven_ms = float("-inf") if use.proven_ms is None else use.proven_ms
    servers = len({*count.exposed_servers, *count.lost_servers})
    loss_rate = min(1.0, servers / use.attempts) if use.attempts else 0.0
    return proven_ms, count.generation, -loss_rate, -use.position, -servers


def is_suspect(history: PartHistory, fingerprint: bytes, count: LossCount) -> bool:
    """Return whether requests with a part should run apart from others.

    A single loss is enough of a part in use that was never shown to be harmless.
    """
    use = history.use_by_part.get(fingerprint)
    is_new = use is not None and not is_proven(use, count)
    return count.is_suspect or (count.losses > 0 and is_new)


__all__ = [
    "MAX_PARTS_REMEMBERED",
    "MAX_REQUESTS_REMEMBERED",
    "MIN_ACCUSING_SERVERS",
    "MIN_EXPLAINED_SERVERS",
    "Candidate",
    "PartHistory",
    "PartUse",
    "build_candidate",
    "compute_part_losses",
    "find_explained_servers",
    "is_accusable",
    "is_proven",
    "is_suspect",
    "record_attempt",
    "record_part_loss",
    "record_proof",
    "select_accused",
    "select_excused",
]

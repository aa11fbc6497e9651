"""What one process knows of one incarnation of a backend server, and by what proof.

A server that does not answer is silent. It may still run what it was sent, and go on
later: neither silence nor a late heartbeat shows that it has ended. Only an EndProof
does.
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import NamedTuple

# A longer time than this, for which a server asks for no requests, counts as this.
MAX_REFUSAL_MS = 3_600_000
# A server whose refusal is over gets a single request until it answers, or until so
# long after that request.
TRIAL_TIMEOUT_MS = 500
# "A second or so" of silence is usual of sound servers. One that has been silent for
# longer is presumed to be lost, and its layers are loaded elsewhere.
PRESUMED_LOST_SILENCE_MS = 2_000


class Silence(StrEnum):
    """What a silent server leaves unanswered."""

    # It accepts no connection.
    CONNECTION = "connection"
    # It may accept connections, but answers nothing that it is sent.
    ANSWER = "answer"


class EndProof(StrEnum):
    """What shows that an incarnation has ended, with all that it ran."""

    # Its machine answers, but nothing listens at its address.
    REFUSED = "connection_refused"
    # A later incarnation has its name or its address.
    SUCCEEDED = "later_incarnation"
    # The process beside it reports that it has exited.
    REPORTED = "agent_report"


class StatedLimit(NamedTuple):
    """The requests a second that a server takes from all instances together.

    The answer that states it was made at some time between the sending of its request
    and the reading of its head.
    """

    # None if the answer states no limit.
    per_s: float | None
    sent_ms: int
    read_ms: int


class ServerHealth:
    """Observations of one incarnation; times are in ms of the process's own clock."""

    def __init__(self) -> None:
        # Since when it has left something unanswered; None if it has not.
        self.silent_since_ms: int | None = None
        self.silences: set[Silence] = set()
        # Since when it has accepted no connection; None if it has.
        self.unconnectable_since_ms: int | None = None
        self.end_proof: EndProof | None = None
        # Whether it has said that it is leaving.
        self.is_leaving = False
        # Until then it has asked for no requests.
        self.refuses_until_ms = 0
        # Whether it has not accepted a request since then.
        self.needs_trial = False
        self.on_trial_until_ms = 0
        # What its answers state of the requests that it takes; None if none ever did.
        self.limit: StatedLimit | None = None
        # The last value that is no limit, so that it is logged once.
        self.malformed_limit: str | None = None


def record_contact(health: ServerHealth) -> None:
    """Record that a server has sent something."""
    health.silences.clear()
    record_connection(health)


def record_connection(health: ServerHealth) -> None:
    """Record that a server has accepted a connection.

    The operating system accepts connections also for a process that is silent, so one
    that leaves requests unanswered remains so. A connection that was refused before was
    no proof then.
    """
    health.silences.discard(Silence.CONNECTION)
    health.unconnectable_since_ms = None
    if not health.silences:
        health.silent_since_ms = None
    if health.end_proof is EndProof.REFUSED:
        health.end_proof = None


def record_silence(
    health: ServerHealth, since_ms: int, silence: Silence = Silence.ANSWER
) -> None:
    """Record that a server has left something unanswered since a time."""
    if health.silent_since_ms is None:
        health.silent_since_ms = since_ms
    if silence is Silence.CONNECTION and health.unconnectable_since_ms is None:
        health.unconnectable_since_ms = since_ms
    health.silences.add(silence)


def record_end(health: ServerHealth, proof: EndProof) -> None:
    """Record that an incarnation has ended, by the first proof of it."""
    health.end_proof = health.end_proof or proof


def record_leaving(health: ServerHealth) -> None:
    """Record that a server has said that it is leaving."""
    health.is_leaving = True


def record_refusal(health: ServerHealth, now_ms: int, retry_after_ms: float) -> None:
    """Record that a server asks for no requests for a time."""
    until_ms = now_ms + math.ceil(min(retry_after_ms, MAX_REFUSAL_MS))
    health.refuses_until_ms = max(health.refuses_until_ms, until_ms)
    health.needs_trial = True


def record_request(health: ServerHealth, now_ms: int) -> None:
    """Record that a server is sent a request."""
    if health.needs_trial:
        health.on_trial_until_ms = now_ms + TRIAL_TIMEOUT_MS


def record_acceptance(health: ServerHealth, now_ms: int) -> None:
    """Record that a server has answered a request without a refusal.

    During the time of a refusal, the answer is to an earlier request.
    """
    if not compute_refusal_ms(health, now_ms):
        health.needs_trial = False
        health.on_trial_until_ms = 0


def record_limit(health: ServerHealth, stated: StatedLimit) -> bool:
    """Record the limit that a server states; return whether another one holds now."""
    previous_per_s = get_limit_per_s(health)
    health.limit = merge_limits(health.limit, stated)
    return get_limit_per_s(health) != previous_per_s


def merge_limits(known: StatedLimit | None, stated: StatedLimit) -> StatedLimit | None:
    """Return the limit that holds, as far as two statements of one server show it.

    A statement that was read before the other was asked for is older. If neither is,
    the lower limit holds until a newer statement comes.
    """
    if known is None:
        return stated if stated.per_s is not None else None
    if stated.sent_ms >= known.read_ms:
        return stated
    is_lower = _limit_or_infinity(stated) <= _limit_or_infinity(known)
    if stated.read_ms <= known.sent_ms or not is_lower:
        return known
    return StatedLimit(
        stated.per_s,
        max(stated.sent_ms, known.sent_ms),
        max(stated.read_ms, known.read_ms),
    )


def get_limit_per_s(health: ServerHealth) -> float | None:
    """Return the requests a second that a server takes, or None without a limit."""
    return health.limit.per_s if health.limit is not None else None


def _limit_or_infinity(stated: StatedLimit) -> float:
    return math.inf if stated.per_s is None else stated.per_s


def is_on_trial(health: ServerHealth, now_ms: int) -> bool:
    """Return whether a server that has refused has yet to answer the next request."""
    return now_ms < health.on_trial_until_ms


def copy_notices(source: ServerHealth, target: ServerHealth) -> None:
    """Copy what an incarnation has said of itself to another record of it."""
    target.is_leaving = source.is_leaving
    target.refuses_until_ms = source.refuses_until_ms
    target.needs_trial = source.needs_trial
    target.limit = source.limit


def has_ended(health: ServerHealth) -> bool:
    """Return whether it is shown that the incarnation runs nothing any more."""
    return health.end_proof is not None


def compute_silence_ms(health: ServerHealth, now_ms: int) -> int:
    """Return for how long a server has been silent; 0 if it is not."""
    if health.silent_since_ms is None:
        return 0
    return max(0, now_ms - health.silent_since_ms)


def accepts_connections(health: ServerHealth) -> bool:
    """Return whether the last connection attempt succeeded, as far as is known."""
    return not has_ended(health) and Silence.CONNECTION not in health.silences


def is_presumed_lost(health: ServerHealth, now_ms: int) -> bool:
    """Return whether others have to stand in for a server: no proof of its end."""
    silence_ms = compute_silence_ms(health, now_ms)
    return has_ended(health) or silence_ms >= PRESUMED_LOST_SILENCE_MS


def find_cutoff_ms(health: ServerHealth) -> float:
    """Return from when on a server is presumed to be cut off; infinity if never.

    The operating system accepts connections also for a process that is silent. So a
    server that has accepted none for long is cut off rather than silent.
    """
    if health.unconnectable_since_ms is None:
        return math.inf
    return health.unconnectable_since_ms + PRESUMED_LOST_SILENCE_MS


def compute_refusal_ms(health: ServerHealth, now_ms: int) -> int:
    """Return for how much longer a server asks for no requests."""
    return max(0, health.refuses_until_ms - now_ms)


def find_acceptance_ms(health: ServerHealth) -> float:
    """Return from when on a server may be sent new requests; infinity if never."""
    if health.is_leaving or has_ended(health):
        return math.inf
    return health.refuses_until_ms


def accepts_requests(health: ServerHealth, now_ms: int) -> bool:
    """Return whether a server may be sent new requests.

    A silent one may, as a last resort.
    """
    return now_ms >= find_acceptance_ms(health)


__all__ = [
    "MAX_REFUSAL_MS",
    "PRESUMED_LOST_SILENCE_MS",
    "TRIAL_TIMEOUT_MS",
    "EndProof",
    "ServerHealth",
    "Silence",
    "StatedLimit",
    "accepts_connections",
    "accepts_requests",
    "compute_refusal_ms",
    "compute_silence_ms",
    "copy_notices",
    "find_acceptance_ms",
    "find_cutoff_ms",
    "get_limit_per_s",
    "has_ended",
    "is_on_trial",
    "is_presumed_lost",
    "merge_limits",
    "record_acceptance",
    "record_connection",
    "record_contact",
    "record_end",
    "record_leaving",
    "record_limit",
    "record_refusal",
    "record_request",
    "record_silence",
]

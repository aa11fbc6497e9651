"""The capacity in use at backend servers, and what a view tells an entry of it.

Views carry only the differences that can change a choice of servers. A difference at
a server of another availability zone has to be larger, since entries choose these only
if their own zone lacks room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Set as AbstractSet

# Tokens and first-stage streams of a server are sent again once they differ from what
# was sent by more than this fraction of it.
NEAR_CHANGE_FRACTION = 1 / 10
FAR_CHANGE_FRACTION = 1 / 4
# Smaller differences are not sent: the memory of a request, and a few of the slots, of
# which a server has about a hundred.
MIN_TOKEN_CHANGE = 1_024
MIN_STREAM_CHANGE = 3
# All uses are sent again after this long, so that what was left out does not stay.
FULL_USAGE_INTERVAL_MS = 10_000


class ServerUsage(NamedTuple):
    """The capacity of a backend server that requests occupy.

    tokens counts tokens of memory; first counts the streams that start at this
    backend server, each of which occupies one of its slots.
    """

    tokens: int
    first: int


NO_USAGE = ServerUsage(0, 0)


class UsageUpdate(NamedTuple):
    """The uses in a view, and whether they are only those that have changed."""

    version: int
    usage_by_server: dict[str, ServerUsage]
    are_changes: bool


class SentUsage:
    """What one entry has been sent of the others' usage."""

    def __init__(self) -> None:
        self.version = 0
        self.full_ms = 0
        self.usage_by_server: dict[str, ServerUsage] = {}


def build_update(
    sent: SentUsage,
    usage_by_server: dict[str, ServerUsage],
    near_servers: AbstractSet[str],
    known_version: int,
    now_ms: int,
) -> UsageUpdate:
    """Return what an entry that knows a version is to be sent, and record it as sent.

    The entry may not have received the last update, and is then sent everything.
    """
    is_known = known_version == sent.version != 0
    if not is_known or now_ms - sent.full_ms >= FULL_USAGE_INTERVAL_MS:
        sent.version += 1
        sent.full_ms = now_ms
        sent.usage_by_server = usage_by_server
        return UsageUpdate(sent.version, usage_by_server, False)
    changes = select_changes(sent.usage_by_server, usage_by_server, near_servers)
    if changes:
        sent.version += 1
        sent.usage_by_server = {**sent.usage_by_server, **changes}
    return UsageUpdate(sent.version, changes, True)


def select_changes(
    sent: Mapping[str, ServerUsage],
    current: Mapping[str, ServerUsage],
    near_servers: AbstractSet[str],
) -> dict[str, ServerUsage]:
    """Return the current usage of the servers where it differs enough to matter."""
    return {
        server: usage
        for server in sent.keys() | current.keys()
        for usage in (current.get(server, NO_USAGE),)
        if _differs(
            sent.get(server, NO_USAGE),
            usage,
            NEAR_CHANGE_FRACTION if server in near_servers else FAR_CHANGE_FRACTION,
        )
    }


def _differs(sent: ServerUsage, current: ServerUsage, fraction: float) -> bool:
    token_threshold = max(MIN_TOKEN_CHANGE, fraction * sent.tokens)
    stream_threshold = max(MIN_STREAM_CHANGE, fraction * sent.first)
    return (
        abs(current.tokens - sent.tokens) > token_threshold
        or abs(current.first - sent.first) > stream_threshold
    )


__all__ = [
    "NO_USAGE",
    "SentUsage",
    "ServerUsage",
    "UsageUpdate",
    "build_update",
    "select_changes",
]

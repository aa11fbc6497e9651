"""The tokens of requests that wait at entries, by service and priority.

Entries report them with their polls while something waits, and get the sums of the
others with their views, so that the priority order holds across entries.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.proto import control_pb2 as cpb

if TYPE_CHECKING:
    from collections.abc import Iterable

# The field is a uint32.
MAX_REPORTED_TOKENS = 2**32 - 1


class WaitingKey(NamedTuple):
    """A service, and a priority of which 0 is the most urgent."""

    service: str
    priority: int


WaitingCounts = Counter[WaitingKey]


class WaitingReport(NamedTuple):
    """What waits at one entry, and when it said so."""

    received_ms: int
    tokens_by_key: WaitingCounts


def read_waiting(messages: Iterable[cpb.WaitingTokens], now_ms: int) -> WaitingReport:
    """Return what a poll reports."""
    return WaitingReport(now_ms, read_messages(messages))


def read_messages(messages: Iterable[cpb.WaitingTokens]) -> WaitingCounts:
    """Return the tokens by service and priority."""
    tokens_by_key: WaitingCounts = Counter()
    for message in messages:
        key = WaitingKey(message.service, message.priority)
        tokens_by_key[key] += message.tokens
    return tokens_by_key


def sum_waiting(reports: Iterable[WaitingReport]) -> WaitingCounts:
    """Return what waits at several entries together."""
    total: WaitingCounts = Counter()
    for report in reports:
        total.update(report.tokens_by_key)
    return total


def build_messages(tokens_by_key: WaitingCounts) -> list[cpb.WaitingTokens]:
    """Return the messages for a poll or a view; none where nothing waits."""
    return [
        cpb.WaitingTokens(
            service=key.service,
            priority=key.priority,
            tokens=min(tokens, MAX_REPORTED_TOKENS),
        )
        for key, tokens in sorted(tokens_by_key.items())
        if tokens > 0
    ]


__all__ = [
    "WaitingCounts",
    "WaitingKey",
    "WaitingReport",
    "build_messages",
    "read_messages",
    "read_waiting",
    "sum_waiting",
]

"""Withdrawals in the replicated state: backend servers that take no new work.

A withdrawal is a departure or the report of a drain. It is committed before it is
acknowledged, since the server sends a departure only once, and may serve on for a while
without sending heartbeats.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.proto import control_pb2 as cpb

if TYPE_CHECKING:
    from collections.abc import Iterable

# Longer than a server serves after its withdrawal, and than an instance that restarts
# needs to apply the log. Its saved members may list the server until then.
WITHDRAWAL_RETENTION_MS = 600_000
MAX_WITHDRAWALS = 10_000


class WithdrawalOrder(NamedTuple):
    """Position of a withdrawal among those of one name; a later one is newer."""

    started_ms: int
    departed: bool
    sequence: int


class Withdrawals:
    """The newest withdrawal of each backend server, ordered by their last change.

    changes numbers the changes of records, so that a reader can ask for those after the
    number it has seen.
    """

    def __init__(
        self, records: Iterable[cpb.Withdrawal] = (), changes: int = 0
    ) -> None:
        self.record_by_name = {record.backend_server: record for record in records}
        self.changes = changes

    def apply(self, withdrawal: cpb.Withdrawal, now_ms: int) -> None:
        """Store a withdrawal unless it is covered already, and remove old ones.

        One without a start cannot be told from that of a later incarnation, and is
        not stored.
        """
        if not withdrawal.started_ms or self.covers(withdrawal):
            return
        self.changes += 1
        self.record_by_name.pop(withdrawal.backend_server, None)
        stored = cpb.Withdrawal()
        stored.CopyFrom(withdrawal)
        stored.at_ms, stored.change = now_ms, self.changes
        self.record_by_name[withdrawal.backend_server] = stored
        while self._is_oldest_expendable(now_ms):
            del self.record_by_name[next(iter(self.record_by_name))]

    def _is_oldest_expendable(self, now_ms: int) -> bool:
        oldest = next(iter(self.record_by_name.values()))
        return (
            now_ms - oldest.at_ms > WITHDRAWAL_RETENTION_MS
            or len(self.record_by_name) > MAX_WITHDRAWALS
        )

    def covers(self, withdrawal: cpb.Withdrawal) -> bool:
        """Return whether the same withdrawal of a server is stored, or a newer one."""
        known = self.record_by_name.get(withdrawal.backend_server)
        return known is not None and _get_order(known) >= _get_order(withdrawal)

    def has_withdrawn(self, name: str, started_ms: int) -> bool:
        """Return whether an incarnation, or a later one, has drained or departed."""
        known = self.record_by_name.get(name)
        return known is not None and known.started_ms >= started_ms

    def list_after(self, change: int) -> list[cpb.Withdrawal]:
        """Return the records that changed after a number, oldest first."""
        newer = itertools.takewhile(
            lambda record: record.change > change,
            reversed(self.record_by_name.values()),
        )
        return list(newer)[::-1]


def _get_order(withdrawal: cpb.Withdrawal) -> WithdrawalOrder:
    return WithdrawalOrder(
        withdrawal.started_ms, withdrawal.departed, withdrawal.sequence
    )


__all__ = ["Withdrawals"]

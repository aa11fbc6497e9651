"""Storage of a control instance without a data folder."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from yuccareach.control.raft_types import StoredState
from yuccareach.proto import control_pb2 as cpb

if TYPE_CHECKING:
    from collections.abc import Sequence


class MemoryStore:
    """Stores nothing: each start gets a new identity and an empty log.

    An instance with this store must not vote. Its log, snapshot and members are kept by
    the replicated state and the table of members, and are sent to it again after a
    restart.
    """

    def __init__(self, name: str) -> None:
        self.name = name

    def load(self) -> StoredState:
        """Return an empty state with a new identity."""
        identity = f"{self.name}-{secrets.token_hex(4)}"
        return StoredState(cpb.HardState(identity=identity), cpb.SnapshotFile(), [])

    def append(self, records: Sequence[cpb.LogRecord]) -> None:
        """Do nothing."""

    def sync(self) -> None:
        """Do nothing."""

    def save_hard_state(self, state: cpb.HardState) -> None:
        """Do nothing."""

    def save_snapshot(
        self, snapshot: cpb.SnapshotFile, later_records: Sequence[cpb.LogRecord]
    ) -> None:
        """Do nothing."""

    def save_members(self, members: cpb.RaftFrame) -> None:
        """Do nothing."""

    def load_members(self) -> cpb.RaftFrame:
        """Return no heartbeats."""
        return cpb.RaftFrame()

    def check_writable(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


__all__ = ["MemoryStore"]

"""Storing what a batch of effects changed, before any other effect is performed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from yuccareach.control.raft_types import AppendRecords, SaveHardState, SaveSnapshot

if TYPE_CHECKING:
    from yuccareach.control.raft_types import RaftState
    from yuccareach.proto import control_pb2 as cpb


class Store(Protocol):
    """Storage of one control instance's log, vote and snapshot."""

    def append(self, records: list[cpb.LogRecord]) -> None:
        """Write records; they survive a crash only after sync."""

    def sync(self) -> None:
        """Sync all written records to the disk."""

    def save_hard_state(self, state: cpb.HardState) -> None:
        """Replace the stored term and vote, and sync them."""

    def save_snapshot(
        self, snapshot: cpb.SnapshotFile, later_records: list[cpb.LogRecord]
    ) -> None:
        """Replace the snapshot, keep only the records after it, and sync both."""


def persist(store: Store, state: RaftState, effects: list[Any]) -> None:
    """Write and sync the term, vote, records and snapshot of a batch of effects.

    Raises DiskFailed. No message or answer of the batch may be sent then, as it could
    acknowledge state that a crash loses.
    """
    records: list[cpb.LogRecord] = []
    for effect in effects:
        if isinstance(effect, SaveHardState):
            store.save_hard_state(effect.state)
        elif isinstance(effect, AppendRecords):
            records += effect.records
    if records:
        store.append(records)
        store.sync()
    if any(isinstance(effect, SaveSnapshot) for effect in effects):
        store.save_snapshot(state.snapshot, state.records)


__all__ = ["Store", "persist"]

"""Carrying out the effects of the log in an order that keeps its promises."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from yuccareach.control.raft_types import AppendRecords, SaveHardState, SaveSnapshot

if TYPE_CHECKING:
    from yuccareach.control.raft_types import RaftState
    from yuccareach.proto import control_pb2 as cpb


class Store(Protocol):
    """What keeps the log of one control instance."""

    def append(self, records: list[cpb.LogRecord]) -> None:
        """Write records; they last only after sync."""

    def sync(self) -> None:
        """Make everything written last."""

    def save_hard_state(self, state: cpb.HardState) -> None:
        """Replace term and vote, synced."""

    def save_snapshot(
        self, snapshot: cpb.SnapshotFile, rest: list[cpb.LogRecord]
    ) -> None:
        """Replace the snapshot and keep the records after it, synced."""


def persist(store: Store, state: RaftState, effects: list[Any]) -> None:
    """Write and sync everything that the other effects rely on.

    Raises DiskFailed; then none of the effects may be carried out.
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

"""Counts of lost backend servers in the replicated state.

The rules by which a count is newer than another are those of the entries.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from yuccareach.proto import control_pb2 as cpb
from yuccareach.quarantine.counts import (
    MAX_FINGERPRINTS,
    NO_LOSSES,
    LossCount,
    has_more_losses,
    merge_counts,
    select_eviction,
)
from yuccareach.quarantine.reporting import read_count

if TYPE_CHECKING:
    from collections.abc import Iterable


class LossCounts:
    """Records by fingerprint, ordered by their last change.

    changes numbers the changes of records, so that a watcher is sent only those after
    the number it has seen.
    """

    def __init__(self, changes: int = 0) -> None:
        self.record_by_fingerprint: dict[bytes, cpb.QuarantineRecord] = {}
        self.changes = changes

    def apply_reports(self, reports: Iterable[cpb.LossReport], now_ms: int) -> None:
        """Store the reported counts that are newer than the stored ones."""
        self._remove_expired(now_ms)
        for report in reports:
            count = read_count(report)
            known = self._get_count(report.fingerprint)
            merged = merge_counts(known, count)
            if has_more_losses(count, known):
                expires_ms = now_ms + report.retention_ms
            elif merged != known:
                expires_ms = self.record_by_fingerprint[report.fingerprint].expires_ms
            else:
                continue
            self._store(report.fingerprint, merged, expires_ms)

    def apply_single_loss(self, request: cpb.Quarantine, now_ms: int) -> None:
        """Apply a command that an earlier version wrote: one more loss."""
        self._remove_expired(now_ms)
        previous = self._get_count(request.fingerprint)
        count = previous._replace(losses=previous.losses + 1)
        self._store(request.fingerprint, count, now_ms + request.duration_ms)

    def _remove_expired(self, now_ms: int) -> None:
        self.record_by_fingerprint = {
            record.fingerprint: record for record in self.list_current(now_ms)
        }

    def _get_count(self, fingerprint: bytes) -> LossCount:
        record = self.record_by_fingerprint.get(fingerprint)
        if record is None:
            return NO_LOSSES
        return read_count(record)

    def _store(self, fingerprint: bytes, count: LossCount, expires_ms: int) -> None:
        records = self.record_by_fingerprint
        records.pop(fingerprint, None)
        self.changes += 1
        records[fingerprint] = cpb.QuarantineRecord(
            fingerprint=fingerprint,
            expires_ms=expires_ms,
            losses=count.losses,
            change=self.changes,
            generation=count.generation,
            lost_servers=count.lost_servers,
            exposed_servers=count.exposed_servers,
        )
        while len(records) > MAX_FINGERPRINTS:
            evicted = select_eviction(
                (key, record.losses) for key, record in records.items()
            )
            del records[evicted]

    def list_after(
        self, change: int, wall_ms: int, limit: int = MAX_FINGERPRINTS
    ) -> list[cpb.QuarantineRecord]:
        """Return the oldest records newer than the number of a change.

        At most `limit` records are returned. Those that have expired by the wall
        clock's wall_ms are left out.
        """
        newer = itertools.takewhile(
            lambda record: record.change > change,
            reversed(self.record_by_fingerprint.values()),
        )
        current = [record for record in newer if record.expires_ms > wall_ms]
        return current[: -limit - 1 : -1]

    def list_current(self, now_ms: int) -> list[cpb.QuarantineRecord]:
        """Return the records that have not expired, ordered by their last change."""
        return [
            record
            for record in self.record_by_fingerprint.values()
            if record.expires_ms > now_ms
        ]


def load_loss_counts(
    records: Iterable[cpb.QuarantineRecord], changes: int
) -> LossCounts:
    """Restore counts from the records of a snapshot."""
    counts = LossCounts(changes)
    counts.record_by_fingerprint = {
        record.fingerprint: record
        for record in sorted(records, key=lambda record: record.change)
    }
    return counts


__all__ = ["LossCounts", "load_loss_counts"]

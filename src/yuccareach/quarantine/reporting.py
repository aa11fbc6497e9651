"""Reporting loss counts to control, which shares them among all entries."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from yuccareach.control.errors import ControlUnavailable
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quarantine.counts import (
    MAX_FINGERPRINTS,
    LossCount,
    compute_retention_ms,
)
from yuccareach.quarantine.fingerprints import format_fingerprint, format_fingerprints
from yuccareach.quarantine.table import merge_count
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from yuccareach.quarantine.table import CountChange, QuarantineTable

RETRY_DELAY_S = 0.2
MAX_REPORTS_PER_COMMAND = 500
# What a fingerprint in a log line belongs to.
REQUEST = "request"
PART = "part"


class LossReporter:
    """Sends the newest counts to control, again until control has stored them."""

    def __init__(self) -> None:
        self.unreported_by_fingerprint: dict[bytes, LossCount] = {}
        self.has_unreported = asyncio.Event()

    def add(self, changes: Iterable[CountChange]) -> None:
        """Report changes of counts; only the newest of each fingerprint is sent.

        Without control, the oldest above MAX_FINGERPRINTS are dropped.
        """
        for change in changes:
            self.unreported_by_fingerprint[change.fingerprint] = change.loss_count
        while len(self.unreported_by_fingerprint) > MAX_FINGERPRINTS:
            del self.unreported_by_fingerprint[
                next(iter(self.unreported_by_fingerprint))
            ]
        if self.unreported_by_fingerprint:
            self.has_unreported.set()

    async def run(
        self,
        submit: Callable[[cpb.Command], Awaitable[object]],
        log: Callable[[Log], None],
    ) -> None:
        """Send reports until the task is cancelled.

        submit sends a command to the leader, and raises ControlUnavailable on failure.
        """
        while True:
            await self.has_unreported.wait()
            counts = dict(
                list(self.unreported_by_fingerprint.items())[:MAX_REPORTS_PER_COMMAND]
            )
            try:
                await submit(build_command(counts))
            except ControlUnavailable as error:
                fields = {"losses": len(counts), "reason": str(error)}
                log(Log("losses_unreported", fields, logging.WARNING))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            for fingerprint, count in counts.items():
                if self.unreported_by_fingerprint.get(fingerprint) == count:
                    del self.unreported_by_fingerprint[fingerprint]
            if not self.unreported_by_fingerprint:
                self.has_unreported.clear()


def build_command(count_by_fingerprint: dict[bytes, LossCount]) -> cpb.Command:
    """Return the command by which control stores counts."""
    return cpb.Command(
        losses=cpb.LossReports(
            reports=[
                cpb.LossReport(
                    fingerprint=fingerprint,
                    generation=count.generation,
                    losses=count.losses,
                    retention_ms=compute_retention_ms(count),
                    lost_servers=count.lost_servers,
                    exposed_servers=count.exposed_servers,
                )
                for fingerprint, count in count_by_fingerprint.items()
            ]
        )
    )


def read_count(message: cpb.LossReport | cpb.QuarantineRecord) -> LossCount:
    """Return the count in a report or a record."""
    return LossCount(
        message.generation,
        message.losses,
        tuple(sorted(message.lost_servers)),
        tuple(sorted(message.exposed_servers)),
    )


def merge_records(
    quarantine: QuarantineTable,
    records: Iterable[cpb.QuarantineRecord],
    wall_ms: int,
    now_ms: int,
) -> None:
    """Merge the counts of all entries, as control sent them at its time wall_ms.

    Control instances of earlier versions send no time; counts are kept anew then.
    """
    for record in records:
        count = read_count(record)
        remaining_ms = (
            record.expires_ms - wall_ms if wall_ms else compute_retention_ms(count)
        )
        merge_count(quarantine, record.fingerprint, count, remaining_ms, now_ms)


def build_log(change: CountChange) -> Log:
    """Return the log line of a changed count."""
    fields = {
        "request": change.request,
        "workspace": change.workspace,
        "accused": PART if change.is_part else REQUEST,
        "fingerprint": format_fingerprint(change.fingerprint),
        "losses": change.loss_count.losses,
        "generation": change.loss_count.generation,
    }
    if not change.incarnation:
        return Log("losses_reset", fields)
    parts = format_fingerprints(change.parts)
    return Log(
        "loss_noted", fields | {"incarnation": change.incarnation, "parts": parts}
    )


__all__ = [
    "PART",
    "REQUEST",
    "LossReporter",
    "build_command",
    "build_log",
    "merge_records",
    "read_count",
]

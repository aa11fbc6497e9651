"""Measure what the counts of lost backend servers cost, and write the result.

python -m bench.losses
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING

from yuccareach.control.state_machine import StateMachine
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quarantine.counts import NO_LOSSES, LossCount
from yuccareach.quarantine.parts import MIN_ACCUSING_SERVERS, record_attempt
from yuccareach.quarantine.reporting import build_command, merge_records
from yuccareach.quarantine.table import (
    QuarantineTable,
    TrackedAttempt,
    TrackedPart,
    add_pending_loss,
    confirm_losses,
    merge_count,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

PATH = Path("docs/capacity/losses.json")
COUNTS = 20_000
WALL_MS = 1_000
# Streams that a lost server was running, and parts of each of their prompts.
STREAMS = 96
PARTS = 3
REPEATS = 9
LOST_SERVERS = tuple(range(MIN_ACCUSING_SERVERS))


def main() -> None:
    """Measure counts of requests and of prompt parts, and a crash, and write them."""
    part_count = LossCount(1, 1, LOST_SERVERS, LOST_SERVERS)
    result = {
        **_take_least(measure_counts(LossCount(1, 1)) for _ in range(REPEATS)),
        "part": _take_least(measure_counts(part_count) for _ in range(REPEATS)),
        "crash": _take_least(measure_crash() for _ in range(REPEATS)),
    }
    PATH.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    print(json.dumps(result))


def _take_least(results: Iterable[dict[str, float]]) -> dict[str, float]:
    """Return the least of each figure, since other load only adds processor time."""
    items = list(results)
    return {name: min(item[name] for item in items) for name in items[0]}


def measure_counts(count: LossCount) -> dict[str, float]:
    """Measure size and processor time with the most counts that are kept."""
    counts = {number.to_bytes(16, "big"): count for number in range(COUNTS)}
    command = build_command(counts)
    command.losses.at_ms = WALL_MS
    machine = StateMachine()
    started_s = time.process_time()
    machine.apply(command)
    apply_s = time.process_time() - started_s
    started_s = time.process_time()
    view = cpb.View(losses=machine.loss_counts.list_after(0, WALL_MS))
    send_s = time.process_time() - started_s
    table = QuarantineTable()
    started_s = time.process_time()
    merge_records(table, view.losses, WALL_MS, 0)
    merge_s = time.process_time() - started_s
    return {
        "counts": COUNTS,
        "bytes_in_view": view.ByteSize() / COUNTS,
        "bytes_in_log": command.ByteSize() / COUNTS,
        "bytes_in_snapshot": len(machine.dump()) / COUNTS,
        "apply_us": apply_s / COUNTS * 1e6,
        "send_us": send_s / COUNTS * 1e6,
        "merge_us": merge_s / COUNTS * 1e6,
    }


def measure_crash() -> dict[str, float]:
    """Measure the loss of one server under streams with no prompt part in common.

    An earlier loss of the parts was known when they began, and a table full of other
    counts has to be searched for whom to accuse.
    """
    table = QuarantineTable()
    for number in range(COUNTS - STREAMS * (PARTS + 1)):
        merge_count(table, number.to_bytes(16, "big"), LossCount(0, 1), 10_000, 0)
    known = LossCount(0, 2, LOST_SERVERS, LOST_SERVERS)
    for stream in range(STREAMS):
        parts = [_identify(stream, part) for part in range(1, PARTS + 1)]
        record_attempt(table.part_history, parts)
        tracked = tuple(TrackedPart(part, known) for part in parts)
        for part in parts:
            merge_count(table, part, known, 10_000, 0)
        attempt = TrackedAttempt(_identify(stream, 0), NO_LOSSES, "r", "w", tracked)
        add_pending_loss(table, attempt, "i", 0)
    started_s = time.process_time()
    changes = confirm_losses(table, "i", 0)
    elapsed_s = time.process_time() - started_s
    return {
        "streams": STREAMS,
        "parts": PARTS,
        "changes": len(changes),
        "count_ms": elapsed_s * 1e3,
    }


def _identify(stream: int, part: int) -> bytes:
    return b"%8d%8d" % (stream, part)


if __name__ == "__main__":
    main()

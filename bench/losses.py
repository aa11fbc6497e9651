"""Measure what the counts of lost backend servers cost, and write the result.

python -m bench.losses
"""

from __future__ import annotations

import json
import time
from pathlib import Path

from yuccareach.control.state_machine import StateMachine
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quarantine.counts import LossCount
from yuccareach.quarantine.reporting import build_command, merge_records
from yuccareach.quarantine.table import QuarantineTable

PATH = Path("docs/capacity/losses.json")
COUNTS = 20_000
WALL_MS = 1_000


def main() -> None:
    """Measure size and processor time with the most counts that are kept."""
    counts = {number.to_bytes(16, "big"): LossCount(1, 1) for number in range(COUNTS)}
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
    result = {
        "counts": COUNTS,
        "bytes_in_view": view.ByteSize() / COUNTS,
        "bytes_in_log": command.ByteSize() / COUNTS,
        "bytes_in_snapshot": len(machine.dump()) / COUNTS,
        "apply_us": apply_s / COUNTS * 1e6,
        "send_us": send_s / COUNTS * 1e6,
        "merge_us": merge_s / COUNTS * 1e6,
    }
    PATH.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    print(json.dumps(result))


if __name__ == "__main__":
    main()

"""Print the processor time per log line: logs on, logs off, and a stalled reader."""

from __future__ import annotations

import logging
import os
import time

from yuccareach.runtime import logs

# The log drops lines of one event beyond a limit, so lines of many events are written.
EVENT_COUNT = 400
LINES_PER_EVENT = 100
# Lines that a gateway logs for a stream answered at once: stream_sent, request_ended.
LINES_PER_STREAM = 2
_FIELDS = {
    "request": "5c89a04ad7b0d4c2",
    "attempt": 1,
    "chain": ",".join(f"i-{number:010x}=0-16" for number in range(8)),
    "token_ms": 13.17,
    "members": 72,
    "after_event": None,
}


def measure_microseconds_per_line(level: str, descriptor: int) -> float:
    """Return the processor time per line when writing to a file descriptor."""
    logs.configure(level, "front-1")
    log = logs.logger("gateway")
    handler = logging.getLogger("yuccareach").handlers[0]
    assert isinstance(handler, logs.BoundedHandler)
    handler.writer = logs.LogWriter(descriptor)
    started_s = time.process_time()
    for event in range(EVENT_COUNT):
        for _ in range(LINES_PER_EVENT):
            logs.write_log(log, logs.Log(f"event_{event}", _FIELDS))
    return (time.process_time() - started_s) / (EVENT_COUNT * LINES_PER_EVENT) * 1e6


def main() -> None:
    """Measure and print the cost of a line in all three cases."""
    null_descriptor = os.open(os.devnull, os.O_WRONLY)
    read_descriptor, unread_descriptor = os.pipe()
    enabled_us = measure_microseconds_per_line("info", null_descriptor)
    disabled_us = measure_microseconds_per_line("error", null_descriptor)
    stalled_us = measure_microseconds_per_line("info", unread_descriptor)
    print(
        f"on {enabled_us:.1f} us a line, off {disabled_us:.2f}, "
        f"reader stalled {stalled_us:.1f}"
    )
    stream_cost_us = LINES_PER_STREAM * (enabled_us - disabled_us)
    print(f"a stream answered at once costs {stream_cost_us:.0f} us in lines")
    os.close(read_descriptor)


if __name__ == "__main__":
    main()

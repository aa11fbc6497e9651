"""Prints what one log line costs in processor time, with logs on, off and unread."""

from __future__ import annotations

import logging
import os
import time

from yuccareach.runtime import logs

# Lines of one event beyond a limit are left out, so that many events are written.
EVENTS = 400
LINES = 100
# Gateway lines of a stream that is answered at once: stream_sent and request_ended.
LINES_PER_STREAM = 2
_FIELDS = {
    "request": "5c89a04ad7b0d4c2",
    "attempt": 1,
    "chain": ",".join(f"i-{number:010x}=0-16" for number in range(8)),
    "token_ms": 13.17,
    "members": 72,
    "after_event": None,
}


def microseconds_per_line(level: str, descriptor: int) -> float:
    """Write lines of many events to a descriptor."""
    logs.configure(level, "front-1")
    log = logs.logger("gateway")
    handler = logging.getLogger("yuccareach").handlers[0]
    assert isinstance(handler, logs.BoundedHandler)
    handler.writer = logs.LogWriter(descriptor)
    begun = time.process_time()
    for event in range(EVENTS):
        for _ in range(LINES):
            logs.write_log(log, logs.Log(f"event_{event}", _FIELDS))
    return (time.process_time() - begun) / (EVENTS * LINES) * 1e6


def main() -> None:
    """Measure all three."""
    nowhere = os.open(os.devnull, os.O_WRONLY)
    reader, unread = os.pipe()
    on = microseconds_per_line("info", nowhere)
    off = microseconds_per_line("error", nowhere)
    stalled = microseconds_per_line("info", unread)
    print(f"on {on:.1f} us a line, off {off:.2f}, reader stalled {stalled:.1f}")
    price_us = LINES_PER_STREAM * (on - off)
    print(f"a stream answered at once costs {price_us:.0f} us in lines")
    os.close(reader)


if __name__ == "__main__":
    main()

"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import os
import select
from collections import Counter, deque
from typing import Any, NamedTuple

from pythonjsonlogger.core import BaseJsonFormatter

STANDARD_OUTPUT = 1
# Lines of one event a second that are written; those of bad endings have more room.
ROUTINE_LINES_PER_S = 200
URGENT_LINES_PER_S = 1_000
# What waits while the reader of the logs does not read; routine lines use half of it.
BUFFER_BYTES = 1 << 20
# Between two lines that say how many were left out.
OMITTED_INTERVAL_S = 1.0
_QUOTED = set(' "=\n\r\t')


class Log(NamedTuple):
    """An effect: write one log line."""

    event: str
    fields: dict[str, Any]
    level: int = logging.INFO


class LogWriter:
    """Writes lines to a descriptor as far as it takes them, and buffers the rest."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        # Others may share the descriptor, so that it stays in its mode.
        self.writable = select.poll()
        self.writable.register(descriptor, select.POLLOUT)
        self.buffer: deque[bytes] = deque()
        self.buffered = 0
        self.second = 0
        self.lines_by_event: Counter[str] = Counter()
        self.omitted_by_event: Counter[str] = Counter()
        self.told_s = 0.0

    def admit(self, event: str, urgent: bool, now_s: float) -> bool:
        """Return whether a line may be written; counts the one that may not."""
        if int(now_s) != self.second:
            self.second = int(now_s)
            self.lines_by_event.clear()
        self.lines_by_event[event] += 1
        most = URGENT_LINES_PER_S if urgent else ROUTINE_LINES_PER_S
        room = BUFFER_BYTES if urgent else BUFFER_BYTES // 2
        if self.lines_by_event[event] <= most and self.buffered < room:
            return True
        self.omitted_by_event[event] += 1
        return False

    def put(self, line: bytes) -> None:
        """Write a line, after those that still wait."""
        self.buffer.append(line)
        self.buffered += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self.buffer and self.writable.poll(0):
            line = self.buffer[0]
            try:
                written = os.write(self.descriptor, line[: select.PIPE_BUF])
            except OSError:
                # Nobody will read these lines any more.
                self.buffer.clear()
                self.buffered = 0
                return
            self.buffered -= written
            if written < len(line):
                self.buffer[0] = line[written:]
            else:
                self.buffer.popleft()

    def take_omitted(self, now_s: float) -> dict[str, int]:
        """Return how many lines of which event were left out, now and then."""
        due = now_s - self.told_s >= OMITTED_INTERVAL_S or now_s < self.told_s
        if not self.omitted_by_event or not due or self.buffered >= BUFFER_BYTES:
            return {}
        omitted = {f"n_{event}": n for event, n in self.omitted_by_event.items()}
        self.omitted_by_event.clear()
        self.told_s = now_s
        return omitted


def _quote(value: Any) -> str:
    """Render one value, quoted where it would break the line."""
    text = str(value)
    if text and not _QUOTED.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


class KeyValueFormatter(BaseJsonFormatter):  # type: ignore[misc]
    """Render a record's fields as key=value pairs in place of JSON."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the line for one record."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


class BoundedHandler(logging.Handler):
    """Hands lines to a writer that never blocks, and says how many were left out."""

    def __init__(self, writer: LogWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Format and write one record, if there is room for it."""
        urgent = record.levelno >= logging.WARNING
        if self.writer.admit(record.getMessage(), urgent, record.created):
            line = self.format(record)
            self.writer.put(line.encode("utf-8", "replace") + b"\n")
        omitted = self.writer.take_omitted(record.created)
        if omitted:
            notice = logging.makeLogRecord(
                {
                    "name": record.name,
                    "msg": "log_lines_omitted",
                    "levelno": logging.WARNING,
                    "levelname": "WARNING",
                    **omitted,
                }
            )
            self.writer.put(self.format(notice).encode() + b"\n")


def configure(level: str, instance: str) -> None:
    """Send the logs of this process to standard output, without ever waiting for it."""
    handler = BoundedHandler(LogWriter(STANDARD_OUTPUT))
    handler.setFormatter(
        KeyValueFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "message": "event",
            },
            static_fields={"instance": instance},
        )
    )
    root = logging.getLogger("yuccareach")
    root.handlers[:] = [handler]
    root.propagate = False
    root.setLevel(level.upper())


def logger(name: str) -> logging.Logger:
    """Return the logger of one role."""
    return logging.getLogger(f"yuccareach.{name}")


def write_log(log: logging.Logger, effect: Log) -> None:
    """Perform a Log effect."""
    if log.isEnabledFor(effect.level):
        log.log(effect.level, effect.event, extra=effect.fields)


__all__ = [
    "BoundedHandler",
    "KeyValueFormatter",
    "Log",
    "LogWriter",
    "configure",
    "logger",
    "write_log",
]

"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import os
import select
from collections import Counter, deque
from typing import Any, NamedTuple

from pythonjsonlogger.core import BaseJsonFormatter

STANDARD_OUTPUT = 1
# Maximum lines per second and event; warnings and errors count as urgent.
MAX_ROUTINE_LINES_PER_S = 200
MAX_URGENT_LINES_PER_S = 1_000
# Bytes buffered while the reader of the logs stalls; routine lines may fill half.
MAX_BUFFERED_BYTES = 1 << 20
# Interval between two lines that report how many lines were omitted.
OMITTED_NOTICE_INTERVAL_S = 1.0
_CHARACTERS_TO_QUOTE = set(' "=\n\r\t')


class Log(NamedTuple):
    """An effect: write one log line."""

    event: str
    fields: dict[str, Any]
    level: int = logging.INFO


class RepeatFilter:
    """Tells which of recurring outcomes to log: those that changed, and some repeats.

    An unchanged outcome under the same key is admitted again after repeat_interval_s.
    """

    def __init__(self, repeat_interval_s: float) -> None:
        self.repeat_interval_s = repeat_interval_s
        self.last_by_key: dict[str, tuple[str, float]] = {}

    def admit(self, key: str, outcome: str, now_s: float) -> bool:
        """Return whether to log an outcome, and remember it if so."""
        last = self.last_by_key.get(key)
        if (
            last is not None
            and last[0] == outcome
            and now_s - last[1] < self.repeat_interval_s
        ):
            return False
        self.last_by_key[key] = (outcome, now_s)
        return True

    def clear(self) -> None:
        """Forget all outcomes, so that each is admitted again."""
        self.last_by_key.clear()


class LogWriter:
    """Writes lines to a file descriptor without blocking, and buffers the rest."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        # Other processes may share the descriptor, so its blocking mode is left as it
        # is: poll shows when a write of at most PIPE_BUF bytes does not block.
        self.write_poll = select.poll()
        self.write_poll.register(descriptor, select.POLLOUT)
        self.buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.current_second = 0
        self.lines_by_event: Counter[str] = Counter()
        self.omitted_by_event: Counter[str] = Counter()
        self.last_notice_s = 0.0

    def admit(self, event: str, is_urgent: bool, now_s: float) -> bool:
        """Return whether a line may be written, and count it as omitted if not."""
        if int(now_s) != self.current_second:
            self.current_second = int(now_s)
            self.lines_by_event.clear()
        self.lines_by_event[event] += 1
        max_lines = MAX_URGENT_LINES_PER_S if is_urgent else MAX_ROUTINE_LINES_PER_S
        max_bytes = MAX_BUFFERED_BYTES if is_urgent else MAX_BUFFERED_BYTES // 2
        if self.lines_by_event[event] <= max_lines and self.buffered_bytes < max_bytes:
            return True
        self.omitted_by_event[event] += 1
        return False

    def put(self, line: bytes) -> None:
        """Write a line after those that are buffered."""
        self.buffer.append(line)
        self.buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered bytes as the descriptor accepts now."""
        while self.buffer and self.write_poll.poll(0):
            line = self.buffer[0]
            try:
                written = os.write(self.descriptor, line[: select.PIPE_BUF])
            except OSError:
                # The reader has closed its end, so no line can be delivered.
                self.buffer.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(line):
                self.buffer[0] = line[written:]
            else:
                self.buffer.popleft()

    def take_omitted(self, now_s: float) -> dict[str, int]:
        """Return the omitted lines by event; nothing until the next notice is due."""
        is_due = (
            now_s - self.last_notice_s >= OMITTED_NOTICE_INTERVAL_S
            or now_s < self.last_notice_s
        )
        if (
            not self.omitted_by_event
            or not is_due
            or self.buffered_bytes >= MAX_BUFFERED_BYTES
        ):
            return {}
        omitted_counts = {f"n_{event}": n for event, n in self.omitted_by_event.items()}
        self.omitted_by_event.clear()
        self.last_notice_s = now_s
        return omitted_counts


def _quote(value: Any) -> str:
    """Render one value, quoted if it holds characters that separate pairs."""
    text = str(value)
    if text and not _CHARACTERS_TO_QUOTE.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


class KeyValueFormatter(BaseJsonFormatter):  # type: ignore[misc]
    """Renders the fields of a record as key=value pairs instead of JSON."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the line for one record."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


class BoundedHandler(logging.Handler):
    """Passes lines to a writer that never blocks, and logs how many were omitted."""

    def __init__(self, writer: LogWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Format and write one record, if the limits admit it."""
        is_urgent = record.levelno >= logging.WARNING
        if self.writer.admit(record.getMessage(), is_urgent, record.created):
            line = self.format(record)
            self.writer.put(line.encode("utf-8", "replace") + b"\n")
        omitted_counts = self.writer.take_omitted(record.created)
        if omitted_counts:
            notice = logging.makeLogRecord(
                {
                    "name": record.name,
                    "msg": "log_lines_omitted",
                    "levelno": logging.WARNING,
                    "levelname": "WARNING",
                    **omitted_counts,
                }
            )
            self.writer.put(self.format(notice).encode() + b"\n")


def configure(level: str, instance: str) -> None:
    """Send the logs of this process to standard output, without blocking on it."""
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
    """Return the logger of one role, such as entry or agent."""
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
    "RepeatFilter",
    "configure",
    "logger",
    "write_log",
]

"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import sys
from typing import Any, NamedTuple

from pythonjsonlogger.core import BaseJsonFormatter

_QUOTED = set(' "=\n\r\t')


class Log(NamedTuple):
    """An effect: write one log line."""

    event: str
    fields: dict[str, Any]
    level: int = logging.INFO


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


def configure(level: str, instance: str) -> None:
    """Send the logs of this process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
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


__all__ = ["KeyValueFormatter", "Log", "configure", "logger", "write_log"]

"""Parse the log lines that yuccareach processes write."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPE_PATTERN = re.compile(r"\\(.)")
_CHARACTER_BY_ESCAPE = {"n": "\n", "r": "\r", "t": "\t"}


class LogLine(NamedTuple):
    """One log event of one process."""

    time: str
    event: str
    instance: str
    fields: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line, or None if the line has no time and event fields.

    Text before the first name=value pair is ignored, such as a prefix that a log
    collector adds.
    """
    fields = {name: _unquote(value) for name, value in _FIELD_PATTERN.findall(text)}
    if "event" not in fields or "time" not in fields:
        return None
    time, event = fields.pop("time"), fields.pop("event")
    fields.pop("level", None)
    return LogLine(time, event, fields.pop("instance", ""), fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPE_PATTERN.sub(
        lambda match: _CHARACTER_BY_ESCAPE.get(match[1], match[1]), value[1:-1]
    )


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events among some lines, in their order."""
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line


__all__ = ["LogLine", "parse_line", "parse_lines"]

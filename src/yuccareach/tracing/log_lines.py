"""Reading log lines back into their fields."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")
_PLAIN_BY_ESCAPE = {"n": "\n", "r": "\r", "t": "\t"}


class LogLine(NamedTuple):
    """One event of one process."""

    time: str
    event: str
    instance: str
    fields: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Return the event that a line holds, or None where it holds none.

    What stands before the first pair, such as another program's clock, is passed over.
    """
    fields = {name: _plain(value) for name, value in _PAIR.findall(text)}
    if "event" not in fields or "time" not in fields:
        return None
    time, event = fields.pop("time"), fields.pop("event")
    fields.pop("level", None)
    return LogLine(time, event, fields.pop("instance", ""), fields)


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(
        lambda match: _PLAIN_BY_ESCAPE.get(match[1], match[1]), value[1:-1]
    )


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of some lines, in their order."""
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line


__all__ = ["LogLine", "parse_line", "read_lines"]

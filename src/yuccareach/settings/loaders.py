"""Reading declaration files, with the position of every key."""

from __future__ import annotations

import re
import tomllib
from typing import TYPE_CHECKING, Any, NamedTuple

import yaml

from yuccareach.settings.errors import Fault, InvalidSettings

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

SUFFIXES = (".yaml", ".yml", ".toml")
KeyPath = tuple[str, ...]


class Position(NamedTuple):
    """A place in a file, counted from 1."""

    line: int
    column: int


START = Position(1, 1)


class LoadedFile(NamedTuple):
    """A parsed declaration file."""

    name: str
    content: dict[str, Any]
    position_by_path: dict[KeyPath, Position]


def load_file(path: Path, name: str) -> LoadedFile:
    """Parse one YAML or TOML file, or raise InvalidSettings."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings([Fault(name, 1, 1, f"unreadable: {error}")]) from error
    loader = _load_toml if path.suffix == ".toml" else _load_yaml
    content, positions = loader(text, name)
    if not isinstance(content, dict):
        raise InvalidSettings([Fault(name, 1, 1, "expected a mapping of sections")])
    return LoadedFile(name, content, positions)


def _load_yaml(text: str, name: str) -> tuple[Any, dict[KeyPath, Position]]:
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        content = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line, column = (mark.line + 1, mark.column + 1) if mark else START
        reason = getattr(error, "problem", None) or str(error)
        raise InvalidSettings([Fault(name, line, column, reason)]) from error
    if node is None:
        return {}, {}
    faults = [
        Fault(name, *position, f"duplicate key {path[-1]!r}")
        for path, position in _duplicates(node)
    ]
    if faults:
        raise InvalidSettings(faults)
    return content, dict(_yaml_positions(node, ()))


def _yaml_positions(
    node: yaml.Node, path: KeyPath
) -> Iterator[tuple[KeyPath, Position]]:
    """Yield the position of every key and list item below a node."""
    yield path, Position(node.start_mark.line + 1, node.start_mark.column + 1)
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            child = (*path, str(key.value))
            yield from _yaml_positions(value, child)
            yield child, Position(key.start_mark.line + 1, key.start_mark.column + 1)
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield from _yaml_positions(value, (*path, str(index)))


def _duplicates(
    node: yaml.Node, path: KeyPath = ()
) -> Iterator[tuple[KeyPath, Position]]:
    """Yield keys that stand twice in one mapping."""
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for key, value in node.value:
        name = str(key.value)
        if name in seen:
            mark = key.start_mark
            yield (*path, name), Position(mark.line + 1, mark.column + 1)
        seen.add(name)
        yield from _duplicates(value, (*path, name))


def _load_toml(text: str, name: str) -> tuple[Any, dict[KeyPath, Position]]:
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"line (\d+), column (\d+)", str(error))
        line, column = map(int, found.groups()) if found else START
        raise InvalidSettings([Fault(name, line, column, str(error))]) from error
    return content, _toml_positions(text, content)


def _toml_positions(text: str, content: Any) -> dict[KeyPath, Position]:
    """Find the line of each key by searching below its table's header.

    The TOML library gives no positions, so a key written in an unusual way (an inline
    table, a quoted key) gets the position of the table around it.
    """
    lines = text.splitlines()

    def _find(pattern: str, start: int) -> Position | None:
        expression = re.compile(pattern)
        for number in range(start, len(lines)):
            if found := expression.match(lines[number]):
                return Position(number + 1, found.end(1) - len(found[1]) + 1)
        return None

    def _walk(value: Any, path: KeyPath, at: Position) -> None:
        positions[path] = at
        items = value.items() if isinstance(value, dict) else ()
        for key, child in items:
            child_path = (*path, key)
            header = r"\s*\[+\s*(" + r"\s*\.\s*".join(map(re.escape, child_path)) + ")"
            assignment = rf"\s*({re.escape(key)})\s*[=.]"
            place = _find(header, 0) or _find(assignment, at.line - 1) or at
            _walk(child, child_path, place)

    positions: dict[KeyPath, Position] = {}
    _walk(content, (), START)
    return positions


__all__ = ["SUFFIXES", "KeyPath", "LoadedFile", "Position", "load_file"]

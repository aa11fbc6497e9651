"""Read declaration files and record the position of every key."""

from __future__ import annotations

import re
import tomllib
from typing import TYPE_CHECKING, Any, NamedTuple

import yaml

from yuccareach.settings.errors import DeclarationError, InvalidSettings

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

SUFFIXES = (".yaml", ".yml", ".toml")
KeyPath = tuple[str, ...]


class Position(NamedTuple):
    """A position in a file; line and column count from 1."""

    line: int
    column: int


FILE_START = Position(1, 1)


class LoadedFile(NamedTuple):
    """A parsed declaration file and the position of each of its keys."""

    name: str
    content: dict[str, Any]
    position_by_path: dict[KeyPath, Position]


def load_file(path: Path, name: str) -> LoadedFile:
    """Parse one YAML or TOML file, or raise InvalidSettings."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings(
            [DeclarationError(name, 1, 1, f"cannot be read: {error}")]
        ) from error
    loader = _load_toml if path.suffix == ".toml" else _load_yaml
    content, positions = loader(text, name)
    if not isinstance(content, dict):
        raise InvalidSettings(
            [DeclarationError(name, 1, 1, "expected a mapping of sections")]
        )
    return LoadedFile(name, content, positions)


def _load_yaml(text: str, name: str) -> tuple[Any, dict[KeyPath, Position]]:
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        content = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line, column = (mark.line + 1, mark.column + 1) if mark else FILE_START
        reason = getattr(error, "problem", None) or str(error)
        raise InvalidSettings([DeclarationError(name, line, column, reason)]) from error
    if node is None:
        return {}, {}
    errors = [
        DeclarationError(name, *position, f"duplicate key {path[-1]!r}")
        for path, position in _find_duplicate_keys(node)
    ]
    if errors:
        raise InvalidSettings(errors)
    return content, dict(_find_yaml_positions(node, ()))


def _find_yaml_positions(
    node: yaml.Node, path: KeyPath
) -> Iterator[tuple[KeyPath, Position]]:
    """Yield the position of every key and list item below a node."""
    yield path, Position(node.start_mark.line + 1, node.start_mark.column + 1)
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            child_path = (*path, str(key.value))
            yield from _find_yaml_positions(value, child_path)
            yield child_path, Position(
                key.start_mark.line + 1, key.start_mark.column + 1
            )
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield from _find_yaml_positions(value, (*path, str(index)))


def _find_duplicate_keys(
    node: yaml.Node, path: KeyPath = ()
) -> Iterator[tuple[KeyPath, Position]]:
    """Yield each key that occurs twice in one mapping."""
    if not isinstance(node, yaml.MappingNode):
        return
    seen_names: set[str] = set()
    for key, value in node.value:
        name = str(key.value)
        if name in seen_names:
            mark = key.start_mark
            yield (*path, name), Position(mark.line + 1, mark.column + 1)
        seen_names.add(name)
        yield from _find_duplicate_keys(value, (*path, name))


def _load_toml(text: str, name: str) -> tuple[Any, dict[KeyPath, Position]]:
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = re.search(r"line (\d+), column (\d+)", str(error))
        line, column = map(int, match.groups()) if match else FILE_START
        raise InvalidSettings(
            [DeclarationError(name, line, column, str(error))]
        ) from error
    return content, _find_toml_positions(text, content)


def _find_toml_positions(text: str, content: Any) -> dict[KeyPath, Position]:
    """Find each key by searching the lines below the header of its table.

    tomllib reports no positions. A key that the search does not find, such as a quoted
    key or one of an inline table, gets the position of the table around it.
    """
    lines = text.splitlines()

    def _search_lines(pattern: str, start: int) -> Position | None:
        expression = re.compile(pattern)
        for line_index in range(start, len(lines)):
            if match := expression.match(lines[line_index]):
                return Position(line_index + 1, match.end(1) - len(match[1]) + 1)
        return None

    def _record_positions(value: Any, path: KeyPath, position: Position) -> None:
        positions[path] = position
        items = value.items() if isinstance(value, dict) else ()
        for key, child_value in items:
            child_path = (*path, key)
            header = r"\s*\[+\s*(" + r"\s*\.\s*".join(map(re.escape, child_path)) + ")"
            assignment = rf"\s*({re.escape(key)})\s*[=.]"
            child_position = (
                _search_lines(header, 0)
                or _search_lines(assignment, position.line - 1)
                or position
            )
            _record_positions(child_value, child_path, child_position)

    positions: dict[KeyPath, Position] = {}
    _record_positions(content, (), FILE_START)
    return positions


__all__ = ["SUFFIXES", "KeyPath", "LoadedFile", "Position", "load_file"]

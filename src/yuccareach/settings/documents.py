"""Checking a team's files and merging them into one document."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any, get_type_hints

import msgspec

from yuccareach.settings.errors import Fault, InvalidSettings
from yuccareach.settings.loaders import SUFFIXES, Position, load_file
from yuccareach.settings.types import NAME_PATTERN, SECTIONS, LimitsDeclaration

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from yuccareach.settings.loaders import KeyPath, LoadedFile

Document = dict[str, dict[str, Any]]
FAULTS_PER_DECLARATION = 100
_MISSING = re.compile("missing required field `(.*)`")
_PLACE = re.compile(r"^(.*?) - at `(.*)`$")
_NESTED_SHAPES: dict[str, type] = {"limits": LimitsDeclaration}


def load_teams(folder: Path) -> dict[str, Document]:
    """Read every team's subtree below a folder, or raise all faults at once."""
    if not folder.is_dir():
        raise InvalidSettings([Fault(str(folder), 1, 1, "not a folder")])
    faults: list[Fault] = []
    document_by_team: dict[str, Document] = {}
    for team_folder in sorted(path for path in folder.iterdir() if path.is_dir()):
        if team_folder.name.startswith("."):
            continue
        try:
            document_by_team[team_folder.name] = load_team(team_folder)
        except InvalidSettings as error:
            faults += error.faults
    if faults:
        raise InvalidSettings(faults)
    if not document_by_team:
        raise InvalidSettings([Fault(str(folder), 1, 1, "holds no team's folder")])
    return document_by_team


def load_team(folder: Path) -> Document:
    """Read, check and merge the files of one team, or raise all faults at once."""
    faults: list[Fault] = []
    loaded: list[LoadedFile] = []
    if not re.fullmatch(NAME_PATTERN, folder.name):
        faults.append(Fault(str(folder), 1, 1, f"bad team name {folder.name!r}"))
    for path in sorted(folder.rglob("*")):
        if path.suffix not in SUFFIXES or not path.is_file():
            continue
        try:
            loaded.append(load_file(path, str(path)))
        except InvalidSettings as error:
            faults += error.faults
    document: Document = {}
    for file in loaded:
        faults += _merge_file(document, file)
    if faults:
        raise InvalidSettings(faults)
    return document


def check_document(content: Any, name: str) -> Document:
    """Check a document that came over the network, or raise InvalidSettings."""
    if not isinstance(content, dict):
        raise InvalidSettings([Fault(name, 1, 1, "expected a mapping of sections")])
    faults = [Fault(name, 1, 1, text) for _, text in _faults(content)]
    if faults:
        raise InvalidSettings(faults)
    return content


def _merge_file(document: Document, file: LoadedFile) -> list[Fault]:
    """Add a file's declarations to the document and return its faults."""
    faults = [
        Fault(file.name, *_position(file, path), text)
        for path, text in _faults(file.content)
    ]
    if faults:
        return faults
    for section, declarations in file.content.items():
        merged = document.setdefault(section, {})
        for name, declaration in declarations.items():
            if name in merged:
                place = _position(file, (section, name))
                text = f"{section}.{name} is declared twice"
                faults.append(Fault(file.name, *place, text))
            merged[name] = declaration
    return faults


def _position(file: LoadedFile, path: KeyPath) -> Position:
    """Return the position of the nearest key at or above a path."""
    while path and path not in file.position_by_path:
        path = path[:-1]
    return file.position_by_path.get(path, Position(1, 1))


def _faults(content: dict[str, Any]) -> Iterator[tuple[KeyPath, str]]:
    """Yield the place and text of each fault of one file."""
    for section, declarations in content.items():
        if section not in SECTIONS:
            yield (str(section),), f"unknown section {section!r}"
        elif not isinstance(declarations, dict):
            yield (section,), f"section {section!r} must be a mapping of names"
        else:
            for name, declaration in declarations.items():
                yield from _declaration_faults(section, str(name), declaration)


def _declaration_faults(
    section: str, name: str, declaration: Any
) -> Iterator[tuple[KeyPath, str]]:
    path = (section, name)
    if not re.fullmatch(NAME_PATTERN, name):
        yield path, f"bad name {name!r}"
    yield from _unknown_fields(path, declaration, SECTIONS[section])
    # Conversion stops at its first fault, so each faulty field is taken out in turn.
    remaining = msgspec.to_builtins(declaration)
    removed: set[str] = set()
    for _ in range(FAULTS_PER_DECLARATION):
        try:
            msgspec.convert(remaining, SECTIONS[section])
            return
        except msgspec.ValidationError as error:
            place, text = _split_message(str(error))
        missing = _MISSING.search(text)
        if missing and missing[1] in removed:
            return
        yield (*path, *place), text
        if not place or not _remove(remaining, place):
            return
        removed.add(place[-1])


def _unknown_fields(
    path: KeyPath, declaration: Any, shape: type
) -> Iterator[tuple[KeyPath, str]]:
    """Yield the fields that a shape does not have."""
    if not isinstance(declaration, dict):
        return
    known = get_type_hints(shape)
    for field, value in declaration.items():
        if field not in known:
            yield (*path, str(field)), f"unknown field {field!r}"
        elif field in _NESTED_SHAPES:
            yield from _unknown_fields((*path, field), value, _NESTED_SHAPES[field])


def _split_message(message: str) -> tuple[KeyPath, str]:
    """Split a conversion error into the path of its field and its text."""
    found = _PLACE.match(message)
    if not found:
        return (), message
    keys = re.findall(r"\.([^.\[]+)|\[(\d+)\]", found[2].removeprefix("$"))
    return tuple(name or index for name, index in keys), found[1]


def _remove(value: Any, path: KeyPath) -> bool:
    """Take the field at a path out of a declaration; return whether it was there."""
    for key in path[:-1]:
        value = value[int(key)] if isinstance(value, list) else value.get(key)
        if value is None:
            return False
    if isinstance(value, list):
        del value[int(path[-1])]
        return True
    return value.pop(path[-1], None) is not None


__all__ = ["Document", "check_document", "load_team", "load_teams"]

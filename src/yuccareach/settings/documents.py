"""Check the declaration files of a team and merge them into one document."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any, get_type_hints

import msgspec

from yuccareach.settings.errors import DeclarationError, InvalidSettings
from yuccareach.settings.loaders import SUFFIXES, Position, load_file
from yuccareach.settings.types import NAME_PATTERN, SECTIONS, LimitsDeclaration

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from yuccareach.settings.loaders import KeyPath, LoadedFile

Document = dict[str, dict[str, Any]]
# The most conversion errors that are reported for one declaration.
MAX_ERRORS_PER_DECLARATION = 100
# Texts of msgspec.ValidationError.
_MISSING_FIELD_PATTERN = re.compile("missing required field `(.*)`")
_ERROR_LOCATION_PATTERN = re.compile(r"^(.*?) - at `(.*)`$")
_NESTED_TYPES: dict[str, type] = {"limits": LimitsDeclaration}


def load_teams(folder: Path) -> dict[str, Document]:
    """Read the folder of every team below a folder.

    Raises InvalidSettings with the errors of all teams.
    """
    if not folder.is_dir():
        raise InvalidSettings([DeclarationError(str(folder), 1, 1, "is not a folder")])
    errors: list[DeclarationError] = []
    document_by_team: dict[str, Document] = {}
    for team_folder in sorted(path for path in folder.iterdir() if path.is_dir()):
        if team_folder.name.startswith("."):
            continue
        try:
            document_by_team[team_folder.name] = load_team(team_folder)
        except InvalidSettings as error:
            errors += error.errors
    if errors:
        raise InvalidSettings(errors)
    if not document_by_team:
        raise InvalidSettings(
            [DeclarationError(str(folder), 1, 1, "contains no team folder")]
        )
    return document_by_team


def load_team(folder: Path) -> Document:
    """Read, check and merge the files of one team.

    Raises InvalidSettings with the errors of all files.
    """
    errors: list[DeclarationError] = []
    loaded_files: list[LoadedFile] = []
    if not re.fullmatch(NAME_PATTERN, folder.name):
        errors.append(
            DeclarationError(str(folder), 1, 1, f"invalid team name {folder.name!r}")
        )
    for path in sorted(folder.rglob("*")):
        if path.suffix not in SUFFIXES or not path.is_file():
            continue
        try:
            loaded_files.append(load_file(path, str(path)))
        except InvalidSettings as error:
            errors += error.errors
    document: Document = {}
    for file in loaded_files:
        errors += _merge_file(document, file)
    if errors:
        raise InvalidSettings(errors)
    return document


def check_document(content: Any, name: str) -> Document:
    """Check a document that has no files, such as one received over the network.

    Raises InvalidSettings; every error is reported at line 1, column 1.
    """
    if not isinstance(content, dict):
        raise InvalidSettings(
            [DeclarationError(name, 1, 1, "expected a mapping of sections")]
        )
    errors = [DeclarationError(name, 1, 1, text) for _, text in _find_errors(content)]
    if errors:
        raise InvalidSettings(errors)
    return content


def _merge_file(document: Document, file: LoadedFile) -> list[DeclarationError]:
    """Add the declarations of a file to the document; return the file's errors."""
    errors = [
        DeclarationError(file.name, *_find_position(file, path), text)
        for path, text in _find_errors(file.content)
    ]
    if errors:
        return errors
    for section, declarations in file.content.items():
        section_declarations = document.setdefault(section, {})
        for name, declaration in declarations.items():
            if name in section_declarations:
                position = _find_position(file, (section, name))
                text = f"{section}.{name} is declared twice"
                errors.append(DeclarationError(file.name, *position, text))
            section_declarations[name] = declaration
    return errors


def _find_position(file: LoadedFile, path: KeyPath) -> Position:
    """Return the position of the key at a path, or of its nearest known parent."""
    while path and path not in file.position_by_path:
        path = path[:-1]
    return file.position_by_path.get(path, Position(1, 1))


def _find_errors(content: dict[str, Any]) -> Iterator[tuple[KeyPath, str]]:
    """Yield the key path and the text of each error of one file."""
    for section, declarations in content.items():
        if section not in SECTIONS:
            yield (str(section),), f"unknown section {section!r}"
        elif not isinstance(declarations, dict):
            yield (section,), f"section {section!r} must be a mapping of names"
        else:
            for name, declaration in declarations.items():
                yield from _find_declaration_errors(section, str(name), declaration)


def _find_declaration_errors(
    section: str, name: str, declaration: Any
) -> Iterator[tuple[KeyPath, str]]:
    path = (section, name)
    if not re.fullmatch(NAME_PATTERN, name):
        yield path, f"invalid name {name!r}"
    yield from _find_unknown_fields(path, declaration, SECTIONS[section])
    # msgspec stops at the first error, so each invalid field is removed and the rest
    # converted again. A removed field is then reported missing, which is no new error.
    remaining = msgspec.to_builtins(declaration)
    removed_fields: set[str] = set()
    for _ in range(MAX_ERRORS_PER_DECLARATION):
        try:
            msgspec.convert(remaining, SECTIONS[section])
            return
        except msgspec.ValidationError as error:
            key_path, text = _split_message(str(error))
        missing_field = _MISSING_FIELD_PATTERN.search(text)
        if missing_field and missing_field[1] in removed_fields:
            return
        yield (*path, *key_path), text
        if not key_path or not _remove_field(remaining, key_path):
            return
        removed_fields.add(key_path[-1])


def _find_unknown_fields(
    path: KeyPath, declaration: Any, declaration_type: type
) -> Iterator[tuple[KeyPath, str]]:
    """Yield an error for each field that the declaration's type does not have."""
    if not isinstance(declaration, dict):
        return
    known_fields = get_type_hints(declaration_type)
    for field, value in declaration.items():
        if field not in known_fields:
            yield (*path, str(field)), f"unknown field {field!r}"
        elif field in _NESTED_TYPES:
            yield from _find_unknown_fields((*path, field), value, _NESTED_TYPES[field])


def _split_message(message: str) -> tuple[KeyPath, str]:
    """Split a msgspec error message into the path of its field and its text."""
    match = _ERROR_LOCATION_PATTERN.match(message)
    if not match:
        return (), message
    keys = re.findall(r"\.([^.\[]+)|\[(\d+)\]", match[2].removeprefix("$"))
    return tuple(name or index for name, index in keys), match[1]


def _remove_field(value: Any, path: KeyPath) -> bool:
    """Remove the field at a path from a declaration; return whether it was present."""
    for key in path[:-1]:
        value = value[int(key)] if isinstance(value, list) else value.get(key)
        if value is None:
            return False
    if isinstance(value, list):
        del value[int(path[-1])]
        return True
    return value.pop(path[-1], None) is not None


__all__ = ["Document", "check_document", "load_team", "load_teams"]

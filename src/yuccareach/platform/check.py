"""The check command: lists all errors of a document, settings file or deploy file."""

from __future__ import annotations

import sys
import tomllib
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec
import yaml

from yuccareach.platform.deploy_file import find_deploy_errors
from yuccareach.platform.documents import (
    DOCUMENT_ITEM_TYPES,
    Document,
    convert_document,
    find_document_errors,
    get_term,
)
from yuccareach.platform.settings import SETTINGS_SCHEMA, find_settings_errors
from yuccareach.settings.table_checks import Finding, find_table_warnings
from yuccareach.settings.table_comparison import compare_tables

if TYPE_CHECKING:
    from yuccareach.gateway.table import RoutingTable

EXIT_WARNINGS = 1
EXIT_INVALID = 2
# The parsers also raise these, for example at deep nesting or a date in month 13.
_PARSER_ERRORS = (ValueError, RecursionError)


def check_document(content: bytes) -> list[str]:
    """Return all errors of an operator's routing document."""
    try:
        decoded = msgspec.json.decode(content)
    except (msgspec.DecodeError, *_PARSER_ERRORS) as error:
        return [f"invalid JSON: {error}"]
    if errors := _find_type_errors(decoded, Document, DOCUMENT_ITEM_TYPES):
        return errors
    try:
        return find_document_errors(msgspec.json.decode(content, type=Document))
    except msgspec.ValidationError as error:
        # Of a field that occurs twice, `decoded` holds only the last value.
        return [str(error)]


def check_settings(content: bytes) -> list[str]:
    """Return all errors of a process's settings file."""
    try:
        decoded = yaml.safe_load(content)
    except (yaml.YAMLError, *_PARSER_ERRORS) as error:
        return [f"invalid YAML: {' '.join(str(error).split())}"]
    file_type, item_types = SETTINGS_SCHEMA
    return _find_type_errors(decoded, file_type, item_types) or find_settings_errors(
        decoded
    )


def check_deploy_file(content: bytes) -> list[str]:
    """Return all errors of the file that says which processes run where."""
    try:
        decoded = tomllib.loads(content.decode())
    except _PARSER_ERRORS as error:
        return [f"invalid TOML: {error}"]
    return find_deploy_errors(decoded)


def _find_type_errors(
    decoded: Any, file_type: Any, item_types: dict[str, Any]
) -> list[str]:
    """Return missing fields and fields of the wrong type.

    msgspec reports only the first error of a value. Items of the lists in item_types
    are therefore checked one by one, and the file is checked with these lists empty.
    """
    if not isinstance(decoded, dict):
        return [f"expected a mapping, got {type(decoded).__name__}"]
    errors = []
    rest = dict(decoded)
    for name, item_type in item_types.items():
        items = rest.get(name)
        if not isinstance(items, list):
            continue
        for index, item in enumerate(items):
            if problem := _find_type_error(item, item_type):
                errors.append(f"{name}[{index}]: {problem}")
        rest[name] = []
    if problem := _find_type_error(rest, file_type):
        errors.append(problem)
    return errors


def _find_type_error(value: Any, expected_type: Any) -> str:
    """Return the first type error of a value, or an empty string."""
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        return str(error)
    return ""


def find_document_warnings(content: bytes) -> list[Finding]:
    """Return the warnings about a routing document without errors."""
    document = msgspec.json.decode(content, type=Document)
    count_by_service = Counter(service.name for service in document.services)
    repeated = [
        Finding(f"service {name}", f"declared {count} times, only the last is used")
        for name, count in count_by_service.items()
        if count > 1
    ]
    return repeated + find_table_warnings(convert_document(document), get_term)


def compare_documents(
    old_content: bytes, new_content: bytes
) -> tuple[list[Finding], list[Finding]]:
    """Return the warnings and differences of a document and the one in force."""
    old, new = _decode_table(old_content), _decode_table(new_content)
    differences = compare_tables(old, new, get_term)
    warnings = []
    if differences and new.version <= old.version:
        text = f"{new.version} is not higher than {old.version}, which stays in force"
        warnings.append(Finding("version", text))
    return warnings, differences


def _decode_table(content: bytes) -> RoutingTable:
    return convert_document(msgspec.json.decode(content, type=Document))


def _print(text: str, err: bool = False) -> None:
    """Print a line, with what it cannot show of names and paths escaped."""
    encoding = sys.stdout.encoding or "utf-8"
    shown = "".join(
        character if character.isprintable() else ascii(character)[1:-1]
        for character in text
    )
    click.echo(shown.encode(encoding, "backslashreplace").decode(encoding), err=err)


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        _print(f"{file}: cannot be read: {error.strerror}", err=True)
        sys.exit(EXIT_INVALID)


def _report_errors(file: Path, errors: list[str]) -> None:
    """Print the errors of a file and exit, if it has any."""
    for error in errors:
        _print(f"{file}: {error}", err=True)
    if errors:
        _print(f"{len(errors)} faults", err=True)
        sys.exit(EXIT_INVALID)


_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command()
@click.argument("file", type=_FILE)
@click.option(
    "--in-force", type=_FILE, help="Document in force; what differs from it is shown."
)
@click.option("--strict", is_flag=True, help="Exit with status 1 at a warning.")
def check(file: Path, in_force: Path | None, strict: bool) -> None:
    """Check a settings file (.yaml), a routing document (.json) or the deploy file.

    The exit status is 2 if there are errors.
    """
    if in_force is not None and file.suffix != ".json":
        raise click.UsageError("--in-force needs a routing document (.json)")
    check_by_suffix = {".json": check_document, ".toml": check_deploy_file}
    content = _read(file)
    _report_errors(file, check_by_suffix.get(file.suffix, check_settings)(content))
    warnings = find_document_warnings(content) if file.suffix == ".json" else []
    differences: list[Finding] = []
    if in_force is not None:
        old_content = _read(in_force)
        _report_errors(in_force, check_document(old_content))
        version_warnings, differences = compare_documents(old_content, content)
        warnings += version_warnings
    for warning in warnings:
        _print(f"{file}: {warning.entry}: {warning.message}", err=True)
    if warnings:
        _print(f"{len(warnings)} warnings", err=True)
    _print(f"{file}: valid")
    for difference in differences:
        _print(f"{difference.entry}: {difference.message}")
    if warnings and strict:
        sys.exit(EXIT_WARNINGS)


__all__ = [
    "check",
    "check_deploy_file",
    "check_document",
    "check_settings",
    "compare_documents",
    "find_document_warnings",
]

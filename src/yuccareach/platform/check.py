"""The check command: lists all errors of a document, settings file or deploy file."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path
from typing import Any

import click
import msgspec
import yaml

from yuccareach.platform.deploy_file import find_deploy_errors
from yuccareach.platform.documents import (
    DOCUMENT_ITEM_TYPES,
    Document,
    find_document_errors,
)
from yuccareach.platform.settings import SETTINGS_SCHEMA, find_settings_errors

EXIT_INVALID = 2


def check_document(content: bytes) -> list[str]:
    """Return all errors of an operator's routing document."""
    try:
        decoded = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return [f"invalid JSON: {error}"]
    errors = _find_type_errors(decoded, Document, DOCUMENT_ITEM_TYPES)
    return errors or find_document_errors(msgspec.convert(decoded, Document))


def check_settings(content: bytes) -> list[str]:
    """Return all errors of a process's settings file."""
    try:
        decoded = yaml.safe_load(content)
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return [f"invalid YAML: {' '.join(str(error).split())}"]
    file_type, item_types = SETTINGS_SCHEMA
    return _find_type_errors(decoded, file_type, item_types) or find_settings_errors(
        decoded
    )


def check_deploy_file(content: bytes) -> list[str]:
    """Return all errors of the file that says which processes run where."""
    try:
        decoded = tomllib.loads(content.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
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


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Check a settings file (.yaml), a routing document (.json) or the deploy file."""
    check_by_suffix = {".json": check_document, ".toml": check_deploy_file}
    errors = check_by_suffix.get(file.suffix, check_settings)(file.read_bytes())
    for error in errors:
        click.echo(f"{file}: {error}", err=True)
    if errors:
        click.echo(f"{len(errors)} faults", err=True)
        sys.exit(EXIT_INVALID)
    click.echo(f"{file}: valid")


__all__ = ["check", "check_deploy_file", "check_document", "check_settings"]

"""Checking the platform's files: every fault at once, with its place."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec
import yaml

from yuccareach.platform.documents import DOCUMENT_PARTS, Document, find_faults
from yuccareach.platform.settings import SETTINGS_PARTS, find_settings_faults

EXIT_FAULTY = 2


def document_faults(content: bytes) -> list[str]:
    """Return every fault of an operator's configuration."""
    try:
        decoded = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return [f"unreadable: {error}"]
    faults = _shape_faults(decoded, Document, DOCUMENT_PARTS)
    return faults or find_faults(msgspec.convert(decoded, Document))


def settings_faults(content: bytes) -> list[str]:
    """Return every fault of a process's settings file."""
    try:
        decoded = yaml.safe_load(content)
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return [f"unreadable: {' '.join(str(error).split())}"]
    shape, parts = SETTINGS_PARTS
    return _shape_faults(decoded, shape, parts) or find_settings_faults(decoded)


def _shape_faults(decoded: Any, whole: Any, parts: dict[str, Any]) -> list[str]:
    """Return the faults of shape, those of each listed part on its own."""
    if not isinstance(decoded, dict):
        return [f"expected a table, got {type(decoded).__name__}"]
    faults = []
    rest = dict(decoded)
    for name, shape in parts.items():
        items = rest.get(name)
        if not isinstance(items, list):
            continue
        for number, item in enumerate(items):
            if fault := _fault(item, shape):
                faults.append(f"{name}[{number}]: {fault}")
        rest[name] = []
    if fault := _fault(rest, whole):
        faults.append(fault)
    return faults


def _fault(value: Any, shape: Any) -> str:
    try:
        msgspec.convert(value, shape)
    except msgspec.ValidationError as error:
        return str(error)
    return ""


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Check the platform's settings (.yaml) or an operator's document (.json)."""
    content = file.read_bytes()
    is_document = file.suffix == ".json"
    faults = document_faults(content) if is_document else settings_faults(content)
    for fault in faults:
        click.echo(f"{file}: {fault}", err=True)
    if faults:
        click.echo(f"{len(faults)} faults", err=True)
        sys.exit(EXIT_FAULTY)
    click.echo(f"{file}: sound")


__all__ = ["check", "document_faults", "settings_faults"]

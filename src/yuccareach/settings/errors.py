"""Errors of the settings layer."""

from __future__ import annotations

from typing import NamedTuple

from yuccareach.errors import YuccareachError


class SettingsError(YuccareachError):
    """Base of the errors of this layer."""


class Fault(NamedTuple):
    """One thing wrong in a declaration; line and column count from 1."""

    file: str
    line: int
    column: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.text}"


class InvalidSettings(SettingsError):
    """Declarations that cannot be accepted, with every fault found."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


__all__ = ["Fault", "InvalidSettings", "SettingsError"]

"""Errors in declared settings."""

from __future__ import annotations

from typing import NamedTuple

from yuccareach.errors import YuccareachError


class SettingsError(YuccareachError):
    """Base class of the errors in declared settings."""


class DeclarationError(NamedTuple):
    """One error in a declaration file; line and column count from 1.

    It is not raised by itself: InvalidSettings carries all that were found.
    """

    file: str
    line: int
    column: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.text}"


class InvalidSettings(SettingsError):
    """Declarations are invalid; the message gives every error with its position."""

    def __init__(self, errors: list[DeclarationError]) -> None:
        super().__init__("\n".join(map(str, errors)))
        self.errors = errors


__all__ = ["DeclarationError", "InvalidSettings", "SettingsError"]

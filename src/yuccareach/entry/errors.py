"""Errors of the entry."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class EntryError(YuccareachError):
    """Base class of the errors of the entry."""


class InvalidRequest(EntryError):
    """A request body that is invalid; field is the name of the invalid field."""

    def __init__(self, text: str, field: str | None = None) -> None:
        super().__init__(text)
        self.field = field


__all__ = ["EntryError", "InvalidRequest"]

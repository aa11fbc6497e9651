"""Errors of the entry."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class EntryError(YuccareachError):
    """Base of the errors of this layer."""


class BadRequest(EntryError):
    """A caller's request that cannot be read; field names what is wrong."""

    def __init__(self, text: str, field: str | None = None) -> None:
        super().__init__(text)
        self.field = field


__all__ = ["BadRequest", "EntryError"]

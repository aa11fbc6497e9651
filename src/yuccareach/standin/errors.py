"""Errors of the stand-ins."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class StandinError(YuccareachError):
    """Base class of the errors of the stand-ins."""


class UnknownKind(StandinError):
    """The accelerator kind is unknown to the stand-in engine."""


__all__ = ["StandinError", "UnknownKind"]

"""Errors of the stand-ins."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class StandinError(YuccareachError):
    """Base of the errors of this layer."""


class UnknownKind(StandinError):
    """An accelerator kind that the stand-in has no time model for."""


__all__ = ["StandinError", "UnknownKind"]

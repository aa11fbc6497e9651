"""Errors of the load tool."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class LoadError(YuccareachError):
    """Base of the errors of this layer."""


__all__ = ["LoadError"]

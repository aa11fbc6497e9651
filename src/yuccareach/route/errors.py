"""Errors of route choice and placement."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class RouteError(YuccareachError):
    """Base of the errors of this layer."""


class ChainGap(RouteError):
    """A chain whose layer ranges leave a gap, overlap, or miss an end."""


__all__ = ["ChainGap", "RouteError"]

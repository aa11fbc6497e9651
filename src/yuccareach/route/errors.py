"""Errors of the placement of layers and of chains."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class RouteError(YuccareachError):
    """Base class of the errors of placement and of chains."""


class ChainGap(RouteError):
    """A chain whose layer ranges leave a gap, overlap, or end at the wrong layer."""


__all__ = ["ChainGap", "RouteError"]

"""Base exceptions; each package derives its own errors from YuccareachError."""

from __future__ import annotations


class YuccareachError(Exception):
    """Base class of all errors that yuccareach raises."""


class UsageError(YuccareachError):
    """A flag, environment variable or file that is invalid or cannot be used."""


__all__ = ["UsageError", "YuccareachError"]

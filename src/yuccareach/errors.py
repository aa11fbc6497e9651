"""Root of the exception tree; each layer derives its own errors from it."""

from __future__ import annotations


class YuccareachError(Exception):
    """Base of every error this project raises."""


class UsageError(YuccareachError):
    """A flag, environment variable or file that cannot be used as given."""


__all__ = ["UsageError", "YuccareachError"]

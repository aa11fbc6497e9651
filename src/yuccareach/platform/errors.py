"""Errors of the adapter."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class PlatformError(YuccareachError):
    """Base of the errors of this layer."""


class InvalidDocument(PlatformError):
    """A configuration that cannot be put in force."""


class InvalidAnnouncement(PlatformError):
    """A heartbeat that names no backend server to use."""


class InvalidProcessSettings(PlatformError):
    """A settings file that the process cannot start from."""


__all__ = [
    "InvalidAnnouncement",
    "InvalidDocument",
    "InvalidProcessSettings",
    "PlatformError",
]

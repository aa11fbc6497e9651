"""Errors of the adapter to the users' platform."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class PlatformError(YuccareachError):
    """Base class of all errors of the adapter to the users' platform."""


class InvalidDocument(PlatformError):
    """The operator's routing document is malformed or inconsistent."""


class InvalidAnnouncement(PlatformError):
    """The body of a runner's heartbeat or departure is malformed or out of range."""


class InvalidProcessSettings(PlatformError):
    """The settings file of a process is missing, unreadable or invalid."""


__all__ = [
    "InvalidAnnouncement",
    "InvalidDocument",
    "InvalidProcessSettings",
    "PlatformError",
]

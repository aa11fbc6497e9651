"""Errors of the control layer."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class ControlError(YuccareachError):
    """Base of the errors of this layer."""


class CorruptLog(ControlError):
    """Stored state that is damaged elsewhere than at its unsynced end."""


class DiskFailed(ControlError):
    """State that could not be written and synced."""


class ControlUnavailable(ControlError):
    """No control instance could answer in time; sent tells whether one was asked."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class NotLeader(ControlError):
    """This instance does not lead, or cannot confirm that it still does."""

    def __init__(self, leader_address: str) -> None:
        super().__init__("not the leader")
        self.leader_address = leader_address


__all__ = [
    "ControlError",
    "ControlUnavailable",
    "CorruptLog",
    "DiskFailed",
    "NotLeader",
]

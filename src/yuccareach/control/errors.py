"""Errors of the control layer."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class ControlError(YuccareachError):
    """Base class of all errors of the control layer."""


class CorruptLog(ControlError):
    """The stored state, or the backup to restore, is damaged.

    An incomplete write at the end of the newest log file is no damage: it was never
    acknowledged and is dropped.
    """


class DiskFailed(ControlError):
    """The data folder could not be read, or state could not be written and synced."""


class ControlUnavailable(ControlError):
    """No control instance answered a command in time.

    may_have_arrived is False only if no instance can have received the command.
    """

    def __init__(self, reason: str, may_have_arrived: bool) -> None:
        super().__init__(reason)
        self.may_have_arrived = may_have_arrived


class RequestRefusedError(ControlError):
    """This instance refused a request to the replicated log; its text is the reason.

    Most often, the instance does not lead, or cannot confirm that it still does.
    leader_address is empty where the leader is unknown.
    """

    def __init__(self, leader_address: str) -> None:
        super().__init__("not the leader")
        self.leader_address = leader_address


__all__ = [
    "ControlError",
    "ControlUnavailable",
    "CorruptLog",
    "DiskFailed",
    "RequestRefusedError",
]

"""Departures and drains: how the members follow the withdrawals in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.control.submission import submit_command
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.logs import logger
from yuccareach.runtime.reducer import monotonic_ms

if TYPE_CHECKING:
    from yuccareach.control.run import ControlProcess

# A backend server waits a second for an acknowledgement, then calls another instance.
COMMIT_TIMEOUT_MS = 800
_log = logger("control")


async def commit_withdrawal(
    process: ControlProcess, withdrawal: cpb.Withdrawal
) -> None:
    """Return once the log holds a withdrawal, which may then be acknowledged.

    Raises ControlUnavailable if no leader has confirmed it in time.
    """
    if not process.machine.withdrawals.covers(withdrawal):
        command = cpb.Command(withdrawal=withdrawal)
        await submit_command(process, command, COMMIT_TIMEOUT_MS)


def complete_withdrawal(process: ControlProcess, command: cpb.Command) -> None:
    """Add the start of the incarnation to a withdrawal that does not name it.

    The instance that received the withdrawal may not know the server, as after a
    restart.
    """
    withdrawal = command.withdrawal
    if command.HasField("withdrawal") and not withdrawal.started_ms:
        withdrawal.started_ms = process.members.find_started_ms(
            withdrawal.backend_server
        )


def apply_withdrawals(process: ControlProcess) -> None:
    """Apply the withdrawals that were committed since the last call to the members."""
    withdrawals = process.machine.withdrawals
    if process.applied_withdrawal == withdrawals.changes:
        return
    # The disk of an instance that opens it again may hold less than its memory did.
    known = process.applied_withdrawal
    for withdrawal in withdrawals.list_after(min(known, withdrawals.changes)):
        if withdrawal.departed:
            remove_departed(
                process, withdrawal.backend_server, withdrawal.started_ms, "log"
            )
        else:
            _record_drain(process, withdrawal)
    process.applied_withdrawal = withdrawals.changes


def remove_departed(
    process: ControlProcess, name: str, started_ms: int, source: str
) -> bool:
    """Remove a departed backend server; source names who reported it.

    Returns whether it was a member.
    """
    removed = process.members.deregister(name, started_ms, monotonic_ms())
    _log.info(
        "departure_recorded",
        extra={
            "backend_server": name,
            "started_ms": started_ms,
            "source": source,
            "removed": removed,
        },
    )
    return removed


def _record_drain(process: ControlProcess, withdrawal: cpb.Withdrawal) -> None:
    changed = process.members.record_drain(
        withdrawal.backend_server,
        withdrawal.started_ms,
        withdrawal.sequence,
        monotonic_ms(),
    )
    _log.info(
        "drain_recorded",
        extra={
            "backend_server": withdrawal.backend_server,
            "started_ms": withdrawal.started_ms,
            "sequence": withdrawal.sequence,
            "changed": changed,
        },
    )


__all__ = [
    "apply_withdrawals",
    "commit_withdrawal",
    "complete_withdrawal",
    "remove_departed",
]

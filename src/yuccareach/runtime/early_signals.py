"""Signals that arrive before a process has its handlers.

An entry point imports this module before all others and calls record_signals. Importing
the others takes longer than half a second on a slow machine, and the default action of
SIGHUP and SIGTERM ends the process. Nothing slow may be imported here.
"""

from __future__ import annotations

import signal

_recorded: list[int] = []


def record_signals(*numbers: int) -> None:
    """Record signals instead of acting on them, until take_signals."""
    for number in numbers:
        signal.signal(number, _record)


def _record(number: int, frame: object) -> None:
    _recorded.append(number)


def take_signals() -> list[int]:
    """Return the signals recorded so far in their order, and forget them."""
    taken = list(_recorded)
    del _recorded[: len(taken)]
    return taken


__all__ = ["record_signals", "take_signals"]

"""Entry points of the commands, which import the command itself.

The imports take long enough for signals to arrive meanwhile, which must have the effect
that they have later.
"""

from __future__ import annotations

import importlib
import signal
import sys

from yuccareach.runtime.early_signals import record_signals

# The status with which click ends a command that is interrupted.
_EXIT_ABORTED = 1


def run_yuccareach() -> None:
    """Run the yuccareach command."""
    _run_command("main")


def run_load() -> None:
    """Run the yuccareach-load command."""
    _run_command("load")


def run_agent() -> None:
    """Run the yuccareach-agent command until a signal ends it."""
    _run_server("agent")


def run_control() -> None:
    """Run the yuccareach-control command until a signal ends it."""
    _run_server("control")


def run_entry() -> None:
    """Run the yuccareach-entry command until a signal ends it."""
    _run_server("entry")


def run_standin() -> None:
    """Run the yuccareach-standin command until a signal ends it."""
    _run_server("standin")


def _run_server(name: str) -> None:
    """Run a command that shuts down gracefully on SIGTERM and SIGINT."""
    record_signals(signal.SIGTERM, signal.SIGINT)
    importlib.import_module(f"yuccareach.cli.{name}").main()


def _run_command(name: str) -> None:
    """Run a command that SIGINT aborts, without a traceback during the imports."""
    try:
        module = importlib.import_module(f"yuccareach.cli.{name}")
    except KeyboardInterrupt:
        print("Aborted!", file=sys.stderr)
        sys.exit(_EXIT_ABORTED)
    module.main()


__all__ = [
    "run_agent",
    "run_control",
    "run_entry",
    "run_load",
    "run_standin",
    "run_yuccareach",
]

"""Options, parameter types and error handling that several commands share."""

from __future__ import annotations

import asyncio
import functools
import re
import sys
from typing import TYPE_CHECKING, Any

import click

from yuccareach import __version__
from yuccareach.errors import YuccareachError
from yuccareach.runtime import logs
from yuccareach.runtime.process import serve_until_signal

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccareach.runtime.process import ProcessLifecycle

EXIT_FAILURE = 1
EXIT_USAGE = 2
_ADDRESS_PATTERN = re.compile(r"^[^\s:]+:\d{1,5}$")

CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"], "show_default": True}


def option(name: str, prefix: str, **kwargs: Any) -> Any:
    """Return an option that is also read from YUCCAREACH_<PREFIX>_<NAME>."""
    variable = f"YUCCAREACH_{prefix}_{name.strip('-')}".upper().replace("-", "_")
    kwargs.setdefault("show_envvar", True)
    kwargs.setdefault("show_default", True)
    return click.option(name, envvar=variable, **kwargs)


class Address(click.ParamType[str]):
    """Parameter type of an address, HOST:PORT."""

    name = "HOST:PORT"

    def convert(self, value: Any, param: Any, ctx: Any) -> str:
        """Return the address, or fail with an error that names the option."""
        text = str(value)
        if not _ADDRESS_PATTERN.match(text) or int(text.rpartition(":")[2]) > 65_535:
            self.fail(f"{text!r} is not an address HOST:PORT", param, ctx)
        return text


class Addresses(click.ParamType[tuple[str, ...]]):
    """Parameter type of several addresses, HOST:PORT, separated by commas."""

    name = "HOST:PORT,..."

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[str, ...]:
        """Return the addresses, or fail with an error that names the option."""
        if isinstance(value, tuple):
            return value
        address_type = Address()
        return tuple(
            address_type.convert(item, param, ctx) for item in str(value).split(",")
        )


class LayerRange(click.ParamType[tuple[int, int]]):
    """Parameter type of a range of layers, FIRST:END; END is not part of the range."""

    name = "FIRST:END"

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[int, int]:
        """Return the range, or fail with an error that names the option."""
        if isinstance(value, tuple):
            return value
        first, colon, end = str(value).partition(":")
        if not colon or not first.isdigit() or not end.isdigit():
            self.fail(f"{value!r} is not a layer range FIRST:END", param, ctx)
        if int(first) >= int(end):
            self.fail(f"the layer range {value!r} is empty", param, ctx)
        return int(first), int(end)


def process_options(prefix: str) -> Callable[[Any], Any]:
    """Add the options that the commands of long-running processes have."""

    def _add(command: Any) -> Any:
        for add_option in (
            option(
                "--log-level",
                prefix,
                default="info",
                type=click.Choice(["debug", "info", "warning", "error"]),
                help="Lowest level that is logged.",
            ),
            option("--host", prefix, default="127.0.0.1", help="Address to listen on."),
            click.version_option(__version__, prog_name="yuccareach"),
        ):
            command = add_option(command)
        return command

    return _add


def report_errors(command: Callable[..., Any]) -> Callable[..., Any]:
    """Print errors of yuccareach without a traceback and exit with status 2."""

    @functools.wraps(command)
    def _run(*args: Any, **kwargs: Any) -> Any:
        try:
            return command(*args, **kwargs)
        except YuccareachError as error:
            click.echo(f"error: {error}", err=True)
            sys.exit(EXIT_USAGE)

    return _run


def serve(process: ProcessLifecycle, instance: str, log_level: str) -> None:
    """Run a process until a signal stops it."""
    logs.configure(log_level, instance)
    asyncio.run(serve_until_signal(process))


__all__ = [
    "CONTEXT_SETTINGS",
    "EXIT_FAILURE",
    "EXIT_USAGE",
    "Address",
    "Addresses",
    "LayerRange",
    "option",
    "process_options",
    "report_errors",
    "serve",
]

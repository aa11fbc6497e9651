"""Options that several binaries share."""

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

    from yuccareach.runtime.process import Service

EXIT_FAILURE = 1
EXIT_USAGE = 2
_ADDRESS_PATTERN = re.compile(r"^[^\s:]+:\d{1,5}$")

CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"], "show_default": True}


def option(name: str, prefix: str, **kwargs: Any) -> Any:
    """Return a flag whose environment variable is YUCCAREACH_<PREFIX>_<NAME>."""
    variable = f"YUCCAREACH_{prefix}_{name.strip('-')}".upper().replace("-", "_")
    kwargs.setdefault("show_envvar", True)
    kwargs.setdefault("show_default", True)
    return click.option(name, envvar=variable, **kwargs)


class Address(click.ParamType[str]):
    """A HOST:PORT pair."""

    name = "HOST:PORT"

    def convert(self, value: Any, param: Any, ctx: Any) -> str:
        """Return the address, or fail naming the flag."""
        text = str(value)
        if not _ADDRESS_PATTERN.match(text) or int(text.rpartition(":")[2]) > 65_535:
            self.fail(f"{text!r} is not HOST:PORT", param, ctx)
        return text


class Addresses(click.ParamType[tuple[str, ...]]):
    """HOST:PORT pairs separated by commas."""

    name = "HOST:PORT,..."

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[str, ...]:
        """Return the addresses, or fail naming the flag."""
        if isinstance(value, tuple):
            return value
        one = Address()
        return tuple(one.convert(item, param, ctx) for item in str(value).split(","))


class LayerRange(click.ParamType[tuple[int, int]]):
    """A half-open range of layers, FIRST:END."""

    name = "FIRST:END"

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[int, int]:
        """Return the range, or fail naming the flag."""
        if isinstance(value, tuple):
            return value
        first, colon, end = str(value).partition(":")
        if not colon or not first.isdigit() or not end.isdigit():
            self.fail(f"{value!r} is not FIRST:END", param, ctx)
        if int(first) >= int(end):
            self.fail(f"{value!r} is empty", param, ctx)
        return int(first), int(end)


def process_options(prefix: str) -> Callable[[Any], Any]:
    """Add the flags that every long-running binary has."""

    def _add(command: Any) -> Any:
        for add in (
            option(
                "--log-level",
                prefix,
                default="info",
                type=click.Choice(["debug", "info", "warning", "error"]),
                help="Least level that is logged.",
            ),
            option("--host", prefix, default="127.0.0.1", help="Address to listen on."),
            click.version_option(__version__, prog_name="yuccareach"),
        ):
            command = add(command)
        return command

    return _add


def report_errors(command: Callable[..., Any]) -> Callable[..., Any]:
    """Turn this project's errors into one clear line and an exit status."""

    @functools.wraps(command)
    def _run(*args: Any, **kwargs: Any) -> Any:
        try:
            return command(*args, **kwargs)
        except YuccareachError as error:
            click.echo(f"error: {error}", err=True)
            sys.exit(EXIT_USAGE)

    return _run


def serve(service: Service, instance: str, log_level: str) -> None:
    """Run a role until it is told to stop."""
    logs.configure(log_level, instance)
    asyncio.run(serve_until_signal(service))


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

"""The yuccareach demo command."""

from __future__ import annotations

import asyncio
import sys

import click

from yuccareach.cli.options import CONTEXT_SETTINGS, EXIT_FAILURE, report_errors
from yuccareach.demo import run_demo, serve_demo
from yuccareach.runtime import logs


@click.command(context_settings=CONTEXT_SETTINGS)
@click.option(
    "--serve", is_flag=True, help="Serve until Ctrl-C in place of the checks."
)
@click.option("--port", type=int, default=8080, help="HTTP port with --serve.")
@click.option(
    "--log-level",
    default="warning",
    type=click.Choice(["debug", "info", "warning", "error"]),
    help="Lowest level that is logged.",
)
@report_errors
def demo(serve: bool, port: int, log_level: str) -> None:
    """Run a small system in one process and check its answers over HTTP."""
    logs.configure(log_level, "demo")
    if serve:
        asyncio.run(serve_demo(port))
    elif not asyncio.run(run_demo()):
        sys.exit(EXIT_FAILURE)


__all__ = ["demo"]

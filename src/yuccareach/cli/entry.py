"""The yuccareach-entry command."""

from __future__ import annotations

import click

from yuccareach.cli.options import (
    CONTEXT_SETTINGS,
    Addresses,
    option,
    process_options,
    report_errors,
    serve,
)
from yuccareach.entry.fleet import POLICY_BY_NAME
from yuccareach.entry.http import build_entry_app
from yuccareach.entry.run import EntryProcess, EntryProcessOptions


@click.command(context_settings=CONTEXT_SETTINGS)
@option("--instance", "ENTRY", required=True, help="Name of this instance.")
@option(
    "--availability-zone",
    "ENTRY",
    required=True,
    help="Availability zone of this instance.",
)
@option(
    "--control",
    "ENTRY",
    required=True,
    type=Addresses(),
    help="Addresses of the control instances, separated by commas.",
)
@option(
    "--port", "ENTRY", type=int, default=8080, help="HTTP port; 0 picks a free port."
)
@option(
    "--recovery",
    "ENTRY",
    type=click.Choice(["resume", "replay"]),
    default="resume",
    help="After a loss, resume from the state of the other stages or replay all.",
)
@option(
    "--policy",
    "ENTRY",
    type=click.Choice(sorted(POLICY_BY_NAME)),
    default="load",
    help="How backend servers are chosen; all but load are baselines for comparison.",
)
@option(
    "--drain-grace-ms",
    "ENTRY",
    type=click.IntRange(0, 600_000),
    default=2_000,
    help="Time to keep serving new callers after SIGTERM, in milliseconds.",
)
@process_options("ENTRY")
@report_errors
def main(
    instance: str,
    availability_zone: str,
    control: tuple[str, ...],
    port: int,
    recovery: str,
    policy: str,
    drain_grace_ms: int,
    host: str,
    log_level: str,
) -> None:
    """Run an entry: accept requests over HTTP and route them to agents."""
    options = EntryProcessOptions(
        instance,
        availability_zone,
        control,
        host,
        port,
        recovery == "resume",
        policy,
        drain_grace_ms,
    )
    serve(EntryProcess(options, build_entry_app), instance, log_level)


__all__ = ["main"]

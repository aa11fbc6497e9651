"""The yuccareach-control command."""

from __future__ import annotations

from pathlib import Path

import click

from yuccareach.cli.options import (
    CONTEXT_SETTINGS,
    Address,
    Addresses,
    option,
    process_options,
    report_errors,
    serve,
)
from yuccareach.control.options import ControlOptions
from yuccareach.control.run import ControlProcess


@click.command(context_settings=CONTEXT_SETTINGS)
@option("--instance", "CONTROL", required=True, help="Name of this instance.")
@option(
    "--availability-zone",
    "CONTROL",
    required=True,
    help="Availability zone of this instance.",
)
@option(
    "--data",
    "CONTROL",
    required=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="Data folder, on a persistent disk.",
)
@option(
    "--port", "CONTROL", type=int, default=7070, help="gRPC port; 0 picks a free port."
)
@option(
    "--http-port", "CONTROL", type=int, default=7071, help="HTTP port for operators."
)
@option(
    "--advertise",
    "CONTROL",
    default=None,
    type=Address(),
    help="Address at which other processes reach the gRPC port.",
)
@option(
    "--bootstrap",
    "CONTROL",
    is_flag=True,
    help="Start a new cluster if the data folder is empty.",
)
@option(
    "--restore",
    "CONTROL",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Start a new cluster from this backup if the data folder is empty.",
)
@option(
    "--join",
    "CONTROL",
    default=None,
    type=Addresses(),
    help="Control instances of the cluster to join, separated by commas.",
)
@option(
    "--platform-token-sha256",
    "CONTROL",
    required=True,
    help="SHA-256 in hex of the token that gives access to every team's settings.",
)
@option(
    "--snapshot-every",
    "CONTROL",
    type=click.IntRange(10),
    default=10_000,
    help="Log records between snapshots.",
)
@process_options("CONTROL")
@report_errors
def main(
    instance: str,
    availability_zone: str,
    data: Path,
    port: int,
    http_port: int,
    advertise: str | None,
    bootstrap: bool,
    restore: Path | None,
    join: tuple[str, ...] | None,
    platform_token_sha256: str,
    snapshot_every: int,
    host: str,
    log_level: str,
) -> None:
    """Run a control instance: replicated settings, permits, leases and membership."""
    options = ControlOptions(
        instance,
        availability_zone,
        data,
        host,
        port,
        http_port,
        advertise or "",
        bootstrap,
        join or (),
        platform_token_sha256,
        snapshot_every,
        restore,
    )
    serve(ControlProcess(options), instance, log_level)


__all__ = ["main"]

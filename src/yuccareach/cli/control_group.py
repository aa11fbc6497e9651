"""The yuccareach control command group, for the control instances themselves."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import click

from yuccareach.cli.operator_client import (
    OperatorClient,
    operator_options,
    require_success,
)
from yuccareach.cli.options import CONTEXT_SETTINGS, report_errors

MEMBERS_PATH = "/v1/control/members"
SNAPSHOT_PATH = "/v1/control/snapshot"


@click.group(context_settings=CONTEXT_SETTINGS)
def control() -> None:
    """Inspect and change the control instances."""


def _request(
    addresses: tuple[str, ...], token: str, method: str, path: str, **options: Any
) -> Any:
    operator = OperatorClient(addresses, token)
    return require_success(asyncio.run(operator.request(method, path, **options)))


@control.command(context_settings=CONTEXT_SETTINGS)
@operator_options
@report_errors
def members(control: tuple[str, ...], token: str) -> None:
    """List the control instances."""
    for peer in _request(control, token, "GET", MEMBERS_PATH):
        kind = "voter" if peer["voter"] else "non-voter"
        click.echo(f"{peer['identity']}  {peer['address']}  {kind}")


@control.command(context_settings=CONTEXT_SETTINGS)
@click.argument("name")
@operator_options
@report_errors
def remove(name: str, control: tuple[str, ...], token: str) -> None:
    """Remove the control instance with the name or identity NAME."""
    _request(control, token, "DELETE", f"{MEMBERS_PATH}/{name}")
    click.echo(f"{name} removed")


@control.command(context_settings=CONTEXT_SETTINGS)
@click.argument("name")
@operator_options
@report_errors
def promote(name: str, control: tuple[str, ...], token: str) -> None:
    """Make the non-voter NAME a voter; it must have caught up with the log."""
    _request(control, token, "POST", f"{MEMBERS_PATH}/{name}")
    click.echo(f"{name} promoted")


@control.command(context_settings=CONTEXT_SETTINGS)
@operator_options
@report_errors
def snapshot(control: tuple[str, ...], token: str) -> None:
    """Write a snapshot on the first reachable instance."""
    body = _request(control, token, "POST", SNAPSHOT_PATH)
    click.echo(f"snapshot up to record {body['snapshot_index']}")


@control.command(context_settings=CONTEXT_SETTINGS)
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@operator_options
@report_errors
def backup(file: Path, control: tuple[str, ...], token: str) -> None:
    """Write a backup of the whole state to FILE."""
    data = _request(control, token, "GET", SNAPSHOT_PATH, raw=True)
    file.write_bytes(data)
    click.echo(f"{len(data)} bytes written to {file}")


__all__ = ["control"]

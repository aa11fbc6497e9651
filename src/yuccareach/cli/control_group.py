"""yuccareach control: the control instances themselves."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import click

from yuccareach.cli.operator_client import Operator, checked, operator_options
from yuccareach.cli.options import CONTEXT, clear_errors

MEMBERS = "/v1/control/members"
SNAPSHOT = "/v1/control/snapshot"


@click.group(context_settings=CONTEXT)
def control() -> None:
    """Look at and change the control instances."""


def _ask(
    addresses: tuple[str, ...], token: str, method: str, path: str, **options: Any
) -> Any:
    operator = Operator(addresses, token)
    return checked(asyncio.run(operator.ask(method, path, **options)))


@control.command(context_settings=CONTEXT)
@operator_options
@clear_errors
def members(control: tuple[str, ...], token: str) -> None:
    """List the control instances."""
    for peer in _ask(control, token, "GET", MEMBERS):
        kind = "voter" if peer["voter"] else "non-voter"
        click.echo(f"{peer['identity']}  {peer['address']}  {kind}")


@control.command(context_settings=CONTEXT)
@click.argument("name")
@operator_options
@clear_errors
def remove(name: str, control: tuple[str, ...], token: str) -> None:
    """Remove the control instance NAME (or with that identity)."""
    _ask(control, token, "DELETE", f"{MEMBERS}/{name}")
    click.echo(f"{name} removed")


@control.command(context_settings=CONTEXT)
@click.argument("name")
@operator_options
@clear_errors
def promote(name: str, control: tuple[str, ...], token: str) -> None:
    """Make the caught-up non-voter NAME a voter."""
    _ask(control, token, "POST", f"{MEMBERS}/{name}")
    click.echo(f"{name} promoted")


@control.command(context_settings=CONTEXT)
@operator_options
@clear_errors
def snapshot(control: tuple[str, ...], token: str) -> None:
    """Have the first reachable instance write a snapshot now."""
    body = _ask(control, token, "POST", SNAPSHOT)
    click.echo(f"snapshot up to record {body['snapshot_index']}")


@control.command(context_settings=CONTEXT)
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@operator_options
@clear_errors
def backup(file: Path, control: tuple[str, ...], token: str) -> None:
    """Write the whole state to FILE."""
    data = _ask(control, token, "GET", SNAPSHOT, raw=True)
    file.write_bytes(data)
    click.echo(f"{len(data)} bytes written to {file}")


__all__ = ["control"]

"""yuccareach get."""

from __future__ import annotations

import asyncio
import json

import click

from yuccareach.cli.operator_client import Operator, checked, operator_options
from yuccareach.cli.options import CONTEXT, clear_errors


@click.command(context_settings=CONTEXT)
@click.argument("team", default="")
@operator_options
@clear_errors
def get(team: str, control: tuple[str, ...], token: str) -> None:
    """Print the accepted settings of TEAM, or every team's revision."""
    path = f"/v1/settings/{team}" if team else "/v1/settings"
    body = checked(asyncio.run(Operator(control, token).ask("GET", path)))
    click.echo(json.dumps(body, indent=2, sort_keys=True))


__all__ = ["get"]

"""The yuccareach get command."""

from __future__ import annotations

import asyncio
import json

import click

from yuccareach.cli.operator_client import (
    OperatorClient,
    operator_options,
    require_success,
)
from yuccareach.cli.options import CONTEXT_SETTINGS, report_errors


@click.command(context_settings=CONTEXT_SETTINGS)
@click.argument("team", default="")
@operator_options
@report_errors
def get(team: str, control: tuple[str, ...], token: str) -> None:
    """Print the accepted settings of TEAM, or the revisions of all teams."""
    path = f"/v1/settings/{team}" if team else "/v1/settings"
    body = require_success(
        asyncio.run(OperatorClient(control, token).request("GET", path))
    )
    click.echo(json.dumps(body, indent=2, sort_keys=True))


__all__ = ["get"]

"""yuccareach history."""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime

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
def history(team: str, control: tuple[str, ...], token: str) -> None:
    """List the accepted changes that are kept, of TEAM or of all."""
    path = "/v1/history" + (f"?team={team}" if team else "")
    for item in require_success(
        asyncio.run(OperatorClient(control, token).request("GET", path))
    ):
        moment = datetime.fromtimestamp(item["at_ms"] / 1000, UTC)
        action = "removed" if item["removed"] else "changed"
        click.echo(
            f"{item['revision']:>6}  {moment:%Y-%m-%d %H:%M:%S}Z  {item['team']}  "
            f"{action}  by {item['author'] or 'unknown'}  {item['change_id']}"
        )


__all__ = ["history"]

"""The yuccareach history command."""

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
    """List the accepted changes of TEAM, or of all teams, that are still stored."""
    path = "/v1/history" + (f"?team={team}" if team else "")
    for change in require_success(
        asyncio.run(OperatorClient(control, token).request("GET", path))
    ):
        time = datetime.fromtimestamp(change["at_ms"] / 1000, UTC)
        action = "removed" if change["removed"] else "changed"
        click.echo(
            f"{change['revision']:>6}  {time:%Y-%m-%d %H:%M:%S}Z  {change['team']}  "
            f"{action}  by {change['author'] or 'unknown'}  {change['change_id']}"
        )


__all__ = ["history"]

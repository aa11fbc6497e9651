"""The yuccareach rollback command."""

from __future__ import annotations

import asyncio

import click

from yuccareach.cli.apply import put_team
from yuccareach.cli.operator_client import (
    OperatorClient,
    OperatorError,
    operator_options,
    require_success,
)
from yuccareach.cli.options import CONTEXT_SETTINGS, report_errors


async def _rollback(operator: OperatorClient, team: str, revision: int) -> int:
    path = f"/v1/history?team={team}&revision={revision}"
    revisions = require_success(await operator.request("GET", path))
    if not revisions or revisions[0]["document"] is None:
        raise OperatorError(f"revision {revision} of {team} is no longer stored")
    current = await operator.request("GET", f"/v1/settings/{team}")
    reply = await put_team(operator, team, revisions[0]["document"], current.etag)
    new_revision: int = require_success(reply)["revision"]
    return new_revision


@click.command(context_settings=CONTEXT_SETTINGS)
@click.argument("team")
@click.argument("revision", type=int)
@operator_options
@report_errors
def rollback(team: str, revision: int, control: tuple[str, ...], token: str) -> None:
    """Apply the settings that TEAM had at REVISION as a new revision."""
    new_revision = asyncio.run(
        _rollback(OperatorClient(control, token), team, revision)
    )
    click.echo(f"{team}: revision {revision} accepted again as revision {new_revision}")


__all__ = ["rollback"]

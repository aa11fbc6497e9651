"""yuccareach rollback."""

from __future__ import annotations

import asyncio

import click

from yuccareach.cli.apply import put_team
from yuccareach.cli.operator_client import (
    Operator,
    OperatorError,
    checked,
    operator_options,
)
from yuccareach.cli.options import CONTEXT, clear_errors


async def _rollback(operator: Operator, team: str, revision: int) -> int:
    path = f"/v1/history?team={team}&revision={revision}"
    found = checked(await operator.ask("GET", path))
    if not found or found[0]["document"] is None:
        raise OperatorError(f"revision {revision} of {team} is not kept")
    current = await operator.ask("GET", f"/v1/settings/{team}")
    reply = await put_team(operator, team, found[0]["document"], current.etag)
    accepted: int = checked(reply)["revision"]
    return accepted


@click.command(context_settings=CONTEXT)
@click.argument("team")
@click.argument("revision", type=int)
@operator_options
@clear_errors
def rollback(team: str, revision: int, control: tuple[str, ...], token: str) -> None:
    """Make what TEAM had at REVISION a new revision."""
    accepted = asyncio.run(_rollback(Operator(control, token), team, revision))
    click.echo(f"{team}: revision {revision} accepted again as revision {accepted}")


__all__ = ["rollback"]

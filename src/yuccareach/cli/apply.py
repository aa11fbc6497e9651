"""The yuccareach apply command."""

from __future__ import annotations

import asyncio
import getpass
import secrets
import sys
import time
from pathlib import Path
from typing import Any

import click

from yuccareach.cli.diff import format_document
from yuccareach.cli.operator_client import (
    OperatorClient,
    Reply,
    operator_options,
    require_success,
)
from yuccareach.cli.options import CONTEXT_SETTINGS, EXIT_FAILURE, report_errors
from yuccareach.settings.documents import load_teams

POLL_INTERVAL_S = 0.2
# Status of a change whose base revision is no longer the accepted one.
HTTP_PRECONDITION_FAILED = 412
HTTP_NOT_FOUND = 404


async def put_team(
    operator: OperatorClient,
    team: str,
    document: Any,
    base_revision: int,
    *,
    change_id: str = "",
    dry_run: bool = False,
) -> Reply:
    """Replace one team's settings if their accepted revision is still base_revision.

    A change that is sent again with its change_id is accepted once only.
    """
    return await operator.request(
        "PUT",
        f"/v1/settings/{team}" + ("?dry_run=true" if dry_run else ""),
        body=document,
        headers={
            "If-Match": f'"{base_revision}"',
            "Change-Id": change_id or secrets.token_hex(8),
            "Author": getpass.getuser(),
        },
    )


async def _apply(
    operator: OperatorClient, teams: dict[str, Any], *, dry_run: bool
) -> tuple[int, bool]:
    """Apply the settings of every team.

    Returns the newest accepted revision and whether all changes were accepted.
    """
    newest_revision, succeeded = 0, True
    for team, document in teams.items():
        current = await operator.request("GET", f"/v1/settings/{team}")
        if current.status != HTTP_NOT_FOUND:
            require_success(current)
            if format_document(current.body) == format_document(document):
                click.echo(f"{team}: unchanged at revision {current.etag}")
                newest_revision = max(newest_revision, current.etag)
                continue
        reply = await put_team(operator, team, document, current.etag, dry_run=dry_run)
        if reply.status == HTTP_PRECONDITION_FAILED:
            click.echo(
                f"{team}: conflict, revision {reply.body['team_revision']} by "
                f"{reply.body['winner_author'] or 'unknown'} was accepted first "
                f"(change {reply.body['winner_change_id']})",
                err=True,
            )
            succeeded = False
            continue
        body = require_success(reply)
        if dry_run:
            click.echo(f"{team}: would be accepted")
            continue
        click.echo(f"{team}: accepted as revision {body['revision']}")
        newest_revision = max(newest_revision, body["revision"])
    return newest_revision, succeeded


async def wait_until_in_force(
    operator: OperatorClient, revision: int, timeout_s: float
) -> bool:
    """Wait until a revision is in force in all processes that watch settings.

    Returns False if that takes longer than the timeout.
    """
    started_s = time.monotonic()
    while True:
        status = require_success(await operator.request("GET", "/v1/status"))
        in_force = status["revision_in_force_by_availability_zone"]
        if in_force and min(in_force.values()) >= revision:
            elapsed_s = time.monotonic() - started_s
            for zone, zone_revision in sorted(in_force.items()):
                click.echo(f"{zone}: revision {zone_revision} in force")
            click.echo(f"in force everywhere after {elapsed_s:.1f} s")
            return True
        if time.monotonic() - started_s > timeout_s:
            lagging = ", ".join(status["lagging"]) or "no process watches settings"
            click.echo(f"not in force everywhere yet: {lagging}", err=True)
            return False
        await asyncio.sleep(POLL_INTERVAL_S)


@click.command(context_settings=CONTEXT_SETTINGS)
@click.argument("folder", type=click.Path(path_type=Path))
@click.option(
    "--dry-run", is_flag=True, help="Only check whether the settings would be accepted."
)
@click.option(
    "--wait", is_flag=True, help="Wait until the settings are in force everywhere."
)
@click.option(
    "--timeout", type=float, default=19.0, help="Limit of --wait, in seconds."
)
@operator_options
@report_errors
def apply(
    folder: Path,
    dry_run: bool,
    wait: bool,
    timeout: float,
    control: tuple[str, ...],
    token: str,
) -> None:
    """Replace the accepted settings by the declarations below FOLDER."""
    teams = load_teams(folder)
    operator = OperatorClient(control, token)

    async def _run() -> bool:
        revision, succeeded = await _apply(operator, teams, dry_run=dry_run)
        if wait and succeeded and not dry_run:
            return await wait_until_in_force(operator, revision, timeout)
        return succeeded

    if not asyncio.run(_run()):
        sys.exit(EXIT_FAILURE)


__all__ = ["apply", "put_team", "wait_until_in_force"]

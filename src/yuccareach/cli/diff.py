"""yuccareach diff."""

from __future__ import annotations

import asyncio
import difflib
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from yuccareach.cli.operator_client import OperatorClient, operator_options
from yuccareach.cli.options import CONTEXT_SETTINGS, EXIT_FAILURE, report_errors
from yuccareach.settings.documents import load_teams

if TYPE_CHECKING:
    from collections.abc import Iterator


def format_document(document: Any) -> list[str]:
    """Render a document for comparison."""
    return json.dumps(document, indent=2, sort_keys=True).splitlines()


async def _diff_teams(
    operator: OperatorClient, teams: dict[str, Any]
) -> list[tuple[str, list[str]]]:
    found = []
    for team, document in teams.items():
        reply = await operator.request("GET", f"/v1/settings/{team}")
        accepted = reply.body if reply.status == 200 else {}
        lines = _diff_documents(team, accepted, document)
        found.append((team, list(lines)))
    return found


def _diff_documents(team: str, accepted: Any, declared: Any) -> Iterator[str]:
    return difflib.unified_diff(
        format_document(accepted),
        format_document(declared),
        f"{team} (accepted)",
        f"{team} (declared)",
        lineterm="",
    )


@click.command(context_settings=CONTEXT_SETTINGS)
@click.argument("folder", type=click.Path(path_type=Path))
@operator_options
@report_errors
def diff(folder: Path, control: tuple[str, ...], token: str) -> None:
    """Show how the declarations below FOLDER differ from what is accepted.

    The exit status is 1 where they differ.
    """
    teams = load_teams(folder)
    found = asyncio.run(_diff_teams(OperatorClient(control, token), teams))
    for _, lines in found:
        for line in lines:
            click.echo(line)
    if any(lines for _, lines in found):
        sys.exit(EXIT_FAILURE)


__all__ = ["diff", "format_document"]

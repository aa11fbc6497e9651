"""The yuccareach diff command."""

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
    """Return a document as lines of sorted JSON, for comparison."""
    return json.dumps(document, indent=2, sort_keys=True).splitlines()


async def _diff_teams(
    operator: OperatorClient, teams: dict[str, Any]
) -> list[tuple[str, list[str]]]:
    differences = []
    for team, document in teams.items():
        reply = await operator.request("GET", f"/v1/settings/{team}")
        accepted = reply.body if reply.status == 200 else {}
        lines = _diff_documents(team, accepted, document)
        differences.append((team, list(lines)))
    return differences


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
    """Show how the declarations below FOLDER differ from the accepted settings.

    The exit status is 1 if they differ.
    """
    teams = load_teams(folder)
    differences = asyncio.run(_diff_teams(OperatorClient(control, token), teams))
    for _, lines in differences:
        for line in lines:
            click.echo(line)
    if any(lines for _, lines in differences):
        sys.exit(EXIT_FAILURE)


__all__ = ["diff", "format_document"]

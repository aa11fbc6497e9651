"""The yuccareach validate command."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from yuccareach.cli.options import CONTEXT_SETTINGS, EXIT_USAGE
from yuccareach.settings.documents import load_teams
from yuccareach.settings.errors import InvalidSettings


@click.command(context_settings=CONTEXT_SETTINGS)
@click.argument("folder", type=click.Path(path_type=Path))
def validate(folder: Path) -> None:
    """Check the declarations below FOLDER, one folder for each team."""
    try:
        teams = load_teams(folder)
    except InvalidSettings as error:
        click.echo(str(error), err=True)
        click.echo(f"{len(error.errors)} errors", err=True)
        sys.exit(EXIT_USAGE)
    for team, document in teams.items():
        counts = ", ".join(f"{len(items)} {name}" for name, items in document.items())
        click.echo(f"{team}: {counts or 'empty'}")


__all__ = ["validate"]

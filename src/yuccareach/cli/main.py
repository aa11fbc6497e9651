"""The yuccareach command for operators, with its subcommands and plugins."""

from __future__ import annotations

from importlib.metadata import entry_points

import click

from yuccareach import __version__
from yuccareach.cli.apply import apply
from yuccareach.cli.control_group import control
from yuccareach.cli.demo import demo
from yuccareach.cli.diff import diff
from yuccareach.cli.explain import explain
from yuccareach.cli.get import get
from yuccareach.cli.history import history
from yuccareach.cli.options import CONTEXT_SETTINGS
from yuccareach.cli.plan import plan
from yuccareach.cli.rollback import rollback
from yuccareach.cli.status import status
from yuccareach.cli.validate import validate

# Entry points of this group are added as subcommands.
PLUGIN_GROUP = "yuccareach.commands"


@click.group(context_settings=CONTEXT_SETTINGS)
@click.version_option(__version__, prog_name="yuccareach")
def main() -> None:
    """Route requests through model pipelines over mixed accelerators."""


for _command in (
    apply,
    control,
    demo,
    diff,
    explain,
    get,
    history,
    plan,
    rollback,
    status,
    validate,
):
    main.add_command(_command)

for _plugin in entry_points(group=PLUGIN_GROUP):
    main.add_command(_plugin.load(), _plugin.name)

__all__ = ["main"]

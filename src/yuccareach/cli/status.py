"""The yuccareach status command."""

from __future__ import annotations

import asyncio
import json
from itertools import groupby
from typing import TYPE_CHECKING, Any

import click

from yuccareach.cli.operator_client import (
    OperatorClient,
    operator_options,
    require_success,
)
from yuccareach.cli.options import CONTEXT_SETTINGS, report_errors

if TYPE_CHECKING:
    from collections.abc import Iterator


def format_status(status: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of a status overview."""
    yield (
        f"control {status['instance']} is {status['role']}, term {status['term']}, "
        f"leader {status['leader'] or 'unknown'}, revision {status['revision']}"
    )
    if status["failure"]:
        yield f"  FAILED: {status['failure']}"
    for peer in status["control_instances"]:
        kind = "voter" if peer["voter"] else "non-voter"
        yield f"  {peer['identity']}  {peer['address']}  {kind}"
    in_force = status["revision_in_force_by_availability_zone"]
    for zone, revision in sorted(in_force.items()):
        yield f"availability zone {zone}: revision {revision} in force"
    if status["lagging"]:
        yield f"lagging: {', '.join(status['lagging'])}"
    servers = sorted(status["backend_servers"], key=_group_key)
    for (pipeline, service), group in groupby(servers, key=_group_key):
        yield f"pipeline {pipeline}" if pipeline else f"service {service}"
        for server in group:
            layers = "[{}, {})".format(*server["layers"]) if pipeline else ""
            state = "draining" if server["draining"] else "ready"
            yield (
                f"  {server['name']}  {server['availability_zone']}  {server['kind']} "
                f"{layers}  {state}  running {server['running']}"
            )


def _group_key(server: dict[str, Any]) -> tuple[str, str]:
    return (server["pipeline"], server["service"])


@click.command(context_settings=CONTEXT_SETTINGS)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@operator_options
@report_errors
def status(as_json: bool, control: tuple[str, ...], token: str) -> None:
    """Show the control instances, the settings in force and the backend servers."""
    body = require_success(
        asyncio.run(OperatorClient(control, token).request("GET", "/v1/status"))
    )
    if as_json:
        click.echo(json.dumps(body, indent=2))
        return
    for line in format_status(body):
        click.echo(line)


__all__ = ["format_status", "status"]

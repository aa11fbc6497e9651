"""The yuccareach explain command."""

from __future__ import annotations

import asyncio
import itertools
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import aiohttp
import click

from yuccareach.cli.operator_client import OperatorError
from yuccareach.cli.options import CONTEXT_SETTINGS, EXIT_FAILURE, option, report_errors
from yuccareach.tracing.explanation import explain as explain_lines
from yuccareach.tracing.log_lines import parse_lines

HTTP_OK = 200


async def _fetch_events(url: str, key: str, request: str) -> list[dict[str, Any]]:
    headers = {"Authorization": f"Bearer {key}"}
    path = f"{url.rstrip('/')}/v1/requests/{request}"
    try:
        async with aiohttp.ClientSession() as session:
            async with session.get(path, headers=headers) as response:
                body = await response.json(content_type=None)
    except aiohttp.ClientError as error:
        raise OperatorError(f"entry {url} cannot be reached: {error}") from error
    if response.status != HTTP_OK:
        raise OperatorError(f"{body['error']['message']} ({response.status})")
    events: list[dict[str, Any]] = body["events"]
    return events


@click.command(context_settings=CONTEXT_SETTINGS)
@click.argument("request")
@option("--url", "EXPLAIN", help="URL of the entry that served the request.")
@option("--key", "EXPLAIN", help="Key of the request's workspace.")
@click.option(
    "--logs",
    multiple=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Log file of a process, in place of --url; may be given several times.",
)
@report_errors
def explain(
    request: str, url: str | None, key: str | None, logs: tuple[Path, ...]
) -> None:
    """Explain what happened to a REQUEST, from its entry or from log files."""
    if logs:
        _explain_from_logs(request, logs)
    elif url and key:
        _explain_from_entry(request, url, key)
    else:
        raise click.UsageError("give either --logs, or --url and --key")


def _explain_from_entry(request: str, url: str, key: str) -> None:
    for event in asyncio.run(_fetch_events(url, key, request)):
        event_time = datetime.fromtimestamp(event["at_ms"] / 1000, UTC)
        fields = " ".join(f"{name}={value}" for name, value in event["fields"].items())
        click.echo(f"{event_time:%H:%M:%S.%f}Z  {event['event']}  {fields}")


def _explain_from_logs(request: str, logs: tuple[Path, ...]) -> None:
    texts = itertools.chain.from_iterable(
        path.read_text(encoding="utf-8", errors="replace").splitlines() for path in logs
    )
    explanation = explain_lines(request, parse_lines(texts))
    for line in explanation.lines:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name != "request"
        )
        click.echo(f"{line.time}  {line.instance}  {line.event}  {fields}")
    click.echo(explanation.sentence)
    if not explanation.has_known_cause:
        sys.exit(EXIT_FAILURE)


__all__ = ["explain"]

"""yuccareach explain."""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime
from typing import Any

import aiohttp
import click

from yuccareach.cli.operator_client import OperatorError
from yuccareach.cli.options import CONTEXT, clear_errors, option

OK = 200


async def _fetch(url: str, key: str, request: str) -> list[dict[str, Any]]:
    headers = {"Authorization": f"Bearer {key}"}
    path = f"{url.rstrip('/')}/v1/requests/{request}"
    try:
        async with aiohttp.ClientSession() as session:
            async with session.get(path, headers=headers) as response:
                body = await response.json(content_type=None)
    except aiohttp.ClientError as error:
        raise OperatorError(f"{url} cannot be reached: {error}") from error
    if response.status != OK:
        raise OperatorError(f"{body['error']['message']} ({response.status})")
    events: list[dict[str, Any]] = body["events"]
    return events


@click.command(context_settings=CONTEXT)
@click.argument("request")
@option("--url", "EXPLAIN", required=True, help="The entry that the request names.")
@option("--key", "EXPLAIN", required=True, help="A key of the request's workspace.")
@clear_errors
def explain(request: str, url: str, key: str) -> None:
    """Tell what happened to a recent REQUEST: its chains, epochs and refusals."""
    for event in asyncio.run(_fetch(url, key, request)):
        moment = datetime.fromtimestamp(event["at_ms"] / 1000, UTC)
        fields = " ".join(f"{name}={value}" for name, value in event["fields"].items())
        click.echo(f"{moment:%H:%M:%S.%f}Z  {event['event']}  {fields}")


__all__ = ["explain"]

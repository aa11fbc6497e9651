"""The yuccareach-load command."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import click

from yuccareach import __version__
from yuccareach.cli.options import CONTEXT_SETTINGS, EXIT_FAILURE, option, report_errors
from yuccareach.load.arrivals import Arrivals
from yuccareach.load.client import Target, Verdict
from yuccareach.load.report import format_lines, summarize
from yuccareach.load.runner import Workload, run_load

FAILURE_VERDICTS = (Verdict.WRONG, Verdict.MISSING, Verdict.FAILED)


@click.group(context_settings=CONTEXT_SETTINGS)
@click.version_option(__version__, prog_name="yuccareach-load")
def main() -> None:
    """Send load to entries, check every answer and report the results."""


@main.command(context_settings=CONTEXT_SETTINGS)
@option("--url", "LOAD", required=True, help="URLs of entries, separated by commas.")
@option("--key", "LOAD", required=True, help="Keys of workspaces, separated by commas.")
@option(
    "--pipeline",
    "LOAD",
    required=True,
    help="Name of the pipeline that serves the requests.",
)
@option(
    "--layers", "LOAD", type=int, required=True, help="Number of layers of the model."
)
@option("--rate", "LOAD", type=float, default=10.0, help="Requests per second.")
@option(
    "--duration",
    "LOAD",
    type=float,
    default=10.0,
    help="Duration of the load in seconds.",
)
@option(
    "--at-once",
    "LOAD",
    type=int,
    default=0,
    help="Send this number of requests at once, in place of --rate.",
)
@option(
    "--arrivals",
    "LOAD",
    type=click.Choice([str(item) for item in Arrivals]),
    default=str(Arrivals.POISSON),
    help="Arrival process of the requests.",
)
@option("--prompt-words", "LOAD", type=int, default=24, help="Mean words per prompt.")
@option("--max-tokens", "LOAD", type=int, default=32, help="Mean tokens per answer.")
@option(
    "--prefixes",
    "LOAD",
    type=int,
    default=0,
    help="Number of shared prompt prefixes; 0 shares none.",
)
@option("--seed", "LOAD", type=int, default=1, help="Random seed of the whole run.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@option(
    "--output",
    "LOAD",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File for the results, one line of JSON per request.",
)
@report_errors
def run(
    url: str,
    key: str,
    pipeline: str,
    layers: int,
    rate: float,
    duration: float,
    at_once: int,
    arrivals: str,
    prompt_words: int,
    max_tokens: int,
    prefixes: int,
    seed: int,
    as_json: bool,
    output: Path | None,
) -> None:
    """Send an open-loop load; exit with 1 if an answer is wrong, missing or failed."""
    targets = [
        Target(entry_url.rstrip("/"), workspace_key, pipeline, layers)
        for entry_url in url.split(",")
        for workspace_key in key.split(",")
    ]
    workload = Workload(
        rate,
        duration,
        Arrivals(arrivals),
        prompt_words,
        max_tokens,
        prefixes,
        seed,
        at_once,
    )
    load_run = asyncio.run(run_load(targets, workload))
    figures = summarize(load_run)
    if output is not None:
        rows = (json.dumps(result._asdict()) for _, result in load_run.results)
        output.write_text("\n".join(rows) + "\n", encoding="utf-8")
    click.echo(json.dumps(figures) if as_json else "\n".join(format_lines(figures)))
    if any(load_run.count_by_verdict[str(verdict)] for verdict in FAILURE_VERDICTS):
        sys.exit(EXIT_FAILURE)


__all__ = ["main"]

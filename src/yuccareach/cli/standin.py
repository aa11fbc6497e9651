"""The yuccareach-standin command."""

from __future__ import annotations

import json
from pathlib import Path

import click

from yuccareach import __version__
from yuccareach.cli.options import (
    CONTEXT_SETTINGS,
    Address,
    LayerRange,
    option,
    report_errors,
    serve,
)
from yuccareach.errors import UsageError
from yuccareach.standin.engine import EngineOptions
from yuccareach.standin.kinds import KIND_BY_NAME
from yuccareach.standin.proxy import ProxyProcess, parse_script
from yuccareach.standin.run import EngineProcess, ServiceProcess


@click.group(context_settings=CONTEXT_SETTINGS)
@click.version_option(__version__, prog_name="yuccareach-standin")
def main() -> None:
    """Run a stand-in for a model engine, a plain service or a faulty network."""


@main.command(context_settings=CONTEXT_SETTINGS)
@option("--model", "STANDIN", required=True, help="Name of the model.")
@option(
    "--layers",
    "STANDIN",
    type=click.IntRange(1),
    required=True,
    help="Layers of the model.",
)
@option("--hold", "STANDIN", type=LayerRange(), required=True, help="Layers to load.")
@option(
    "--kind",
    "STANDIN",
    type=click.Choice(sorted(KIND_BY_NAME)),
    default="a100",
    help="Kind of accelerator whose timing is simulated.",
)
@option("--speed", "STANDIN", type=float, default=1.0, help="Factor on its speed.")
@option(
    "--ignore-fencing",
    "STANDIN",
    is_flag=True,
    help="Accept orders with old fencing numbers.",
)
@option(
    "--event-loss",
    "STANDIN",
    type=click.FloatRange(0, 1),
    default=0.1,
    help="Fraction of load and cache events that are lost.",
)
@option(
    "--crash-word",
    "STANDIN",
    default="",
    help="Word in a prompt that ends the process.",
)
@option("--seed", "STANDIN", type=int, default=0, help="Random seed of the losses.")
@option("--host", "STANDIN", default="127.0.0.1", help="Address to listen on.")
@option(
    "--port", "STANDIN", type=int, default=0, help="gRPC port; 0 picks a free port."
)
@option("--admin-port", "STANDIN", type=int, default=0, help="HTTP port for tests.")
@report_errors
def engine(
    model: str,
    layers: int,
    hold: tuple[int, int],
    kind: str,
    speed: float,
    ignore_fencing: bool,
    event_loss: float,
    crash_word: str,
    seed: int,
    host: str,
    port: int,
    admin_port: int,
) -> None:
    """Run a model engine that holds a range of layers of a verifiable model."""
    if hold[1] > layers:
        raise UsageError(
            f"--hold ends at layer {hold[1]}, but the model has {layers} layers"
        )
    options = EngineOptions(
        model,
        layers,
        hold[0],
        hold[1],
        kind,
        speed,
        not ignore_fencing,
        event_loss,
        seed,
        crash_word,
    )
    serve(EngineProcess(options, host, port, admin_port), f"engine-{port}", "info")


@main.command(context_settings=CONTEXT_SETTINGS)
@option("--host", "STANDIN", default="127.0.0.1", help="Address to listen on.")
@option(
    "--port", "STANDIN", type=int, default=0, help="HTTP port; 0 picks a free port."
)
@option(
    "--delay-ms",
    "STANDIN",
    type=click.IntRange(0),
    default=0,
    help="Duration of a payout in milliseconds.",
)
@report_errors
def service(host: str, port: int, delay_ms: int) -> None:
    """Run a plain service: a ledger with balances and payouts."""
    serve(ServiceProcess(host, port, delay_ms), f"service-{port}", "info")


@main.command(context_settings=CONTEXT_SETTINGS)
@option(
    "--target", "STANDIN", type=Address(), required=True, help="Address to forward to."
)
@option("--host", "STANDIN", default="127.0.0.1", help="Address to listen on.")
@option("--port", "STANDIN", type=int, default=0, help="TCP port; 0 picks a free port.")
@option("--admin-port", "STANDIN", type=int, default=0, help="HTTP port to set faults.")
@option(
    "--script",
    "STANDIN",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="JSON file with a list of phases, each with at_ms and faults.",
)
@option("--seed", "STANDIN", type=int, default=0, help="Random seed of faults.")
@report_errors
def proxy(
    target: str,
    host: str,
    port: int,
    admin_port: int,
    script: Path | None,
    seed: int,
) -> None:
    """Forward TCP connections with faults that are set over HTTP or by a script."""
    phases = []
    if script is not None:
        try:
            phases = parse_script(json.loads(script.read_text(encoding="utf-8")))
        except ValueError as error:
            raise UsageError(f"{script}: {error}") from error
    process = ProxyProcess(target, host, port, admin_port, phases, seed)
    serve(process, f"proxy-{port}", "info")


__all__ = ["main"]

"""The yuccareach-agent command."""

from __future__ import annotations

import click

from yuccareach.agent.http import build_agent_app
from yuccareach.agent.run import AgentOptions, AgentProcess
from yuccareach.cli.options import (
    CONTEXT_SETTINGS,
    Address,
    Addresses,
    option,
    process_options,
    report_errors,
    serve,
)
from yuccareach.errors import UsageError


@click.command(context_settings=CONTEXT_SETTINGS)
@option("--backend-server", "AGENT", required=True, help="Name of the backend server.")
@option(
    "--availability-zone",
    "AGENT",
    required=True,
    help="Availability zone of the backend server.",
)
@option(
    "--control",
    "AGENT",
    required=True,
    type=Addresses(),
    help="Addresses of the control instances, separated by commas.",
)
@option("--engine", "AGENT", default="", help="HOST:PORT of the model engine.")
@option("--service", "AGENT", default="", help="Name of the plain service.")
@option("--service-url", "AGENT", default="", help="Base URL of the plain service.")
@option("--port", "AGENT", type=int, default=0, help="Data port; 0 picks a free port.")
@option(
    "--http-port",
    "AGENT",
    type=int,
    default=0,
    help="HTTP port for health and metrics; 0 picks a free port.",
)
@option(
    "--advertise",
    "AGENT",
    default=None,
    type=Address(),
    help="Address at which other processes reach the data port.",
)
@option(
    "--retain-mib",
    "AGENT",
    type=click.IntRange(1, 4096),
    default=64,
    help="Memory for stage outputs kept to refill a lost next stage, in MiB.",
)
@process_options("AGENT")
@report_errors
def main(
    backend_server: str,
    availability_zone: str,
    control: tuple[str, ...],
    engine: str,
    service: str,
    service_url: str,
    port: int,
    http_port: int,
    advertise: str | None,
    retain_mib: int,
    host: str,
    log_level: str,
) -> None:
    """Run the agent of one backend server, a model engine or a plain service."""
    if bool(engine) == bool(service):
        raise UsageError("give either --engine or --service")
    if service and not service_url:
        raise UsageError("--service requires --service-url")
    options = AgentOptions(
        backend_server,
        availability_zone,
        control,
        engine,
        service,
        service_url,
        host,
        port,
        http_port,
        advertise or "",
        retain_mib,
    )
    serve(AgentProcess(options, build_agent_app), backend_server, log_level)


__all__ = ["main"]

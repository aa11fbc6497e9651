"""The gateway process: its listeners, its background tasks and its shutdown."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.buffers.log_lines import LineLimiter
from yuccareach.gateway.handler import handle
from yuccareach.gateway.http_server import CallerRequest, CallerServer, Reply
from yuccareach.gateway.limit_rechecks import recheck_limits
from yuccareach.gateway.probes import retry_unreachable_backends
from yuccareach.gateway.server_limits import count_limited
from yuccareach.gateway.stalls import watch_streams
from yuccareach.gateway.state import Gateway, GatewaySettings
from yuccareach.gateway.table import Limits
from yuccareach.gateway.view import ViewPoller
from yuccareach.runtime.tasks import cancel_tasks, keep_running

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccareach.buffers.account import Holder, ShedReason
    from yuccareach.gateway.dialect import Dialect
    from yuccareach.gateway.table import RoutingTable

LISTEN_BACKLOG = 1024
# The load balancer stops routing callers to a gateway after two failed health checks,
# which are 1 s apart.
ROTATION_EXIT_DELAY_S = 2.6
DRAIN_CHECK_INTERVAL_S = 0.05
# Connections that were accepted before the listeners closed are registered within this
# time.
REGISTRATION_DELAY_S = 0.2
# Part of the grace period that is reserved for closing connections and channels.
GRACE_MARGIN_S = 0.5


class GatewayAddresses(NamedTuple):
    """Addresses, as HOST:PORT, for callers, health checks and metrics."""

    callers: str
    readiness: str
    metrics: str


class GatewayProcess:
    """One gateway with its listeners and background tasks."""

    def __init__(
        self,
        settings: GatewaySettings,
        addresses: GatewayAddresses,
        control_addresses: Iterable[str],
        dialect: Dialect,
        decode_table: Callable[[bytes], RoutingTable],
    ) -> None:
        self.addresses = addresses
        self.gateway = Gateway(settings, dialect)
        self.view_poller = ViewPoller(self.gateway, control_addresses, decode_table)
        self.caller_server = CallerServer(
            self._handle_request,
            self.gateway.get_limits,
            self._log_crash,
            self._record_rejection,
            self.gateway.buffer_account,
            self._record_shed,
        )
        self.monitoring_server = CallerServer(
            self._serve_monitoring,
            Limits,
            self._log_crash,
            self._record_rejection,
            self.gateway.buffer_account,
            self._record_shed,
        )
        self.closed_lines = LineLimiter()
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start listening and polling control."""
        await _listen(self.caller_server, self.addresses.callers)
        await _listen(self.monitoring_server, self.addresses.readiness)
        if self.addresses.metrics:
            await _listen(self.monitoring_server, self.addresses.metrics)
        self.tasks = [
            asyncio.create_task(keep_running(run_loop, self.gateway.write_log))
            for run_loop in (
                self.view_poller.run,
                self._report_losses,
                self._watch_streams,
                self._retry_backends,
                self._recheck_limits,
            )
        ]
        self.gateway.log("started", address=self.addresses.callers)

    async def _report_losses(self) -> None:
        gateway = self.gateway
        await gateway.loss_reporter.run(self.view_poller.submit, gateway.write_log)

    async def _watch_streams(self) -> None:
        await watch_streams(self.gateway)

    async def _recheck_limits(self) -> None:
        await recheck_limits(self.gateway)

    async def _retry_backends(self) -> None:
        await retry_unreachable_backends(self.gateway)

    async def _handle_request(self, request: CallerRequest, reply: Reply) -> None:
        await handle(self.gateway, request, reply)

    async def _serve_monitoring(self, request: CallerRequest, reply: Reply) -> None:
        """Reply to health checks and requests for metrics."""
        if request.path.endswith("/metrics"):
            # Imported at the first scrape, so that the process starts sooner: every
            # restart is an outage.
            from yuccareach.metrics.exposition import format_metrics

            body = format_metrics(self.gateway.registry, self._get_gauges)
            reply.send(200, [(b"Content-Type", b"text/plain; version=0.0.4")], body)
        else:
            reply.send(200 if self.gateway.is_ready else 503, [])

    def _get_gauges(self) -> dict[str, float]:
        gateway = self.gateway
        limited_servers, limit_grants = count_limited(gateway)
        return {
            "document_version": gateway.table.version if gateway.table else 0,
            "leased": int(gateway.has_lease),
            "requests_active": gateway.active_requests,
            "streams_active": len(gateway.streams),
            "loss_counts": len(gateway.quarantine.record_by_fingerprint),
            "backend_servers": len(gateway.fleet.backend_by_name),
            "limited_servers": limited_servers,
            "limit_grants": limit_grants,
            "client_connections": len(gateway.buffer_account.holders),
            "client_buffer_bytes": gateway.buffer_account.held_bytes,
            "response_buffer_bytes": gateway.response_buffers.total_bytes,
        }

    def _log_crash(self, request: CallerRequest, error: Exception) -> None:
        self.gateway.log(
            "request_crashed",
            logging.ERROR,
            path=request.path,
            error=f"{type(error).__name__}: {error}",
        )

    def _record_rejection(self, status: int) -> None:
        self.gateway.registry.count("rejected_connections", str(status))
        omitted_lines = self.closed_lines.take(self.gateway.now())
        if omitted_lines is not None:
            self.gateway.log(
                "connection_rejected", status=status, omitted_lines=omitted_lines
            )

    def _record_shed(self, reason: ShedReason, holder: Holder) -> None:
        self.gateway.registry.count("shed_connections", str(reason))
        omitted_lines = self.closed_lines.take(self.gateway.now())
        if omitted_lines is not None:
            account = self.gateway.buffer_account
            self.gateway.log(
                "connection_shed",
                logging.WARNING,
                reason=str(reason),
                activity=holder.activity.name.lower(),
                held_bytes=holder.held_bytes,
                all_held_bytes=account.held_bytes,
                connections=len(account.holders),
                omitted_lines=omitted_lines,
            )

    async def drain(self) -> None:
        """Leave the load balancer's rotation and wait for requests in flight.

        Requests that outlast the grace period are not waited for.
        """
        gateway = self.gateway
        self.caller_server.is_draining = True
        gateway.log("draining", active=gateway.active_requests)
        grace_s = gateway.settings.grace_period_s - GRACE_MARGIN_S
        gateway.shutdown_s = gateway.now() + grace_s
        await asyncio.sleep(ROTATION_EXIT_DELAY_S)
        self.caller_server.close_listeners()
        registered_s = gateway.now() + REGISTRATION_DELAY_S
        while gateway.now() < gateway.shutdown_s:
            self.caller_server.close_idle()
            if gateway.now() > registered_s and not self.caller_server.is_busy:
                return
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def stop(self) -> None:
        """Stop the background tasks and close all connections."""
        active = self.gateway.active_requests
        await cancel_tasks(self.tasks)
        await self.caller_server.stop()
        await self.monitoring_server.stop()
        await self.view_poller.close()
        self.gateway.log("stopped", active=active)


async def _listen(server: CallerServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    await server.listen(host, int(port), LISTEN_BACKLOG)


__all__ = ["GatewayAddresses", "GatewayProcess"]

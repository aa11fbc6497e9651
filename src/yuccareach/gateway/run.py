"""The gateway process."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.handler import handle
from yuccareach.gateway.http_server import CallerRequest, CallerServer, Reply
from yuccareach.gateway.probes import retry_unconnectable_backends
from yuccareach.gateway.stalls import watch_streams
from yuccareach.gateway.state import Gateway, GatewayTerms
from yuccareach.gateway.table import Limits
from yuccareach.gateway.view import ViewFollower

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccareach.gateway.dialect import Dialect
    from yuccareach.gateway.table import RoutingTable

BACKLOG = 1024
# The balancer needs two failed checks, a second apart, to send callers elsewhere.
LEAVE_ROTATION_S = 2.6
DRAIN_CHECK_S = 0.05
# Kept of the grace period to close everything.
GRACE_MARGIN_S = 0.5


class GatewayAddresses(NamedTuple):
    """Where a gateway listens: HOST:PORT for callers, health checks and metrics."""

    callers: str
    readiness: str
    metrics: str


class GatewayProcess:
    """One gateway with its listeners and background tasks."""

    def __init__(
        self,
        terms: GatewayTerms,
        addresses: GatewayAddresses,
        control: Iterable[str],
        dialect: Dialect,
        decode: Callable[[bytes], RoutingTable],
    ) -> None:
        self.addresses = addresses
        self.gateway = Gateway(terms, dialect)
        self.follower = ViewFollower(self.gateway, control, decode)
        self.callers = CallerServer(
            self._handle, self.gateway.limits, self._failed, self._rejected
        )
        self.monitor = CallerServer(self._observe, Limits, self._failed, self._rejected)
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and follow control."""
        await _listen(self.callers, self.addresses.callers)
        await _listen(self.monitor, self.addresses.readiness)
        if self.addresses.metrics:
            await _listen(self.monitor, self.addresses.metrics)
        self.tasks = [
            asyncio.create_task(self.follower.run()),
            asyncio.create_task(watch_streams(self.gateway)),
            asyncio.create_task(retry_unconnectable_backends(self.gateway)),
        ]
        self.gateway.log("started", address=self.addresses.callers)

    async def _handle(self, request: CallerRequest, reply: Reply) -> None:
        await handle(self.gateway, request, reply)

    async def _observe(self, request: CallerRequest, reply: Reply) -> None:
        """Answer health checks and metrics."""
        if request.path.endswith("/metrics"):
            # Imported when first scraped, since every restart is an outage.
            from yuccareach.metrics.exposition import format_metrics

            body = format_metrics(self.gateway.registry, self._gauges)
            reply.send(200, [(b"Content-Type", b"text/plain; version=0.0.4")], body)
        else:
            reply.send(200 if self.gateway.ready else 503, [])

    def _gauges(self) -> dict[str, float]:
        gateway = self.gateway
        return {
            "document_version": gateway.table.version if gateway.table else 0,
            "leased": int(gateway.leased),
            "requests_active": gateway.active,
            "streams_active": len(gateway.streams),
            "backend_servers": len(gateway.fleet.backend_by_name),
        }

    def _failed(self, request: CallerRequest, error: Exception) -> None:
        self.gateway.log(
            "request_crashed",
            logging.ERROR,
            path=request.path,
            error=f"{type(error).__name__}: {error}",
        )

    def _rejected(self, status: int) -> None:
        self.gateway.registry.count("rejected_connections", str(status))
        self.gateway.log("connection_rejected", status=status)

    async def drain(self) -> None:
        """Let the balancer go elsewhere, and finish every request in flight."""
        gateway = self.gateway
        gateway.draining = self.callers.draining = True
        gateway.log("draining", active=gateway.active)
        until_s = gateway.now() + gateway.terms.grace_s - GRACE_MARGIN_S
        await asyncio.sleep(LEAVE_ROTATION_S)
        self.callers.close_listeners()
        self.callers.close_idle()
        while gateway.active and gateway.now() < until_s:
            await asyncio.sleep(DRAIN_CHECK_S)
            self.callers.close_idle()

    async def stop(self) -> None:
        """Close everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.callers.stop()
        await self.monitor.stop()
        await self.follower.close()
        self.gateway.log("stopped", active=self.gateway.active)


async def _listen(server: CallerServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    await server.listen(host, int(port), BACKLOG)


__all__ = ["GatewayAddresses", "GatewayProcess"]

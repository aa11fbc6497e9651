"""Stand-in backend servers, each behind a proxy that injects faults."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from aiohttp import web

from yuccareach.platform.standin import Group, Runner
from yuccareach.standin.proxy import Faults, ProxyProcess

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

HOST = "127.0.0.1"
HEARTBEAT_INTERVAL_S = 0.4
# Long enough that each event arrives in a read of its own.
EVENT_INTERVAL_S = 0.01


class Arrival(NamedTuple):
    """A request that reached a backend server."""

    received_s: float
    request: str
    workspace: str


class SoakRunner(Runner):
    """A stand-in that records arrivals and when control acknowledged its draining."""

    def __init__(
        self, group: Group, name: str, service: str, zone: str, kind: str = ""
    ) -> None:
        super().__init__(group, name, service, zone, kind)
        self.event_interval_s = EVENT_INTERVAL_S
        self.heartbeat_interval_s = HEARTBEAT_INTERVAL_S
        self.arrivals: list[Arrival] = []
        self.is_closed = False
        # Replaces this server after its crash; set by the deployment.
        self.replace: Callable[[SoakRunner], Awaitable[None]] | None = None
        self.drain_acknowledged_s: float | None = None
        self.heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen behind a proxy and announce the proxy's address."""
        await super().start()
        self.proxy = ProxyProcess(self.address, HOST, 0, 0, [], 0)
        await self.proxy.start()
        del self.group.runner_by_address[self.address]
        self.address = self.proxy.address
        self.group.runner_by_address[self.address] = self

    async def close(self) -> None:
        """Close the proxy as well, and stop to send heartbeats."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        await self.proxy.stop()
        await super().close()

    async def _crash_and_restart(self) -> None:
        """Crash, and let the deployment start a replacement."""
        assert self.replace is not None
        await self.replace(self)

    def start_heartbeats(self, control: Sequence[str]) -> None:
        """Start to send heartbeats in the background."""
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats(control))

    def on_heartbeat_acknowledged(self, heartbeat: dict[str, Any]) -> None:
        """Record when control first acknowledged that this server is draining."""
        if heartbeat["state"] == "draining" and self.drain_acknowledged_s is None:
            self.drain_acknowledged_s = time.monotonic()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        arrival = Arrival(
            time.monotonic(),
            request.headers.get("Yuccareach-Request-Id", ""),
            request.headers.get("Yuccareach-Tenant", ""),
        )
        self.arrivals.append(arrival)
        return await super()._serve(request)

    def set_link_faults(self, faults: Faults) -> None:
        """Replace the faults of the link to this server."""
        self.proxy.set_faults(faults)


__all__ = ["Arrival", "SoakRunner"]

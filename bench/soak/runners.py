"""Stand-in backend servers that note what reaches them, each behind a faulty link."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from aiohttp import web

from yuccareach.platform.standin import Group, Runner
from yuccareach.standin.proxy import Faults, ProxyProcess

if TYPE_CHECKING:
    from collections.abc import Sequence

HOST = "127.0.0.1"
HEARTBEAT_INTERVAL_S = 0.4
# So long apart, each event arrives by itself.
EVENT_INTERVAL_S = 0.01


class Arrival(NamedTuple):
    """A request that reached a backend server."""

    at_s: float
    request: str
    workspace: str


class SoakRunner(Runner):
    """A stand-in that remembers arrivals and when its draining was acknowledged."""

    def __init__(
        self, group: Group, name: str, service: str, zone: str, kind: str = ""
    ) -> None:
        super().__init__(group, name, service, zone, kind)
        self.event_interval_s = EVENT_INTERVAL_S
        self.heartbeat_interval_s = HEARTBEAT_INTERVAL_S
        self.arrivals: list[Arrival] = []
        self.drained_s: float | None = None
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen behind a proxy, whose address is announced."""
        await super().start()
        self.proxy = ProxyProcess(self.address, HOST, 0, 0, [], 0)
        await self.proxy.start()
        del self.group.runner_by_address[self.address]
        self.address = self.proxy.address
        self.group.runner_by_address[self.address] = self

    async def stop(self) -> None:
        """Stop without a word."""
        if self.task is not None:
            self.task.cancel()
        await self.proxy.stop()
        await super().stop()

    def attach(self, control: Sequence[str]) -> None:
        """Begin to send heartbeats."""
        self.task = asyncio.create_task(self.send_heartbeats(control))

    def on_heartbeat_acknowledged(self, heartbeat: dict[str, Any]) -> None:
        """Note since when control knows that no new work is taken."""
        if heartbeat["state"] == "draining" and self.drained_s is None:
            self.drained_s = time.monotonic()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        arrival = Arrival(
            time.monotonic(),
            request.headers.get("Yuccareach-Request-Id", ""),
            request.headers.get("Yuccareach-Tenant", ""),
        )
        self.arrivals.append(arrival)
        return await super()._serve(request)

    def disturb(self, faults: Faults) -> None:
        """Change what is wrong with its link."""
        self.proxy.set_faults(faults)


__all__ = ["Arrival", "SoakRunner"]

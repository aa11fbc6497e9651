"""Runs a control instance as the platform's settings say."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from yuccareach.control.run import ControlOptions, ControlProcess
from yuccareach.errors import YuccareachError
from yuccareach.gateway.table import RoutingTable
from yuccareach.placement.run import Placement
from yuccareach.platform.control_app import control_app
from yuccareach.platform.documents import decode_document
from yuccareach.platform.orders import OrderClient
from yuccareach.platform.settings import ProcessSettings, load_settings, settings_path
from yuccareach.runtime import logs
from yuccareach.runtime.process import serve_until_signal

# Heartbeats that may be missed before a runner counts as gone.
MISSED_HEARTBEATS = 3
SNAPSHOT_EVERY = 64


class PlatformControl:
    """A control instance with the placement that it carries out while it leads."""

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.process = ControlProcess(control_options(settings), control_app)
        self.orders = OrderClient()
        self.table: RoutingTable | None = None
        placement = Placement(self.process, self._table, self.orders.place)
        self.placement = placement
        self.task: asyncio.Task[None] | None = None

    def _table(self) -> RoutingTable | None:
        """Return the routing table in force, decoded once a version."""
        import zlib

        document = self.process.machine.document
        if document.version and (
            self.table is None or self.table.version != document.version
        ):
            self.table = decode_document(zlib.decompress(document.content))
        return self.table

    async def start(self) -> None:
        """Serve until stopped."""
        await self.process.start()
        self.task = asyncio.create_task(self.placement.run())

    async def drain(self) -> None:
        """Finish what is in flight."""
        await self.process.drain()

    async def stop(self) -> None:
        """Release everything."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.orders.close()
        await self.process.stop()


def control_options(settings: ProcessSettings) -> ControlOptions:
    """Return the options of a control instance."""
    host, _, port = settings.operators_address.rpartition(":")
    return ControlOptions(
        instance=settings.instance,
        availability_zone=settings.zone,
        data=Path(settings.data_folder or "/tmp/yuccareach-control"),
        host=settings.host,
        port=settings.peer_port,
        http_port=int(port),
        advertise=f"{settings.host}:{settings.peer_port}",
        bootstrap=settings.bootstraps,
        join=settings.control_peers,
        snapshot_every=SNAPSHOT_EVERY,
        member_lease_ms=MISSED_HEARTBEATS * settings.heartbeat_ms + 500,
        voters=2 * settings.lost_instances_borne + 1,
        operator_address=f"{host}:{port}",
    )


def main() -> None:
    """Run until told to stop; a bad settings file is one clear line."""
    try:
        settings = load_settings(settings_path())
        logs.configure("info", settings.instance)
        asyncio.run(_serve(settings))
    except YuccareachError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(2)


async def _serve(settings: ProcessSettings) -> None:
    await serve_until_signal(PlatformControl(settings))


if __name__ == "__main__":
    main()

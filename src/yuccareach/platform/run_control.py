"""Runs a control instance as the platform's settings say."""

from __future__ import annotations

import asyncio
import zlib
from pathlib import Path
from typing import TYPE_CHECKING

from yuccareach.control.options import ControlOptions
from yuccareach.control.run import ControlProcess
from yuccareach.gateway.table import RoutingTable
from yuccareach.placement.run import PlacementController
from yuccareach.platform.control_app import control_app
from yuccareach.platform.documents import decode_document
from yuccareach.platform.orders import place
from yuccareach.platform.process import run_process
from yuccareach.platform.settings import ProcessSettings, load_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccareach.runtime.process import ProcessLifecycle

# Heartbeats that may be missed before a runner counts as gone. Gateways notice sooner
# that one is lost; one that is cut off from control only goes on serving meanwhile.
MISSED_HEARTBEATS = 6
# Heartbeats within which every runner has announced itself to a new process.
WARM_HEARTBEATS = 3
HEARTBEAT_SLACK_MS = 500
SNAPSHOT_EVERY = 64
VOLATILE_FOLDER = "/tmp/yuccareach-control"


class PlatformControl:
    """A control instance with the placement that it carries out while it leads."""

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.process = ControlProcess(control_options(settings), control_app)
        self.table: RoutingTable | None = None
        placement = PlacementController(self.process, self._table, place)
        self.placement = placement
        self.task: asyncio.Task[None] | None = None

    def _table(self) -> RoutingTable | None:
        """Return the routing table in force, decoded once a version."""
        document = self.process.machine.document
        if document.version and (
            self.table is None or self.table.version != document.version
        ):
            self.table = decode_document(zlib.decompress(document.content))
        return self.table

    def take_settings(self, path: Path) -> None:
        """Take what may change while the process runs."""
        self.process.join_targets = load_settings(path).control_peers

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
        await self.process.stop()


def control_options(settings: ProcessSettings) -> ControlOptions:
    """Return the options of a control instance."""
    host, _, port = settings.operators_address.rpartition(":")
    return ControlOptions(
        instance=settings.instance,
        availability_zone=settings.zone,
        data=Path(settings.data_folder or VOLATILE_FOLDER),
        volatile=not settings.data_folder,
        host=settings.host,
        port=settings.peer_port,
        http_port=int(port),
        advertise=f"{settings.host}:{settings.peer_port}",
        bootstrap=settings.bootstraps and bool(settings.data_folder),
        join=settings.control_peers,
        snapshot_every=SNAPSHOT_EVERY,
        member_lease_ms=MISSED_HEARTBEATS * settings.heartbeat_ms + HEARTBEAT_SLACK_MS,
        member_warm_ms=WARM_HEARTBEATS * settings.heartbeat_ms + HEARTBEAT_SLACK_MS,
        voters=2 * settings.lost_instances_borne + 1,
        operator_address=f"{host}:{port}",
    )


def main() -> None:
    """Run until told to stop."""
    run_process(_build)


def _build(
    settings: ProcessSettings,
) -> tuple[ProcessLifecycle, Callable[[Path], None]]:
    control = PlatformControl(settings)
    return control, control.take_settings


if __name__ == "__main__":
    main()

"""Entry point of a control instance on the users' platform."""

from __future__ import annotations

if __name__ == "__main__":
    # Before the other imports, which take long enough for signals to arrive.
    import signal

    from yuccareach.runtime.early_signals import record_signals

    record_signals(signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

import asyncio
import zlib
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from yuccareach.buffers.limits import limit_beside_gateway
from yuccareach.control.options import ControlOptions
from yuccareach.control.run import ControlProcess
from yuccareach.gateway.table import RoutingTable
from yuccareach.placement.run import PlacementController
from yuccareach.platform.control_app import build_control_app
from yuccareach.platform.documents import decode_document
from yuccareach.platform.orders import send_place_order
from yuccareach.platform.process import run_process
from yuccareach.platform.settings import ProcessSettings, load_settings
from yuccareach.runtime.logs import logger, write_log
from yuccareach.runtime.tasks import cancel_tasks, keep_running

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccareach.runtime.process import ProcessLifecycle

# A backend server is removed after this many heartbeat intervals without a heartbeat.
# The lease is this long because gateways detect a lost server sooner by themselves,
# while a server that only cannot reach control continues to serve.
MAX_MISSED_HEARTBEATS = 6
# Heartbeat intervals within which every living backend server has sent a heartbeat to a
# control process that has just started.
WARM_UP_HEARTBEAT_COUNT = 3
# Added to these multiples of the heartbeat interval.
HEARTBEAT_MARGIN_MS = 500
# Log entries between two snapshots.
SNAPSHOT_INTERVAL_ENTRIES = 64

_log = logger("platform")


class PlatformControl:
    """A control instance, with the controller that places layers while it leads."""

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.process = ControlProcess(
            build_control_options(settings), build_control_app
        )
        self.table: RoutingTable | None = None
        placement = PlacementController(self.process, self._get_table, send_place_order)
        self.placement = placement
        self.placement_task: asyncio.Task[None] | None = None

    def _get_table(self) -> RoutingTable | None:
        """Return the routing table in force, or None before the first document.

        A version of the routing document is decoded only once.
        """
        document = self.process.machine.document
        if document.version and (
            self.table is None or self.table.version != document.version
        ):
            self.table = decode_document(zlib.decompress(document.content))
        return self.table

    def apply_settings(self, path: Path) -> None:
        """Apply the peers to join, which may change while the process runs."""
        self.process.replace_join_targets(load_settings(path).control_peers)

    async def start(self) -> None:
        """Start serving and placing layers."""
        await self.process.start()
        self.placement_task = asyncio.create_task(
            keep_running(self.placement.run, partial(write_log, _log))
        )

    async def drain(self) -> None:
        """Report this instance as not ready and wait briefly for calls in flight."""
        await self.process.drain()

    async def stop(self) -> None:
        """Stop placing layers and serving, and release all resources."""
        if self.placement_task is not None:
            await cancel_tasks([self.placement_task])
        await self.process.stop()


def build_control_options(settings: ProcessSettings) -> ControlOptions:
    """Return the options that the settings give a control process.

    Without a data folder, the instance neither votes nor starts a cluster.
    """
    host, _, port = settings.operators_address.rpartition(":")
    return ControlOptions(
        instance=settings.instance,
        availability_zone=settings.zone,
        data=Path(settings.data_folder) if settings.data_folder else None,
        host=settings.host,
        port=settings.peer_port,
        http_port=int(port),
        advertise=f"{settings.host}:{settings.peer_port}",
        bootstrap=settings.should_bootstrap and bool(settings.data_folder),
        join=settings.control_peers,
        snapshot_every=SNAPSHOT_INTERVAL_ENTRIES,
        member_lease_ms=MAX_MISSED_HEARTBEATS * settings.heartbeat_ms
        + HEARTBEAT_MARGIN_MS,
        member_warm_up_ms=WARM_UP_HEARTBEAT_COUNT * settings.heartbeat_ms
        + HEARTBEAT_MARGIN_MS,
        voters=2 * settings.max_lost_instances + 1,
        operator_address=f"{host}:{port}",
        buffers=limit_beside_gateway(settings.buffers),
    )


def main() -> None:
    """Run a control instance until a signal ends it."""
    run_process(_build_service)


def _build_service(
    settings: ProcessSettings,
) -> tuple[ProcessLifecycle, Callable[[Path], None]]:
    control = PlatformControl(settings)
    return control, control.apply_settings


if __name__ == "__main__":
    main()

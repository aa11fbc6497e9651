"""Entry point of a gateway on the users' platform."""

from __future__ import annotations

if __name__ == "__main__":
    # Before the other imports, which take long enough for signals to arrive.
    import signal

    from yuccareach.runtime.early_signals import record_signals

    record_signals(signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

from typing import TYPE_CHECKING

from yuccareach.gateway.run import GatewayAddresses, GatewayProcess
from yuccareach.gateway.state import GatewaySettings
from yuccareach.platform.documents import decode_document
from yuccareach.platform.headers import DIALECT
from yuccareach.platform.process import run_process
from yuccareach.platform.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from yuccareach.platform.settings import ProcessSettings
    from yuccareach.runtime.process import ProcessLifecycle


def list_control_addresses(settings: ProcessSettings) -> tuple[str, ...]:
    """Return the control instances to ask first: the seeds, then this host.

    Control often runs beside a gateway, and all seeds may be gone.
    """
    own_address = f"{settings.host}:{settings.peer_port}"
    return tuple(dict.fromkeys((*settings.control_peers, own_address)))


def build_gateway(settings: ProcessSettings) -> GatewayProcess:
    """Return a gateway that is not started yet."""
    gateway_settings = GatewaySettings(
        instance=settings.instance,
        zone=settings.zone,
        max_revocation_delay_s=settings.revocation_ms / 1000,
        retry_budget=settings.budget,
        grace_period_s=settings.grace_s,
        buffers=settings.buffers,
    )
    addresses = GatewayAddresses(
        settings.callers_address,
        settings.readiness_address,
        f"{settings.host}:{settings.metrics_port}",
    )
    return GatewayProcess(
        gateway_settings,
        addresses,
        list_control_addresses(settings),
        DIALECT,
        decode_document,
    )


def main() -> None:
    """Run a gateway until a signal ends it."""
    run_process(_build_service)


def _build_service(
    settings: ProcessSettings,
) -> tuple[ProcessLifecycle, Callable[[Path], None]]:
    gateway = build_gateway(settings)

    def _apply_settings(path: Path) -> None:
        """Apply the control addresses, which may change while the process runs."""
        gateway.view_poller.replace_seeds(list_control_addresses(load_settings(path)))

    return gateway, _apply_settings


if __name__ == "__main__":
    main()

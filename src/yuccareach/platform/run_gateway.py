"""Runs a gateway as the platform's settings say."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.gateway.run import GatewayAddresses, GatewayProcess
from yuccareach.gateway.state import GatewayTerms
from yuccareach.platform.documents import decode_document
from yuccareach.platform.headers import DIALECT
from yuccareach.platform.process import run_process
from yuccareach.platform.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from yuccareach.platform.settings import ProcessSettings
    from yuccareach.runtime.process import ProcessLifecycle


def build_gateway(settings: ProcessSettings) -> GatewayProcess:
    """Return a gateway set up as the settings say."""
    terms = GatewayTerms(
        instance=settings.instance,
        zone=settings.zone,
        revocation_s=settings.revocation_ms / 1000,
        budget=settings.budget,
        grace_s=settings.grace_s,
    )
    addresses = GatewayAddresses(
        settings.callers_address,
        settings.readiness_address,
        f"{settings.host}:{settings.metrics_port}",
    )
    return GatewayProcess(
        terms, addresses, settings.control_peers, DIALECT, decode_document
    )


def main() -> None:
    """Run until told to stop."""
    run_process(_build)


def _build(
    settings: ProcessSettings,
) -> tuple[ProcessLifecycle, Callable[[Path], None]]:
    gateway = build_gateway(settings)

    def _take_settings(path: Path) -> None:
        """Take what may change while the process runs."""
        gateway.follower.reseed(load_settings(path).control_peers)

    return gateway, _take_settings


if __name__ == "__main__":
    main()

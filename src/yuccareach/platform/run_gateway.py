"""Runs a gateway as the platform's settings say."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from yuccareach.errors import YuccareachError
from yuccareach.gateway.run import GatewayAddresses, GatewayProcess
from yuccareach.gateway.state import GatewayTerms
from yuccareach.platform.documents import decode_document
from yuccareach.platform.headers import DIALECT
from yuccareach.platform.settings import load_settings, settings_path
from yuccareach.runtime import logs
from yuccareach.runtime.process import serve_until_signal

if TYPE_CHECKING:
    from yuccareach.platform.settings import ProcessSettings

# Part of the time within which a revoked key must be refused everywhere; the rest is
# for a request that is admitted in the last moment to reach its backend server.
LEASE_PART = 0.88


def build_gateway(settings: ProcessSettings) -> GatewayProcess:
    """Return a gateway set up as the settings say."""
    terms = GatewayTerms(
        instance=settings.instance,
        zone=settings.zone,
        lease_s=LEASE_PART * settings.revocation_ms / 1000,
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
    """Run until told to stop; a bad settings file is one clear line."""
    try:
        settings = load_settings(settings_path())
        logs.configure("info", settings.instance)
        asyncio.run(_serve(settings))
    except YuccareachError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(2)


async def _serve(settings: ProcessSettings) -> None:
    await serve_until_signal(build_gateway(settings))


if __name__ == "__main__":
    main()

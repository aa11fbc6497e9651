"""The gateway's own calls to backend servers: requests for reports, and orders."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from yuccareach.gateway.http_client import BackendResponse, Ending, call_backend
from yuccareach.gateway.server_notices import build_response_reader
from yuccareach.health.servers import record_contact

if TYPE_CHECKING:
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.state import Gateway


async def request_report(
    gateway: Gateway, backend: Backend, timeout_s: float
) -> BackendResponse | None:
    """Request a server's report; return None if nothing came within the timeout."""
    report = await call_backend(
        backend.pool,
        b"GET",
        gateway.dialect.report_path,
        b"",
        timeout_s,
        read_response=build_response_reader(gateway, backend, is_report=True),
    )
    return _check_response(gateway, backend, report)


async def send_order(
    gateway: Gateway,
    backend: Backend,
    body: bytes,
    timeout_s: float,
    *,
    new_connection: bool,
) -> BackendResponse | None:
    """Send an order; return None if nothing came within the timeout."""
    answer = await call_backend(
        backend.pool,
        b"POST",
        gateway.dialect.order_path,
        body,
        timeout_s,
        new_connection=new_connection,
        read_response=build_response_reader(gateway, backend),
    )
    return _check_response(gateway, backend, answer)


def _check_response(
    gateway: Gateway, backend: Backend, response: BackendResponse | None
) -> BackendResponse | None:
    """Return a response; one that is invalid or too large is the server's failure."""
    if response is not None and response.ending is not Ending.COMPLETE:
        record_contact(backend.health)
        backend.record_failure(gateway.now())
        gateway.log(
            "report_failed",
            logging.WARNING,
            backend_server=backend.name,
            ending=str(response.ending),
        )
    return response


__all__ = ["request_report", "send_order"]

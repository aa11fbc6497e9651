"""Sending a request to a backend server over a pooled or a new connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.gateway.http_client import Ending, Exchange, encode_request
from yuccareach.gateway.server_limits import (
    Reservation,
    cancel_reservation,
    renew_reservation,
)
from yuccareach.gateway.server_notices import build_response_reader
from yuccareach.health.servers import record_contact, record_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccareach.gateway.admitted_requests import AdmittedRequest
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.dialect import ForwardMetadata
    from yuccareach.gateway.http_client import BackendConnection
    from yuccareach.gateway.state import Gateway

# A request that may run only once is not sent on a connection that has been idle for
# longer, since the backend server may have closed the connection.
MAX_NON_IDEMPOTENT_IDLE_S = 0.5


class BackendRequest:
    """A request in flight at a backend server."""

    def __init__(
        self, backend: Backend, connection: BackendConnection, exchange: Exchange
    ) -> None:
        self.backend = backend
        self.connection = connection
        self.exchange = exchange

    def release(self) -> None:
        """Keep the connection for reuse if the response is complete, else close it.

        The body counts no longer as buffered, since its caller gets it now.
        """
        if self.exchange.ended.done() and self.connection.exchange is None:
            self.backend.pool.release(self.connection)
        else:
            self.connection.abort()
        self.exchange.release_buffers()


async def send_request(
    gateway: Gateway,
    admitted: AdmittedRequest,
    backend: Backend,
    metadata: ForwardMetadata,
    reservation: Reservation,
    on_data: Callable[[bytes], int] | None = None,
) -> BackendRequest | None:
    """Send a request; return None if no connection could be opened.

    The same holds if its grants have run out and there are no others. In both cases the
    request has not run. Otherwise on_data receives the body of a signed success as it
    arrives, and returns how many bytes it buffers.
    """
    record_request(backend.health, gateway.now_ms())
    backend.last_sent_s = gateway.now()
    pool = backend.pool
    max_idle_s = (
        float("inf") if admitted.route.is_idempotent else MAX_NON_IDEMPOTENT_IDLE_S
    )
    connection = pool.take(gateway.now(), max_idle_s)
    if connection is None:
        try:
            connection = await pool.connect()
        except (OSError, TimeoutError) as error:
            cancel_reservation(reservation)
            refused = isinstance(error, ConnectionRefusedError)
            if backend.is_connectable:
                gateway.suspect_found.set()
            backend.record_connect_failure(gateway.now(), refused=refused)
            gateway.log(
                "connect_failed",
                request=admitted.request_id,
                backend_server=backend.name,
                address=backend.announcement.address,
                reason=type(error).__name__,
            )
            return None
        backend.record_connect_success()
    if renew_reservation(gateway, reservation) is None:
        pool.release(connection)
        gateway.log(
            "grant_expired",
            request=admitted.request_id,
            backend_server=backend.name,
        )
        return None

    def _handle_data(data: bytes) -> int:
        record_contact(backend.health)
        return on_data(data) if on_data is not None else 0

    exchange = Exchange(
        admitted.metadata.request_id,
        build_response_reader(gateway, backend, admitted.metadata.request_id),
        _handle_data if on_data is not None else None,
        buffers=gateway.response_buffers,
    )
    request = admitted.request
    headers = [
        *admitted.metadata.forwarded_headers,
        *gateway.dialect.encode_headers(metadata),
    ]
    data = encode_request(request.method, request.target, headers, request.body)
    connection.send(exchange, data)
    return BackendRequest(backend, connection, exchange)


__all__ = ["BackendRequest", "Ending", "send_request"]

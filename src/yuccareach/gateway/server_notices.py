"""What backend servers say of themselves in the heads of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.health.servers import record_leaving

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.dialect import Headers, ResponseMetadata
    from yuccareach.gateway.state import Gateway


def build_response_reader(
    gateway: Gateway, backend: Backend
) -> Callable[[int, Headers], ResponseMetadata]:
    """Return a decoder of a server's answers, which records what they say of it."""

    def _read_response(status: int, headers: Headers) -> ResponseMetadata:
        metadata = gateway.dialect.read_response(status, headers)
        record_notices(gateway, backend, metadata)
        return metadata

    return _read_response


def record_notices(
    gateway: Gateway, backend: Backend, metadata: ResponseMetadata
) -> None:
    """Record what the head of an answer says of the server that sent it."""
    if metadata.is_leaving and not backend.health.is_leaving:
        record_leaving(backend.health)
        gateway.log(
            "server_leaving",
            backend_server=backend.name,
            address=backend.announcement.address,
        )


__all__ = ["build_response_reader", "record_notices"]

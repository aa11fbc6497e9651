"""What backend servers say of themselves in the heads of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.health.servers import (
    compute_refusal_ms,
    record_acceptance,
    record_contact,
    record_leaving,
    record_refusal,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.dialect import Headers, ResponseMetadata
    from yuccareach.gateway.state import Gateway

# Of a malformed value of a header.
MAX_LOGGED_CHARACTERS = 80


def build_response_reader(
    gateway: Gateway, backend: Backend
) -> Callable[[int, Headers], ResponseMetadata]:
    """Return a decoder of a server's answers, which records what they say of it."""

    def _read_response(status: int, headers: Headers) -> ResponseMetadata:
        metadata = gateway.dialect.read_response(status, headers)
        record_contact(backend.health)
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
    if metadata.retry_after_s:
        _record_refusal(gateway, backend, metadata.retry_after_s)
    elif metadata.is_signed:
        record_acceptance(backend.health, gateway.now_ms())
    if metadata.malformed_retry_after is not None:
        gateway.log(
            "retry_after_ignored",
            backend_server=backend.name,
            value=metadata.malformed_retry_after[:MAX_LOGGED_CHARACTERS],
        )


def _record_refusal(gateway: Gateway, backend: Backend, retry_after_s: float) -> None:
    """Record for how long a server wants no requests.

    Requests in flight are refused with it, so only the first refusal is logged.
    """
    now_ms = gateway.now_ms()
    was_refusing = compute_refusal_ms(backend.health, now_ms) > 0
    record_refusal(backend.health, now_ms, retry_after_s * 1000)
    if not was_refusing:
        gateway.log(
            "server_refuses",
            backend_server=backend.name,
            address=backend.announcement.address,
            retry_after_s=round(retry_after_s, 3),
        )


__all__ = ["build_response_reader", "record_notices"]

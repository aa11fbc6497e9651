"""What backend servers say of themselves in the heads of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.gateway.server_limits import apply_stated_limit, log_limit
from yuccareach.health.servers import (
    StatedLimit,
    compute_refusal_ms,
    get_limit_per_s,
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

# Of a report that a server has made.
REPORT_STATUS = 200
# Of a malformed value of a header.
MAX_LOGGED_CHARACTERS = 80


def build_response_reader(
    gateway: Gateway,
    backend: Backend,
    request_id: bytes | None = None,
    *,
    is_report: bool = False,
) -> Callable[[int, Headers], ResponseMetadata]:
    """Return a decoder of the answers to a request that is sent now.

    It records what they say of their server. A late answer to an earlier request has
    another request id, and its limit is not recorded, since it may be out of date. The
    limit of a later stage is known from its reports, so that one without it ends it.
    """
    sent_ms = gateway.boot_ms()

    def _read_response(status: int, headers: Headers) -> ResponseMetadata:
        metadata = gateway.dialect.read_response(status, headers)
        record_contact(backend.health)
        record_notices(gateway, backend, metadata)
        if is_report and status == REPORT_STATUS and backend.is_later_stage:
            metadata = metadata._replace(is_statement=True)
        if request_id is None or metadata.request_id in (None, request_id):
            _record_limit(gateway, backend, metadata, sent_ms)
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


def _record_limit(
    gateway: Gateway, backend: Backend, metadata: ResponseMetadata, sent_ms: int
) -> None:
    """Record the limit that an answer states, or that it states none any more.

    Only changes are logged.
    """
    health = backend.health
    if metadata.malformed_limit is not None:
        if metadata.malformed_limit != health.malformed_limit:
            health.malformed_limit = metadata.malformed_limit
            gateway.log(
                "server_limit_ignored",
                backend_server=backend.name,
                value=metadata.malformed_limit[:MAX_LOGGED_CHARACTERS],
            )
        return
    if metadata.limit_per_s is None and not metadata.is_statement:
        return
    former_per_s = get_limit_per_s(health)
    stated = StatedLimit(metadata.limit_per_s, sent_ms, gateway.boot_ms())
    if apply_stated_limit(gateway, backend, stated):
        log_limit(gateway, backend, former_per_s, source="answer")


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

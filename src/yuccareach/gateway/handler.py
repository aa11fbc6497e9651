"""Admitting a caller's request: finding its route, its workspace and its service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from yuccareach.gateway import losses
from yuccareach.gateway.admitted_requests import (
    QUARANTINED,
    AdmittedRequest,
    send_refusal,
)
from yuccareach.gateway.calls import serve_call
from yuccareach.gateway.streams import serve_stream
from yuccareach.gateway.table import RouteKind
from yuccareach.quarantine.fingerprints import (
    compute_fingerprint,
    compute_part_fingerprints,
)

if TYPE_CHECKING:
    from yuccareach.gateway.dialect import RequestMetadata
    from yuccareach.gateway.http_server import CallerRequest, Reply
    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.table import Route, RoutingTable, Service, Workspace

# A gateway without a current view receives one within about this time, which covers an
# election and a poll.
VIEW_RETRY_DELAY_S = 1.0
# Deadline of requests that state none.
DEFAULT_DEADLINE_MS = 60_000


class _RequestRejected(Exception):
    """The request is not allowed, or the gateway lacks a view to decide that."""

    def __init__(
        self, status: int, reason: str, retry_after_s: float = VIEW_RETRY_DELAY_S
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        # For status 503 only.
        self.retry_after_s = retry_after_s


async def handle(gateway: Gateway, request: CallerRequest, reply: Reply) -> None:
    """Serve one request of a caller, or reject it."""
    metadata = gateway.dialect.read_request(request.headers)
    if gateway.table is None:
        await gateway.wait_for_first_view()
    try:
        admitted = admit(gateway, request, metadata)
    except _RequestRejected as rejected:
        _reject(gateway, request, metadata, reply, rejected)
        return
    gateway.get_retry_budget(admitted.service.name).record_request(gateway.now())
    gateway.active_requests += 1
    try:
        if admitted.route.kind is RouteKind.STREAM:
            await serve_stream(gateway, admitted, reply)
        else:
            await serve_call(gateway, admitted, reply)
    finally:
        gateway.active_requests -= 1


def admit(
    gateway: Gateway, request: CallerRequest, metadata: RequestMetadata
) -> AdmittedRequest:
    """Check a request against the routing table in force.

    Raises _RequestRejected with the status and the reason of a rejection.
    """
    table = gateway.table
    if table is None:
        raise _RequestRejected(503, "no_routing_table")
    host = request.get_header(b"host").decode("latin-1").partition(":")[0].lower()
    route = table.find_route(host, request.path)
    if route is None:
        raise _RequestRejected(404, "no_route")
    workspace = None
    if table.requires_key and not route.is_public:
        workspace = _authorize(gateway, table, metadata)
    fingerprint = _identify_request(request, host, workspace)
    service = _choose_service(table, route, metadata.request_id)
    # Plain services process no prompt.
    prompt_parts = metadata.prompt_parts if service.model is not None else ()
    part_fingerprints = compute_part_fingerprints(metadata.model, prompt_parts)
    refusal_s = losses.admit(
        gateway,
        metadata.request_id.decode("latin-1"),
        (fingerprint, *part_fingerprints),
    )
    if refusal_s:
        raise _RequestRejected(503, QUARANTINED, refusal_s)
    deadline_ms = min(metadata.deadline_ms or DEFAULT_DEADLINE_MS, route.timeout_ms)
    return AdmittedRequest(
        request,
        metadata,
        route,
        service,
        workspace,
        request.received_s + deadline_ms / 1000,
        fingerprint,
        part_fingerprints,
    )


def _identify_request(
    request: CallerRequest, host: str, workspace: Workspace | None
) -> bytes:
    """Return a request's fingerprint, which another gateway computes alike."""
    caller = workspace.name if workspace else ""
    return compute_fingerprint(
        "", caller.encode(), host.encode(), request.method, request.target, request.body
    )


def _authorize(
    gateway: Gateway, table: RoutingTable, metadata: RequestMetadata
) -> Workspace:
    """Return the workspace of a request's key.

    Raises _RequestRejected for an unknown key, and for every key while the gateway has
    no lease, since its view may be too old to show that a key was revoked.
    """
    if not gateway.has_lease:
        raise _RequestRejected(503, "view_expired")
    workspace = table.workspace_by_key.get(metadata.api_key or "")
    if workspace is None:
        raise _RequestRejected(401, "unknown_key")
    return workspace


def _choose_service(table: RoutingTable, route: Route, request_id: bytes) -> Service:
    """Choose a service by weight; retries with the same request id get the same one."""
    total_weight = sum(candidate.weight for candidate in route.services)
    position = xxhash.xxh3_64_intdigest(request_id) / 2**64 * total_weight
    for candidate in route.services:
        position -= candidate.weight
        if position < 0:
            break
    return table.service_by_name[candidate.service]


def _reject(
    gateway: Gateway,
    request: CallerRequest,
    metadata: RequestMetadata,
    reply: Reply,
    rejected: _RequestRejected,
) -> None:
    if rejected.status == 503:
        send_refusal(reply, rejected.retry_after_s, rejected.reason)
    else:
        reply.send(rejected.status, [])
    gateway.registry.count("answers", rejected.reason)
    gateway.log(
        "request_rejected",
        request=metadata.request_id.decode("latin-1"),
        status=rejected.status,
        reason=rejected.reason,
        path=request.path,
        table=gateway.table.version if gateway.table else 0,
    )


__all__ = ["admit", "handle"]

"""Admitting a caller's request: its route, its workspace, and where it is served."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from yuccareach.gateway.admitted_requests import AdmittedRequest, send_refusal
from yuccareach.gateway.calls import serve_call
from yuccareach.gateway.streams import serve_stream
from yuccareach.gateway.table import RouteKind

if TYPE_CHECKING:
    from yuccareach.gateway.dialect import RequestMetadata
    from yuccareach.gateway.http_server import CallerRequest, Reply
    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.table import Route, RoutingTable, Service, Workspace

# How soon an entry that lacks a view may have one again: an election and a poll.
VIEW_RETRY_S = 1.0
UNKNOWN_DEADLINE_MS = 60_000


class _Rejected(Exception):
    """The request is not allowed, or cannot be judged now."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


async def handle(gateway: Gateway, request: CallerRequest, reply: Reply) -> None:
    """Answer one request of a caller."""
    facts = gateway.dialect.read_request(request.headers)
    if gateway.table is None:
        await gateway.wait_for_first_view()
    try:
        admitted = admit(gateway, request, facts)
    except _Rejected as rejected:
        _reject(gateway, request, facts, reply, rejected)
        return
    gateway.get_retry_budget(admitted.service.name).note_request(gateway.now())
    gateway.active += 1
    try:
        if admitted.route.kind is RouteKind.STREAM:
            await serve_stream(gateway, admitted, reply)
        else:
            await serve_call(gateway, admitted, reply)
    finally:
        gateway.active -= 1


def admit(
    gateway: Gateway, request: CallerRequest, facts: RequestMetadata
) -> AdmittedRequest:
    """Check a request against the routing table in force."""
    table = gateway.table
    if table is None:
        raise _Rejected(503, "no_routing_table")
    host = request.header(b"host").decode("latin-1").partition(":")[0].lower()
    route = table.match(host, request.path)
    if route is None:
        raise _Rejected(404, "no_route")
    workspace = None
    if table.requires_key and not route.is_public:
        workspace = _authorize(gateway, table, facts)
    deadline_ms = min(facts.deadline_ms or UNKNOWN_DEADLINE_MS, route.timeout_ms)
    return AdmittedRequest(
        request,
        facts,
        route,
        _choose_service(table, route, facts.request_id),
        workspace,
        request.received_s + deadline_ms / 1000,
    )


def _authorize(
    gateway: Gateway, table: RoutingTable, facts: RequestMetadata
) -> Workspace:
    """Return the workspace of a key, as far as it is known not to be revoked."""
    if not gateway.has_lease:
        raise _Rejected(503, "view_expired")
    workspace = table.workspace_by_key.get(facts.api_key or "")
    if workspace is None:
        raise _Rejected(401, "unknown_key")
    return workspace


def _choose_service(table: RoutingTable, route: Route, request_id: bytes) -> Service:
    """Split requests by weight, the same way for each try under one id."""
    total = sum(part.weight for part in route.services)
    point = xxhash.xxh3_64_intdigest(request_id) / 2**64 * total
    for part in route.services:
        point -= part.weight
        if point < 0:
            break
    return table.service_by_name[part.service]


def _reject(
    gateway: Gateway,
    request: CallerRequest,
    facts: RequestMetadata,
    reply: Reply,
    rejected: _Rejected,
) -> None:
    if rejected.status == 503:
        send_refusal(reply, VIEW_RETRY_S, rejected.reason)
    else:
        reply.send(rejected.status, [])
    gateway.registry.count("answers", rejected.reason)
    gateway.log(
        "request_rejected",
        request=facts.request_id.decode("latin-1"),
        status=rejected.status,
        reason=rejected.reason,
        path=request.path,
        table=gateway.table.version if gateway.table else 0,
    )


__all__ = ["admit", "handle"]

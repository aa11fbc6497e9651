"""A caller's request on its way through the gateway, and the ways to end it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.dialect import Headers, RequestMetadata

if TYPE_CHECKING:
    from yuccareach.gateway.http_client import ResponseHead
    from yuccareach.gateway.http_server import CallerRequest, Reply
    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.table import Route, Service, Workspace

_ONE_CONNECTION = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


class AdmittedRequest(NamedTuple):
    """A request that the routing table allows."""

    request: CallerRequest
    metadata: RequestMetadata
    route: Route
    service: Service
    workspace: Workspace | None
    # Loop time at which the caller gives up, or the route's timeout passes.
    deadline_s: float

    @property
    def request_id(self) -> str:
        """The id for logs."""
        return self.metadata.request_id.decode("latin-1")


class Outcome(NamedTuple):
    """How a request ended, for logs and counters."""

    status: int
    reason: str


# The server of callers cancels the work for one who closes the connection.
CALLER_LEFT = Outcome(0, "caller_left")


def strip_connection_headers(head: ResponseHead) -> Headers:
    """Return a backend server's headers without those of its connection."""
    return [item for item in head.headers if item[0] not in _ONE_CONNECTION]


def send_refusal(reply: Reply, retry_after_s: float | None, reason: str) -> Outcome:
    """Answer that the request has not run and will not."""
    headers: Headers = []
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after_s))
    reply.send(503, headers)
    return Outcome(503, reason)


def send_failure(reply: Reply, status: int, reason: str) -> Outcome:
    """Answer that the request failed, and may have run."""
    if reply.started:
        reply.abort()
    else:
        reply.send(status, [])
    return Outcome(status, reason)


def record_outcome(
    gateway: Gateway,
    admitted: AdmittedRequest,
    outcome: Outcome,
    attempts: int,
    events: int = 0,
    first_event_s: float | None = None,
) -> None:
    """Count and log how a request ended."""
    now_s = gateway.now()
    duration_ms = int((now_s - admitted.request.received_s) * 1000)
    first_event_ms = None
    if first_event_s is not None:
        first_event_ms = int((first_event_s - admitted.request.received_s) * 1000)
        gateway.registry.observe(
            "first_event", "", str(admitted.route.kind), first_event_ms
        )
    workspace = admitted.workspace.name if admitted.workspace else ""
    kind = str(admitted.route.kind)
    gateway.registry.observe("request", workspace, kind, duration_ms)
    gateway.registry.count("answers", outcome.reason)
    bad = outcome.status >= 500 or not outcome.status
    gateway.log(
        "request_ended",
        logging.WARNING if bad else logging.INFO,
        request=admitted.request_id,
        route=admitted.route.name,
        service=admitted.service.name,
        workspace=workspace,
        table=gateway.table.version if gateway.table else 0,
        status=outcome.status,
        reason=outcome.reason,
        attempts=attempts,
        duration_ms=duration_ms,
        events=events,
        first_event_ms=first_event_ms,
    )


__all__ = [
    "CALLER_LEFT",
    "AdmittedRequest",
    "Outcome",
    "strip_connection_headers",
    "send_failure",
    "record_outcome",
    "send_refusal",
]

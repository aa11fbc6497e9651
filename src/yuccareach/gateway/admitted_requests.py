"""Admitted requests of callers, and what is sent, counted and logged at their end."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.dialect import Headers, RequestMetadata
from yuccareach.quarantine.fingerprints import format_fingerprint

if TYPE_CHECKING:
    from yuccareach.gateway.http_client import ResponseHead
    from yuccareach.gateway.http_server import CallerRequest, Reply
    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.table import Route, Service, Workspace

_CONNECTION_HEADERS = frozenset(
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


# Higher priorities of routes count as the last of so many.
ROUTE_PRIORITIES = 100
# Higher priorities count as this one, so that ranks fit into the uint32 of a poll.
MAX_PRIORITY = 1_000_000


class AdmittedRequest(NamedTuple):
    """A caller's request that the routing table allows."""

    request: CallerRequest
    metadata: RequestMetadata
    route: Route
    service: Service
    workspace: Workspace | None
    # Event-loop time at which the caller's deadline or the route's timeout ends.
    deadline_s: float
    # The same when the caller sends the request again, under another id.
    fingerprint: bytes
    # Of the parts of its prompt that other requests may share, in order.
    part_fingerprints: tuple[bytes, ...]

    @property
    def priority(self) -> int:
        """The rank of the request, 0 or higher; lower is more urgent.

        Requests go by the priority of their workspace, and those of equal workspaces by
        that of their route. A workspace without a priority has that of the route.
        Negative priorities count as 0.
        """
        priority = self.workspace.priority if self.workspace else None
        first = self.route.priority if priority is None else priority
        of_route = min(max(0, self.route.priority), ROUTE_PRIORITIES - 1)
        return ROUTE_PRIORITIES * min(max(0, first), MAX_PRIORITY) + of_route

    @property
    def fingerprints(self) -> tuple[bytes, ...]:
        """The request's fingerprint, and then those of the parts of its prompt."""
        return (self.fingerprint, *self.part_fingerprints)

    @property
    def request_id(self) -> str:
        """The request id as log lines give it."""
        return self.metadata.request_id.decode("latin-1")


class Outcome(NamedTuple):
    """How a request ended, for logs and counters."""

    status: int
    reason: str


# Reason of a refusal because earlier runs of the request, or requests with the same
# prompt part, crashed backend servers.
QUARANTINED = "quarantined"
# Reason of a refusal because the limits of backend servers leave no room in time.
LIMITED = "limited"
# A caller closed its connection, whereupon CallerServer cancels the request's task.
CALLER_LEFT = Outcome(0, "caller_left")
# Reason of the end of a request that outlasts the grace period of a shutdown, or would.
SHUT_DOWN = "shut_down"
# Retry delay after it. Other gateways serve meanwhile.
SHUT_DOWN_RETRY_DELAY_S = 0.1


def strip_connection_headers(head: ResponseHead) -> Headers:
    """Return a response's headers without those that concern only its connection."""
    return [item for item in head.headers if item[0] not in _CONNECTION_HEADERS]


def send_refusal(reply: Reply, retry_after_s: float | None, reason: str) -> Outcome:
    """Reply that the request did not run and will not, so that it may be retried."""
    headers: Headers = []
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after_s))
    reply.send(503, headers)
    return Outcome(503, reason)


def send_failure(reply: Reply, status: int, reason: str) -> Outcome:
    """Reply that the request failed and may have run.

    A reply that has started is aborted instead, so that it cannot look complete.
    """
    if reply.has_started:
        reply.abort()
    else:
        reply.send(status, [])
    return Outcome(status, reason)


def end_cancelled(reply: Reply, *, may_have_run: bool) -> Outcome:
    """Reply to a cancelled request whose caller has not left."""
    if not reply.is_connected:
        return CALLER_LEFT
    if reply.has_started:
        return Outcome(0, SHUT_DOWN)
    if may_have_run:
        return send_failure(reply, 504, SHUT_DOWN)
    return send_refusal(reply, SHUT_DOWN_RETRY_DELAY_S, SHUT_DOWN)


def record_outcome(
    gateway: Gateway,
    admitted: AdmittedRequest,
    outcome: Outcome,
    attempts: int,
    events: int = 0,
    first_event_s: float | None = None,
) -> None:
    """Count and log the outcome of a request."""
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
    is_failure = outcome.status >= 500 or not outcome.status
    gateway.log(
        "request_ended",
        logging.WARNING if is_failure else logging.INFO,
        request=admitted.request_id,
        route=admitted.route.name,
        service=admitted.service.name,
        workspace=workspace,
        table=gateway.table.version if gateway.table else 0,
        status=outcome.status,
        reason=outcome.reason,
        fingerprint=format_fingerprint(admitted.fingerprint) if is_failure else None,
        attempts=attempts,
        duration_ms=duration_ms,
        events=events,
        first_event_ms=first_event_ms,
    )


__all__ = [
    "CALLER_LEFT",
    "LIMITED",
    "QUARANTINED",
    "SHUT_DOWN",
    "SHUT_DOWN_RETRY_DELAY_S",
    "AdmittedRequest",
    "Outcome",
    "end_cancelled",
    "record_outcome",
    "send_failure",
    "send_refusal",
    "strip_connection_headers",
]

"""All metrics that processes expose, with kind, unit and meaning."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class MetricKind(StrEnum):
    """Type of a metric as Prometheus knows it."""

    # Durations by workspace and class; the series of a whole class names no workspace.
    SUMMARY = "summary"
    # Number of events since the start of the process, by reason.
    COUNTER = "counter"
    # Current value.
    GAUGE = "gauge"


class MetricDescription(NamedTuple):
    """Description of a metric for operators."""

    kind: MetricKind
    unit: str
    meaning: str


def _describe_summary(meaning: str) -> MetricDescription:
    return MetricDescription(MetricKind.SUMMARY, "seconds", meaning)


def _describe_counter(unit: str, meaning: str) -> MetricDescription:
    return MetricDescription(MetricKind.COUNTER, unit, meaning)


def _describe_gauge(unit: str, meaning: str) -> MetricDescription:
    return MetricDescription(MetricKind.GAUGE, unit, meaning)


# By the name that the code uses; get_exposed_name returns the name that is scraped.
DESCRIPTION_BY_NAME = {
    # Gateway.
    "answers": _describe_counter(
        "requests", "Requests that ended, by the reason that the log gives."
    ),
    "first_event": _describe_summary(
        "Time from a stream's request to its first event."
    ),
    "rejected_connections": _describe_counter(
        "connections",
        "Callers' connections closed after an invalid request, by status.",
    ),
    "shed_connections": _describe_counter(
        "connections",
        "Clients' connections closed for want of memory or descriptors, by which.",
    ),
    "client_connections": _describe_gauge(
        "connections", "Open connections of clients to the ports of a gateway."
    ),
    "client_buffer_bytes": _describe_gauge(
        "bytes", "Memory that these connections are charged for."
    ),
    "response_buffer_bytes": _describe_gauge(
        "bytes", "Memory for responses of backend servers that are not yet delivered."
    ),
    "limited_requests": _describe_counter(
        "requests",
        "Requests that a backend server's limit sent elsewhere, delayed or refused.",
    ),
    "queued_streams": _describe_counter(
        "requests",
        "Streams that waited for capacity, got none, or returned when told to.",
    ),
    "repeats": _describe_counter(
        "requests", "Retries of requests, by whether the retry budget allowed them."
    ),
    "request": _describe_summary(
        "Time from a caller's request to the end of its answer."
    ),
    "document_version": _describe_gauge(
        "version", "Version of the routing document in force."
    ),
    "leased": _describe_gauge("0 or 1", "Whether requests with a key may be admitted."),
    "requests_active": _describe_gauge("requests", "Requests of callers in flight."),
    "streams_active": _describe_gauge(
        "requests", "Streams among the requests in flight."
    ),
    "loss_counts": _describe_gauge(
        "requests", "Requests under which backend servers were lost recently."
    ),
    # Entry.
    "between_tokens": _describe_summary(
        "Time between two successive tokens of a stream."
    ),
    "call_retries": _describe_counter(
        "calls",
        "Plain calls retried because a backend server did not run them, by cause.",
    ),
    "cancelled": _describe_counter(
        "requests", "Requests whose caller closed the connection before the end."
    ),
    "failed": _describe_counter(
        "requests", "Requests that were admitted and failed, by reason."
    ),
    "finished": _describe_counter(
        "requests", "Streams that completed, by finish reason."
    ),
    "first_token": _describe_summary("Time from a request to its first token."),
    "late_replies": _describe_counter(
        "replies", "Replies to calls that had already ended."
    ),
    "late_tokens": _describe_counter(
        "tokens", "Tokens dropped because they are late or repeated, by mismatch."
    ),
    "plain_call": _describe_summary("Time from a plain call to its answer."),
    "queueing": _describe_summary(
        "Time between a request's arrival and its first attempt."
    ),
    "recoveries": _describe_counter(
        "requests", "Streams that continued on other backend servers, by cause."
    ),
    "recovery": _describe_summary("Time between an interruption and the next token."),
    "refused": _describe_counter(
        "requests", "Requests rejected before they ran, by reason."
    ),
    "whole_answer": _describe_summary(
        "Time from a request to the last token of its answer."
    ),
    "calls_in_flight": _describe_gauge("calls", "Plain calls in flight."),
    "requests_in_flight": _describe_gauge("requests", "Streams in flight."),
    # Agent.
    "agent_duplicates": _describe_counter(
        "messages", "Messages that had already been received."
    ),
    "agent_refused": _describe_counter(
        "attempts", "Attempts that were refused and not started."
    ),
    "agent_stale": _describe_counter(
        "messages", "Messages and results of attempts that had already ended."
    ),
    "agent_steps": _describe_counter(
        "steps", "Step results that the engine returned for running attempts."
    ),
    "agent_tokens": _describe_counter("tokens", "Tokens sent to entries."),
    "attempts": _describe_gauge("attempts", "Attempts in progress."),
    "calls": _describe_gauge("calls", "Plain calls in progress."),
    "draining": _describe_gauge("0 or 1", "Whether new work is refused."),
    "retained_bytes": _describe_gauge(
        "bytes", "Stage outputs kept to refill a lost next stage."
    ),
    # Control.
    "control_commit_index": _describe_gauge(
        "records", "Index of the last committed log record."
    ),
    "control_failed": _describe_gauge("0 or 1", "Whether the storage has failed."),
    "control_leads": _describe_gauge("0 or 1", "Whether this instance is the leader."),
    "control_term": _describe_gauge("term", "Current term of the replicated log."),
    "permits": _describe_gauge("permits", "Stored permits of non-idempotent calls."),
    "watchers": _describe_gauge(
        "entries", "Entries and agents that watch this instance for changes."
    ),
    # Several kinds of process.
    "backend_servers": _describe_gauge(
        "backend servers", "Backend servers known to the process."
    ),
    "limited_servers": _describe_gauge(
        "backend servers", "Backend servers that state a limit of requests a second."
    ),
    "limit_grants": _describe_gauge(
        "requests", "Requests that the process may send to limited servers now."
    ),
    "settings_revision": _describe_gauge(
        "revision", "Revision of the settings in force."
    ),
    # The load tool.
    "requests": _describe_counter("requests", "Requests of a load run, by verdict."),
}


def get_exposed_name(name: str) -> str:
    """Return the name under which Prometheus scrapes a metric."""
    kind = DESCRIPTION_BY_NAME[name].kind
    suffix = {MetricKind.SUMMARY: "_seconds", MetricKind.COUNTER: "_total"}.get(
        kind, ""
    )
    return f"yuccareach_{name}{suffix}"


__all__ = [
    "DESCRIPTION_BY_NAME",
    "MetricDescription",
    "MetricKind",
    "get_exposed_name",
]

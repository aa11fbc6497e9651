"""Every metric that a process serves: its kind, its unit and what it means."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class MetricKind(StrEnum):
    """How a metric's values are to be read."""

    # Durations, by workspace and class; those of a whole class have no workspace.
    SUMMARY = "summary"
    # Events since the start of the process, by reason.
    COUNTER = "counter"
    # The number as of now.
    GAUGE = "gauge"


class MetricDescription(NamedTuple):
    """What operators need to know of a metric."""

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
        "requests", "Requests by how they ended; reasons as in logs."
    ),
    "first_event": _describe_summary("From a stream's request to its first event."),
    "rejected_connections": _describe_counter(
        "connections", "Callers' connections closed for a bad request, by status."
    ),
    "repeats": _describe_counter(
        "requests", "Repeats that were wanted, by whether the budget allowed them."
    ),
    "request": _describe_summary("From a caller's request to the end of its answer."),
    "document_version": _describe_gauge(
        "version", "Version of the routing document in force."
    ),
    "leased": _describe_gauge("0 or 1", "Whether requests with a key may be admitted."),
    "requests_active": _describe_gauge("requests", "Callers' requests in flight."),
    "streams_active": _describe_gauge(
        "requests", "Streams among the requests in flight."
    ),
    # Entry.
    "between_tokens": _describe_summary("Between two tokens of a stream."),
    "call_retries": _describe_counter(
        "calls", "Calls sent to another backend server, by cause."
    ),
    "cancelled": _describe_counter("requests", "Requests given up by their caller."),
    "failed": _describe_counter(
        "requests", "Requests that were begun and failed, by reason."
    ),
    "finished": _describe_counter("requests", "Streams that ended, by how."),
    "first_token": _describe_summary("From a request to its first token."),
    "late_replies": _describe_counter("replies", "Replies to calls that had ended."),
    "late_tokens": _describe_counter(
        "tokens", "Tokens of attempts that had ended, by cause."
    ),
    "plain_call": _describe_summary("From a plain call to its answer."),
    "queueing": _describe_summary("Between a request's arrival and its first attempt."),
    "recoveries": _describe_counter(
        "requests", "Streams carried on elsewhere, by cause."
    ),
    "recovery": _describe_summary("Between an interruption and the next token."),
    "refused": _describe_counter(
        "requests", "Requests refused before they ran, by reason."
    ),
    "whole_answer": _describe_summary(
        "From a request to the last token of its answer."
    ),
    "calls_in_flight": _describe_gauge("calls", "Plain calls in flight."),
    "requests_in_flight": _describe_gauge("requests", "Streams in flight."),
    # Agent.
    "agent_duplicates": _describe_counter(
        "messages", "Messages that had been taken before."
    ),
    "agent_refused": _describe_counter("attempts", "Attempts that were not begun."),
    "agent_stale": _describe_counter(
        "messages", "Messages of attempts that had ended."
    ),
    "agent_steps": _describe_counter("steps", "Passes of the engine over one token."),
    "agent_tokens": _describe_counter("tokens", "Tokens handed to entries."),
    "attempts": _describe_gauge("attempts", "Attempts under way."),
    "calls": _describe_gauge("calls", "Calls whose outcome is kept."),
    "draining": _describe_gauge("0 or 1", "Whether no new work is taken."),
    "retained_bytes": _describe_gauge(
        "bytes", "Memory of outcomes kept for repeated calls."
    ),
    # Control.
    "control_commit_index": _describe_gauge(
        "records", "Last committed record of the log."
    ),
    "control_failed": _describe_gauge("0 or 1", "Whether the storage has failed."),
    "control_leads": _describe_gauge("0 or 1", "Whether this instance leads."),
    "control_term": _describe_gauge("term", "Term of the log."),
    "permits": _describe_gauge(
        "permits", "Permits of non-idempotent calls that are kept."
    ),
    "watchers": _describe_gauge("entries", "Entries and agents that watch settings."),
    # Several roles.
    "backend_servers": _describe_gauge("backend servers", "Members that are known."),
    "settings_revision": _describe_gauge(
        "revision", "Revision of the settings in force."
    ),
    # The load tool.
    "requests": _describe_counter("requests", "Requests of the load, by verdict."),
}


def get_exposed_name(name: str) -> str:
    """Return the name under which a metric is scraped."""
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

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


class Description(NamedTuple):
    """What operators need to know of a metric."""

    kind: MetricKind
    unit: str
    meaning: str


def _durations(meaning: str) -> Description:
    return Description(MetricKind.SUMMARY, "seconds", meaning)


def _events(unit: str, meaning: str) -> Description:
    return Description(MetricKind.COUNTER, unit, meaning)


def _number(unit: str, meaning: str) -> Description:
    return Description(MetricKind.GAUGE, unit, meaning)


# By the name that the code gives; exposed_name returns the one that is scraped.
DESCRIPTION_BY_NAME = {
    # Gateway.
    "answers": _events("requests", "Requests by how they ended; reasons as in logs."),
    "first_event": _durations("From a stream's request to its first event."),
    "rejected_connections": _events(
        "connections", "Callers' connections closed for a bad request, by status."
    ),
    "repeats": _events(
        "requests", "Repeats that were wanted, by whether the budget allowed them."
    ),
    "request": _durations("From a caller's request to the end of its answer."),
    "document_version": _number("version", "Version of the routing document in force."),
    "leased": _number("0 or 1", "Whether requests with a key may be admitted."),
    "requests_active": _number("requests", "Callers' requests in flight."),
    "streams_active": _number("requests", "Streams among the requests in flight."),
    # Entry.
    "between_tokens": _durations("Between two tokens of a stream."),
    "call_retries": _events("calls", "Calls sent to another backend server, by cause."),
    "cancelled": _events("requests", "Requests given up by their caller."),
    "failed": _events("requests", "Requests that were begun and failed, by reason."),
    "finished": _events("requests", "Streams that ended, by how."),
    "first_token": _durations("From a request to its first token."),
    "late_replies": _events("replies", "Replies to calls that had ended."),
    "late_tokens": _events("tokens", "Tokens of attempts that had ended, by cause."),
    "plain_call": _durations("From a plain call to its answer."),
    "queueing": _durations("Between a request's arrival and its first attempt."),
    "recoveries": _events("requests", "Streams carried on elsewhere, by cause."),
    "recovery": _durations("Between an interruption and the next token."),
    "refused": _events("requests", "Requests refused before they ran, by reason."),
    "whole_answer": _durations("From a request to the last token of its answer."),
    "calls_in_flight": _number("calls", "Plain calls in flight."),
    "requests_in_flight": _number("requests", "Streams in flight."),
    # Agent.
    "agent_duplicates": _events("messages", "Messages that had been taken before."),
    "agent_refused": _events("attempts", "Attempts that were not begun."),
    "agent_stale": _events("messages", "Messages of attempts that had ended."),
    "agent_steps": _events("steps", "Passes of the engine over one token."),
    "agent_tokens": _events("tokens", "Tokens handed to entries."),
    "attempts": _number("attempts", "Attempts under way."),
    "calls": _number("calls", "Calls whose outcome is kept."),
    "draining": _number("0 or 1", "Whether no new work is taken."),
    "retained_bytes": _number("bytes", "Memory of outcomes kept for repeated calls."),
    # Control.
    "control_commit_index": _number("records", "Last committed record of the log."),
    "control_failed": _number("0 or 1", "Whether the storage has failed."),
    "control_leads": _number("0 or 1", "Whether this instance leads."),
    "control_term": _number("term", "Term of the log."),
    "permits": _number("permits", "Permits of non-idempotent calls that are kept."),
    "watchers": _number("entries", "Entries and agents that watch settings."),
    # Several roles.
    "backend_servers": _number("backend servers", "Members that are known."),
    "settings_revision": _number("revision", "Revision of the settings in force."),
    # The load tool.
    "requests": _events("requests", "Requests of the load, by verdict."),
}


def exposed_name(name: str) -> str:
    """Return the name under which a metric is scraped."""
    kind = DESCRIPTION_BY_NAME[name].kind
    suffix = {MetricKind.SUMMARY: "_seconds", MetricKind.COUNTER: "_total"}.get(
        kind, ""
    )
    return f"yuccareach_{name}{suffix}"


__all__ = ["DESCRIPTION_BY_NAME", "Description", "MetricKind", "exposed_name"]

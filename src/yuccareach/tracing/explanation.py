"""Explain in one sentence how a request ended and why."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.tracing.log_lines import LogLine

# Why a request ended, by the reason field of its end event.
_MEANING_BY_REASON = {
    "answered": "it was answered",
    "answered_failure": "the backend server answered with an error status",
    "no_room": "no chain of backend servers had capacity for it in time",
    "limited": "the backend servers take no more requests a second, as they state",
    "full": "every backend server that was tried had no capacity",
    "over_budget": "the retry budget was used up",
    "broken": "its stream broke and could not be resumed within the route's attempts",
    "deadline": "its deadline or the route's timeout passed",
    "timed_out": "no answer came before its deadline or the route's timeout",
    "outcome_unknown": "it was sent but not answered completely, so it may have run",
    "not_run": "no backend server ran it",
    "shut_down": "its gateway was shutting down, and it would have outlasted that",
    "caller_left": "its caller closed the connection",
    "no_route": "no route of the table in force matches its host and path",
    "unknown_key": "its key belongs to no workspace of the table in force",
    "quarantined": "earlier runs of the same request had crashed backend servers",
    "view_expired": "the gateway had no contact with control for longer than its lease",
    "no_routing_table": "the gateway had not received a routing table yet",
}
# What "quarantined" means where a part of the prompt is accused, not the whole request.
_PART_QUARANTINED = (
    "requests with a part of its prompt had crashed backend servers, whatever else they"
    " contained"
)
_END_EVENTS = ("request_ended", "request_rejected")
# A process that logs its start again has ended before, perhaps without logging it.
_PROCESS_END_EVENTS = ("stopped", "started")


class Explanation(NamedTuple):
    """The log lines of one request in time order, and a sentence that sums them up."""

    lines: list[LogLine]
    sentence: str
    # Whether the log lines say why the request ended.
    has_known_cause: bool


def explain(request: str, lines: Iterable[LogLine]) -> Explanation:
    """Explain a request from the log lines of all processes."""
    all_lines = list(lines)
    request_lines = sorted(
        (line for line in all_lines if line.fields.get("request") == request),
        key=lambda line: line.time,
    )
    if not request_lines:
        sentence = (
            f"No process logged request {request}: it was never received completely."
        )
        return Explanation([], sentence, False)
    end_line = next(
        (line for line in reversed(request_lines) if line.event in _END_EVENTS), None
    )
    if end_line is None:
        return _explain_unfinished(request, request_lines, all_lines)
    reason = end_line.fields.get("reason", "")
    meaning = _MEANING_BY_REASON.get(reason, reason)
    quarantine = _find_quarantine(request_lines)
    if quarantine is not None and quarantine.fields.get("accused") == "part":
        meaning = _PART_QUARANTINED
    sentence = (
        f"Request {request} ended with status {end_line.fields.get('status', '?')} at "
        f"{end_line.instance}: {meaning}{_describe_causes(request_lines, all_lines)}."
    )
    return Explanation(request_lines, sentence, reason in _MEANING_BY_REASON)


def _explain_unfinished(
    request: str, request_lines: list[LogLine], all_lines: list[LogLine]
) -> Explanation:
    """Explain a request that has no end event in the logs."""
    instance = request_lines[-1].instance
    process_end = next(
        (
            line
            for line in sorted(all_lines, key=lambda line: line.time)
            if line.instance == instance
            and line.event in _PROCESS_END_EVENTS
            and line.time > request_lines[-1].time
        ),
        None,
    )
    if process_end is None:
        sentence = f"Request {request} has no end event in these logs of {instance}."
        return Explanation(request_lines, sentence, False)
    sentence = (
        f"Request {request} was interrupted: the process on {instance} ended first"
        f" (next event: {process_end.event} at {process_end.time})."
    )
    return Explanation(request_lines, sentence, True)


def _describe_causes(request_lines: list[LogLine], all_lines: list[LogLine]) -> str:
    """Describe the failures before the end of a request, in parentheses."""
    causes = []
    is_quarantined = request_lines[-1].fields.get("reason") == "quarantined"
    if is_quarantined:
        causes += _describe_losses(request_lines, all_lines)
    for line in request_lines:
        fields = line.fields
        if line.event == "attempt_failed":
            faulty_address = fields.get("faulty", "None")
            location = f" at {faulty_address}" if faulty_address != "None" else ""
            causes.append(
                f"attempt at {fields.get('backend_server')} {fields.get('ending')}"
                f" with status {fields.get('status')}{location}"
            )
        elif line.event == "request_quarantined":
            causes.append(f"may run again in {fields.get('retry_after_s')} s")
        elif line.event == "stream_interrupted":
            causes.append(f"interrupted: {fields.get('reason')}")
        elif line.event == "stream_waits":
            causes.append(f"waited for its open attempt: {fields.get('reason')}")
        elif line.event == "stream_rerouted":
            causes.append(
                f"lost {fields.get('lost')}, rerouted: {fields.get('status')}"
            )
        elif line.event == "connect_failed":
            causes.append(f"no connection to {fields.get('backend_server')}")
        elif (
            line.event == "refused_for_want_of_room" and fields.get("closed") == "True"
        ):
            causes.append("some layers were held by no backend server")
        elif line.event == "refused_for_want_of_room":
            causes.append(f"{fields.get('ahead')} tokens waited ahead of it")
    return f" ({'; '.join(causes)})" if causes else ""


def _find_quarantine(request_lines: list[LogLine]) -> LogLine | None:
    """Return the last line that says what a request is quarantined for, if any."""
    return next(
        (
            line
            for line in reversed(request_lines)
            if line.event == "request_quarantined"
            and request_lines[-1].fields.get("reason") == "quarantined"
        ),
        None,
    )


def _describe_losses(
    request_lines: list[LogLine], all_lines: list[LogLine]
) -> list[str]:
    """Describe the backend servers lost under the accused fingerprint so far."""
    quarantine = _find_quarantine(request_lines)
    accused_lines = request_lines if quarantine is None else [quarantine]
    fingerprints = {line.fields.get("fingerprint") for line in accused_lines}
    losses = (
        line
        for line in all_lines
        if line.event == "loss_noted"
        and line.fields.get("fingerprint") in fingerprints
        and line.time <= request_lines[-1].time
    )
    return [
        f"lost {line.fields.get('incarnation')} under {line.fields.get('request')}"
        for line in sorted(losses, key=lambda line: line.time)
    ]


__all__ = ["Explanation", "explain"]

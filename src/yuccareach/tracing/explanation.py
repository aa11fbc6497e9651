"""One sentence on how a request ended and why."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.tracing.log_lines import LogLine

# What ended a request, by the reason that its last line gives.
_MEANING_BY_REASON = {
    "answered": "it was answered",
    "answered_failure": "the backend server answered with a failure of its own",
    "no_room": "no chain of backend servers had room for it in time",
    "full": "every backend server that was asked had no room",
    "over_budget": "the budget of repeats was used up",
    "broken": "its stream broke and could not be resumed within the route's attempts",
    "deadline": "its deadline, or the route's timeout, passed",
    "timed_out": "no answer came before its deadline, or the route's timeout",
    "outcome_unknown": "it was sent and no whole answer came, so it may have run",
    "not_run": "no backend server ran it",
    "caller_left": "its caller closed the connection",
    "no_route": "no route of the table in force matches its host and path",
    "unknown_key": "its key belongs to no workspace of the table in force",
    "view_expired": "the gateway had lost touch with control for longer than its lease",
    "no_routing_table": "the gateway had not received a routing table yet",
}
_LAST = ("request_ended", "request_rejected")
_PROCESS_ENDS = ("stopped", "started")


class Explanation(NamedTuple):
    """The lines of one request in time order, and the sentence on them."""

    lines: list[LogLine]
    sentence: str
    # Whether the logs tell why it ended as it did.
    has_known_cause: bool


def explain(request: str, lines: Iterable[LogLine]) -> Explanation:
    """Join what all processes logged of a request."""
    every = list(lines)
    own = sorted(
        (line for line in every if line.fields.get("request") == request),
        key=lambda line: line.time,
    )
    if not own:
        sentence = f"No process logged request {request}: it was never read whole."
        return Explanation([], sentence, False)
    last = next((line for line in reversed(own) if line.event in _LAST), None)
    if last is None:
        return _unfinished(request, own, every)
    reason = last.fields.get("reason", "")
    meaning = _MEANING_BY_REASON.get(reason, reason)
    sentence = (
        f"Request {request} ended with status {last.fields.get('status', '?')} at "
        f"{last.instance}: {meaning}{_causes(own)}."
    )
    return Explanation(own, sentence, reason in _MEANING_BY_REASON)


def _unfinished(request: str, own: list[LogLine], every: list[LogLine]) -> Explanation:
    """Explain a request whose gateway logged no end of it."""
    instance = own[-1].instance
    end = next(
        (
            line
            for line in sorted(every, key=lambda line: line.time)
            if line.instance == instance
            and line.event in _PROCESS_ENDS
            and line.time > own[-1].time
        ),
        None,
    )
    if end is None:
        sentence = f"Request {request} has no end in these logs of {instance}."
        return Explanation(own, sentence, False)
    sentence = (
        f"Request {request} was cut: the process on {instance} ended before it did"
        f" (next line: {end.event} at {end.time})."
    )
    return Explanation(own, sentence, True)


def _causes(own: list[LogLine]) -> str:
    """Tell the events on the way that led to the end."""
    parts = []
    for line in own:
        fields = line.fields
        if line.event == "attempt_failed":
            faulty = fields.get("faulty", "None")
            where = f" at {faulty}" if faulty != "None" else ""
            parts.append(
                f"attempt at {fields.get('backend_server')} {fields.get('ending')}"
                f" with status {fields.get('status')}{where}"
            )
        elif line.event == "stream_interrupted":
            parts.append(f"interrupted: {fields.get('reason')}")
        elif line.event == "stream_rerouted":
            parts.append(f"lost {fields.get('lost')}, rerouted: {fields.get('status')}")
        elif line.event == "connect_failed":
            parts.append(f"no connection to {fields.get('backend_server')}")
        elif (
            line.event == "refused_for_want_of_room" and fields.get("closed") == "True"
        ):
            parts.append("some layers had no holder")
        elif line.event == "refused_for_want_of_room":
            parts.append(f"{fields.get('ahead')} tokens waited ahead of it")
    return f" ({'; '.join(parts)})" if parts else ""


__all__ = ["Explanation", "explain"]

"""Whether a request or call that ended was run by a backend server."""

from __future__ import annotations

from enum import StrEnum

from yuccareach.proto import data_pb2 as pb


class Outcome(StrEnum):
    """Whether a backend server ran the request or call; reported to the caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


_OUTCOME_BY_WIRE_VALUE = {
    pb.NOT_RUN: Outcome.NOT_RUN,
    pb.UNKNOWN: Outcome.UNKNOWN,
    pb.RAN: Outcome.RAN,
}


def decode_outcome(value: pb.Outcome) -> Outcome:
    """Convert a wire value; one that this version does not define is UNKNOWN."""
    return _OUTCOME_BY_WIRE_VALUE.get(value, Outcome.UNKNOWN)


__all__ = ["Outcome", "decode_outcome"]

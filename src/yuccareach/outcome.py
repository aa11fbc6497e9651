"""What is known of a call that got no ordinary answer."""

from __future__ import annotations

from enum import StrEnum

from yuccareach.proto import data_pb2 as pb


class Outcome(StrEnum):
    """Whether a backend server ran the call."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


_by_wire = {
    pb.NOT_RUN: Outcome.NOT_RUN,
    pb.UNKNOWN: Outcome.UNKNOWN,
    pb.RAN: Outcome.RAN,
}


def from_wire(value: pb.Outcome) -> Outcome:
    """Convert a wire value; one this version does not know is unknown."""
    return _by_wire.get(value, Outcome.UNKNOWN)


__all__ = ["Outcome", "from_wire"]

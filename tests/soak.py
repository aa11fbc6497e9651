"""Records of a soak that tests of its checks make up."""

from __future__ import annotations

import unittest
from typing import Any

from bench.soak.callers import RequestRecord
from bench.soak.documents import KEY
from bench.soak.observations import Observations
from bench.soak.promises import find_violations
from bench.soak.runners import Arrival, SoakRunner
from yuccareach.platform.standin import Group


def make_record(**fields: Any) -> RequestRecord:
    """Return the record of a plain call with a correct answer."""
    values = RequestRecord(
        "r1", "/pay/1", KEY, 0, 1.0, 2.0, 200, "r1", "", b"r1", True, 0
    )
    return values._replace(**fields)


def make_call_record(request: str, at_s: float, gateway: int = 0) -> RequestRecord:
    """Return the record of a plain call that was answered at once."""
    return make_record(
        path="/look/1",
        request=request,
        echoed_request=request,
        body=request.encode(),
        gateway=gateway,
        started_s=at_s,
        answered_s=at_s,
        ended_s=at_s + 0.1,
    )


def make_stream_record(body: bytes, **fields: Any) -> RequestRecord:
    """Return the record of a request for two events, answered with this body."""
    return make_record(path="/draft/1", body=body, events=2, **fields)


def make_event(number: int, state: str = "ok") -> bytes:
    """Return one event in the encoding of the stand-in."""
    return f"id: {number}\ndata: token-{number} {state}\n\n".encode()


def make_runner(*arrivals: Arrival, name: str = "i-1", **fields: Any) -> SoakRunner:
    """Return a backend server that was not started and has these records."""
    runner = SoakRunner(Group(1), name, "drafts", "z1", "a100")
    runner.address = f"address of {name}"
    runner.arrivals = list(arrivals)
    vars(runner).update(fields)
    return runner


class CheckTestCase(unittest.TestCase):
    def check_records(self, *records: RequestRecord, **fields: Any) -> list[str]:
        """Return the violations in a soak that recorded these requests."""
        observations = Observations(list(records), [], [], [], None)
        return find_violations(observations._replace(**fields))

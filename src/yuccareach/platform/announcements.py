"""Decoding of the heartbeats and departures that runners send to control.

A runner is the platform's name for a backend server.
"""

from __future__ import annotations

import re
from typing import Annotated, TypeVar

import msgspec

from yuccareach.platform.errors import InvalidAnnouncement
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.addresses import parse_ip_port

MAX_LAYER = 10_000
MAX_SLOTS = 1_000_000
# Numbers above it cannot be told apart by a reader that takes them for floats.
MAX_COUNTER = 2**53
# By how much the clocks of a runner and of control may differ.
MAX_CLOCK_DIFFERENCE_MS = 24 * 3_600 * 1_000
# A runner's name is sent to it in a header.
_NAME = re.compile(r"[!-~]{1,128}")

_Layer = Annotated[int, msgspec.Meta(le=MAX_LAYER)]
_Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
_Body = TypeVar("_Body")
_Label = Annotated[str, msgspec.Meta(max_length=256)]


class _LayersField(msgspec.Struct):
    # First loaded layer. In `delays` of the routing document, `from` is a zone.
    first: _Layer = msgspec.field(name="from")
    # First layer after the loaded ones.
    target: _Layer


class _HeartbeatBody(msgspec.Struct):
    service: _Label
    address: str
    zone: _Label
    # "ready" or "draining".
    state: str
    # Increases with each heartbeat. In a runner's report, `sequence` counts orders.
    sequence: _Counter
    # Start of the runner's process, in milliseconds since the Unix epoch.
    born: Annotated[int, msgspec.Meta(gt=0, le=MAX_COUNTER)]
    # Maximum number of requests in one batch of the runner.
    slots: Annotated[int, msgspec.Meta(le=MAX_SLOTS)] = 0
    # Kind of accelerator; empty for a plain service.
    kind: _Label = ""
    layers: _LayersField | None = None


class _DepartureBody(msgspec.Struct):
    # The same start as in the heartbeats; 0 if the runner does not send it.
    born: _Counter = 0


def decode_heartbeat(name: str, body: bytes, wall_ms: int | None = None) -> cpb.Member:
    """Return the member that a heartbeat describes.

    The name is the backend server's, from the request's path; wall_ms is Unix time, if
    known. Raises InvalidAnnouncement if the body is malformed or a value is out of
    range.
    """
    if not _NAME.fullmatch(name):
        raise InvalidAnnouncement(f"name {name[:200]!r}, expected printable ASCII")
    heartbeat = _decode(body, _HeartbeatBody)
    try:
        parse_ip_port(heartbeat.address)
    except ValueError as error:
        raise InvalidAnnouncement(f"address: {error}, expected IP:PORT") from error
    if heartbeat.state not in ("ready", "draining"):
        raise InvalidAnnouncement(
            f"state {heartbeat.state[:200]}, expected ready or draining"
        )
    if wall_ms is not None and heartbeat.born > wall_ms + MAX_CLOCK_DIFFERENCE_MS:
        # It would outrank every real incarnation of the name.
        raise InvalidAnnouncement(f"born {heartbeat.born}, expected no later time")
    layers = heartbeat.layers or _LayersField(0, 0)
    return cpb.Member(
        backend_server=name,
        incarnation=f"{name}@{heartbeat.born}",
        address=heartbeat.address,
        availability_zone=heartbeat.zone,
        service=heartbeat.service,
        kind=heartbeat.kind,
        first_layer=max(0, layers.first),
        end_layer=max(0, layers.target),
        draining=heartbeat.state == "draining",
        max_batch=max(0, heartbeat.slots),
        started_ms=heartbeat.born,
        sequence=heartbeat.sequence,
    )


def decode_departure(body: bytes) -> int:
    """Return the start time in ms of the departing runner, or 0 if the body omits it.

    Raises InvalidAnnouncement if the body is malformed or a value is out of range.
    """
    return _decode(body, _DepartureBody).born if body else 0


def _decode(body: bytes, body_type: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidAnnouncement(str(error)) from error


__all__ = ["decode_departure", "decode_heartbeat"]

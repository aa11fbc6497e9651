"""Decoding of the heartbeats and departures that runners send to control.

A runner is the platform's name for a backend server.
"""

from __future__ import annotations

import msgspec

from yuccareach.platform.errors import InvalidAnnouncement
from yuccareach.proto import control_pb2 as cpb


class _LayersField(msgspec.Struct):
    # First loaded layer. In `delays` of the routing document, `from` is a zone.
    first: int = msgspec.field(name="from")
    # First layer after the loaded ones.
    target: int


class _HeartbeatBody(msgspec.Struct):
    service: str
    address: str
    zone: str
    # "ready" or "draining".
    state: str
    # Increases with each heartbeat. In a runner's report, `sequence` counts orders.
    sequence: int
    # Start of the runner's process, in milliseconds since the Unix epoch.
    born: int
    # Maximum number of requests in one batch of the runner.
    slots: int = 0
    # Kind of accelerator; empty for a plain service.
    kind: str = ""
    layers: _LayersField | None = None


class _DepartureBody(msgspec.Struct):
    # The same start as in the heartbeats; 0 if the runner does not send it.
    born: int = 0


def decode_heartbeat(name: str, body: bytes) -> cpb.Member:
    """Return the member that a heartbeat describes.

    The name is the backend server's, from the request's path. Raises
    InvalidAnnouncement if the body is malformed or a value is out of range.
    """
    try:
        heartbeat = msgspec.json.decode(body, type=_HeartbeatBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidAnnouncement(str(error)) from error
    host, _, port = heartbeat.address.rpartition(":")
    if not host or not port.isdigit() or heartbeat.state not in ("ready", "draining"):
        raise InvalidAnnouncement(
            f"address {heartbeat.address}, state {heartbeat.state}; "
            "expected HOST:PORT, and ready or draining"
        )
    if heartbeat.born <= 0 or heartbeat.sequence < 0:
        raise InvalidAnnouncement(
            f"born {heartbeat.born}, sequence {heartbeat.sequence}; "
            "expected born above 0, and sequence 0 or more"
        )
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

    Raises InvalidAnnouncement if the body is malformed.
    """
    if not body:
        return 0
    try:
        return msgspec.json.decode(body, type=_DepartureBody).born
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidAnnouncement(str(error)) from error


__all__ = ["decode_departure", "decode_heartbeat"]

"""What runners say of themselves, decoded into members."""

from __future__ import annotations

import msgspec

from yuccareach.platform.errors import InvalidAnnouncement
from yuccareach.proto import control_pb2 as cpb


class _Layers(msgspec.Struct):
    # 'from' is a layer here; in the configuration's delays it is a zone.
    first: int = msgspec.field(name="from")
    # The first layer that is not held.
    target: int


class _Heartbeat(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    # Grows with each call; in a report the same name counts orders.
    sequence: int
    # When this run of the runner started, milliseconds since the epoch.
    born: int
    slots: int = 0
    kind: str = ""
    layers: _Layers | None = None


class _Departure(msgspec.Struct):
    born: int = 0


def decode_heartbeat(name: str, body: bytes) -> cpb.Member:
    """Return the member that a heartbeat describes, or raise InvalidAnnouncement."""
    try:
        beat = msgspec.json.decode(body, type=_Heartbeat)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidAnnouncement(str(error)) from error
    host, _, port = beat.address.rpartition(":")
    if not host or not port.isdigit() or beat.state not in ("ready", "draining"):
        raise InvalidAnnouncement(f"address {beat.address}, state {beat.state}")
    if beat.born <= 0 or beat.sequence < 0:
        raise InvalidAnnouncement(f"born {beat.born}, sequence {beat.sequence}")
    layers = beat.layers or _Layers(0, 0)
    return cpb.Member(
        backend_server=name,
        incarnation=f"{name}@{beat.born}",
        address=beat.address,
        availability_zone=beat.zone,
        service=beat.service,
        kind=beat.kind,
        first_layer=max(0, layers.first),
        end_layer=max(0, layers.target),
        draining=beat.state == "draining",
        max_batch=max(0, beat.slots),
        started_ms=beat.born,
        sequence=beat.sequence,
    )


def decode_departure(body: bytes) -> int:
    """Return the start of the run that departs, or 0 where it is not said."""
    if not body:
        return 0
    try:
        return msgspec.json.decode(body, type=_Departure).born
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidAnnouncement(str(error)) from error


__all__ = ["decode_departure", "decode_heartbeat"]

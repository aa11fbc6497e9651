"""Options of a control process."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.control.members import MEMBER_LEASE_MS

if TYPE_CHECKING:
    from pathlib import Path

    from yuccareach.buffers.account import BufferLimits


class ControlOptions(NamedTuple):
    """Options that a control process is started with.

    Ports of 0 let the operating system choose one. advertise is the address at which
    others reach the gRPC service; empty stands for the one bound.

    Without a data folder, all state is in memory and the instance never votes.
    """

    instance: str
    availability_zone: str
    data: Path | None
    host: str = "127.0.0.1"
    port: int = 0
    http_port: int = 0
    advertise: str = ""
    bootstrap: bool = False
    join: tuple[str, ...] = ()
    platform_token_sha256: str = ""
    snapshot_every: int = 10_000
    restore: Path | None = None
    # A backend server without a heartbeat for this long is removed.
    member_lease_ms: int = MEMBER_LEASE_MS
    # Time after a start within which every living backend server sends a heartbeat.
    member_warm_up_ms: int = MEMBER_LEASE_MS
    # Number of voters to maintain; 0 adds every instance that joins under a new name as
    # a voter. One that joins under a voter's name replaces that voter.
    voters: int = 0
    # Address for operators to which other instances redirect; empty for the one bound.
    operator_address: str = ""
    # Limits of what all connections to the HTTP port hold together.
    buffers: BufferLimits | None = None


__all__ = ["ControlOptions"]

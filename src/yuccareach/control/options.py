"""The settings of a control process."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.control.members import MEMBER_LEASE_MS

if TYPE_CHECKING:
    from pathlib import Path


class ControlOptions(NamedTuple):
    """Settings of the control process."""

    instance: str
    availability_zone: str
    data: Path
    host: str = "127.0.0.1"
    port: int = 0
    http_port: int = 0
    advertise: str = ""
    bootstrap: bool = False
    join: tuple[str, ...] = ()
    platform_token_sha256: str = ""
    snapshot_every: int = 10_000
    restore: Path | None = None
    # Without a new heartbeat for this long, a backend server is taken out.
    member_lease_ms: int = MEMBER_LEASE_MS
    # Within this time of a start every living backend server has announced itself.
    member_warm_up_ms: int = MEMBER_LEASE_MS
    # Voters to keep; 0 lets every instance that joins under a new name vote.
    voters: int = 0
    # Whether the data folder does not last, so that this instance must not vote.
    volatile: bool = False
    # The operators' address that others are sent to; empty for the one bound.
    operator_address: str = ""


__all__ = ["ControlOptions"]

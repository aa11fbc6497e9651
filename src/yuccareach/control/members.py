"""Which backend servers are alive, as heard by heartbeats.

This is soft state. It lives in memory on every control instance and the agents tell it
again after a restart, so it costs the log nothing.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from yuccareach.proto import control_pb2 as cpb

LEASE_MS = 3_000
LOAD_FORWARD_MS = 1_000
DEPARTURES_KEPT = 10_000


class HeardMember:
    """One backend server as last heard."""

    def __init__(self, member: cpb.Member, now_ms: int, source: str) -> None:
        self.member = member
        self.heard_ms = now_ms
        self.source = source
        self.version = 0
        self.forwarded_ms = 0
        self.revision = 0


class Departure(NamedTuple):
    """A backend server that left or whose lease expired."""

    version: int
    name: str


class Delta(NamedTuple):
    """Changes of the members since a version."""

    version: int
    members: list[cpb.Member]
    departed: list[str]
    snapshot: bool


class MemberTable:
    """All backend servers heard of, with a version for each change."""

    def __init__(self, now_ms: int) -> None:
        self.started_ms = now_ms
        self.version = 1
        self.heard_by_name: dict[str, HeardMember] = {}
        self.departures: deque[Departure] = deque(maxlen=DEPARTURES_KEPT)

    def warm(self, now_ms: int) -> bool:
        """Return whether every living agent has had time to announce itself."""
        return now_ms - self.started_ms > LEASE_MS

    def hear(
        self, member: cpb.Member, now_ms: int, source: str = "", revision: int = 0
    ) -> None:
        """Take a heartbeat; source names the control instance that relayed it."""
        known = self.heard_by_name.get(member.backend_server)
        if known is None:
            known = self.heard_by_name[member.backend_server] = HeardMember(
                member, now_ms, source
            )
            self._mark(known, now_ms)
        changed = _visible(known.member) != _visible(member)
        load_due = now_ms - known.forwarded_ms >= LOAD_FORWARD_MS
        loaded = _loaded(known.member) != _loaded(member)
        known.member = member
        known.heard_ms = now_ms
        known.source = source
        known.revision = max(known.revision, revision)
        if changed or (loaded and load_due):
            self._mark(known, now_ms)

    def _mark(self, known: HeardMember, now_ms: int) -> None:
        self.version += 1
        known.version = self.version
        known.forwarded_ms = now_ms

    def leave(self, name: str, incarnation: str) -> None:
        """Take out a backend server that said good-bye."""
        known = self.heard_by_name.get(name)
        if known is not None and known.member.incarnation == incarnation:
            self._depart(name)

    def expire(self, now_ms: int, silent_sources: set[str]) -> list[str]:
        """Take out members whose lease has expired.

        Members relayed by a control instance that is silent itself are kept, since
        the cut may be on our side.
        """
        expired = [
            name
            for name, heard in self.heard_by_name.items()
            if now_ms - heard.heard_ms > LEASE_MS and heard.source not in silent_sources
        ]
        for name in expired:
            self._depart(name)
        return expired

    def _depart(self, name: str) -> None:
        del self.heard_by_name[name]
        self.version += 1
        self.departures.append(Departure(self.version, name))

    def delta(self, version: int, now_ms: int) -> Delta:
        """Return what changed after a version; 0 asks for everything."""
        members = [
            heard.member
            for heard in self.heard_by_name.values()
            if heard.version > version
        ]
        departed = [item.name for item in self.departures if item.version > version]
        snapshot = version == 0 and self.warm(now_ms)
        return Delta(self.version, members, departed if version else [], snapshot)

    def direct(self) -> list[HeardMember]:
        """Return the members whose agents announce themselves here."""
        return [heard for heard in self.heard_by_name.values() if not heard.source]


def _visible(member: cpb.Member) -> tuple[object, ...]:
    """Return what watchers must learn at once when it changes."""
    return (
        member.incarnation,
        member.address,
        member.availability_zone,
        member.pipeline,
        member.first_layer,
        member.end_layer,
        member.service,
        member.draining,
    )


def _loaded(member: cpb.Member) -> tuple[int, int]:
    return (member.load.running, member.load.queued)


__all__ = ["LEASE_MS", "Delta", "HeardMember", "MemberTable"]

"""Which backend servers are alive, as heard by heartbeats.

This is soft state. It lives in memory on every control instance and the agents tell it
again after a restart, so it costs the log nothing.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.proto import control_pb2 as cpb

LEASE_MS = 3_000
LOAD_FORWARD_MS = 1_000
LOAD_BYTES_PER_S = 8_000
MEMBER_BYTES = 100
SILENT_SOURCE_MS = 10_000
DEPARTURES_KEPT = 10_000
# After a restart, members may be slow to find a control instance again.
RECALLED_LEASE_MS = 10_000
# A heartbeat may arrive this long after its sender has left.
TOMBSTONE_MS = 60_000
LAST_SEQUENCE = (1 << 64) - 1


class HeardMember:
    """One backend server as last heard."""

    def __init__(self, member: cpb.Member, now_ms: int, source: str) -> None:
        self.member = member
        self.heard_ms = now_ms
        self.source = source
        self.version = 0
        self.forwarded_ms = 0
        self.forwarded_load = (0, 0)
        self.revision = 0
        # Whether its agent's stream to this instance is open.
        self.attached = False
        # Whether it is only known from before a restart of this instance.
        self.recalled = False


class Departure(NamedTuple):
    """A backend server that left or whose lease expired."""

    version: int
    name: str


class Left(NamedTuple):
    """The incarnation of a backend server that announced its departure."""

    started_ms: int
    sequence: int
    at_ms: int


class Delta(NamedTuple):
    """Changes of the members since a version."""

    version: int
    members: list[cpb.Member]
    departed: list[str]
    snapshot: bool


class MemberTable:
    """All backend servers heard of, with a version for each change."""

    def __init__(
        self, now_ms: int, lease_ms: int = LEASE_MS, warm_ms: int | None = None
    ) -> None:
        self.started_ms = now_ms
        self.lease_ms = lease_ms
        # Within this time every living member has announced itself.
        self.warm_ms = lease_ms if warm_ms is None else warm_ms
        self.version = 1
        self.heard_by_name: dict[str, HeardMember] = {}
        self.departures: deque[Departure] = deque(maxlen=DEPARTURES_KEPT)
        self.left_by_name: dict[str, Left] = {}

    def warm(self, now_ms: int) -> bool:
        """Return whether every living agent has had time to announce itself."""
        return now_ms - self.started_ms > self.warm_ms

    def hear(
        self, member: cpb.Member, now_ms: int, source: str = "", revision: int = 0
    ) -> None:
        """Take a heartbeat; source names the control instance that relayed it.

        One that a newer heartbeat or a departure has overtaken is dropped.
        """
        if self._overtaken(member, now_ms, relayed=bool(source)):
            return
        known = self.heard_by_name.get(member.backend_server)
        if known is None:
            known = self.heard_by_name[member.backend_server] = HeardMember(
                member, now_ms, source
            )
            self._mark(known, now_ms)
        # The instance that it was attached to will say that it has departed.
        moved_here = bool(known.source) and not source
        changed = (
            known.recalled or moved_here or _visible(known.member) != _visible(member)
        )
        load_due = now_ms - known.forwarded_ms >= self._load_interval_ms()
        loaded = known.forwarded_load != _loaded(member)
        known.member = member
        known.heard_ms = now_ms
        known.source = source
        known.attached = not source
        known.recalled = False
        known.revision = max(known.revision, revision)
        if changed or (loaded and load_due):
            self._mark(known, now_ms)

    def _overtaken(self, member: cpb.Member, now_ms: int, *, relayed: bool) -> bool:
        """Return whether what is known is newer; evict an older one at the address.

        Only members that tell their start and sequence can be ordered.
        """
        if not member.started_ms:
            return False
        order = (member.started_ms, member.sequence)
        left = self.left_by_name.get(member.backend_server)
        if left is not None and order <= (left.started_ms, left.sequence):
            return True
        known = self.heard_by_name.get(member.backend_server)
        if known is not None:
            known_order = (known.member.started_ms, known.member.sequence)
            repeated = order == known_order and not relayed and not known.recalled
            if order < known_order or repeated:
                return True
        rivals = [
            heard.member
            for heard in self.heard_by_name.values()
            if heard.member.address == member.address
            and heard.member.backend_server != member.backend_server
        ]
        if any(rival.started_ms > member.started_ms for rival in rivals):
            return True
        for rival in rivals:
            self._depart(rival.backend_server)
        return False

    def dismiss(self, name: str, started_ms: int, now_ms: int) -> bool:
        """Take out an incarnation that announced its departure.

        A started_ms of 0 names whichever is known.
        """
        self.left_by_name = {
            left_name: left
            for left_name, left in self.left_by_name.items()
            if now_ms - left.at_ms < TOMBSTONE_MS
        }
        known = self.heard_by_name.get(name)
        if known is not None:
            started_ms = started_ms or known.member.started_ms
        # Its heartbeats that are still on their way carry any sequence.
        self.left_by_name[name] = Left(started_ms, LAST_SEQUENCE, now_ms)
        if known is None or known.member.started_ms > started_ms:
            return False
        self._depart(name)
        return True

    def _load_interval_ms(self) -> int:
        """Return how often one member's load is forwarded.

        The interval grows with the members, so that a watcher's traffic is bounded.
        """
        budgeted = len(self.heard_by_name) * MEMBER_BYTES * 1000 // LOAD_BYTES_PER_S
        return max(LOAD_FORWARD_MS, budgeted)

    def _mark(self, known: HeardMember, now_ms: int) -> None:
        self.version += 1
        known.version = self.version
        known.forwarded_ms = now_ms
        known.forwarded_load = _loaded(known.member)

    def detach(self, name: str) -> None:
        """Note that an agent's stream has ended; its lease runs on."""
        if name in self.heard_by_name:
            self.heard_by_name[name].attached = False

    def leave(self, name: str, incarnation: str) -> None:
        """Take out a backend server that announced its departure."""
        known = self.heard_by_name.get(name)
        if known is not None and known.member.incarnation == incarnation:
            self._depart(name)

    def hear_relayed(self, frame: cpb.RaftFrame, now_ms: int) -> None:
        """Take what another control instance has heard, all of it or the changes.

        Of members that cannot be ordered, those attached here stay so.
        """
        for heartbeat in frame.heard:
            known = self.heard_by_name.get(heartbeat.member.backend_server)
            ordered = heartbeat.member.started_ms
            if known is not None and known.attached and not ordered:
                if now_ms - known.heard_ms < self.lease_ms // 2:
                    continue
            self.hear(heartbeat.member, now_ms, frame.source, heartbeat.revision)
        gone = set(frame.departed)
        if frame.heard_all:
            present = {item.member.backend_server for item in frame.heard}
            gone |= set(self.heard_by_name) - present
        for name in gone:
            known = self.heard_by_name.get(name)
            if known is not None and known.source == frame.source:
                self._depart(name)

    def expire(self, now_ms: int, heard_ms_by_source: dict[str, int]) -> list[str]:
        """Take out members whose lease has expired.

        A member attached elsewhere lasts as long as its control instance is heard,
        and a while longer, in which its agent finds another instance.
        """
        expired = [
            name
            for name, heard in self.heard_by_name.items()
            if self._expired(heard, now_ms, heard_ms_by_source)
        ]
        for name in expired:
            self._depart(name)
        return expired

    def _expired(
        self, heard: HeardMember, now_ms: int, heard_ms_by_source: dict[str, int]
    ) -> bool:
        if heard.recalled:
            return now_ms - heard.heard_ms > RECALLED_LEASE_MS
        if not heard.source:
            return now_ms - heard.heard_ms > self.lease_ms
        last_ms = max(heard.heard_ms, heard_ms_by_source[heard.source])
        return now_ms - last_ms > SILENT_SOURCE_MS

    def recall(self, members: Iterable[cpb.Member], now_ms: int) -> None:
        """Take members known before a restart, until they are heard of or expire."""
        for member in members:
            self.hear(member, now_ms)
            known = self.heard_by_name.get(member.backend_server)
            if known is not None:
                known.recalled = True
                known.attached = False

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
        departed = self.departed_after(version) if version else []
        snapshot = version == 0 and self.warm(now_ms)
        return Delta(self.version, members, departed, snapshot)

    def direct_after(self, version: int) -> list[HeardMember]:
        """Return the members announced here that changed after a version."""
        return [
            heard
            for heard in self.heard_by_name.values()
            if not heard.source and not heard.recalled and heard.version > version
        ]

    def departed_after(self, version: int) -> list[str]:
        """Return the members that departed after a version."""
        return [item.name for item in self.departures if item.version > version]


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
        member.started_ms,
    )


def _loaded(member: cpb.Member) -> tuple[int, int]:
    return (member.load.running, member.load.queued)


__all__ = ["LEASE_MS", "Delta", "HeardMember", "MemberTable"]

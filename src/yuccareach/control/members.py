"""Liveness of backend servers, derived from their heartbeats.

Every control instance keeps this table in memory, and saves the members now and then.
Heartbeats are not replicated through the log, since the agents send them again after a
restart. Withdrawals are, since nothing would repeat them: the log is their source, and
this table holds what is needed to drop older heartbeats.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.proto import control_pb2 as cpb

MEMBER_LEASE_MS = 3_000
# Changes of load alone are forwarded to a watcher at most this often for each member,
# and less often where the members together would exceed this rate.
MIN_LOAD_INTERVAL_MS = 1_000
MAX_LOAD_BYTES_PER_S = 8_000
# Size of one member in an update, from which the interval for that rate is computed.
MEMBER_BYTES = 100
# Members that another control instance relayed expire after that instance has been
# silent for this long.
SOURCE_TIMEOUT_MS = 10_000
MAX_RECENT_DEPARTURES = 10_000
# Lease of members loaded from disk: after a restart of this instance, agents may need
# this long to connect to a control instance again.
RESTORED_LEASE_MS = 10_000
# Heartbeats that were sent before a departure may arrive up to this long after it.
TOMBSTONE_RETENTION_MS = 60_000
MAX_SEQUENCE = (1 << 64) - 1


class MemberRecord:
    """The last heartbeat of one backend server and how it was received."""

    def __init__(self, member: cpb.Member, now_ms: int, source: str) -> None:
        self.member = member
        self.last_heartbeat_ms = now_ms
        # The control instance that relayed the heartbeat; empty if none did.
        self.source = source
        # The version of the table at the last change that watchers must receive.
        self.version = 0
        self.forwarded_ms = 0
        self.forwarded_load = (0, 0)
        # The settings revision in force at the agent.
        self.revision = 0
        # Whether the last heartbeat came from the agent itself, and not through
        # another control instance, and its stream has not ended since.
        self.is_attached = False
        # Whether the member was loaded from disk after a restart of this instance
        # and has sent no heartbeat since.
        self.is_restored = False


class Departure(NamedTuple):
    """The removal of a backend server that left or whose lease expired."""

    version: int
    name: str


class Tombstone(NamedTuple):
    """An incarnation that announced its departure; its late heartbeats are dropped.

    at_ms is the time at which the departure was recorded.
    """

    started_ms: int
    sequence: int
    at_ms: int


class Drain(NamedTuple):
    """The heartbeat with which an incarnation reported that it drains.

    at_ms is the time at which the drain was recorded.
    """

    started_ms: int
    sequence: int
    at_ms: int


class MemberDelta(NamedTuple):
    """Changes of the members since a version.

    snapshot is True where the delta holds every member, so that a watcher may remove
    those that are missing.
    """

    version: int
    members: list[cpb.Member]
    departed: list[str]
    snapshot: bool


class MemberTable:
    """All known backend servers, with a version that grows with each change.

    The warm-up is the time from the start of this instance within which every living
    member has sent a heartbeat.
    """

    def __init__(
        self,
        now_ms: int,
        lease_ms: int = MEMBER_LEASE_MS,
        warm_up_ms: int | None = None,
    ) -> None:
        self.started_ms = now_ms
        self.lease_ms = lease_ms
        self.warm_up_ms = lease_ms if warm_up_ms is None else warm_up_ms
        self.version = 1
        self.record_by_name: dict[str, MemberRecord] = {}
        self.departures: deque[Departure] = deque(maxlen=MAX_RECENT_DEPARTURES)
        self.tombstone_by_name: dict[str, Tombstone] = {}
        self.drain_by_name: dict[str, Drain] = {}
        # Of the version for which they were computed.
        self._names_by_zone: dict[str, frozenset[str]] = {}
        self._names_version = 0

    def find_names_in_zone(self, zone: str) -> frozenset[str]:
        """Return the names of the members in an availability zone."""
        if self._names_version != self.version:
            self._names_by_zone = {}
            self._names_version = self.version
        if zone not in self._names_by_zone:
            self._names_by_zone[zone] = frozenset(
                name
                for name, record in self.record_by_name.items()
                if record.member.availability_zone == zone
            )
        return self._names_by_zone[zone]

    def is_warmed_up(self, now_ms: int) -> bool:
        """Return whether every living agent has had time to send a heartbeat."""
        return now_ms - self.started_ms > self.warm_up_ms

    def record_heartbeat(
        self, member: cpb.Member, now_ms: int, source: str = "", revision: int = 0
    ) -> None:
        """Record a heartbeat; source names the control instance that relayed it.

        Heartbeats older than the last recorded one or than a departure are dropped.
        """
        if self._reject_or_supersede(member, now_ms, relayed=bool(source)):
            return
        member = self._mark_if_draining(member)
        record = self.record_by_name.get(member.backend_server)
        if record is None:
            record = self.record_by_name[member.backend_server] = MemberRecord(
                member, now_ms, source
            )
            self._mark_changed(record, now_ms)
        # The instance that the agent was attached to before will report the member as
        # departed, so this instance must relay it as a change.
        attached_here = bool(record.source) and not source
        changed = (
            record.is_restored
            or attached_here
            or _fields_forwarded_at_once(record.member)
            != _fields_forwarded_at_once(member)
        )
        load_due = now_ms - record.forwarded_ms >= self._load_interval_ms()
        load_changed = record.forwarded_load != _load_counts(member)
        record.member = member
        record.last_heartbeat_ms = now_ms
        record.source = source
        record.is_attached = not source
        record.is_restored = False
        record.revision = max(record.revision, revision)
        if changed or (load_changed and load_due):
            self._mark_changed(record, now_ms)

    def _reject_or_supersede(
        self, member: cpb.Member, now_ms: int, *, relayed: bool
    ) -> bool:
        """Return True if newer information is recorded, so that a heartbeat is stale.

        If it is not stale, older backend servers at the same address are removed.
        Only members that report their start time and sequence number can be ordered.
        """
        if not member.started_ms:
            return False
        order = (member.started_ms, member.sequence)
        tombstone = self.tombstone_by_name.get(member.backend_server)
        if tombstone is not None and order <= (
            tombstone.started_ms,
            tombstone.sequence,
        ):
            return True
        record = self.record_by_name.get(member.backend_server)
        if record is not None:
            recorded_order = (record.member.started_ms, record.member.sequence)
            duplicate = (
                order == recorded_order and not relayed and not record.is_restored
            )
            if order < recorded_order or duplicate:
                return True
        same_address = [
            candidate.member
            for candidate in self.record_by_name.values()
            if candidate.member.address == member.address
            and candidate.member.backend_server != member.backend_server
        ]
        if any(other.started_ms > member.started_ms for other in same_address):
            return True
        for other in same_address:
            self._remove(other.backend_server)
        return False

    def deregister(self, name: str, started_ms: int, now_ms: int) -> bool:
        """Remove an incarnation that announced its departure and drop late heartbeats.

        A started_ms of 0 stands for the incarnation that is recorded. Returns whether
        a member was removed.
        """
        self._remove_old_withdrawals(now_ms)
        record = self.record_by_name.get(name)
        if record is not None:
            started_ms = started_ms or record.member.started_ms
        tombstone = self.tombstone_by_name.get(name)
        if tombstone is None or tombstone.started_ms <= started_ms:
            # Heartbeats still in transit may have any sequence number.
            self.tombstone_by_name[name] = Tombstone(started_ms, MAX_SEQUENCE, now_ms)
        if record is None or record.member.started_ms > started_ms:
            return False
        self._remove(name)
        return True

    def record_drain(
        self, name: str, started_ms: int, sequence: int, now_ms: int
    ) -> bool:
        """Mark an incarnation as draining from one of its heartbeats on.

        Its earlier heartbeats, which may be late or restored from disk, no longer show
        it as ready. Returns whether a member changed.
        """
        self._remove_old_withdrawals(now_ms)
        self.drain_by_name[name] = Drain(started_ms, sequence, now_ms)
        record = self.record_by_name.get(name)
        if record is None:
            return False
        member = self._mark_if_draining(record.member)
        if member is record.member:
            return False
        record.member = member
        self._mark_changed(record, now_ms)
        return True

    def _mark_if_draining(self, member: cpb.Member) -> cpb.Member:
        """Return the member, marked as draining if a recorded drain covers it."""
        drain = self.drain_by_name.get(member.backend_server)
        if drain is None or member.draining or not member.started_ms:
            return member
        if (member.started_ms, member.sequence) > (drain.started_ms, drain.sequence):
            return member
        marked = type(member)()
        marked.CopyFrom(member)
        marked.draining = True
        return marked

    def _remove_old_withdrawals(self, now_ms: int) -> None:
        self.tombstone_by_name = {
            name: tombstone
            for name, tombstone in self.tombstone_by_name.items()
            if now_ms - tombstone.at_ms < TOMBSTONE_RETENTION_MS
        }
        self.drain_by_name = {
            name: drain
            for name, drain in self.drain_by_name.items()
            if now_ms - drain.at_ms < TOMBSTONE_RETENTION_MS
        }

    def is_ready(self, name: str, started_ms: int) -> bool:
        """Return whether an incarnation is a member that does not drain."""
        record = self.record_by_name.get(name)
        return (
            record is not None
            and record.member.started_ms == started_ms
            and not record.member.draining
        )

    def find_started_ms(self, name: str) -> int:
        """Return the start of the known incarnation of a name, or 0 if there is none.

        It may have departed already.
        """
        record = self.record_by_name.get(name)
        if record is not None:
            return record.member.started_ms
        tombstone = self.tombstone_by_name.get(name)
        return tombstone.started_ms if tombstone is not None else 0

    def _load_interval_ms(self) -> int:
        """Return how often the load of one member is forwarded, in milliseconds.

        The interval grows with the number of members, which bounds the traffic to each
        watcher.
        """
        budgeted = (
            len(self.record_by_name) * MEMBER_BYTES * 1000 // MAX_LOAD_BYTES_PER_S
        )
        return max(MIN_LOAD_INTERVAL_MS, budgeted)

    def _mark_changed(self, record: MemberRecord, now_ms: int) -> None:
        self.version += 1
        record.version = self.version
        record.forwarded_ms = now_ms
        record.forwarded_load = _load_counts(record.member)

    def record_stream_end(self, name: str) -> None:
        """Record that an agent's stream has ended; its lease stays valid."""
        if name in self.record_by_name:
            self.record_by_name[name].is_attached = False

    def remove_incarnation(self, name: str, incarnation: str) -> None:
        """Remove a backend server whose last heartbeat announced its departure."""
        record = self.record_by_name.get(name)
        if record is not None and record.member.incarnation == incarnation:
            self._remove(name)

    def apply_relayed_frame(self, frame: cpb.RaftFrame, now_ms: int) -> None:
        """Record the members that another control instance relayed.

        The frame holds either every member attached to that instance or the changes
        since its last relay. A heartbeat that cannot be ordered does not replace one
        that an attached agent sent here less than half a lease ago.
        """
        for heartbeat in frame.heard:
            record = self.record_by_name.get(heartbeat.member.backend_server)
            ordered = heartbeat.member.started_ms
            if record is not None and record.is_attached and not ordered:
                if now_ms - record.last_heartbeat_ms < self.lease_ms // 2:
                    continue
            self.record_heartbeat(
                heartbeat.member, now_ms, frame.source, heartbeat.revision
            )
        removed = set(frame.departed)
        if frame.heard_all:
            present = {item.member.backend_server for item in frame.heard}
            removed |= set(self.record_by_name) - present
        for name in removed:
            record = self.record_by_name.get(name)
            if record is not None and record.source == frame.source:
                self._remove(name)

    def remove_expired(
        self, now_ms: int, last_contact_ms_by_source: dict[str, int]
    ) -> list[str]:
        """Remove members whose lease has expired and return their names.

        A relayed member stays while its control instance relays anything, and for
        SOURCE_TIMEOUT_MS after that, in which its agent can connect to another one.
        """
        expired = [
            name
            for name, record in self.record_by_name.items()
            if self._is_expired(record, now_ms, last_contact_ms_by_source)
        ]
        for name in expired:
            self._remove(name)
        return expired

    def _is_expired(
        self,
        record: MemberRecord,
        now_ms: int,
        last_contact_ms_by_source: dict[str, int],
    ) -> bool:
        if record.is_restored:
            return now_ms - record.last_heartbeat_ms > RESTORED_LEASE_MS
        if not record.source:
            return now_ms - record.last_heartbeat_ms > self.lease_ms
        last_contact_ms = max(
            record.last_heartbeat_ms, last_contact_ms_by_source[record.source]
        )
        return now_ms - last_contact_ms > SOURCE_TIMEOUT_MS

    def restore(self, members: Iterable[cpb.Member], now_ms: int) -> None:
        """Add members saved before a restart, until they send a heartbeat or expire."""
        for member in members:
            self.record_heartbeat(member, now_ms)
            record = self.record_by_name.get(member.backend_server)
            if record is not None:
                record.is_restored = True
                record.is_attached = False

    def _remove(self, name: str) -> None:
        del self.record_by_name[name]
        self.version += 1
        self.departures.append(Departure(self.version, name))

    def delta_since(self, version: int, now_ms: int) -> MemberDelta:
        """Return the changes after a version.

        Version 0 requests every member. The watcher may then know members of another
        instance's table, so that all withdrawn servers that are not members count as
        departed.
        """
        members = [
            record.member
            for record in self.record_by_name.values()
            if record.version > version
        ]
        departed = self.departed_since(version) if version else self._list_withdrawn()
        snapshot = version == 0 and self.is_warmed_up(now_ms)
        return MemberDelta(self.version, members, departed, snapshot)

    def _list_withdrawn(self) -> list[str]:
        """Return the names of the withdrawn servers that are not members."""
        withdrawn = {**self.tombstone_by_name, **self.drain_by_name}
        return [name for name in withdrawn if name not in self.record_by_name]

    def direct_members_since(self, version: int) -> list[MemberRecord]:
        """Return the changed members whose agents sent their heartbeats here."""
        return [
            record
            for record in self.record_by_name.values()
            if not record.source and not record.is_restored and record.version > version
        ]

    def departed_since(self, version: int) -> list[str]:
        """Return the names of the members that departed after a version."""
        return [item.name for item in self.departures if item.version > version]


def _fields_forwarded_at_once(member: cpb.Member) -> tuple[object, ...]:
    """Return the fields whose changes watchers must receive without delay."""
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


def _load_counts(member: cpb.Member) -> tuple[int, int]:
    return (member.load.running, member.load.queued)


__all__ = ["MEMBER_LEASE_MS", "MemberDelta", "MemberRecord", "MemberTable"]

"""Events, effects and state of the Raft reducer.

A ticket is the number under which this process keeps a waiting request. The effect that
answers the request carries the ticket of its event.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from yuccareach.proto import control_pb2 as cpb

if TYPE_CHECKING:
    from random import Random

HEARTBEAT_INTERVAL_MS = 150
# The shortest election timeout; up to ELECTION_JITTER_MS is added at random.
ELECTION_TIMEOUT_MS = 700
ELECTION_JITTER_MS = 700
MAX_RECORDS_PER_APPEND = 512
# A single record larger than this is sent by itself.
MAX_BYTES_PER_APPEND = 1 << 20
MAX_APPENDS_IN_FLIGHT = 8
SNAPSHOT_CHUNK_BYTES = 1 << 20
RESEND_TIMEOUT_MS = 500


class Role(StrEnum):
    """Raft role of an instance; FAILED after its disk refused a write."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class CommandSubmitted(NamedTuple):
    """A caller submitted a command for the log."""

    ticket: int
    command: cpb.Command


class ReadRequested(NamedTuple):
    """A caller requested a linearizable read (Raft's ReadIndex)."""

    ticket: int


class PeerJoinRequested(NamedTuple):
    """A control instance requested to join as a non-voter."""

    ticket: int
    peer: cpb.Peer


class PeerRemovalRequested(NamedTuple):
    """An operator requested the removal of an instance, by name or identity."""

    ticket: int
    name: str


class PeerPromotionRequested(NamedTuple):
    """An operator requested that a non-voter, by name or identity, become a voter."""

    ticket: int
    name: str


class RaftMessageReceived(NamedTuple):
    """A Raft message from another control instance arrived."""

    message: cpb.RaftMessage


class BatchEnded(NamedTuple):
    """All queued events are reduced; the messages for them may be sent together."""


class WriteFailed(NamedTuple):
    """The disk refused a write; the instance must not acknowledge anything."""

    reason: str


class SaveHardState(NamedTuple):
    """An effect: store the term and vote."""

    state: cpb.HardState


class AppendRecords(NamedTuple):
    """An effect: store records, replacing stored ones from the first index on."""

    records: list[cpb.LogRecord]


class SaveSnapshot(NamedTuple):
    """An effect: store a snapshot and discard the log records that it covers."""

    snapshot: cpb.SnapshotFile


class SendMessage(NamedTuple):
    """An effect: send a message, once the writes of the same batch are synced."""

    message: cpb.RaftMessage


class CommandAnswered(NamedTuple):
    """An effect: answer the caller of a command that has been applied."""

    ticket: int
    answer: cpb.CommandAnswer


class ReadConfirmed(NamedTuple):
    """An effect: the state as applied now may be served to a waiting read."""

    ticket: int


class RequestRefused(NamedTuple):
    """An effect: refuse a request that this instance cannot serve.

    leader is the leader's address, or empty where it is unknown or does not matter.
    """

    ticket: int
    reason: str
    leader: str


class RecordsApplied(NamedTuple):
    """An effect: report that records were applied, and the settings revision now."""

    last_index: int
    revision: int


class StoredState(NamedTuple):
    """What the data folder held when the process opened it."""

    hard_state: cpb.HardState
    snapshot: cpb.SnapshotFile
    records: list[cpb.LogRecord]


class Progress:
    """The leader's replication state for one follower.

    messages_in_flight counts messages with records or a snapshot chunk that await a
    reply; it is an estimate, since replies to heartbeats lower it too. last_contact_ms
    is the time of the follower's last reply, last_sent_ms that of the last records or
    snapshot chunk sent to it. sent_round is the newest read round that was sent to it,
    confirmed_round the newest that it replied to. snapshot_offset is the offset of the
    chunk sent or due next, or None while no snapshot is being sent.
    """

    def __init__(self, next_index: int, now_ms: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.messages_in_flight = 0
        self.last_contact_ms = now_ms
        self.last_sent_ms = now_ms
        self.sent_round = 0
        self.confirmed_round = 0
        self.snapshot_offset: int | None = None


class PendingRead(NamedTuple):
    """A read that waits for a quorum to reply to a read round.

    A reply to the round shows that its sender still followed this leader when the read
    had already been requested.
    """

    ticket: int
    round: int


class RaftState:
    """Raft state of one control instance.

    identity is the Raft identity of its data folder; an instance that starts with an
    empty folder gets a new one. snapshot_interval_records is the number of applied
    records after which the log is replaced by a snapshot. target_voter_count is the
    number of voters to keep, or 0 to promote every caught-up instance. leader is the
    identity of the leader, or empty while it is unknown. ticket_by_index holds the
    waiting requests by the index of their records.
    """

    def __init__(
        self,
        identity: str,
        stored: StoredState,
        machine: Any,
        random: Random,
        snapshot_interval_records: int,
        target_voter_count: int = 0,
    ) -> None:
        self.identity = identity
        self.random = random
        self.machine = machine
        self.snapshot_interval_records = snapshot_interval_records
        self.target_voter_count = target_voter_count
        self.term: int = stored.hard_state.term
        self.voted_for: str = stored.hard_state.voted_for
        self.snapshot = stored.snapshot
        self.records = list(stored.records)
        self.commit_index: int = stored.snapshot.last_index
        self.applied_index: int = stored.snapshot.last_index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.last_leader_contact_ms = 0
        self.election_due_ms = 0
        self.heartbeat_due_ms = 0
        self.votes: set[str] = set()
        self.progress_by_peer: dict[str, Progress] = {}
        self.ticket_by_index: dict[int, int] = {}
        self.pending_reads: list[PendingRead] = []
        self.read_round = 0
        self.incoming_snapshot = bytearray()
        self.incoming_snapshot_index = 0
        self.membership_index = 0
        self.membership = cpb.Membership()
        self.failure = ""
        self.refresh_membership()

    @property
    def last_index(self) -> int:
        """Index of the last record in memory, synced to disk or not."""
        return self.snapshot.last_index + len(self.records)

    def term_at(self, index: int) -> int | None:
        """Return the term of the record at an index, or None if it is not held."""
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        offset = index - self.snapshot.last_index - 1
        if 0 <= offset < len(self.records):
            return self.records[offset].term
        return None

    def records_from(self, index: int) -> list[cpb.LogRecord]:
        """Return the records from an index on that fit in one AppendEntries message."""
        start = index - self.snapshot.last_index - 1
        batch: list[cpb.LogRecord] = []
        size = 0
        for record in self.records[start : start + MAX_RECORDS_PER_APPEND]:
            size += record.ByteSize()
            if batch and size > MAX_BYTES_PER_APPEND:
                break
            batch.append(record)
        return batch

    def refresh_membership(self) -> None:
        """Set the membership to the newest one in the log, committed or not."""
        self.membership = self.snapshot.membership
        self.membership_index = self.snapshot.last_index
        for record in reversed(self.records):
            if record.command.WhichOneof("body") == "membership":
                self.membership = record.command.membership
                self.membership_index = record.index
                return

    @property
    def voter_identities(self) -> list[str]:
        """Identities of the voters, this instance included if it is one."""
        return [peer.identity for peer in self.membership.peers if peer.voter]

    @property
    def other_identities(self) -> list[str]:
        """Identities of all other control instances, voters or not."""
        return [
            peer.identity
            for peer in self.membership.peers
            if peer.identity != self.identity
        ]

    @property
    def durable_identities(self) -> list[str]:
        """Identities of the other control instances that may lead now or later."""
        return [
            peer.identity
            for peer in self.membership.peers
            if peer.identity != self.identity and not peer.volatile
        ]

    @property
    def is_voter(self) -> bool:
        """Whether this instance may vote and become leader."""
        return self.identity in self.voter_identities

    def address_of(self, identity: str) -> str:
        """Return a control instance's address, or an empty string if unknown."""
        return next(
            (
                peer.address
                for peer in self.membership.peers
                if peer.identity == identity
            ),
            "",
        )


__all__ = [
    "ELECTION_JITTER_MS",
    "ELECTION_TIMEOUT_MS",
    "HEARTBEAT_INTERVAL_MS",
    "MAX_APPENDS_IN_FLIGHT",
    "RESEND_TIMEOUT_MS",
    "SNAPSHOT_CHUNK_BYTES",
    "AppendRecords",
    "BatchEnded",
    "CommandAnswered",
    "CommandSubmitted",
    "PeerJoinRequested",
    "PeerPromotionRequested",
    "PeerRemovalRequested",
    "PendingRead",
    "Progress",
    "RaftMessageReceived",
    "RaftState",
    "ReadConfirmed",
    "ReadRequested",
    "RecordsApplied",
    "RequestRefused",
    "Role",
    "SaveHardState",
    "SaveSnapshot",
    "SendMessage",
    "StoredState",
    "WriteFailed",
]

"""Events, effects and state of log replication."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from yuccareach.proto import control_pb2 as cpb

if TYPE_CHECKING:
    from random import Random

HEARTBEAT_INTERVAL_MS = 150
ELECTION_TIMEOUT_MS = 700
ELECTION_SPREAD_MS = 700
RECORDS_PER_APPEND = 512
BYTES_PER_APPEND = 1 << 20
APPENDS_IN_FLIGHT = 8
SNAPSHOT_CHUNK_BYTES = 1 << 20
RESEND_AFTER_MS = 500


class Role(StrEnum):
    """What an instance does in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class CommandSubmitted(NamedTuple):
    """A command was asked for; ticket names the waiting caller."""

    ticket: int
    command: cpb.Command


class ReadRequested(NamedTuple):
    """A read must be confirmed by a quorum before it is answered."""

    ticket: int


class PeerJoinRequested(NamedTuple):
    """An instance asks to join as a non-voter."""

    ticket: int
    peer: cpb.Peer


class PeerRemovalRequested(NamedTuple):
    """An operator removes an instance by name."""

    ticket: int
    name: str


class PeerPromotionRequested(NamedTuple):
    """An operator makes a caught-up instance a voter."""

    ticket: int
    name: str


class RaftMessageReceived(NamedTuple):
    """A message from another control instance arrived."""

    message: cpb.RaftMessage


class BatchEnded(NamedTuple):
    """All events at hand are reduced; what they gathered may be sent."""


class WriteFailed(NamedTuple):
    """The disk refused a write; this instance must not acknowledge anything."""

    reason: str


class SaveHardState(NamedTuple):
    """An effect: store term and vote."""

    state: cpb.HardState


class AppendRecords(NamedTuple):
    """An effect: store records; a lower index replaces all from there on."""

    records: list[cpb.LogRecord]


class SaveSnapshot(NamedTuple):
    """An effect: store a snapshot and drop the log up to it."""

    snapshot: cpb.SnapshotFile


class SendMessage(NamedTuple):
    """An effect: send a message, after everything before it is synced."""

    message: cpb.RaftMessage


class CommandAnswered(NamedTuple):
    """An effect: answer a ticket."""

    ticket: int
    answer: cpb.CommandAnswer


class ReadConfirmed(NamedTuple):
    """An effect: a read may be served from the state as it is now."""

    ticket: int


class RequestRefused(NamedTuple):
    """An effect: a ticket cannot be served here."""

    ticket: int
    reason: str
    leader: str


class RecordsApplied(NamedTuple):
    """An effect: the state has moved on to a settings revision."""

    last_index: int
    revision: int


class StoredState(NamedTuple):
    """What a data folder held at the start."""

    hard_state: cpb.HardState
    snapshot: cpb.SnapshotFile
    records: list[cpb.LogRecord]


class Progress:
    """What the leader knows of one follower."""

    def __init__(self, next_index: int, now_ms: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.in_flight = 0
        self.heard_ms = now_ms
        self.sent_ms = now_ms
        self.round = 0
        self.snapshot_offset: int | None = None


class PendingRead(NamedTuple):
    """A read that waits for a quorum to confirm a round."""

    ticket: int
    round: int


class RaftState:
    """Everything one control instance knows of the log."""

    def __init__(
        self,
        identity: str,
        stored: StoredState,
        machine: Any,
        random: Random,
        snapshot_every: int,
        voters_wanted: int = 0,
    ) -> None:
        self.identity = identity
        self.random = random
        self.machine = machine
        self.snapshot_every = snapshot_every
        self.voters_wanted = voters_wanted
        self.term: int = stored.hard_state.term
        self.voted_for: str = stored.hard_state.voted_for
        self.snapshot = stored.snapshot
        self.records = list(stored.records)
        self.commit_index: int = stored.snapshot.last_index
        self.applied_index: int = stored.snapshot.last_index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_heard_ms = 0
        self.election_due_ms = 0
        self.heartbeat_due_ms = 0
        self.votes: set[str] = set()
        self.progress_by_peer: dict[str, Progress] = {}
        self.ticket_by_index: dict[int, int] = {}
        self.reads: list[PendingRead] = []
        self.round = 0
        self.incoming_snapshot = bytearray()
        self.incoming_index = 0
        self.membership_index = 0
        self.membership = cpb.Membership()
        self.failure = ""
        self.refresh_membership()

    @property
    def last_index(self) -> int:
        """Index of the last record, synced or not."""
        return self.snapshot.last_index + len(self.records)

    def term_at(self, index: int) -> int | None:
        """Return the term of a record, or None if it is not held."""
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        offset = index - self.snapshot.last_index - 1
        if 0 <= offset < len(self.records):
            return self.records[offset].term
        return None

    def records_from(self, index: int) -> list[cpb.LogRecord]:
        """Return records from an index on, up to the size of one message."""
        start = index - self.snapshot.last_index - 1
        chosen: list[cpb.LogRecord] = []
        size = 0
        for record in self.records[start : start + RECORDS_PER_APPEND]:
            size += record.ByteSize()
            if chosen and size > BYTES_PER_APPEND:
                break
            chosen.append(record)
        return chosen

    def refresh_membership(self) -> None:
        """Take the newest membership in the log, committed or not."""
        self.membership = self.snapshot.membership
        self.membership_index = self.snapshot.last_index
        for record in reversed(self.records):
            if record.command.WhichOneof("body") == "membership":
                self.membership = record.command.membership
                self.membership_index = record.index
                return

    @property
    def voters(self) -> list[str]:
        """Identities that count for a quorum."""
        return [peer.identity for peer in self.membership.peers if peer.voter]

    @property
    def others(self) -> list[str]:
        """Identities of all other members."""
        return [
            peer.identity
            for peer in self.membership.peers
            if peer.identity != self.identity
        ]

    @property
    def is_voter(self) -> bool:
        """Whether this instance may vote and lead."""
        return self.identity in self.voters

    def address_of(self, identity: str) -> str:
        """Return a member's address, or an empty string."""
        return next(
            (
                peer.address
                for peer in self.membership.peers
                if peer.identity == identity
            ),
            "",
        )


__all__ = [
    "APPENDS_IN_FLIGHT",
    "ELECTION_SPREAD_MS",
    "ELECTION_TIMEOUT_MS",
    "HEARTBEAT_INTERVAL_MS",
    "RESEND_AFTER_MS",
    "SNAPSHOT_CHUNK_BYTES",
    "CommandAnswered",
    "AppendRecords",
    "RecordsApplied",
    "BatchEnded",
    "PeerJoinRequested",
    "PeerPromotionRequested",
    "PeerRemovalRequested",
    "PendingRead",
    "Progress",
    "RaftMessageReceived",
    "RaftState",
    "ReadRequested",
    "ReadConfirmed",
    "RequestRefused",
    "Role",
    "SaveHardState",
    "SaveSnapshot",
    "SendMessage",
    "StoredState",
    "CommandSubmitted",
    "WriteFailed",
]

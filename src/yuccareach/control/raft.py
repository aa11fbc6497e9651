"""The Raft reducer, which turns each event into a change of state and effects."""

from __future__ import annotations

from typing import Any

from yuccareach.control import elections, membership, replication, roles
from yuccareach.control.raft_types import (
    BatchEnded,
    CommandSubmitted,
    PeerJoinRequested,
    PeerPromotionRequested,
    PeerRemovalRequested,
    PendingRead,
    RaftMessageReceived,
    RaftState,
    ReadRequested,
    RequestRefused,
    Role,
    SaveSnapshot,
    WriteFailed,
)
from yuccareach.control.state_machine import load_state_machine
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.logs import Log
from yuccareach.runtime.reducer import Tick

Effects = list[Any]
# Kinds of command that carry the time at which the leader received them.
_TIMED_COMMANDS = frozenset(
    (
        "settings",
        "permit_acquire",
        "permit_finish",
        "lease",
        "quarantine",
        "losses",
        "withdrawal",
    )
)


def reduce(state: RaftState, event: Any, now: int, wall_ms: int = 0) -> Effects:
    """Apply one event to the state and return its effects.

    now is monotonic time and wall_ms Unix time, both in milliseconds.
    """
    if state.role is Role.FAILED:
        return _refuse_after_write_failure(state, event)
    match event:
        case RaftMessageReceived(message=message):
            return _handle_message(state, message, now)
        case Tick():
            return elections.tick(state, now) + membership.reconcile_voters(state, now)
        case BatchEnded():
            return _end_batch(state, now)
        case CommandSubmitted(ticket=ticket, command=command):
            return _submit_command(state, ticket, command, wall_ms)
        case ReadRequested(ticket=ticket):
            return _start_read_round(state, ticket)
        case PeerJoinRequested(ticket=ticket, peer=peer):
            if state.role is not Role.LEADER:
                return [_refuse_not_leader(state, ticket)]
            return membership.add_peer(state, ticket, peer)
        case PeerRemovalRequested(ticket=ticket, name=name):
            if state.role is not Role.LEADER:
                return [_refuse_not_leader(state, ticket)]
            return membership.remove_peer(state, ticket, name)
        case PeerPromotionRequested(ticket=ticket, name=name):
            if state.role is not Role.LEADER:
                return [_refuse_not_leader(state, ticket)]
            return membership.promote_peer(state, ticket, name)
        case WriteFailed(reason=reason):
            return _stop_after_write_failure(state, reason)
    return []


def bootstrap(state: RaftState, peer: cpb.Peer, now: int) -> Effects:
    """Start a new log with this instance as the only voter.

    Does nothing if there is a log already.
    """
    if not _has_no_log(state):
        return []
    peer.voter = True
    _vote_in_first_term(state)
    command = cpb.Command(membership=cpb.Membership(peers=[peer]))
    return [roles.save_vote(state), *replication.append_command(state, command)]


def restore(state: RaftState, peer: cpb.Peer, backup: bytes) -> Effects:
    """Start a new log from a backup's state, with this instance as the only voter.

    Does nothing if there is a log already.
    """
    if not _has_no_log(state):
        return []
    peer.voter = True
    _vote_in_first_term(state)
    state.machine = load_state_machine(backup)
    state.snapshot = cpb.SnapshotFile(
        last_index=1,
        last_term=1,
        membership=cpb.Membership(peers=[peer]),
        state=state.machine.dump(),
    )
    state.commit_index = state.applied_index = 1
    state.refresh_membership()
    return [roles.save_vote(state), SaveSnapshot(state.snapshot)]


def is_start_interrupted(state: RaftState) -> bool:
    """Return whether a new log was started here, and its first record not stored.

    Only the instance that starts a log votes in the first term, and no other can have
    joined before the first record was stored.
    """
    return (
        not state.last_index and state.term == 1 and state.voted_for == state.identity
    )


def _has_no_log(state: RaftState) -> bool:
    has_any = bool(state.last_index or state.term)
    return not has_any or is_start_interrupted(state)


def _vote_in_first_term(state: RaftState) -> None:
    state.term = 1
    state.voted_for = state.identity


def _handle_message(state: RaftState, message: cpb.RaftMessage, now: int) -> Effects:
    """Handle a Raft message, dropping one for another identity.

    Such a message was meant for an instance that had this address with another data
    folder.
    """
    if message.target != state.identity:
        return []
    source = message.source
    match message.WhichOneof("body"):
        case "append":
            return replication.handle_append_request(state, source, message.append, now)
        case "append_reply":
            return replication.handle_append_reply(
                state, source, message.append_reply, now
            )
        case "vote":
            return elections.handle_vote_request(state, message.vote, now)
        case "vote_reply":
            return elections.handle_vote_reply(state, source, message.vote_reply, now)
        case "snapshot":
            return replication.handle_snapshot_request(
                state, source, message.snapshot, now
            )
        case "snapshot_reply":
            return replication.handle_snapshot_reply(
                state, source, message.snapshot_reply, now
            )
    return []


def _end_batch(state: RaftState, now: int) -> Effects:
    """Commit and confirm what a quorum holds already, then send new records.

    With this instance as the only voter, its own records are a quorum. A leader that is
    no longer a voter steps down once that change is committed.
    """
    if state.role is not Role.LEADER:
        return []
    effects = replication.advance_commit(state) + replication.confirm_reads(state)
    effects += replication.send_appends(state, now)
    if not state.is_voter and state.membership_index <= state.commit_index:
        effects += roles.become_follower(state, state.term, "", now)
    return effects


def _submit_command(
    state: RaftState, ticket: int, command: cpb.Command, wall_ms: int
) -> Effects:
    if state.role is not Role.LEADER:
        return [_refuse_not_leader(state, ticket)]
    _set_command_time(command, wall_ms)
    effects = replication.append_command(state, command)
    state.ticket_by_index[state.last_index] = ticket
    return effects


def _set_command_time(command: cpb.Command, wall_ms: int) -> None:
    """Set the command's time, which is the state machine's only clock."""
    kind = command.WhichOneof("body")
    if kind in _TIMED_COMMANDS:
        getattr(command, kind).at_ms = wall_ms


def _start_read_round(state: RaftState, ticket: int) -> Effects:
    """Start a round in which a quorum has to confirm that this instance still leads."""
    if state.role is not Role.LEADER:
        return [_refuse_not_leader(state, ticket)]
    state.read_round += 1
    state.pending_reads.append(PendingRead(ticket, state.read_round))
    return []


def _refuse_not_leader(state: RaftState, ticket: int) -> RequestRefused:
    return RequestRefused(ticket, "not_leader", state.address_of(state.leader))


def _stop_after_write_failure(state: RaftState, reason: str) -> Effects:
    """Leave the protocol, since the state in memory may not be on the disk."""
    effects = [
        RequestRefused(ticket, "disk_failed", "")
        for ticket in [
            *state.ticket_by_index.values(),
            *(read.ticket for read in state.pending_reads),
        ]
    ]
    state.ticket_by_index.clear()
    state.pending_reads.clear()
    state.role = Role.FAILED
    state.leader = ""
    state.failure = reason
    return [*effects, Log("disk_failed", {"reason": reason})]


def _refuse_after_write_failure(state: RaftState, event: Any) -> Effects:
    ticket = getattr(event, "ticket", None)
    return [] if ticket is None else [RequestRefused(ticket, "disk_failed", "")]


__all__ = ["bootstrap", "is_start_interrupted", "reduce", "restore"]

"""The reducer of the replicated log over all its events."""

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


def reduce(state: RaftState, event: Any, now: int, wall_ms: int = 0) -> Effects:
    """Return the effects of one event.

    now is a steady time and wall_ms the time since the epoch, both in milliseconds.
    """
    if state.role is Role.FAILED:
        return _refuse_failed(state, event)
    match event:
        case RaftMessageReceived(message=message):
            return _received(state, message, now)
        case Tick():
            return elections.tick(state, now) + membership.repair(state, now)
        case BatchEnded():
            return _batch_end(state, now)
        case CommandSubmitted(ticket=ticket, command=command):
            return _submitted(state, ticket, command, wall_ms)
        case ReadRequested(ticket=ticket):
            return _read_asked(state, ticket)
        case PeerJoinRequested(ticket=ticket, peer=peer):
            if state.role is not Role.LEADER:
                return [_not_leader(state, ticket)]
            return membership.add_peer(state, ticket, peer)
        case PeerRemovalRequested(ticket=ticket, name=name):
            if state.role is not Role.LEADER:
                return [_not_leader(state, ticket)]
            return membership.remove_peer(state, ticket, name)
        case PeerPromotionRequested(ticket=ticket, name=name):
            if state.role is not Role.LEADER:
                return [_not_leader(state, ticket)]
            return membership.promote_peer(state, ticket, name)
        case WriteFailed(reason=reason):
            return _write_failed(state, reason)
    return []


def bootstrap(state: RaftState, peer: cpb.Peer, now: int) -> Effects:
    """Start a new log with one voter; does nothing where a log exists."""
    if state.last_index or state.term:
        return []
    peer.voter = True
    state.term = 1
    command = cpb.Command(membership=cpb.Membership(peers=[peer]))
    return [roles.save_vote(state), *replication.append(state, command)]


def restore(state: RaftState, peer: cpb.Peer, backup: bytes) -> Effects:
    """Start a new log from a backup's state; does nothing where a log exists."""
    if state.last_index or state.term:
        return []
    peer.voter = True
    state.term = 1
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


def _received(state: RaftState, message: cpb.RaftMessage, now: int) -> Effects:
    """Handle a message meant for this identity; one for an older one is dropped."""
    if message.target != state.identity:
        return []
    source = message.source
    match message.WhichOneof("body"):
        case "append":
            return replication.append_asked(state, source, message.append, now)
        case "append_reply":
            return replication.append_answered(state, source, message.append_reply, now)
        case "vote":
            return elections.vote_asked(state, message.vote, now)
        case "vote_reply":
            return elections.vote_answered(state, source, message.vote_reply, now)
        case "snapshot":
            return replication.snapshot_asked(state, source, message.snapshot, now)
        case "snapshot_reply":
            return replication.snapshot_answered(
                state, source, message.snapshot_reply, now
            )
    return []


def _batch_end(state: RaftState, now: int) -> Effects:
    """Commit alone where no one else votes, and send what was gathered."""
    if state.role is not Role.LEADER:
        return []
    effects = replication.advance_commit(state) + replication.confirm_reads(state)
    effects += replication.send_appends(state, now)
    if not state.is_voter and state.membership_index <= state.commit_index:
        effects += roles.follow(state, state.term, "", now)
    return effects


def _submitted(
    state: RaftState, ticket: int, command: cpb.Command, wall_ms: int
) -> Effects:
    if state.role is not Role.LEADER:
        return [_not_leader(state, ticket)]
    _stamp(command, wall_ms)
    effects = replication.append(state, command)
    state.ticket_by_index[state.last_index] = ticket
    return effects


def _stamp(command: cpb.Command, wall_ms: int) -> None:
    """Give a command the leader's time, which the state machine goes by."""
    kind = command.WhichOneof("body")
    if kind in ("settings", "permit_acquire", "permit_finish", "lease", "quarantine"):
        getattr(command, kind).at_ms = wall_ms


def _read_asked(state: RaftState, ticket: int) -> Effects:
    """Confirm with a quorum, in a round begun after the read came."""
    if state.role is not Role.LEADER:
        return [_not_leader(state, ticket)]
    state.round += 1
    state.reads.append(PendingRead(ticket, state.round))
    return []


def _not_leader(state: RaftState, ticket: int) -> RequestRefused:
    return RequestRefused(ticket, "not_leader", state.address_of(state.leader))


def _write_failed(state: RaftState, reason: str) -> Effects:
    """Stop taking part: what memory holds may not be on the disk."""
    effects = [
        RequestRefused(ticket, "disk_failed", "")
        for ticket in [
            *state.ticket_by_index.values(),
            *(read.ticket for read in state.reads),
        ]
    ]
    state.ticket_by_index.clear()
    state.reads.clear()
    state.role = Role.FAILED
    state.leader = ""
    state.failure = reason
    return [*effects, Log("disk_failed", {"reason": reason})]


def _refuse_failed(state: RaftState, event: Any) -> Effects:
    ticket = getattr(event, "ticket", None)
    return [] if ticket is None else [RequestRefused(ticket, "disk_failed", "")]


__all__ = ["bootstrap", "reduce", "restore"]

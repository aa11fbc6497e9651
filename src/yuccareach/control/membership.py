"""Changes of the control instances themselves, one at a time."""

from __future__ import annotations

from typing import Any

from yuccareach.control.raft_types import (
    CommandAnswered,
    RaftState,
    RequestRefused,
    Role,
)
from yuccareach.control.replication import append_command
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.logs import Log

Effects = list[Any]
CAUGHT_UP_RECORDS = 64
# Several heartbeats; a voter silent for longer gives way to one that stands by.
SILENT_AFTER_MS = 1_500


def change_pending(state: RaftState) -> bool:
    """Return whether a change cannot start yet.

    The newest membership must be committed, and so must a record of this term.
    """
    return (
        state.membership_index > state.commit_index
        or state.term_at(state.commit_index) != state.term
    )


def add_peer(state: RaftState, ticket: int, peer: cpb.Peer) -> Effects:
    """Let an instance join as a non-voter; a known one is left as it is."""
    if any(known.identity == peer.identity for known in state.membership.peers):
        return [CommandAnswered(ticket, cpb.CommandAnswer())]
    joined = cpb.Peer()
    joined.CopyFrom(peer)
    joined.voter = False
    learners_kept = [
        known
        for known in state.membership.peers
        if known.voter or known.name != peer.name
    ]
    return _change(state, ticket, [*learners_kept, joined])


def remove_peer(state: RaftState, ticket: int, name: str) -> Effects:
    """Take an instance out by name."""
    peers = list(state.membership.peers)
    removed = [peer for peer in peers if name in (peer.name, peer.identity)]
    if not removed:
        return [RequestRefused(ticket, f"no member is named {name}", "")]
    if len(removed) > 1:
        return [RequestRefused(ticket, f"{name} is ambiguous, give its identity", "")]
    kept = [peer for peer in peers if peer is not removed[0]]
    if not any(peer.voter for peer in kept):
        return [RequestRefused(ticket, "the last voter cannot be removed", "")]
    return _change(state, ticket, kept)


def promote_peer(state: RaftState, ticket: int, name: str) -> Effects:
    """Make a caught-up non-voter a voter."""
    learner = next(
        (
            peer
            for peer in state.membership.peers
            if not peer.voter and name in (peer.name, peer.identity)
        ),
        None,
    )
    if learner is None:
        return [RequestRefused(ticket, f"no non-voter is named {name}", "")]
    if not _caught_up(state, learner):
        return [RequestRefused(ticket, f"{name} has not caught up", "")]
    return _change(state, ticket, _promoted(state, learner))


def repair(state: RaftState, now: int) -> Effects:
    """Replace a lost voter by a caught-up instance, or remove one too many.

    An instance that took a voter's name replaces that voter. Where a number of voters
    is wanted, others stand by until a voter is lost or missing.
    """
    if state.role is not Role.LEADER or change_pending(state):
        return []
    silent = _silent_voters(state, now)
    voters = [peer for peer in state.membership.peers if peer.voter]
    if state.target_voter_count and len(voters) > state.target_voter_count and silent:
        return _change(state, 0, _without(state, silent[0]))
    caught_up = [
        peer
        for peer in state.membership.peers
        if not peer.voter
        and not peer.volatile
        and _caught_up(state, peer)
        and _heard(state, peer, now)
    ]
    for learner in caught_up:
        namesakes = [peer for peer in voters if peer.name == learner.name]
        if namesakes:
            return _change(state, 0, _without(state, namesakes[0]))
    if not caught_up:
        return []
    if not state.target_voter_count or len(voters) < state.target_voter_count:
        return _change(state, 0, _promoted(state, caught_up[0]))
    if silent:
        return _change(state, 0, _without(state, silent[0]))
    return []


def _silent_voters(state: RaftState, now: int) -> list[cpb.Peer]:
    return [
        peer
        for peer in state.membership.peers
        if peer.voter
        and peer.identity != state.identity
        and not _heard(state, peer, now)
    ]


def _heard(state: RaftState, peer: cpb.Peer, now: int) -> bool:
    """Return whether a peer has answered lately."""
    progress = state.progress_by_peer.get(peer.identity)
    return progress is not None and now - progress.last_contact_ms < SILENT_AFTER_MS


def _without(state: RaftState, removed: cpb.Peer) -> list[cpb.Peer]:
    return [peer for peer in state.membership.peers if peer is not removed]


def _caught_up(state: RaftState, peer: cpb.Peer) -> bool:
    progress = state.progress_by_peer.get(peer.identity)
    if progress is None:
        return False
    return progress.match_index + CAUGHT_UP_RECORDS >= state.last_index > 0 and (
        progress.match_index > 0
    )


def _promoted(state: RaftState, learner: cpb.Peer) -> list[cpb.Peer]:
    voter = cpb.Peer()
    voter.CopyFrom(learner)
    voter.voter = True
    return [peer if peer is not learner else voter for peer in state.membership.peers]


def _change(state: RaftState, ticket: int, peers: list[cpb.Peer]) -> Effects:
    if change_pending(state):
        return [RequestRefused(ticket, "another change of members is in progress", "")]
    command = cpb.Command(membership=cpb.Membership(peers=peers))
    effects = append_command(state, command)
    if ticket:
        state.ticket_by_index[state.last_index] = ticket
    names = ",".join(
        f"{peer.identity}{'' if peer.voter else '(non-voter)'}" for peer in peers
    )
    return [*effects, Log("members_changed", {"members": names})]


__all__ = ["add_peer", "change_pending", "promote_peer", "remove_peer", "repair"]

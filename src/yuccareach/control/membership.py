"""Membership changes of the Raft group of control instances, one at a time."""

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
# A non-voter that lags by no more than this many records can be promoted.
MAX_PROMOTION_LAG_RECORDS = 64
# Several heartbeat intervals; a voter without contact for longer can be replaced.
CONTACT_TIMEOUT_MS = 1_500


def is_change_pending(state: RaftState) -> bool:
    """Return whether a new change has to wait.

    It may start once the newest membership and a record of this term are committed.
    """
    return (
        state.membership_index > state.commit_index
        or state.term_at(state.commit_index) != state.term
    )


def add_peer(state: RaftState, ticket: int, peer: cpb.Peer) -> Effects:
    """Add an instance as a non-voter, in the place of a non-voter of its name.

    An instance that is a member already is left unchanged.
    """
    if any(member.identity == peer.identity for member in state.membership.peers):
        return [CommandAnswered(ticket, cpb.CommandAnswer())]
    non_voter = cpb.Peer()
    non_voter.CopyFrom(peer)
    non_voter.voter = False
    remaining = [
        member
        for member in state.membership.peers
        if member.voter or member.name != peer.name
    ]
    return _propose_membership(state, ticket, [*remaining, non_voter])


def remove_peer(state: RaftState, ticket: int, name: str) -> Effects:
    """Remove an instance by its name or identity."""
    peers = list(state.membership.peers)
    removed = [peer for peer in peers if name in (peer.name, peer.identity)]
    if not removed:
        return [RequestRefused(ticket, f"no member is named {name}", "")]
    if len(removed) > 1:
        return [
            RequestRefused(
                ticket, f"several members are named {name}, give the identity", ""
            )
        ]
    remaining = [peer for peer in peers if peer is not removed[0]]
    if not any(peer.voter for peer in remaining):
        return [RequestRefused(ticket, "the last voter cannot be removed", "")]
    return _propose_membership(state, ticket, remaining)


def promote_peer(state: RaftState, ticket: int, name: str) -> Effects:
    """Make a caught-up non-voter a voter, by its name or identity."""
    non_voter = next(
        (
            peer
            for peer in state.membership.peers
            if not peer.voter and name in (peer.name, peer.identity)
        ),
        None,
    )
    if non_voter is None:
        return [RequestRefused(ticket, f"no non-voter is named {name}", "")]
    if not _is_caught_up(state, non_voter):
        return [RequestRefused(ticket, f"{name} has not caught up with the log", "")]
    return _propose_membership(state, ticket, _peers_with_promoted(state, non_voter))


def reconcile_voters(state: RaftState, now: int) -> Effects:
    """Propose the next change that brings the set of voters to its target, if any.

    A voter is replaced in two changes: it is removed, then a non-voter is promoted. A
    caught-up non-voter with a voter's name replaces that voter. If there is a target
    count of voters, other non-voters are promoted only while voters are missing, and an
    unresponsive voter is removed only if there is a surplus or a caught-up non-voter to
    replace it.
    """
    if state.role is not Role.LEADER or is_change_pending(state):
        return []
    unresponsive = _unresponsive_voters(state, now)
    voters = [peer for peer in state.membership.peers if peer.voter]
    if (
        state.target_voter_count
        and len(voters) > state.target_voter_count
        and unresponsive
    ):
        return _propose_membership(state, 0, _peers_without(state, unresponsive[0]))
    ready_non_voters = [
        peer
        for peer in state.membership.peers
        if not peer.voter
        and not peer.volatile
        and _is_caught_up(state, peer)
        and _is_responsive(state, peer, now)
    ]
    for non_voter in ready_non_voters:
        same_name_voters = [peer for peer in voters if peer.name == non_voter.name]
        if same_name_voters:
            return _propose_membership(
                state, 0, _peers_without(state, same_name_voters[0])
            )
    if not ready_non_voters:
        return []
    if not state.target_voter_count or len(voters) < state.target_voter_count:
        return _propose_membership(
            state, 0, _peers_with_promoted(state, ready_non_voters[0])
        )
    if unresponsive:
        return _propose_membership(state, 0, _peers_without(state, unresponsive[0]))
    return []


def _unresponsive_voters(state: RaftState, now: int) -> list[cpb.Peer]:
    return [
        peer
        for peer in state.membership.peers
        if peer.voter
        and peer.identity != state.identity
        and not _is_responsive(state, peer, now)
    ]


def _is_responsive(state: RaftState, peer: cpb.Peer, now: int) -> bool:
    """Return whether a peer has replied within the contact timeout."""
    progress = state.progress_by_peer.get(peer.identity)
    return progress is not None and now - progress.last_contact_ms < CONTACT_TIMEOUT_MS


def _peers_without(state: RaftState, removed: cpb.Peer) -> list[cpb.Peer]:
    return [peer for peer in state.membership.peers if peer is not removed]


def _is_caught_up(state: RaftState, peer: cpb.Peer) -> bool:
    progress = state.progress_by_peer.get(peer.identity)
    if progress is None:
        return False
    return (
        progress.match_index + MAX_PROMOTION_LAG_RECORDS >= state.last_index > 0
        and (progress.match_index > 0)
    )


def _peers_with_promoted(state: RaftState, non_voter: cpb.Peer) -> list[cpb.Peer]:
    voter = cpb.Peer()
    voter.CopyFrom(non_voter)
    voter.voter = True
    return [peer if peer is not non_voter else voter for peer in state.membership.peers]


def _propose_membership(
    state: RaftState, ticket: int, peers: list[cpb.Peer]
) -> Effects:
    if is_change_pending(state):
        return [RequestRefused(ticket, "another membership change is in progress", "")]
    command = cpb.Command(membership=cpb.Membership(peers=peers))
    effects = append_command(state, command)
    if ticket:
        state.ticket_by_index[state.last_index] = ticket
    names = ",".join(
        f"{peer.identity}{'' if peer.voter else '(non-voter)'}" for peer in peers
    )
    return [*effects, Log("members_changed", {"members": names})]


__all__ = [
    "add_peer",
    "is_change_pending",
    "promote_peer",
    "reconcile_voters",
    "remove_peer",
]

"""Helpers of all Raft roles: quorum, messages, votes, and the step to follower."""

from __future__ import annotations

from typing import Any

from yuccareach.control.raft_types import (
    ELECTION_JITTER_MS,
    ELECTION_TIMEOUT_MS,
    RaftState,
    RequestRefused,
    Role,
    SaveHardState,
    SendMessage,
)
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.logs import Log

Effects = list[Any]


def is_quorum(state: RaftState, count: int) -> bool:
    """Return whether a count of voters is a majority of all voters."""
    return count * 2 > len(state.voter_identities)


def send_message(state: RaftState, target: str, **body: Any) -> SendMessage:
    """Return the effect that sends a Raft message to another instance."""
    return SendMessage(cpb.RaftMessage(source=state.identity, target=target, **body))


def save_vote(state: RaftState) -> SaveHardState:
    """Return the effect that stores the current term and vote."""
    return SaveHardState(
        cpb.HardState(
            identity=state.identity, term=state.term, voted_for=state.voted_for
        )
    )


def reset_election_timer(state: RaftState, now: int) -> None:
    """Restart the election timeout with a new random length."""
    timeout_ms = ELECTION_TIMEOUT_MS + state.random.randrange(ELECTION_JITTER_MS)
    state.election_due_ms = now + timeout_ms


def become_follower(state: RaftState, term: int, leader: str, now: int) -> Effects:
    """Become a follower, moving to the given term if it is newer.

    leader is the identity of the leader, or empty if it is unknown.
    """
    effects: Effects = []
    if term > state.term:
        state.term = term
        state.voted_for = ""
        effects.append(save_vote(state))
    if state.role is Role.LEADER:
        effects += _refuse_pending_requests(state)
        effects.append(Log("leader_stepped_down", {"term": state.term}))
    state.role = Role.FOLLOWER
    state.leader = leader
    if leader:
        state.last_leader_contact_ms = now
    reset_election_timer(state, now)
    return effects


def _refuse_pending_requests(state: RaftState) -> Effects:
    """Refuse all waiting requests; a later leader may still commit the commands."""
    tickets = [
        *state.ticket_by_index.values(),
        *(read.ticket for read in state.pending_reads),
    ]
    state.ticket_by_index.clear()
    state.pending_reads.clear()
    return [RequestRefused(ticket, "lost_leadership", "") for ticket in tickets]


__all__ = [
    "become_follower",
    "is_quorum",
    "reset_election_timer",
    "save_vote",
    "send_message",
]

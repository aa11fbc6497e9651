"""Roles of control instances and what every change of role involves."""

from __future__ import annotations

from typing import Any

from yuccareach.control.raft_types import (
    ELECTION_SPREAD_MS,
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


def quorum(state: RaftState, count: int) -> bool:
    """Return whether a number of voters is a majority."""
    return count * 2 > len(state.voters)


def message(state: RaftState, target: str, **body: Any) -> SendMessage:
    """Address a message to another instance."""
    return SendMessage(cpb.RaftMessage(source=state.identity, target=target, **body))


def save_vote(state: RaftState) -> SaveHardState:
    """Return the effect that stores the current term and vote."""
    return SaveHardState(
        cpb.HardState(
            identity=state.identity, term=state.term, voted_for=state.voted_for
        )
    )


def delay_election(state: RaftState, now: int) -> None:
    """Wait a new random time before the next election."""
    wait = ELECTION_TIMEOUT_MS + state.random.randrange(ELECTION_SPREAD_MS)
    state.election_due_ms = now + wait


def follow(state: RaftState, term: int, leader: str, now: int) -> Effects:
    """Become a follower, in a newer term if it is one."""
    effects: Effects = []
    if term > state.term:
        state.term = term
        state.voted_for = ""
        effects.append(save_vote(state))
    if state.role is Role.LEADER:
        effects += _refuse_waiting(state)
        effects.append(Log("leader_stepped_down", {"term": state.term}))
    state.role = Role.FOLLOWER
    state.leader = leader
    if leader:
        state.leader_heard_ms = now
    delay_election(state, now)
    return effects


def _refuse_waiting(state: RaftState) -> Effects:
    """Tell callers that their command's fate is not known here any more."""
    tickets = [*state.ticket_by_index.values(), *(read.ticket for read in state.reads)]
    state.ticket_by_index.clear()
    state.reads.clear()
    return [RequestRefused(ticket, "lost_leadership", "") for ticket in tickets]


__all__ = ["delay_election", "follow", "message", "quorum", "save_vote"]

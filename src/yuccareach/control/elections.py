"""Elections with pre-vote, and check-quorum for the leader."""

from __future__ import annotations

from typing import Any

from yuccareach.control.raft_types import (
    ELECTION_TIMEOUT_MS,
    Progress,
    RaftState,
    Role,
)
from yuccareach.control.replication import append
from yuccareach.control.roles import (
    delay_election,
    follow,
    message,
    quorum,
    save_vote,
)
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.logs import Log

Effects = list[Any]


def tick(state: RaftState, now: int) -> Effects:
    """Start an election when due; a leader without a quorum steps down."""
    if state.role is Role.LEADER:
        return _check_quorum(state, now)
    if now < state.election_due_ms or not state.is_voter:
        return []
    return _start_pre_vote(state, now)


def _check_quorum(state: RaftState, now: int) -> Effects:
    heard = sum(
        identity == state.identity
        or now - state.progress_by_peer[identity].heard_ms < ELECTION_TIMEOUT_MS
        for identity in state.voters
        if identity == state.identity or identity in state.progress_by_peer
    )
    if quorum(state, heard):
        return []
    return follow(state, state.term, "", now)


def _start_pre_vote(state: RaftState, now: int) -> Effects:
    """Ask whether an election could be won, without disturbing the term."""
    delay_election(state, now)
    state.role = Role.PRE_CANDIDATE
    state.leader = ""
    state.votes = {state.identity}
    if quorum(state, 1):
        return _start_election(state, now)
    return _ask_votes(state, state.term + 1, pre_vote=True)


def _start_election(state: RaftState, now: int) -> Effects:
    state.term += 1
    state.voted_for = state.identity
    state.role = Role.CANDIDATE
    state.votes = {state.identity}
    delay_election(state, now)
    effects: Effects = [save_vote(state)]
    if quorum(state, 1):
        return effects + _lead(state, now)
    return effects + _ask_votes(state, state.term, pre_vote=False)


def _ask_votes(state: RaftState, term: int, *, pre_vote: bool) -> Effects:
    request = cpb.VoteRequest(
        term=term,
        candidate=state.identity,
        last_index=state.last_index,
        last_term=state.term_at(state.last_index) or 0,
        pre_vote=pre_vote,
    )
    return [
        message(state, peer, vote=request)
        for peer in state.others
        if peer in state.voters
    ]


def vote_asked(state: RaftState, request: cpb.VoteRequest, now: int) -> Effects:
    """Answer a vote; one who hears a leader helps no one to replace it."""
    hears_leader = (
        state.role is Role.LEADER
        or bool(state.leader)
        and now - state.leader_heard_ms < ELECTION_TIMEOUT_MS
    )
    if hears_leader:
        return []
    effects: Effects = []
    if request.term > state.term and not request.pre_vote:
        effects += follow(state, request.term, "", now)
    own_last = (state.term_at(state.last_index) or 0, state.last_index)
    current = (request.last_term, request.last_index) >= own_last
    if request.pre_vote:
        granted = current and request.term > state.term
    else:
        free = state.voted_for in ("", request.candidate)
        granted = current and free and request.term == state.term
        if granted:
            state.voted_for = request.candidate
            delay_election(state, now)
            effects.append(save_vote(state))
    reply = cpb.VoteReply(
        term=request.term if granted else state.term,
        granted=granted,
        pre_vote=request.pre_vote,
    )
    return [*effects, message(state, request.candidate, vote_reply=reply)]


def vote_answered(
    state: RaftState, source: str, reply: cpb.VoteReply, now: int
) -> Effects:
    """Count a vote and go on to the election or to leading."""
    if not reply.granted:
        return follow(state, reply.term, "", now) if reply.term > state.term else []
    wanted = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
    wanted_term = state.term + 1 if reply.pre_vote else state.term
    if state.role is not wanted or reply.term != wanted_term:
        return []
    if source not in state.voters:
        return []
    state.votes.add(source)
    if not quorum(state, len(state.votes & set(state.voters))):
        return []
    return _start_election(state, now) if reply.pre_vote else _lead(state, now)


def _lead(state: RaftState, now: int) -> Effects:
    """Take over as leader; the first record commits what earlier terms left."""
    state.role = Role.LEADER
    state.leader = state.identity
    state.heartbeat_due_ms = now
    state.progress_by_peer = {
        peer: Progress(state.last_index + 1, now) for peer in state.others
    }
    fields = {"term": state.term, "identity": state.identity}
    return [Log("leader_elected", fields), *append(state, cpb.Command(noop=True))]


__all__ = ["tick", "vote_answered", "vote_asked"]

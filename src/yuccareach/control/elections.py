"""Raft elections with pre-vote, and check-quorum for the leader."""

from __future__ import annotations

from typing import Any

from yuccareach.control.raft_types import (
    ELECTION_TIMEOUT_MS,
    Progress,
    RaftState,
    Role,
)
from yuccareach.control.replication import append_command
from yuccareach.control.roles import (
    become_follower,
    is_quorum,
    reset_election_timer,
    save_vote,
    send_message,
)
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.logs import Log

Effects = list[Any]


def tick(state: RaftState, now: int) -> Effects:
    """Start an election when it is due, or step down as a leader without a quorum.

    An instance without a vote only forgets the leader, so that it sends nobody there.
    """
    if state.role is Role.LEADER:
        return _check_quorum(state, now)
    if now < state.election_due_ms:
        return []
    if not state.is_voter:
        state.leader = ""
        return []
    return _start_pre_vote(state, now)


def _check_quorum(state: RaftState, now: int) -> Effects:
    """Step down unless a quorum has replied within the election timeout."""
    responding = sum(
        identity == state.identity
        or now - state.progress_by_peer[identity].last_contact_ms < ELECTION_TIMEOUT_MS
        for identity in state.voter_identities
        if identity == state.identity or identity in state.progress_by_peer
    )
    if is_quorum(state, responding):
        return []
    return become_follower(state, state.term, "", now)


def _start_pre_vote(state: RaftState, now: int) -> Effects:
    """Request pre-votes for the next term, without moving to that term yet.

    An instance that could not win thus forces no new term on the others.
    """
    reset_election_timer(state, now)
    state.role = Role.PRE_CANDIDATE
    state.leader = ""
    state.votes = {state.identity}
    if is_quorum(state, 1):
        return _start_election(state, now)
    return _request_votes(state, state.term + 1, pre_vote=True)


def _start_election(state: RaftState, now: int) -> Effects:
    state.term += 1
    state.voted_for = state.identity
    state.role = Role.CANDIDATE
    state.votes = {state.identity}
    reset_election_timer(state, now)
    effects: Effects = [save_vote(state)]
    if is_quorum(state, 1):
        return effects + _become_leader(state, now)
    return effects + _request_votes(state, state.term, pre_vote=False)


def _request_votes(state: RaftState, term: int, *, pre_vote: bool) -> Effects:
    request = cpb.VoteRequest(
        term=term,
        candidate=state.identity,
        last_index=state.last_index,
        last_term=state.term_at(state.last_index) or 0,
        pre_vote=pre_vote,
    )
    return [
        send_message(state, peer, vote=request)
        for peer in state.other_identities
        if peer in state.voter_identities
    ]


def handle_vote_request(
    state: RaftState, request: cpb.VoteRequest, now: int
) -> Effects:
    """Answer a vote request, or ignore it while a leader is in contact."""
    has_leader = (
        state.role is Role.LEADER
        or bool(state.leader)
        and now - state.last_leader_contact_ms < ELECTION_TIMEOUT_MS
    )
    if has_leader:
        return []
    effects: Effects = []
    if request.term > state.term and not request.pre_vote:
        effects += become_follower(state, request.term, "", now)
    own_last = (state.term_at(state.last_index) or 0, state.last_index)
    log_is_current = (request.last_term, request.last_index) >= own_last
    if request.pre_vote:
        granted = log_is_current and request.term > state.term
    else:
        can_vote = state.voted_for in ("", request.candidate)
        granted = log_is_current and can_vote and request.term == state.term
        if granted:
            state.voted_for = request.candidate
            reset_election_timer(state, now)
            effects.append(save_vote(state))
    reply = cpb.VoteReply(
        term=request.term if granted else state.term,
        granted=granted,
        pre_vote=request.pre_vote,
    )
    return [*effects, send_message(state, request.candidate, vote_reply=reply)]


def handle_vote_reply(
    state: RaftState, source: str, reply: cpb.VoteReply, now: int
) -> Effects:
    """Count a vote; with a quorum, start the election or become leader."""
    if not reply.granted:
        return (
            become_follower(state, reply.term, "", now)
            if reply.term > state.term
            else []
        )
    expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
    expected_term = state.term + 1 if reply.pre_vote else state.term
    if state.role is not expected_role or reply.term != expected_term:
        return []
    if source not in state.voter_identities:
        return []
    state.votes.add(source)
    if not is_quorum(state, len(state.votes & set(state.voter_identities))):
        return []
    return _start_election(state, now) if reply.pre_vote else _become_leader(state, now)


def _become_leader(state: RaftState, now: int) -> Effects:
    """Become leader and append a no-op record.

    Records of earlier terms are committed only along with a record of this term.
    """
    state.role = Role.LEADER
    state.leader = state.identity
    state.heartbeat_due_ms = now
    state.progress_by_peer = {
        peer: Progress(state.last_index + 1, now) for peer in state.other_identities
    }
    fields = {"term": state.term, "identity": state.identity}
    return [
        Log("leader_elected", fields),
        *append_command(state, cpb.Command(noop=True)),
    ]


__all__ = ["handle_vote_reply", "handle_vote_request", "tick"]

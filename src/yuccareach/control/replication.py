"""Copying the log to followers, committing it, and snapshots."""

from __future__ import annotations

from typing import Any

from yuccareach.control.raft_types import (
    APPENDS_IN_FLIGHT,
    HEARTBEAT_INTERVAL_MS,
    RESEND_AFTER_MS,
    SNAPSHOT_CHUNK_BYTES,
    AppendRecords,
    CommandAnswered,
    Progress,
    RaftState,
    ReadConfirmed,
    RecordsApplied,
    Role,
    SaveSnapshot,
)
from yuccareach.control.roles import follow, message, quorum
from yuccareach.control.state_machine import load_state_machine
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.logs import Log

Effects = list[Any]


def append(state: RaftState, command: cpb.Command) -> Effects:
    """Add a command to the leader's log."""
    record = cpb.LogRecord(index=state.last_index + 1, term=state.term, command=command)
    state.records.append(record)
    if command.WhichOneof("body") == "membership":
        state.refresh_membership()
    return [AppendRecords([record])]


def send_appends(state: RaftState, now: int) -> Effects:
    """Send each follower what it lacks, or a heartbeat when one is due."""
    if state.role is not Role.LEADER:
        return []
    heartbeat = now >= state.heartbeat_due_ms
    if heartbeat:
        state.heartbeat_due_ms = now + HEARTBEAT_INTERVAL_MS
    effects: Effects = []
    for peer in state.others:
        progress = state.progress_by_peer.setdefault(
            peer, Progress(state.last_index + 1, now)
        )
        effects += _send_to(state, peer, progress, heartbeat, now)
    return effects


def _send_to(
    state: RaftState, peer: str, progress: Progress, heartbeat: bool, now: int
) -> Effects:
    if progress.in_flight and now - progress.sent_ms > RESEND_AFTER_MS:
        progress.in_flight = 0
        progress.next_index = progress.match_index + 1
        progress.snapshot_offset = None
    if progress.next_index <= state.snapshot.last_index:
        return _send_snapshot(state, peer, progress, heartbeat, now)
    effects: Effects = []
    while (
        progress.next_index <= state.last_index
        and progress.in_flight < APPENDS_IN_FLIGHT
    ):
        records = state.records_from(progress.next_index)
        effects.append(_append_message(state, peer, progress.next_index, records))
        progress.next_index += len(records)
        progress.in_flight += 1
        progress.sent_ms = now
    if effects or not (heartbeat or _round_pending(state, progress)):
        return effects
    return [_append_message(state, peer, progress.next_index, [])]


def _round_pending(state: RaftState, progress: Progress) -> bool:
    """Return whether a read waits for this follower to confirm a round."""
    return bool(state.reads) and progress.round < state.round


def _append_message(
    state: RaftState, peer: str, index: int, records: list[cpb.LogRecord]
) -> Any:
    request = cpb.AppendRequest(
        term=state.term,
        previous_index=index - 1,
        previous_term=state.term_at(index - 1) or 0,
        records=records,
        commit_index=state.commit_index,
        round=state.round,
    )
    return message(state, peer, append=request)


def _send_snapshot(
    state: RaftState, peer: str, progress: Progress, heartbeat: bool, now: int
) -> Effects:
    """Send the next chunk of the snapshot; one chunk is in flight at a time."""
    if progress.snapshot_offset is not None and progress.in_flight and not heartbeat:
        return []
    offset = progress.snapshot_offset or 0
    data = state.snapshot.state
    request = cpb.SnapshotRequest(
        term=state.term,
        last_index=state.snapshot.last_index,
        last_term=state.snapshot.last_term,
        offset=offset,
        total=len(data),
        data=data[offset : offset + SNAPSHOT_CHUNK_BYTES],
        membership=state.snapshot.membership,
        round=state.round,
    )
    progress.snapshot_offset = offset
    progress.in_flight = 1
    progress.sent_ms = now
    return [message(state, peer, snapshot=request)]


def append_asked(
    state: RaftState, source: str, request: cpb.AppendRequest, now: int
) -> Effects:
    """Store what the leader sent, after checking that it continues the log."""
    if request.term < state.term:
        reply = cpb.AppendReply(term=state.term, round=request.round)
        return [message(state, source, append_reply=reply)]
    effects = follow(state, request.term, source, now)
    known = state.term_at(request.previous_index)
    if request.previous_index < state.snapshot.last_index:
        # All up to the snapshot is committed, so it agrees with the leader's log.
        known = request.previous_term
    if known is None or known != request.previous_term:
        reply = cpb.AppendReply(
            term=state.term,
            hint_index=_hint(state, request.previous_index),
            round=request.round,
        )
        return [*effects, message(state, source, append_reply=reply)]
    effects += _store(state, list(request.records))
    match_index = request.previous_index + len(request.records)
    effects += commit(state, min(request.commit_index, match_index))
    reply = cpb.AppendReply(
        term=state.term, success=True, match_index=match_index, round=request.round
    )
    return [*effects, message(state, source, append_reply=reply)]


def _hint(state: RaftState, previous_index: int) -> int:
    """Return where the leader should try next."""
    if previous_index > state.last_index:
        return state.last_index + 1
    conflicting = state.term_at(previous_index)
    index = previous_index
    while index > state.commit_index + 1 and state.term_at(index - 1) == conflicting:
        index -= 1
    return max(index, state.commit_index + 1)


def _store(state: RaftState, records: list[cpb.LogRecord]) -> Effects:
    """Add records that are new; a conflict replaces everything after it."""
    fresh = list(records)
    while fresh and (
        fresh[0].index <= state.snapshot.last_index
        or state.term_at(fresh[0].index) == fresh[0].term
    ):
        fresh.pop(0)
    if not fresh:
        return []
    keep = fresh[0].index - state.snapshot.last_index - 1
    del state.records[keep:]
    state.records += fresh
    state.refresh_membership()
    return [AppendRecords(fresh)]


def append_answered(
    state: RaftState, source: str, reply: cpb.AppendReply, now: int
) -> Effects:
    """Note how far a follower has come and commit what a quorum holds."""
    if reply.term > state.term:
        return follow(state, reply.term, "", now)
    progress = state.progress_by_peer.get(source)
    if state.role is not Role.LEADER or progress is None or reply.term < state.term:
        return []
    progress.heard_ms = now
    progress.round = max(progress.round, reply.round)
    progress.in_flight = max(0, progress.in_flight - 1)
    if reply.success:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
    elif reply.hint_index:
        progress.in_flight = 0
        progress.next_index = max(progress.match_index + 1, reply.hint_index)
    return advance_commit(state) + confirm_reads(state)


def advance_commit(state: RaftState) -> Effects:
    """Commit the newest record of this term that a quorum holds."""
    matched = sorted(
        (
            state.last_index
            if identity == state.identity
            else state.progress_by_peer[identity].match_index
        )
        for identity in state.voters
        if identity == state.identity or identity in state.progress_by_peer
    )
    missing = len(state.voters) - len(matched)
    matched = [0] * missing + matched
    if not matched:
        return []
    index = matched[(len(matched) - 1) // 2]
    if index <= state.commit_index or state.term_at(index) != state.term:
        return []
    return commit(state, index)


def commit(state: RaftState, index: int) -> Effects:
    """Apply records up to an index and answer their callers."""
    effects: Effects = []
    already_applied = state.applied_index
    state.commit_index = max(state.commit_index, index)
    while state.applied_index < min(state.commit_index, state.last_index):
        state.applied_index += 1
        offset = state.applied_index - state.snapshot.last_index - 1
        answer = state.machine.apply(state.records[offset].command)
        ticket = state.ticket_by_index.pop(state.applied_index, None)
        if ticket is not None:
            effects.append(CommandAnswered(ticket, answer))
    if state.applied_index == already_applied:
        return []
    effects.append(RecordsApplied(state.applied_index, state.machine.revision))
    return effects + compact(state)


def compact(state: RaftState, *, force: bool = False) -> Effects:
    """Replace a long log by a snapshot of the state that it led to."""
    applied = state.applied_index - state.snapshot.last_index
    if applied < (1 if force else state.snapshot_every):
        return []
    membership = _membership_at(state, state.applied_index)
    snapshot = cpb.SnapshotFile(
        last_index=state.applied_index,
        last_term=state.term_at(state.applied_index) or 0,
        membership=membership,
        state=state.machine.dump(),
    )
    del state.records[:applied]
    state.snapshot = snapshot
    state.refresh_membership()
    for progress in state.progress_by_peer.values():
        progress.snapshot_offset = None
    fields = {"index": snapshot.last_index, "bytes": len(snapshot.state)}
    return [SaveSnapshot(snapshot), Log("snapshot_saved", fields)]


def _membership_at(state: RaftState, index: int) -> cpb.Membership:
    """Return the membership as of a record."""
    end = index - state.snapshot.last_index
    for record in reversed(state.records[:end]):
        if record.command.WhichOneof("body") == "membership":
            return record.command.membership
    return state.snapshot.membership


def snapshot_asked(
    state: RaftState, source: str, request: cpb.SnapshotRequest, now: int
) -> Effects:
    """Gather a snapshot's chunks and install it when it is whole."""
    if request.term < state.term:
        reply = cpb.SnapshotReply(term=state.term, round=request.round)
        return [message(state, source, snapshot_reply=reply)]
    effects = follow(state, request.term, source, now)
    if request.offset == 0 or request.last_index != state.incoming_index:
        # Chunks of two snapshots must never be joined.
        state.incoming_snapshot = bytearray()
        state.incoming_index = request.last_index
    if request.offset == len(state.incoming_snapshot):
        state.incoming_snapshot += request.data
    whole = len(state.incoming_snapshot) == request.total
    if whole and request.last_index > state.commit_index:
        effects += _install(state, request)
    held = max(state.commit_index, state.snapshot.last_index)
    reply = cpb.SnapshotReply(
        term=state.term,
        next_offset=len(state.incoming_snapshot),
        last_index=held if held >= request.last_index else 0,
        round=request.round,
    )
    return [*effects, message(state, source, snapshot_reply=reply)]


def _install(state: RaftState, request: cpb.SnapshotRequest) -> Effects:
    """Take a snapshot over, keeping the records after it that agree with it.

    They may have been acknowledged, if the snapshot arrives late.
    """
    rest: list[cpb.LogRecord] = []
    if state.term_at(request.last_index) == request.last_term:
        rest = state.records[request.last_index - state.snapshot.last_index :]
    state.snapshot = cpb.SnapshotFile(
        last_index=request.last_index,
        last_term=request.last_term,
        membership=request.membership,
        state=bytes(state.incoming_snapshot),
    )
    state.records = rest
    state.commit_index = state.applied_index = request.last_index
    state.machine = load_state_machine(state.snapshot.state)
    state.refresh_membership()
    return [
        SaveSnapshot(state.snapshot),
        RecordsApplied(state.applied_index, state.machine.revision),
        Log("snapshot_installed", {"index": request.last_index}),
    ]


def snapshot_answered(
    state: RaftState, source: str, reply: cpb.SnapshotReply, now: int
) -> Effects:
    """Go on with the next chunk, or with records once the snapshot is in."""
    if reply.term > state.term:
        return follow(state, reply.term, "", now)
    progress = state.progress_by_peer.get(source)
    if state.role is not Role.LEADER or progress is None or reply.term < state.term:
        return []
    progress.heard_ms = now
    progress.round = max(progress.round, reply.round)
    progress.in_flight = 0
    if reply.last_index:
        progress.match_index = max(progress.match_index, reply.last_index)
        progress.next_index = progress.match_index + 1
        progress.snapshot_offset = None
    else:
        progress.snapshot_offset = reply.next_offset
    return advance_commit(state) + confirm_reads(state)


def confirm_reads(state: RaftState) -> Effects:
    """Serve the reads whose round a quorum has answered."""
    if not state.reads or state.term_at(state.commit_index) != state.term:
        return []
    confirmed = [
        read
        for read in state.reads
        if quorum(
            state,
            sum(
                identity == state.identity
                or identity in state.progress_by_peer
                and state.progress_by_peer[identity].round >= read.round
                for identity in state.voters
            ),
        )
    ]
    state.reads = [read for read in state.reads if read not in confirmed]
    return [ReadConfirmed(read.ticket) for read in confirmed]


__all__ = [
    "advance_commit",
    "append",
    "append_answered",
    "append_asked",
    "compact",
    "confirm_reads",
    "send_appends",
    "snapshot_answered",
    "snapshot_asked",
]

"""Log replication to the followers, commits, confirmed reads, and snapshots."""

from __future__ import annotations

from typing import Any

from yuccareach.control.raft_types import (
    HEARTBEAT_INTERVAL_MS,
    MAX_APPENDS_IN_FLIGHT,
    RESEND_TIMEOUT_MS,
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
from yuccareach.control.roles import become_follower, is_quorum, send_message
from yuccareach.control.state_machine import load_state_machine
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.logs import Log

Effects = list[Any]


def append_command(state: RaftState, command: cpb.Command) -> Effects:
    """Append a command to the leader's log."""
    record = cpb.LogRecord(index=state.last_index + 1, term=state.term, command=command)
    state.records.append(record)
    if command.WhichOneof("body") == "membership":
        state.refresh_membership()
    return [AppendRecords([record])]


def send_appends(state: RaftState, now: int) -> Effects:
    """Send each follower the records or snapshot it lacks, or a heartbeat when due."""
    if state.role is not Role.LEADER:
        return []
    heartbeat_due = now >= state.heartbeat_due_ms
    if heartbeat_due:
        state.heartbeat_due_ms = now + HEARTBEAT_INTERVAL_MS
    effects: Effects = []
    for peer in state.other_identities:
        progress = state.progress_by_peer.setdefault(
            peer, Progress(state.last_index + 1, now)
        )
        sent = _replicate_to(state, peer, progress, heartbeat_due, now)
        if sent:
            progress.sent_round = state.read_round
        effects += sent
    return effects


def _replicate_to(
    state: RaftState, peer: str, progress: Progress, heartbeat_due: bool, now: int
) -> Effects:
    """Send what a follower lacks, or a message without records if one is due."""
    if progress.messages_in_flight and now - progress.last_sent_ms > RESEND_TIMEOUT_MS:
        # Messages may have been lost: send again from the last known matching record.
        progress.messages_in_flight = 0
        progress.next_index = progress.match_index + 1
        progress.snapshot_offset = None
    if progress.next_index <= state.snapshot.last_index:
        return _send_snapshot(state, peer, progress, heartbeat_due, now)
    effects: Effects = []
    while (
        progress.next_index <= state.last_index
        and progress.messages_in_flight < MAX_APPENDS_IN_FLIGHT
    ):
        records = state.records_from(progress.next_index)
        effects.append(_send_append(state, peer, progress.next_index, records))
        progress.next_index += len(records)
        progress.messages_in_flight += 1
        progress.last_sent_ms = now
    if effects or not (heartbeat_due or _has_unsent_round(state, peer, progress)):
        return effects
    return [_send_append(state, peer, progress.next_index, [])]


def _has_unsent_round(state: RaftState, peer: str, progress: Progress) -> bool:
    """Return whether a read waits whose round has not been sent to this voter.

    A lost message is made up for by the next heartbeat, which carries the round, too.
    """
    return (
        bool(state.pending_reads)
        and progress.sent_round < state.read_round
        and peer in state.voter_identities
    )


def _send_append(
    state: RaftState, peer: str, index: int, records: list[cpb.LogRecord]
) -> Any:
    request = cpb.AppendRequest(
        term=state.term,
        previous_index=index - 1,
        previous_term=state.term_at(index - 1) or 0,
        records=records,
        commit_index=state.commit_index,
        round=state.read_round,
    )
    return send_message(state, peer, append=request)


def _send_snapshot(
    state: RaftState, peer: str, progress: Progress, heartbeat_due: bool, now: int
) -> Effects:
    """Send the next chunk of the snapshot, one at a time.

    A heartbeat that comes due sends the chunk again, since it replaces the heartbeat.
    """
    if (
        progress.snapshot_offset is not None
        and progress.messages_in_flight
        and not heartbeat_due
    ):
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
        round=state.read_round,
    )
    progress.snapshot_offset = offset
    progress.messages_in_flight = 1
    progress.last_sent_ms = now
    return [send_message(state, peer, snapshot=request)]


def handle_append_request(
    state: RaftState, source: str, request: cpb.AppendRequest, now: int
) -> Effects:
    """Handle AppendEntries: store the records if they continue this log."""
    if request.term < state.term:
        reply = cpb.AppendReply(term=state.term, round=request.round)
        return [send_message(state, source, append_reply=reply)]
    effects = become_follower(state, request.term, source, now)
    own_term = state.term_at(request.previous_index)
    if request.previous_index < state.snapshot.last_index:
        # Records up to the snapshot are committed, so they agree with the leader's log.
        own_term = request.previous_term
    if own_term is None or own_term != request.previous_term:
        reply = cpb.AppendReply(
            term=state.term,
            hint_index=_next_index_hint(state, request.previous_index),
            round=request.round,
        )
        return [*effects, send_message(state, source, append_reply=reply)]
    effects += _append_new_records(state, list(request.records))
    match_index = request.previous_index + len(request.records)
    effects += commit(state, min(request.commit_index, match_index))
    reply = cpb.AppendReply(
        term=state.term, success=True, match_index=match_index, round=request.round
    )
    return [*effects, send_message(state, source, append_reply=reply)]


def _next_index_hint(state: RaftState, previous_index: int) -> int:
    """Return the index from which the leader should send next.

    This skips all records of the term that conflicts, but none that is committed.
    """
    if previous_index > state.last_index:
        return state.last_index + 1
    conflicting_term = state.term_at(previous_index)
    index = previous_index
    while (
        index > state.commit_index + 1 and state.term_at(index - 1) == conflicting_term
    ):
        index -= 1
    return max(index, state.commit_index + 1)


def _append_new_records(state: RaftState, records: list[cpb.LogRecord]) -> Effects:
    """Append records not in the log yet, dropping own records from a conflict on."""
    new_records = list(records)
    while new_records and (
        new_records[0].index <= state.snapshot.last_index
        or state.term_at(new_records[0].index) == new_records[0].term
    ):
        new_records.pop(0)
    if not new_records:
        return []
    kept_count = new_records[0].index - state.snapshot.last_index - 1
    del state.records[kept_count:]
    state.records += new_records
    state.refresh_membership()
    return [AppendRecords(new_records)]


def handle_append_reply(
    state: RaftState, source: str, reply: cpb.AppendReply, now: int
) -> Effects:
    """Update a follower's progress, then commit and confirm reads where possible."""
    if reply.term > state.term:
        return become_follower(state, reply.term, "", now)
    progress = state.progress_by_peer.get(source)
    if state.role is not Role.LEADER or progress is None or reply.term < state.term:
        return []
    progress.last_contact_ms = now
    progress.confirmed_round = max(progress.confirmed_round, reply.round)
    progress.messages_in_flight = max(0, progress.messages_in_flight - 1)
    if reply.success:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
    elif reply.hint_index:
        progress.messages_in_flight = 0
        progress.next_index = max(progress.match_index + 1, reply.hint_index)
    return advance_commit(state) + confirm_reads(state)


def advance_commit(state: RaftState) -> Effects:
    """Commit up to the newest record that a quorum holds, if it is of this term."""
    match_indexes = sorted(
        (
            state.last_index
            if identity == state.identity
            else state.progress_by_peer[identity].match_index
        )
        for identity in state.voter_identities
        if identity == state.identity or identity in state.progress_by_peer
    )
    unknown_count = len(state.voter_identities) - len(match_indexes)
    match_indexes = [0] * unknown_count + match_indexes
    if not match_indexes:
        return []
    index = match_indexes[(len(match_indexes) - 1) // 2]
    if index <= state.commit_index or state.term_at(index) != state.term:
        return []
    return commit(state, index)


def commit(state: RaftState, index: int) -> Effects:
    """Commit and apply records up to an index, and answer their callers."""
    effects: Effects = []
    previously_applied = state.applied_index
    state.commit_index = max(state.commit_index, index)
    while state.applied_index < min(state.commit_index, state.last_index):
        state.applied_index += 1
        offset = state.applied_index - state.snapshot.last_index - 1
        answer = state.machine.apply(state.records[offset].command)
        ticket = state.ticket_by_index.pop(state.applied_index, None)
        if ticket is not None:
            effects.append(CommandAnswered(ticket, answer))
    if state.applied_index == previously_applied:
        return []
    effects.append(RecordsApplied(state.applied_index, state.machine.revision))
    return effects + compact(state)


def compact(state: RaftState, *, force: bool = False) -> Effects:
    """Replace the applied records by a snapshot once there are enough of them.

    force does so for a single applied record already.
    """
    applied = state.applied_index - state.snapshot.last_index
    if applied < (1 if force else state.snapshot_interval_records):
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
    """Return the membership in force at a record's index."""
    record_count = index - state.snapshot.last_index
    for record in reversed(state.records[:record_count]):
        if record.command.WhichOneof("body") == "membership":
            return record.command.membership
    return state.snapshot.membership


def handle_snapshot_request(
    state: RaftState, source: str, request: cpb.SnapshotRequest, now: int
) -> Effects:
    """Handle InstallSnapshot: collect the chunks and install the complete snapshot."""
    if request.term < state.term:
        reply = cpb.SnapshotReply(term=state.term, round=request.round)
        return [send_message(state, source, snapshot_reply=reply)]
    effects = become_follower(state, request.term, source, now)
    if request.offset == 0 or request.last_index != state.incoming_snapshot_index:
        # Chunks of different snapshots must never be combined.
        state.incoming_snapshot = bytearray()
        state.incoming_snapshot_index = request.last_index
    if request.offset == len(state.incoming_snapshot):
        state.incoming_snapshot += request.data
    is_complete = len(state.incoming_snapshot) == request.total
    if is_complete and request.last_index > state.commit_index:
        effects += _install_snapshot(state, request)
    covered_index = max(state.commit_index, state.snapshot.last_index)
    reply = cpb.SnapshotReply(
        term=state.term,
        next_offset=len(state.incoming_snapshot),
        last_index=covered_index if covered_index >= request.last_index else 0,
        round=request.round,
    )
    return [*effects, send_message(state, source, snapshot_reply=reply)]


def _install_snapshot(state: RaftState, request: cpb.SnapshotRequest) -> Effects:
    """Install a snapshot, keeping the records after it if the log agrees with it.

    If the snapshot arrives late, those records may have been acknowledged already.
    """
    later_records: list[cpb.LogRecord] = []
    if state.term_at(request.last_index) == request.last_term:
        later_records = state.records[request.last_index - state.snapshot.last_index :]
    state.snapshot = cpb.SnapshotFile(
        last_index=request.last_index,
        last_term=request.last_term,
        membership=request.membership,
        state=bytes(state.incoming_snapshot),
    )
    state.records = later_records
    state.commit_index = state.applied_index = request.last_index
    state.machine = load_state_machine(state.snapshot.state)
    state.refresh_membership()
    return [
        SaveSnapshot(state.snapshot),
        RecordsApplied(state.applied_index, state.machine.revision),
        Log("snapshot_installed", {"index": request.last_index}),
    ]


def handle_snapshot_reply(
    state: RaftState, source: str, reply: cpb.SnapshotReply, now: int
) -> Effects:
    """Continue with the next chunk, or with records once the snapshot is installed."""
    if reply.term > state.term:
        return become_follower(state, reply.term, "", now)
    progress = state.progress_by_peer.get(source)
    if state.role is not Role.LEADER or progress is None or reply.term < state.term:
        return []
    progress.last_contact_ms = now
    progress.confirmed_round = max(progress.confirmed_round, reply.round)
    progress.messages_in_flight = 0
    if reply.last_index:
        progress.match_index = max(progress.match_index, reply.last_index)
        progress.next_index = progress.match_index + 1
        progress.snapshot_offset = None
    else:
        progress.snapshot_offset = reply.next_offset
    return advance_commit(state) + confirm_reads(state)


def confirm_reads(state: RaftState) -> Effects:
    """Confirm the reads whose round a quorum has replied to.

    None is confirmed before a record of this term is committed: until then, the leader
    may not know everything that earlier terms committed.
    """
    if not state.pending_reads or state.term_at(state.commit_index) != state.term:
        return []
    confirmed = [
        read
        for read in state.pending_reads
        if is_quorum(
            state,
            sum(
                identity == state.identity
                or identity in state.progress_by_peer
                and state.progress_by_peer[identity].confirmed_round >= read.round
                for identity in state.voter_identities
            ),
        )
    ]
    state.pending_reads = [
        read for read in state.pending_reads if read not in confirmed
    ]
    return [ReadConfirmed(read.ticket) for read in confirmed]


__all__ = [
    "advance_commit",
    "append_command",
    "handle_append_reply",
    "handle_append_request",
    "compact",
    "confirm_reads",
    "send_appends",
    "handle_snapshot_reply",
    "handle_snapshot_request",
]

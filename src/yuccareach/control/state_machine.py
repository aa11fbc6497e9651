"""The state machine that every control instance derives from the replicated log.

It holds settings, permits, leases, quarantine, the routing document and withdrawals.
Every instance applies the same commands and must reach the same state, so nothing here
reads a clock or random numbers; the time comes from the commands.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import NamedTuple

import xxhash

from yuccareach.control.loss_counts import LossCounts, load_loss_counts
from yuccareach.control.withdrawals import Withdrawals
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb

MAX_HISTORY_RECORDS = 500
MAX_CHANGE_IDS = 10_000
PERMIT_RETENTION_MS = 24 * 3_600_000
TOMBSTONE_RETENTION_MS = 30 * 24 * 3_600_000
MAX_STORED_REPLY_BYTES = 16_384


class PermitId(NamedTuple):
    """Lookup key of a permit: identifies one non-idempotent call."""

    workspace: str
    service: str
    key: str


class StateMachine:
    """State that every control instance derives from the log.

    history holds the newest accepted settings changes. change_by_id holds the answers
    to recent change ids, so that a retry gets the first answer. tombstone_by_digest
    maps the digest of a removed permit's key to the time of its removal.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.next_permit = 1
        self.next_fencing_number = 1
        self.now_ms = 0
        self.team_by_name: dict[str, cpb.TeamState] = {}
        self.history: list[cpb.HistoryRecord] = []
        self.change_by_id: OrderedDict[str, cpb.ChangeRecord] = OrderedDict()
        self.permit_by_id: OrderedDict[PermitId, cpb.PermitRecord] = OrderedDict()
        self.tombstone_by_digest: OrderedDict[int, int] = OrderedDict()
        self.lease_by_resource: dict[str, cpb.LeaseRecord] = {}
        self.loss_counts = LossCounts()
        self.document = cpb.RoutingDocument()
        self.withdrawals = Withdrawals()

    def apply(self, command: cpb.Command) -> cpb.CommandAnswer:
        """Apply one committed command and return its answer."""
        match command.WhichOneof("body"):
            case "settings":
                return self._change_settings(command.settings)
            case "permit_acquire":
                return self._acquire_permit(command.permit_acquire)
            case "permit_finish":
                return self._finish_permit(command.permit_finish)
            case "lease":
                return self._grant_lease(command.lease)
            case "quarantine":
                self._advance_clock(command.quarantine.at_ms)
                self.loss_counts.apply_single_loss(command.quarantine, self.now_ms)
            case "losses":
                self._advance_clock(command.losses.at_ms)
                self.loss_counts.apply_reports(command.losses.reports, self.now_ms)
            case "document":
                return self._replace_document(command.document)
            case "withdrawal":
                self._advance_clock(command.withdrawal.at_ms)
                self.withdrawals.apply(command.withdrawal, self.now_ms)
        return cpb.CommandAnswer()

    def _advance_clock(self, at_ms: int) -> None:
        """Move the clock forward, never back, and remove expired records.

        An expired permit leaves a tombstone, so that its key is not granted again.
        """
        self.now_ms = max(self.now_ms, at_ms)
        while self.permit_by_id:
            identifier, record = next(iter(self.permit_by_id.items()))
            if self.now_ms - record.at_ms <= PERMIT_RETENTION_MS:
                break
            del self.permit_by_id[identifier]
            self.tombstone_by_digest[_permit_digest(identifier)] = self.now_ms
        while self.tombstone_by_digest:
            digest, removed_ms = next(iter(self.tombstone_by_digest.items()))
            if self.now_ms - removed_ms <= TOMBSTONE_RETENTION_MS:
                break
            del self.tombstone_by_digest[digest]

    # Settings.

    def _change_settings(self, change: cpb.SettingsChange) -> cpb.CommandAnswer:
        digest = change_digest(change)
        recorded_change = self.change_by_id.get(change.change_id)
        if recorded_change is not None:
            return _answer_retry(recorded_change, digest)
        self._advance_clock(change.at_ms)
        team = self.team_by_name.get(change.team)
        team_revision = team.revision if team else 0
        if change.base_revision != team_revision:
            answer = self._reject_conflict(change.team, team_revision)
        else:
            answer = self._accept_change(change)
        self.change_by_id[change.change_id] = cpb.ChangeRecord(
            change_id=change.change_id, digest=digest, answer=answer
        )
        if len(self.change_by_id) > MAX_CHANGE_IDS:
            self.change_by_id.popitem(last=False)
        return cpb.CommandAnswer(settings=answer)

    def _accept_change(self, change: cpb.SettingsChange) -> cpb.SettingsAnswer:
        self.revision += 1
        self.team_by_name[change.team] = cpb.TeamState(
            team=change.team,
            revision=self.revision,
            document=change.document,
            removed=change.removed,
        )
        self.history.append(
            cpb.HistoryRecord(
                revision=self.revision,
                team=change.team,
                change_id=change.change_id,
                author=change.author,
                at_ms=change.at_ms,
                document=change.document,
                removed=change.removed,
            )
        )
        del self.history[:-MAX_HISTORY_RECORDS]
        return cpb.SettingsAnswer(
            accepted=True, revision=self.revision, team_revision=self.revision
        )

    def _reject_conflict(self, team: str, team_revision: int) -> cpb.SettingsAnswer:
        """Refuse an outdated base revision and name the team's newest change."""
        winner = next(
            (item for item in reversed(self.history) if item.team == team), None
        )
        return cpb.SettingsAnswer(
            accepted=False,
            revision=self.revision,
            team_revision=team_revision,
            winner_change_id=winner.change_id if winner else "",
            winner_author=winner.author if winner else "",
            error="conflict",
        )

    def settings_after(self, revision: int) -> pb.SettingsPush:
        """Return the settings of all teams changed after a revision."""
        return pb.SettingsPush(
            after_revision=revision,
            revision=self.revision,
            teams=[
                pb.TeamDocument(
                    team=team.team,
                    revision=team.revision,
                    document=team.document,
                    removed=team.removed,
                )
                for team in self.team_by_name.values()
                if team.revision > revision
            ],
        )

    def _replace_document(self, document: cpb.RoutingDocument) -> cpb.CommandAnswer:
        """Keep the document with the higher version; one older or resent is ignored."""
        if document.version > self.document.version:
            self.document = document
        return cpb.CommandAnswer(document_version=self.document.version)

    # Permits for non-idempotent calls.

    def _acquire_permit(self, request: cpb.PermitAcquire) -> cpb.CommandAnswer:
        self._advance_clock(request.at_ms)
        identifier = permit_id(request.key)
        record = self.permit_by_id.get(identifier)
        if record is not None and _is_revoked_by(record, request):
            record.answer.state = cpb.PERMIT_REVOKED
        if record is not None and record.answer.state != cpb.PERMIT_REVOKED:
            if record.digest != request.digest:
                return _permit_answer(cpb.PermitAnswer(state=cpb.PERMIT_MISMATCH))
            return _permit_answer(record.answer)
        if _permit_digest(identifier) in self.tombstone_by_digest:
            return _permit_answer(cpb.PermitAnswer(state=cpb.PERMIT_EXPIRED))
        if not request.backend_server:
            return _permit_answer(cpb.PermitAnswer(state=cpb.PERMIT_REVOKED))
        answer = cpb.PermitAnswer(
            state=cpb.PERMIT_GRANTED,
            permit=self.next_permit,
            backend_server=request.backend_server,
            incarnation=request.incarnation,
        )
        self.next_permit += 1
        stored_answer = cpb.PermitAnswer()
        stored_answer.CopyFrom(answer)
        stored_answer.state = cpb.PERMIT_EXISTS
        self.permit_by_id.pop(identifier, None)
        self.permit_by_id[identifier] = cpb.PermitRecord(
            key=request.key,
            answer=stored_answer,
            digest=request.digest,
            at_ms=self.now_ms,
        )
        return _permit_answer(answer)

    def _finish_permit(self, request: cpb.PermitFinish) -> cpb.CommandAnswer:
        """Store the reply of a completed call.

        The status of a reply above MAX_STORED_REPLY_BYTES is stored, not its body.
        """
        self._advance_clock(request.at_ms)
        record = self.permit_by_id.get(permit_id(request.key))
        if record is None or record.answer.permit != request.permit:
            return _permit_answer(cpb.PermitAnswer(state=cpb.PERMIT_EXPIRED))
        if record.answer.state == cpb.PERMIT_EXISTS:
            if len(request.body) <= MAX_STORED_REPLY_BYTES:
                record.answer.state = cpb.PERMIT_FINISHED
                record.answer.body = request.body
                record.answer.content_type = request.content_type
            record.answer.status = request.status
        return _permit_answer(record.answer)

    # Leases and fencing numbers.

    def _grant_lease(self, request: cpb.LeaseGrant) -> cpb.CommandAnswer:
        self._advance_clock(request.at_ms)
        lease = self.lease_by_resource.get(request.resource)
        is_held = lease is not None and lease.expires_ms > self.now_ms
        if lease is not None and is_held and lease.holder != request.holder:
            return cpb.CommandAnswer(
                lease=cpb.LeaseAnswer(
                    granted=False,
                    holder=lease.holder,
                    fencing_number=lease.fencing_number,
                    remaining_ms=lease.expires_ms - self.now_ms,
                )
            )
        if lease is None or not is_held:
            number = self.next_fencing_number
            self.next_fencing_number += 1
        else:
            number = lease.fencing_number
        self.lease_by_resource[request.resource] = cpb.LeaseRecord(
            resource=request.resource,
            holder=request.holder,
            fencing_number=number,
            expires_ms=self.now_ms + request.duration_ms,
        )
        return cpb.CommandAnswer(
            lease=cpb.LeaseAnswer(
                granted=True,
                holder=request.holder,
                fencing_number=number,
                remaining_ms=request.duration_ms,
            )
        )

    # Snapshots.

    def dump(self) -> bytes:
        """Serialize the complete state; equal states give equal bytes."""
        state = cpb.ControlState(
            revision=self.revision,
            next_permit=self.next_permit,
            next_fencing_number=self.next_fencing_number,
            now_ms=self.now_ms,
            teams=[team for _, team in sorted(self.team_by_name.items())],
            history=self.history,
            changes=self.change_by_id.values(),
            permits=self.permit_by_id.values(),
            leases=[lease for _, lease in sorted(self.lease_by_resource.items())],
            quarantines=self.loss_counts.list_current(self.now_ms),
            loss_changes=self.loss_counts.changes,
            document=self.document,
            withdrawals=self.withdrawals.record_by_name.values(),
            withdrawal_changes=self.withdrawals.changes,
            tombstones=[
                cpb.TombstoneRecord(digest=digest, at_ms=at_ms)
                for digest, at_ms in self.tombstone_by_digest.items()
            ],
        )
        return state.SerializeToString(deterministic=True)


def load_state_machine(data: bytes) -> StateMachine:
    """Restore a state machine from a snapshot; raises DecodeError on malformed data."""
    state = cpb.ControlState.FromString(data)
    machine = StateMachine()
    machine.revision = state.revision
    machine.next_permit = max(1, state.next_permit)
    machine.next_fencing_number = max(1, state.next_fencing_number)
    machine.now_ms = state.now_ms
    machine.team_by_name = {team.team: team for team in state.teams}
    machine.history = list(state.history)
    machine.change_by_id = OrderedDict(
        (record.change_id, record) for record in state.changes
    )
    machine.permit_by_id = OrderedDict(
        (permit_id(record.key), record) for record in state.permits
    )
    machine.lease_by_resource = {lease.resource: lease for lease in state.leases}
    machine.loss_counts = load_loss_counts(state.quarantines, state.loss_changes)
    machine.document.CopyFrom(state.document)
    machine.withdrawals = Withdrawals(state.withdrawals, state.withdrawal_changes)
    machine.tombstone_by_digest = OrderedDict(
        (record.digest, record.at_ms) for record in state.tombstones
    )
    return machine


def permit_id(key: cpb.PermitKey) -> PermitId:
    """Return the lookup key for a permit's key on the wire."""
    return PermitId(key.workspace, key.service, key.key)


def change_digest(change: cpb.SettingsChange) -> bytes:
    """Return a digest by which a retry differs from another change of the same id."""
    parts = (
        change.team.encode(),
        str(change.base_revision).encode(),
        str(change.removed).encode(),
        change.document,
    )
    return hashlib.sha256(b"\0".join(parts)).digest()


def _answer_retry(
    recorded_change: cpb.ChangeRecord, digest: bytes
) -> cpb.CommandAnswer:
    """Return the first answer to a retried change, or refuse a reused change id."""
    if recorded_change.digest == digest:
        return cpb.CommandAnswer(settings=recorded_change.answer)
    return cpb.CommandAnswer(
        settings=cpb.SettingsAnswer(accepted=False, error="change_id_reused")
    )


def _is_revoked_by(record: cpb.PermitRecord, request: cpb.PermitAcquire) -> bool:
    """Return whether a request revokes this permit, which has no stored reply yet."""
    return (
        record.answer.state == cpb.PERMIT_EXISTS
        and record.answer.permit == request.revoked_permit
    )


def _permit_answer(answer: cpb.PermitAnswer) -> cpb.CommandAnswer:
    return cpb.CommandAnswer(permit=answer)


def _permit_digest(identifier: PermitId) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(identifier).encode())


__all__ = [
    "PERMIT_RETENTION_MS",
    "MAX_STORED_REPLY_BYTES",
    "StateMachine",
    "change_digest",
    "load_state_machine",
    "permit_id",
]

"""Views: the routing document in force and the members, which entries poll for.

Only the leader answers with a view, after a quorum has confirmed its leadership. The
confirmation starts after the request has arrived, so an entry may use the view for the
length of its lease, counted from the moment at which it sent the request.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.control.errors import RequestRefusedError
from yuccareach.control.raft_types import Role
from yuccareach.control.suspects import SuspectReports
from yuccareach.control.usage import (
    NO_USAGE,
    SentUsage,
    ServerUsage,
    UsageUpdate,
    build_update,
)
from yuccareach.control.waiting import (
    WaitingCounts,
    WaitingReport,
    build_messages,
    read_waiting,
    sum_waiting,
)
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quota import allocation
from yuccareach.quota.allocation import LimitReport
from yuccareach.quota.limits import is_valid_limit
from yuccareach.runtime.logs import Log, logger, write_log
from yuccareach.runtime.reducer import monotonic_ms, wall_clock_ms

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Set as AbstractSet

    from yuccareach.control.loss_counts import LossCounts
    from yuccareach.control.run import ControlProcess

_log = logger("control")
# A poll is answered after this long even if nothing has changed.
LONG_POLL_TIMEOUT_MS = 400
# An entry that sends no request for this long no longer counts, and neither does its
# usage; entries poll several times within it.
ENTRY_REPORT_RETENTION_MS = 2_000
# An entry's report that an incarnation is unreachable counts for this long.
UNREACHABLE_RETENTION_MS = 1_500
# Entries that must report an incarnation as unreachable before control loads its
# layers on other backend servers.
MIN_UNREACHABLE_REPORTS = 2
# Interval between confirmations of leadership. Each view waits for one, so that this
# adds to the time until entries learn of a change.
READ_ROUND_INTERVAL_S = 0.025
# A view carries at most this many loss counts; the entry's next poll gets more.
MAX_LOSSES_PER_VIEW = 1_000


class EntryReport(NamedTuple):
    """The usage that an entry sent with its last request for a view."""

    received_ms: int
    usage_by_server: dict[str, ServerUsage]


class EntryReports:
    """Recent reports of entries: their usage and the incarnations they cannot reach."""

    def __init__(self) -> None:
        self.report_by_entry: dict[str, EntryReport] = {}
        # When reports began to arrive, after a time without any.
        self.collecting_since_ms = 0
        self.total_usage_by_server: dict[str, ServerUsage] = {}
        self.sent_usage_by_entry: dict[str, SentUsage] = {}
        # Only of entries where something waits.
        self.waiting_by_entry: dict[str, WaitingReport] = {}
        self.suspects = SuspectReports()
        # For each incarnation, when each entry last reported it as unreachable.
        self.unreachable_ms_by_incarnation: dict[str, dict[str, int]] = {}

    def record(self, request: cpb.ViewRequest, now_ms: int) -> bool:
        """Record the report in a request and remove expired reports.

        The entry's own earlier report is replaced. Returns whether the other entries
        have more backend servers to probe.
        """
        uses = {
            use.backend_server: ServerUsage(use.tokens, use.first)
            for use in request.uses
        }
        outdated_entries = [request.instance] + [
            entry
            for entry, report in self.report_by_entry.items()
            if now_ms - report.received_ms >= ENTRY_REPORT_RETENTION_MS
        ]
        if all(
            now_ms - report.received_ms >= ENTRY_REPORT_RETENTION_MS
            for report in self.report_by_entry.values()
        ):
            self.collecting_since_ms = now_ms
        for entry in outdated_entries:
            removed = self.report_by_entry.pop(entry, None)
            if removed is not None:
                self._add_to_totals(removed.usage_by_server, -1)
            self.waiting_by_entry.pop(entry, None)
            if entry != request.instance:
                self.sent_usage_by_entry.pop(entry, None)
                self.suspects.remove(entry)
        self.report_by_entry[request.instance] = EntryReport(now_ms, uses)
        if request.waiting:
            self.waiting_by_entry[request.instance] = read_waiting(
                request.waiting, now_ms
            )
        self._add_to_totals(uses, 1)
        for incarnation in request.unreachable:
            reports = self.unreachable_ms_by_incarnation.setdefault(incarnation, {})
            reports[request.instance] = now_ms
        return self.suspects.record(request.instance, request.suspects)

    def count_entries(self, now_ms: int) -> int:
        """Return the number of entries, or 0 until all of them have sent a report.

        Entries divide the retry budget by this number, so it must not be too low when
        they start to poll a new leader.
        """
        if now_ms - self.collecting_since_ms < ENTRY_REPORT_RETENTION_MS:
            return 0
        return len(self.report_by_entry)

    def find_unreachable(self, now_ms: int) -> set[str]:
        """Return the incarnations that enough entries recently reported unreachable.

        A single report is not enough, since the entry itself may be slow or cut off,
        unless there is known to be only one entry.
        """
        self.unreachable_ms_by_incarnation = {
            incarnation: recent
            for incarnation, reports in self.unreachable_ms_by_incarnation.items()
            if (
                recent := {
                    entry: reported_ms
                    for entry, reported_ms in reports.items()
                    if now_ms - reported_ms < UNREACHABLE_RETENTION_MS
                }
            )
        }
        entry_count = self.count_entries(now_ms)
        needed = 1 if entry_count == 1 else MIN_UNREACHABLE_REPORTS
        return {
            incarnation
            for incarnation, reports in self.unreachable_ms_by_incarnation.items()
            if len(reports) >= needed
        }

    def build_usage_update(
        self,
        entry: str,
        near_servers: AbstractSet[str],
        known_version: int,
        now_ms: int,
    ) -> UsageUpdate:
        """Return what an entry is to be sent of the usage of the others."""
        sent = self.sent_usage_by_entry.setdefault(entry, SentUsage())
        usage = self.usage_of_others(entry)
        return build_update(sent, usage, near_servers, known_version, now_ms)

    def usage_of_others(self, entry: str) -> dict[str, ServerUsage]:
        """Return the total usage of all entries but one, by backend server.

        The totals are updated with each report and not computed here, since every entry
        requests them several times a second.
        """
        report = self.report_by_entry.get(entry)
        own = report.usage_by_server if report is not None else {}
        others = {
            server: ServerUsage(
                total.tokens - own_usage.tokens, total.first - own_usage.first
            )
            for server, total in self.total_usage_by_server.items()
            for own_usage in (own.get(server, NO_USAGE),)
        }
        return {server: usage for server, usage in others.items() if usage != NO_USAGE}

    def sum_waiting_of_others(self, entry: str, now_ms: int) -> WaitingCounts:
        """Return what waits at all entries but one that have reported recently."""
        return sum_waiting(
            report
            for other, report in self.waiting_by_entry.items()
            if other != entry
            and now_ms - report.received_ms < ENTRY_REPORT_RETENTION_MS
        )

    def _add_to_totals(
        self, usage_by_server: dict[str, ServerUsage], sign: int
    ) -> None:
        """Add an entry's usage to the totals; a sign of -1 subtracts it."""
        for server, usage in usage_by_server.items():
            total = self.total_usage_by_server.get(server, NO_USAGE)
            new_total = ServerUsage(
                total.tokens + sign * usage.tokens, total.first + sign * usage.first
            )
            if new_total == NO_USAGE:
                self.total_usage_by_server.pop(server, None)
            else:
                self.total_usage_by_server[server] = new_total


class ReadBatcher:
    """Confirms reads by a quorum, with one round for all reads that wait.

    A round confirms only reads that were requested before it started. A read that is
    requested during a round therefore waits for the next one. Rounds start at least
    min_interval_s apart, since each costs messages to all voters and back.
    """

    def __init__(
        self, run_round: Callable[[], Awaitable[None]], min_interval_s: float = 0.0
    ) -> None:
        self.run_round = run_round
        self.min_interval_s = min_interval_s
        self.next_start_s = 0.0
        self.current_round: asyncio.Future[None] | None = None
        self.next_round: asyncio.Future[None] | None = None

    async def confirm(self) -> None:
        """Return once a quorum has confirmed that this instance leads, or raise.

        Raises RequestRefusedError if the round fails.
        """
        if self.next_round is None:
            self.next_round = asyncio.ensure_future(
                self._run_round_after(self.current_round)
            )
        await asyncio.shield(self.next_round)

    async def _run_round_after(self, previous: asyncio.Future[None] | None) -> None:
        if previous is not None:
            await asyncio.wait((previous,))
        loop = asyncio.get_running_loop()
        if (delay_s := self.next_start_s - loop.time()) > 0:
            await asyncio.sleep(delay_s)
        self.next_start_s = loop.time() + self.min_interval_s
        self.current_round, self.next_round = self.next_round, None
        await self.run_round()


async def answer_view(process: ControlProcess, request: cpb.ViewRequest) -> cpb.View:
    """Return a view once something has changed, or after LONG_POLL_TIMEOUT_MS.

    An instance that does not lead returns the leader's address instead.
    """
    if process.state.role is not Role.LEADER:
        return _redirect_to_leader(
            process, process.state.address_of(process.state.leader)
        )
    now_ms = monotonic_ms()
    if process.entry_reports.record(request, now_ms):
        process.notify_member_watchers()
    reports = _read_limit_reports(request)
    table = process.get_limit_allocations()
    allocation.record_reports(table, request.instance, reports, now_ms)
    if not _has_changes(process, request):
        await _wait_for_changes(process, request, reports)
    try:
        await process.read_batcher.confirm()
    except RequestRefusedError as error:
        return _redirect_to_leader(process, error.leader_address)
    return _build_view(process, request, reports)


def _read_limit_reports(request: cpb.ViewRequest) -> list[LimitReport]:
    """Decode an entry's reports; those whose limit is none are logged and ignored."""
    for report in request.limits:
        if not is_valid_limit(report.limit_per_s):
            fields = {"entry": request.instance, "incarnation": report.incarnation}
            write_log(_log, Log("limit_report_ignored", fields, logging.WARNING))
    return [
        LimitReport(
            report.incarnation,
            report.limit_per_s if report.limited else None,
            report.age_ms,
            report.wanted,
            report.returned,
        )
        for report in request.limits
        if is_valid_limit(report.limit_per_s)
    ]


def _has_changes(process: ControlProcess, request: cpb.ViewRequest) -> bool:
    return (
        request.document_version < process.machine.document.version
        or request.source != process.run_id
        or request.members_version < process.members.version
        or request.loss_changes < process.machine.loss_counts.changes
        or request.suspects_version < process.entry_reports.suspects.version
        or _find_known_limit_change(process, request)
        < process.get_limit_allocations().changes
    )


async def _wait_for_changes(
    process: ControlProcess, request: cpb.ViewRequest, reports: list[LimitReport]
) -> None:
    """Wait for a change, for a request of a limit that can be granted, or the end."""
    deadline_ms = monotonic_ms() + LONG_POLL_TIMEOUT_MS
    while not _has_changes(process, request):
        now_ms = monotonic_ms()
        grant_delay_ms = allocation.find_grant_delay_ms(
            process.get_limit_allocations(), reports, now_ms
        )
        if grant_delay_ms <= 0:
            return
        remaining_ms = min(grant_delay_ms, deadline_ms - now_ms)
        if remaining_ms <= 0 or process.state.role is not Role.LEADER:
            return
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                await process.members_change_event.wait()
        except TimeoutError:
            continue


def _redirect_to_leader(process: ControlProcess, leader_address: str) -> cpb.View:
    return cpb.View(
        not_leader=True,
        leader_address=leader_address,
        control_addresses=process.peers.list_addresses(),
    )


def _control_addresses(process: ControlProcess) -> list[str]:
    return [peer.address for peer in process.state.membership.peers]


def _build_view(
    process: ControlProcess, request: cpb.ViewRequest, reports: list[LimitReport]
) -> cpb.View:
    is_same_source = request.source == process.run_id
    members_version = request.members_version if is_same_source else 0
    delta = process.members.delta_since(members_version, monotonic_ms())
    uses = _build_usage_update(process, request)
    membership_index = process.state.membership_index
    is_membership_known = (
        _is_same_leader(process, request)
        and request.membership_index == membership_index
    )
    view = cpb.View(
        control_addresses=[] if is_membership_known else _control_addresses(process),
        membership_index=membership_index,
        source=process.run_id,
        members_version=delta.version,
        members_snapshot=delta.snapshot,
        members=delta.members,
        departed=delta.departed,
        entries=process.entry_reports.count_entries(monotonic_ms()),
        uses=[
            cpb.ServerUse(backend_server=server, tokens=use.tokens, first=use.first)
            for server, use in uses.usage_by_server.items()
        ],
        uses_version=uses.version,
        uses_are_changes=uses.are_changes,
        waiting=build_messages(
            process.entry_reports.sum_waiting_of_others(
                request.instance, monotonic_ms()
            )
        ),
    )
    suspects = process.entry_reports.suspects
    view.suspects_version = suspects.version
    known_version = request.suspects_version if is_same_source else 0
    if known_version < suspects.version:
        view.suspects.extend(sorted(suspects.listed - set(request.suspects)))
    _add_document(view, process, request)
    _add_losses(view, process.machine.loss_counts, request.loss_changes)
    _add_limits(view, process, request, reports)
    return view


def _add_document(
    view: cpb.View, process: ControlProcess, request: cpb.ViewRequest
) -> None:
    """Add the document in force, or how it differs from the one that an entry has."""
    document = process.machine.document
    if request.document_version >= document.version:
        return
    delta = process.documents.find_delta(request.document_version, document)
    if delta is not None and request.takes_document_deltas:
        view.document_delta.CopyFrom(delta)
    else:
        view.document.CopyFrom(document)


def _build_usage_update(
    process: ControlProcess, request: cpb.ViewRequest
) -> UsageUpdate:
    near_servers = process.members.find_names_in_zone(request.availability_zone)
    known_version = request.uses_version if request.source == process.run_id else 0
    return process.entry_reports.build_usage_update(
        request.instance, near_servers, known_version, monotonic_ms()
    )


def _find_known_limit_change(process: ControlProcess, request: cpb.ViewRequest) -> int:
    """Return the newest change of limits in this term that an entry has received."""
    return request.limit_changes if _is_same_leader(process, request) else 0


def _is_same_leader(process: ControlProcess, request: cpb.ViewRequest) -> bool:
    """Return whether an entry's last view came from this instance in this term."""
    return (
        request.source == process.run_id and request.limits_term == process.state.term
    )


def _add_limits(
    view: cpb.View,
    process: ControlProcess,
    request: cpb.ViewRequest,
    reports: list[LimitReport],
) -> None:
    """Add what is granted to an entry, and the limits that it does not know."""
    table = process.get_limit_allocations()
    known_change = _find_known_limit_change(process, request)
    notices = allocation.build_notices(
        table, request.instance, reports, known_change, monotonic_ms()
    )
    view.limits.extend(
        cpb.LimitNotice(
            incarnation=notice.incarnation,
            limited=notice.limit_per_s is not None,
            limit_per_s=notice.limit_per_s or 0.0,
            age_ms=notice.age_ms,
            granted=notice.granted,
        )
        for notice in notices
    )
    view.limit_changes = table.changes
    view.grants_limits = True
    view.limits_term = process.state.term


def _add_losses(view: cpb.View, counts: LossCounts, known_change: int) -> None:
    """Add the loss counts that changed after the last change that an entry knows.

    Its number is greater than this instance's after the restore of an old backup; all
    counts are added then.
    """
    after = known_change if known_change <= counts.changes else 0
    view.wall_ms = wall_clock_ms()
    losses = counts.list_after(after, view.wall_ms, MAX_LOSSES_PER_VIEW)
    is_last = len(losses) < MAX_LOSSES_PER_VIEW
    view.losses.extend(losses)
    view.loss_changes = counts.changes if is_last else losses[-1].change


__all__ = ["READ_ROUND_INTERVAL_S", "EntryReports", "ReadBatcher", "answer_view"]

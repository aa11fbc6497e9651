"""Views that the leader gives to entries: the document in force and the members.

A view is confirmed by a quorum after its request came, so an entry may rely on it for
as long as its lease from the moment it asked.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.control.errors import NotLeader
from yuccareach.control.raft_types import Role
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.reducer import monotonic_ms

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from yuccareach.control.run import ControlProcess

# A view without news is given after this long.
HOLD_MS = 400
# What an entry said of itself counts for this long; several polls.
ENTRY_LEASE_MS = 2_000
# An entry's word that an incarnation is unreachable counts for this long.
UNREACHABLE_LEASE_MS = 1_500
# Entries that must agree on it before layers are loaded elsewhere.
WITNESSES = 2


class Use(NamedTuple):
    """What requests take of a backend server: tokens of memory, and slots."""

    tokens: int
    first: int


NO_USE = Use(0, 0)


class EntryReport(NamedTuple):
    """What an entry said with its last request for a view."""

    heard_ms: int
    use_by_server: dict[str, Use]


class Views:
    """What entries have reported lately."""

    def __init__(self) -> None:
        self.report_by_entry: dict[str, EntryReport] = {}
        self.total_by_server: dict[str, Use] = {}
        # By incarnation, when which entry last said that it cannot reach it.
        self.unreached_ms_by_incarnation: dict[str, dict[str, int]] = {}

    def note(self, request: cpb.ViewRequest, now_ms: int) -> None:
        """Take what a request says, and forget what is too old."""
        uses = {use.backend_server: Use(use.tokens, use.first) for use in request.uses}
        gone = [request.instance] + [
            entry
            for entry, report in self.report_by_entry.items()
            if now_ms - report.heard_ms >= ENTRY_LEASE_MS
        ]
        for entry in gone:
            old = self.report_by_entry.pop(entry, None)
            if old is not None:
                self._add(old.use_by_server, -1)
        self.report_by_entry[request.instance] = EntryReport(now_ms, uses)
        self._add(uses, 1)
        for incarnation in request.unreachable:
            unreached = self.unreached_ms_by_incarnation.setdefault(incarnation, {})
            unreached[request.instance] = now_ms

    def unreachable(self, now_ms: int) -> set[str]:
        """Return the incarnations that several entries could not reach lately.

        One entry alone may be at fault itself, unless it is the only one.
        """
        self.unreached_ms_by_incarnation = {
            incarnation: recent
            for incarnation, unreached in self.unreached_ms_by_incarnation.items()
            if (
                recent := {
                    entry: noted_ms
                    for entry, noted_ms in unreached.items()
                    if now_ms - noted_ms < UNREACHABLE_LEASE_MS
                }
            )
        }
        needed = min(WITNESSES, max(1, len(self.report_by_entry)))
        return {
            incarnation
            for incarnation, unreached in self.unreached_ms_by_incarnation.items()
            if len(unreached) >= needed
        }

    def uses_of_others(self, entry: str) -> dict[str, Use]:
        """Return what the requests of all entries but one take, by backend server.

        The totals are kept up to date with each report, since every entry asks for them
        several times a second.
        """
        report = self.report_by_entry.get(entry)
        own = report.use_by_server if report is not None else {}
        others = {
            server: Use(total.tokens - own_use.tokens, total.first - own_use.first)
            for server, total in self.total_by_server.items()
            for own_use in (own.get(server, NO_USE),)
        }
        return {server: use for server, use in others.items() if use != NO_USE}

    def _add(self, uses: dict[str, Use], sign: int) -> None:
        """Add what an entry takes to the totals, or take it off."""
        for server, use in uses.items():
            total = self.total_by_server.get(server, NO_USE)
            changed = Use(
                total.tokens + sign * use.tokens, total.first + sign * use.first
            )
            if changed == NO_USE:
                self.total_by_server.pop(server, None)
            else:
                self.total_by_server[server] = changed


class ReadRounds:
    """Confirms reads by a quorum, all that wait at a time in one round.

    A round confirms only what was asked before it began, so that one who asks while a
    round is under way joins the next.
    """

    def __init__(self, ask: Callable[[], Awaitable[None]]) -> None:
        self.ask = ask
        self.under_way: asyncio.Future[None] | None = None
        self.next: asyncio.Future[None] | None = None

    async def confirm(self) -> None:
        """Return once a quorum has confirmed that this instance leads, or raise."""
        if self.next is None:
            self.next = asyncio.ensure_future(self._run_after(self.under_way))
        await asyncio.shield(self.next)

    async def _run_after(self, earlier: asyncio.Future[None] | None) -> None:
        if earlier is not None:
            await asyncio.wait((earlier,))
        self.under_way, self.next = self.next, None
        await self.ask()


async def answer_view(process: ControlProcess, request: cpb.ViewRequest) -> cpb.View:
    """Return a view once there is news, or after HOLD_MS; names the leader if not."""
    if process.state.role is not Role.LEADER:
        return _redirect(process, process.state.address_of(process.state.leader))
    process.views.note(request, monotonic_ms())
    if not _has_news(process, request):
        await _wait_for_news(process, request)
    try:
        await process.reads.confirm()
    except NotLeader as error:
        return _redirect(process, error.leader_address)
    return _view(process, request)


def _has_news(process: ControlProcess, request: cpb.ViewRequest) -> bool:
    return (
        request.document_version < process.machine.document.version
        or request.source != process.run_id
        or request.members_version < process.members.version
    )


async def _wait_for_news(process: ControlProcess, request: cpb.ViewRequest) -> None:
    until = monotonic_ms() + HOLD_MS
    while not _has_news(process, request):
        left_ms = until - monotonic_ms()
        if left_ms <= 0 or process.state.role is not Role.LEADER:
            return
        try:
            async with asyncio.timeout(left_ms / 1000):
                await process.members_change.wait()
        except TimeoutError:
            return


def _redirect(process: ControlProcess, leader_address: str) -> cpb.View:
    return cpb.View(
        not_leader=True,
        leader_address=leader_address,
        control_addresses=_addresses(process),
    )


def _addresses(process: ControlProcess) -> list[str]:
    return [peer.address for peer in process.state.membership.peers]


def _view(process: ControlProcess, request: cpb.ViewRequest) -> cpb.View:
    same_source = request.source == process.run_id
    members_version = request.members_version if same_source else 0
    delta = process.members.delta_since(members_version, monotonic_ms())
    uses = process.views.uses_of_others(request.instance)
    view = cpb.View(
        control_addresses=_addresses(process),
        source=process.run_id,
        members_version=delta.version,
        members_snapshot=delta.snapshot,
        members=delta.members,
        departed=delta.departed,
        entries=len(process.views.report_by_entry),
        uses=[
            cpb.ServerUse(backend_server=server, tokens=use.tokens, first=use.first)
            for server, use in uses.items()
        ],
    )
    if request.document_version < process.machine.document.version:
        view.document.CopyFrom(process.machine.document)
    return view


__all__ = ["ReadRounds", "Use", "Views", "answer_view"]

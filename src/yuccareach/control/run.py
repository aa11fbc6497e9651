"""The process of one control instance: replicated log, members and watchers."""

from __future__ import annotations

import asyncio
import itertools
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from yuccareach.control import raft
from yuccareach.control.backups import read_backup
from yuccareach.control.departures import apply_withdrawals, remove_departed
from yuccareach.control.document_deltas import DocumentHistory
from yuccareach.control.errors import CorruptLog, DiskFailed, RequestRefusedError
from yuccareach.control.joining import introduce_to_seeds, stay_joined
from yuccareach.control.member_tasks import (
    relay_members_periodically,
    save_members_periodically,
)
from yuccareach.control.members import MemberTable
from yuccareach.control.memory_store import MemoryStore
from yuccareach.control.operators import build_operator_app
from yuccareach.control.peers import PeerStreams
from yuccareach.control.persistence import persist
from yuccareach.control.raft_types import (
    BatchEnded,
    CommandAnswered,
    RaftState,
    ReadConfirmed,
    ReadRequested,
    RecordsApplied,
    RequestRefused,
    Role,
    SendMessage,
    StoredState,
    WriteFailed,
)
from yuccareach.control.server import ControlService, Watcher
from yuccareach.control.state_machine import StateMachine, load_state_machine
from yuccareach.control.store import DiskStore
from yuccareach.control.views import (
    READ_ROUND_INTERVAL_S,
    EntryReports,
    ReadBatcher,
)
from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.control_pb2_grpc import add_ControlServicer_to_server
from yuccareach.quota.allocation import AllocationTable
from yuccareach.runtime.http import HttpServer
from yuccareach.runtime.logs import Log, logger, write_log
from yuccareach.runtime.process import new_incarnation
from yuccareach.runtime.reducer import Tick, monotonic_ms, wall_clock_ms
from yuccareach.runtime.rpc import listen
from yuccareach.runtime.tasks import cancel_tasks, keep_running

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccareach.control.options import ControlOptions

TICK_INTERVAL_MS = 50
DISK_REOPEN_DELAY_MS = 500
DRAIN_DELAY_MS = 10
_log = logger("control")


class ControlProcess:
    """Runs one control instance.

    Events change the state of the replicated log through the reducer in raft. The
    members and watchers are kept outside the log.
    """

    def __init__(
        self,
        options: ControlOptions,
        build_app: Callable[[ControlProcess], Any] = build_operator_app,
    ) -> None:
        self.options = options
        self.build_app = build_app
        self.join_targets = options.join
        self.backup = read_backup(options.restore)
        self.store = _open_store(options)
        self.state = self._load_state_or_fail()
        self.run_id = new_incarnation()
        self.members = MemberTable(
            monotonic_ms(), options.member_lease_ms, options.member_warm_up_ms
        )
        self.entry_reports = EntryReports()
        self.documents = DocumentHistory()
        # Of the term in which this instance leads.
        self._limit_allocations = AllocationTable()
        self._limits_term = 0
        self.read_batcher = ReadBatcher(
            lambda: self.dispatch_and_wait(ReadRequested), READ_ROUND_INTERVAL_S
        )
        # The last change of withdrawals that the members follow.
        self.applied_withdrawal = 0
        apply_withdrawals(self)
        saved_heartbeats = self.store.load_members().heard
        self.members.restore((item.member for item in saved_heartbeats), monotonic_ms())
        self.saved_members_version = self.members.version
        if self.members.record_by_name:
            _log.info(
                "members_restored",
                extra={"names": ",".join(sorted(self.members.record_by_name))},
            )
        self.watchers: set[Watcher] = set()
        self.watch_requests_by_source: dict[str, list[cpb.WatchRequest]] = {}
        self.last_contact_ms_by_source: dict[str, int] = {}
        self.ticket_counter = itertools.count(1)
        self.waiter_by_ticket: dict[int, asyncio.Future[Any]] = {}
        self.pending_events: list[Any] = []
        self.flush_scheduled = False
        self.settings_change_event = asyncio.Event()
        self.members_change_event = asyncio.Event()
        self.notified_revision = self.machine.revision
        self.notified_loss_changes = self.machine.loss_counts.changes
        self.notified_document_version = self.machine.document.version
        self.tasks: list[asyncio.Task[None]] = []
        self.draining = False
        self.unrelayed_dismissals: list[cpb.Dismissal] = []
        self.relay_due = asyncio.Event()

    @property
    def machine(self) -> StateMachine:
        """The replicated state, with the log records that this instance has applied."""
        machine: StateMachine = self.state.machine
        return machine

    def _load_state(self) -> RaftState:
        """Load the state of the log from the data folder."""
        stored = self.store.load()
        machine = (
            load_state_machine(stored.snapshot.state)
            if stored.snapshot.state
            else StateMachine()
        )
        identity = stored.hard_state.identity
        return RaftState(
            identity,
            stored,
            machine,
            Random(identity),
            self.options.snapshot_every,
            self.options.voters,
        )

    def _load_state_or_fail(self) -> RaftState:
        """Load the state, or one that takes no part until the disk is usable.

        A process that ended instead would be restarted again and again, and could not
        receive heartbeats meanwhile.
        """
        try:
            return self._load_state()
        except DiskFailed as error:
            _log.warning("disk_unusable", extra={"reason": str(error)})
            stored = StoredState(cpb.HardState(), cpb.SnapshotFile(), [])
            state = RaftState("", stored, StateMachine(), Random(), 0)
            state.role = Role.FAILED
            state.failure = str(error)
            return state

    async def start(self) -> None:
        """Open the listeners, initialize the log if requested and start the tasks."""
        options = self.options
        self.server, bound = listen(options.host, options.port)
        self.address = options.advertise or bound
        self.http = HttpServer(
            self.build_app(self), options.host, options.http_port, options.buffers
        )
        self.peers = PeerStreams(self.state, self.address)
        add_ControlServicer_to_server(ControlService(self), self.server)
        await self.server.start()
        await self.http.start()
        self._initialize_log()
        self.tasks = [
            asyncio.create_task(keep_running(run_loop, partial(write_log, _log)))
            for run_loop in (
                self._tick,
                partial(relay_members_periodically, self),
                partial(save_members_periodically, self),
            )
        ]
        if options.join:
            self.tasks += [
                asyncio.create_task(keep_running(run_loop, partial(write_log, _log)))
                for run_loop in (
                    partial(stay_joined, self),
                    partial(introduce_to_seeds, self),
                )
            ]
        _log.info(
            "started",
            extra={"address": self.address, "http": self.http.address},
        )

    def _initialize_log(self) -> None:
        """Start a new log if requested, unless there is one or the disk has failed.

        A start that the disk interrupted is completed, also if a later start of the
        process does not request it.
        """
        if self.state.role is Role.FAILED:
            return
        if self.options.restore is not None:
            self.perform(raft.restore(self.state, self.own_peer(), self.backup))
        elif self.options.bootstrap or raft.is_start_interrupted(self.state):
            now = monotonic_ms()
            self.perform(raft.bootstrap(self.state, self.own_peer(), now))

    def own_peer(self) -> cpb.Peer:
        """Return the description of this instance that is sent to the others."""
        return cpb.Peer(
            name=self.options.instance,
            identity=self.state.identity,
            address=self.address,
            operator_address=self.options.operator_address or self.http.address,
            volatile=self.options.data is None,
        )

    def replace_join_targets(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses that were configured for joining."""
        previous, self.join_targets = self.join_targets, addresses
        if addresses != previous:
            _log.info(
                "seeds_replaced",
                extra={"previous": ",".join(previous), "seeds": ",".join(addresses)},
            )

    # Events and effects.

    def dispatch(self, event: Any) -> None:
        """Queue an event.

        Events queued in the same pass of the event loop are reduced as one batch and
        share one sync of the disk.
        """
        self.pending_events.append(event)
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        events, self.pending_events = self.pending_events, []
        now, wall_ms = monotonic_ms(), wall_clock_ms()
        effects = [
            effect
            for event in (*events, BatchEnded())
            for effect in raft.reduce(self.state, event, now, wall_ms)
        ]
        self.perform(effects)

    def perform(self, effects: list[Any]) -> None:
        """Perform effects: write and sync to disk first, then send and answer.

        If the disk fails, all effects except refusals are discarded and all waiting
        callers are rejected, since nothing may be acknowledged before it is synced.
        """
        try:
            persist(self.store, self.state, effects)
        except DiskFailed as error:
            failure = raft.reduce(self.state, WriteFailed(str(error)), 0)
            effects = [
                effect for effect in effects if isinstance(effect, RequestRefused)
            ] + failure
            _reject_waiters(self.waiter_by_ticket)
        for effect in effects:
            self._perform_effect(effect)

    def _perform_effect(self, effect: Any) -> None:
        match effect:
            case SendMessage(message=message):
                self.peers.send(message)
            case CommandAnswered(ticket=ticket, answer=answer):
                self._resolve(ticket, answer)
            case ReadConfirmed(ticket=ticket):
                self._resolve(ticket, None)
            case RequestRefused(ticket=ticket, reason=reason, leader=leader):
                self._reject(ticket, reason, leader)
            case RecordsApplied(revision=revision):
                self._follow_withdrawals()
                if self.machine.document.version != self.notified_document_version:
                    self.notified_document_version = self.machine.document.version
                    self.notify_all_watchers()
                if revision != self.notified_revision:
                    self.notified_revision = revision
                    self.notify_all_watchers()
                elif self.machine.loss_counts.changes != self.notified_loss_changes:
                    self.notified_loss_changes = self.machine.loss_counts.changes
                    self.notify_member_watchers()
            case Log():
                write_log(_log, effect)

    def _resolve(self, ticket: int, answer: Any) -> None:
        waiter = self.waiter_by_ticket.pop(ticket, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(answer)

    def _reject(self, ticket: int, reason: str, leader: str) -> None:
        waiter = self.waiter_by_ticket.pop(ticket, None)
        if waiter is not None and not waiter.done():
            error = RequestRefusedError(leader)
            error.args = (reason,)
            waiter.set_exception(error)

    async def dispatch_and_wait(self, build_event: Callable[[int], Any]) -> Any:
        """Dispatch an event and wait for its answer.

        build_event receives the ticket that identifies this caller. Raises
        RequestRefusedError, whose text is the reason, if the event is refused.
        """
        ticket = next(self.ticket_counter)
        waiter = asyncio.get_running_loop().create_future()
        self.waiter_by_ticket[ticket] = waiter
        try:
            self.dispatch(build_event(ticket))
            return await waiter
        finally:
            self.waiter_by_ticket.pop(ticket, None)

    # Members and watchers.

    def record_heartbeat(self, heartbeat: cpb.Heartbeat) -> None:
        """Record a heartbeat from the stream of an agent attached to this instance."""
        member = heartbeat.member
        version = self.members.version
        if heartbeat.leaving:
            self.members.remove_incarnation(member.backend_server, member.incarnation)
        else:
            now = monotonic_ms()
            self.members.record_heartbeat(member, now, revision=heartbeat.revision)
        if self.members.version != version:
            self.notify_member_watchers()

    def record_single_heartbeat(self, member: cpb.Member) -> None:
        """Record a heartbeat that was received outside an agent's stream."""
        version = self.members.version
        self.members.record_heartbeat(member, monotonic_ms())
        if self.members.version != version:
            self.notify_member_watchers()
            self.relay_due.set()

    def deregister(self, name: str, started_ms: int) -> None:
        """Remove a departing backend server here and on the other control instances.

        A started_ms of 0 stands for the incarnation that is recorded. Nothing of this
        is durable: see departures.commit_withdrawal.
        """
        if remove_departed(self, name, started_ms, "backend_server"):
            self.notify_member_watchers()
        self.unrelayed_dismissals.append(
            cpb.Dismissal(backend_server=name, started_ms=started_ms)
        )
        self.relay_due.set()

    def receive_relayed_frame(self, frame: cpb.RaftFrame) -> None:
        """Apply the members, departures and watchers that another instance relayed."""
        now = monotonic_ms()
        self.peers.record_source_address(frame, now)
        self.last_contact_ms_by_source[frame.source] = now
        version = self.members.version
        if frame.watchers:
            self.watch_requests_by_source[frame.source] = list(frame.watchers)
        self.members.apply_relayed_frame(frame, now)
        for dismissal in frame.dismissed:
            remove_departed(
                self, dismissal.backend_server, dismissal.started_ms, frame.source
            )
        if self.members.version != version:
            self.notify_member_watchers()

    def _follow_withdrawals(self) -> None:
        """Apply new withdrawals to the members, and wake watchers of a change."""
        version = self.members.version
        apply_withdrawals(self)
        if self.members.version != version:
            self.notify_member_watchers()

    def build_update(self, watcher: Watcher) -> cpb.WatchUpdate | None:
        """Return the changes not yet sent to a watcher, or None if there are none."""
        update = cpb.WatchUpdate()
        if watcher.sent_revision < self.machine.revision:
            update.settings.CopyFrom(self.machine.settings_after(watcher.sent_revision))
            watcher.sent_revision = self.machine.revision
        now = monotonic_ms()
        if watcher.request.members and watcher.members_version < self.members.version:
            delta = self.members.delta_since(watcher.members_version, now)
            update.members_snapshot = delta.snapshot
            update.members.extend(delta.members)
            update.departed.extend(delta.departed)
            watcher.members_version = delta.version
        if (
            watcher.request.members
            and watcher.sent_loss_changes < self.machine.loss_counts.changes
        ):
            update.wall_ms = wall_clock_ms()
            update.losses.extend(
                self.machine.loss_counts.list_after(
                    watcher.sent_loss_changes, update.wall_ms
                )
            )
            watcher.sent_loss_changes = self.machine.loss_counts.changes
        entry_count = len(self.find_watching_entries())
        if watcher.request.members and watcher.sent_entry_count != entry_count:
            update.entries = watcher.sent_entry_count = entry_count
        return update if update.ByteSize() else None

    def notify_all_watchers(self) -> None:
        """Wake every watcher and replace the event that it waited for."""
        previous, self.settings_change_event = (
            self.settings_change_event,
            asyncio.Event(),
        )
        previous.set()
        self.notify_member_watchers()

    def get_limit_allocations(self) -> AllocationTable:
        """Return the limits of servers and their allocations of the current term.

        Each term starts with none, since another leader may have granted meanwhile.
        """
        if self._limits_term != self.state.term:
            self._limits_term = self.state.term
            self._limit_allocations = AllocationTable()
        return self._limit_allocations

    def notify_member_watchers(self) -> None:
        """Wake the watchers of members and replace the event that they waited for."""
        previous, self.members_change_event = self.members_change_event, asyncio.Event()
        previous.set()

    def select_change_event(self, watcher: Watcher) -> asyncio.Event:
        """Return the event that is set at the next change for a watcher."""
        if watcher.request.members:
            return self.members_change_event
        return self.settings_change_event

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)
            now = monotonic_ms()
            if self.state.role is Role.FAILED:
                await self._reopen_disk()
            self.dispatch(Tick())
            if not self.members.is_warmed_up(now) or not self.state.leader:
                # Without a leader, this instance may itself be disconnected. Missing
                # heartbeats then do not show that a member has failed.
                continue
            expired = self.members.remove_expired(now, self.last_contact_ms_by_source)
            if expired:
                _log.info(
                    "members_expired",
                    extra={
                        "names": ",".join(expired),
                        "lease_ms": self.members.lease_ms,
                    },
                )
                self.notify_member_watchers()

    async def _reopen_disk(self) -> None:
        """Reload the state from disk once the disk is writable again."""
        await asyncio.sleep(DISK_REOPEN_DELAY_MS / 1000)
        self.store.close()
        try:
            self.store.check_writable()
            state = self._load_state()
        except (DiskFailed, CorruptLog) as error:
            _log.warning("disk_unusable", extra={"reason": str(error)})
            return
        self.state = self.peers.state = state
        _log.info("disk_usable", extra={"last_index": state.last_index})
        self._initialize_log()

    def list_watch_requests(self) -> list[cpb.WatchRequest]:
        """Return the last request of each watcher of any control instance.

        A request states the settings revision in force at its watcher.
        """
        relayed = itertools.chain.from_iterable(self.watch_requests_by_source.values())
        local = (watcher.request for watcher in self.watchers)
        return [*local, *relayed]

    def find_watching_entries(self) -> set[str]:
        """Return the entries that watch members at any control instance."""
        requests = self.list_watch_requests()
        return {request.instance for request in requests if request.members}

    def leader_operator_address(self) -> str:
        """Return the leader's address for operators, or an empty string if unknown."""
        state = self.state
        return next(
            (
                peer.operator_address
                for peer in state.membership.peers
                if state.leader and peer.identity == state.leader
            ),
            "",
        )

    async def drain(self) -> None:
        """Report this instance as not ready and wait briefly for calls in flight.

        A short wait is enough, since no call to a control instance takes long.
        Leadership is not handed over explicitly: once this instance has stopped, the
        others receive no heartbeats and elect a new leader.
        """
        self.draining = True
        await asyncio.sleep(DRAIN_DELAY_MS / 1000)

    async def stop(self) -> None:
        """Stop the tasks and listeners and close the store."""
        await cancel_tasks(self.tasks)
        await self.http.stop()
        await self.server.stop(0.2)
        await self.peers.close()
        self.store.close()
        _log.info("stopped")


def _open_store(options: ControlOptions) -> DiskStore | MemoryStore:
    """Return the storage of the data folder, or one in memory without a folder."""
    if options.data is None:
        return MemoryStore(options.instance)
    return DiskStore(options.data, options.instance)


def _reject_waiters(waiter_by_ticket: dict[int, asyncio.Future[Any]]) -> None:
    """Reject all waiting callers with the reason disk_failed."""
    for waiter in waiter_by_ticket.values():
        if not waiter.done():
            error = RequestRefusedError("")
            error.args = ("disk_failed",)
            waiter.set_exception(error)
    waiter_by_ticket.clear()


__all__ = ["ControlProcess"]

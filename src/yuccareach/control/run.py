"""The control process."""

from __future__ import annotations

import asyncio
import itertools
from random import Random
from typing import TYPE_CHECKING, Any

from yuccareach.control import raft
from yuccareach.control.backups import read_backup
from yuccareach.control.errors import CorruptLog, DiskFailed, NotLeader
from yuccareach.control.joining import stay_joined
from yuccareach.control.machine import Machine, load_machine
from yuccareach.control.members import MemberTable
from yuccareach.control.operators import operator_app
from yuccareach.control.peers import PeerLinks
from yuccareach.control.persistence import persist
from yuccareach.control.raft_types import (
    Answer,
    Applied,
    BatchEnd,
    RaftState,
    ReadAsked,
    ReadConfirmed,
    Refused,
    Role,
    SendPeer,
    WriteFailed,
)
from yuccareach.control.server import ControlService, Watcher
from yuccareach.control.store import DiskStore
from yuccareach.control.upkeep import relay_members, remember_members
from yuccareach.control.views import EntryReports, ReadBatcher
from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.control_pb2_grpc import add_ControlServicer_to_server
from yuccareach.runtime.http import HttpServer
from yuccareach.runtime.logs import Log, logger, write_log
from yuccareach.runtime.process import new_incarnation
from yuccareach.runtime.reducer import Tick, monotonic_ms, wall_clock_ms
from yuccareach.runtime.rpc import listen

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccareach.control.options import ControlOptions

TICK_INTERVAL_MS = 50
REOPEN_DISK_MS = 500
DRAIN_SETTLE_MS = 10
_log = logger("control")


class ControlProcess:
    """One control instance: its log, its members and its watchers."""

    def __init__(
        self,
        options: ControlOptions,
        build_app: Callable[[ControlProcess], Any] = operator_app,
    ) -> None:
        self.options = options
        self.build_app = build_app
        self.join_targets = options.join
        self.backup = read_backup(options.restore)
        self.store = DiskStore(options.data, options.instance)
        self.state = self._load()
        self.run_id = new_incarnation()
        self.members = MemberTable(
            monotonic_ms(), options.member_lease_ms, options.member_warm_up_ms
        )
        self.entry_reports = EntryReports()
        self.read_batcher = ReadBatcher(lambda: self.ask(ReadAsked))
        recalled = self.store.load_members().heard
        self.members.restore((item.member for item in recalled), monotonic_ms())
        self.saved_members = self.members.version
        self.watchers: set[Watcher] = set()
        self.relayed_watchers: dict[str, list[cpb.WatchRequest]] = {}
        self.relay_heard_ms: dict[str, int] = {}
        self.tickets = itertools.count(1)
        self.waiting_by_ticket: dict[int, asyncio.Future[Any]] = {}
        self.pending: list[Any] = []
        self.flush_scheduled = False
        self.settings_change = asyncio.Event()
        self.members_change = asyncio.Event()
        self.signalled_revision = self.machine.revision
        self.signalled_losses = self.machine.loss_changes
        self.signalled_document = self.machine.document.version
        self.tasks: list[asyncio.Task[None]] = []
        self.draining = False
        self.dismissed: list[cpb.Dismissal] = []
        self.relay_due = asyncio.Event()

    @property
    def machine(self) -> Machine:
        """The replicated state, as far as it is applied here."""
        machine: Machine = self.state.machine
        return machine

    def _load(self) -> RaftState:
        """Return the state of the log that the data folder holds."""
        stored = self.store.load()
        machine = (
            load_machine(stored.snapshot.state) if stored.snapshot.state else Machine()
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

    async def start(self) -> None:
        """Listen, and take part in the log."""
        options = self.options
        self.server, bound = listen(options.host, options.port)
        self.address = options.advertise or bound
        self.http = HttpServer(self.build_app(self), options.host, options.http_port)
        self.peers = PeerLinks(self.state, self.address)
        add_ControlServicer_to_server(ControlService(self), self.server)
        await self.server.start()
        await self.http.start()
        if options.restore is not None:
            self.perform(raft.restore(self.state, self.own_peer(), self.backup))
        elif options.bootstrap:
            now = monotonic_ms()
            self.perform(raft.bootstrap(self.state, self.own_peer(), now))
        self.tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(relay_members(self)),
            asyncio.create_task(remember_members(self)),
        ]
        if options.join:
            self.tasks.append(asyncio.create_task(stay_joined(self)))
        _log.info(
            "started",
            extra={"address": self.address, "http": self.http.address},
        )

    def own_peer(self) -> cpb.Peer:
        """Return this instance as the others are to know it."""
        return cpb.Peer(
            name=self.options.instance,
            identity=self.state.identity,
            address=self.address,
            operator_address=self.options.operator_address or self.http.address,
            volatile=self.options.volatile,
        )

    # Events and effects.

    def dispatch(self, event: Any) -> None:
        """Queue an event; all at hand are reduced and synced together."""
        self.pending.append(event)
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        events, self.pending = self.pending, []
        now, wall_ms = monotonic_ms(), wall_clock_ms()
        effects = [
            effect
            for event in (*events, BatchEnd())
            for effect in raft.reduce(self.state, event, now, wall_ms)
        ]
        self.perform(effects)

    def perform(self, effects: list[Any]) -> None:
        """Write and sync first; only then send and answer."""
        try:
            persist(self.store, self.state, effects)
        except DiskFailed as error:
            failure = raft.reduce(self.state, WriteFailed(str(error)), 0)
            effects = [
                effect for effect in effects if isinstance(effect, Refused)
            ] + failure
            _fail_answers(self.waiting_by_ticket)
        for effect in effects:
            self._perform_one(effect)

    def _perform_one(self, effect: Any) -> None:
        match effect:
            case SendPeer(message=message):
                self.peers.send(message)
            case Answer(ticket=ticket, answer=answer):
                self._resolve(ticket, answer)
            case ReadConfirmed(ticket=ticket):
                self._resolve(ticket, None)
            case Refused(ticket=ticket, reason=reason, leader=leader):
                self._reject(ticket, reason, leader)
            case Applied(revision=revision):
                if self.machine.document.version != self.signalled_document:
                    self.signalled_document = self.machine.document.version
                    self.settings_changed()
                if revision != self.signalled_revision:
                    self.signalled_revision = revision
                    self.settings_changed()
                elif self.machine.loss_changes != self.signalled_losses:
                    self.signalled_losses = self.machine.loss_changes
                    self.members_changed()
            case Log():
                write_log(_log, effect)

    def _resolve(self, ticket: int, answer: Any) -> None:
        waiting = self.waiting_by_ticket.pop(ticket, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _reject(self, ticket: int, reason: str, leader: str) -> None:
        waiting = self.waiting_by_ticket.pop(ticket, None)
        if waiting is not None and not waiting.done():
            error = NotLeader(leader)
            error.args = (reason,)
            waiting.set_exception(error)

    async def ask(self, event: Callable[[int], Any]) -> Any:
        """Dispatch an event that carries a ticket, and wait for its answer."""
        ticket = next(self.tickets)
        waiting = asyncio.get_running_loop().create_future()
        self.waiting_by_ticket[ticket] = waiting
        try:
            self.dispatch(event(ticket))
            return await waiting
        finally:
            self.waiting_by_ticket.pop(ticket, None)

    # Members and watchers.

    def hear(self, heartbeat: cpb.Heartbeat) -> None:
        """Take a heartbeat of an agent attached here."""
        member = heartbeat.member
        version = self.members.version
        if heartbeat.leaving:
            self.members.remove_incarnation(member.backend_server, member.incarnation)
        else:
            now = monotonic_ms()
            self.members.record_heartbeat(member, now, revision=heartbeat.revision)
        if self.members.version != version:
            self.members_changed()

    def announce(self, member: cpb.Member) -> None:
        """Take a heartbeat that came outside an agent's stream."""
        version = self.members.version
        self.members.record_heartbeat(member, monotonic_ms())
        if self.members.version != version:
            self.members_changed()
            self.relay_due.set()

    def dismiss(self, name: str, started_ms: int) -> None:
        """Take out a backend server that announced its departure, everywhere."""
        if self.members.deregister(name, started_ms, monotonic_ms()):
            self.members_changed()
        self.dismissed.append(cpb.Dismissal(backend_server=name, started_ms=started_ms))
        self.relay_due.set()

    def hear_relayed(self, frame: cpb.RaftFrame) -> None:
        """Take what another control instance has heard."""
        now = monotonic_ms()
        self.peers.learn(frame)
        self.relay_heard_ms[frame.source] = now
        version = self.members.version
        if frame.watchers:
            self.relayed_watchers[frame.source] = list(frame.watchers)
        self.members.apply_relayed_frame(frame, now)
        for gone in frame.dismissed:
            self.members.deregister(gone.backend_server, gone.started_ms, now)
        if self.members.version != version:
            self.members_changed()

    def update_for(self, watcher: Watcher) -> cpb.WatchUpdate | None:
        """Return what a watcher lacks, or None."""
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
        if watcher.request.members and watcher.sent_losses < self.machine.loss_changes:
            update.losses.extend(self.machine.losses_after(watcher.sent_losses))
            watcher.sent_losses = self.machine.loss_changes
        entries = len(self.entries_watching())
        if watcher.request.members and watcher.sent_entries != entries:
            update.entries = watcher.sent_entries = entries
        return update if update.ByteSize() else None

    def settings_changed(self) -> None:
        """Wake every watcher; later waits get a new event."""
        changed, self.settings_change = self.settings_change, asyncio.Event()
        changed.set()
        self.members_changed()

    def members_changed(self) -> None:
        """Wake the watchers of members; later waits get a new event."""
        changed, self.members_change = self.members_change, asyncio.Event()
        changed.set()

    def change_for(self, watcher: Watcher) -> asyncio.Event:
        """Return the event that a watcher has to wait for."""
        if watcher.request.members:
            return self.members_change
        return self.settings_change

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)
            now = monotonic_ms()
            if self.state.role is Role.FAILED:
                await self._reopen_disk()
            self.dispatch(Tick())
            if not self.members.is_warmed_up(now) or not self.state.leader:
                # Cut off from the others: the silence may be on this side.
                continue
            expired = self.members.remove_expired(now, self.relay_heard_ms)
            if expired:
                _log.info(
                    "members_expired",
                    extra={
                        "names": ",".join(expired),
                        "lease_ms": self.members.lease_ms,
                    },
                )
                self.members_changed()

    async def _reopen_disk(self) -> None:
        """Start again from what the disk holds, once it takes writes."""
        await asyncio.sleep(REOPEN_DISK_MS / 1000)
        self.store.close()
        try:
            self.store.check_writable()
            state = self._load()
        except (DiskFailed, CorruptLog) as error:
            _log.warning("disk_unusable", extra={"reason": str(error)})
            return
        self.state = self.peers.state = state
        _log.info("disk_usable", extra={"last_index": state.last_index})

    def revisions_in_force(self) -> list[cpb.WatchRequest]:
        """Return what every watching process reports, here and elsewhere."""
        relayed = itertools.chain.from_iterable(self.relayed_watchers.values())
        own = (watcher.request for watcher in self.watchers)
        return [*own, *relayed]

    def entries_watching(self) -> set[str]:
        """Return the entries that watch members, here and elsewhere."""
        watchers = self.revisions_in_force()
        return {watcher.instance for watcher in watchers if watcher.members}

    def leader_operator_address(self) -> str:
        """Return where operators reach the leader, or an empty string."""
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
        """Hand over leadership by going silent; nothing here is in flight long."""
        self.draining = True
        await asyncio.sleep(DRAIN_SETTLE_MS / 1000)

    async def stop(self) -> None:
        """Close everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.http.stop()
        await self.server.stop(0.2)
        await self.peers.close()
        self.store.close()
        _log.info("stopped")


def _fail_answers(waiting_by_ticket: dict[int, asyncio.Future[Any]]) -> None:
    """Reject everyone who waits, since nothing is acknowledged any more."""
    for waiting in waiting_by_ticket.values():
        if not waiting.done():
            error = NotLeader("")
            error.args = ("disk_failed",)
            waiting.set_exception(error)
    waiting_by_ticket.clear()


__all__ = ["ControlProcess"]

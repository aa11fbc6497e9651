"""Raft reducers of several control instances on a simulated faulty network and disks.

Cluster is also the test oracle: after every event it checks the instance's state and
the answers to callers, and raises AssertionError on a violation.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

from yuccareach.control import raft
from yuccareach.control.persistence import persist
from yuccareach.control.raft_types import (
    BatchEnded,
    CommandAnswered,
    CommandSubmitted,
    PeerJoinRequested,
    RaftMessageReceived,
    RaftState,
    ReadConfirmed,
    ReadRequested,
    RequestRefused,
    Role,
    SendMessage,
    StoredState,
)
from yuccareach.control.state_machine import StateMachine, load_state_machine
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.links import SILENCE_DETECTION_MS
from yuccareach.runtime.reducer import Tick

TEAMS = ("kalahari", "kitamichi")
SNAPSHOT_INTERVAL_RECORDS = 25
MAX_MESSAGES_IN_FLIGHT = 400
ROUND_MS = 50
# A stream that falls silent is given up after this time, and opened again 100 ms later
# (runtime/links.py, control/peers.py).
MAX_SILENCE_MS = SILENCE_DETECTION_MS + 100
# Time for an election of several rounds, and for two changes of the members.
MAX_RECOVERY_MS = 5_000
MAX_FAULT_MS = 6_000


class MemoryStore:
    """A store in memory that loses unsynced records when its instance crashes."""

    def __init__(self, identity: str) -> None:
        self.hard_state = cpb.HardState(identity=identity)
        self.snapshot = cpb.SnapshotFile()
        self.frames: list[list[cpb.LogRecord]] = []
        self.unsynced: list[list[cpb.LogRecord]] = []

    def append(self, records: list[cpb.LogRecord]) -> None:
        self.unsynced.append([_copy(record) for record in records])

    def sync(self) -> None:
        self.frames += self.unsynced
        self.unsynced = []

    def save_hard_state(self, state: cpb.HardState) -> None:
        self.hard_state = _copy(state)

    def save_snapshot(
        self, snapshot: cpb.SnapshotFile, later_records: list[cpb.LogRecord]
    ) -> None:
        self.snapshot = _copy(snapshot)
        self.frames = [[_copy(record) for record in later_records]]
        self.unsynced = []

    def crash(self) -> None:
        self.unsynced = []

    def load(self) -> StoredState:
        records: list[cpb.LogRecord] = []
        for record in (record for frame in self.frames for record in frame):
            if record.index > self.snapshot.last_index:
                del records[record.index - self.snapshot.last_index - 1 :]
                records.append(_copy(record))
        return StoredState(_copy(self.hard_state), _copy(self.snapshot), records)


def _copy(message: Any) -> Any:
    return type(message).FromString(message.SerializeToString(deterministic=True))


class Node:
    """One control instance, with its own store and clock."""

    def __init__(self, name: str, identity: str) -> None:
        self.name = name
        self.identity = identity
        self.store = MemoryStore(identity)
        self.now = 0
        self.up = True
        self.start()

    def start(self) -> None:
        stored = self.store.load()
        machine = (
            load_state_machine(stored.snapshot.state)
            if stored.snapshot.state
            else StateMachine()
        )
        self.state = RaftState(
            self.identity,
            stored,
            machine,
            Random(self.identity),
            SNAPSHOT_INTERVAL_RECORDS,
        )
        self.state.election_due_ms = self.now + 700
        self.up = True


class Cluster:
    """The instances, the messages in flight between them, and the oracle."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.node_by_identity: dict[str, Node] = {}
        self.messages: list[cpb.RaftMessage] = []
        self.partitions: set[frozenset[str]] = set()
        # Pairs of sender and receiver whose messages are lost, that way only.
        self.blocked_links: set[tuple[str, str]] = set()
        # Pairs of sender and receiver whose open stream loses all messages, and when
        # the sender gives it up by its own clock. Other connections work.
        self.silent_until_ms_by_link: dict[tuple[str, str], int] = {}
        # The instance whose process is paused; it resumes as if no time had passed.
        self.paused = ""
        self.last_ticket = 0
        self.command_by_ticket: dict[int, cpb.Command] = {}
        self.min_revision_by_read: dict[int, int] = {}
        self.generation_by_name = Counter[str]()
        # State of the oracle.
        self.leader_by_term: dict[int, str] = {}
        self.committed_record_by_index: dict[int, bytes] = {}
        self.accepted_change_by_revision: dict[int, cpb.SettingsChange] = {}
        self.answer_by_change_id: dict[str, bytes] = {}
        self.permit_by_key: dict[str, int] = {}
        # Permits whose revocation was requested; it may have succeeded even if no
        # answer came.
        self.revoked_permits: set[int] = set()
        self.holder_by_fencing_number: dict[int, str] = {}
        for name in ("a", "b", "c"):
            self.add_node(name, bootstrap=name == "a")
        self.settle()

    # Faults and events.

    def add_node(self, name: str, *, bootstrap: bool = False) -> None:
        """Start an instance with an empty disk, under a new identity."""
        self.generation_by_name[name] += 1
        node = Node(name, f"{name}{self.generation_by_name[name]}")
        node.now = max((other.now for other in self.nodes.values()), default=0)
        self.nodes[name] = node
        self.node_by_identity[node.identity] = node
        self._reopen_streams(name)
        if bootstrap:
            peer = cpb.Peer(name=name, identity=node.identity)
            self._perform(node, raft.bootstrap(node.state, peer, 0))

    def handle(
        self, node: Node, event: Any, *, crash_before_sync: bool = False
    ) -> None:
        """Reduce one event and the end of its batch, and perform the effects.

        crash_before_sync crashes the instance in place of performing them.
        """
        if not node.up:
            return
        effects = [
            *raft.reduce(node.state, event, node.now, node.now),
            *raft.reduce(node.state, BatchEnded(), node.now, node.now),
        ]
        if crash_before_sync:
            self.crash(node)
            return
        self._perform(node, effects)
        self._check_node(node)

    def _perform(self, node: Node, effects: list[Any]) -> None:
        persist(node.store, node.state, effects)
        for effect in effects:
            match effect:
                case SendMessage(message=message):
                    if not self._is_silent(node, message.target):
                        self.messages.append(_copy(message))
                case CommandAnswered(ticket=ticket, answer=answer):
                    self._check_answer(ticket, _copy(answer))
                case ReadConfirmed(ticket=ticket):
                    self._check_read(node, ticket)
                case RequestRefused(ticket=ticket):
                    self.command_by_ticket.pop(ticket, None)
                    self.min_revision_by_read.pop(ticket, None)
        del self.messages[:-MAX_MESSAGES_IN_FLIGHT]

    def tick(self, name: str, elapsed_ms: int) -> None:
        """Advance the clock of one instance only, so that clocks diverge."""
        node = self.nodes[name]
        if name == self.paused:
            return
        node.now += elapsed_ms
        self.handle(node, Tick())
        if node.up and not _is_member(node):
            self.request_join(node)

    def request_join(self, node: Node) -> None:
        """Send a join request to every instance that is reachable."""
        peer = cpb.Peer(name=node.name, identity=node.identity, address=node.identity)
        for other in list(self.nodes.values()):
            if other is not node and self._connected(other.identity, node.identity):
                self.handle(other, PeerJoinRequested(self._next_ticket(), _copy(peer)))

    def deliver(
        self, position: int, *, keep: bool = False, crash: bool = False
    ) -> None:
        """Deliver one message in flight.

        keep leaves the message in flight, so that it can be delivered again. crash
        crashes the receiver before it syncs.
        """
        if not self.messages:
            return
        position %= len(self.messages)
        message = self.messages[position] if keep else self.messages.pop(position)
        target = self.node_by_identity.get(message.target)
        if target is None or self.nodes[target.name] is not target:
            return
        if target.name == self.paused:
            self.messages.append(message)
        elif self._passes(message.source, message.target):
            self.handle(
                target, RaftMessageReceived(_copy(message)), crash_before_sync=crash
            )

    def drop(self, position: int) -> None:
        if self.messages:
            self.messages.pop(position % len(self.messages))

    def crash(self, node: Node) -> None:
        node.up = False
        node.store.crash()

    def restart(self, node: Node) -> None:
        if not node.up:
            node.start()
            self._reopen_streams(node.name)

    def lose_disk(self, name: str) -> None:
        """Replace an instance by one with an empty disk and a new identity."""
        self.add_node(name)

    def partition(self, first: str, second: str) -> None:
        self.partitions.add(frozenset((first, second)))

    def block_link(self, sender: str, receiver: str) -> None:
        """Lose the messages of one direction between two instances."""
        self.blocked_links.add((sender, receiver))

    def silence_stream(self, sender: str, receiver: str, duration_ms: int) -> None:
        """Lose what the sender's open stream holds and will get until it is given up.

        New connections work meanwhile, such as those that ask to join.
        """
        until_ms = self.nodes[sender].now + duration_ms
        self.silent_until_ms_by_link[sender, receiver] = until_ms
        self.messages = [
            message
            for message in self.messages
            if (self._name_of(message.source), self._name_of(message.target))
            != (sender, receiver)
        ]

    def heal(self) -> None:
        """Let every instance open connections to every other, and end a pause.

        Streams that are silent stay so until their senders give them up.
        """
        self.partitions.clear()
        self.blocked_links.clear()
        self.paused = ""

    def _name_of(self, identity: str) -> str:
        node = self.node_by_identity.get(identity)
        return node.name if node is not None else ""

    def _is_silent(self, sender: Node, receiver_identity: str) -> bool:
        link = (sender.name, self._name_of(receiver_identity))
        return sender.now < self.silent_until_ms_by_link.get(link, 0)

    def _reopen_streams(self, sender: str) -> None:
        """Open the streams of an instance whose process has started again."""
        for link in list(self.silent_until_ms_by_link):
            if link[0] == sender:
                del self.silent_until_ms_by_link[link]

    def _passes(self, source: str, target: str) -> bool:
        """Return whether a message gets from one identity to another."""
        link = (self._name_of(source), self._name_of(target))
        is_partitioned = frozenset(link) in self.partitions
        return not is_partitioned and link not in self.blocked_links

    def _connected(self, first: str, second: str) -> bool:
        """Return whether two identities can open a connection: both ways must work."""
        return self._passes(first, second) and self._passes(second, first)

    # Commands of concurrent operators and entries.

    def _next_ticket(self) -> int:
        self.last_ticket += 1
        return self.last_ticket

    def submit(self, name: str, command: cpb.Command) -> int:
        ticket = self._next_ticket()
        self.command_by_ticket[ticket] = _copy(command)
        self.handle(self.nodes[name], CommandSubmitted(ticket, _copy(command)))
        return ticket

    def change(self, name: str, team: str, change_id: str, base: int) -> None:
        """Submit a settings change whose id is unique to its content."""
        document = f"{change_id}:{team}:{base}".encode()
        self.submit(
            name,
            cpb.Command(
                settings=cpb.SettingsChange(
                    change_id=f"{change_id}:{team}:{base}",
                    team=team,
                    base_revision=base,
                    document=document,
                )
            ),
        )

    def acquire(
        self, name: str, key: str, holder: str, revoked_permit: int = 0
    ) -> None:
        permit = cpb.PermitAcquire(
            key=cpb.PermitKey(workspace="w", service="s", key=key),
            digest=key.encode(),
            backend_server=holder,
            incarnation=holder,
            revoked_permit=revoked_permit,
        )
        self.submit(name, cpb.Command(permit_acquire=permit))

    def revoke(self, name: str, key: str) -> None:
        """Revoke the permit last granted for a key, and request another."""
        permit = self.permit_by_key.get(key)
        if permit is not None:
            self.revoked_permits.add(permit)
            self.acquire(name, key, name, permit)

    def lease(self, name: str, holder: str) -> None:
        grant = cpb.LeaseGrant(resource="r", holder=holder, duration_ms=500)
        self.submit(name, cpb.Command(lease=grant))

    def read(self, name: str) -> None:
        """Request a confirmed read; it must see every change accepted before it."""
        ticket = self._next_ticket()
        self.min_revision_by_read[ticket] = max(
            self.accepted_change_by_revision, default=0
        )
        self.handle(self.nodes[name], ReadRequested(ticket))

    # Checks of the oracle.

    def _check_answer(self, ticket: int, answer: cpb.CommandAnswer) -> None:
        command = self.command_by_ticket.pop(ticket, None)
        if command is None:
            return
        kind = command.WhichOneof("body")
        if kind == "settings":
            self._check_settings_answer(command.settings, answer.settings)
        elif kind == "permit_acquire":
            self._check_permit_answer(command.permit_acquire, answer.permit)
        elif kind == "lease" and answer.lease.granted:
            holder = self.holder_by_fencing_number.setdefault(
                answer.lease.fencing_number, command.lease.holder
            )
            assert (
                holder == command.lease.holder
            ), "two holders got the same fencing number"

    def _check_settings_answer(
        self, change: cpb.SettingsChange, answer: cpb.SettingsAnswer
    ) -> None:
        first = self.answer_by_change_id.setdefault(
            change.change_id, answer.SerializeToString()
        )
        assert (
            first == answer.SerializeToString()
        ), "the answer to a retried change differs from the first"
        if answer.accepted:
            known = self.accepted_change_by_revision.setdefault(answer.revision, change)
            assert (
                known.change_id == change.change_id
            ), "two changes got the same revision"

    def _check_permit_answer(
        self, request: cpb.PermitAcquire, answer: cpb.PermitAnswer
    ) -> None:
        if answer.state != cpb.PERMIT_GRANTED:
            return
        key = request.key.key
        earlier = self.permit_by_key.get(key)
        assert (
            earlier is None or earlier in self.revoked_permits
        ), "permit granted twice"
        assert earlier is None or answer.permit > earlier, "permit number reused"
        self.permit_by_key[key] = answer.permit

    def _check_read(self, node: Node, ticket: int) -> None:
        min_revision = self.min_revision_by_read.pop(ticket, 0)
        assert node.state.machine.revision >= min_revision, "a stale read was confirmed"

    def _check_node(self, node: Node) -> None:
        state = node.state
        if state.role is Role.LEADER:
            leader = self.leader_by_term.setdefault(state.term, node.identity)
            assert leader == node.identity, "two leaders in one term"
        for record in state.records:
            if record.index > state.applied_index:
                break
            data = record.SerializeToString(deterministic=True)
            known = self.committed_record_by_index.setdefault(record.index, data)
            assert known == data, "committed records differ"
        self._check_settings(state.machine)

    def _check_settings(self, machine: StateMachine) -> None:
        for item in machine.history:
            accepted = self.accepted_change_by_revision.get(item.revision)
            if accepted is not None:
                assert (
                    item.change_id == accepted.change_id
                ), "the history holds another change at an accepted revision"

    # Convergence.

    def settle(self, rounds: int = 400) -> None:
        """Remove all faults and run until the instances have converged.

        They have when there is one leader, every instance votes and has the same commit
        index, and all accepted changes are applied.
        """
        self.heal()
        self.silent_until_ms_by_link.clear()
        for node in self.nodes.values():
            self.restart(node)
        target = max(self.accepted_change_by_revision, default=0)
        for _ in range(rounds):
            self.advance()
            if self.has_converged(target):
                return
        raise AssertionError(f"the instances did not converge in {rounds} rounds")

    def advance(self) -> None:
        """Advance every clock by a round, and deliver all messages."""
        for name in list(self.nodes):
            self.tick(name, ROUND_MS)
        while self.messages:
            self.deliver(0)

    def has_converged(self, revision: int) -> bool:
        states = [node.state for node in self.nodes.values()]
        leaders = [state for state in states if state.role is Role.LEADER]
        return (
            len(leaders) == 1
            and len({state.commit_index for state in states}) == 1
            and leaders[0].term_at(leaders[0].commit_index) == leaders[0].term
            and {peer.identity for peer in leaders[0].membership.peers if peer.voter}
            == {state.identity for state in states}
            and leaders[0].machine.revision >= revision
        )

    def check_rest(self) -> None:
        """Check that all instances hold the same state, with every accepted change."""
        dumps = {node.state.machine.dump() for node in self.nodes.values()}
        assert len(dumps) == 1, "replicas differ"
        machine = next(iter(self.nodes.values())).state.machine
        change_id_by_revision = {
            item.revision: item.change_id for item in machine.history
        }
        last_by_team = Counter[str]()
        for item in machine.history:
            base = int(item.change_id.rpartition(":")[2])
            assert (
                base == last_by_team[item.team]
            ), "a change with an outdated base revision was accepted"
            last_by_team[item.team] = item.revision
        # The history holds only the newest 500 changes, so older ones are not checked.
        for revision, change in self.accepted_change_by_revision.items():
            if revision > machine.revision - 400:
                assert (
                    change_id_by_revision.get(revision) == change.change_id
                ), "an accepted change is lost"


def perform_random_step(cluster: Cluster, random: Random) -> None:
    """Perform one random event, command, fault or repair."""
    name = random.choice(sorted(cluster.nodes))
    if random.random() < 0.5:
        name = random.choice(_leaders(cluster) or [name])
    node = cluster.nodes[name]
    position = random.randrange(1_000)
    team = random.choice(TEAMS)
    revision = node.state.machine.team_by_name.get(team)
    base = revision.revision if revision and random.random() < 0.8 else 0
    action = random.random()
    if action < 0.60:
        cluster.deliver(
            position,
            keep=random.random() < 0.05,
            crash=random.random() < 0.004,
        )
    elif action < 0.78:
        cluster.tick(name, random.choice((10, 50, 50, 150, 800)))
    elif action < 0.86:
        cluster.change(name, team, f"c{random.randrange(5)}", base)
    elif action < 0.89:
        cluster.acquire(name, f"k{random.randrange(40)}", name)
    elif action < 0.90:
        cluster.revoke(name, f"k{random.randrange(40)}")
    elif action < 0.91:
        cluster.lease(name, random.choice("xy"))
    elif action < 0.94:
        cluster.read(name)
    elif action < 0.955:
        cluster.drop(position)
    elif action < 0.958:
        cluster.partition(name, random.choice(sorted(cluster.nodes)))
    elif action < 0.960:
        for other in set(cluster.nodes) - {name}:
            cluster.partition(name, other)
    elif action < 0.963:
        cluster.paused = name
    elif action < 0.968:
        cluster.heal()
    elif action < 0.971:
        cluster.crash(node)
    elif action < 0.978:
        cluster.crash(node)
        cluster.restart(node)
    elif action < 0.995:
        cluster.restart(node)
    elif _can_lose_disk(cluster):
        cluster.lose_disk(name)


def _leaders(cluster: Cluster) -> list[str]:
    return [
        name
        for name, node in cluster.nodes.items()
        if node.up and node.state.role is Role.LEADER
    ]


def _can_lose_disk(cluster: Cluster) -> bool:
    """Return whether all instances are voters and have the same membership.

    Otherwise a second disk of three could be lost before the first was replaced, which
    loses accepted changes under any protocol.
    """
    leaders = [
        node.state
        for node in cluster.nodes.values()
        if node.up and node.state.role is Role.LEADER
    ]
    if len(leaders) != 1:
        return False
    leader = leaders[0]
    voters = {peer.identity for peer in leader.membership.peers if peer.voter}
    present = {node.identity for node in cluster.nodes.values()}
    return (
        voters == present
        and leader.membership_index <= leader.commit_index
        and all(
            node.state.membership_index == leader.membership_index
            for node in cluster.nodes.values()
        )
    )


def run_random(seed: int, steps: int) -> Cluster:
    """Run a seeded history of random steps, let it converge, and check the result."""
    random = Random(seed)
    cluster = Cluster()
    for _ in range(steps):
        perform_random_step(cluster, random)
    cluster.settle(2_000)
    cluster.check_rest()
    return cluster


def run_silent(seed: int, max_silence_ms: int = MAX_SILENCE_MS) -> list[int]:
    """Run a seeded history of links that fail silently and of disks lost meanwhile.

    Returns the times from the moment at which every pair of instances can open a
    connection to the next accepted change with all instances voting. Raises
    AssertionError if one exceeds the time after which streams are given up and
    MAX_RECOVERY_MS, or if an accepted change is lost.
    """
    random = Random(seed)
    cluster = Cluster()
    recoveries = [
        _play_silence(cluster, random, f"s{number}", max_silence_ms)
        for number in range(3)
    ]
    cluster.settle(2_000)
    cluster.check_rest()
    return recoveries


def _play_silence(
    cluster: Cluster, random: Random, change_id: str, max_silence_ms: int
) -> int:
    """Play one disturbance; return the milliseconds until it is overcome."""
    names = sorted(cluster.nodes)
    links = [(first, second) for first in names for second in names if first != second]
    unreachable, emptied = random.sample(names, 2)
    faulty_links = random.choice(
        (
            links,
            [link for link in links if unreachable in link],
            [link for link in links if link[0] == unreachable],
            [link for link in links if link[1] == unreachable],
            random.sample(links, random.randint(1, len(links))),
        )
    )
    blocked_links = random.choice(([], faulty_links))
    silent_at = random.randrange(MAX_FAULT_MS // ROUND_MS)
    emptied_at = random.randrange(MAX_FAULT_MS // ROUND_MS)
    loses_disk = random.random() < 0.7
    for number in range(MAX_FAULT_MS // ROUND_MS):
        if number == silent_at:
            cluster.blocked_links.update(blocked_links)
            for sender, receiver in faulty_links:
                duration_ms = max_silence_ms * random.choice((0.3, 0.7, 1.0))
                cluster.silence_stream(sender, receiver, round(duration_ms))
        if number >= emptied_at and loses_disk and _all_hold_membership(cluster):
            cluster.lose_disk(emptied)
            loses_disk = False
        if number % 10 == 0:
            change_everywhere(cluster, f"{change_id}-{number}")
        cluster.advance()
    cluster.heal()
    known = len(cluster.accepted_change_by_revision)
    max_rounds = (MAX_SILENCE_MS + MAX_RECOVERY_MS) // ROUND_MS
    for number in range(max_rounds):
        if len(cluster.accepted_change_by_revision) == known:
            change_everywhere(cluster, f"{change_id}-after-{number}")
        cluster.advance()
        newest = max(cluster.accepted_change_by_revision, default=0)
        if len(cluster.accepted_change_by_revision) > known and cluster.has_converged(
            newest
        ):
            return (number + 1) * ROUND_MS
    raise AssertionError(f"no progress within {max_rounds * ROUND_MS} ms")


def change_everywhere(cluster: Cluster, change_id: str) -> None:
    """Submit a change to every instance; only one that leads takes it."""
    for name, node in cluster.nodes.items():
        team = node.state.machine.team_by_name.get(TEAMS[0])
        base = team.revision if team else 0
        cluster.change(name, TEAMS[0], f"{change_id}-{name}", base)


def _all_hold_membership(cluster: Cluster) -> bool:
    """Return whether every instance votes, and knows no other membership.

    A disk that is lost then leaves a majority of the disks, whoever is reachable.
    """
    states = [node.state for node in cluster.nodes.values()]
    voters = {peer.identity for peer in states[0].membership.peers if peer.voter}
    return (
        voters == {state.identity for state in states}
        and len({state.membership_index for state in states}) == 1
        and states[0].membership_index <= max(state.commit_index for state in states)
    )


def _is_member(node: Node) -> bool:
    return any(peer.identity == node.identity for peer in node.state.membership.peers)

"""Entry and agent reducers joined by links that break, over checkable engines."""

from __future__ import annotations

from collections import Counter, deque
from random import Random
from typing import Any

from yuccareach.agent import events as agent_events, reducer as agent_reducer
from yuccareach.agent.state import AgentState
from yuccareach.control.client import WatchUpdated
from yuccareach.control.state_machine import StateMachine
from yuccareach.entry import events as entry_events, reducer as entry_reducer
from yuccareach.entry.state import EntryOptions, EntryState
from yuccareach.outcome import Outcome
from yuccareach.proto import (
    control_pb2 as cpb,
    data_pb2 as pb,
    engine_pb2 as epb,
)
from yuccareach.runtime.links import LinkLost, Received, Send
from yuccareach.runtime.reducer import Tick
from yuccareach.settings.store import PlainService, Route, Workspace
from yuccareach.standin import model
from yuccareach.standin.engine import EngineOptions, StandinEngine

LAYERS = 6
PIPELINE = "p"
SERVICE = "ledger"
WORKSPACE = Workspace("t/w", "t", ())
LEDGER = PlainService(SERVICE, "t", (Route("POST", "/pay", False),))
DOCUMENT = (
    b'{"pipelines": {"p": {"layers": 6}}, "classes": {"default": '
    b'{"deadline_ms": 100000000}}}'
)
RANGES = ((0, 3), (0, 3), (3, 6), (3, 6), (3, 5), (5, 6))
MAX_TOKENS = 5


class Connection:
    """One stream between two processes, in order both ways until it breaks."""

    def __init__(self, opener: str, target: str) -> None:
        self.opener = opener
        self.target = target
        self.queues: dict[str, deque[bytes]] = {opener: deque(), target: deque()}


class AgentNode:
    """An agent with its engine or its service."""

    def __init__(self, system: System, number: int, service: bool) -> None:
        self.system = system
        self.number = number
        self.service = service
        self.address = f"agent:{number}"
        self.generation = 0
        self.start()

    def start(self) -> None:
        """Start a new incarnation with nothing remembered."""
        self.generation += 1
        self.up = True
        member = cpb.Member(
            backend_server=f"s{self.number}",
            incarnation=f"{self.number}.{self.generation}",
            address=self.address,
            availability_zone="z",
            service=SERVICE if self.service else "",
        )
        self.state = AgentState(member, 4_000, 1_000)
        self.steps: deque[epb.Step] = deque()
        self.calls: deque[tuple[str, pb.Call]] = deque()
        if not self.service:
            self.start_engine()

    def start_engine(self) -> None:
        """Start an engine that remembers nothing."""
        first, end = RANGES[self.number]
        self.engine = StandinEngine(EngineOptions(PIPELINE, LAYERS, first, end))
        self.system.engines.append(self.engine)
        info = epb.InfoReply(
            model=PIPELINE,
            layers=LAYERS,
            first_layer=first,
            end_layer=end,
            max_batch=4,
            decode_rate=100.0,
        )
        self.system.to_agent(self, agent_events.EngineReady(info))


class EntryNode:
    """An entry."""

    def __init__(self, name: str, *, resume: bool) -> None:
        self.name = name
        self.address = name
        self.up = True
        self.state = EntryState(EntryOptions(name, "z", resume))
        self.state.settings.apply(
            pb.SettingsPush(
                revision=1,
                teams=[pb.TeamDocument(team="t", revision=1, document=DOCUMENT)],
            )
        )
        self.permits: deque[entry_events.AcquirePermit] = deque()


class Asked:
    """What a caller has asked for and got so far."""

    def __init__(self, entry: str, prompt: str = "", key: str = "") -> None:
        self.entry = entry
        self.prompt = prompt
        self.key = key
        self.texts: list[str] = []
        self.end: Any = None


class System:
    """Everything, and the oracle of the promises."""

    def __init__(self, *, resume: bool = True) -> None:
        self.now = 1_000
        self.engines: list[StandinEngine] = []
        self.connections: list[Connection] = []
        self.machine = StateMachine()
        self.payouts: Counter[str] = Counter()
        self.asked: dict[str, Asked] = {}
        self.drained_at: dict[str, int] = {}
        self.entries = {name: EntryNode(name, resume=resume) for name in ("e1", "e2")}
        self.agents = [AgentNode(self, number, False) for number in range(len(RANGES))]
        self.agents += [
            AgentNode(self, number, True)
            for number in range(len(RANGES), len(RANGES) + 2)
        ]
        self.by_address: dict[str, Any] = {
            node.address: node for node in (*self.entries.values(), *self.agents)
        }
        self.announce()

    # Reducers.

    def to_agent(self, node: AgentNode, event: Any) -> None:
        if not node.up:
            return
        for effect in agent_reducer.reduce(node.state, event, self.now):
            match effect:
                case Send():
                    self.send(node, effect)
                case agent_events.RunStep(step=step):
                    node.steps.append(step)
                case agent_events.CallService(call=call, message=message):
                    node.calls.append((call, message))

    def to_entry(self, node: EntryNode, event: Any) -> None:
        if not node.up:
            return
        for effect in entry_reducer.reduce(node.state, event, self.now):
            self._entry_effect(node, effect)

    def _entry_effect(self, node: EntryNode, effect: Any) -> None:
        match effect:
            case Send():
                self.send(node, effect)
            case entry_events.AcquirePermit():
                node.permits.append(effect)
            case entry_events.SettlePermit(command=command):
                self.machine.apply(command)
            case entry_events.ReportLoss(report=report):
                self.machine.apply(cpb.Command(quarantine=report))
            case entry_events.Deliver(request=request, text=text):
                asked = self.asked[request]
                assert asked.end is None, "a token after the end"
                assert effect.token_index == len(asked.texts), "tokens out of order"
                asked.texts.append(text)
            case (
                entry_events.Finish(request=request)
                | entry_events.Refuse(request=request)
                | entry_events.ReturnReply(request=request)
            ):
                assert self.asked[request].end is None, "two ends"
                self.asked[request].end = effect
                self._check_end(request, self.asked[request])

    # Links.

    def send(self, node: Any, effect: Send) -> None:
        connection = self._connection(node.address, effect.peer)
        if connection is None:
            target = self.by_address.get(effect.peer)
            if target is None or target in self.entries.values() or not target.up:
                self._later(node, LinkLost(effect.peer))
                return
            connection = Connection(node.address, effect.peer)
            self.connections.append(connection)
        other = (
            connection.target
            if connection.opener == node.address
            else connection.opener
        )
        body = effect.body
        connection.queues[other].append((type(body), body.SerializeToString()))

    def _connection(self, own: str, peer: str) -> Connection | None:
        """Return the stream to use, one we opened ourselves first."""
        ways = [
            item
            for item in self.connections
            if {item.opener, item.target} == {own, peer}
        ]
        return min(ways, key=lambda item: item.opener != own, default=None)

    def _later(self, node: Any, event: Any) -> None:
        """Deliver an event after the current one, as the event loop does."""
        self.postponed = getattr(self, "postponed", deque())
        self.postponed.append((node, event))

    def run_postponed(self) -> None:
        queue = getattr(self, "postponed", deque())
        while queue:
            node, event = queue.popleft()
            self._dispatch(node, event)

    def _dispatch(self, node: Any, event: Any) -> None:
        if isinstance(node, EntryNode):
            self.to_entry(node, event)
        else:
            self.to_agent(node, event)

    def deliver(self, connection: Connection, to: str) -> None:
        """Deliver the next message one way."""
        queue = connection.queues[to]
        node = self.by_address[to]
        if not queue or not node.up:
            return
        kind, data = queue.popleft()
        other = connection.opener if to == connection.target else connection.target
        self._dispatch(node, Received(other, kind.FromString(data)))
        self.run_postponed()

    def break_link(self, connection: Connection) -> None:
        """Lose a stream and all that was on its way."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        for own, other in (
            (connection.opener, connection.target),
            (connection.target, connection.opener),
        ):
            if self._connection(own, other) is None:
                self._dispatch(self.by_address[own], LinkLost(other))
        self.run_postponed()

    def deliver_some(self, random: Random) -> None:
        ways = [
            (connection, to)
            for connection in self.connections
            for to, queue in connection.queues.items()
            if queue
        ]
        if ways:
            self.deliver(*random.choice(ways))

    # Engines, services, control.

    def run_engine(self, node: AgentNode, count: int) -> None:
        for _ in range(min(count, len(node.steps))):
            step = node.steps.popleft()
            if step.cancel:
                node.engine.sequence_by_id.pop(step.sequence, None)
                continue
            result = node.engine._run_step(step)
            self.to_agent(node, agent_events.StepDone(result))
        self.run_postponed()

    def run_service(self, node: AgentNode) -> None:
        if not node.calls or not node.up:
            return
        call, message = node.calls.popleft()
        self.payouts[message.key] += 1
        reply = pb.Reply(outcome=pb.RAN, status=201, body=message.key.encode())
        self.to_agent(node, agent_events.ServiceReplied(call, reply))
        self.run_postponed()

    def answer_permit(self, node: EntryNode, *, lost: bool = False) -> None:
        """Have control decide on a permit; the answer may be lost."""
        if not node.permits or not node.up:
            return
        effect = node.permits.popleft()
        command = cpb.Command(permit_acquire=effect.acquire)
        answer = self.machine.apply(command).permit
        copy = cpb.PermitAnswer.FromString(answer.SerializeToString())
        event = entry_events.PermitAnswered(effect.request, None if lost else copy)
        self.to_entry(node, event)
        self.run_postponed()

    def announce(self, name: str = "") -> None:
        """Give entries the members as they are now."""
        members = [
            cpb.Member.FromString(node.state.member.SerializeToString())
            for node in self.agents
            if node.up
        ]
        for member, node in zip(members, [node for node in self.agents if node.up]):
            member.draining = node.state.draining
        update = cpb.WatchUpdate(
            members_snapshot=True,
            members=members,
            losses=self.machine.losses_after(0),
        )
        for entry in self.entries.values():
            if name in ("", entry.name):
                self.to_entry(entry, WatchUpdated(update))
        self.run_postponed()

    # Faults.

    def kill_agent(self, node: AgentNode) -> None:
        node.up = False
        for connection in [
            item
            for item in self.connections
            if node.address in (item.opener, item.target)
        ]:
            self.break_link(connection)

    def lose_engine(self, node: AgentNode) -> None:
        """Lose an engine and its state; a new one takes its place at once."""
        node.steps.clear()
        self.to_agent(node, agent_events.EngineLost())
        node.start_engine()
        self.run_postponed()

    def restart_agent(self, node: AgentNode) -> None:
        if not node.up:
            node.start()

    def drain_agent(self, node: AgentNode) -> None:
        self.to_agent(node, agent_events.DrainAsked())
        self.run_postponed()

    def tick(self, elapsed_ms: int) -> None:
        self.now += elapsed_ms
        for node in (*self.entries.values(), *self.agents):
            self._dispatch(node, Tick())
        self.run_postponed()

    # Callers.

    def ask(self, entry: str, prompt: str) -> str:
        request = f"{entry}-{len(self.asked)}"
        self.asked[request] = Asked(entry, prompt=prompt)
        event = entry_events.CompletionAsked(
            request, WORKSPACE, PIPELINE, prompt, MAX_TOKENS
        )
        self.to_entry(self.entries[entry], event)
        self.run_postponed()
        return request

    def pay(self, entry: str, key: str) -> str:
        request = f"{entry}-{len(self.asked)}"
        self.asked[request] = Asked(entry, key=key)
        message = pb.Call(
            request=request,
            workspace=WORKSPACE.name,
            service=SERVICE,
            method="POST",
            path="/pay",
            key=key,
            digest=key.encode(),
        )
        event = entry_events.CallAsked(request, WORKSPACE, LEDGER, message, False, True)
        self.to_entry(self.entries[entry], event)
        self.run_postponed()
        return request

    def leave(self, request: str) -> None:
        asked = self.asked[request]
        if asked.end is None:
            asked.end = "left"
            event = entry_events.CallerLeft(request)
            self.to_entry(self.entries[asked.entry], event)
            self.run_postponed()

    # The oracle.

    def _check_end(self, request: str, asked: Asked) -> None:
        if asked.key:
            self._check_payout(asked)
            return
        expected = model.compute_answer(asked.prompt, LAYERS, MAX_TOKENS)
        assert asked.texts == expected[: len(asked.texts)], "a wrong token"
        if isinstance(asked.end, entry_events.Finish):
            assert asked.texts == expected, "an answer that is not whole"
        elif asked.end.refusal.outcome is Outcome.NOT_RUN:
            assert not asked.texts, "tokens of a request that did not run"
            ran = any(
                sequence.partition("/")[0] == request
                for engine in self.engines
                for sequence, _ in engine.executions.count_by_position
            )
            assert not ran, "a request refused as not run has run"

    def _check_payout(self, asked: Asked) -> None:
        runs = self.payouts[asked.key]
        assert runs <= 1, "a payout ran twice"
        if isinstance(asked.end, entry_events.ReturnReply):
            assert runs == 1, "a reply of a payout that did not run"
            assert asked.end.reply.body == asked.key.encode(), "another's reply"
        elif asked.end.refusal.outcome is Outcome.NOT_RUN:
            assert runs == 0, "a payout refused as not run has run"

    def check_executions(self) -> None:
        """Check that no engine ran a position of an epoch twice or out of order."""
        for engine in self.engines:
            summary = engine.executions.summarize()
            assert summary["repeated"] == 0, "a position ran twice"
            assert summary["out_of_order"] == 0, "positions ran out of order"
        assert max(self.payouts.values(), default=0) <= 1, "a payout ran twice"

    def settle(self, random: Random, rounds: int = 3_000) -> None:
        """Mend everything and run until every caller has an end."""
        for node in self.agents:
            self.restart_agent(node)
            if node.state.draining:
                self.kill_agent(node)
                self.restart_agent(node)
        self.announce()
        for _ in range(rounds):
            for _ in range(30):
                self.deliver_some(random)
            for node in self.agents:
                if node.service:
                    self.run_service(node)
                else:
                    self.run_engine(node, 8)
            for entry in self.entries.values():
                self.answer_permit(entry)
            self.tick(20)
            self.announce()
            if all(asked.end is not None for asked in self.asked.values()):
                break
        open_requests = [key for key, asked in self.asked.items() if asked.end is None]
        assert not open_requests, f"requests without an end: {open_requests}"
        self.check_executions()
        for entry in self.entries.values():
            for usage in entry.state.usage_by_workspace.values():
                assert (usage.requests, usage.tokens) == (0, 0), "a charge is left"
            for server in entry.state.server_by_name.values():
                assert server.own_running == 0, "a backend server is left occupied"


def random_step(system: System, random: Random) -> None:
    """Do one thing, chosen by a seeded random source."""
    action = random.random()
    entry = random.choice(sorted(system.entries))
    node = random.choice(system.agents)
    if action < 0.50:
        system.deliver_some(random)
    elif action < 0.80:
        if node.service:
            system.run_service(node)
        elif node.up:
            system.run_engine(node, random.randint(1, 3))
    elif action < 0.84:
        system.ask(entry, f"prompt {len(system.asked)} of words")
    elif action < 0.87:
        system.pay(entry, f"key-{random.randrange(30)}")
    elif action < 0.90:
        system.answer_permit(system.entries[entry], lost=random.random() < 0.1)
    elif action < 0.95:
        system.tick(random.choice((5, 10, 20, 50, 400)))
    elif action < 0.965 and system.connections:
        system.break_link(random.choice(system.connections))
    elif action < 0.970:
        system.kill_agent(node)
    elif action < 0.980:
        system.restart_agent(node)
    elif action < 0.983:
        system.drain_agent(node)
    elif action < 0.993:
        system.announce(entry)
    elif system.asked:
        system.leave(random.choice(sorted(system.asked)))


def run_random(seed: int, steps: int, *, resume: bool = True) -> System:
    """Run one seeded history, then let everything end and check it."""
    random = Random(seed)
    system = System(resume=resume)
    for _ in range(steps):
        random_step(system, random)
    system.check_executions()
    system.settle(random)
    return system


__all__ = ["System", "random_step", "run_random"]

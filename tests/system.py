"""A simulation of entries, agents, engines and control that checks every answer.

The reducers of entries and agents exchange messages over simulated connections, which
tests deliver and break in any order. The answers of the stand-in engines are known in
advance and their runs are counted, so that wrong tokens and repeated runs are found.
"""

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
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb, engine_pb2 as epb
from yuccareach.quarantine.reporting import build_command
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
LAYER_RANGES = ((0, 3), (0, 3), (3, 6), (3, 6), (3, 5), (5, 6))
MAX_TOKENS = 5


class Connection:
    """One stream between two processes, ordered in each direction until it breaks."""

    def __init__(self, opener: str, target: str) -> None:
        self.opener = opener
        self.target = target
        self.queue_by_receiver: dict[str, deque[tuple[Any, bytes]]] = {
            opener: deque(),
            target: deque(),
        }


class AgentNode:
    """An agent with its engine or its service."""

    def __init__(self, system: System, number: int, is_service: bool) -> None:
        self.system = system
        self.number = number
        self.is_service = is_service
        self.address = f"agent:{number}"
        self.incarnation_number = 0
        self.start()

    def start(self) -> None:
        """Start a new incarnation with empty state."""
        self.incarnation_number += 1
        self.is_up = True
        member = cpb.Member(
            backend_server=f"s{self.number}",
            incarnation=f"{self.number}.{self.incarnation_number}",
            address=self.address,
            availability_zone="z",
            service=SERVICE if self.is_service else "",
        )
        self.state = AgentState(member, 4_000, 1_000)
        self.steps: deque[epb.Step] = deque()
        self.calls: deque[tuple[str, pb.Call]] = deque()
        if not self.is_service:
            self.start_engine()

    def start_engine(self) -> None:
        """Start an engine with empty state."""
        first, end = LAYER_RANGES[self.number]
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
        self.system.handle_agent_event(self, agent_events.EngineReady(info))


class EntryNode:
    """An entry with its pending requests for permits."""

    def __init__(self, name: str, *, resume: bool) -> None:
        self.name = name
        self.address = name
        self.is_up = True
        self.state = EntryState(EntryOptions(name, "z", resume))
        self.state.settings.apply(
            pb.SettingsPush(
                revision=1,
                teams=[pb.TeamDocument(team="t", revision=1, document=DOCUMENT)],
            )
        )
        self.permit_requests: deque[entry_events.AcquirePermit] = deque()


class RequestRecord:
    """One request and what its caller received so far.

    The result is None until the request ends. Then it is the entry's last effect, or
    "left" where the caller disconnected.
    """

    def __init__(self, entry: str, prompt: str = "", key: str = "") -> None:
        self.entry = entry
        self.prompt = prompt
        self.key = key
        self.received_tokens: list[str] = []
        self.result: Any = None


class System:
    """All simulated processes, and the checks of the guarantees to callers."""

    def __init__(self, *, resume: bool = True) -> None:
        self.now_ms = 1_000
        self.engines: list[StandinEngine] = []
        self.connections: list[Connection] = []
        self.control_state_machine = StateMachine()
        self.run_count_by_key: Counter[str] = Counter()
        self.record_by_request: dict[str, RequestRecord] = {}
        self.drained_at: dict[str, int] = {}
        # Processes whose messages, in both directions, are held up.
        self.silent_addresses: set[str] = set()
        self.entries = {name: EntryNode(name, resume=resume) for name in ("e1", "e2")}
        self.agents = [
            AgentNode(self, number, False) for number in range(len(LAYER_RANGES))
        ]
        self.agents += [
            AgentNode(self, number, True)
            for number in range(len(LAYER_RANGES), len(LAYER_RANGES) + 2)
        ]
        self.node_by_address: dict[str, Any] = {
            node.address: node for node in (*self.entries.values(), *self.agents)
        }
        self.publish_members()

    # Reducers.

    def handle_agent_event(self, node: AgentNode, event: Any) -> None:
        if not node.is_up:
            return
        for effect in agent_reducer.reduce(node.state, event, self.now_ms):
            match effect:
                case Send():
                    self.send(node, effect)
                case agent_events.RunStep(step=step):
                    node.steps.append(step)
                case agent_events.CallService(call=call, message=message):
                    node.calls.append((call, message))

    def handle_entry_event(self, node: EntryNode, event: Any) -> None:
        if not node.is_up:
            return
        for effect in entry_reducer.reduce(node.state, event, self.now_ms):
            self._apply_entry_effect(node, effect)

    def _apply_entry_effect(self, node: EntryNode, effect: Any) -> None:
        match effect:
            case Send():
                self.send(node, effect)
            case entry_events.AcquirePermit():
                node.permit_requests.append(effect)
            case entry_events.FinishPermit(command=command):
                self.control_state_machine.apply(command)
            case entry_events.ReportLosses(changes=changes):
                counts = {item.fingerprint: item.loss_count for item in changes}
                self.control_state_machine.apply(build_command(counts))
            case entry_events.DeliverToken(request=request, text=text):
                record = self.record_by_request[request]
                assert record.result is None, "token delivered after the end"
                assert effect.token_index == len(
                    record.received_tokens
                ), "tokens out of order"
                record.received_tokens.append(text)
            case (
                entry_events.FinishAnswer(request=request)
                | entry_events.Refuse(request=request)
                | entry_events.ReturnReply(request=request)
            ):
                assert self.record_by_request[request].result is None, "ended twice"
                self.record_by_request[request].result = effect
                self._check_result(request, self.record_by_request[request])

    # Links.

    def send(self, node: Any, effect: Send) -> None:
        connection = self._find_connection(node.address, effect.peer)
        if connection is None:
            target = self.node_by_address.get(effect.peer)
            if target is None or target in self.entries.values() or not target.is_up:
                self._postpone(node, LinkLost(effect.peer, refused=True))
                return
            connection = Connection(node.address, effect.peer)
            self.connections.append(connection)
        other = (
            connection.target
            if connection.opener == node.address
            else connection.opener
        )
        body = effect.body
        connection.queue_by_receiver[other].append(
            (type(body), body.SerializeToString())
        )

    def _find_connection(self, own: str, peer: str) -> Connection | None:
        """Return a stream between two processes, preferably one opened by `own`."""
        candidates = [
            item
            for item in self.connections
            if {item.opener, item.target} == {own, peer}
        ]
        return min(candidates, key=lambda item: item.opener != own, default=None)

    def _postpone(self, node: Any, event: Any) -> None:
        """Queue an event until the current one is processed, as the event loop does."""
        self.postponed = getattr(self, "postponed", deque())
        self.postponed.append((node, event))

    def run_postponed(self) -> None:
        queue = getattr(self, "postponed", deque())
        while queue:
            node, event = queue.popleft()
            self._dispatch(node, event)

    def _dispatch(self, node: Any, event: Any) -> None:
        if isinstance(node, EntryNode):
            self.handle_entry_event(node, event)
        else:
            self.handle_agent_event(node, event)

    def deliver(self, connection: Connection, receiver: str) -> None:
        """Deliver the next message of a connection to one of its ends."""
        queue = connection.queue_by_receiver[receiver]
        node = self.node_by_address[receiver]
        if not queue or not node.is_up:
            return
        message_type, data = queue.popleft()
        other = (
            connection.opener if receiver == connection.target else connection.target
        )
        self._dispatch(node, Received(other, message_type.FromString(data)))
        self.run_postponed()

    def break_connection(self, connection: Connection) -> None:
        """Break a stream and drop its undelivered messages."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        for own, other in (
            (connection.opener, connection.target),
            (connection.target, connection.opener),
        ):
            if self._find_connection(own, other) is None:
                self._dispatch(self.node_by_address[own], LinkLost(other))
        self.run_postponed()

    def deliver_random(self, random: Random) -> None:
        deliverable = [
            (connection, receiver)
            for connection in self.connections
            for receiver, queue in connection.queue_by_receiver.items()
            if queue
            and not self.silent_addresses & {connection.opener, connection.target}
        ]
        if deliverable:
            self.deliver(*random.choice(deliverable))

    # Engines, services, control.

    def run_engine(self, node: AgentNode, count: int) -> None:
        for _ in range(min(count, len(node.steps))):
            step = node.steps.popleft()
            if step.cancel:
                node.engine.sequence_by_id.pop(step.sequence, None)
                continue
            result = node.engine._run_step(step)
            self.handle_agent_event(node, agent_events.StepDone(result))
        self.run_postponed()

    def run_service(self, node: AgentNode) -> None:
        if not node.calls or not node.is_up:
            return
        call, message = node.calls.popleft()
        self.run_count_by_key[message.key] += 1
        reply = pb.Reply(outcome=pb.RAN, status=201, body=message.key.encode())
        self.handle_agent_event(node, agent_events.ServiceReplied(call, reply))
        self.run_postponed()

    def answer_permit(self, node: EntryNode, *, lost: bool = False) -> None:
        """Let control decide on the next permit request; its answer may be lost."""
        if not node.permit_requests or not node.is_up:
            return
        effect = node.permit_requests.popleft()
        command = cpb.Command(permit_acquire=effect.acquire)
        answer = self.control_state_machine.apply(command).permit
        copy = cpb.PermitAnswer.FromString(answer.SerializeToString())
        event = entry_events.PermitAnswered(effect.request, None if lost else copy)
        self.handle_entry_event(node, event)
        self.run_postponed()

    def publish_members(self, name: str = "") -> None:
        """Send the present members to one entry, or to all without a name."""
        members = [
            cpb.Member.FromString(node.state.member.SerializeToString())
            for node in self.agents
            if node.is_up
        ]
        for member, node in zip(members, [node for node in self.agents if node.is_up]):
            member.draining = node.state.draining
        update = cpb.WatchUpdate(
            members_snapshot=True,
            members=members,
            losses=self.control_state_machine.loss_counts.list_after(0, 0),
        )
        for entry in self.entries.values():
            if name in ("", entry.name):
                self.handle_entry_event(entry, WatchUpdated(update))
        self.run_postponed()

    # Faults.

    def kill_agent(self, node: AgentNode) -> None:
        node.is_up = False
        for connection in [
            item
            for item in self.connections
            if node.address in (item.opener, item.target)
        ]:
            self.break_connection(connection)

    def lose_engine(self, node: AgentNode) -> None:
        """Crash an engine and start a new one at once."""
        node.steps.clear()
        self.handle_agent_event(node, agent_events.EngineLost())
        node.start_engine()
        self.run_postponed()

    def restart_agent(self, node: AgentNode) -> None:
        if not node.is_up:
            node.start()

    def drain_agent(self, node: AgentNode) -> None:
        self.handle_agent_event(node, agent_events.DrainRequested())
        self.run_postponed()

    def tick(self, elapsed_ms: int) -> None:
        self.now_ms += elapsed_ms
        for node in (*self.entries.values(), *self.agents):
            self._dispatch(node, Tick())
        self.run_postponed()

    # Callers.

    def request_completion(self, entry: str, prompt: str) -> str:
        request = f"{entry}-{len(self.record_by_request)}"
        self.record_by_request[request] = RequestRecord(entry, prompt=prompt)
        event = entry_events.CompletionRequested(
            request, WORKSPACE, PIPELINE, prompt, MAX_TOKENS
        )
        self.handle_entry_event(self.entries[entry], event)
        self.run_postponed()
        return request

    def request_payout(self, entry: str, key: str) -> str:
        request = f"{entry}-{len(self.record_by_request)}"
        self.record_by_request[request] = RequestRecord(entry, key=key)
        message = pb.Call(
            request=request,
            workspace=WORKSPACE.name,
            service=SERVICE,
            method="POST",
            path="/pay",
            key=key,
            digest=key.encode(),
        )
        event = entry_events.CallRequested(
            request, WORKSPACE, LEDGER, message, False, True
        )
        self.handle_entry_event(self.entries[entry], event)
        self.run_postponed()
        return request

    def abandon_request(self, request: str) -> None:
        record = self.record_by_request[request]
        if record.result is None:
            record.result = "left"
            event = entry_events.CallerDisconnected(request)
            self.handle_entry_event(self.entries[record.entry], event)
            self.run_postponed()

    # Checks.

    def _check_result(self, request: str, record: RequestRecord) -> None:
        if record.key:
            self._check_payout(record)
            return
        expected = model.compute_answer(record.prompt, LAYERS, MAX_TOKENS)
        assert (
            record.received_tokens == expected[: len(record.received_tokens)]
        ), "wrong token"
        if isinstance(record.result, entry_events.FinishAnswer):
            assert record.received_tokens == expected, "finished answer lacks tokens"
        elif record.result.refusal.outcome is Outcome.NOT_RUN:
            assert not record.received_tokens, "refused request has tokens"
            ran = any(
                sequence.partition("/")[0] == request
                for engine in self.engines
                for sequence, _ in engine.executions.count_by_position
            )
            assert not ran, "request refused as not run has run"

    def _check_payout(self, record: RequestRecord) -> None:
        runs = self.run_count_by_key[record.key]
        assert runs <= 1, "payout ran twice"
        if isinstance(record.result, entry_events.ReturnReply):
            assert runs == 1, "reply to a payout that did not run"
            assert (
                record.result.reply.body == record.key.encode()
            ), "reply to another payout"
        elif record.result.refusal.outcome is Outcome.NOT_RUN:
            assert runs == 0, "payout refused as not run has run"

    def check_executions(self) -> None:
        """Check that no engine ran a position of an epoch twice or out of order."""
        for engine in self.engines:
            summary = engine.executions.summarize()
            assert summary["repeated"] == 0, "a position ran more than once"
            assert summary["out_of_order"] == 0, "positions ran out of order"
        assert max(self.run_count_by_key.values(), default=0) <= 1, "payout ran twice"

    def run_until_settled(self, random: Random, rounds: int = 3_000) -> None:
        """Restart every stopped or draining agent and run until every request ends."""
        for node in self.agents:
            self.restart_agent(node)
            if node.state.draining:
                self.kill_agent(node)
                self.restart_agent(node)
        self.publish_members()
        for _ in range(rounds):
            for _ in range(30):
                self.deliver_random(random)
            for node in self.agents:
                if node.is_service:
                    self.run_service(node)
                else:
                    self.run_engine(node, 8)
            for entry in self.entries.values():
                self.answer_permit(entry)
            self.tick(20)
            self.publish_members()
            if all(
                record.result is not None for record in self.record_by_request.values()
            ):
                break
        open_requests = [
            key
            for key, record in self.record_by_request.items()
            if record.result is None
        ]
        assert not open_requests, f"requests that did not end: {open_requests}"
        self.check_executions()
        for entry in self.entries.values():
            for usage in entry.state.usage_by_workspace.values():
                assert (usage.requests_in_flight, usage.tokens_in_flight) == (
                    0,
                    0,
                ), "usage not released"
            for server in entry.state.server_by_name.values():
                assert (
                    server.own_request_count == 0
                ), "ended requests still count as running"


def perform_random_step(system: System, random: Random) -> None:
    """Perform one action, chosen by a seeded random source."""
    action = random.random()
    entry = random.choice(sorted(system.entries))
    node = random.choice(system.agents)
    if action < 0.50:
        system.deliver_random(random)
    elif action < 0.80:
        if node.is_service:
            system.run_service(node)
        elif node.is_up:
            system.run_engine(node, random.randint(1, 3))
    elif action < 0.84:
        system.request_completion(
            entry, f"prompt {len(system.record_by_request)} of words"
        )
    elif action < 0.87:
        system.request_payout(entry, f"key-{random.randrange(30)}")
    elif action < 0.90:
        system.answer_permit(system.entries[entry], lost=random.random() < 0.1)
    elif action < 0.95:
        system.tick(random.choice((5, 10, 20, 50, 400)))
    elif action < 0.965 and system.connections:
        system.break_connection(random.choice(system.connections))
    elif action < 0.970:
        system.kill_agent(node)
    elif action < 0.980:
        system.restart_agent(node)
    elif action < 0.983:
        system.drain_agent(node)
    elif action < 0.993:
        system.publish_members(entry)
    elif system.record_by_request:
        system.abandon_request(random.choice(sorted(system.record_by_request)))


def run_seeded_history(seed: int, steps: int, *, resume: bool = True) -> System:
    """Run a seeded sequence of actions, then let every request end and check it."""
    random = Random(seed)
    system = System(resume=resume)
    for _ in range(steps):
        perform_random_step(system, random)
    system.check_executions()
    system.run_until_settled(random)
    return system


__all__ = ["System", "perform_random_step", "run_seeded_history"]

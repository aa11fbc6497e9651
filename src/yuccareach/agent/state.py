"""State of the agent."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.proto import control_pb2 as cpb
from yuccareach.settings.store import SettingsStore

if TYPE_CHECKING:
    from yuccareach.proto import data_pb2 as pb

CLOSED_ATTEMPTS_KEPT = 20_000
FINISHED_CALLS_KEPT = 20_000


class CallKey(NamedTuple):
    """What names a non-idempotent call."""

    workspace: str
    service: str
    key: str


class Attempt:
    """One stage's part of one request, through all the epochs it took part in."""

    def __init__(self, opened: pb.Open, origin: str, now_ms: int) -> None:
        self.opened = opened
        self.origin = origin
        self.sequence = f"{opened.request}/{opened.epoch}"
        # Positions given to the engine, finished by it, and sent to the next stage.
        self.received = 0
        self.done = 0
        self.sent = 0
        # Where the last hop began, to send it again when the link was lost.
        self.resend_from = 0
        # Outputs of the positions from retained_from on.
        self.outputs = bytearray()
        self.retained_from = 0
        self.bytes_per_position = 0
        self.waits_for_ready = False
        # Whether the next stage has answered in this epoch.
        self.next_accepted = False
        self.sent_tokens: list[pb.Token] = []
        self.generated: list[pb.Token] = []
        self.token_by_position: dict[int, pb.Token] = {}
        self.prompt_tokens = 0
        self.link_failures = 0
        self.active_ms = now_ms

    @property
    def first(self) -> bool:
        """Whether this is the first stage of the chain."""
        return self.opened.stage == 0

    @property
    def last(self) -> bool:
        """Whether this is the last stage of the chain."""
        return self.opened.stage == len(self.opened.chain) - 1

    @property
    def own(self) -> pb.Stage:
        """This stage."""
        return self.opened.chain[self.opened.stage]

    @property
    def next_address(self) -> str:
        """Where this stage sends its output."""
        stages = self.opened.chain
        return stages[0 if self.last else self.opened.stage + 1].address


class CallRecord:
    """One non-idempotent call: running, finished or given up."""

    def __init__(self, permit: int, digest: bytes) -> None:
        self.permit = permit
        self.digest = digest
        self.reply: pb.Reply | None = None
        self.revoked = False
        self.waiting: list[tuple[str, str]] = []


class Counters:
    """Totals since the start, for metrics."""

    def __init__(self) -> None:
        self.steps = 0
        self.tokens = 0
        self.duplicates = 0
        self.stale = 0
        self.refused = 0


class AgentState:
    """Everything the agent knows."""

    def __init__(
        self,
        member: cpb.Member,
        retain_limit_bytes: int,
        heartbeat_interval_ms: int,
    ) -> None:
        self.member = member
        self.settings = SettingsStore()
        self.engine_ready = bool(member.service)
        self.draining = False
        self.left = False
        self.retain_limit_bytes = retain_limit_bytes
        self.retained_bytes = 0
        self.heartbeat_interval_ms = heartbeat_interval_ms
        self.next_heartbeat_ms = 0
        self.load_measured_ms = 0
        self.attempt_by_request: dict[str, Attempt] = {}
        self.request_by_sequence: dict[str, str] = {}
        self.closed_epoch_by_request: OrderedDict[str, int] = OrderedDict()
        self.call_by_id: dict[str, tuple[str, pb.Call]] = {}
        self.record_by_key: OrderedDict[CallKey, CallRecord] = OrderedDict()
        self.entries: set[str] = set()
        self.counters = Counters()


__all__ = ["AgentState", "Attempt", "CallKey", "CallRecord"]

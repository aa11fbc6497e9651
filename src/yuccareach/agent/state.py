"""State of the agent that its reducer reads and changes."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.proto import control_pb2 as cpb
from yuccareach.settings.store import SettingsStore

if TYPE_CHECKING:
    from yuccareach.proto import data_pb2 as pb

# Requests whose closed epoch is recorded; the oldest is evicted first.
MAX_CLOSED_EPOCHS = 20_000
# Records of non-idempotent calls, kept to replay replies; those of running calls are
# not evicted.
MAX_CALL_RECORDS = 20_000


class CallKey(NamedTuple):
    """Identity of a non-idempotent call; key is the idempotency key."""

    workspace: str
    service: str
    key: str


class Attempt:
    """Work of this agent's stage on one request, over every epoch that resumes it."""

    def __init__(self, open_message: pb.Open, opened_by: str, now_ms: int) -> None:
        # The latest Open for this attempt, and the peer that sent it: the entry for the
        # first stage, the previous stage for all others.
        self.open_message = open_message
        self.opened_by = opened_by
        self.sequence = f"{open_message.request}/{open_message.epoch}"
        # Exclusive ends of the positions received here, computed by the engine, and
        # sent to the next stage.
        self.received_end = 0
        self.computed_end = 0
        self.sent_end = 0
        # First position of the hop sent last, which is sent again after a link failure.
        self.last_hop_start = 0
        # Outputs of the positions from retained_start on, bytes_per_position each.
        self.retained_outputs = bytearray()
        self.retained_start = 0
        self.bytes_per_position = 0
        # Whether outputs are held until the next stage reports which position it needs.
        self.waits_for_ready = False
        # Whether the next stage has sent Ready in this epoch.
        self.next_stage_accepted = False
        # On the last stage, the tokens sent to the first stage.
        self.sent_tokens: list[pb.Token] = []
        # On the first stage, the tokens relayed to the entry, and those received but
        # not relayed yet.
        self.generated_tokens: list[pb.Token] = []
        self.token_by_position: dict[int, pb.Token] = {}
        # On the first stage, the length of the prompt; 0 until it is known.
        self.prompt_tokens = 0
        # Losses of the link to the next stage in this epoch.
        self.link_failures = 0
        self.last_activity_ms = now_ms

    @property
    def is_first_stage(self) -> bool:
        """Whether this agent runs the first stage of the chain."""
        return self.open_message.stage == 0

    @property
    def is_last_stage(self) -> bool:
        """Whether this agent runs the last stage of the chain."""
        return self.open_message.stage == len(self.open_message.chain) - 1

    @property
    def own_stage(self) -> pb.Stage:
        """The stage of the chain that this agent runs."""
        return self.open_message.chain[self.open_message.stage]

    @property
    def next_address(self) -> str:
        """Address that this stage sends its output to; tokens go to the first stage."""
        stages = self.open_message.chain
        return stages[0 if self.is_last_stage else self.open_message.stage + 1].address


class CallRecord:
    """One non-idempotent call: running, finished, or not run under its permit."""

    def __init__(self, permit: int, digest: bytes) -> None:
        self.permit = permit
        # Digest of method, path and body, to detect a key reused for another call.
        self.digest = digest
        self.reply: pb.Reply | None = None
        # Whether the permit can no longer start the call.
        self.permit_revoked = False
        # Peer and request identifier of each caller that waits for the reply.
        self.waiters: list[tuple[str, str]] = []


class Counters:
    """Totals since the process started; each attribute is served as a metric."""

    def __init__(self) -> None:
        # Steps that the engine has run, and tokens relayed to entries.
        self.steps = 0
        self.tokens = 0
        # Messages received before, messages and results of attempts that have ended,
        # and attempts refused at their opening.
        self.duplicates = 0
        self.stale = 0
        self.refused = 0


class AgentState:
    """State of one agent process."""

    def __init__(
        self,
        member: cpb.Member,
        max_retained_bytes: int,
        heartbeat_interval_ms: int,
    ) -> None:
        self.member = member
        self.settings = SettingsStore()
        # A plain service has no engine, so it counts as ready from the start.
        self.engine_ready = bool(member.service)
        self.draining = False
        self.drain_reported = False
        self.max_retained_bytes = max_retained_bytes
        self.retained_bytes = 0
        self.heartbeat_interval_ms = heartbeat_interval_ms
        self.next_heartbeat_ms = 0
        self.last_load_report_ms = 0
        self.attempt_by_request: dict[str, Attempt] = {}
        # Requests by the name of their sequence at the engine.
        self.request_by_sequence: dict[str, str] = {}
        # Highest closed epoch of each request: its epochs up to this one are refused.
        self.closed_epoch_by_request: OrderedDict[str, int] = OrderedDict()
        # Running calls to the plain service, with the peer that sent each.
        self.call_by_id: dict[str, tuple[str, pb.Call]] = {}
        self.record_by_key: OrderedDict[CallKey, CallRecord] = OrderedDict()
        # Entries that have sent an Open or a Call over a link that still exists.
        self.entry_peers: set[str] = set()
        self.counters = Counters()


__all__ = ["AgentState", "Attempt", "CallKey", "CallRecord"]

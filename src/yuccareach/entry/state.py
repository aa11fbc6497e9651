"""State of the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.settings.store import RequestClass, SettingsStore, Workspace

if TYPE_CHECKING:
    from yuccareach.entry.events import CallAsked, Refusal
    from yuccareach.entry.quarantine import Losses, PendingLoss
    from yuccareach.entry.queueing import PipelineQueue
    from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb


class EntryOptions(NamedTuple):
    """What the entry's decisions depend on."""

    incarnation: str
    availability_zone: str
    resume: bool = True
    policy: str = "load"
    seed: int = 0


class BackendServer:
    """One backend server as this entry sees it."""

    def __init__(self, member: cpb.Member) -> None:
        self.member = member
        self.own_running = 0
        self.assigned = 0
        # Requests running here that have lost a backend server before.
        self.suspects = 0
        # The request for which this backend server is kept free of others.
        self.reserved_for = ""
        self.others_running = 0
        self.failures = 0
        self.blocked_until_ms = 0
        self.suspected_ms = 0
        self.suspected_until_ms = 0
        self.draining = False


class Request:
    """One model request and its current attempt."""

    def __init__(
        self,
        identifier: str,
        workspace: Workspace,
        request_class: RequestClass,
        prompt: str,
        max_tokens: int,
        charge: int,
        now_ms: int,
    ) -> None:
        self.identifier = identifier
        self.workspace = workspace
        self.request_class = request_class
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.charge = charge
        self.pipeline = ""
        self.layers = 0
        self.epoch = 0
        self.chain: tuple[cpb.Member, ...] = ()
        self.delivered: list[int] = []
        self.prompt_tokens = 0
        self.failures = 0
        self.reroutes = 0
        # Incarnations that refused this request, and so hold none of its state.
        self.refused_by: set[str] = set()
        self.fingerprint = b""
        self.losses = 0
        self.counted_suspect = False
        # Whether the first stage has taken the attempt.
        self.accepted = False
        self.sent = False
        self.resume = True
        self.awaits_first = True
        self.attempt_ms = now_ms
        self.started_ms = now_ms
        self.opened_ms = now_ms
        self.progress_ms = now_ms
        # Time between tokens, smoothed; 0 before the second token.
        self.gap_ms = 0.0
        self.probed_ms = 0
        self.replies_by_stage: dict[int, pb.ProbeReply] = {}
        self.previous_replies: dict[int, pb.ProbeReply] = {}
        self.interrupted_ms = 0
        self.retry_ms = 0


class PlainCall:
    """One call to a plain service."""

    def __init__(self, asked: CallAsked, request_class: RequestClass, now: int) -> None:
        self.asked = asked
        self.request_class = request_class
        self.started_ms = now
        self.deadline_ms = now + asked.service.timeout_ms
        self.tries = 0
        self.server: cpb.Member | None = None
        self.permit = 0
        self.revoked_permit = 0
        # Whether it was sent to a backend server that has not denied running it.
        self.may_have_run = False
        # Set while only the fate of earlier calls under the key is asked for.
        self.refusal: Refusal | None = None
        self.resend_ms = 0
        self.tried: set[str] = set()


class Usage:
    """What one workspace has in flight, and its token allowance."""

    def __init__(self, allowance: float, now_ms: int) -> None:
        self.requests = 0
        self.tokens = 0
        self.allowance = allowance
        self.refilled_ms = now_ms


class EntryState:
    """Everything the entry knows."""

    def __init__(self, options: EntryOptions) -> None:
        self.options = options
        self.settings = SettingsStore()
        self.server_by_name: dict[str, BackendServer] = {}
        # Dictionaries in place of sets, for an order that replays the same.
        self.names_by_pipeline: dict[str, dict[str, None]] = {}
        self.names_by_service: dict[str, dict[str, None]] = {}
        self.request_by_id: dict[str, Request] = {}
        self.call_by_id: dict[str, PlainCall] = {}
        self.usage_by_workspace: dict[str, Usage] = {}
        self.entries = 1
        self.turn = 0
        self.draining = False
        self.queue_by_pipeline: dict[str, PipelineQueue] = {}
        self.losses_by_fingerprint: dict[bytes, Losses] = {}
        # Losses not certain yet, by incarnation.
        self.pending_losses: dict[str, list[PendingLoss]] = {}


__all__ = [
    "BackendServer",
    "EntryOptions",
    "EntryState",
    "PlainCall",
    "Request",
    "Usage",
]

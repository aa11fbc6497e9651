"""State that the entry's reducer decides from."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.health.servers import ServerHealth
from yuccareach.quarantine.counts import NO_LOSSES
from yuccareach.quarantine.table import QuarantineTable, TrackedAttempt
from yuccareach.settings.store import RequestClass, SettingsStore, Workspace

if TYPE_CHECKING:
    from yuccareach.entry.events import CallRequested, Refusal
    from yuccareach.entry.queueing import PipelineQueue
    from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb


class EntryOptions(NamedTuple):
    """Options of the entry that its decisions depend on."""

    incarnation: str
    availability_zone: str
    resume: bool = True
    policy: str = "load"
    seed: int = 0


class BackendServer:
    """A backend server as this entry knows it."""

    def __init__(self, member: cpb.Member) -> None:
        self.member = member
        # Requests and calls that this entry is running on the backend server.
        self.own_request_count = 0
        # Requests and calls that this entry has ever sent to the backend server.
        self.assigned_request_count = 0
        # Requests of this entry, running here, that lost a backend server before.
        self.suspect_request_count = 0
        # The only request that may use this backend server; empty if any may.
        self.reserved_for_request = ""
        self.other_entries_request_count = 0
        # Failures since the suspicion was last cleared.
        self.failure_count = 0
        # Until this time, no chain with this backend server is opened.
        self.blocked_until_ms = 0
        self.last_suspected_ms = 0
        # Until this time, the backend server is avoided where others are available.
        self.avoided_until_ms = 0
        self.draining = False
        # What this entry knows of the incarnation, and by what proof.
        self.health = ServerHealth()


class Request:
    """A model request and its current attempt."""

    def __init__(
        self,
        identifier: str,
        workspace: Workspace,
        request_class: RequestClass,
        prompt: str,
        max_tokens: int,
        charged_tokens: int,
        now_ms: int,
    ) -> None:
        self.identifier = identifier
        self.workspace = workspace
        self.request_class = request_class
        self.prompt = prompt
        self.max_tokens = max_tokens
        # Estimated tokens that the request counts against its workspace's limits.
        self.charged_tokens = charged_tokens
        self.pipeline = ""
        self.layers = 0
        self.epoch = 0
        self.chain: tuple[cpb.Member, ...] = ()
        self.delivered_tokens: list[int] = []
        # Length of the prompt; 0 until the first token has arrived.
        self.prompt_tokens = 0
        # Backend servers that the request has left and that may still run it.
        self.left_members: list[cpb.Member] = []
        self.reroute_count = 0
        # Incarnations that refused this request and so hold none of its state.
        self.refused_by_incarnations: set[str] = set()
        self.fingerprint = b""
        # What the loss of a backend server of the current chain is counted by.
        self.tracked_attempt = TrackedAttempt(
            b"", NO_LOSSES, identifier, workspace.name
        )
        # Backend servers lost while they ran requests with the same fingerprint.
        self.loss_count = 0
        # Whether the chain's backend servers count this request as a suspect.
        self.counted_as_suspect = False
        # Whether the first stage has accepted the current attempt.
        self.accepted_by_first_stage = False
        # Whether an attempt was ever sent to a backend server.
        self.was_sent = False
        # Whether stages may resume from state that they hold of an earlier attempt.
        self.can_resume = True
        self.awaits_first_token = True
        self.attempt_started_ms = now_ms
        self.started_ms = now_ms
        # When the request left the queue.
        self.dequeued_ms = now_ms
        # When the current attempt was opened or last delivered a token.
        self.last_progress_ms = now_ms
        # Exponentially smoothed time between tokens; 0 before the second token.
        self.smoothed_token_gap_ms = 0.0
        # When the stages were last probed; 0 if not since the last progress.
        self.probe_sent_ms = 0
        self.probe_reply_by_stage: dict[int, pb.ProbeReply] = {}
        self.previous_probe_reply_by_stage: dict[int, pb.ProbeReply] = {}
        # Whether the log tells that the current attempt is waited for.
        self.wait_logged = False
        # When the request was interrupted; 0 once a token has followed.
        self.interrupted_ms = 0
        # When to choose a chain again; 0 if no retry is scheduled.
        self.retry_at_ms = 0


class PlainCall:
    """A call to a plain service."""

    def __init__(
        self, event: CallRequested, request_class: RequestClass, now: int
    ) -> None:
        self.event = event
        self.request_class = request_class
        self.started_ms = now
        self.deadline_ms = now + event.service.timeout_ms
        self.attempt_count = 0
        # Attempts that ended with their service or agent.
        self.ended_attempt_count = 0
        self.server: cpb.Member | None = None
        # Number of the permit in use; 0 for none.
        self.permit = 0
        # Number of the permit to revoke, because its call did not run; 0 for none.
        self.revoked_permit = 0
        # Whether the call was sent to a backend server that has not denied running it.
        self.may_have_run = False
        # The refusal to return if no earlier call under the same key holds a permit;
        # set while control is queried for such a permit.
        self.pending_refusal: Refusal | None = None
        self.resend_at_ms = 0
        self.fingerprint = b""
        # What the loss of the current backend server is counted by.
        self.tracked_attempt = TrackedAttempt(
            b"", NO_LOSSES, event.request, event.workspace.name
        )
        self.tried_incarnations: set[str] = set()


class Usage:
    """A workspace's requests and tokens in flight, and its token bucket."""

    def __init__(self, bucket_tokens: float, now_ms: int) -> None:
        self.requests_in_flight = 0
        self.tokens_in_flight = 0
        # Tokens that may still be charged; negative after a charge that exceeded them.
        self.bucket_tokens = bucket_tokens
        self.last_refill_ms = now_ms


class EntryState:
    """All state of the entry's reducer."""

    def __init__(self, options: EntryOptions) -> None:
        self.options = options
        self.settings = SettingsStore()
        self.server_by_name: dict[str, BackendServer] = {}
        self.server_name_by_address: dict[str, str] = {}
        # Dictionaries serve as ordered sets, so that a replay of the events iterates
        # in the same order.
        self.server_names_by_pipeline: dict[str, dict[str, None]] = {}
        self.server_names_by_service: dict[str, dict[str, None]] = {}
        self.request_by_id: dict[str, Request] = {}
        self.call_by_id: dict[str, PlainCall] = {}
        self.usage_by_workspace: dict[str, Usage] = {}
        # Running entries, this one included; they divide limits and batches equally.
        self.entry_count = 1
        # Choices made so far; seeds the hash that breaks ties between backend servers.
        self.choice_count = 0
        self.draining = False
        self.queue_by_pipeline: dict[str, PipelineQueue] = {}
        # Backend servers lost under each request, as all entries have counted them.
        self.quarantine = QuarantineTable()
        # Backend servers under which an attempt has failed, perhaps by their crash.
        self.suspect_by_incarnation: dict[str, cpb.Member] = {}


__all__ = [
    "BackendServer",
    "EntryOptions",
    "EntryState",
    "PlainCall",
    "Request",
    "Usage",
]

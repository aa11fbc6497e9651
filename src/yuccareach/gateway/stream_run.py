"""The state of one caller's stream while it is served, and the capacity it reserves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccareach.gateway.admitted_requests import (
    AdmittedRequest,
    strip_connection_headers,
)
from yuccareach.gateway.attempts import LeftServers, count_attempts, record_left
from yuccareach.gateway.chains import (
    Chain,
    ChainRequirements,
    compute_starting_limit,
)
from yuccareach.gateway.dialect import Stage
from yuccareach.gateway.losses import prove_parts, start_attempt
from yuccareach.gateway.server_limits import (
    Reservation,
    cancel_reservation,
    reserve_requests,
)
from yuccareach.gateway.sse import EventSplitter, parse_event_id
from yuccareach.gateway.suspects import (
    NO_TRIAL,
    begin_trial,
    end_trial,
    is_suspect_run,
)
from yuccareach.quarantine.progress import Progress

if TYPE_CHECKING:
    from yuccareach.gateway.admission import AdmissionQueue
    from yuccareach.gateway.backend_requests import BackendRequest
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.http_client import ResponseHead
    from yuccareach.gateway.http_server import Reply
    from yuccareach.gateway.state import Gateway
    from yuccareach.quarantine.table import TrackedAttempt

# Weight of the newest pause between events in the typical one, a moving average.
PAUSE_WEIGHT = 0.2
# Events of one attempt that show that the parts of its prompt crash no server: one that
# crashes may have sent the first event before.
PROOF_EVENTS = 2


class StreamRun:
    """One caller's stream while it is served, over one chain or several in turn."""

    def __init__(
        self, gateway: Gateway, admitted: AdmittedRequest, reply: Reply
    ) -> None:
        self.gateway = gateway
        self.admitted = admitted
        self.reply = reply
        self.splitter = EventSplitter()
        self.last_event_id = admitted.metadata.last_event_id
        self.chain: Chain | None = None
        # The chain at the end of the last attempt.
        self.last_chain = Chain((), 0.0)
        # Reserved for the next attempt before the current one is interrupted.
        self.next_chain: Chain | None = None
        self.next_tokens_by_stage: list[int] = []
        # The grants of limited servers for the attempt that is about to be sent, and
        # for the next one.
        self.reservation: Reservation | None = None
        self.next_reservation: Reservation | None = None
        self.starting_backend: Backend | None = None
        # Tokens reserved at each stage of the chain.
        self.reserved_tokens_by_stage: list[int] = []
        self.backend_request: BackendRequest | None = None
        # The attempt whose stages were probed, as its first event was late.
        self.probed_request: BackendRequest | None = None
        # Time from which the stall detection counts how long the stream is idle. Each
        # event sets this time, and the stall detection moves it to give the stream more
        # time.
        self.last_progress_s = gateway.now()
        # Typical pause between events of the current attempt.
        self.typical_pause_s: float | None = None
        # When an event was last delivered to the caller.
        self.last_delivery_s = self.last_progress_s
        self.delivered_events = 0
        self.first_event_s: float | None = None
        # Events of the current attempt, including those the caller already has.
        self.attempt_events = 0
        # Whether a task is repairing this stream after a stall, and the events of the
        # attempt when it began.
        self.repair_in_progress = False
        self.events_before_repair = 0
        self.interrupted = asyncio.Event()
        # Whether an attempt was given up that might have gone on.
        self.has_left_open_attempt = False
        # Whether the log tells that the current attempt is waited for.
        self.wait_logged = False
        # Until then the servers without a grant for the stream count as missed.
        self.next_miss_s = 0.0
        # No repair starts before this time.
        self.next_repair_s = 0.0
        self.excluded_incarnations: set[str] = set()
        # What the loss of a stage of the current chain is counted by.
        self.tracked_attempt = start_attempt(gateway, admitted)
        # Events that the caller had when it started.
        self.first_event = self.position
        self.first_delivered_events = 0
        # Whether the current attempt has shown that the parts of its prompt are
        # harmless.
        self.has_proven_parts = False
        # What is counted while it has not.
        self.trial = NO_TRIAL
        # Set while the stream waits in the admission queue.
        self.granted: asyncio.Future[Chain | None] | None = None
        # The server that the last refusal names, if it is not the one that refused.
        self.named_backend: Backend | None = None
        # Whether the current attempt has lost a later stage.
        self.later_stage_lost = False
        # Later stages of the current attempt whose possible loss is recorded.
        self.suspected_incarnations: set[str] = set()
        # Whether its caller returns when an earlier refusal told it to.
        self.is_return = False
        self.attempts = 0
        self.left_servers = LeftServers()
        # Whether the retry budget has already granted the next attempt.
        self.retry_reserved = False
        self.reroutes = 0
        self.failure_head: ResponseHead | None = None
        self.failure_body = b""

    @property
    def tokens(self) -> int:
        """Tokens that the request is expected to have at its end."""
        metadata = self.admitted.metadata
        return metadata.prompt_tokens + metadata.expected_answer_tokens

    @property
    def position(self) -> int:
        """The last event that the caller has, by its id or else its number."""
        if self.last_event_id is not None:
            return self.last_event_id
        return self.delivered_events

    def start_tracking(self) -> None:
        """Note what the loss of a stage of the current chain is counted by."""
        self.tracked_attempt = start_attempt(
            self.gateway, self.admitted, has_proven_parts=self.has_proven_parts
        )
        self.first_event = self.position
        self.first_delivered_events = self.delivered_events

    @property
    def lost_attempt(self) -> TrackedAttempt:
        """What the loss of a stage now is counted by."""
        new_events = self.delivered_events - self.first_delivered_events
        progress = Progress(self.first_event, self.position, new_events)
        return self.tracked_attempt._replace(progress=progress)

    def deliver_data(self, data: bytes) -> int:
        """Deliver the events that these bytes complete.

        Returns the number of bytes of an incomplete event.
        """
        for event in self.splitter.feed(data):
            self._deliver_event(event)
        return self.splitter.buffered_bytes

    def _deliver_event(self, event: bytes) -> None:
        now_s = self.gateway.now()
        if self.attempt_events:
            pause_s = now_s - self.last_progress_s
            typical_s = (
                pause_s if self.typical_pause_s is None else self.typical_pause_s
            )
            self.typical_pause_s = typical_s + PAUSE_WEIGHT * (pause_s - typical_s)
        else:
            self._release_start()
        self.last_progress_s = now_s
        self.attempt_events += 1
        if self.attempt_events >= PROOF_EVENTS:
            self.prove_parts()
        received_id = parse_event_id(event)
        if received_id is not None:
            if self.last_event_id is not None and received_id <= self.last_event_id:
                return
            self.last_event_id = received_id
        self._start_reply()
        self.delivered_events += 1
        self.last_delivery_s = self.last_progress_s
        self.first_event_s = self.first_event_s or self.last_progress_s
        self.reply.write(event)

    def prove_parts(self) -> None:
        """Record once that the attempt has shown its prompt's parts to be harmless."""
        if not self.has_proven_parts:
            self.has_proven_parts = True
            end_trial(self)
            prove_parts(self.gateway, self.tracked_attempt)
            self.tracked_attempt = self.tracked_attempt._replace(has_proven_parts=True)

    def _release_start(self) -> None:
        """Stop counting the stream as starting, so that another one may start."""
        if self.starting_backend is not None:
            self.starting_backend.starting_streams -= 1
            self.starting_backend = None

    def _start_reply(self) -> None:
        """Send the response head of the first attempt that yields an event."""
        if self.reply.has_started or self.backend_request is None:
            return
        head = self.backend_request.exchange.head.result()
        assert head is not None
        self.reply.start(head.status, strip_connection_headers(head))

    @property
    def queue(self) -> AdmissionQueue[Chain]:
        """The admission queue of the stream's service."""
        return self.gateway.get_queue(self.admitted.service.name)

    @property
    def workspace(self) -> str:
        """The workspace's name, empty on a public route."""
        workspace = self.admitted.workspace
        return workspace.name if workspace else ""

    def leave(self, backend: Backend) -> None:
        """Record that the stream has left a server that may still run it."""
        record_left(self.left_servers, backend)

    def can_retry(self, leaving: Backend | None = None) -> bool:
        """Return whether the route allows another attempt, after leaving a server."""
        return self.admitted.route.is_idempotent and self._has_attempt_left(leaving)

    def _has_attempt_left(self, leaving: Backend | None) -> bool:
        counted = count_attempts(self.left_servers, self.gateway.fleet, leaving)
        return counted < self.admitted.route.max_attempts

    def can_replace(self, stage: Backend) -> bool:
        """Return whether the stream may continue on another later stage than this one.

        The first stage keeps the request, so this is no second run of it. A stage that
        has ended or is cut off needs no attempt: without another one, the stream ends.
        One that is presumed to be lost may still run the request, and takes one.
        """
        now_s = self.gateway.now()
        if self.gateway.fleet.has_ended(stage) or now_s >= stage.find_cutoff_s():
            return True
        if stage.is_unreachable(now_s):
            return self._has_attempt_left(stage)
        return self.can_retry(stage)

    def reserve_retry(self) -> bool:
        """Return whether the retry budget grants the next attempt.

        The retry is taken from the budget only once for each attempt.
        """
        if not self.retry_reserved:
            self.retry_reserved = self.gateway.take_retry(
                self.admitted.service.name, urgent=self.reply.has_started
            )
        return self.retry_reserved

    def build_requirements(self) -> ChainRequirements:
        """Return the requirements that a chain for this stream has to meet."""
        return ChainRequirements(
            self.gateway.settings.zone,
            self.tokens,
            self.gateway.now(),
            frozenset(self.excluded_incarnations),
            runs_apart=is_suspect_run(self),
            max_starting_streams=compute_starting_limit(self.gateway.entry_count),
            entry_count=self.gateway.entry_count,
            objective_s=self.admitted.route.objective_ms / 1000,
        )

    def reserve(self, chain: Chain) -> None:
        """Reserve capacity at a chain over which the request is about to be sent.

        Each of its limited servers has a grant left.
        """
        self.reservation = reserve_requests(self.gateway, _list_backends(chain))
        priority = self.admitted.priority
        self.queue.record_grant(
            self.workspace, self.tokens, self.gateway.now(), priority
        )
        self.has_proven_parts = False
        self._reserve_at(chain)

    def move_to_chain(self, chain: Chain) -> None:
        """Move the reservation to the chain over which the request continues."""
        self.release_chain()
        self.start_tracking()
        self.suspected_incarnations.clear()
        self.queue.record_move(self.workspace, self.tokens)
        self._reserve_at(chain)

    def reserve_next(self, chain: Chain) -> None:
        """Reserve capacity for the next attempt beside that of the current one."""
        self.next_reservation = reserve_requests(self.gateway, _list_backends(chain))
        self.queue.record_grant(self.workspace, self.tokens, self.gateway.now())
        self.next_chain = chain
        self.next_tokens_by_stage = self._compute_tokens_by_stage(chain)
        _change_usage(chain, self.next_tokens_by_stage, 1)

    def cancel_reservation(self) -> None:
        """Give back the grants of an attempt that has not been sent, if any."""
        reservation, self.reservation = self.reservation, None
        if reservation is not None:
            cancel_reservation(reservation)

    def take_next_chain(self) -> Chain | None:
        """Let the current attempt use the capacity that was reserved for it, if any."""
        chain = self.next_chain
        if chain is not None:
            self.reservation, self.next_reservation = self.next_reservation, None
            self.release_next_chain()
            self.queue.record_move(self.workspace, self.tokens)
            self.has_proven_parts = False
            self._reserve_at(chain)
        return chain

    def release_next_chain(self) -> None:
        """Release the capacity that is reserved for the next attempt, if any."""
        chain, self.next_chain = self.next_chain, None
        reservation, self.next_reservation = self.next_reservation, None
        if reservation is not None:
            cancel_reservation(reservation)
        if chain is not None:
            _change_usage(chain, self.next_tokens_by_stage, -1)
            self.queue.release(self.workspace, self.tokens)

    def _compute_tokens_by_stage(self, chain: Chain) -> list[int]:
        return [int(self.tokens * stage.layer_fraction) for stage in chain.stages]

    def _reserve_at(self, chain: Chain) -> None:
        self.chain = chain
        if not self.has_proven_parts:
            begin_trial(self, chain)
        self._release_start()
        if not self.attempt_events:
            self.starting_backend = chain.stages[0].backend
            self.starting_backend.starting_streams += 1
        self.reserved_tokens_by_stage = self._compute_tokens_by_stage(chain)
        _change_usage(chain, self.reserved_tokens_by_stage, 1)

    def release_chain(self) -> None:
        """Release the reserved capacity and grant it to waiting requests."""
        chain, self.chain = self.chain, None
        end_trial(self)
        self._release_start()
        if chain is None:
            return
        _change_usage(chain, self.reserved_tokens_by_stage, -1)
        self.attempt_events = 0
        self.queue.release(self.workspace, self.tokens)
        self.queue.grant_capacity(self.gateway.now())


def _list_backends(chain: Chain) -> list[Backend]:
    return [stage.backend for stage in chain.stages]


def _change_usage(chain: Chain, tokens_by_stage: list[int], sign: int) -> None:
    """Add a stream to the usage of a chain's servers; a sign of -1 removes it."""
    chain.stages[0].backend.first_stage_streams += sign
    for stage, tokens in zip(chain.stages, tokens_by_stage, strict=True):
        stage.backend.reserved_tokens += sign * tokens
        stage.backend.running_requests += sign


def to_dialect_stages(chain: Chain) -> tuple[Stage, ...]:
    """Return the stages of a chain as the dialect encodes them."""
    return tuple(
        Stage(
            stage.backend.name,
            stage.backend.announcement.address,
            stage.first_layer,
            stage.end_layer,
        )
        for stage in chain.stages
    )


def format_chain(chain: Chain) -> str:
    """Return a chain as text for logs."""
    return ",".join(
        f"{stage.backend.name}={stage.first_layer}-{stage.end_layer}"
        for stage in chain.stages
    )


__all__ = ["StreamRun", "format_chain", "to_dialect_stages"]

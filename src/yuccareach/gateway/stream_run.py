"""One caller's stream while it is served, and what it holds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccareach.gateway.admitted_requests import (
    AdmittedRequest,
    strip_connection_headers,
)
from yuccareach.gateway.chains import Chain, Demand
from yuccareach.gateway.dialect import Stage
from yuccareach.gateway.sse import EventSplitter, parse_event_id

if TYPE_CHECKING:
    from yuccareach.gateway.admission import AdmissionQueue
    from yuccareach.gateway.backend_requests import BackendRequest
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.http_client import ResponseHead
    from yuccareach.gateway.http_server import Reply
    from yuccareach.gateway.state import Gateway

# Weight of the newest pause in the usual one.
PAUSE_WEIGHT = 0.2
# Attempts beyond the route's, where the backend servers of earlier ones were lost.
LOST_MOST = 2


class StreamRun:
    """One caller's stream while it is served."""

    def __init__(
        self, gateway: Gateway, admitted: AdmittedRequest, reply: Reply
    ) -> None:
        self.gateway = gateway
        self.admitted = admitted
        self.reply = reply
        self.splitter = EventSplitter()
        self.last_event_id = admitted.metadata.last_event_id
        self.chain: Chain | None = None
        self.starting_at: Backend | None = None
        # Tokens counted at each part of the chain.
        self.held: list[int] = []
        self.sent: BackendRequest | None = None
        # When the stream last moved, as far as the search for stalls is concerned.
        self.progress_s = gateway.now()
        # Usual pause between events of the attempt under way.
        self.pause_s: float | None = None
        # When the caller last had an event.
        self.event_s = self.progress_s
        self.events = 0
        self.first_event_s: float | None = None
        # Events of the attempt under way.
        self.attempt_events = 0
        # Set while another task looks into a stall.
        self.repairing = False
        self.interrupted = asyncio.Event()
        # Whether the first stage of the attempt under way is gone.
        self.first_lost = False
        self.excluded: set[str] = set()
        self.tries = 0
        # Attempts that count against the route's limit.
        self.runs = 0
        # Whether the budget has already granted the next attempt.
        self.repeat_taken = False
        self.repairs = 0
        self.head: ResponseHead | None = None
        self.failure_body = b""

    @property
    def tokens(self) -> int:
        """Tokens that the request is expected to hold at its end."""
        facts = self.admitted.metadata
        return facts.prompt_tokens + facts.expected_answer_tokens

    def take_data(self, data: bytes) -> None:
        """Pass on the events that these bytes complete."""
        for event in self.splitter.feed(data):
            self._take_event(event)

    def _take_event(self, event: bytes) -> None:
        now_s = self.gateway.now()
        if self.attempt_events:
            pause_s = now_s - self.progress_s
            usual_s = pause_s if self.pause_s is None else self.pause_s
            self.pause_s = usual_s + PAUSE_WEIGHT * (pause_s - usual_s)
        else:
            self._started()
        self.progress_s = now_s
        self.attempt_events += 1
        number = parse_event_id(event)
        if number is not None:
            if self.last_event_id is not None and number <= self.last_event_id:
                return
            self.last_event_id = number
        self._start_reply()
        self.events += 1
        self.event_s = self.progress_s
        self.first_event_s = self.first_event_s or self.progress_s
        self.reply.write(event)

    def _started(self) -> None:
        """Note that the first stage is free to start another stream."""
        if self.starting_at is not None:
            self.starting_at.starting -= 1
            self.starting_at = None

    def _start_reply(self) -> None:
        """Send the head of the first attempt that gives an event."""
        if self.reply.has_started or self.sent is None:
            return
        head = self.sent.exchange.head.result()
        assert head is not None
        self.reply.start(head.status, strip_connection_headers(head))

    @property
    def queue(self) -> AdmissionQueue[Chain]:
        """Where requests of the same service wait for room."""
        return self.gateway.get_queue(self.admitted.service.name)

    @property
    def workspace(self) -> str:
        """The workspace's name, empty on a public route."""
        workspace = self.admitted.workspace
        return workspace.name if workspace else ""

    def may_run_again(self, runs: int) -> bool:
        """Return whether the route allows another attempt after so many that count."""
        route = self.admitted.route
        most = route.max_attempts
        return route.is_idempotent and runs < most and self.tries < most + LOST_MOST

    def take_repeat(self) -> bool:
        """Return whether the budget grants another attempt, and take it once."""
        if not self.repeat_taken:
            self.repeat_taken = self.gateway.take_retry(
                self.admitted.service.name, urgent=self.reply.has_started
            )
        return self.repeat_taken

    def demand(self) -> Demand:
        """Return what a chain for this stream has to meet."""
        return Demand(
            self.gateway.settings.zone,
            self.tokens,
            self.gateway.now(),
            frozenset(self.excluded),
        )

    def hold(self, chain: Chain) -> None:
        """Count the request that is about to be sent over a chain."""
        self.queue.hold(self.workspace, self.tokens, self.gateway.now())
        self._count_at(chain)

    def move(self, chain: Chain) -> None:
        """Count the request over the chain on which it goes on."""
        self.let_go()
        self.queue.move(self.workspace, self.tokens)
        self._count_at(chain)

    def _count_at(self, chain: Chain) -> None:
        self.chain = chain
        self._started()
        if not self.attempt_events:
            self.starting_at = chain.parts[0].backend
            self.starting_at.starting += 1
        self.held = [int(self.tokens * part.share) for part in chain.parts]
        chain.parts[0].backend.first += 1
        for part, tokens in zip(chain.parts, self.held, strict=True):
            part.backend.tokens += tokens
            part.backend.running += 1

    def let_go(self) -> None:
        """Stop counting the request."""
        chain, self.chain = self.chain, None
        self._started()
        if chain is None:
            return
        chain.parts[0].backend.first -= 1
        for part, tokens in zip(chain.parts, self.held, strict=True):
            part.backend.tokens -= tokens
            part.backend.running -= 1
        self.attempt_events = 0
        self.queue.free(self.workspace, self.tokens)
        self.queue.pump(self.gateway.now())


def stages(chain: Chain) -> tuple[Stage, ...]:
    """Return a chain as it is told to backend servers."""
    return tuple(
        Stage(
            part.backend.name,
            part.backend.announced.address,
            part.first_layer,
            part.end_layer,
        )
        for part in chain.parts
    )


def describe(chain: Chain) -> str:
    """Return a chain for logs."""
    return ",".join(
        f"{part.backend.name}={part.first_layer}-{part.end_layer}"
        for part in chain.parts
    )


__all__ = ["StreamRun", "describe", "stages"]

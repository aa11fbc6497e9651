"""Waiting for room at the backend servers, fairly among workspaces.

Each entry keeps no more requests running than its share of the batches that a
pipeline's backend servers can hold. Others wait in the order of virtual finish times,
so that workspaces share in proportion to their weights; a higher priority counts as
tokens of advance, so that a low one is served in the end. A request whose wait would be
too long is refused at once.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.entry.events import Refusal

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState, Request

OVERSUBSCRIPTION_FACTOR = 1.3
MIN_RUNNING_REQUESTS = 4
MAX_QUEUE_WAIT_MS = 8_000
CREDIT_TOKENS_PER_PRIORITY = 1_000
SERVICE_TIME_SMOOTHING_FACTOR = 0.05


class Waiting(NamedTuple):
    """One queued request, in the order in which it is served."""

    order: float
    number: int
    request: str


class PipelineQueue:
    """Requests of one pipeline that wait, and what is known of its speed."""

    def __init__(self) -> None:
        self.heap: list[Waiting] = []
        self.queued: set[str] = set()
        self.running: set[str] = set()
        self.numbers = itertools.count()
        self.virtual_time = 0.0
        self.finish_by_workspace: dict[str, float] = {}
        self.service_ms = 0.0


def queue_of(state: EntryState, pipeline: str) -> PipelineQueue:
    """Return a pipeline's queue."""
    queue = state.queue_by_pipeline.get(pipeline)
    if queue is None:
        queue = state.queue_by_pipeline[pipeline] = PipelineQueue()
    return queue


def room(state: EntryState, pipeline: str) -> int:
    """Return how many requests of a pipeline this entry may keep running."""
    servers = (
        state.server_by_name[name]
        for name in state.server_names_by_pipeline.get(pipeline, ())
    )
    batches = sum(server.member.max_batch for server in servers if not server.draining)
    return max(
        MIN_RUNNING_REQUESTS, int(batches * OVERSUBSCRIPTION_FACTOR / state.entry_count)
    )


def admit(state: EntryState, request: Request) -> Refusal | None:
    """Queue a request, or return why it would wait too long."""
    queue = queue_of(state, request.pipeline)
    wait_ms = expected_wait_ms(state, request.pipeline)
    longest_ms = min(MAX_QUEUE_WAIT_MS, request.request_class.deadline_ms)
    if wait_ms > longest_ms:
        text = f"the wait would be about {wait_ms / 1000:.0f} s"
        retry_s = max(1, math.ceil((wait_ms - longest_ms) / 1000))
        return Refusal(503, "overloaded", text, retry_after_s=retry_s)
    name = request.workspace.name
    start = max(queue.virtual_time, queue.finish_by_workspace.get(name, 0.0))
    finish = start + request.charged_tokens / request.workspace.weight
    queue.finish_by_workspace[name] = finish
    order = finish - _advance(request)
    waiting = Waiting(order, next(queue.numbers), request.identifier)
    heapq.heappush(queue.heap, waiting)
    queue.queued.add(request.identifier)
    return None


def expected_wait_ms(state: EntryState, pipeline: str) -> float:
    """Return how long one more request would wait, by the speed seen lately."""
    queue = queue_of(state, pipeline)
    places = room(state, pipeline)
    ahead = len(queue.queued) + 1 + len(queue.running) - places
    return max(0, ahead) * queue.service_ms / places


def take_ready(state: EntryState, pipeline: str) -> list[str]:
    """Take out the requests that may start now."""
    queue = queue_of(state, pipeline)
    if not queue.heap:
        return []
    ready: list[str] = []
    free = room(state, pipeline) - len(queue.running)
    while queue.heap and len(ready) < free:
        waiting = heapq.heappop(queue.heap)
        if waiting.request not in queue.queued:
            continue
        queue.queued.discard(waiting.request)
        request = state.request_by_id[waiting.request]
        finish = waiting.order + _advance(request)
        queue.virtual_time = max(queue.virtual_time, finish)
        ready.append(waiting.request)
    queue.running.update(ready)
    if not queue.heap:
        queue.finish_by_workspace.clear()
        queue.virtual_time = 0.0
    return ready


def _advance(request: Request) -> float:
    return request.request_class.priority * CREDIT_TOKENS_PER_PRIORITY


def release(state: EntryState, request: Request, now: int) -> None:
    """Give back the place of a request that has ended, queued or running."""
    queue = queue_of(state, request.pipeline)
    queue.queued.discard(request.identifier)
    if request.identifier not in queue.running:
        return
    queue.running.discard(request.identifier)
    taken_ms = now - request.dequeued_ms
    if not queue.service_ms:
        queue.service_ms = taken_ms
    queue.service_ms += SERVICE_TIME_SMOOTHING_FACTOR * (taken_ms - queue.service_ms)


__all__ = [
    "PipelineQueue",
    "admit",
    "expected_wait_ms",
    "release",
    "room",
    "take_ready",
]

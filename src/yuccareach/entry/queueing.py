"""Weighted fair queueing of model requests among workspaces.

Each entry runs no more requests at once than its share of the batch sizes of a
pipeline's backend servers, times OVERSUBSCRIPTION_FACTOR. Further requests wait in the
order of their virtual finish times, so that workspaces share the capacity in proportion
to their weights. A higher priority advances the virtual finish time by a fixed number
of tokens, so that requests of low priority are delayed but never starved. A request
whose expected wait is too long is refused at once.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.entry.events import Refusal

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState, Request

# Running requests, as a multiple of the batch sizes of a pipeline's backend servers.
OVERSUBSCRIPTION_FACTOR = 1.3
MIN_RUNNING_REQUESTS = 4
# A request with a longer expected wait is refused.
MAX_QUEUE_WAIT_MS = 8_000
# Tokens by which each level of priority advances a request's virtual finish time.
CREDIT_TOKENS_PER_PRIORITY = 1_000
# Weight of the newest service time in the exponentially smoothed one.
SERVICE_TIME_SMOOTHING_FACTOR = 0.05


class QueuedRequest(NamedTuple):
    """A queued request; the one with the lowest sort key is served first.

    The sort key is the virtual finish time minus the credit for the priority. Virtual
    time is measured in tokens divided by the workspace's weight. Requests with equal
    sort keys are served in the order of arrival.
    """

    sort_key: float
    arrival_number: int
    request_id: str


class PipelineQueue:
    """Queued and running requests of one pipeline, and its typical service time."""

    def __init__(self) -> None:
        self.heap: list[QueuedRequest] = []
        self.queued_ids: set[str] = set()
        self.running_ids: set[str] = set()
        self.arrival_numbers = itertools.count()
        self.virtual_time = 0.0
        self.virtual_finish_by_workspace: dict[str, float] = {}
        self.smoothed_service_ms = 0.0


def get_queue(state: EntryState, pipeline: str) -> PipelineQueue:
    """Return a pipeline's queue, created on first use."""
    queue = state.queue_by_pipeline.get(pipeline)
    if queue is None:
        queue = state.queue_by_pipeline[pipeline] = PipelineQueue()
    return queue


def compute_max_running(state: EntryState, pipeline: str) -> int:
    """Return how many requests of a pipeline this entry may run at once."""
    servers = (
        state.server_by_name[name]
        for name in state.server_names_by_pipeline.get(pipeline, ())
    )
    batch_capacity = sum(
        server.member.max_batch for server in servers if not server.draining
    )
    return max(
        MIN_RUNNING_REQUESTS,
        int(batch_capacity * OVERSUBSCRIPTION_FACTOR / state.entry_count),
    )


def enqueue(state: EntryState, request: Request) -> Refusal | None:
    """Queue a request, or return a refusal if it would wait too long."""
    queue = get_queue(state, request.pipeline)
    wait_ms = estimate_wait_ms(state, request.pipeline)
    max_wait_ms = min(MAX_QUEUE_WAIT_MS, request.request_class.deadline_ms)
    if wait_ms > max_wait_ms:
        text = f"the expected wait of {wait_ms / 1000:.0f} s is too long"
        retry_after_s = max(1, math.ceil((wait_ms - max_wait_ms) / 1000))
        return Refusal(503, "overloaded", text, retry_after_s=retry_after_s)
    name = request.workspace.name
    virtual_start = max(
        queue.virtual_time, queue.virtual_finish_by_workspace.get(name, 0.0)
    )
    virtual_finish = virtual_start + request.charged_tokens / request.workspace.weight
    queue.virtual_finish_by_workspace[name] = virtual_finish
    sort_key = virtual_finish - _compute_priority_credit(request)
    queued_request = QueuedRequest(
        sort_key, next(queue.arrival_numbers), request.identifier
    )
    heapq.heappush(queue.heap, queued_request)
    queue.queued_ids.add(request.identifier)
    return None


def estimate_wait_ms(state: EntryState, pipeline: str) -> float:
    """Return how long one more request would wait, from recent service times."""
    queue = get_queue(state, pipeline)
    max_running = compute_max_running(state, pipeline)
    excess_requests = len(queue.queued_ids) + 1 + len(queue.running_ids) - max_running
    return max(0, excess_requests) * queue.smoothed_service_ms / max_running


def dequeue_ready(state: EntryState, pipeline: str) -> list[str]:
    """Remove from the queue the requests that may start now, and return their ids."""
    queue = get_queue(state, pipeline)
    if not queue.heap:
        return []
    ready: list[str] = []
    free_capacity = compute_max_running(state, pipeline) - len(queue.running_ids)
    while queue.heap and len(ready) < free_capacity:
        queued_request = heapq.heappop(queue.heap)
        # Requests that ended while queued are only removed from queued_ids.
        if queued_request.request_id not in queue.queued_ids:
            continue
        queue.queued_ids.discard(queued_request.request_id)
        request = state.request_by_id[queued_request.request_id]
        virtual_finish = queued_request.sort_key + _compute_priority_credit(request)
        queue.virtual_time = max(queue.virtual_time, virtual_finish)
        ready.append(queued_request.request_id)
    queue.running_ids.update(ready)
    if not queue.heap:
        queue.virtual_finish_by_workspace.clear()
        queue.virtual_time = 0.0
    return ready


def _compute_priority_credit(request: Request) -> float:
    return request.request_class.priority * CREDIT_TOKENS_PER_PRIORITY


def remove(state: EntryState, request: Request, now: int) -> None:
    """Remove a request that has ended, queued or running.

    The service time of one that was running updates the smoothed service time.
    """
    queue = get_queue(state, request.pipeline)
    queue.queued_ids.discard(request.identifier)
    if request.identifier not in queue.running_ids:
        return
    queue.running_ids.discard(request.identifier)
    service_ms = now - request.dequeued_ms
    if not queue.smoothed_service_ms:
        queue.smoothed_service_ms = service_ms
    queue.smoothed_service_ms += SERVICE_TIME_SMOOTHING_FACTOR * (
        service_ms - queue.smoothed_service_ms
    )


__all__ = [
    "PipelineQueue",
    "compute_max_running",
    "dequeue_ready",
    "enqueue",
    "estimate_wait_ms",
    "remove",
]

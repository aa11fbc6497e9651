"""Queues that carry the reducer's effects to the HTTP handlers of their requests."""

from __future__ import annotations

import asyncio
from typing import Any


class ResponseQueues:
    """One queue for each request that an HTTP handler is answering."""

    def __init__(self) -> None:
        self.queue_by_request_id: dict[str, asyncio.Queue[Any]] = {}
        # Set while no queue is open.
        self.all_closed = asyncio.Event()
        self.all_closed.set()

    def open(self, request_id: str) -> asyncio.Queue[Any]:
        """Add and return the queue of a request."""
        queue: asyncio.Queue[Any] = asyncio.Queue()
        self.queue_by_request_id[request_id] = queue
        self.all_closed.clear()
        return queue

    def put(self, effect: Any) -> None:
        """Put an effect into its request's queue; drop it if the queue is closed."""
        queue = self.queue_by_request_id.get(effect.request)
        if queue is not None:
            queue.put_nowait(effect)

    def close(self, request_id: str) -> None:
        """Remove the queue of a request that was answered."""
        self.queue_by_request_id.pop(request_id, None)
        if not self.queue_by_request_id:
            self.all_closed.set()


__all__ = ["ResponseQueues"]

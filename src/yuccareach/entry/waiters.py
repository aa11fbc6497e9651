"""Callers waiting for what the reducer decides about their requests."""

from __future__ import annotations

import asyncio
from typing import Any


class Waiters:
    """One queue for each request with an open connection."""

    def __init__(self) -> None:
        self.queue_by_request: dict[str, asyncio.Queue[Any]] = {}
        self.idle = asyncio.Event()
        self.idle.set()

    def open(self, request: str) -> asyncio.Queue[Any]:
        """Start to wait for a request."""
        queue: asyncio.Queue[Any] = asyncio.Queue()
        self.queue_by_request[request] = queue
        self.idle.clear()
        return queue

    def put(self, effect: Any) -> None:
        """Hand an effect to its caller, who may have gone."""
        queue = self.queue_by_request.get(effect.request)
        if queue is not None:
            queue.put_nowait(effect)

    def close(self, request: str) -> None:
        """Stop waiting for a request."""
        self.queue_by_request.pop(request, None)
        if not self.queue_by_request:
            self.idle.set()


__all__ = ["Waiters"]

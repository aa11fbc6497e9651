"""Detection of callers that close their connection before the answer is complete."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

CALLBACKS_SCOPE_KEY = "yuccareach.on_disconnect"


class DisconnectMiddleware:
    """ASGI middleware that runs callbacks when the caller disconnects.

    It reads the messages from the server ahead of the application, so that it notices
    a disconnect even while the application does not read.
    """

    def __init__(self, app: Any) -> None:
        self.app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request and detect its disconnect meanwhile."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        messages: asyncio.Queue[Any] = asyncio.Queue()
        callbacks: list[Callable[[], None]] = []
        scope[CALLBACKS_SCOPE_KEY] = callbacks
        forwarding_task = asyncio.create_task(
            _forward_messages(receive, messages, callbacks)
        )
        try:
            await self.app(scope, messages.get, send)
        finally:
            forwarding_task.cancel()


async def _forward_messages(
    receive: Any, messages: asyncio.Queue[Any], callbacks: list[Callable[[], None]]
) -> None:
    """Forward messages to the application until the caller disconnects."""
    while True:
        message = await receive()
        messages.put_nowait(message)
        if message["type"] == "http.disconnect":
            for callback in callbacks:
                callback()
            return


def add_disconnect_callback(request: Any, callback: Callable[[], None]) -> None:
    """Register a callback that runs when the caller of this request disconnects."""
    request.scope[CALLBACKS_SCOPE_KEY].append(callback)


__all__ = ["DisconnectMiddleware", "add_disconnect_callback"]

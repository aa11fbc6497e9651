"""Noticing callers who close their connection before the answer is whole."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

CALLBACKS_SCOPE_KEY = "yuccareach.on_disconnect"


class DisconnectWatch:
    """An ASGI layer that calls back when the caller has gone."""

    def __init__(self, app: Any) -> None:
        self.app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request and watch its connection meanwhile."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        received: asyncio.Queue[Any] = asyncio.Queue()
        callbacks: list[Callable[[], None]] = []
        scope[CALLBACKS_SCOPE_KEY] = callbacks
        pump = asyncio.create_task(_pump(receive, received, callbacks))
        try:
            await self.app(scope, received.get, send)
        finally:
            pump.cancel()


async def _pump(
    receive: Any, received: asyncio.Queue[Any], callbacks: list[Callable[[], None]]
) -> None:
    """Pass messages on until the connection closes."""
    while True:
        message = await receive()
        received.put_nowait(message)
        if message["type"] == "http.disconnect":
            for callback in callbacks:
                callback()
            return


def on_disconnect(request: Any, callback: Callable[[], None]) -> None:
    """Have a callback made when this request's caller goes."""
    request.scope[CALLBACKS_SCOPE_KEY].append(callback)


__all__ = ["DisconnectWatch", "on_disconnect"]

"""Handing requests to the stream in use, and to none that has ended."""

from __future__ import annotations

import asyncio


class StreamTurn:
    """Wakes the request generator of the newest stream and ends those of older ones.

    A gRPC call that has failed may leave its request generator waiting. Without this,
    it would wake first and take what was meant for the next stream.
    """

    def __init__(self) -> None:
        self.number = 0
        self.ready = asyncio.Event()

    def begin(self) -> int:
        """Start a stream; generators of earlier ones end. Returns its number."""
        self.number += 1
        self.ready.set()
        return self.number

    def wake(self) -> None:
        """Tell the generator in use that there is something to send."""
        self.ready.set()

    async def wait(self, number: int) -> bool:
        """Wait to be woken; return False where the stream is not in use any more."""
        await self.ready.wait()
        if number != self.number:
            return False
        self.ready.clear()
        return True

    async def pause(self, number: int, seconds: float) -> bool:
        """Wait a fixed time; return False where the stream is not in use any more."""
        await asyncio.sleep(seconds)
        return number == self.number


__all__ = ["StreamTurn"]

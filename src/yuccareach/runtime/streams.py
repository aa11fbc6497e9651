"""Wake-up of the request generator of the newest stream, and of no older one."""

from __future__ import annotations

import asyncio


class NewestStreamSignal:
    """Wakes the request generator of the newest stream and ends those of older ones.

    A gRPC call that has failed may leave its request generator waiting. That generator
    would wake first and take messages that are meant for the next stream.
    """

    def __init__(self) -> None:
        self.newest_number = 0
        self.notified = asyncio.Event()

    def start_stream(self) -> int:
        """Start a stream, end the generators of earlier ones, and return its number."""
        self.newest_number += 1
        self.notified.set()
        return self.newest_number

    def notify(self) -> None:
        """Wake the generator of the newest stream, since it has something to send."""
        self.notified.set()

    async def wait(self, stream_number: int) -> bool:
        """Wait for notify; return False if a newer stream has started."""
        await self.notified.wait()
        if stream_number != self.newest_number:
            return False
        self.notified.clear()
        return True

    async def sleep(self, stream_number: int, seconds: float) -> bool:
        """Wait a fixed time; return False if a newer stream has started."""
        await asyncio.sleep(seconds)
        return stream_number == self.newest_number


__all__ = ["NewestStreamSignal"]

"""Orders to runners about the layers they hold."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec

if TYPE_CHECKING:
    from yuccareach.placement.planner import LayerRange

ORDER_TIMEOUT_S = 1.0


class OrderClient:
    """Sends orders over HTTP; one without an answer may still be carried out."""

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None

    async def place(self, address: str, layers: LayerRange) -> bool:
        """Order a runner to hold a range; returns whether it took the order."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
            )
        order = {
            "op": "place",
            "from": layers.first,
            "target": layers.end,
            "method": "wait",
        }
        try:
            async with self.session.post(
                f"http://{address}/-/order",
                data=msgspec.json.encode(order),
                headers={"Content-Type": "application/json"},
            ) as answer:
                return answer.status in (200, 202)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return False

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            await self.session.close()


__all__ = ["OrderClient"]

"""Orders to runners about the layers they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccareach.gateway.http_client import ConnectionPool, call_backend

if TYPE_CHECKING:
    from yuccareach.placement.assignments import LayerRange

ORDER_TIMEOUT_S = 1.0
ORDER_PATH = "/-/order"


async def place(address: str, layers: LayerRange) -> bool:
    """Order a runner to hold a range; returns whether it took the order.

    An order without an answer may still be carried out.
    """
    order = {
        "op": "place",
        "from": layers.first,
        "target": layers.end,
        "method": "wait",
    }
    pool = ConnectionPool(address)
    body = msgspec.json.encode(order)
    answer = await call_backend(pool, b"POST", ORDER_PATH, body, ORDER_TIMEOUT_S)
    pool.close()
    return answer is not None and answer.status in (200, 202)


__all__ = ["ORDER_PATH", "place"]

"""Orders to runners to load layers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccareach.gateway.http_client import ConnectionPool, call_backend

if TYPE_CHECKING:
    from yuccareach.placement.assignments import LayerRange

ORDER_TIMEOUT_S = 1.0
ORDER_PATH = "/-/order"


async def send_place_order(address: str, layers: LayerRange) -> bool:
    """Order a runner to load a range of layers; return whether it accepts the order.

    If the result is False because no answer came in time, the runner may still carry
    out the order.
    """
    order = {
        "op": "place",
        # A layer. In `delays` of the routing document, `from` is a zone.
        "from": layers.first,
        # The first layer after the range.
        "target": layers.end,
        "method": "wait",
    }
    pool = ConnectionPool(address)
    body = msgspec.json.encode(order)
    answer = await call_backend(pool, b"POST", ORDER_PATH, body, ORDER_TIMEOUT_S)
    pool.close()
    return answer is not None and answer.status in (200, 202)


__all__ = ["ORDER_PATH", "send_place_order"]

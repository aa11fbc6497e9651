"""Orders to a first backend server to continue a stream over other later stages."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.exchanges import Ending
from yuccareach.gateway.server_calls import send_order
from yuccareach.gateway.stream_run import StreamRun, format_chain, to_dialect_stages

if TYPE_CHECKING:
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.chains import Chain
    from yuccareach.gateway.state import Gateway

# Timeout of each attempt to send an order. An order that arrives is answered within
# some ten milliseconds. An order states the whole chain, so it may be sent twice; the
# second attempt uses a new connection.
REROUTE_ORDER_TIMEOUTS_S = (0.12, 0.38)


class RerouteAnswer(NamedTuple):
    """A backend server's answer to an order to reroute a request."""

    status: int
    # Address of the stage that is gone or has no capacity; empty if none is named.
    faulty_address: str


def log_reroute(
    gateway: Gateway,
    run: StreamRun,
    replaced: Backend,
    detour: Chain,
    answer: RerouteAnswer | None,
) -> None:
    """Log an order to reroute a stream around a server, and its answer."""
    gateway.log(
        "stream_rerouted",
        request=run.admitted.request_id,
        lost=replaced.name,
        chain=format_chain(detour),
        quiet_ms=int((gateway.now() - run.last_delivery_s) * 1000),
        status=answer.status if answer else None,
        faulty=answer.faulty_address if answer else None,
        after_event=run.last_event_id,
    )


async def send_reroute_order(
    gateway: Gateway, run: StreamRun, first_backend: Backend, detour: Chain
) -> RerouteAnswer | None:
    """Send a reroute order.

    Return None if no attempt was answered in time, or one with an invalid response: the
    order may have been followed.
    """
    dialect = gateway.dialect
    body = dialect.encode_reroute_order(
        run.admitted.metadata.request_id, to_dialect_stages(detour)
    )
    for attempt, timeout_s in enumerate(REROUTE_ORDER_TIMEOUTS_S):
        answer = await send_order(
            gateway, first_backend, body, timeout_s, new_connection=attempt > 0
        )
        if answer is not None and answer.ending is not Ending.COMPLETE:
            return None
        if answer is not None:
            return RerouteAnswer(
                answer.status, dialect.read_faulty_address(answer.body)
            )
    return None


__all__ = ["RerouteAnswer", "log_reroute", "send_reroute_order"]

"""Backend servers whose plain service refuses calls for a time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from yuccareach.health.retry_after import parse_retry_after_s
from yuccareach.health.servers import compute_refusal_ms, record_refusal
from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState
    from yuccareach.proto import control_pb2 as cpb

REFUSED_STATUS = 503
# Of a malformed value of a header.
MAX_LOGGED_CHARACTERS = 80


def record_reply(
    state: EntryState, member: cpb.Member, reply: pb.Reply, now: int
) -> list[Any]:
    """Record for how long a service that refused wants no calls.

    The reply still goes to its caller, since the service may have run the call.
    """
    value = next(
        (item.value for item in reply.headers if item.name == "retry-after"), None
    )
    server = state.server_by_name.get(member.backend_server)
    if reply.status != REFUSED_STATUS or value is None or reply.replayed:
        return []
    if server is None or server.member.incarnation != member.incarnation:
        return []
    fields: dict[str, Any] = {"backend_server": member.backend_server}
    retry_after_s = parse_retry_after_s(value)
    if retry_after_s is None:
        fields["value"] = value[:MAX_LOGGED_CHARACTERS]
        return [Log("retry_after_ignored", fields)]
    was_refusing = compute_refusal_ms(server.health, now) > 0
    record_refusal(server.health, now, retry_after_s * 1000)
    if was_refusing or not retry_after_s:
        return []
    fields |= {"address": member.address, "retry_after_s": round(retry_after_s, 3)}
    return [Log("server_refuses", fields)]


def compute_retry_after_s(state: EntryState, service: str, now: int) -> int:
    """Return after how many seconds the first server of a service wants calls again.

    Return 0 if one accepts calls, or if there is none.
    """
    servers = (
        state.server_by_name[name]
        for name in state.server_names_by_service.get(service, ())
    )
    refusals_ms = (
        compute_refusal_ms(server.health, now)
        for server in servers
        if not server.draining
    )
    return math.ceil(min(refusals_ms, default=0) / 1000)


__all__ = ["MAX_LOGGED_CHARACTERS", "compute_retry_after_s", "record_reply"]

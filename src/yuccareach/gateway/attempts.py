"""How many backend servers a request may run on, of those that it has been moved from.

A route allows a number of attempts. A server that a request was moved from may still
run it, unless there is proof that the server has ended. Only the proof makes an attempt
free: neither a silence nor a departure for want of heartbeats does.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccareach.gateway.backends import Backend, Fleet


class LeftServers:
    """The servers that a request was moved from after it may have run there.

    Each end of an attempt adds its first stage, and each reroute the replaced stage.
    """

    def __init__(self) -> None:
        self.backends: list[Backend] = []
        # Those that had ended when the count was last taken. The proof holds for this
        # request even if a later incarnation accepts connections at the address.
        self.ended_incarnations: set[str] = set()


def record_left(left: LeftServers, backend: Backend) -> None:
    """Record that a request is moved from a server, or that its attempt has ended."""
    left.backends.append(backend)


def count_attempts(
    left: LeftServers, fleet: Fleet, leaving: Backend | None = None
) -> int:
    """Return how many attempts count against the route's limit.

    leaving is a server that the request is about to be moved from.
    """
    backends = [*left.backends, leaving] if leaving is not None else left.backends
    left.ended_incarnations |= {
        backend.announcement.incarnation
        for backend in backends
        if fleet.has_ended(backend)
    }
    return sum(
        backend.announcement.incarnation not in left.ended_incarnations
        for backend in backends
    )


def list_open_incarnations(left: LeftServers) -> set[str]:
    """Return the incarnations that have not ended and may still run the request."""
    incarnations = {backend.announcement.incarnation for backend in left.backends}
    return incarnations - left.ended_incarnations


__all__ = ["LeftServers", "count_attempts", "list_open_incarnations", "record_left"]

"""Backend servers as one entry sees them: who they are and how they have behaved."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.http_client import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Iterable

# A backend server that failed is avoided for this long, doubled with each failure.
AVOID_FIRST_S = 1.0
AVOID_MOST_S = 8.0
# One that is full may have room again once a request ends there.
FULL_S = 0.2
# Weight of the newest outcome in the share of failures.
FAILURE_WEIGHT = 0.2


class Announcement(NamedTuple):
    """One incarnation of a backend server, as control knows it."""

    name: str
    incarnation: str
    address: str
    zone: str
    service: str
    kind: str
    first_layer: int
    end_layer: int
    draining: bool


class Backend:
    """One incarnation of a backend server, and what this entry knows of it."""

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.pool = ConnectionPool(announcement.address)
        self.running_requests = 0
        # Streams that begin here and have not had their first event.
        self.starting_streams = 0
        # Tokens that this entry's requests hold here, and those of other entries.
        self.reserved_tokens = 0
        self.reserved_tokens_elsewhere = 0
        # Streams of this entry that begin here, and those of other entries.
        self.first_stage_streams = 0
        self.first_stage_streams_elsewhere = 0
        self.failures_in_row = 0
        self.failure_share = 0.0
        self.avoid_until_s = 0.0
        # While it is taken to have no room, whatever the count of tokens says.
        self.full_until_s = 0.0
        # Set where it was named as the cause of a stall, or is not who it was.
        self.unreachable_until_s = 0.0
        # Whether it took the last connection that was tried.
        self.is_connectable = True
        self.probed_s = -1.0
        # Multiple of its usual times, and when it was last asked for.
        self.pace = 1.0
        self.paced_s = -10.0

    @property
    def name(self) -> str:
        """Its name, which a later incarnation may share."""
        return self.announcement.name

    def record_success(self) -> None:
        """Note that it answered as it should."""
        self.failures_in_row = 0
        self.failure_share *= 1 - FAILURE_WEIGHT

    def record_failure(self, now_s: float) -> None:
        """Note a failure and avoid it for a while, longer each time in a row."""
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        self._avoid(now_s, AVOID_FIRST_S)

    def record_refusal(self, now_s: float) -> None:
        """Note that it took no request, for want of room or because it is going.

        Requests that were sent together are refused together, so that only the time of
        the last refusal counts.
        """
        self.full_until_s = now_s + FULL_S

    def is_full(self, now_s: float) -> bool:
        """Return whether it said lately that it has no room."""
        return now_s < self.full_until_s

    def _avoid(self, now_s: float, first_s: float) -> None:
        avoid_s = min(first_s * 2**self.failures_in_row, AVOID_MOST_S)
        self.failures_in_row += 1
        self.avoid_until_s = max(self.avoid_until_s, now_s + avoid_s)

    def mark_unreachable(self, now_s: float) -> None:
        """Note that it cannot be reached."""
        self.record_failure(now_s)
        self.unreachable_until_s = self.avoid_until_s

    def record_connect_failure(self, now_s: float) -> None:
        """Note that it takes no connections; it gets no requests until it does."""
        self.is_connectable = False
        self.mark_unreachable(now_s)

    def record_connect_success(self) -> None:
        """Note that it takes connections; one that did not has its chance again."""
        if not self.is_connectable:
            self.is_connectable = True
            self.unreachable_until_s = self.avoid_until_s = 0.0

    def is_unreachable(self, now_s: float) -> bool:
        """Return whether it cannot be reached, by this entry or by its neighbours."""
        return not self.is_connectable or now_s < self.unreachable_until_s

    def is_avoided(self, now_s: float) -> bool:
        """Return whether others are to be preferred."""
        due_s = max(self.avoid_until_s, self.full_until_s)
        return not self.is_connectable or now_s < due_s


class Fleet:
    """All backend servers that control has named."""

    def __init__(self) -> None:
        self.backend_by_name: dict[str, Backend] = {}
        self.backend_by_address: dict[str, Backend] = {}
        # Changes whenever a member or its layers do.
        self.version = 0

    def update(
        self, announcements: Iterable[Announcement], departed: Iterable[str]
    ) -> None:
        """Take what control has learned since."""
        for name in departed:
            self._remove(name)
        for item in announcements:
            known = self.backend_by_name.get(item.name)
            if known is not None and known.announcement == item:
                continue
            if known is None or known.announcement.incarnation != item.incarnation:
                self._remove(item.name)
                known = self.backend_by_name[item.name] = Backend(item)
            known.announcement = item
            self.backend_by_address[item.address] = known
            self.version += 1

    def remove_all_except(self, names: set[str]) -> None:
        """Remove all others."""
        for name in set(self.backend_by_name) - names:
            self._remove(name)

    def _remove(self, name: str) -> None:
        known = self.backend_by_name.pop(name, None)
        if known is None:
            return
        self.version += 1
        known.pool.close()
        if self.backend_by_address.get(known.announcement.address) is known:
            del self.backend_by_address[known.announcement.address]

    def update_remote_usage(self, usage_by_server: dict[str, tuple[int, int]]) -> None:
        """Take the tokens and the slots that other entries' requests hold."""
        for name, backend in self.backend_by_name.items():
            tokens, first = usage_by_server.get(name, (0, 0))
            backend.reserved_tokens_elsewhere, backend.first_stage_streams_elsewhere = (
                tokens,
                first,
            )

    def find_by_service(self, service: str) -> list[Backend]:
        """Return the backend servers of a service that take new work."""
        return [
            backend
            for backend in self.backend_by_name.values()
            if backend.announcement.service == service
            and not backend.announcement.draining
        ]

    def find_unconnectable(self) -> list[Backend]:
        """Return the members that take no connections."""
        return [
            backend
            for backend in self.backend_by_name.values()
            if not backend.is_connectable
        ]

    def is_current(self, backend: Backend) -> bool:
        """Return whether this incarnation is still a member."""
        return self.backend_by_name.get(backend.name) is backend

    def list_unreachable_incarnations(self, now_s: float) -> list[str]:
        """Return the incarnations that this entry cannot reach."""
        return [
            backend.announcement.incarnation
            for backend in self.backend_by_name.values()
            if backend.is_unreachable(now_s)
        ]


def choose_backend(
    candidates: list[Backend], zone: str, now_s: float, excluded_incarnations: set[str]
) -> Backend | None:
    """Return the least loaded backend server, one that behaves before one that fails.

    Among equals the entry's own availability zone goes first.
    """

    def _rank(backend: Backend) -> tuple[bool, float, bool]:
        load = (backend.running_requests + 1) / max(0.05, 1 - backend.failure_share)
        return (backend.is_avoided(now_s), load, backend.announcement.zone != zone)

    usable = [
        item
        for item in candidates
        if item.announcement.incarnation not in excluded_incarnations
    ]
    return min(usable, key=_rank, default=None)


__all__ = ["Announcement", "Backend", "Fleet", "choose_backend"]

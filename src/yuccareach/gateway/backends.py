"""The state that one entry keeps of each backend server.

It joins what control announces with what the entry itself has observed: load, failures
and reachability.
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.http_client import ConnectionPool
from yuccareach.health.servers import (
    EndProof,
    ServerHealth,
    Silence,
    accepts_connections,
    accepts_requests,
    find_cutoff_ms,
    has_ended,
    is_on_trial,
    is_presumed_lost,
    record_connection,
    record_end,
    record_silence,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable, Mapping, Set as AbstractSet

# A backend server is avoided for this long after a failure. The time doubles with each
# further failure in a row, up to the maximum.
INITIAL_AVOIDANCE_S = 1.0
MAX_AVOIDANCE_S = 8.0
# A backend server that refused a request is taken to be full for this long: it may have
# free capacity again once a request ends there.
FULL_DURATION_S = 0.2
# Weight of the newest outcome in the failure rate, an exponential moving average.
FAILURE_WEIGHT = 0.2
# Departed incarnations that are kept, since one whose heartbeats were late becomes a
# member again, and may have run its requests meanwhile.
MAX_DEPARTED_BACKENDS = 1_000


class ProbeResult(StrEnum):
    """What a connection attempt shows of a backend server."""

    REACHABLE = "reachable"
    # The machine answers, but nothing listens at the address.
    REFUSED = "refused"
    # Nothing answers: the machine may be cut off.
    SILENT = "silent"
    # This process was itself delayed and may have missed the answer.
    UNKNOWN = "unknown"


class Announcement(NamedTuple):
    """One incarnation of a backend server, as control announces it."""

    name: str
    incarnation: str
    address: str
    zone: str
    service: str
    # Kind of accelerator, as the model profile names it.
    kind: str
    first_layer: int
    end_layer: int
    draining: bool
    # When the process started, by its machine's clock; 0 if unknown.
    started_ms: int = 0


class Backend:
    """One incarnation of a backend server and this entry's observations of it."""

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.pool = ConnectionPool(announcement.address)
        # What this entry knows of the incarnation, and by what proof.
        self.health = ServerHealth()
        # Streams and calls of this entry that run here.
        self.running_requests = 0
        # Streams of this entry that have their first stage here and no event yet.
        self.starting_streams = 0
        # Streams of this entry that try out a suspect prompt part and start here, or
        # calls that were lost with several servers.
        self.suspect_requests = 0
        # Tokens reserved here for requests of this entry, and of other entries.
        self.reserved_tokens = 0
        self.reserved_tokens_elsewhere = 0
        # Streams with their first stage here, of this entry and of other entries.
        self.first_stage_streams = 0
        self.first_stage_streams_elsewhere = 0
        # When this entry last sent a request here.
        self.last_sent_s = -math.inf
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.avoid_until_s = 0.0
        # Until then the server counts as full, whatever the reserved tokens say.
        self.full_until_s = 0.0
        # The last probe, which may still be in progress.
        self.probe: asyncio.Future[ProbeResult] | None = None
        self.last_probe_s = -1.0
        # Whether a request for a report waits for the end of a silence.
        self.is_recontacted = False
        # When this entry last asked whether the server's limit still holds, and the
        # part of the mean interval after which it asks again.
        self.last_limit_recheck_s = -math.inf
        self.recheck_factor = 1.0
        # Multiple of the server's expected times, and when it was last queried.
        self.slowdown = 1.0
        self.last_slowdown_query_s = -10.0

    @property
    def is_later_stage(self) -> bool:
        """Whether the server only gets what earlier stages pass on to it."""
        return self.announcement.first_layer > 0

    @property
    def name(self) -> str:
        """The server's name, which a later incarnation may share."""
        return self.announcement.name

    def record_success(self) -> None:
        """Record a valid answer and end the row of failures."""
        self.consecutive_failures = 0
        self.failure_rate *= 1 - FAILURE_WEIGHT

    def record_failure(self, now_s: float) -> None:
        """Record a failure and avoid the server, longer after each one in a row."""
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)
        self._avoid(now_s, INITIAL_AVOIDANCE_S)

    def record_refusal(self, now_s: float) -> None:
        """Record that the server refused a request, being full or about to leave.

        Requests that were sent together are refused together, so refusals are not
        counted: only the time of the last one matters.
        """
        self.full_until_s = now_s + FULL_DURATION_S

    def is_full(self, now_s: float) -> bool:
        """Return whether the server refused a request recently."""
        return now_s < self.full_until_s

    def _avoid(self, now_s: float, initial_s: float) -> None:
        avoid_s = min(initial_s * 2**self.consecutive_failures, MAX_AVOIDANCE_S)
        self.consecutive_failures += 1
        self.avoid_until_s = max(self.avoid_until_s, now_s + avoid_s)

    @property
    def is_connectable(self) -> bool:
        """Whether the last connection attempt succeeded."""
        return accepts_connections(self.health)

    def record_connect_failure(self, now_s: float, *, refused: bool) -> None:
        """Record that a connection was refused, or was not answered in time."""
        if refused:
            record_end(self.health, EndProof.REFUSED)
        else:
            record_silence(self.health, int(now_s * 1000), Silence.CONNECTION)

    def record_connect_success(self) -> None:
        """Record that the server accepts connections.

        If it did not before, it is no longer avoided.
        """
        if not self.is_connectable:
            self.avoid_until_s = 0.0
        record_connection(self.health)

    def accepts_requests(self, now_s: float) -> bool:
        """Return whether the server may be sent new requests."""
        return accepts_requests(self.health, int(now_s * 1000))

    def is_unreachable(self, now_s: float) -> bool:
        """Return whether others have to stand in for the server."""
        return is_presumed_lost(self.health, int(now_s * 1000))

    def find_cutoff_s(self) -> float:
        """Return from when on the server is presumed to be cut off, or infinity."""
        return find_cutoff_ms(self.health) / 1000

    def is_avoided(self, now_s: float) -> bool:
        """Return whether other servers are to be preferred to this one."""
        until_s = max(self.avoid_until_s, self.full_until_s)
        return (
            has_ended(self.health)
            or bool(self.health.silences)
            or now_s < until_s
            or is_on_trial(self.health, int(now_s * 1000))
        )


class Fleet:
    """All backend servers that control has announced."""

    def __init__(self) -> None:
        self.backend_by_name: dict[str, Backend] = {}
        self.backend_by_address: dict[str, Backend] = {}
        # Servers under which an attempt has failed, perhaps because they crashed.
        self.suspect_by_incarnation: dict[str, Backend] = {}
        # Incremented when a member joins, leaves or is announced with other properties.
        self.version = 0
        # Departed incarnations, which may return, in the order of their departures.
        self.departed_by_incarnation: dict[str, Backend] = {}
        # Tokens and first-stage streams of other entries, also of servers that this
        # entry does not know yet.
        self.remote_usage_by_name: dict[str, tuple[int, int]] = {}

    def update(
        self, announcements: Iterable[Announcement], departed: Iterable[str]
    ) -> None:
        """Apply the changes that control has reported since the last update.

        A server that was restarted, and so has a new incarnation, starts without the
        observations of the earlier one. An incarnation that returns keeps its own.
        """
        for name in departed:
            self._remove(name)
        for announcement in announcements:
            backend = self.backend_by_name.get(announcement.name)
            if backend is not None and backend.announcement == announcement:
                continue
            if (
                backend is None
                or backend.announcement.incarnation != announcement.incarnation
            ):
                self._remove(announcement.name)
                backend = self._add(announcement)
            backend.announcement = announcement
            self.backend_by_address[announcement.address] = backend
            self.version += 1

    def remove_all_except(self, names: set[str]) -> None:
        """Remove the backend servers that are not among the names."""
        for name in set(self.backend_by_name) - names:
            self._remove(name)

    def _add(self, announcement: Announcement) -> Backend:
        former = self.departed_by_incarnation.pop(announcement.incarnation, None)
        backend = Backend(announcement) if former is None else former
        self.backend_by_name[announcement.name] = backend
        return backend

    def _keep_departed(self, backend: Backend) -> None:
        kept = self.departed_by_incarnation
        kept[backend.announcement.incarnation] = backend
        if len(kept) > MAX_DEPARTED_BACKENDS:
            del kept[next(iter(kept))]

    def _remove(self, name: str) -> None:
        backend = self.backend_by_name.pop(name, None)
        if backend is None:
            return
        self.version += 1
        backend.pool.close()
        self._keep_departed(backend)
        if self.backend_by_address.get(backend.announcement.address) is backend:
            del self.backend_by_address[backend.announcement.address]

    def update_remote_usage(
        self,
        usage_by_server: Mapping[str, tuple[int, int]],
        *,
        are_changes: bool = False,
    ) -> None:
        """Set the tokens and first-stage streams of other entries, by server name.

        Servers that are left out have none, or have what they had if these are changes.
        """
        earlier = self.remote_usage_by_name if are_changes else {}
        self.remote_usage_by_name = {**earlier, **usage_by_server}
        for name, backend in self.backend_by_name.items():
            tokens, streams = self.remote_usage_by_name.get(name, (0, 0))
            backend.reserved_tokens_elsewhere, backend.first_stage_streams_elsewhere = (
                tokens,
                streams,
            )

    def find_by_service(self, service: str) -> list[Backend]:
        """Return the backend servers of a service that accept new requests."""
        return [
            backend
            for backend in self.backend_by_name.values()
            if backend.announcement.service == service
            and not backend.announcement.draining
        ]

    def find_unconnectable(self) -> list[Backend]:
        """Return the members whose last connection attempt failed."""
        return [
            backend
            for backend in self.backend_by_name.values()
            if not backend.is_connectable
        ]

    def find_connectable(self, incarnations: AbstractSet[str]) -> list[Backend]:
        """Return the members among some incarnations that have accepted connections."""
        return [
            backend
            for backend in self.backend_by_name.values()
            if backend.announcement.incarnation in incarnations
            and backend.is_connectable
        ]

    def find_unanswering(self) -> list[Backend]:
        """Return the members that leave requests unanswered."""
        return [
            backend
            for backend in self.backend_by_name.values()
            if Silence.ANSWER in backend.health.silences
        ]

    def find_unreachable(self, now_s: float) -> list[Backend]:
        """Return the members that others have to stand in for."""
        return [
            backend
            for backend in self.backend_by_name.values()
            if backend.is_unreachable(now_s)
        ]

    def has_ended(self, backend: Backend) -> bool:
        """Return whether it is shown that an incarnation runs nothing any more."""
        announcement = backend.announcement
        successors = (
            self.backend_by_name.get(announcement.name),
            self.backend_by_address.get(announcement.address),
        )
        if any(
            item is not None and item.announcement.started_ms > announcement.started_ms
            for item in successors
        ):
            record_end(backend.health, EndProof.SUCCEEDED)
        return has_ended(backend.health)

    def is_current(self, backend: Backend) -> bool:
        """Return whether this incarnation is still a member."""
        return self.backend_by_name.get(backend.name) is backend

    def has_restarted(self, backend: Backend) -> bool:
        """Return whether a later incarnation is a member in a server's place."""
        announcement = backend.announcement
        namesake = self.backend_by_name.get(announcement.name)
        if (
            namesake is not None
            and namesake.announcement.incarnation != announcement.incarnation
        ):
            return True
        successor = self.backend_by_address.get(announcement.address)
        return (
            successor is not None
            and successor.announcement.incarnation != announcement.incarnation
            and successor.announcement.service == announcement.service
        )

    def list_unreachable_incarnations(self, now_s: float) -> list[str]:
        """Return the incarnations that others have to stand in for."""
        return [
            backend.announcement.incarnation for backend in self.find_unreachable(now_s)
        ]


def rank_backends(
    candidates: list[Backend],
    zone: str,
    now_s: float,
    excluded_incarnations: set[str],
    *,
    runs_apart: bool = False,
) -> list[Backend]:
    """Return the backend servers that a call may be sent to, the preferred one first.

    Servers that accept no requests now, or that are excluded, are left out. Those that
    are to be avoided come last. Calls that should run apart, and others, do not share a
    server if possible, and two that should run apart never do. Otherwise the least
    loaded server is preferred, with its load weighted by its failure rate, between
    equals one in the entry's zone, and between these the one that has been sent nothing
    for the longest time.
    """

    def _rank(backend: Backend) -> tuple[bool, bool, float, bool, float]:
        others = backend.running_requests if runs_apart else backend.suspect_requests
        load = (backend.running_requests + 1) / max(0.05, 1 - backend.failure_rate)
        is_remote = backend.announcement.zone != zone
        return (
            backend.is_avoided(now_s),
            others > 0,
            load,
            is_remote,
            backend.last_sent_s,
        )

    usable = (
        item
        for item in candidates
        if item.announcement.incarnation not in excluded_incarnations
        and item.accepts_requests(now_s)
        and not (runs_apart and item.suspect_requests)
    )
    return sorted(usable, key=_rank)


def choose_backend(
    candidates: list[Backend], zone: str, now_s: float, excluded_incarnations: set[str]
) -> Backend | None:
    """Return the preferred backend server for a call, or None without a candidate."""
    ranked = rank_backends(candidates, zone, now_s, excluded_incarnations)
    return next(iter(ranked), None)


__all__ = [
    "Announcement",
    "Backend",
    "Fleet",
    "ProbeResult",
    "choose_backend",
    "rank_backends",
]

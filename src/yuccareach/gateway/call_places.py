"""Places of plain calls at backend servers, and waiting for one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.admission import (
    MAX_WAIT_OBJECTIVES,
    Ticket,
    WaitingRequest,
)
from yuccareach.gateway.attempts import list_open_incarnations
from yuccareach.gateway.backends import Backend, choose_backend, rank_backends
from yuccareach.gateway.losses import is_suspect
from yuccareach.gateway.server_limits import (
    Reservation,
    cancel_reservation,
    estimate_interval_s,
    record_miss,
    reserve_requests,
)

if TYPE_CHECKING:
    from yuccareach.gateway.admitted_requests import AdmittedRequest
    from yuccareach.gateway.calls import CallRun
    from yuccareach.gateway.state import Gateway

# Interval between checks for a grant of a call that waits for one. Grants of control
# are handed on as they come.
QUEUE_CHECK_INTERVAL_S = 0.05


class CallPlace(NamedTuple):
    """A backend server for a call, and the grant that the call takes there."""

    backend: Backend
    reservation: Reservation


async def find_place(
    gateway: Gateway, admitted: AdmittedRequest, run: CallRun
) -> CallPlace | None:
    """Return the server for the next attempt with a grant there, or None.

    A call that has left an open attempt may go back there if all others refuse it. If
    only limits of servers stand in the way, or calls from which it should run apart, it
    waits as long as that is of use.
    """
    queue = gateway.get_call_queue(admitted.service.name)
    interval_s = estimate_interval_s(gateway, admitted.service, queue)
    # Those that wait although a server has no limit have tried that server.
    if not interval_s or not queue.waiting_by_number:
        place = _choose_place(gateway, admitted, run)
        if place is not None:
            return place
    if not _has_candidate(gateway, admitted, run):
        return None
    ticket = _build_ticket(admitted, run)
    wait_s = (queue.count_tokens_ahead(ticket) + 1) * interval_s
    if gateway.now() + wait_s >= ticket.wait_deadline_s:
        return None
    if interval_s:
        gateway.registry.count("limited_requests", "waited")
    return await _wait_for_place(gateway, admitted, run, ticket)


def _choose_place(
    gateway: Gateway, admitted: AdmittedRequest, run: CallRun
) -> CallPlace | None:
    """Return the preferred server that has a grant left, and take it."""
    for excluded in _list_exclusions(run):
        ranked = rank_backends(
            gateway.fleet.find_by_service(admitted.service.name),
            gateway.settings.zone,
            gateway.now(),
            excluded,
            runs_apart=is_suspect(gateway, admitted.fingerprint),
        )
        for backend in ranked:
            reservation = reserve_requests(gateway, (backend,))
            if reservation is not None:
                if backend is not ranked[0]:
                    gateway.registry.count("limited_requests", "moved")
                return CallPlace(backend, reservation)
            record_miss(gateway, backend, id(run))
    return None


def _list_exclusions(run: CallRun) -> list[set[str]]:
    """Return the incarnations to leave out at first, and where all others refuse."""
    exclusions = [run.excluded_incarnations]
    if run.has_left_open_attempt:
        open_incarnations = list_open_incarnations(run.left_servers)
        exclusions.append(run.excluded_incarnations - open_incarnations)
    return exclusions


def _has_candidate(gateway: Gateway, admitted: AdmittedRequest, run: CallRun) -> bool:
    """Return whether a server accepts requests, whatever its limit."""
    candidates = gateway.fleet.find_by_service(admitted.service.name)
    return any(
        choose_backend(candidates, gateway.settings.zone, gateway.now(), excluded)
        for excluded in _list_exclusions(run)
    )


def _build_ticket(admitted: AdmittedRequest, run: CallRun) -> Ticket:
    route, workspace = admitted.route, admitted.workspace
    remaining_s = admitted.deadline_s - admitted.request.received_s
    objective_s = min(
        route.objective_ms / 1000, remaining_s / (MAX_WAIT_OBJECTIVES + 1)
    )
    return Ticket(
        number=id(run),
        workspace=workspace.name if workspace else "",
        priority=admitted.priority,
        tokens=1,
        arrived_s=admitted.request.received_s,
        objective_s=objective_s,
        # After that, it can hardly be served in time.
        give_up_s=admitted.deadline_s - objective_s,
    )


async def _wait_for_place(
    gateway: Gateway, admitted: AdmittedRequest, run: CallRun, ticket: Ticket
) -> CallPlace | None:
    """Wait for a server that takes the call; return None if there is none in time."""
    queue = gateway.get_call_queue(admitted.service.name)
    granted: asyncio.Future[CallPlace | None] = (
        asyncio.get_running_loop().create_future()
    )

    def _reserve_place() -> CallPlace | None:
        place = _choose_place(gateway, admitted, run)
        if place is not None:
            queue.record_grant(ticket.workspace, ticket.tokens, gateway.now())
            run.queued_tickets.append(ticket)
        return place

    queue.add(WaitingRequest(ticket, _reserve_place, granted))
    try:
        queue.grant_capacity(gateway.now())
        while not granted.done():
            await asyncio.wait((granted,), timeout=QUEUE_CHECK_INTERVAL_S)
            queue.grant_capacity(gateway.now())
        return granted.result()
    except asyncio.CancelledError:
        if granted.done():
            cancel_place(granted.result())
        raise
    finally:
        queue.remove(ticket)


def cancel_place(place: CallPlace | None) -> None:
    if place is not None:
        cancel_reservation(place.reservation)


__all__ = ["CallPlace", "cancel_place", "find_place"]

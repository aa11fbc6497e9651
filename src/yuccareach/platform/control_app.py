"""HTTP routes of control for the platform's operators and runners.

Operators put and get the routing document, which the wire calls configuration; runners
send heartbeats and report their departure.
"""

from __future__ import annotations

import logging
import zlib
from typing import TYPE_CHECKING, Any

import falcon
import falcon.asgi

from yuccareach.control.departures import commit_withdrawal
from yuccareach.control.errors import ControlUnavailable, RequestRefusedError
from yuccareach.control.raft_types import CommandSubmitted, ReadRequested
from yuccareach.platform.announcements import decode_departure, decode_heartbeat
from yuccareach.platform.documents import decode_document
from yuccareach.platform.errors import InvalidAnnouncement, InvalidDocument
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.health import add_health_routes
from yuccareach.runtime.logs import Log, logger, write_log
from yuccareach.runtime.reducer import wall_clock_ms

if TYPE_CHECKING:
    from yuccareach.control.run import ControlProcess

# What a runner says of itself takes less than a thousand bytes.
MAX_ANNOUNCEMENT_BYTES = 64 << 10
# A routing document for 1,000 routes takes 200 kB, and decoding it five times as much.
MAX_DOCUMENT_BYTES = 4 << 20
_log = logger("platform")


def _note(event: str, level: int = logging.INFO, **fields: Any) -> None:
    write_log(_log, Log(event, fields, level))


async def _dispatch(process: ControlProcess, request: Any, build_event: Any) -> Any:
    """Dispatch an event to the replicated log and return its answer.

    build_event receives the ticket that identifies this caller. Raises the falcon error
    that the caller receives if this instance cannot answer: a redirection to the
    leader, or status 503 if the leader is unknown or another reason prevents an answer.
    """
    try:
        return await process.dispatch_and_wait(build_event)
    except RequestRefusedError as error:
        leader = process.leader_operator_address()
        if leader and str(error) == "not_leader":
            location = f"http://{leader}{request.path}"
            raise falcon.HTTPTemporaryRedirect(location) from error
        raise falcon.HTTPServiceUnavailable(title=str(error)) from error


async def _read_body(request: Any, max_bytes: int) -> bytes | None:
    """Return the body of a request, or None if it exceeds the maximum."""
    body: bytes = await request.stream.read(max_bytes + 1)
    return body if len(body) <= max_bytes else None


def _build_size_error() -> falcon.HTTPContentTooLarge:
    """Return a refusal that closes the connection.

    The rest of the body would be read otherwise.
    """
    return falcon.HTTPContentTooLarge(headers={"Connection": "close"})


async def _read_announcement(request: Any) -> bytes:
    """Return the body of a runner's call.

    Raises falcon.HTTPContentTooLarge if it exceeds MAX_ANNOUNCEMENT_BYTES.
    """
    body = await _read_body(request, MAX_ANNOUNCEMENT_BYTES)
    if body is None:
        _note("announcement_too_large", logging.WARNING, path=request.path[:200])
        raise _build_size_error()
    return body


async def _commit_withdrawal(
    process: ControlProcess, withdrawal: cpb.Withdrawal
) -> None:
    """Commit a runner's departure or drain.

    Raises the falcon error with status 503 if it cannot be acknowledged, so that the
    runner calls another instance.
    """
    try:
        await commit_withdrawal(process, withdrawal)
    except ControlUnavailable as error:
        _note(
            "withdrawal_not_committed",
            logging.WARNING,
            backend_server=withdrawal.backend_server,
            departed=withdrawal.departed,
            reason=str(error),
        )
        raise falcon.HTTPServiceUnavailable(title=str(error)) from error


class _ConfigPut:
    """POST /-/config/put"""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process

    async def on_post(self, request: Any, response: Any) -> None:
        """Put a routing document in force if its version is the highest so far.

        An older or repeated version is acknowledged too; the response contains the
        version in force.
        """
        body = await _read_body(request, MAX_DOCUMENT_BYTES)
        if body is None:
            _note("document_too_large", logging.WARNING)
            raise _build_size_error()
        try:
            table = decode_document(body)
        except InvalidDocument as error:
            _note("document_refused", reason=str(error)[:500])
            raise falcon.HTTPBadRequest(title=str(error)) from error
        document = cpb.RoutingDocument(
            version=table.version, content=zlib.compress(body)
        )
        command = cpb.Command(document=document)
        answer = await _dispatch(
            self.process, request, lambda ticket: CommandSubmitted(ticket, command)
        )
        _note(
            "document_acknowledged",
            version=table.version,
            in_force=answer.document_version,
        )
        response.media = {"version": answer.document_version}


class _ConfigGet:
    """GET /-/config/get"""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any) -> None:
        """Return the routing document in force, read linearizably."""
        await _dispatch(self.process, request, ReadRequested)
        document = self.process.machine.document
        if not document.version:
            raise falcon.HTTPServiceUnavailable(title="no configuration yet")
        response.content_type = "application/json"
        response.data = zlib.decompress(document.content)


class _Heartbeat:
    """POST /-/runners/ID/heartbeat"""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process

    async def on_post(self, request: Any, response: Any, name: str) -> None:
        """Record a runner's heartbeat.

        The first one that reports a drain is acknowledged once the drain is committed.
        """
        try:
            member = decode_heartbeat(
                name, await _read_announcement(request), wall_clock_ms()
            )
        except InvalidAnnouncement as error:
            _note("heartbeat_refused", backend_server=name, reason=str(error)[:200])
            raise falcon.HTTPBadRequest(title=str(error)) from error
        was_ready = self.process.members.is_ready(name, member.started_ms)
        self.process.record_single_heartbeat(member)
        withdrawals = self.process.machine.withdrawals
        is_committed = withdrawals.has_withdrawn(name, member.started_ms)
        if member.draining and (was_ready or not is_committed):
            await _commit_withdrawal(
                self.process,
                cpb.Withdrawal(
                    backend_server=name,
                    started_ms=member.started_ms,
                    sequence=member.sequence,
                ),
            )
        response.media = {}


class _Deregister:
    """POST /-/runners/ID/deregister"""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process

    async def on_post(self, request: Any, response: Any, name: str) -> None:
        """Remove a departing runner from the members, and commit its departure."""
        try:
            started_ms = decode_departure(await _read_announcement(request))
        except InvalidAnnouncement as error:
            _note("departure_refused", backend_server=name, reason=str(error)[:200])
            raise falcon.HTTPBadRequest(title=str(error)) from error
        withdrawal = cpb.Withdrawal(
            backend_server=name,
            started_ms=started_ms or self.process.members.find_started_ms(name),
            departed=True,
        )
        self.process.deregister(name, started_ms)
        await _commit_withdrawal(self.process, withdrawal)
        _note("departed", backend_server=name)
        response.media = {}


def build_control_app(process: ControlProcess) -> Any:
    """Return the ASGI application with the platform's routes and health checks."""
    app = falcon.asgi.App()
    app.add_route("/-/config/put", _ConfigPut(process))
    app.add_route("/-/config/get", _ConfigGet(process))
    app.add_route("/-/runners/{name}/heartbeat", _Heartbeat(process))
    app.add_route("/-/runners/{name}/deregister", _Deregister(process))
    add_health_routes(app)
    return app


__all__ = ["build_control_app"]

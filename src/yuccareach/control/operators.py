"""HTTP interface for operators: settings, history, status, members and snapshots."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, Any

import falcon
import falcon.asgi
import msgspec

from yuccareach import __version__
from yuccareach.control.errors import RequestRefusedError
from yuccareach.control.raft_types import (
    CommandSubmitted,
    PeerPromotionRequested,
    PeerRemovalRequested,
    ReadRequested,
    Role,
)
from yuccareach.control.replication import compact
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.health import Readiness, add_health_routes
from yuccareach.settings.documents import check_document
from yuccareach.settings.errors import InvalidSettings
from yuccareach.settings.store import PLATFORM_TEAM, hash_key

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccareach.control.run import ControlProcess

MAX_SETTINGS_BYTES = 16 << 20


class _TeamForbidden(falcon.HTTPForbidden):  # type: ignore[misc]
    """The operator token is valid, but not for the requested team."""


def _authorize(process: ControlProcess, request: Any, team: str | None) -> None:
    """Raise an HTTP error unless the operator token permits the request.

    A token of the platform permits every request, a team's token only those for the
    settings and history of this team. A team of None stands for a request that
    concerns more than one team.
    """
    header = request.get_header("Authorization") or ""
    digest = hash_key(header.removeprefix("Bearer ").strip())
    if digest == process.options.platform_token_sha256:
        return
    teams = {
        operator["team"]
        for operator in _load_operators(process).values()
        if digest in operator["token_sha256"]
    }
    if not teams:
        raise falcon.HTTPUnauthorized(title="unknown operator token")
    if PLATFORM_TEAM not in teams and team not in teams:
        raise _TeamForbidden(title="this token has no access to this team")


def _load_operators(process: ControlProcess) -> dict[str, Any]:
    platform = process.machine.team_by_name.get(PLATFORM_TEAM)
    if platform is None or platform.removed:
        return {}
    operators: dict[str, Any] = json.loads(platform.document).get("operators", {})
    return operators


async def _dispatch_or_refuse(process: ControlProcess, build_event: Any) -> Any:
    """Dispatch an event to the replicated log and return its answer.

    Raises an HTTP error that names the leader if this instance cannot answer.
    """
    try:
        return await process.dispatch_and_wait(build_event)
    except RequestRefusedError as error:
        raise _build_refusal(process, error) from error


def _build_refusal(
    process: ControlProcess, error: RequestRefusedError
) -> falcon.HTTPError:
    """Build the HTTP error for an event that the log refused.

    Status 421 means that only the leader can answer; the header Leader holds its
    address for operators, or is empty if no leader is known. Status 409 stands for
    every other reason.
    """
    reason = str(error)
    if reason not in ("not_leader", "lost_leadership", "disk_failed"):
        return falcon.HTTPConflict(title=reason)
    leader = next(
        (
            peer.operator_address
            for peer in process.state.membership.peers
            if peer.address == error.leader_address
        ),
        "",
    )
    headers = {"Leader": leader, "Retry-After": "1"}
    return falcon.HTTPError(falcon.HTTP_421, title=reason, headers=headers)


class SettingsResource:
    """The settings of one team, or the revisions of all teams."""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any, team: str = "") -> None:
        """Return settings, after a quorum has confirmed that they are current."""
        _authorize(self.process, request, team or None)
        await _dispatch_or_refuse(self.process, ReadRequested)
        teams = self.process.machine.team_by_name
        if not team:
            response.media = {
                "revision": self.process.machine.revision,
                "teams": {
                    name: item.revision
                    for name, item in sorted(teams.items())
                    if not item.removed
                },
            }
            return
        if team not in teams or teams[team].removed:
            revision = teams[team].revision if team in teams else 0
            response.set_header("ETag", f'"{revision}"')
            raise falcon.HTTPNotFound(
                title=f"team {team} has no settings",
                headers={"ETag": f'"{revision}"'},
            )
        response.set_header("ETag", f'"{teams[team].revision}"')
        response.media = json.loads(teams[team].document)

    async def on_put(self, request: Any, response: Any, team: str) -> None:
        """Replace a team's settings if their revision is still the one in If-Match."""
        _authorize(self.process, request, team)
        if (request.content_length or 0) > MAX_SETTINGS_BYTES:
            limit = f"a team's settings are limited to {MAX_SETTINGS_BYTES} bytes"
            raise falcon.HTTPContentTooLarge(title=limit)
        body = await request.get_media()
        try:
            check_document(body, team)
        except InvalidSettings as error:
            raise falcon.HTTPUnprocessableEntity(
                title="invalid settings", description=str(error)
            ) from error
        change = _parse_change(request, team)
        change.document = msgspec.json.encode(body, order="sorted")
        if request.get_param_as_bool("dry_run"):
            response.media = {"valid": True, "bytes": len(change.document)}
            return
        await self._commit(change, response)

    async def on_delete(self, request: Any, response: Any, team: str) -> None:
        """Remove a team's settings if their revision is still the one in If-Match."""
        _authorize(self.process, request, team)
        change = _parse_change(request, team)
        change.removed = True
        await self._commit(change, response)

    async def _commit(self, change: cpb.SettingsChange, response: Any) -> None:
        command = cpb.Command(settings=change)
        answer = await _dispatch_or_refuse(
            self.process, lambda ticket: CommandSubmitted(ticket, command)
        )
        settings = answer.settings
        response.set_header("ETag", f'"{settings.team_revision}"')
        response.media = {
            "accepted": settings.accepted,
            "revision": settings.revision,
            "team_revision": settings.team_revision,
            "error": settings.error,
            "winner_change_id": settings.winner_change_id,
            "winner_author": settings.winner_author,
        }
        if not settings.accepted:
            conflict = settings.error == "conflict"
            response.status = falcon.HTTP_412 if conflict else falcon.HTTP_409


def _parse_change(request: Any, team: str) -> cpb.SettingsChange:
    """Read the change id, base revision and author from the request's headers.

    Raises an HTTP error if the change id or the base revision is missing.
    """
    change_id = request.get_header("Change-Id")
    base = request.get_header("If-Match")
    if not change_id:
        raise falcon.HTTPBadRequest(title="header Change-Id is missing")
    if base is None or not base.strip('"').isdigit():
        raise falcon.HTTPError(
            falcon.HTTP_428,
            title="header If-Match must hold the revision the change was made from",
        )
    return cpb.SettingsChange(
        change_id=change_id,
        team=team,
        base_revision=int(base.strip('"')),
        author=request.get_header("Author") or "",
    )


class HistoryResource:
    """The history of accepted settings changes."""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any) -> None:
        """Return the retained changes, newest last.

        The documents are included only if the request names a revision.
        """
        team = request.get_param("team") or ""
        _authorize(self.process, request, team or None)
        await _dispatch_or_refuse(self.process, ReadRequested)
        revision = request.get_param_as_int("revision")
        selected = [
            item
            for item in self.process.machine.history
            if team in ("", item.team) and revision in (None, item.revision)
        ]
        response.media = [
            {
                "revision": item.revision,
                "team": item.team,
                "change_id": item.change_id,
                "author": item.author,
                "at_ms": item.at_ms,
                "removed": item.removed,
                "document": (
                    json.loads(item.document or b"{}") if revision is not None else None
                ),
            }
            for item in selected
        ]


class StatusResource:
    """A summary of the control instances and backend servers."""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any) -> None:
        """Return the status as this instance knows it, without a quorum read."""
        _authorize(self.process, request, None)
        response.media = summarize_status(self.process)


def summarize_status(process: ControlProcess) -> dict[str, Any]:
    """Summarize the log, members and settings in force in each availability zone."""
    state = process.state
    watchers = process.list_watch_requests()
    in_force: dict[str, int] = {}
    for watcher in watchers:
        zone = watcher.availability_zone
        in_force[zone] = min(watcher.revision, in_force.get(zone, watcher.revision))
    revision = process.machine.revision
    members = [record.member for record in process.members.record_by_name.values()]
    return {
        "version": __version__,
        "instance": state.identity,
        "role": str(state.role),
        "failure": state.failure,
        "term": state.term,
        "leader": state.leader,
        "commit_index": state.commit_index,
        "last_index": state.last_index,
        "snapshot_index": state.snapshot.last_index,
        "revision": revision,
        "revision_in_force_by_availability_zone": in_force,
        "lagging": sorted(
            watcher.instance for watcher in watchers if watcher.revision < revision
        ),
        "control_instances": [_describe_peer(peer) for peer in state.membership.peers],
        "backend_servers": [_describe_member(member) for member in members],
        "backend_servers_by_availability_zone": dict(
            Counter(member.availability_zone for member in members)
        ),
        "quarantined": len(process.machine.loss_counts.record_by_fingerprint),
    }


def _describe_peer(peer: cpb.Peer) -> dict[str, Any]:
    return {
        "name": peer.name,
        "identity": peer.identity,
        "address": peer.address,
        "operator_address": peer.operator_address,
        "voter": peer.voter,
    }


def _describe_member(member: cpb.Member) -> dict[str, Any]:
    return {
        "name": member.backend_server,
        "incarnation": member.incarnation,
        "address": member.address,
        "availability_zone": member.availability_zone,
        "kind": member.kind,
        "pipeline": member.pipeline,
        "layers": [member.first_layer, member.end_layer],
        "service": member.service,
        "draining": member.draining,
        "running": member.load.running,
        "queued": member.load.queued,
    }


class ControlMembersResource:
    """The control instances that take part in the log."""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any) -> None:
        """Return the control instances that take part in the log."""
        _authorize(self.process, request, None)
        peers = self.process.state.membership.peers
        response.media = [_describe_peer(peer) for peer in peers]

    async def on_delete(self, request: Any, response: Any, name: str) -> None:
        """Remove a control instance from the log's membership."""
        _authorize(self.process, request, None)
        await _dispatch_or_refuse(
            self.process, lambda ticket: PeerRemovalRequested(ticket, name)
        )
        response.media = {"removed": name}

    async def on_post(self, request: Any, response: Any, name: str) -> None:
        """Make a non-voting control instance a voter."""
        _authorize(self.process, request, None)
        await _dispatch_or_refuse(
            self.process, lambda ticket: PeerPromotionRequested(ticket, name)
        )
        response.media = {"promoted": name}


class SnapshotResource:
    """Snapshots of the replicated state."""

    def __init__(self, process: ControlProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any) -> None:
        """Return the current state, confirmed by a quorum, as a backup."""
        _authorize(self.process, request, None)
        await _dispatch_or_refuse(self.process, ReadRequested)
        response.content_type = "application/octet-stream"
        response.data = self.process.machine.dump()

    async def on_post(self, request: Any, response: Any) -> None:
        """Write a snapshot to the disk of this instance at once."""
        _authorize(self.process, request, None)
        self.process.perform(compact(self.process.state, force=True))
        index = self.process.state.snapshot.last_index
        response.media = {"snapshot_index": index}


def _readiness(process: ControlProcess) -> Readiness:
    """Return whether this instance is ready.

    It is ready while it knows a leader and is neither draining nor failed.
    """
    state = process.state
    ready = bool(state.leader) and not process.draining
    return Readiness(ready and state.role is not Role.FAILED, {"role": str(state.role)})


def _gauges(process: ControlProcess) -> Mapping[str, float]:
    state = process.state
    return {
        "control_term": state.term,
        "control_leads": int(state.role is Role.LEADER),
        "control_failed": int(state.role is Role.FAILED),
        "control_commit_index": state.commit_index,
        "settings_revision": process.machine.revision,
        "backend_servers": len(process.members.record_by_name),
        "watchers": len(process.watchers),
        "permits": len(process.machine.permit_by_id),
    }


def build_operator_app(process: ControlProcess) -> Any:
    """Build the HTTP application of a control instance."""
    app = falcon.asgi.App()
    settings = SettingsResource(process)
    app.add_route("/v1/settings", settings)
    app.add_route("/v1/settings/{team}", settings)
    app.add_route("/v1/history", HistoryResource(process))
    app.add_route("/v1/status", StatusResource(process))
    members = ControlMembersResource(process)
    app.add_route("/v1/control/members", members)
    app.add_route("/v1/control/members/{name}", members)
    app.add_route("/v1/control/snapshot", SnapshotResource(process))
    add_health_routes(app, lambda: _readiness(process), lambda: _gauges(process))
    return app


__all__ = ["build_operator_app", "summarize_status"]

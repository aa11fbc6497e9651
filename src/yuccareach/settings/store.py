"""Settings in force: typed, with defaults, looked up by name."""

from __future__ import annotations

import fnmatch
import hashlib
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.proto import data_pb2 as pb

PLATFORM_TEAM = "platform"
DEFAULT_CLASS = "default"


class Pipeline(NamedTuple):
    """A model that runs as a pipeline of layer ranges."""

    name: str
    team: str
    layers: int
    max_tokens: int = 4096
    max_prompt_bytes: int = 262_144


class Route(NamedTuple):
    """One route of a plain service."""

    method: str
    path: str
    idempotent: bool


class PlainService(NamedTuple):
    """A plain service and its routes."""

    name: str
    team: str
    routes: tuple[Route, ...]
    timeout_ms: int = 30_000


class Limits(NamedTuple):
    """Limits of one workspace across all entries."""

    requests_in_flight: int = 256
    tokens_in_flight: int = 1_000_000
    tokens_per_second: float = 100_000.0


class RequestClass(NamedTuple):
    """A class of requests."""

    name: str
    priority: int = 10
    deadline_ms: int = 120_000


class Workspace(NamedTuple):
    """One customer of a team."""

    name: str
    team: str
    key_sha256: tuple[str, ...]
    class_name: str = DEFAULT_CLASS
    weight: float = 1.0
    limits: Limits = Limits()


class TeamSettings(NamedTuple):
    """One team's declarations."""

    pipelines: dict[str, Pipeline]
    services: dict[str, PlainService]
    workspaces: dict[str, Workspace]
    classes: dict[str, RequestClass]
    backend_servers: dict[str, Any]


def hash_key(key: str) -> str:
    """Return the form in which a caller's key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def convert_team(team: str, document: bytes) -> TeamSettings:
    """Convert one team's checked document."""
    raw = msgspec.json.decode(document) if document else {}
    return TeamSettings(
        pipelines={
            name: _pipeline(name, team, item)
            for name, item in raw.get("pipelines", {}).items()
        },
        services={
            name: _service(name, team, item)
            for name, item in raw.get("services", {}).items()
        },
        workspaces={
            f"{team}/{name}": _workspace(f"{team}/{name}", team, item)
            for name, item in raw.get("workspaces", {}).items()
        },
        classes={
            name: RequestClass(name, **item)
            for name, item in raw.get("classes", {}).items()
        },
        backend_servers=raw.get("backend_servers", {}),
    )


def _pipeline(name: str, team: str, item: dict[str, Any]) -> Pipeline:
    fields = {key: value for key, value in item.items() if key != "description"}
    return Pipeline(name, team, **fields)


def _service(name: str, team: str, item: dict[str, Any]) -> PlainService:
    routes = tuple(Route(**route) for route in item["routes"])
    return PlainService(name, team, routes, item.get("timeout_ms", 30_000))


def _workspace(name: str, team: str, item: dict[str, Any]) -> Workspace:
    return Workspace(
        name,
        team,
        tuple(item["key_sha256"]),
        item.get("class", DEFAULT_CLASS),
        float(item.get("weight", 1.0)),
        Limits(**item.get("limits", {})),
    )


class SettingsStore:
    """The settings in force in one process; revisions only go up."""

    def __init__(self) -> None:
        self.revision = 0
        self.document_by_team: dict[str, pb.TeamDocument] = {}
        self.settings_by_team: dict[str, TeamSettings] = {}
        self.workspace_by_key_hash: dict[str, Workspace] = {}
        self.workspace_by_name: dict[str, Workspace] = {}

    def apply(self, push: pb.SettingsPush) -> bool:
        """Apply newer settings; return False for old ones or ones with a gap."""
        if push.revision <= self.revision:
            return False
        if push.after_revision > self.revision:
            return False
        if push.after_revision == 0:
            kept = {item.team for item in push.teams}
            for team in set(self.document_by_team) - kept:
                self._remove(team)
        for item in push.teams:
            self._replace(item)
        self.revision = push.revision
        return True

    def _replace(self, item: pb.TeamDocument) -> None:
        known = self.document_by_team.get(item.team)
        if known is not None and known.revision >= item.revision:
            return
        self._remove(item.team)
        self.document_by_team[item.team] = item
        if item.removed:
            return
        settings = convert_team(item.team, item.document)
        self.settings_by_team[item.team] = settings
        for workspace in settings.workspaces.values():
            self.workspace_by_name[workspace.name] = workspace
            for key_hash in workspace.key_sha256:
                self.workspace_by_key_hash[key_hash] = workspace

    def _remove(self, team: str) -> None:
        self.document_by_team.pop(team, None)
        settings = self.settings_by_team.pop(team, None)
        if settings is None:
            return
        for workspace in settings.workspaces.values():
            self.workspace_by_name.pop(workspace.name, None)
            for key_hash in workspace.key_sha256:
                self.workspace_by_key_hash.pop(key_hash, None)

    def changes_after(self, revision: int) -> Iterable[pb.TeamDocument]:
        """Return the documents newer than a revision."""
        return [
            item for item in self.document_by_team.values() if item.revision > revision
        ]

    def find_pipeline(self, team: str, name: str) -> Pipeline | None:
        """Return a pipeline of a team, or of the platform."""
        return self._find(team, "pipelines", name)

    def find_service(self, team: str, name: str) -> PlainService | None:
        """Return a plain service of a team, or of the platform."""
        return self._find(team, "services", name)

    def find_class(self, workspace: Workspace) -> RequestClass:
        """Return the class of a workspace's requests."""
        found = self._find(workspace.team, "classes", workspace.class_name)
        return found or RequestClass(workspace.class_name)

    def pipelines_of(self, team: str) -> list[Pipeline]:
        """Return every pipeline that a team's workspaces may use."""
        by_name = {
            name: pipeline
            for owner in (PLATFORM_TEAM, team)
            if owner in self.settings_by_team
            for name, pipeline in self.settings_by_team[owner].pipelines.items()
        }
        return list(by_name.values())

    def _find(self, team: str, section: str, name: str) -> Any:
        for owner in (team, PLATFORM_TEAM):
            settings = self.settings_by_team.get(owner)
            if settings is not None:
                found = getattr(settings, section).get(name)
                if found is not None:
                    return found
        return None


def match_route(service: PlainService, method: str, path: str) -> Route | None:
    """Return the first declared route that a call falls under."""
    return next(
        (
            route
            for route in service.routes
            if route.method == method and fnmatch.fnmatchcase(path, route.path)
        ),
        None,
    )


__all__ = [
    "DEFAULT_CLASS",
    "PLATFORM_TEAM",
    "Limits",
    "Pipeline",
    "PlainService",
    "RequestClass",
    "Route",
    "SettingsStore",
    "TeamSettings",
    "Workspace",
    "convert_team",
    "hash_key",
    "match_route",
]

"""Settings in force in a process: typed, with defaults, looked up by name."""

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
    """A class of requests, with its priority and deadline."""

    name: str
    priority: int = 10
    deadline_ms: int = 120_000


class Workspace(NamedTuple):
    """One customer of a team, identified by the keys of its requests."""

    name: str
    team: str
    key_sha256: tuple[str, ...]
    class_name: str = DEFAULT_CLASS
    weight: float = 1.0
    limits: Limits = Limits()


class TeamSettings(NamedTuple):
    """The declarations of one team, by section and name.

    Fields have the names of the document's sections.
    """

    pipelines: dict[str, Pipeline]
    services: dict[str, PlainService]
    workspaces: dict[str, Workspace]
    classes: dict[str, RequestClass]
    backend_servers: dict[str, Any]


def hash_key(key: str) -> str:
    """Return the SHA-256 in hex under which settings declare a caller's key."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse_team_document(team: str, document: bytes) -> TeamSettings:
    """Parse the JSON document of one team, which has been checked before."""
    sections = msgspec.json.decode(document) if document else {}
    return TeamSettings(
        pipelines={
            name: _build_pipeline(name, team, declaration)
            for name, declaration in sections.get("pipelines", {}).items()
        },
        services={
            name: _build_service(name, team, declaration)
            for name, declaration in sections.get("services", {}).items()
        },
        workspaces={
            f"{team}/{name}": _build_workspace(f"{team}/{name}", team, declaration)
            for name, declaration in sections.get("workspaces", {}).items()
        },
        classes={
            name: RequestClass(name, **declaration)
            for name, declaration in sections.get("classes", {}).items()
        },
        backend_servers=sections.get("backend_servers", {}),
    )


def _build_pipeline(name: str, team: str, declaration: dict[str, Any]) -> Pipeline:
    fields = {key: value for key, value in declaration.items() if key != "description"}
    return Pipeline(name, team, **fields)


def _build_service(name: str, team: str, declaration: dict[str, Any]) -> PlainService:
    routes = tuple(Route(**route) for route in declaration["routes"])
    return PlainService(name, team, routes, declaration.get("timeout_ms", 30_000))


def _build_workspace(name: str, team: str, declaration: dict[str, Any]) -> Workspace:
    return Workspace(
        name,
        team,
        tuple(declaration["key_sha256"]),
        declaration.get("class", DEFAULT_CLASS),
        float(declaration.get("weight", 1.0)),
        Limits(**declaration.get("limits", {})),
    )


class SettingsStore:
    """The settings in force in one process; older revisions are never applied."""

    def __init__(self) -> None:
        self.revision = 0
        self.document_by_team: dict[str, pb.TeamDocument] = {}
        self.settings_by_team: dict[str, TeamSettings] = {}
        self.workspace_by_key_hash: dict[str, Workspace] = {}
        self.workspace_by_name: dict[str, Workspace] = {}

    def apply(self, push: pb.SettingsPush) -> bool:
        """Apply a push that is newer than the settings in force.

        Returns False and changes nothing if the push is older, or if it starts after a
        revision that this process does not have yet. A push that starts after revision
        0 is complete: teams that it does not name are removed.
        """
        if push.revision <= self.revision:
            return False
        if push.after_revision > self.revision:
            return False
        if push.after_revision == 0:
            pushed_teams = {team_document.team for team_document in push.teams}
            for team in set(self.document_by_team) - pushed_teams:
                self._remove_team(team)
        for team_document in push.teams:
            self._replace_team(team_document)
        self.revision = push.revision
        return True

    def _replace_team(self, team_document: pb.TeamDocument) -> None:
        current = self.document_by_team.get(team_document.team)
        if current is not None and current.revision >= team_document.revision:
            return
        self._remove_team(team_document.team)
        self.document_by_team[team_document.team] = team_document
        if team_document.removed:
            return
        settings = parse_team_document(team_document.team, team_document.document)
        self.settings_by_team[team_document.team] = settings
        for workspace in settings.workspaces.values():
            self.workspace_by_name[workspace.name] = workspace
            for key_hash in workspace.key_sha256:
                self.workspace_by_key_hash[key_hash] = workspace

    def _remove_team(self, team: str) -> None:
        self.document_by_team.pop(team, None)
        settings = self.settings_by_team.pop(team, None)
        if settings is None:
            return
        for workspace in settings.workspaces.values():
            self.workspace_by_name.pop(workspace.name, None)
            for key_hash in workspace.key_sha256:
                self.workspace_by_key_hash.pop(key_hash, None)

    def list_changes_after(self, revision: int) -> Iterable[pb.TeamDocument]:
        """Return the documents of the teams that changed after a revision."""
        return [
            team_document
            for team_document in self.document_by_team.values()
            if team_document.revision > revision
        ]

    def find_pipeline(self, team: str, name: str) -> Pipeline | None:
        """Return a pipeline of a team, or the platform's of that name."""
        return self._find_declaration(team, "pipelines", name)

    def find_service(self, team: str, name: str) -> PlainService | None:
        """Return a plain service of a team, or the platform's of that name."""
        return self._find_declaration(team, "services", name)

    def find_class(self, workspace: Workspace) -> RequestClass:
        """Return a workspace's request class, with defaults if it is not declared."""
        found = self._find_declaration(workspace.team, "classes", workspace.class_name)
        return found or RequestClass(workspace.class_name)

    def list_pipelines(self, team: str) -> list[Pipeline]:
        """Return the pipelines that a team may use: its own and the platform's.

        Where both declare a name, the team's pipeline is returned.
        """
        pipeline_by_name = {
            name: pipeline
            for owner in (PLATFORM_TEAM, team)
            if owner in self.settings_by_team
            for name, pipeline in self.settings_by_team[owner].pipelines.items()
        }
        return list(pipeline_by_name.values())

    def _find_declaration(self, team: str, section: str, name: str) -> Any:
        """Return a declaration of a team, or the platform's of that name."""
        for owner in (team, PLATFORM_TEAM):
            settings = self.settings_by_team.get(owner)
            if settings is not None:
                found = getattr(settings, section).get(name)
                if found is not None:
                    return found
        return None


def match_route(service: PlainService, method: str, path: str) -> Route | None:
    """Return the first declared route that matches a method and path."""
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
    "hash_key",
    "match_route",
    "parse_team_document",
]

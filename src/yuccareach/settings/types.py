"""Types of the declarations that operators write, with the bounds of each field."""

from __future__ import annotations

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

Count = Annotated[int, Meta(ge=0, le=10**9)]
PositiveInt = Annotated[int, Meta(ge=1, le=10**9)]
PositiveFloat = Annotated[float, Meta(gt=0, le=1e9)]
Sha256 = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class PipelineDeclaration(TypedDict):
    """A model that runs as a pipeline of layer ranges."""

    layers: PositiveInt
    description: NotRequired[str]
    max_tokens: NotRequired[PositiveInt]
    max_prompt_bytes: NotRequired[PositiveInt]


class RouteDeclaration(TypedDict):
    """One route of a plain service; * in the path matches any characters."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: Annotated[str, Meta(pattern="^/")]
    idempotent: bool


class ServiceDeclaration(TypedDict):
    """A plain service and the routes that callers may use."""

    routes: list[RouteDeclaration]
    timeout_ms: NotRequired[PositiveInt]


class LimitsDeclaration(TypedDict):
    """Limits of one workspace across all entries."""

    requests_in_flight: NotRequired[PositiveInt]
    tokens_in_flight: NotRequired[PositiveInt]
    tokens_per_second: NotRequired[PositiveFloat]


# Declared in the functional form because the field "class" is a keyword of Python.
WorkspaceDeclaration = TypedDict(
    "WorkspaceDeclaration",
    {
        "key_sha256": list[Sha256],
        "class": NotRequired[str],
        "weight": NotRequired[PositiveFloat],
        "limits": NotRequired[LimitsDeclaration],
    },
)


class ClassDeclaration(TypedDict):
    """A class of requests; a higher priority is served first."""

    priority: NotRequired[Annotated[int, Meta(ge=0, le=100)]]
    deadline_ms: NotRequired[PositiveInt]


class BackendServerDeclaration(TypedDict):
    """Properties of a backend server that it does not announce itself."""

    checks_fencing: NotRequired[bool]


class OperatorDeclaration(TypedDict):
    """An operator's tokens and the team whose settings they give access to."""

    team: str
    token_sha256: list[Sha256]


SECTIONS: dict[str, type] = {
    "pipelines": PipelineDeclaration,
    "services": ServiceDeclaration,
    "workspaces": WorkspaceDeclaration,
    "classes": ClassDeclaration,
    "backend_servers": BackendServerDeclaration,
    "operators": OperatorDeclaration,
}
NAME_PATTERN = r"[a-z0-9][a-z0-9._-]{0,62}"

__all__ = [
    "NAME_PATTERN",
    "SECTIONS",
    "BackendServerDeclaration",
    "ClassDeclaration",
    "LimitsDeclaration",
    "OperatorDeclaration",
    "PipelineDeclaration",
    "RouteDeclaration",
    "ServiceDeclaration",
    "WorkspaceDeclaration",
]

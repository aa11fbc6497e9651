"""The shapes of declarations, as written by operators."""

from __future__ import annotations

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

Count = Annotated[int, Meta(ge=0, le=10**9)]
Positive = Annotated[int, Meta(ge=1, le=10**9)]
Rate = Annotated[float, Meta(gt=0, le=1e9)]
Sha256 = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class PipelineDeclaration(TypedDict):
    """A model that runs as a pipeline of layer ranges."""

    layers: Positive
    description: NotRequired[str]
    max_tokens: NotRequired[Positive]
    max_prompt_bytes: NotRequired[Positive]


class RouteDeclaration(TypedDict):
    """One route of a plain service; the path may hold * as a wildcard."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: Annotated[str, Meta(pattern="^/")]
    idempotent: bool


class ServiceDeclaration(TypedDict):
    """A plain service and the routes that callers may use."""

    routes: list[RouteDeclaration]
    timeout_ms: NotRequired[Positive]


class LimitsDeclaration(TypedDict):
    """Limits of one workspace across all entries."""

    requests_in_flight: NotRequired[Positive]
    tokens_in_flight: NotRequired[Positive]
    tokens_per_second: NotRequired[Rate]


# "class" is a keyword, so this shape is written in the functional form.
WorkspaceDeclaration = TypedDict(
    "WorkspaceDeclaration",
    {
        "key_sha256": list[Sha256],
        "class": NotRequired[str],
        "weight": NotRequired[Rate],
        "limits": NotRequired[LimitsDeclaration],
    },
)


class ClassDeclaration(TypedDict):
    """A class of requests; a higher priority is served first."""

    priority: NotRequired[Annotated[int, Meta(ge=0, le=100)]]
    deadline_ms: NotRequired[Positive]


class BackendServerDeclaration(TypedDict):
    """What is known of a backend server beyond what it announces."""

    checks_fencing: NotRequired[bool]


class OperatorDeclaration(TypedDict):
    """An operator's token and the team whose subtree it reaches."""

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

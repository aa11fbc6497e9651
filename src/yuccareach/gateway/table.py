"""The routing table: routes, services, workspaces and limits of one version."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RouteKind(StrEnum):
    """What may be done again with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceWeight(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests for one host and path prefix, and how they are served."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    # The first byte, or the first event of a stream, is on time until then.
    objective_ms: int
    # 0 is the most urgent.
    priority: int
    services: tuple[ServiceWeight, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool
    # The longest pause between events of a stream that is on time.
    gap_objective_ms: int

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


class AcceleratorKind(NamedTuple):
    """One kind of accelerator; factors multiply the times of the model."""

    name: str
    memory_mb: float
    decode_factor: float
    prefill_factor: float


class ModelProfile(NamedTuple):
    """The model that a service's backend servers run together."""

    name: str
    layers: int
    layer_mb: float
    # Memory that one token of a request takes in one layer.
    token_layer_mb: float
    step_ms: float
    step_ms_per_request: float
    step_ms_per_kilotoken: float
    prefill_tokens_per_s: float
    slots: int
    load_s: float
    # Loads that the store of weights serves at full speed at the same time.
    max_concurrent_loads: int
    typical_prompt_tokens: int
    typical_answer_tokens: int
    accelerator_by_kind: dict[str, AcceleratorKind]
    # One-way delay, by the pair of availability zones.
    delay_ms_by_zones: dict[frozenset[str], float]
    # What a stage hands on for each token, in one transfer after another between zones.
    activation_bytes: float
    zone_link_mbps: float

    def compute_token_capacity(self, memory_mb: float, layers: int) -> float:
        """Return the tokens of requests that fit beside so many layers."""
        free_mb = memory_mb - layers * self.layer_mb
        return max(0.0, free_mb / (self.token_layer_mb * max(1, layers)))

    def compute_max_layers(self, memory_mb: float, tokens: float) -> int:
        """Return how many layers fit beside requests of so many tokens."""
        return int(memory_mb / (self.layer_mb + tokens * self.token_layer_mb))


class Service(NamedTuple):
    """A kind of backend server that routes lead to."""

    name: str
    max_connections: int
    model: ModelProfile | None


class Limits(NamedTuple):
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Workspace(NamedTuple):
    """A tenant of the system; its priority goes before a route's."""

    name: str
    priority: int | None


class RoutingTable(NamedTuple):
    """Everything that one version of the document declares."""

    version: int
    # By host, routes with the longest prefix first.
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, Service]
    limits: Limits
    workspace_by_key: dict[str, Workspace]
    requires_key: bool

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        return next(
            (
                route
                for route in self.routes_by_host.get(host, ())
                if path.startswith(route.path_prefix)
            ),
            None,
        )


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, those with longer prefixes first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.path_prefix)))
        for host, group in by_host.items()
    }


__all__ = [
    "AcceleratorKind",
    "Limits",
    "ModelProfile",
    "Route",
    "RouteKind",
    "RoutingTable",
    "Service",
    "ServiceWeight",
    "Workspace",
    "index_routes",
]

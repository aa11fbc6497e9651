"""The routing table: routes, services, workspaces and limits of one version."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RouteKind(StrEnum):
    """How requests of a route are served, and whether they may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceWeight(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for one host and path prefix are served."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    # Latency objective of the first byte, or of the first event of a stream.
    objective_ms: int
    # Lower numbers are more urgent, from 0 on.
    priority: int
    services: tuple[ServiceWeight, ...]
    max_attempts: int
    # Whether requests need no key.
    is_public: bool
    # Whether an interrupted stream may be resumed on other backend servers.
    is_resumable: bool
    # Objective for the pause between two events of a stream.
    gap_objective_ms: int

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


class AcceleratorKind(NamedTuple):
    """One kind of accelerator; its factors multiply the times of the model profile."""

    name: str
    memory_mb: float
    decode_factor: float
    prefill_factor: float


class ModelProfile(NamedTuple):
    """Size and timing of the model that a service's backend servers run in chains."""

    name: str
    layers: int
    layer_mb: float
    # Memory that one token of a request takes in each layer.
    token_layer_mb: float
    # Time of a decoding step through all layers, and what each request in its batch and
    # each 1,000 tokens of context add to it.
    step_ms: float
    step_ms_per_request: float
    step_ms_per_kilotoken: float
    prefill_tokens_per_s: float
    # Requests that a first stage runs at the same time.
    slots: int
    # Time to load the weights of all layers.
    load_s: float
    # Loads that the weight store serves at full speed at the same time.
    max_concurrent_loads: int
    typical_prompt_tokens: int
    typical_answer_tokens: int
    accelerator_by_kind: dict[str, AcceleratorKind]
    # One-way network delay between two availability zones.
    delay_ms_by_zones: dict[frozenset[str], float]
    # Bytes that a stage forwards per token. Transfers between two zones share one link,
    # which carries one transfer after the other.
    activation_bytes: float
    zone_link_mbps: float

    def compute_token_capacity(self, memory_mb: float, layers: int) -> float:
        """Return how many tokens of requests fit into memory beside so many layers."""
        free_mb = memory_mb - layers * self.layer_mb
        return max(0.0, free_mb / (self.token_layer_mb * max(1, layers)))

    def compute_max_layers(self, memory_mb: float, tokens: float) -> int:
        """Return how many layers fit into memory beside requests of so many tokens."""
        return int(memory_mb / (self.layer_mb + tokens * self.token_layer_mb))


class Service(NamedTuple):
    """A group of backend servers that serve the same requests."""

    name: str
    max_connections: int
    model: ModelProfile | None


class Limits(NamedTuple):
    """Limits on the size and the timing of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    # From the first byte of a request to its last, body included.
    header_timeout_ms: int = 3_000
    # While a connection waits for a request.
    idle_timeout_ms: int = 15_000


class Workspace(NamedTuple):
    """A tenant of the system; its priority, if set, goes before that of a route."""

    name: str
    priority: int | None


class RoutingTable(NamedTuple):
    """Everything that one version of the routing document declares."""

    version: int
    # Routes of each host, those with the longest prefix first.
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, Service]
    limits: Limits
    workspace_by_key: dict[str, Workspace]
    # All that are declared, those without a key too.
    workspaces: tuple[Workspace, ...]
    # Whether requests need a key, except on public routes.
    requires_key: bool

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path."""
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

"""Decoding of the operator's routing document into the routing table.

Fields carry the platform's names; a comment says what a field holds if its name
misleads.
"""

from __future__ import annotations

import msgspec

from yuccareach.gateway.table import (
    AcceleratorKind,
    Limits,
    ModelProfile,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceWeight,
    Workspace,
    index_routes,
)
from yuccareach.platform.errors import InvalidDocument

_ROUTE_KIND_BY_WIRE_NAME = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}

# The document's terms for names of the routing table. Some are a part of what the
# document holds, or derived from it, and say so.
_TERM_BY_NAME = {
    **{kind.value: wire_name for wire_name, kind in _ROUTE_KIND_BY_WIRE_NAME.items()},
    "workspace": "tenant",
    "path_prefix": "pathPrefix",
    "timeout_ms": "timeoutMs",
    "objective_ms": "targetLatencyMs",
    "services": "trafficSplit",
    "max_attempts": "maxAttempts",
    "is_public": "skipAuth",
    "is_resumable": "streamResume",
    "gap_objective_ms": "targetGapMs",
    "max_connections": "maxConnections",
    "max_header_bytes": "maxHeaderBytes",
    "max_body_bytes": "maxBodyBytes",
    "header_timeout_ms": "headerTimeoutMs",
    "idle_timeout_ms": "idleTimeoutMs",
    "model": "engine",
    "layer_mb": "layerMb",
    "token_layer_mb": "kvTokenBytes per layer in MB",
    "step_ms_per_request": "per_seq_ms",
    "step_ms_per_kilotoken": "context_per_k",
    "prefill_tokens_per_s": "read_per_s",
    "load_s": "loadS",
    "max_concurrent_loads": "loads_at_once",
    "typical_prompt_tokens": "usual.prompt",
    "typical_answer_tokens": "usual.answer",
    "accelerator_by_kind": "kinds",
    "memory_mb": "sizeMb",
    "decode_factor": "pace",
    "prefill_factor": "readFactor",
    "delay_ms_by_zones": "delays",
    "activation_bytes": "activationBytes",
    "zone_link_mbps": "pipeMbps",
}


class _TrafficShare(msgspec.Struct):
    service: str
    # Relative to the sum of the route's weights.
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str
    # "safe" (idempotent), "unsafe" (not idempotent) or "stream".
    kind: str = "safe"
    timeoutMs: int = 30_000
    # Until the first byte of an answer, or the first event of a stream.
    targetLatencyMs: int = 1_000
    # 0 is the most urgent.
    priority: int = 1
    # Used only if trafficSplit is missing or empty.
    service: str | None = None
    trafficSplit: list[_TrafficShare] | None = None
    maxAttempts: int = 1
    # Requests need no API key.
    skipAuth: bool = False
    # An interrupted stream may be resumed by another attempt.
    streamResume: bool = False
    # Longest pause between two events of a stream that is on time.
    targetGapMs: int = 0


class _ModelEntry(msgspec.Struct):
    name: str
    # Time to load all layers, in seconds.
    loadS: float = 0.0


class _TypicalTokens(msgspec.Struct):
    prompt: int = 0
    answer: int = 0


class _ZoneDelay(msgspec.Struct):
    # A zone. In orders and heartbeats, `from` is a layer.
    origin: str = msgspec.field(name="from")
    target: str
    # One way.
    delay_ms: float


class _AcceleratorKind(msgspec.Struct):
    name: str
    # Accelerator memory.
    sizeMb: float
    # Multiplies the decode times step_ms, per_seq_ms and context_per_k. In a runner's
    # report, `pace` is a slowdown: a multiple of the runner's typical times.
    pace: float
    # Multiplies the prefill time.
    readFactor: float


class _Engine(msgspec.Struct):
    # Maximum number of requests in one batch of a runner.
    slots: int
    # Memory that one token of a request takes in all layers together.
    kvTokenBytes: float
    # Only the first model is used.
    models: list[_ModelEntry]
    # Decode time of one step, and its increase per request of the batch and per
    # thousand tokens of context.
    step_ms: float
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    # Prompt tokens that prefill processes per second.
    read_per_s: float = 1.0
    # Loads that the weight storage serves at full speed at the same time.
    loads_at_once: int = 1
    # Typical tokens of a request.
    usual: _TypicalTokens = msgspec.field(default_factory=_TypicalTokens)
    # 0 for a plain service, which has no model.
    layers: int = 0
    layerMb: float = 0.0
    # What a stage forwards to the next one for each token.
    activationBytes: float = 0.0
    # Bandwidth of the link between two zones, in megabits per second.
    pipeMbps: float = 0.0
    delays: list[_ZoneDelay] = []
    kinds: list[_AcceleratorKind] = []


class _Service(msgspec.Struct):
    name: str
    maxConnections: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    maxHeaderBytes: int = 16_384
    maxBodyBytes: int = 4 << 20
    headerTimeoutMs: int = 3_000
    idleTimeoutMs: int = 15_000


class _Tenant(msgspec.Struct):
    """A workspace, in the platform's terms."""

    name: str
    apiKeys: list[str] = []
    # Goes before the priority of the route, which decides among equal ones.
    priority: int | None = None


class Document(msgspec.Struct):
    """The routing document as the operator writes it."""

    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Without this field, no request needs an API key.
    tenants: list[_Tenant] | None = None


# Lists whose items the check command checks one by one, to find the errors of all.
DOCUMENT_ITEM_TYPES = {"routes": _Route, "services": _Service, "tenants": _Tenant}


def decode_document(content: bytes) -> RoutingTable:
    """Check a routing document and return its routing table.

    Raises InvalidDocument, whose text lists all errors if the document has the right
    types, and the first error otherwise.
    """
    try:
        document = msgspec.json.decode(content, type=Document)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidDocument(f"cannot be decoded: {error}") from error
    errors = find_document_errors(document)
    if errors:
        raise InvalidDocument("; ".join(errors))
    return convert_document(document)


def convert_document(document: Document) -> RoutingTable:
    """Return the routing table of a document without errors."""
    tenants = document.tenants or []
    return RoutingTable(
        version=document.version,
        routes_by_host=index_routes(
            [_convert_route(route) for route in document.routes]
        ),
        service_by_name={
            item.name: _convert_service(item) for item in document.services
        },
        # Both types have the same fields in the same order.
        limits=Limits(*msgspec.structs.astuple(document.limits)),
        workspace_by_key={
            key: Workspace(tenant.name, tenant.priority)
            for tenant in tenants
            for key in tenant.apiKeys
        },
        workspaces=tuple(Workspace(tenant.name, tenant.priority) for tenant in tenants),
        requires_key=document.tenants is not None,
    )


def get_term(name: str) -> str:
    """Return the document's term for a name of the routing table."""
    return _TERM_BY_NAME.get(name, name)


def find_document_errors(document: Document) -> list[str]:
    """Return every invalid value of a document whose fields have the right types."""
    service_names = {service.name for service in document.services}
    errors = []
    used_prefixes: set[tuple[str, str]] = set()
    for route in document.routes:
        label = f"route {route.name}"
        prefix = (route.host.lower(), route.pathPrefix)
        if prefix in used_prefixes:
            errors.append(f"{label}: another route has the same host and prefix")
        used_prefixes.add(prefix)
        errors += [
            f"{label}: {problem}"
            for problem in _find_route_errors(route, service_names)
        ]
    owner_by_key: dict[str, str] = {}
    for tenant in document.tenants or []:
        for key in tenant.apiKeys:
            if owner_by_key.setdefault(key, tenant.name) != tenant.name:
                errors.append(f"tenant {tenant.name}: shares a key with another tenant")
    return errors


def _find_route_errors(route: _Route, service_names: set[str]) -> list[str]:
    shares = _list_traffic_shares(route)
    errors = [
        f"unknown service {share.service}"
        for share in shares
        if share.service not in service_names
    ]
    if not shares or sum(share.weight for share in shares) <= 0:
        errors.append("no service, or weights that do not add up to more than 0")
    if any(share.weight < 0 for share in shares):
        errors.append("trafficSplit has a negative weight, expected 0 or more")
    if route.timeoutMs <= 0:
        errors.append("timeoutMs is 0 or negative, expected at least 1")
    if route.kind not in _ROUTE_KIND_BY_WIRE_NAME:
        errors.append(f"unknown kind {route.kind}, expected safe, unsafe or stream")
    return errors


def _list_traffic_shares(route: _Route) -> list[_TrafficShare]:
    if route.trafficSplit:
        return route.trafficSplit
    return [_TrafficShare(route.service, 1.0)] if route.service else []


def _convert_route(route: _Route) -> Route:
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.pathPrefix,
        kind=_ROUTE_KIND_BY_WIRE_NAME[route.kind],
        timeout_ms=route.timeoutMs,
        objective_ms=route.targetLatencyMs,
        priority=route.priority,
        services=tuple(
            ServiceWeight(share.service, share.weight)
            for share in _list_traffic_shares(route)
        ),
        max_attempts=max(1, route.maxAttempts),
        is_public=route.skipAuth,
        is_resumable=route.streamResume,
        gap_objective_ms=route.targetGapMs,
    )


def _convert_service(service: _Service) -> Service:
    engine = service.engine
    model = _convert_engine(engine) if engine is not None and engine.layers else None
    return Service(service.name, service.maxConnections, model)


def _convert_engine(engine: _Engine) -> ModelProfile:
    return ModelProfile(
        name=engine.models[0].name if engine.models else "",
        layers=engine.layers,
        layer_mb=engine.layerMb,
        token_layer_mb=engine.kvTokenBytes / engine.layers / 1e6,
        step_ms=engine.step_ms,
        step_ms_per_request=engine.per_seq_ms,
        step_ms_per_kilotoken=engine.context_per_k,
        prefill_tokens_per_s=engine.read_per_s,
        slots=engine.slots,
        load_s=engine.models[0].loadS if engine.models else 0.0,
        max_concurrent_loads=max(1, engine.loads_at_once),
        typical_prompt_tokens=engine.usual.prompt,
        typical_answer_tokens=engine.usual.answer,
        accelerator_by_kind={
            kind.name: AcceleratorKind(
                kind.name, kind.sizeMb, kind.pace, kind.readFactor
            )
            for kind in engine.kinds
        },
        delay_ms_by_zones={
            frozenset((delay.origin, delay.target)): delay.delay_ms
            for delay in engine.delays
        },
        activation_bytes=engine.activationBytes,
        zone_link_mbps=engine.pipeMbps,
    )


__all__ = [
    "DOCUMENT_ITEM_TYPES",
    "Document",
    "convert_document",
    "decode_document",
    "find_document_errors",
    "get_term",
]

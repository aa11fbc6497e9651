"""The operator's configuration, decoded into the product's routing table."""

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

_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str
    kind: str = "safe"
    timeoutMs: int = 30_000
    targetLatencyMs: int = 1_000
    priority: int = 1
    service: str | None = None
    trafficSplit: list[_Split] | None = None
    maxAttempts: int = 1
    skipAuth: bool = False
    streamResume: bool = False
    targetGapMs: int = 0


class _ModelEntry(msgspec.Struct):
    name: str
    loadS: float = 0.0


class _Usual(msgspec.Struct):
    prompt: int = 0
    answer: int = 0


class _Delay(msgspec.Struct):
    # 'from' is a zone here, a layer in orders and reports.
    origin: str = msgspec.field(name="from")
    target: str
    delay_ms: float


class _Kind(msgspec.Struct):
    name: str
    sizeMb: float
    # Multiplies the times of steps and context; a report's pace tells slowness.
    pace: float
    readFactor: float


class _Engine(msgspec.Struct):
    slots: int
    kvTokenBytes: float
    models: list[_ModelEntry]
    step_ms: float
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 1.0
    loads_at_once: int = 1
    usual: _Usual = msgspec.field(default_factory=_Usual)
    layers: int = 0
    layerMb: float = 0.0
    activationBytes: float = 0.0
    pipeMbps: float = 0.0
    delays: list[_Delay] = []
    kinds: list[_Kind] = []


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
    name: str
    apiKeys: list[str] = []
    priority: int | None = None


class Document(msgspec.Struct):
    """The configuration as the operator writes it."""

    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


# Lists whose entries are checked one by one, so that every fault is found.
DOCUMENT_PARTS = {"routes": _Route, "services": _Service, "tenants": _Tenant}


def decode_document(content: bytes) -> RoutingTable:
    """Check a configuration and return its routing table, or raise InvalidDocument."""
    try:
        document = msgspec.json.decode(content, type=Document)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidDocument(f"unreadable: {error}") from error
    faults = find_faults(document)
    if faults:
        raise InvalidDocument("; ".join(faults))
    tenants = document.tenants or []
    return RoutingTable(
        version=document.version,
        routes_by_host=index_routes([_route(route) for route in document.routes]),
        service_by_name={item.name: _service(item) for item in document.services},
        limits=Limits(*msgspec.structs.astuple(document.limits)),
        workspace_by_key={
            key: Workspace(tenant.name, tenant.priority)
            for tenant in tenants
            for key in tenant.apiKeys
        },
        requires_key=document.tenants is not None,
    )


def find_faults(document: Document) -> list[str]:
    """Return every reason for which a readable configuration is invalid."""
    names = {service.name for service in document.services}
    faults = []
    places: set[tuple[str, str]] = set()
    for route in document.routes:
        where = f"route {route.name}"
        place = (route.host.lower(), route.pathPrefix)
        if place in places:
            faults.append(f"{where}: another route has its host and prefix")
        places.add(place)
        faults += [f"{where}: {fault}" for fault in _route_faults(route, names)]
    owner_by_key: dict[str, str] = {}
    for tenant in document.tenants or []:
        for key in tenant.apiKeys:
            if owner_by_key.setdefault(key, tenant.name) != tenant.name:
                faults.append(f"tenant {tenant.name}: shares a key with another")
    return faults


def _route_faults(route: _Route, services: set[str]) -> list[str]:
    split = _split(route)
    faults = [
        f"unknown service {part.service}"
        for part in split
        if part.service not in services
    ]
    if not split or sum(part.weight for part in split) <= 0:
        faults.append("weights add up to 0")
    if any(part.weight < 0 for part in split):
        faults.append("a weight is negative")
    if route.timeoutMs <= 0:
        faults.append("timeoutMs is 0")
    if route.kind not in _KINDS:
        faults.append(f"unknown kind {route.kind}")
    return faults


def _split(route: _Route) -> list[_Split]:
    if route.trafficSplit:
        return route.trafficSplit
    return [_Split(route.service, 1.0)] if route.service else []


def _route(route: _Route) -> Route:
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.pathPrefix,
        kind=_KINDS[route.kind],
        timeout_ms=route.timeoutMs,
        objective_ms=route.targetLatencyMs,
        priority=route.priority,
        services=tuple(
            ServiceWeight(part.service, part.weight) for part in _split(route)
        ),
        max_attempts=max(1, route.maxAttempts),
        is_public=route.skipAuth,
        is_resumable=route.streamResume,
        gap_objective_ms=route.targetGapMs,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    model = _model(engine) if engine is not None and engine.layers else None
    return Service(service.name, service.maxConnections, model)


def _model(engine: _Engine) -> ModelProfile:
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


__all__ = ["DOCUMENT_PARTS", "Document", "decode_document", "find_faults"]

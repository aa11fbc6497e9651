"""HTTP routes for health, readiness and metrics, the same in every role."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import falcon

from yuccareach.metrics.exposition import format_metrics
from yuccareach.metrics.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Readiness(NamedTuple):
    """Whether a process accepts new work, and details for the answer of /readyz."""

    ready: bool
    details: dict[str, Any]


class _HealthResource:
    """Answers the probes of the platform and the scrapes of its monitoring."""

    def __init__(
        self,
        get_readiness: Callable[[], Readiness],
        get_gauges: Callable[[], Mapping[str, float]],
        get_registry: Callable[[], Registry],
    ) -> None:
        self.get_readiness = get_readiness
        self.get_gauges = get_gauges
        self.get_registry = get_registry

    async def on_get(self, request: Any, response: Any) -> None:
        """Answer that the process is alive."""
        response.media = {"alive": True}

    async def on_get_ready(self, request: Any, response: Any) -> None:
        """Answer whether the process accepts new work."""
        readiness = self.get_readiness()
        response.status = falcon.HTTP_200 if readiness.ready else falcon.HTTP_503
        response.media = {"ready": readiness.ready, **readiness.details}

    async def on_get_metrics(self, request: Any, response: Any) -> None:
        """Return metrics in the Prometheus text format."""
        response.content_type = METRICS_CONTENT_TYPE
        response.data = format_metrics(self.get_registry(), self.get_gauges)


def add_health_routes(
    app: Any,
    get_readiness: Callable[[], Readiness] = lambda: Readiness(True, {}),
    get_gauges: Callable[[], Mapping[str, float]] = dict,
    get_registry: Callable[[], Registry] = Registry,
) -> None:
    """Add /healthz, /readyz and /metrics to a role's HTTP application."""
    health = _HealthResource(get_readiness, get_gauges, get_registry)
    app.add_route("/healthz", health)
    app.add_route("/readyz", health, suffix="ready")
    app.add_route("/metrics", health, suffix="metrics")


__all__ = ["Readiness", "add_health_routes"]

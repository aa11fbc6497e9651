"""Health, readiness and metrics, the same in every role."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import falcon

from yuccareach.metrics.exposition import format_metrics
from yuccareach.metrics.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Readiness(NamedTuple):
    """Whether a process takes work, and what it says of itself."""

    ready: bool
    details: dict[str, Any]


class _Health:
    """What the platform and its monitoring ask of a process."""

    def __init__(
        self,
        readiness: Callable[[], Readiness],
        gauges: Callable[[], Mapping[str, float]],
        registry: Callable[[], Registry],
    ) -> None:
        self.readiness = readiness
        self.gauges = gauges
        self.registry = registry

    async def on_get(self, request: Any, response: Any) -> None:
        """Answer that the process lives."""
        response.media = {"alive": True}

    async def on_get_ready(self, request: Any, response: Any) -> None:
        """Answer whether the process takes new work."""
        readiness = self.readiness()
        response.status = falcon.HTTP_200 if readiness.ready else falcon.HTTP_503
        response.media = {"ready": readiness.ready, **readiness.details}

    async def on_get_metrics(self, request: Any, response: Any) -> None:
        """Return Prometheus metrics."""
        response.content_type = METRICS_TYPE
        response.data = format_metrics(self.registry(), self.gauges)


def add_health_routes(
    app: Any,
    readiness: Callable[[], Readiness] = lambda: Readiness(True, {}),
    gauges: Callable[[], Mapping[str, float]] = dict,
    registry: Callable[[], Registry] = Registry,
) -> None:
    """Add /healthz, /readyz and /metrics to a role's HTTP application."""
    health = _Health(readiness, gauges, registry)
    app.add_route("/healthz", health)
    app.add_route("/readyz", health, suffix="ready")
    app.add_route("/metrics", health, suffix="metrics")


__all__ = ["Readiness", "add_health_routes"]

"""Health and metrics of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import falcon
import falcon.asgi

from yuccareach.agent.events import DrainAsked
from yuccareach.metrics.exposition import expose
from yuccareach.metrics.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccareach.agent.run import AgentProcess


class Platform:
    """Health, readiness, metrics and drain."""

    def __init__(self, process: AgentProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any) -> None:
        """Answer that the process lives."""
        response.media = {"alive": True}

    async def on_get_ready(self, request: Any, response: Any) -> None:
        """Answer whether this backend server takes new work."""
        state = self.process.state
        ready = state.engine_ready and not state.draining
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        response.media = {"ready": ready, "draining": state.draining}

    async def on_post_drain(self, request: Any, response: Any) -> None:
        """Stop taking new work; the process goes on until it is stopped."""
        self.process.dispatch(DrainAsked())
        response.media = {"draining": True}

    async def on_get_metrics(self, request: Any, response: Any) -> None:
        """Return Prometheus metrics."""
        registry = Registry()
        for name, value in vars(self.process.state.counters).items():
            registry.count(f"agent_{name}", "total", value)
        response.content_type = "text/plain; version=0.0.4; charset=utf-8"
        response.data = expose(registry, self._gauges)

    def _gauges(self) -> Mapping[str, float]:
        state = self.process.state
        return {
            "attempts": len(state.attempt_by_request),
            "calls": len(state.call_by_id),
            "retained_bytes": state.retained_bytes,
            "settings_revision": state.settings.revision,
            "draining": int(state.draining),
        }


def agent_app(process: AgentProcess) -> Any:
    """Build the HTTP application of an agent."""
    app = falcon.asgi.App()
    platform = Platform(process)
    app.add_route("/healthz", platform)
    app.add_route("/readyz", platform, suffix="ready")
    app.add_route("/metrics", platform, suffix="metrics")
    app.add_route("/drain", platform, suffix="drain")
    return app


__all__ = ["agent_app"]

"""HTTP application of an agent: health, metrics and drain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import falcon.asgi

from yuccareach.agent.events import DrainRequested
from yuccareach.metrics.registry import Registry
from yuccareach.runtime.health import Readiness, add_health_routes

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccareach.agent.run import AgentProcess
    from yuccareach.agent.state import AgentState


class DrainResource:
    """Starts a drain over HTTP; unlike a signal, it does not stop the process."""

    def __init__(self, process: AgentProcess) -> None:
        self.process = process

    async def on_post(self, request: Any, response: Any) -> None:
        """Refuse new work from now on; the process runs until it is stopped."""
        self.process.dispatch(DrainRequested())
        response.media = {"draining": True}


def _get_readiness(state: AgentState) -> Readiness:
    ready = state.engine_ready and not state.draining
    return Readiness(ready, {"draining": state.draining})


def _get_gauges(state: AgentState) -> Mapping[str, float]:
    return {
        "attempts": len(state.attempt_by_request),
        "calls": len(state.call_by_id),
        "retained_bytes": state.retained_bytes,
        "settings_revision": state.settings.revision,
        "draining": int(state.draining),
    }


def _build_registry(state: AgentState) -> Registry:
    registry = Registry()
    for name, value in vars(state.counters).items():
        registry.count(f"agent_{name}", "total", value)
    return registry


def build_agent_app(process: AgentProcess) -> Any:
    """Build the HTTP application of an agent."""
    app = falcon.asgi.App()
    state = process.state
    add_health_routes(
        app,
        lambda: _get_readiness(state),
        lambda: _get_gauges(state),
        lambda: _build_registry(state),
    )
    app.add_route("/drain", DrainResource(process))
    return app


__all__ = ["build_agent_app"]

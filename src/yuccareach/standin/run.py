"""The processes of the stand-in engine and the stand-in service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import falcon
import falcon.asgi

from yuccareach.proto.engine_pb2_grpc import add_EngineServicer_to_server
from yuccareach.runtime.health import add_health_routes
from yuccareach.runtime.http import HttpServer
from yuccareach.runtime.logs import logger
from yuccareach.runtime.rpc import listen
from yuccareach.standin.engine import StandinEngine
from yuccareach.standin.service import Ledger, build_service_app

if TYPE_CHECKING:
    from yuccareach.standin.engine import EngineOptions

_log = logger("standin")


class _EngineAdminResource:
    """HTTP resources through which tests inspect and control the engine."""

    def __init__(self, engine: StandinEngine) -> None:
        self.engine = engine

    async def on_get(self, request: Any, response: Any) -> None:
        """Return the totals of executed positions."""
        response.media = self.engine.executions.summarize()

    async def on_post_stuck(self, request: Any, response: Any) -> None:
        """Stop running batches with ?stuck=true, or resume with ?stuck=false."""
        self.engine.stuck = bool(request.get_param_as_bool("stuck", default=True))
        self.engine.work_available.set()
        response.media = {"stuck": self.engine.stuck}


class EngineProcess:
    """The process of a stand-in engine."""

    def __init__(
        self, options: EngineOptions, host: str, port: int, admin_port: int
    ) -> None:
        self.options = options
        self.host = host
        self.port = port
        self.admin_port = admin_port

    async def start(self) -> None:
        """Listen for the agent over gRPC and for admin requests over HTTP."""
        self.engine = StandinEngine(self.options)
        self.server, self.address = listen(self.host, self.port)
        add_EngineServicer_to_server(self.engine, self.server)
        await self.server.start()
        app = falcon.asgi.App()
        admin = _EngineAdminResource(self.engine)
        add_health_routes(app)
        app.add_route("/executions", admin)
        app.add_route("/stuck", admin, suffix="stuck")
        self.http = HttpServer(app, self.host, self.admin_port)
        await self.http.start()
        self.engine.start()
        extra = {"address": self.address, "admin": self.http.address}
        _log.info("started", extra=extra)

    async def drain(self) -> None:
        """Return at once, because the agent drains before its engine."""

    async def stop(self) -> None:
        """Stop running batches and close both servers."""
        await self.engine.stop()
        await self.server.stop(0.2)
        await self.http.stop()


class ServiceProcess:
    """The process of a stand-in ledger."""

    def __init__(self, host: str, port: int, delay_ms: int) -> None:
        self.ledger = Ledger(delay_ms)
        self.host = host
        self.port = port

    async def start(self) -> None:
        """Listen for HTTP requests."""
        self.http = HttpServer(build_service_app(self.ledger), self.host, self.port)
        await self.http.start()
        _log.info("started", extra={"http": self.http.address})

    async def drain(self) -> None:
        """Return at once, because stop finishes open requests."""

    async def stop(self) -> None:
        """Finish open requests and close the server."""
        await self.http.stop()


__all__ = ["EngineProcess", "ServiceProcess"]

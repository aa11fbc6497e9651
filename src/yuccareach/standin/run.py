"""The stand-in processes."""

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
from yuccareach.standin.service import Ledger, service_app

if TYPE_CHECKING:
    from yuccareach.standin.engine import EngineOptions

_log = logger("standin")


class _EngineAdmin:
    """What a test looks at and changes."""

    def __init__(self, engine: StandinEngine) -> None:
        self.engine = engine

    async def on_get(self, request: Any, response: Any) -> None:
        """Return the counts of executions."""
        response.media = self.engine.executions.summarize()

    async def on_post_stuck(self, request: Any, response: Any) -> None:
        """Stop or go on running batches, with ?stuck=true or false."""
        self.engine.stuck = bool(request.get_param_as_bool("stuck", default=True))
        self.engine.work_available.set()
        response.media = {"stuck": self.engine.stuck}


class EngineProcess:
    """A stand-in engine as a process of its own."""

    def __init__(
        self, options: EngineOptions, host: str, port: int, admin_port: int
    ) -> None:
        self.options = options
        self.host = host
        self.port = port
        self.admin_port = admin_port

    async def start(self) -> None:
        """Listen for the agent and for the admin."""
        self.engine = StandinEngine(self.options)
        self.server, self.address = listen(self.host, self.port)
        add_EngineServicer_to_server(self.engine, self.server)
        await self.server.start()
        app = falcon.asgi.App()
        admin = _EngineAdmin(self.engine)
        add_health_routes(app)
        app.add_route("/executions", admin)
        app.add_route("/stuck", admin, suffix="stuck")
        self.http = HttpServer(app, self.host, self.admin_port)
        await self.http.start()
        self.engine.start()
        extra = {"address": self.address, "admin": self.http.address}
        _log.info("started", extra=extra)

    async def drain(self) -> None:
        """Leave nothing to wait for: the agent has drained before."""

    async def stop(self) -> None:
        """Close everything."""
        await self.engine.stop()
        await self.server.stop(0.2)
        await self.http.stop()


class ServiceProcess:
    """A stand-in ledger as a process of its own."""

    def __init__(self, host: str, port: int, delay_ms: int) -> None:
        self.ledger = Ledger(delay_ms)
        self.host = host
        self.port = port

    async def start(self) -> None:
        """Listen."""
        self.http = HttpServer(service_app(self.ledger), self.host, self.port)
        await self.http.start()
        _log.info("started", extra={"http": self.http.address})

    async def drain(self) -> None:
        """Leave nothing to wait for: open requests end in stop."""

    async def stop(self) -> None:
        """Finish open requests and close."""
        await self.http.stop()


__all__ = ["EngineProcess", "ServiceProcess"]

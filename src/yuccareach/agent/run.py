"""The agent process."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any, NamedTuple

from yuccareach.agent.engine_client import EngineClient
from yuccareach.agent.events import (
    Announce,
    CallService,
    DrainRequested,
    ReportDrained,
    RunStep,
)
from yuccareach.agent.reducer import reduce
from yuccareach.agent.service_client import ServiceClient
from yuccareach.agent.state import AgentState
from yuccareach.control.client import ControlClient, WatchUpdated
from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.data_pb2_grpc import add_DataServicer_to_server
from yuccareach.runtime.http import HttpServer
from yuccareach.runtime.links import Links, Send
from yuccareach.runtime.logs import Log, logger, write_log
from yuccareach.runtime.process import new_incarnation
from yuccareach.runtime.reducer import Dispatcher
from yuccareach.runtime.rpc import listen
from yuccareach.settings.exchange import apply_push

if TYPE_CHECKING:
    from collections.abc import Callable

HEARTBEAT_INTERVAL_MS = 1_000
# Time for the announcement of the departure to reach control before streams close.
DEPARTURE_DELAY_MS = 300
GRPC_STOP_TIMEOUT_S = 0.5


class AgentOptions(NamedTuple):
    """Options of the agent process; an empty engine or service is not used."""

    backend_server: str
    availability_zone: str
    control: tuple[str, ...]
    engine: str = ""
    service: str = ""
    service_url: str = ""
    host: str = "127.0.0.1"
    port: int = 0
    http_port: int = 0
    advertise: str = ""
    retain_mib: int = 64


class AgentProcess:
    """One agent process: its engine or plain service, its links and its reducer."""

    def __init__(
        self, options: AgentOptions, build_app: Callable[[AgentProcess], Any]
    ) -> None:
        self.options = options
        self.build_app = build_app
        self.log = logger("agent")
        self.state = AgentState(
            cpb.Member(
                backend_server=options.backend_server,
                incarnation=new_incarnation(),
                availability_zone=options.availability_zone,
                service=options.service,
            ),
            options.retain_mib << 20,
            HEARTBEAT_INTERVAL_MS,
        )
        self.dispatcher = Dispatcher(functools.partial(self._reduce))
        self.dispatch = self.dispatcher.dispatch
        self.control = ControlClient(
            options.control,
            options.backend_server,
            options.availability_zone,
            self.dispatch,
            self._get_settings_revision,
            watch_members=False,
        )
        self.engine = EngineClient(options.engine, self.dispatch)
        self.service = ServiceClient(options.service_url, self.dispatch)
        self.drained = asyncio.Event()

    def _reduce(self, event: object, now: int) -> list[object]:
        if isinstance(event, WatchUpdated):
            return apply_push(self.state.settings, event.update.settings)
        return reduce(self.state, event, now)

    def _is_busy(self) -> bool:
        return bool(self.state.attempt_by_request or self.state.call_by_id)

    def _get_settings_revision(self) -> int:
        return self.state.settings.revision

    async def start(self) -> None:
        """Listen, connect to control and the engine or service, and start the ticks."""
        options = self.options
        self.server, bound_address = listen(options.host, options.port)
        self.state.member.address = options.advertise or bound_address
        self.links = Links(bound_address, self.dispatch, self._get_settings_revision)
        self.links.source = self.state.member.address
        add_DataServicer_to_server(self.links, self.server)
        self.dispatcher.register_performers(
            {
                Send: self.links.send,
                Log: functools.partial(write_log, self.log),
                RunStep: self.engine.run,
                CallService: self.service.call,
                Announce: lambda effect: self.control.send_heartbeat(effect.member),
                ReportDrained: lambda effect: self.drained.set(),
            }
        )
        await self.server.start()
        self.http = HttpServer(self.build_app(self), options.host, options.http_port)
        await self.http.start()
        self.control.start()
        if options.engine:
            self.engine.start()
        if options.service:
            self.service.start()
        self.dispatcher.start_ticks(self._is_busy)
        self.log.info(
            "started",
            extra={
                "backend_server": options.backend_server,
                "address": self.state.member.address,
                "http": self.http.address,
            },
        )

    async def drain(self) -> None:
        """Refuse new work and return when all running attempts and calls have ended."""
        self.dispatch(DrainRequested())
        await self.drained.wait()

    async def stop(self) -> None:
        """Announce the departure to control, then close all links and servers."""
        self.control.send_heartbeat(self.state.member, leaving=True)
        await asyncio.sleep(DEPARTURE_DELAY_MS / 1000)
        await self.dispatcher.stop_ticks()
        await self.control.close()
        await self.engine.close()
        await self.service.close()
        await self.links.close()
        await self.server.stop(GRPC_STOP_TIMEOUT_S)
        await self.http.stop()
        self.log.info("stopped")


__all__ = ["AgentOptions", "AgentProcess"]

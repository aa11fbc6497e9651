"""A TCP proxy that injects network faults, which can be changed while it runs."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import falcon
import falcon.asgi

from yuccareach.runtime.health import add_health_routes
from yuccareach.runtime.http import HttpServer
from yuccareach.runtime.logs import logger
from yuccareach.runtime.reducer import monotonic_ms
from yuccareach.standin.errors import StandinError

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_READ_BYTES = 65_536
# How often a connection checks whether a fault that blocks it has ended.
POLL_INTERVAL_S = 0.02
_log = logger("proxy")


class InvalidFault(StandinError):
    """A fault for the proxy is unknown or its value is invalid."""


class Faults(NamedTuple):
    """The network faults that the proxy injects.

    cut closes new and open connections. drop_in and drop_out discard bytes to and from
    the target; the connection stays open until the fault ends. half_open accepts
    connections and does not connect to the target. delay_ms delays each read, jitter_ms
    adds a random delay up to its value, and bytes_per_s limits each direction of a
    connection. refuse_share is the fraction of new connections that are closed.
    """

    cut: bool = False
    drop_in: bool = False
    drop_out: bool = False
    half_open: bool = False
    delay_ms: int = 0
    jitter_ms: int = 0
    bytes_per_s: int = 0
    refuse_share: float = 0.0


class Phase(NamedTuple):
    """Faults that apply from at_ms milliseconds after the start of the proxy."""

    at_ms: int
    faults: Faults


def parse_faults(content: Mapping[str, Any]) -> Faults:
    """Check the names and values of faults, or raise InvalidFault."""
    for name, value in content.items():
        if name not in Faults._fields:
            known = ", ".join(Faults._fields)
            raise InvalidFault(f"unknown fault {name!r}; known faults are {known}")
        expected_type = type(Faults._field_defaults[name])
        is_valid = (
            isinstance(value, int | float)
            if expected_type is float
            else (type(value) is expected_type)
        )
        if not is_valid or value < 0:
            raise InvalidFault(
                f"fault {name!r} must be a {expected_type.__name__} and not negative"
            )
    return Faults(**content)


def parse_script(content: Any) -> list[Phase]:
    """Check a list of phases and sort them by time, or raise InvalidFault."""
    if not isinstance(content, list):
        raise InvalidFault("a script must be a list of objects with at_ms and faults")
    phases = []
    for item in content:
        if not isinstance(item, dict) or not isinstance(item.get("at_ms"), int):
            raise InvalidFault("each phase must have an integer at_ms")
        phases.append(Phase(item["at_ms"], parse_faults(item.get("faults", {}))))
    return sorted(phases)


class ProxyProcess:
    """A process that forwards connections on one port to one target."""

    def __init__(
        self,
        target: str,
        host: str,
        port: int,
        admin_port: int,
        script: list[Phase],
        seed: int,
    ) -> None:
        self.target = target
        self.host = host
        self.port = port
        self.admin_port = admin_port
        self.script = script
        self.random = Random(seed)
        self.faults = Faults()
        self.writers: set[asyncio.StreamWriter] = set()
        self.connections = 0
        self.bytes_passed = 0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen for connections and admin requests, and start the script."""
        self.server = await asyncio.start_server(
            self._handle_connection, self.host, self.port
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"
        app = falcon.asgi.App()
        add_health_routes(app)
        app.add_route("/faults", _FaultsResource(self))
        self.http = HttpServer(app, self.host, self.admin_port)
        await self.http.start()
        self.task = asyncio.create_task(self._follow_script())
        extra = {"address": self.address, "admin": self.http.address}
        _log.info("started", extra=extra)

    async def _follow_script(self) -> None:
        started_ms = monotonic_ms()
        for phase in self.script:
            wait_ms = phase.at_ms - (monotonic_ms() - started_ms)
            await asyncio.sleep(max(0, wait_ms) / 1000)
            self.set_faults(phase.faults)

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults; cut also closes open connections."""
        self.faults = faults
        _log.info("faults", extra=faults._asdict())
        if faults.cut:
            for writer in list(self.writers):
                writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until either end closes it."""
        self.connections += 1
        is_refused = self.random.random() < self.faults.refuse_share
        if self.faults.cut or is_refused:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while self.faults.half_open:
                await asyncio.sleep(POLL_INTERVAL_S)
            host, _, port = self.target.rpartition(":")
            target_streams = await asyncio.open_connection(host, int(port))
            self.writers.add(target_streams[1])
            await asyncio.gather(
                self._forward(reader, target_streams[1], towards_target=True),
                self._forward(target_streams[0], writer, towards_target=False),
            )
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self.writers.discard(writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        towards_target: bool,
    ) -> None:
        """Forward bytes in one direction, with the current faults."""
        try:
            while data := await reader.read(MAX_READ_BYTES):
                faults = self.faults
                delay_ms = faults.delay_ms + self.random.random() * faults.jitter_ms
                if faults.bytes_per_s:
                    delay_ms += 1000 * len(data) / faults.bytes_per_s
                if delay_ms:
                    await asyncio.sleep(delay_ms / 1000)
                is_dropped = (
                    self.faults.drop_in if towards_target else self.faults.drop_out
                )
                if is_dropped:
                    await self._wait_while_dropping(towards_target=towards_target)
                    # The discarded bytes are lost, so the connection cannot continue.
                    break
                writer.write(data)
                self.bytes_passed += len(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self.writers.discard(writer)

    async def _wait_while_dropping(self, *, towards_target: bool) -> None:
        """Wait until bytes in this direction are no longer dropped."""
        while self.faults.drop_in if towards_target else self.faults.drop_out:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def drain(self) -> None:
        """Return at once; stop closes all connections."""

    async def stop(self) -> None:
        """Stop the script and the servers, and close all connections."""
        if self.task is not None:
            self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await self.http.stop()


class _FaultsResource:
    """HTTP resource through which tests read and set the faults."""

    def __init__(self, process: ProxyProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any) -> None:
        """Return the current faults and the totals of connections and bytes."""
        response.media = {
            "faults": self.process.faults._asdict(),
            "connections": self.process.connections,
            "bytes_passed": self.process.bytes_passed,
        }

    async def on_put(self, request: Any, response: Any) -> None:
        """Replace the faults by those of the request."""
        try:
            faults = parse_faults(await request.get_media())
        except InvalidFault as error:
            raise falcon.HTTPBadRequest(title=str(error)) from error
        self.process.set_faults(faults)
        response.media = faults._asdict()


__all__ = [
    "Faults",
    "InvalidFault",
    "Phase",
    "ProxyProcess",
    "parse_faults",
    "parse_script",
]

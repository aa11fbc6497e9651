"""A faulty network: a TCP proxy whose faults are set while it runs."""

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

CHUNK_BYTES = 65_536
PAUSE_S = 0.02
_log = logger("proxy")


class BadFault(StandinError):
    """A fault that the proxy does not know, or a value it cannot take."""


class Faults(NamedTuple):
    """What is wrong with the network now.

    cut refuses and closes connections; drop_in and drop_out swallow bytes towards the
    target and back without a sign; refuse_share closes a share of new connections;
    half_open accepts them and never connects onwards.
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
    """Faults that hold from a moment after the start, in milliseconds."""

    at_ms: int
    faults: Faults


def parse_faults(raw: Mapping[str, Any]) -> Faults:
    """Check faults that came from a person, or raise BadFault."""
    for name, value in raw.items():
        if name not in Faults._fields:
            known = ", ".join(Faults._fields)
            raise BadFault(f"unknown fault {name!r}, known are {known}")
        wanted = type(Faults._field_defaults[name])
        right = (
            isinstance(value, int | float)
            if wanted is float
            else (type(value) is wanted)
        )
        if not right or value < 0:
            raise BadFault(f"fault {name!r} must be a {wanted.__name__} from 0")
    return Faults(**raw)


def parse_script(raw: Any) -> list[Phase]:
    """Check a list of phases, each with at_ms and faults, or raise BadFault."""
    if not isinstance(raw, list):
        raise BadFault("a script is a list of objects with at_ms and faults")
    phases = []
    for item in raw:
        if not isinstance(item, dict) or not isinstance(item.get("at_ms"), int):
            raise BadFault("each phase needs a whole number at_ms")
        phases.append(Phase(item["at_ms"], parse_faults(item.get("faults", {}))))
    return sorted(phases)


class ProxyProcess:
    """One listening port that passes connections on to one target."""

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
        """Listen, and follow the script."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
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
        """Change what is wrong; a cut also ends open connections."""
        self.faults = faults
        _log.info("faults", extra=faults._asdict())
        if faults.cut:
            for writer in list(self.writers):
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection on, both ways, until either end closes."""
        self.connections += 1
        refused = self.random.random() < self.faults.refuse_share
        if self.faults.cut or refused:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while self.faults.half_open:
                await asyncio.sleep(PAUSE_S)
            host, _, port = self.target.rpartition(":")
            onward = await asyncio.open_connection(host, int(port))
            self.writers.add(onward[1])
            await asyncio.gather(
                self._pass(reader, onward[1], inward=True),
                self._pass(onward[0], writer, inward=False),
            )
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self.writers.discard(writer)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        inward: bool,
    ) -> None:
        """Pass bytes one way, with the faults of the moment."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                faults = self.faults
                delay_ms = faults.delay_ms + self.random.random() * faults.jitter_ms
                if faults.bytes_per_s:
                    delay_ms += 1000 * len(data) / faults.bytes_per_s
                if delay_ms:
                    await asyncio.sleep(delay_ms / 1000)
                dropped = self.faults.drop_in if inward else self.faults.drop_out
                if dropped:
                    await self._hold(inward=inward)
                    # What was swallowed is gone, so the connection cannot go on.
                    break
                writer.write(data)
                self.bytes_passed += len(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self.writers.discard(writer)

    async def _hold(self, *, inward: bool) -> None:
        """Stay silent for as long as bytes this way are swallowed."""
        while self.faults.drop_in if inward else self.faults.drop_out:
            await asyncio.sleep(PAUSE_S)

    async def drain(self) -> None:
        """Leave nothing to wait for."""

    async def stop(self) -> None:
        """Close everything."""
        if self.task is not None:
            self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await self.http.stop()


class _FaultsResource:
    """Faults as a test reads and sets them."""

    def __init__(self, process: ProxyProcess) -> None:
        self.process = process

    async def on_get(self, request: Any, response: Any) -> None:
        """Return the faults of the moment and what has passed."""
        response.media = {
            "faults": self.process.faults._asdict(),
            "connections": self.process.connections,
            "bytes_passed": self.process.bytes_passed,
        }

    async def on_put(self, request: Any, response: Any) -> None:
        """Replace the faults."""
        try:
            faults = parse_faults(await request.get_media())
        except BadFault as error:
            raise falcon.HTTPBadRequest(title=str(error)) from error
        self.process.set_faults(faults)
        response.media = faults._asdict()


__all__ = [
    "BadFault",
    "Faults",
    "Phase",
    "ProxyProcess",
    "parse_faults",
    "parse_script",
]

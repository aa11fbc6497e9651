"""Stand-ins for a runner and an operator that speak the platform's wire.

Runners of one process form a group: the first of a chain asks the others in memory
whether they hold their part, where real ones would pass activations on.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
from aiohttp import web

from yuccareach.placement.assignments import NO_LAYERS, LayerRange

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

HEARTBEAT_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 1.0
# Longer than any caller waits.
SILENCE_S = 60.0


class Group:
    """Runners that reach each other, and what they have run."""

    def __init__(self, layers: int) -> None:
        self.layers = layers
        self.runner_by_address: dict[str, Runner] = {}
        # Ids of requests in the order in which a runner began to run them.
        self.executed_request_ids: list[str] = []


class Runner:
    """One runner of a model, or of a plain service where the kind is empty."""

    def __init__(
        self, group: Group, name: str, service: str, zone: str, kind: str = ""
    ) -> None:
        self.group = group
        self.name = name
        self.service = service
        self.zone = zone
        self.kind = kind
        self.layers = NO_LAYERS
        self.born = int(time.time() * 1000)
        self.sequences = itertools.count(1)
        self.draining = False
        # Faults that tests set.
        self.cut_after_events: int | None = None
        self.full = False
        self.silent = False
        # Whether orders to hold layers do not fit its state.
        self.rejects_placing = False
        # Orders to carry a request on that get no answer, from now on.
        self.reroutes_unheard = 0
        self.status = 200
        self.event_interval_s = 0.002
        self.heartbeat_interval_s = HEARTBEAT_INTERVAL_S
        self.pace = 1.0
        self.stalled: dict[str, str] = {}
        self.path_by_request: dict[str, list[tuple[str, int, int]]] = {}
        self.orders: list[dict[str, Any]] = []
        self.headers_seen: list[Mapping[str, str]] = []

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        app = web.Application()
        app.router.add_get("/-/report", self._report)
        app.router.add_post("/-/order", self._order)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = self.runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"
        self.group.runner_by_address[self.address] = self

    async def stop(self) -> None:
        """Stop without a word, as a crash would."""
        self.group.runner_by_address.pop(self.address, None)
        await self.runner.cleanup()

    def heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 96,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "kind": self.kind,
            "layers": {"from": self.layers.first, "target": self.layers.end},
            "sequence": next(self.sequences),
            "born": self.born,
        }

    async def send_heartbeats(self, control: Iterable[str]) -> None:
        """Send heartbeats until cancelled, to the first control that takes one."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for address in control:
                    if await self._beat(session, address):
                        break
                await asyncio.sleep(self.heartbeat_interval_s)

    async def _beat(self, session: aiohttp.ClientSession, address: str) -> bool:
        """Send a heartbeat; returns whether it was acknowledged."""
        beat = self.heartbeat()
        url = f"http://{address}/-/runners/{self.name}/heartbeat"
        try:
            async with session.post(url, json=beat) as answer:
                if answer.status != 200:
                    return False
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        self.on_heartbeat_acknowledged(beat)
        return True

    def on_heartbeat_acknowledged(self, heartbeat: dict[str, Any]) -> None:
        """Do nothing; subclasses may override it to record acknowledged heartbeats."""

    # Calls.

    async def _report(self, request: web.Request) -> web.Response:
        stalled = [
            {"id": request_id, "address": address}
            for request_id, address in self.stalled.items()
        ]
        return web.json_response({"stalled": stalled, "pace": self.pace})

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.orders.append(order)
        if order["op"] == "place" and self.rejects_placing:
            return web.Response(status=409)
        if order["op"] == "place":
            self.layers = LayerRange(order["from"], order["target"])
            return web.Response(status=202)
        if self.reroutes_unheard:
            self.reroutes_unheard -= 1
            await asyncio.sleep(SILENCE_S)
            return web.Response(status=504)
        if order["id"] not in self.path_by_request:
            return web.Response(status=404)
        path = parse_path(order["path"])
        faulty = self._faulty(path)
        if faulty:
            return web.json_response({"address": faulty}, status=409)
        self.path_by_request[order["id"]] = path
        self.stalled.pop(order["id"], None)
        return web.Response(status=200)

    def _faulty(self, path: list[tuple[str, int, int]]) -> str:
        """Return the first address of a path that does not hold its part."""
        for address, first, end in path:
            runner = self.group.runner_by_address.get(address)
            if runner is None or not runner.layers.first <= first < end:
                return address
            if end > runner.layers.end:
                return address
        return ""

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.headers_seen.append(request.headers.copy())
        request_id = request.headers.get("Yuccareach-Request-Id", "")
        echo = {"Yuccareach-Request-Id": request_id}
        target = request.headers.get("Yuccareach-Target-Runner")
        if target != self.name:
            return web.Response(status=421, headers=echo)
        if self.full:
            refusal = {**echo, "Yuccareach-Not-Executed": "1"}
            return web.Response(status=503, headers=refusal)
        if self.silent:
            await asyncio.sleep(SILENCE_S)
        signed = {**echo, "Yuccareach-Runner-Signature": f"{self.name}.{request_id}"}
        if not self.kind:
            self.group.executed_request_ids.append(request_id)
            body = await request.read()
            return web.Response(status=self.status, body=body or b"ok", headers=signed)
        return await self._stream(request, request_id, signed)

    async def _stream(
        self, request: web.Request, request_id: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        path = parse_path(request.headers["Yuccareach-Hop-Count"])
        faulty = self._faulty(path)
        if faulty:
            refusal = {**headers, "Yuccareach-Not-Executed": "1", "At-Server": faulty}
            del refusal["Yuccareach-Runner-Signature"]
            return web.Response(status=503, headers=refusal)
        self.group.executed_request_ids.append(request_id)
        self.path_by_request[request_id] = path
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        last = int(request.headers["Yuccareach-Token-Usage"].split(",")[1])
        for number in range(first, last + 1):
            if self.cut_after_events is not None:
                if number > self.cut_after_events:
                    assert request.transport is not None
                    request.transport.abort()
                    return response
            await self._await_stages(request_id)
            tiles = tiles_layers(self.path_by_request[request_id], self.group.layers)
            text = f"id: {number}\ndata: token-{number} {'ok' if tiles else 'bad'}\n\n"
            await response.write(text.encode())
            await asyncio.sleep(self.event_interval_s * self._slowest(request_id))
        return response

    def _slowest(self, request_id: str) -> float:
        """Return the pace of the slowest stage of a request's path."""
        runners = self.group.runner_by_address
        return max(
            runners[address].pace
            for address, _, _ in self.path_by_request[request_id]
            if address in runners
        )

    async def _await_stages(self, request_id: str) -> None:
        """Wait while a stage of the path is gone, and report it as stalled."""
        while faulty := self._faulty(self.path_by_request[request_id]):
            self.stalled[request_id] = faulty
            await asyncio.sleep(0.01)
        self.stalled.pop(request_id, None)


def parse_path(text: str) -> list[tuple[str, int, int]]:
    """Return the parts of a path: address, first layer and end layer."""
    parts = []
    for part in text.split(","):
        address, _, layers = part.partition("=")
        first, _, end = layers.partition("-")
        parts.append((address, int(first), int(end)))
    return parts


def tiles_layers(path: list[tuple[str, int, int]], layers: int) -> bool:
    """Return whether a path runs every layer once and in order."""
    ends = [0, *(end for _, _, end in path)]
    starts = [*(first for _, first, _ in path), layers]
    return ends == starts


async def put_document(control: str, document: dict[str, Any]) -> int:
    """Send a configuration as an operator would; returns the status."""
    body = msgspec.json.encode(document)
    async with aiohttp.ClientSession() as session:
        async with session.post(f"http://{control}/-/config/put", data=body) as answer:
            return answer.status


async def get_document(control: str) -> tuple[int, bytes]:
    """Read the configuration back; returns status and content."""
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{control}/-/config/get") as answer:
            return answer.status, await answer.read()


__all__ = [
    "Group",
    "Runner",
    "get_document",
    "parse_path",
    "put_document",
    "tiles_layers",
]

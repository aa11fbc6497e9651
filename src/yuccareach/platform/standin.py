"""Stand-ins for a runner and an operator, which use the platform's HTTP calls.

A runner is the platform's name for a backend server. Runners of one process form a
group. The first runner of a chain reads the layers of the others from memory, whereas
real runners would forward activations to each other.
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
from yuccareach.platform.standin_bytes import RawAnswer, send_raw_answer
from yuccareach.platform.standin_faults import (
    REFUSED_STATUS,
    RunnerArrival,
    RunnerFaults,
    parse_prompt_parts,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

HEARTBEAT_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 1.0
# Delay of an answer that is to be missing: longer than the timeout of any caller.
SILENCE_DELAY_S = 60.0
# A runner that crashed is back after this time.
RESTART_DELAY_S = 0.5


class Group:
    """Runners that can reach each other, and the requests that they have executed."""

    def __init__(self, layer_count: int) -> None:
        # Layers of the model.
        self.layer_count = layer_count
        self.runner_by_address: dict[str, Runner] = {}
        # In the order in which a runner started to execute the requests. An id occurs
        # once for each execution.
        self.executed_request_ids: list[str] = []
        # A request whose body starts with this prefix crashes the runner at this index
        # of each chain that runs it, or the one runner that runs it as a plain call.
        self.crashing_prefix: bytes | None = None
        self.crashing_stage = 0
        # Events that such a stream has before it crashes the runner.
        self.crashing_after_events = 0
        # So does a stream whose prompt has this part, as it begins to be answered.
        self.crashing_part: str | None = None
        # Loop times at which such requests crashed runners.
        self.crash_times_s: list[float] = []
        # Every request that reached a runner, also one that it refused.
        self.arrivals: list[RunnerArrival] = []
        # Every request that reached a runner as a later stage of its path.
        self.later_arrivals: list[RunnerArrival] = []

    def record_later_arrivals(self, request_id: str, addresses: Iterable[str]) -> None:
        """Record that a request reaches the runners of later stages."""
        now_s = asyncio.get_running_loop().time()
        self.later_arrivals += [
            RunnerArrival(now_s, request_id, runner.name, ())
            for address in addresses
            if (runner := self.runner_by_address.get(address)) is not None
        ]

    def is_crashing(self, body: bytes, prompt_parts: tuple[str, ...] = ()) -> bool:
        """Return whether a request crashes the runners that run it."""
        return self.crashing_part in prompt_parts or (
            self.crashing_prefix is not None and body.startswith(self.crashing_prefix)
        )


class Runner:
    """A runner of a model, or of a plain service if the accelerator kind is empty."""

    def __init__(
        self, group: Group, name: str, service: str, zone: str, kind: str = ""
    ) -> None:
        self.group = group
        self.name = name
        self.service = service
        self.zone = zone
        self.kind = kind
        self.layers = NO_LAYERS
        self.started_ms = int(time.time() * 1000)
        self.sequence_counter = itertools.count(1)
        self.draining = False

        # Faults and timing that tests set.

        self.faults = RunnerFaults()
        # Number of the event after which a stream's connection is aborted.
        self.abort_after_events: int | None = None
        # Refuses requests, and states that it has not executed them.
        self.is_full = False
        # Answers requests only after SILENCE_DELAY_S.
        self.is_silent = False
        # Refuses orders to load layers with status 409.
        self.rejects_place_orders = False
        # Number of the next reroute orders that are not answered.
        self.unanswered_reroute_count = 0
        # Status of the answers of a plain service.
        self.answer_status = 200
        self.event_interval_s = 0.002
        self.heartbeat_interval_s = HEARTBEAT_INTERVAL_S
        # Multiplies event_interval_s.
        self.slowdown = 1.0
        self.restart_delay_s = RESTART_DELAY_S
        self.crash_task: asyncio.Task[None] | None = None
        # State of the requests, and what the runner has received.

        # Address of the runner that a stalled request waits for, by request id.
        self.stalled_address_by_request: dict[str, str] = {}
        # Stages (address, first layer, end layer) of each request, by request id.
        self.path_by_request: dict[str, list[tuple[str, int, int]]] = {}
        self.received_orders: list[dict[str, Any]] = []
        self.received_headers: list[Mapping[str, str]] = []

    async def start(self, port: int = 0) -> None:
        """Listen on a port of the loopback address, by default on a free one."""
        app = web.Application()
        app.on_response_prepare.append(self._add_announcement)
        app.router.add_get("/-/report", self._handle_report)
        app.router.add_post("/-/order", self._handle_order)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self.app_runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.app_runner.setup()
        site = web.TCPSite(self.app_runner, "127.0.0.1", port)
        await site.start()
        port = self.app_runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"
        self.group.runner_by_address[self.address] = self

    async def stop(self) -> None:
        """Stop without a departure or a drain, as a crash would."""
        if self.crash_task is not None:
            self.crash_task.cancel()
        await self.close()

    async def close(self) -> None:
        """Close all connections and stop listening."""
        self.group.runner_by_address.pop(self.address, None)
        await self.app_runner.cleanup()

    def crash(self) -> None:
        """Reset all connections, and restart with no layers after restart_delay_s."""
        if not self.is_down:
            self.group.runner_by_address.pop(self.address, None)
            self.crash_task = asyncio.create_task(self._crash_and_restart())

    @property
    def is_down(self) -> bool:
        """Whether the runner has crashed and not restarted yet."""
        return self.crash_task is not None and not self.crash_task.done()

    async def _crash_and_restart(self) -> None:
        port = int(self.address.rpartition(":")[2])
        assert self.app_runner.server is not None
        for connection in self.app_runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self.close()
        await asyncio.sleep(self.restart_delay_s)
        self.layers = NO_LAYERS
        self.started_ms = int(time.time() * 1000)
        self.sequence_counter = itertools.count(1)
        await Runner.start(self, port)

    def build_heartbeat(self) -> dict[str, Any]:
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
            "sequence": next(self.sequence_counter),
            "born": self.started_ms,
        }

    async def send_heartbeats(self, control_addresses: Iterable[str]) -> None:
        """Send heartbeats until cancelled.

        Each one goes to the addresses of control in turn, until one acknowledges it.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for address in control_addresses:
                    if self.is_down or await self._send_heartbeat(session, address):
                        break
                await asyncio.sleep(self.heartbeat_interval_s)

    async def _send_heartbeat(
        self, session: aiohttp.ClientSession, address: str
    ) -> bool:
        """Send a heartbeat and return whether it was acknowledged."""
        heartbeat = self.build_heartbeat()
        url = f"http://{address}/-/runners/{self.name}/heartbeat"
        try:
            async with session.post(url, json=heartbeat) as answer:
                if answer.status != 200:
                    return False
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        self.on_heartbeat_acknowledged(heartbeat)
        return True

    def on_heartbeat_acknowledged(self, heartbeat: dict[str, Any]) -> None:
        """Do nothing; subclasses may override it to record acknowledged heartbeats."""

    # Handlers of calls to the runner.

    async def _add_announcement(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.faults.announces_leaving:
            response.headers["Server-Leaving"] = "1"
        for value in self.faults.stated_limits:
            response.headers.add("Server-Limit", value)

    async def _send_raw(self, request: web.Request, kind: RawAnswer) -> web.Response:
        await send_raw_answer(request, kind, self.name, self.faults.sent_answers)
        return web.Response()

    async def _handle_report(self, request: web.Request) -> web.Response:
        if self.faults.raw_report is not None:
            return await self._send_raw(request, self.faults.raw_report)
        await self.faults.wait_while_silent()
        stalled = [
            {"id": request_id, "address": address}
            for request_id, address in self.stalled_address_by_request.items()
        ]
        return web.json_response({"stalled": stalled, "pace": self.slowdown})

    async def _handle_order(self, request: web.Request) -> web.Response:
        if self.faults.raw_report is not None:
            return await self._send_raw(request, self.faults.raw_report)
        await self.faults.wait_while_silent()
        order = await request.json()
        self.received_orders.append(order)
        if order["op"] == "place" and self.rejects_place_orders:
            return web.Response(status=409)
        if order["op"] == "place":
            self.layers = LayerRange(order["from"], order["target"])
            return web.Response(status=202)
        if self.unanswered_reroute_count:
            self.unanswered_reroute_count -= 1
            await asyncio.sleep(SILENCE_DELAY_S)
            return web.Response(status=504)
        if order["id"] not in self.path_by_request:
            return web.Response(status=404)
        path = parse_path(order["path"])
        faulty = self._find_faulty_address(path)
        if faulty:
            return web.json_response({"address": faulty}, status=409)
        known = {address for address, _, _ in self.path_by_request[order["id"]]}
        added = [address for address, _, _ in path if address not in known]
        self.group.record_later_arrivals(order["id"], added)
        self.path_by_request[order["id"]] = path
        self.stalled_address_by_request.pop(order["id"], None)
        return web.Response(status=200)

    def _find_faulty_address(self, path: list[tuple[str, int, int]]) -> str:
        """Return the first address of a path that cannot run its stage.

        The runner there has stopped or does not hold the layers of its stage. Return an
        empty string if every stage can run.
        """
        for address, first, end in path:
            runner = self.group.runner_by_address.get(address)
            if runner is None or not runner.layers.first <= first < end:
                return address
            if end > runner.layers.end:
                return address
        return ""

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.received_headers.append(request.headers.copy())
        request_id = request.headers.get("Yuccareach-Request-Id", "")
        self.group.arrivals.append(
            RunnerArrival(
                asyncio.get_running_loop().time(),
                request_id,
                self.name,
                get_prompt_parts(request),
            )
        )
        self.faults.begin_silence(self.faults.silence_on_arrival_s)
        await self.faults.wait_while_silent()
        if self.faults.raw_answer is not None:
            self.group.executed_request_ids.append(request_id)
            return await self._send_raw(request, self.faults.raw_answer)
        echo = {"Yuccareach-Request-Id": request_id}
        target = request.headers.get("Yuccareach-Target-Runner")
        if target != self.name:
            return web.Response(status=421, headers=echo)
        if self.is_full:
            refusal = {**echo, "Yuccareach-Not-Executed": "1"}
            return web.Response(status=503, headers=refusal)
        if self.faults.retry_after_s is not None:
            refusal = {
                **echo,
                "Yuccareach-Not-Executed": "1",
                "Retry-After": f"{self.faults.retry_after_s:g}",
            }
            return web.Response(status=REFUSED_STATUS, headers=refusal)
        if self.is_silent:
            await asyncio.sleep(SILENCE_DELAY_S)
        signed = {**echo, "Yuccareach-Runner-Signature": f"{self.name}.{request_id}"}
        body = await request.read()
        if not self.kind:
            self.group.executed_request_ids.append(request_id)
            if self.group.is_crashing(body):
                await self._crash_under_request(self)
            return web.Response(
                status=self.answer_status, body=body or b"ok", headers=signed
            )
        return await self._stream(request, request_id, signed)

    async def _stream(
        self, request: web.Request, request_id: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        # Despite its name, the header contains the path through the layers.
        path = parse_path(request.headers["Yuccareach-Hop-Count"])
        faulty = self._find_faulty_address(path)
        if faulty:
            refusal = {**headers, "Yuccareach-Not-Executed": "1", "At-Server": faulty}
            del refusal["Yuccareach-Runner-Signature"]
            return web.Response(status=503, headers=refusal)
        self.group.executed_request_ids.append(request_id)
        self.path_by_request[request_id] = path
        later = [address for address, _, _ in path[1:]]
        self.group.record_later_arrivals(request_id, later)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        # The header contains the tokens of the prompt and the maximum to generate.
        last = int(request.headers["Yuccareach-Token-Usage"].split(",")[1])
        for number in range(first, last + 1):
            if number > self.group.crashing_after_events:
                await self._crash_stage(request, request_id)
            if number - first == self.faults.silence_after_events:
                self.faults.begin_silence(self.faults.silence_after_events_s)
            await self.faults.wait_while_silent()
            if self.abort_after_events is not None:
                if number > self.abort_after_events:
                    assert request.transport is not None
                    request.transport.abort()
                    return response
            await self._wait_for_stages(request_id)
            runs_all = is_complete_path(
                self.path_by_request[request_id], self.group.layer_count
            )
            text = (
                f"id: {number}\ndata: token-{number} {'ok' if runs_all else 'bad'}\n\n"
            )
            await response.write(text.encode())
            await asyncio.sleep(
                self.event_interval_s * self._find_max_slowdown(request_id)
            )
        return response

    async def _crash_stage(self, request: web.Request, request_id: str) -> None:
        """Crash the runner of the crashing stage if the request is a crashing one."""
        body = await request.read()
        if not self.group.is_crashing(body, get_prompt_parts(request)):
            return
        address, _, _ = self.path_by_request[request_id][self.group.crashing_stage]
        runner = self.group.runner_by_address.get(address)
        if runner is not None:
            await self._crash_under_request(runner)

    async def _crash_under_request(self, runner: Runner) -> None:
        """Crash a runner; does not return if it is this one."""
        self.group.crash_times_s.append(asyncio.get_running_loop().time())
        runner.crash()
        if runner is self:
            await asyncio.sleep(SILENCE_DELAY_S)

    def _find_max_slowdown(self, request_id: str) -> float:
        """Return the slowdown of the slowest stage of a request's path."""
        runners = self.group.runner_by_address
        return max(
            runners[address].slowdown
            for address, _, _ in self.path_by_request[request_id]
            if address in runners
        )

    async def _wait_for_stages(self, request_id: str) -> None:
        """Wait until every stage can run; report the request as stalled meanwhile."""
        while faulty := self._find_faulty_address(self.path_by_request[request_id]):
            self.stalled_address_by_request[request_id] = faulty
            await asyncio.sleep(0.01)
        self.stalled_address_by_request.pop(request_id, None)


def get_prompt_parts(request: web.Request) -> tuple[str, ...]:
    """Return the ids of the parts of a request's prompt, in order."""
    return parse_prompt_parts(request.headers.get("Yuccareach-Prompt-Prefix", ""))


def parse_path(text: str) -> list[tuple[str, int, int]]:
    """Return address, first layer and end layer of each stage of a path."""
    stages = []
    for stage in text.split(","):
        address, _, layers = stage.partition("=")
        first, _, end = layers.partition("-")
        stages.append((address, int(first), int(end)))
    return stages


def is_complete_path(path: list[tuple[str, int, int]], layer_count: int) -> bool:
    """Return whether a path runs every layer once and in order."""
    ends = [0, *(end for _, _, end in path)]
    starts = [*(first for _, first, _ in path), layer_count]
    return ends == starts


async def put_document(control_address: str, document: dict[str, Any]) -> int:
    """Send a routing document as an operator would, and return the status."""
    body = msgspec.json.encode(document)
    async with aiohttp.ClientSession() as session:
        async with session.post(
            f"http://{control_address}/-/config/put", data=body
        ) as answer:
            return answer.status


async def get_document(control_address: str) -> tuple[int, bytes]:
    """Return the status and content of the routing document in force."""
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{control_address}/-/config/get") as answer:
            return answer.status, await answer.read()


__all__ = [
    "Group",
    "Runner",
    "get_document",
    "parse_path",
    "put_document",
    "is_complete_path",
]

"""Stand-in backend servers, each behind a proxy that injects faults."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
from aiohttp import web

from bench.soak.endless import EndlessKind, send_endless
from yuccareach.platform.standin import (
    CALL_TIMEOUT_S,
    Group,
    Runner,
    get_prompt_parts,
    parse_path,
)
from yuccareach.standin.proxy import ProxyProcess

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

HOST = "127.0.0.1"
HEARTBEAT_INTERVAL_S = 0.4
# Long enough that each event arrives in a read of its own.
EVENT_INTERVAL_S = 0.01
SILENCE_POLL_INTERVAL_S = 0.01
Span = tuple[float, float]


class Arrival(NamedTuple):
    """A request that reached a backend server."""

    received_s: float
    request: str
    workspace: str
    # Addresses of the stages of its path.
    stages: tuple[str, ...] = ()


class Rejection(NamedTuple):
    """An answer which states that a backend server did not run a request."""

    answered_s: float
    arrival: Arrival
    # None where the answer does not say when to return.
    retry_after_s: float | None


class LimitSpan(NamedTuple):
    """A time in which a backend server stated a limit."""

    started_s: float
    ended_s: float
    limit_per_s: float


class SoakRunner(Runner):
    """A stand-in that records what reached it and the faults that it had."""

    def __init__(
        self, group: Group, name: str, service: str, zone: str, kind: str = ""
    ) -> None:
        super().__init__(group, name, service, zone, kind)
        self.event_interval_s = EVENT_INTERVAL_S
        self.heartbeat_interval_s = HEARTBEAT_INTERVAL_S
        # Replaces this server after its crash; set by the deployment.
        self.replace: Callable[[SoakRunner], Awaitable[None]] | None = None
        self.heartbeat_task: asyncio.Task[None] | None = None
        self.are_heartbeats_silent = False
        # Answers requests or reports with bytes without end.
        self.endless_kind: EndlessKind | None = None

        # Records for the checks.

        self.arrivals: list[Arrival] = []
        self.rejections: list[Rejection] = []
        # Paths that replaced those of requests: time, request and addresses.
        self.reroutes: list[tuple[float, str, tuple[str, ...]]] = []
        self.started_s = time.monotonic()
        self.closed_s: float | None = None
        self.drain_acknowledged_s: float | None = None
        # When a stream crashed this server by a part of its prompt.
        self.part_crash_s: float | None = None
        # Spans of faults.
        self.silences: list[Span] = []
        self.link_faults: list[Span] = []
        # Those of the link faults that separated this server from every gateway.
        self.cuts: list[Span] = []
        self.endless_spans: list[Span] = []
        # Until the end of the last Retry-After.
        self.refusals: list[Span] = []
        self.limit_spans: list[LimitSpan] = []
        # Bytes sent of each endless answer, by the request and a number.
        self.endless_bytes_by_answer: Counter[tuple[str, int]] = Counter()

    async def start(self, port: int = 0) -> None:
        """Listen behind a proxy and announce the proxy's address."""
        await super().start(port)
        self.proxy = ProxyProcess(self.address, HOST, 0, 0, [], 0)
        await self.proxy.start()
        del self.group.runner_by_address[self.address]
        self.address = self.proxy.address
        self.group.runner_by_address[self.address] = self

    @property
    def takes_requests(self) -> bool:
        """Whether requests are sent to this server, not only passed on to it."""
        return not self.kind or self.layers.first == 0

    async def close(self) -> None:
        """Close the proxy as well, and stop to send heartbeats."""
        if self.closed_s is not None:
            return
        self.closed_s = time.monotonic()
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        await self.proxy.stop()
        await super().close()

    async def _crash_and_restart(self) -> None:
        """Crash, and let the deployment start a replacement."""
        assert self.replace is not None
        await self.replace(self)

    def start_heartbeats(self, control: Sequence[str]) -> None:
        """Start to send heartbeats in the background."""
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats(control))

    async def depart(self, control: str) -> None:
        """Send no more heartbeats, report the departure, and serve on.

        The time of an acknowledgement is recorded as that of a drain.
        """
        self.draining = True
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        url = f"http://{control}/-/runners/{self.name}/deregister"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, json=self.build_heartbeat()) as answer,
            ):
                if answer.status == 200:
                    self.drain_acknowledged_s = time.monotonic()
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Without an acknowledgement, nothing is promised.
            pass

    async def _send_heartbeat(self, session: Any, address: str) -> bool:
        if self.are_heartbeats_silent:
            await self.faults.wait_while_silent()
        return await super()._send_heartbeat(session, address)

    def on_heartbeat_acknowledged(self, heartbeat: dict[str, Any]) -> None:
        """Record when control first acknowledged that this server is draining."""
        if heartbeat["state"] == "draining" and self.drain_acknowledged_s is None:
            self.drain_acknowledged_s = time.monotonic()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        path = request.headers.get("Yuccareach-Hop-Count", "")
        arrival = Arrival(
            time.monotonic(),
            request.headers.get("Yuccareach-Request-Id", ""),
            request.headers.get("Yuccareach-Tenant", ""),
            tuple(address for address, _, _ in parse_path(path)) if path else (),
        )
        self.arrivals.append(arrival)
        if self.faults.silence_on_arrival_s:
            self.be_silent(self.faults.silence_on_arrival_s, with_heartbeats=False)
        if self.endless_kind not in (None, EndlessKind.REPORT):
            return await self._answer_without_end(request)
        response = await super()._serve(request)
        if response.status == 421 or "Yuccareach-Not-Executed" in response.headers:
            retry_after = response.headers.get("Retry-After")
            # A caller that has left does not get the answer.
            if request.transport is None or request.transport.is_closing():
                retry_after = None
            retry_after_s = None if retry_after is None else float(retry_after)
            self.rejections.append(Rejection(time.monotonic(), arrival, retry_after_s))
        return response

    async def _answer_without_end(self, request: web.Request) -> web.StreamResponse:
        assert self.endless_kind is not None
        request_id = request.headers.get("Yuccareach-Request-Id", "")
        answer = (request_id, len(self.endless_bytes_by_answer))

        def _count(sent_bytes: int) -> None:
            self.endless_bytes_by_answer[answer] += sent_bytes

        return await send_endless(request, self.endless_kind, self.name, _count)

    async def _handle_report(self, request: web.Request) -> web.StreamResponse:
        if self.endless_kind is EndlessKind.REPORT:
            return await self._answer_without_end(request)
        return await super()._handle_report(request)

    async def _handle_order(self, request: web.Request) -> web.Response:
        response = await super()._handle_order(request)
        order = await request.json()
        if order["op"] == "repath" and response.status == 200:
            stages = tuple(address for address, _, _ in parse_path(order["path"]))
            self.reroutes.append((time.monotonic(), order["id"], stages))
        return response

    async def _crash_stage(self, request: web.Request, request_id: str) -> None:
        if self.group.crashing_part in get_prompt_parts(request):
            self.part_crash_s = self.part_crash_s or time.monotonic()
        await super()._crash_stage(request, request_id)

    async def _wait_for_stages(self, request_id: str) -> None:
        """Wait until no stage is silent, either."""
        await super()._wait_for_stages(request_id)
        while silent := self._find_silent_stage(request_id):
            self.stalled_address_by_request[request_id] = silent
            await asyncio.sleep(SILENCE_POLL_INTERVAL_S)
            await super()._wait_for_stages(request_id)

    def _find_silent_stage(self, request_id: str) -> str:
        """Return the address of a silent later stage; empty if there is none."""
        now_s = asyncio.get_running_loop().time()
        runners = self.group.runner_by_address
        return next(
            (
                address
                for address, _, _ in self.path_by_request[request_id][1:]
                if address in runners and runners[address].faults.silent_until_s > now_s
            ),
            "",
        )

    def be_silent(self, duration_s: float, *, with_heartbeats: bool) -> None:
        """Send nothing for a time, and go on afterwards."""
        now_s = time.monotonic()
        if now_s < self.faults.silent_until_s:
            return
        self.are_heartbeats_silent = with_heartbeats
        self.faults.begin_silence(duration_s)
        self.silences.append((now_s, now_s + duration_s))


__all__ = ["Arrival", "LimitSpan", "Rejection", "SoakRunner"]

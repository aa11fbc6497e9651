"""A runner of a plain service, as the pages describe one."""

import asyncio
import itertools
import json
import time

import aiohttp
from aiohttp import web

HEARTBEAT_S = 1.2


class Runner:
    """Answers every request at once and records it."""

    def __init__(self, record, name, service, zone, controls, work_s=0.015):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.controls = list(controls)
        self.work_s = work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.counter = itertools.count(1)
        # Monotonic time, request id, path and tenant of every request that ran.
        self.ran = []
        self.task = None

    async def start(self):
        app = web.Application(client_max_size=8 << 20)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/-/report", self._report)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self.app_runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.app_runner.setup()
        site = web.TCPSite(self.app_runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self.app_runner.addresses[0][1]}"
        self.session = aiohttp.ClientSession()
        self.task = asyncio.create_task(self._send_heartbeats())

    async def stop(self):
        if self.task is not None:
            self.task.cancel()
        await self.session.close()
        await self.app_runner.cleanup()

    async def _health(self, request):
        return web.Response(headers={"Yuccareach-Runner-Id": self.name})

    async def _report(self, request):
        return web.json_response({"stage": "both", "models": [], "busy": False})

    async def _serve(self, request):
        request_id = request.headers.get("Yuccareach-Request-Id", "")
        echo = {"Yuccareach-Request-Id": request_id}
        if request.headers.get("Yuccareach-Target-Runner", self.name) != self.name:
            return web.Response(status=421, headers=echo)
        if not request_id:
            return web.Response(status=400, headers={"Yuccareach-Not-Executed": "1"})
        await request.read()
        tenant = request.headers.get("Yuccareach-Tenant", "")
        self.ran.append((time.monotonic(), request_id, request.path, tenant))
        self.record.write("ran", runner=self.name, request=request_id, path=request.path)
        await asyncio.sleep(self.work_s)
        signature = f"{self.name}.{request_id}"
        return web.Response(
            body=f"{self.name}:{request_id}".encode(),
            headers={**echo, "Yuccareach-Runner-Signature": signature},
        )

    def _heartbeat(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": next(self.counter),
            "born": self.born,
        }

    async def _call(self, path, body):
        """Send a call to one node after the other until one acknowledges it."""
        for address in self.controls:
            try:
                async with self.session.post(
                    f"http://{address}/-/runners/{self.name}/{path}",
                    json=body,
                    timeout=aiohttp.ClientTimeout(total=1.0),
                ) as answer:
                    if 200 <= answer.status < 300:
                        return address
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
        return None

    async def _send_heartbeats(self):
        while True:
            await self._call("heartbeat", self._heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self):
        """Report at once that this runner is draining; return who acknowledged it."""
        self.state = "draining"
        acknowledged = await self._call("heartbeat", self._heartbeat())
        self.record.write("draining_acknowledged", runner=self.name, by=acknowledged)
        return acknowledged

    async def deregister(self):
        """Stop the heartbeats and report the departure; return who acknowledged it."""
        self.task.cancel()
        acknowledged = await self._call("deregister", {"born": self.born})
        self.record.write("departure_acknowledged", runner=self.name, by=acknowledged)
        return acknowledged


__all__ = ["Runner", "json"]

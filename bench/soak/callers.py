"""Callers that keep their connections and remember every answer."""

from __future__ import annotations

import asyncio
import itertools
import time
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from bench.soak.deployment import FRONT_PORT
from bench.soak.documents import HOST, KEY, PASSING_KEY, TIMEOUT_MS

if TYPE_CHECKING:
    from bench.soak.deployment import Deployment

PATHS = ("/draft/1", "/pay/1", "/look/1")
EVENTS = (5, 60)
PAUSE_S = 0.05
# A caller waits for a little longer than it tells.
PATIENCE_S = TIMEOUT_MS / 1000 + 1
_PATIENCE = aiohttp.ClientTimeout(total=PATIENCE_S)


class Asked(NamedTuple):
    """One request, and what its caller got."""

    request: str
    path: str
    key: str
    gateway: int
    begun_s: float
    ended_s: float
    # 0 where the connection ended without an answer.
    status: int
    echoed: str
    retry_after: str
    body: bytes
    # Whether the answer ended as HTTP says that it does.
    whole: bool
    events: int


class Callers:
    """So many callers, each on a connection of its own to one gateway."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        count: int,
        events: tuple[int, int] = EVENTS,
    ) -> None:
        self.deployment = deployment
        # Least and most events of a stream.
        self.events = events
        self.random = Random(seed)
        self.count = count
        self.asked: list[Asked] = []
        self.numbers = itertools.count(1)
        self.stopping = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Ask one request after another until told to stop."""
        gateways = self.deployment.gateways
        self.tasks = [
            asyncio.create_task(self._call_on(number % gateways))
            for number in range(self.count)
        ]

    async def stop(self) -> None:
        """Let every caller have its last answer."""
        self.stopping = True
        tasks, self.tasks = self.tasks, []
        await asyncio.gather(*tasks)

    async def served(self) -> bool:
        """Return whether every gateway serves every kind of request now."""
        async with aiohttp.ClientSession(timeout=_PATIENCE) as http:
            answers = [
                await self.ask(http, gateway, path, events=self.events[0])
                for gateway in range(self.deployment.gateways)
                for path in PATHS
            ]
        return all(item.status == 200 and item.whole for item in answers)

    async def _call_on(self, gateway: int) -> None:
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(
            connector=connector, timeout=_PATIENCE
        ) as http:
            while not self.stopping:
                path = self.random.choice(PATHS)
                key = self.random.choice((KEY, KEY, KEY, PASSING_KEY))
                answer = await self.ask(http, gateway, path, key)
                # One that is refused at once comes back a little later.
                pause_s = PAUSE_S if answer.status == 200 else 4 * PAUSE_S
                await asyncio.sleep(pause_s * self.random.random())

    async def ask(
        self,
        http: aiohttp.ClientSession,
        gateway: int,
        path: str,
        key: str = KEY,
        events: int = 0,
    ) -> Asked:
        """Send one request, which is never sent again, and take its answer down."""
        request = f"{next(self.numbers):016x}"
        events = events or self.random.randint(*self.events)
        headers = {
            "Host": HOST,
            "Authorization": f"Token {key}",
            "Yuccareach-Request-Id": request,
            "Yuccareach-Deadline-Ms": str(TIMEOUT_MS),
            "Yuccareach-Token-Usage": f"100,{events}",
        }
        url = f"http://{self.deployment.address(gateway, FRONT_PORT)}{path}"
        begun_s = time.monotonic()
        status, echoed, retry_after, whole = 0, "", "", False
        body = b""
        try:
            # aiohttp repeats no POST by itself.
            async with http.post(url, headers=headers, data=request) as answer:
                status = answer.status
                echoed = answer.headers.get("Yuccareach-Request-Id", "")
                retry_after = answer.headers.get("Retry-After", "")
                async for chunk in answer.content.iter_any():
                    body += chunk
                whole = True
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        asked = Asked(
            request,
            path,
            key,
            gateway,
            begun_s,
            time.monotonic(),
            status,
            echoed,
            retry_after,
            body,
            whole,
            events,
        )
        self.asked.append(asked)
        return asked


__all__ = ["Asked", "Callers"]

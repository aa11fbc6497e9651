"""Callers that send requests over persistent connections and record every answer."""

from __future__ import annotations

import asyncio
import itertools
import time
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from bench.soak.deployment import FRONT_PORT
from bench.soak.documents import (
    CRASHING_PREFIX,
    HOST,
    KEY,
    TEMPORARY_KEY,
    TIMEOUT_MS,
    format_prompt_parts,
    make_prompt_parts,
)

if TYPE_CHECKING:
    from bench.soak.deployment import Deployment

PATHS = ("/draft/1", "/pay/1", "/look/1")
EVENT_COUNT_RANGE = (5, 60)
MAX_PAUSE_S = 0.05
# Body of a call that many callers send.
COMMON_BODY = b"common"
COMMON_SHARE = 0.3
RESEND_INTERVAL_S = 0.2
# A crashing request is sent again until this long after it crashed three servers.
RESEND_DURATION_S = 8.0
MAX_RESENDS = 75
# Requests with a crashing part, no two alike, are sent until this long after the part
# crashed five servers.
PART_INTERVAL_S = 0.1
PART_DURATION_S = 12.0
MAX_PART_DURATION_S = 20.0
PART_CRASHES = 5
# Callers give up longer answers.
MAX_BODY_BYTES = 32 * 2**20
# A caller waits 1 s longer than the deadline that it sends.
CALLER_TIMEOUT_S = TIMEOUT_MS / 1000 + 1
_CLIENT_TIMEOUT = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)


class RequestRecord(NamedTuple):
    """One request and what its caller received."""

    request: str
    path: str
    key: str
    gateway: int
    started_s: float
    ended_s: float
    # 0 where the connection ended without an answer.
    status: int
    echoed_request: str
    retry_after: str
    body: bytes
    # Whether the body ended as HTTP requires, not by a lost connection.
    is_complete: bool
    # Number of events that the request asked for; plain calls ignore it.
    events: int
    # The body that was sent, where it is not the request's id.
    sent_body: bytes = b""
    # When the head of the answer was received.
    answered_s: float = 0.0
    # The backend server that answered and said that it is leaving.
    leaving_runner: str = ""
    prompt_parts: tuple[str, ...] = ()


class Callers:
    """Concurrent callers, each with its own connection to one gateway."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        count: int,
        event_count_range: tuple[int, int] = EVENT_COUNT_RANGE,
    ) -> None:
        self.deployment = deployment
        # Minimum and maximum number of events in a stream.
        self.event_count_range = event_count_range
        self.random = Random(seed)
        self.count = count
        self.records: list[RequestRecord] = []
        # Requests with a crashing body, by that body, in the order of sending.
        self.crash_resends: dict[bytes, list[str]] = {}
        self.request_numbers = itertools.count(1)
        self.stopping = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start callers that send one request after another until stopped."""
        gateway_count = self.deployment.gateway_count
        self.tasks = [
            asyncio.create_task(self._send_repeatedly(number % gateway_count))
            for number in range(self.count)
        ]

    async def stop(self) -> None:
        """Stop sending and wait for the last answers."""
        self.stopping = True
        tasks, self.tasks = self.tasks, []
        await asyncio.gather(*tasks)

    async def is_service_available(self) -> bool:
        """Return whether every gateway answers every kind of request at present."""
        async with aiohttp.ClientSession(timeout=_CLIENT_TIMEOUT) as http:
            answers = [
                await self.send_request(
                    http, gateway, path, events=self.event_count_range[0]
                )
                for gateway in range(self.deployment.gateway_count)
                for path in PATHS
            ]
        return all(item.status == 200 and item.is_complete for item in answers)

    async def _send_repeatedly(self, gateway: int) -> None:
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(
            connector=connector, timeout=_CLIENT_TIMEOUT
        ) as http:
            while not self.stopping:
                path = self.random.choice(PATHS)
                key = self.random.choice((KEY, KEY, KEY, TEMPORARY_KEY))
                is_common = path == PATHS[2] and self.random.random() < COMMON_SHARE
                body = COMMON_BODY if is_common else b""
                answer = await self.send_request(http, gateway, path, key, body=body)
                # After a refusal, the caller pauses up to four times as long.
                pause_s = MAX_PAUSE_S if answer.status == 200 else 4 * MAX_PAUSE_S
                await asyncio.sleep(pause_s * self.random.random())

    async def send_crashing_request(self, number: int) -> None:
        """Send a request that crashes backend servers, again through every gateway."""
        body = CRASHING_PREFIX + str(number).encode()
        path = PATHS[number % len(PATHS)]
        resends = self.crash_resends[body] = []
        crash_times_s = self.deployment.group.crash_times_s
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession(timeout=_CLIENT_TIMEOUT) as http:
            for count in range(MAX_RESENDS):
                gateway = (number + count) % self.deployment.gateway_count
                answer = await self.send_request(http, gateway, path, body=body)
                resends.append(answer.request)
                await asyncio.sleep(RESEND_INTERVAL_S)
                if (
                    len(crash_times_s) >= 3
                    and loop.time() > crash_times_s[2] + RESEND_DURATION_S
                ):
                    return

    async def send_crashing_parts(self, position: int) -> None:
        """Send different requests with a crashing part through every gateway."""
        runners = self.deployment.runners
        started_s = time.monotonic()
        end_s = started_s + MAX_PART_DURATION_S
        tasks = []
        async with aiohttp.ClientSession(timeout=_CLIENT_TIMEOUT) as http:
            for count in itertools.count():
                crashes = sorted(
                    item.part_crash_s for item in runners if item.part_crash_s
                )
                if len(crashes) >= PART_CRASHES:
                    end_s = min(end_s, crashes[PART_CRASHES - 1] + PART_DURATION_S)
                if time.monotonic() > end_s:
                    break
                gateway = count % self.deployment.gateway_count
                sending = self.send_request(
                    http, gateway, PATHS[0], crashing_position=position
                )
                tasks.append(asyncio.create_task(sending))
                await asyncio.sleep(PART_INTERVAL_S)
            await asyncio.gather(*tasks)

    async def send_request(
        self,
        http: aiohttp.ClientSession,
        gateway: int,
        path: str,
        key: str = KEY,
        events: int = 0,
        body: bytes = b"",
        crashing_position: int | None = None,
    ) -> RequestRecord:
        """Send one request without retries, and record its answer.

        With no events given, their number is drawn at random. Without a body, the
        request's id is sent.
        """
        sent_body = body
        number = next(self.request_numbers)
        request = f"{number:016x}"
        prompt_parts = make_prompt_parts(number, crashing_position)
        events = events or self.random.randint(*self.event_count_range)
        headers = {
            "Host": HOST,
            "Authorization": f"Token {key}",
            "Yuccareach-Request-Id": request,
            "Yuccareach-Deadline-Ms": str(TIMEOUT_MS),
            "Yuccareach-Token-Usage": f"100,{events}",
            "Yuccareach-Prompt-Prefix": format_prompt_parts(prompt_parts),
        }
        url = f"http://{self.deployment.get_address(gateway, FRONT_PORT)}{path}"
        started_s = time.monotonic()
        status, echoed_request, retry_after, is_complete = 0, "", "", False
        answered_s, leaving_runner = 0.0, ""
        received = bytearray()
        try:
            # aiohttp does not retry a POST by itself.
            data = sent_body or request.encode()
            async with http.post(url, headers=headers, data=data) as answer:
                status, answered_s = answer.status, time.monotonic()
                if answer.headers.get("Server-Leaving") == "1":
                    signature = answer.headers.get("Yuccareach-Runner-Signature", "")
                    leaving_runner = signature.partition(".")[0]
                echoed_request = answer.headers.get("Yuccareach-Request-Id", "")
                retry_after = answer.headers.get("Retry-After", "")
                async for chunk in answer.content.iter_any():
                    received += chunk
                    if len(received) > MAX_BODY_BYTES:
                        break
                else:
                    is_complete = True
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        record = RequestRecord(
            request,
            path,
            key,
            gateway,
            started_s,
            time.monotonic(),
            status,
            echoed_request,
            retry_after,
            bytes(received),
            is_complete,
            events,
            sent_body,
            answered_s,
            leaving_runner,
            tuple(prompt_parts),
        )
        self.records.append(record)
        return record


__all__ = ["Callers", "RequestRecord"]

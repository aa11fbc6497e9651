"""Clients that try to exhaust the memory or the descriptors of real processes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import resource
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import yaml

from tests.platform.deployment import find_free_port
from tests.platform.examples import (
    HOST,
    KEY,
    PLAIN,
    build_document,
    build_settings,
)
from yuccareach.platform.standin import Group, Runner, put_document
from yuccareach.platform.standin_bytes import RawAnswer

if TYPE_CHECKING:
    from collections.abc import Iterator

# The smallest instance in use, and the part of its memory that a process may take.
MEMORY_MB = 152
MAX_PEAK_BYTES = MEMORY_MB * 1_000_000 * 6 // 10
MAX_FDS = 256
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1 << 20
# Longer than any test, so that only memory and descriptors end a connection.
CLIENT_TIMEOUT_MS = 120_000
WAIT_TIMEOUT_S = 30.0
# How long the peak has to stay the same before it is read.
SETTLED_S = 0.4
SEND_BLOCK_BYTES = 32 << 10
RECEIVE_BYTES = 4 << 10

HEAD = b"POST /look/1 HTTP/1.1\r\nHost: front.example\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Leaves room for the lines before it.
LINE_BYTES = MAX_HEADER_BYTES - 512

_log = logging.getLogger(__name__)


def build_short_lines() -> bytes:
    """Return a head of legal size that lacks its end, with very many lines."""
    return HEAD + b"a:\r\n" * (LINE_BYTES // 4)


def build_short_names() -> bytes:
    """Return a head of legal size that lacks its end, with names that all differ."""
    lines = b"".join(b"%x:\r\n" % number for number in range(256, 2_856))
    return HEAD + lines[:LINE_BYTES].rpartition(b"\r\n")[0] + b"\r\n"


def read_peak_bytes(pid: int) -> int:
    """Return the most memory that a process has used at any time so far."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ValueError(f"process {pid} has ended")


def count_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


class UntrustedClientTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts control, a gateway and a runner, the first two as processes."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.port_by_name = {
            name: find_free_port() for name in ("front", "ready", "control")
        }
        self.internal_ports = sorted((find_free_port(), find_free_port()))
        self.control_address = f"127.0.0.1:{self.port_by_name['control']}"
        self.writers: list[asyncio.StreamWriter] = []
        self.addCleanup(self.close_clients)
        self.control = self.start_process("control")
        self.gateway = self.start_process("gateway")
        await self.configure()
        self.runner = Runner(Group(80), "p0", PLAIN, "z1", "")
        await self.runner.start()
        self.addAsyncCleanup(self.runner.stop)
        heartbeats = asyncio.create_task(
            self.runner.send_heartbeats([self.control_address])
        )
        self.addCleanup(heartbeats.cancel)
        await self.check_served()

    def start_process(self, role: str) -> subprocess.Popen[bytes]:
        """Start a process that is killed at the end of the test."""
        content = build_settings(
            nodeId=role,
            listen={
                name: f"127.0.0.1:{port}" for name, port in self.port_by_name.items()
            },
            internalPorts=self.internal_ports,
            seeds=[self.control_address],
            dataDir=str(self.folder / role),
            heartbeatMs=200,
            faultTolerance={"machines": 0},
            limits={"memoryMb": MEMORY_MB, "maxFds": MAX_FDS},
            bounds={"revokeMs": 5_000, "budgetSlack": 200, "graceS": 8},
        )
        path = self.folder / f"{role}.yaml"
        path.write_text(yaml.safe_dump(content))
        log = (self.folder / f"{role}.log").open("wb")
        self.addCleanup(log.close)
        process = subprocess.Popen(
            [sys.executable, "-m", f"yuccareach.platform.run_{role}"],
            env={**os.environ, "YUCCAREACH_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    async def configure(self) -> None:
        document = build_document(
            limits={
                "maxHeaderBytes": MAX_HEADER_BYTES,
                "maxBodyBytes": MAX_BODY_BYTES,
                "headerTimeoutMs": CLIENT_TIMEOUT_MS,
                "idleTimeoutMs": CLIENT_TIMEOUT_MS,
            }
        )
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    if await put_document(self.control_address, document) == 200:
                        return
                await asyncio.sleep(0.05)

    # Ordinary clients.

    async def send_ordinary(self) -> int:
        """Send an ordinary request to the gateway; return its status, 0 without one."""
        headers = {
            "Host": HOST,
            "Yuccareach-Request-Id": "ordinary",
            "Yuccareach-Deadline-Ms": "4000",
            "Authorization": f"Token {KEY}",
        }
        url = f"http://127.0.0.1:{self.port_by_name['front']}/look/1"
        timeout = aiohttp.ClientTimeout(total=5)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.post(url, headers=headers, data=b"x") as answer:
                    await answer.read()
                    return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def fetch_document(self) -> int:
        """Send an operator's request to control; return its status, 0 without one."""
        url = f"http://{self.control_address}/-/config/get"
        timeout = aiohttp.ClientTimeout(total=5)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(url) as answer:
                    await answer.read()
                    return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def check_served(self) -> None:
        """Wait until an ordinary caller, who repeats refused requests, is answered."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while await self.send_ordinary() != 200:
                await asyncio.sleep(0.1)

    # Untrusted clients.

    async def send_from_clients(
        self, count: int, data: bytes, port: str = "front"
    ) -> None:
        """Let clients send the same bytes and hold their connections open.

        A client that is refused or closed stops.
        """
        await asyncio.gather(
            *(self._send(data, self.port_by_name[port]) for _ in range(count))
        )

    async def _send(self, data: bytes, port: int) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                client = socket.socket()
                # So that answers that are not read stay at the server.
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
                client.setblocking(False)
                await asyncio.get_running_loop().sock_connect(
                    client, ("127.0.0.1", port)
                )
                _, writer = await asyncio.open_connection(sock=client, limit=1)
                self.writers.append(writer)
                for block in split_blocks(data):
                    writer.write(block)
                    await writer.drain()

    def close_clients(self) -> None:
        for writer in self.writers:
            writer.transport.abort()

    async def read_settled_peak(self, process: subprocess.Popen[bytes]) -> int:
        """Return a process's peak memory once it has stopped to grow."""
        peak_bytes = -1
        while (new_peak_bytes := read_peak_bytes(process.pid)) != peak_bytes:
            peak_bytes = new_peak_bytes
            await asyncio.sleep(SETTLED_S)
        return peak_bytes

    async def check_process(self, process: subprocess.Popen[bytes]) -> None:
        """Check that a process lives within its memory and descriptors."""
        peak_bytes = await self.read_settled_peak(process)
        descriptors = count_descriptors(process.pid)
        _log.info("%s: peak %.1f MB, %d fds", self.id(), peak_bytes / 1e6, descriptors)
        self.assertIsNone(process.poll())
        self.assertLess(peak_bytes, MAX_PEAK_BYTES)
        self.assertLess(descriptors, MAX_FDS)

    async def check_gateway(self) -> None:
        """Check the gateway while the untrusted clients are still connected."""
        await self.check_served()
        await self.check_process(self.gateway)

    async def check_control(self) -> None:
        """Check control while the untrusted clients are still connected."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while await self.fetch_document() != 200:
                await asyncio.sleep(0.1)
        await self.check_process(self.control)


def split_blocks(data: bytes) -> Iterator[bytes]:
    for start in range(0, len(data), SEND_BLOCK_BYTES):
        yield data[start : start + SEND_BLOCK_BYTES]


class HeadTests(UntrustedClientTestCase):
    async def test_held_heads_of_short_lines(self) -> None:
        await self.send_from_clients(180, build_short_lines())
        await self.check_gateway()

    async def test_held_heads_of_different_short_names(self) -> None:
        await self.send_from_clients(180, build_short_names())
        await self.check_gateway()

    async def test_heads_without_an_end(self) -> None:
        await self.send_from_clients(40, HEAD + b"X: " + b"x" * (1 << 20))
        await self.check_gateway()

    async def test_empty_lines_without_an_end(self) -> None:
        await self.send_from_clients(40, b"\r\n" * (1 << 19))
        await self.check_gateway()

    async def test_held_heads_at_the_readiness_port(self) -> None:
        # The default limit on bodies applies there, not the configured one.
        await self.send_from_clients(180, build_short_lines(), "ready")
        await self.check_gateway()


class BodyTests(UntrustedClientTestCase):
    async def test_trailers_without_an_end(self) -> None:
        data = CHUNKED_HEAD + b"1\r\nx\r\n0\r\n"
        await self.send_from_clients(20, data + b"a:\r\n" * (64 << 10))
        await self.check_gateway()

    async def test_bodies_of_small_chunks(self) -> None:
        chunks = b"2\r\nxx\r\n" * (MAX_BODY_BYTES // 2 - 1)
        await self.send_from_clients(4, CHUNKED_HEAD + chunks)
        await self.check_gateway()

    async def test_incomplete_bodies_of_legal_size(self) -> None:
        head = HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        await self.send_from_clients(100, head + b"x" * (MAX_BODY_BYTES - 1))
        await self.check_gateway()

    async def test_incomplete_bodies_at_the_readiness_port(self) -> None:
        head = HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        await self.send_from_clients(100, head + b"x" * (MAX_BODY_BYTES - 1), "ready")
        await self.check_gateway()


class PipelineTests(UntrustedClientTestCase):
    async def test_pipelined_requests_of_short_lines(self) -> None:
        request = HEAD + b"a:\r\n" * 64 + b"Content-Length: 0\r\n\r\n"
        await self.send_from_clients(60, request * 800)
        await self.check_gateway()

    async def test_answers_that_are_not_read(self) -> None:
        # Each answer is far larger than the request for it.
        self.port_by_name["metrics"] = self.internal_ports[1]
        request = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
        await self.send_from_clients(80, request * 1_500, "metrics")
        await self.check_gateway()

    async def test_long_answers_that_are_not_read(self) -> None:
        # The runner answers with the body that it gets.
        head = HEAD + (
            b"Authorization: Token %b\r\nYuccareach-Request-Id: slow\r\n"
            b"Yuccareach-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n"
        ) % (KEY.encode(), MAX_BODY_BYTES)
        self.runner.slots = 1_000
        await self.send_from_clients(100, head + b"x" * MAX_BODY_BYTES)
        await self.check_gateway()


class DescriptorTests(UntrustedClientTestCase):
    async def test_silent_connections_up_to_the_limit_of_descriptors(self) -> None:
        await self.send_from_clients(2 * MAX_FDS, b"")
        await self.check_gateway()

    async def test_silent_connections_to_the_readiness_port(self) -> None:
        await self.send_from_clients(2 * MAX_FDS, b"", "ready")
        await self.check_gateway()

    async def test_silent_connections_to_control(self) -> None:
        await self.send_from_clients(2 * MAX_FDS, b"", "control")
        await self.check_control()


class ControlTests(UntrustedClientTestCase):
    async def test_held_heads_of_short_lines(self) -> None:
        await self.send_from_clients(120, HEAD + b"a:\r\n" * (15 << 10), "control")
        await self.check_control()

    async def test_trailers_without_an_end(self) -> None:
        head = b"POST /-/config/put HTTP/1.1\r\nHost: h\r\n"
        data = head + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        await self.send_from_clients(20, data + b"a:\r\n" * (64 << 10), "control")
        await self.check_control()

    async def test_bodies_without_an_end(self) -> None:
        head = b"POST /-/config/put HTTP/1.1\r\nHost: h\r\n"
        data = head + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"10000\r\n%b\r\n" % (b"x" * 0x10000)
        await self.send_from_clients(8, data + chunk * 256, "control")
        await self.check_control()

    async def test_pipelined_requests_of_short_lines(self) -> None:
        request = b"GET /none HTTP/1.1\r\nHost: h\r\n" + b"a:\r\n" * 64 + b"\r\n"
        await self.send_from_clients(60, request * 800, "control")
        await self.check_control()


class BackendTests(UntrustedClientTestCase):
    async def check_raw_answer(self, kind: RawAnswer) -> None:
        """Send requests that get a raw answer, then an ordinary one."""
        self.runner.faults.raw_answer = kind
        await asyncio.gather(*(self.send_ordinary() for _ in range(8)))
        self.runner.faults.raw_answer = None
        await self.check_gateway()

    async def test_head_of_short_lines(self) -> None:
        await self.check_raw_answer(RawAnswer.SHORT_HEADERS)

    async def test_trailers_of_short_lines(self) -> None:
        await self.check_raw_answer(RawAnswer.SHORT_TRAILERS)

    async def test_body_of_small_chunks(self) -> None:
        await self.check_raw_answer(RawAnswer.SMALL_CHUNKS)

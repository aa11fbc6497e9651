"""Tests of what a gateway records from the heads of servers' answers."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import build_backend
from yuccareach.gateway.http_client import ConnectionPool, call_backend
from yuccareach.gateway.server_notices import build_response_reader
from yuccareach.platform.headers import DIALECT

LEAVING = [(b"server-leaving", b"1")]


class NoticeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.gateway: Any = mock.Mock(dialect=DIALECT)
        self.gateway.now_ms = lambda: 1_000
        self.backend = build_backend("a", "z", "l4", 0, 80)
        self.read_response = build_response_reader(self.gateway, self.backend)

    def list_events(self) -> list[str]:
        return [call.args[0] for call in self.gateway.log.call_args_list]

    def test_answer_with_any_status_tells_that_its_server_is_leaving(self) -> None:
        for status in (200, 404, 409, 421, 500, 503):
            with self.subTest(status=status):
                backend = build_backend("a", "z", "l4", 0, 80)
                build_response_reader(self.gateway, backend)(status, LEAVING)
                self.assertTrue(backend.health.is_leaving)

    def test_departure_is_logged_once(self) -> None:
        for _ in range(3):
            self.read_response(200, LEAVING)
        self.assertEqual(self.list_events(), ["server_leaving"])

    def test_later_answer_without_the_notice_changes_nothing(self) -> None:
        self.read_response(200, LEAVING)
        self.read_response(200, [])
        self.assertTrue(self.backend.health.is_leaving)

    async def test_notice_counts_before_the_body_has_arrived(self) -> None:
        was_read = asyncio.Event()

        async def _serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n")
            writer.write(b"Yuccareach-Request-Id: other\r\n")
            writer.write(b"Content-Length: 2\r\n\r\n")
            await was_read.wait()
            writer.write(b"ok")
            writer.close()

        server = await asyncio.start_server(_serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        pool = ConnectionPool(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        self.addCleanup(pool.close)
        report = asyncio.create_task(
            call_backend(pool, b"GET", "/", b"", 5.0, read_response=self.read_response)
        )
        async with asyncio.timeout(5):
            while not self.backend.health.is_leaving:
                await asyncio.sleep(0.01)
        was_read.set()
        response = await report
        assert response is not None
        self.assertEqual(response.body, b"ok")

"""Tests of what a gateway records from the heads of servers' answers."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import build_backend
from yuccareach.gateway.dialect import Headers
from yuccareach.gateway.http_client import ConnectionPool, call_backend
from yuccareach.gateway.server_limits import ServerLimits
from yuccareach.gateway.server_notices import (
    MAX_LOGGED_CHARACTERS,
    build_response_reader,
)
from yuccareach.health.servers import get_limit_per_s, is_on_trial, record_request
from yuccareach.platform.headers import DIALECT

LEAVING = [(b"server-leaving", b"1")]
REFUSED = [(b"yuccareach-not-executed", b"1"), (b"retry-after", b"3")]
SIGNED = [(b"yuccareach-runner-signature", b"s")]


class NoticeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.gateway: Any = mock.Mock(dialect=DIALECT)
        self.gateway.now_ms = lambda: 1_000
        self.gateway.boot_ms = lambda: 1_000
        self.gateway.entry_count = 2
        self.gateway.server_limits = ServerLimits()
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

    def test_refusal_holds_for_the_server_that_answered(self) -> None:
        self.read_response(503, [*REFUSED, (b"at-server", b"1.1.1.1:1")])
        self.assertFalse(self.backend.accepts_requests(3.999))
        self.assertTrue(self.backend.accepts_requests(4.0))

    def test_own_failure_of_a_server_is_a_refusal_too(self) -> None:
        self.read_response(503, [*SIGNED, (b"retry-after", b"3")])
        self.assertFalse(self.backend.accepts_requests(3.999))

    def test_refusals_of_requests_in_flight_are_logged_once(self) -> None:
        for _ in range(3):
            self.read_response(503, REFUSED)
        self.assertEqual(self.list_events(), ["server_refuses"])

    def test_malformed_time_is_logged_and_changes_nothing(self) -> None:
        self.read_response(503, [(b"retry-after", b"x" * 5_000)])
        self.assertEqual(self.list_events(), ["retry_after_ignored"])
        value = self.gateway.log.call_args.kwargs["value"]
        self.assertEqual(len(value), MAX_LOGGED_CHARACTERS)
        self.assertTrue(self.backend.accepts_requests(1.0))

    def test_only_the_servers_own_answer_ends_a_trial(self) -> None:
        self.read_response(503, REFUSED)
        for headers, expected in (([], True), (SIGNED, False)):
            self.gateway.now_ms = lambda: 5_000
            record_request(self.backend.health, 5_000)
            self.read_response(200, headers)
            self.assertEqual(is_on_trial(self.backend.health, 5_001), expected)

    def test_limit_is_logged_when_it_is_stated_changed_and_over(self) -> None:
        for value in (b"3", b"3", b"2", b"2"):
            self.read_at(1_000, [*SIGNED, (b"server-limit", value)])
        self.read_at(1_000, SIGNED)
        self.read_at(1_000, SIGNED)
        self.assertEqual(
            self.list_events(), ["server_limit", "server_limit", "server_limit_ended"]
        )

    def test_malformed_limit_is_logged_once_and_does_not_avoid_the_server(self) -> None:
        for _ in range(3):
            self.read_at(1_000, [*SIGNED, (b"server-limit", b"-" * 5_000)])
        self.assertEqual(self.list_events(), ["server_limit_ignored"])
        value = self.gateway.log.call_args.kwargs["value"]
        self.assertEqual(len(value), MAX_LOGGED_CHARACTERS)
        self.assertIsNone(get_limit_per_s(self.backend.health))
        self.assertFalse(self.backend.is_avoided(1.0))

    def test_limit_in_a_late_answer_to_an_earlier_request_is_not_recorded(self) -> None:
        reader = build_response_reader(self.gateway, self.backend, b"r2")
        late = [*SIGNED, (b"yuccareach-request-id", b"r1"), (b"server-limit", b"1")]
        reader(200, late)
        self.assertIsNone(get_limit_per_s(self.backend.health))

    def read_at(self, now_ms: int, headers: Headers) -> None:
        """Read the answer to a request that was sent at the same time."""
        self.gateway.boot_ms = lambda: now_ms
        build_response_reader(self.gateway, self.backend)(200, headers)

    def test_report_without_a_limit_ends_that_of_a_later_stage_only(self) -> None:
        for first_layer, status, expected in (
            (0, 200, 2.0),
            (40, 200, None),
            (40, 503, 2.0),
        ):
            with self.subTest(first_layer=first_layer, status=status):
                backend = build_backend("a", "z", "l4", first_layer, 80)
                reader = build_response_reader(self.gateway, backend, is_report=True)
                reader(200, [(b"server-limit", b"2")])
                reader(status, [])
                self.assertEqual(get_limit_per_s(backend.health), expected)

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

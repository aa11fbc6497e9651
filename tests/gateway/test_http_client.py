"""Exchanges with backend servers that break the protocol or the connection."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

from yuccareach.gateway.http_client import ConnectionPool, Ending, Exchange
from yuccareach.platform.headers import DIALECT

REQUEST_ID_HEADER = b"Yuccareach-Request-Id: %b\r\n"
COMPLETE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\n" + REQUEST_ID_HEADER + b"Content-Length: 2\r\n\r\n%b"
)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.responses: list[bytes] = []
        self.close_after_response = False
        self.reset_after_response = False
        self.accepted_count = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.pool = ConnectionPool(f"127.0.0.1:{port}")
        self.addCleanup(self.server.close)
        self.addCleanup(self.pool.close)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted_count += 1
        while self.responses:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            writer.write(self.responses.pop(0))
            await writer.drain()
            if self.reset_after_response:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                break
            if self.close_after_response:
                break
        writer.close()

    async def exchange_request(
        self, request_id: bytes = b"r1"
    ) -> tuple[Ending, Exchange]:
        now_s = asyncio.get_running_loop().time()
        pooled = self.pool.take(now_s, 60)
        connection = pooled or await self.pool.connect()
        exchange = Exchange(request_id, DIALECT.read_response)
        connection.send(exchange, REQUEST)
        ending = await asyncio.wait_for(exchange.ended, 5)
        self.pool.release(connection)
        return ending, exchange

    async def test_connection_is_reused_after_a_complete_response(self) -> None:
        self.responses = [
            COMPLETE_RESPONSE % (b"r1", b"ok"),
            COMPLETE_RESPONSE % (b"r2", b"ok"),
        ]
        ending, exchange = await self.exchange_request(b"r1")
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(b"".join(exchange.body), b"ok")
        self.assertIs((await self.exchange_request(b"r2"))[0], Ending.COMPLETE)
        self.assertEqual(self.accepted_count, 1)

    async def test_late_response_to_an_earlier_request_is_discarded(self) -> None:
        self.responses = [
            COMPLETE_RESPONSE % (b"r0", b"no") + COMPLETE_RESPONSE % (b"r1", b"ok")
        ]
        ending, exchange = await self.exchange_request(b"r1")
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(b"".join(exchange.body), b"ok")

    async def test_connection_is_not_reused_after_a_second_response(self) -> None:
        self.responses = [
            COMPLETE_RESPONSE % (b"r1", b"ok") + COMPLETE_RESPONSE % (b"r1", b"no"),
            COMPLETE_RESPONSE % (b"r2", b"ok"),
        ]
        ending, exchange = await self.exchange_request(b"r1")
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(b"".join(exchange.body), b"ok")
        self.assertIs((await self.exchange_request(b"r2"))[0], Ending.COMPLETE)
        self.assertEqual(self.accepted_count, 2)

    async def test_bytes_that_are_not_http_are_malformed(self) -> None:
        self.responses = [b"\x00\x01 garbage\r\n\r\n"]
        self.assertIs((await self.exchange_request())[0], Ending.MALFORMED)

    async def test_truncated_response_is_broken(self) -> None:
        self.responses = [(COMPLETE_RESPONSE % (b"r1", b"ok"))[:-1]]
        self.close_after_response = True
        self.assertIs((await self.exchange_request())[0], Ending.BROKEN)

    async def test_response_without_a_length_ends_with_its_connection(self) -> None:
        response = b"HTTP/1.1 200 OK\r\n" + REQUEST_ID_HEADER % b"r1" + b"\r\nall"
        self.responses = [response]
        self.close_after_response = True
        ending, exchange = await self.exchange_request()
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(b"".join(exchange.body), b"all")

    async def test_response_without_a_length_is_broken_by_a_reset(self) -> None:
        self.responses = [
            b"HTTP/1.1 200 OK\r\n" + REQUEST_ID_HEADER % b"r1" + b"\r\nall"
        ]
        self.reset_after_response = True
        self.assertIs((await self.exchange_request())[0], Ending.BROKEN)

    async def test_closed_connection_is_not_reused(self) -> None:
        self.responses = [COMPLETE_RESPONSE % (b"r1", b"ok")]
        await self.exchange_request()
        await asyncio.sleep(0.05)
        now_s = asyncio.get_running_loop().time()
        self.assertIsNone(self.pool.take(now_s, 60))

    async def test_connection_is_not_reused_shortly_before_its_stated_timeout(
        self,
    ) -> None:
        head = (
            b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\n" + REQUEST_ID_HEADER % b"r1"
        )
        self.responses = [head + b"Content-Length: 0\r\n\r\n", b""]
        await self.exchange_request()
        now_s = asyncio.get_running_loop().time()
        self.assertIsNone(self.pool.take(now_s + 2.5, 60))

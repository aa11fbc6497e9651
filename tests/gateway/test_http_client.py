"""Exchanges with backend servers that misbehave."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

from yuccareach.gateway.http_client import ConnectionPool, Ending, Exchange
from yuccareach.platform.headers import DIALECT

ID = b"Yuccareach-Request-Id: %b\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\n" + ID + b"Content-Length: 2\r\n\r\n%b"
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answers: list[bytes] = []
        self.close_after = False
        self.reset_after = False
        self.accepted = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.pool = ConnectionPool(f"127.0.0.1:{port}")
        self.addCleanup(self.server.close)
        self.addCleanup(self.pool.close)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        while self.answers:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            writer.write(self.answers.pop(0))
            await writer.drain()
            if self.reset_after:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                break
            if self.close_after:
                break
        writer.close()

    async def ask(self, request_id: bytes = b"r1") -> tuple[Ending, Exchange]:
        now_s = asyncio.get_running_loop().time()
        pooled = self.pool.take(now_s, 60)
        connection = pooled or await self.pool.connect()
        exchange = Exchange(request_id, DIALECT.read_response)
        connection.send(exchange, REQUEST)
        ending = await asyncio.wait_for(exchange.ended, 5)
        self.pool.release(connection)
        return ending, exchange

    async def test_whole_answer_keeps_the_connection(self) -> None:
        self.answers = [WHOLE % (b"r1", b"ok"), WHOLE % (b"r2", b"ok")]
        ending, exchange = await self.ask(b"r1")
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(b"".join(exchange.body), b"ok")
        self.assertIs((await self.ask(b"r2"))[0], Ending.COMPLETE)
        self.assertEqual(self.accepted, 1)

    async def test_late_answer_to_another_request_is_passed_over(self) -> None:
        self.answers = [WHOLE % (b"r0", b"no") + WHOLE % (b"r1", b"ok")]
        ending, exchange = await self.ask(b"r1")
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(b"".join(exchange.body), b"ok")

    async def test_second_answer_spoils_the_connection(self) -> None:
        self.answers = [
            WHOLE % (b"r1", b"ok") + WHOLE % (b"r1", b"no"),
            WHOLE % (b"r2", b"ok"),
        ]
        ending, exchange = await self.ask(b"r1")
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(b"".join(exchange.body), b"ok")
        self.assertIs((await self.ask(b"r2"))[0], Ending.COMPLETE)
        self.assertEqual(self.accepted, 2)

    async def test_bytes_that_are_no_answer(self) -> None:
        self.answers = [b"\x00\x01 garbage\r\n\r\n"]
        self.assertIs((await self.ask())[0], Ending.MALFORMED)

    async def test_answer_cut_short_is_broken(self) -> None:
        self.answers = [(WHOLE % (b"r1", b"ok"))[:-1]]
        self.close_after = True
        self.assertIs((await self.ask())[0], Ending.BROKEN)

    async def test_answer_without_a_length_ends_with_its_connection(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\n" + ID % b"r1" + b"\r\nall"
        self.answers = [answer]
        self.close_after = True
        ending, exchange = await self.ask()
        self.assertIs(ending, Ending.COMPLETE)
        self.assertEqual(b"".join(exchange.body), b"all")

    async def test_answer_without_a_length_that_is_reset_is_not_whole(self) -> None:
        self.answers = [b"HTTP/1.1 200 OK\r\n" + ID % b"r1" + b"\r\nall"]
        self.reset_after = True
        self.assertIs((await self.ask())[0], Ending.BROKEN)

    async def test_connection_that_was_closed_is_not_used_again(self) -> None:
        self.answers = [WHOLE % (b"r1", b"ok")]
        await self.ask()
        await asyncio.sleep(0.05)
        now_s = asyncio.get_running_loop().time()
        self.assertIsNone(self.pool.take(now_s, 60))

    async def test_connection_is_left_before_its_stated_time_is_up(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\n" + ID % b"r1"
        self.answers = [head + b"Content-Length: 0\r\n\r\n", b""]
        await self.ask()
        now_s = asyncio.get_running_loop().time()
        self.assertIsNone(self.pool.take(now_s + 2.5, 60))

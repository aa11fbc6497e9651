"""Tests of a gateway's graceful shutdown."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from yuccareach.gateway import run
from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.gateway.http_server import CallerConnection, CallerRequest, Reply
from yuccareach.gateway.run import GatewayAddresses, GatewayProcess
from yuccareach.gateway.state import GatewaySettings

SETTINGS = GatewaySettings("g", "z", 5.0, RetryBudgetLimits(0.2, 10, 10), 8.0)
# Longer than the event loop takes from accepting a connection to registering it.
REGISTRATION_DELAY_S = 0.02
SERVICE_TIME_S = 0.3
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"


class DrainTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        addresses = GatewayAddresses("127.0.0.1:0", "127.0.0.1:0", "")
        self.process = GatewayProcess(SETTINGS, addresses, [], mock.Mock(), mock.Mock())
        self.server = self.process.caller_server
        self.transport = mock.Mock(
            is_closing=mock.Mock(return_value=False),
            get_write_buffer_size=mock.Mock(return_value=0),
        )

        async def _serve(request: CallerRequest, reply: Reply) -> None:
            self.process.gateway.active_requests += 1
            await asyncio.sleep(SERVICE_TIME_S)
            self.process.gateway.active_requests -= 1
            reply.send(200, [])

        self.server.handle = _serve

    def register_connection(self, data: bytes) -> CallerConnection:
        connection = CallerConnection(self.server)
        connection.connection_made(self.transport)
        if data:
            connection.data_received(data)
        return connection

    def get_written(self) -> bytes:
        calls: list[Any] = self.transport.write.call_args_list
        return b"".join(call.args[0] for call in calls)

    async def drain(self) -> None:
        with mock.patch.object(run, "ROTATION_EXIT_DELAY_S", 0.0):
            await self.process.drain()

    async def test_connection_registered_after_the_listener_closed_is_answered(
        self,
    ) -> None:
        # Guards against requests that ran and got no answer when their gateway shut
        # down: the connection had been accepted just before the listener closed.
        close_listeners = self.server.close_listeners

        def _close_and_register() -> None:
            close_listeners()
            asyncio.get_running_loop().call_later(
                REGISTRATION_DELAY_S, self.register_connection, REQUEST
            )

        with mock.patch.object(self.server, "close_listeners", _close_and_register):
            await self.drain()
        self.assertTrue(self.get_written().startswith(b"HTTP/1.1 200"))

    async def test_request_that_is_being_received_is_answered(self) -> None:
        connection = self.register_connection(REQUEST[:-1])
        asyncio.get_running_loop().call_later(0.2, connection.data_received, b"x")
        await self.drain()
        self.assertTrue(self.get_written().startswith(b"HTTP/1.1 200"))

    async def test_idle_connections_do_not_delay_the_shutdown(self) -> None:
        self.register_connection(b"")
        async with asyncio.timeout(2.0):
            await self.drain()
        self.transport.close.assert_called()

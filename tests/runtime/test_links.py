"""Tests of what the end of a link shows of the peer."""

from __future__ import annotations

import asyncio
import socket
import unittest
from typing import Any

from yuccareach.proto import data_pb2 as pb
from yuccareach.runtime.links import LinkLost, Links, Send


class LostLinkTests(unittest.IsolatedAsyncioTestCase):
    async def send_and_lose_link(self, address: str) -> LinkLost:
        """Send a message to an address, and return the event of the lost link."""
        lost: asyncio.Future[LinkLost] = asyncio.get_running_loop().create_future()

        def _dispatch(event: Any) -> None:
            if isinstance(event, LinkLost) and not lost.done():
                lost.set_result(event)

        links = Links("own", _dispatch, lambda: 0)
        self.addAsyncCleanup(links.close)
        links.send(Send(address, pb.Probe()))
        async with asyncio.timeout(10):
            return await lost

    async def test_address_where_nothing_listens_refuses(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            self.assertEqual(
                await self.send_and_lose_link(address), LinkLost(address, refused=True)
            )

    async def test_peer_that_closes_the_connection_does_not_refuse(self) -> None:
        async def _close(reader: Any, writer: asyncio.StreamWriter) -> None:
            writer.close()

        server = await asyncio.start_server(_close, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.assertEqual(
            await self.send_and_lose_link(address), LinkLost(address, refused=False)
        )

"""Telling a lost stage from a process that is held up itself."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import backend
from yuccareach.gateway import probes
from yuccareach.gateway.chains import Chain, Part


class FindLostTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.backend = backend("a", "z", "l4", 0, 80)
        self.chain = Chain((Part(self.backend, 0, 80),), 1.0)
        loop_time = time.monotonic
        self.gateway: Any = mock.Mock()
        self.gateway.now = loop_time
        self.gateway.fleet.version = 1

    async def find(self, connect: Any) -> list[Any]:
        with mock.patch.object(self.backend.pool, "connect", connect):
            return await probes.find_lost(self.gateway, self.chain)

    async def test_server_that_refuses_is_lost(self) -> None:
        connect = mock.AsyncMock(side_effect=ConnectionRefusedError)
        self.assertEqual(await self.find(connect), [self.backend])

    async def test_server_that_stays_silent_is_lost(self) -> None:
        async def _silent() -> None:
            await asyncio.sleep(10)

        # Whatever else the machine does meanwhile.
        with mock.patch.object(probes, "OWN_DELAY_S", float("inf")):
            self.assertEqual(await self.find(_silent), [self.backend])

    async def test_silence_while_this_process_is_held_up_says_nothing(self) -> None:
        # Found by running the tests beside load: a process without processor time took
        # every stage for lost, one after the other, and broke its streams off.
        async def _held_up() -> None:
            asyncio.get_running_loop().call_soon(
                time.sleep, probes.CONNECT_TIMEOUT_S + 5 * probes.OWN_DELAY_S
            )
            await asyncio.sleep(10)

        self.assertEqual(await self.find(_held_up), [])

    async def test_stage_probed_lately_is_left_alone(self) -> None:
        connect = mock.AsyncMock(side_effect=ConnectionRefusedError)
        await self.find(connect)
        self.assertEqual(await self.find(connect), [])


class ProbeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.backend = backend("a", "z", "l4", 0, 80)
        self.gateway: Any = mock.Mock()
        self.gateway.now = time.monotonic
        self.gateway.fleet.version = 1

    async def probe(self, connect: Any) -> None:
        self.backend.probed_s = -1.0
        with mock.patch.object(self.backend.pool, "connect", connect):
            await probes.probe(self.gateway, [self.backend])

    async def test_server_that_refuses_is_unreachable_until_it_connects(self) -> None:
        await self.probe(mock.AsyncMock(side_effect=ConnectionRefusedError))
        later_s = time.monotonic() + 3600
        self.assertTrue(self.backend.unreachable(later_s))
        self.assertTrue(self.backend.avoided(later_s))
        with mock.patch.object(self.backend.pool, "add_unused"):
            await self.probe(mock.AsyncMock())
        self.assertFalse(self.backend.unreachable(time.monotonic()))
        self.assertFalse(self.backend.avoided(time.monotonic()))

    async def test_doubt_is_no_sign_that_a_server_is_back(self) -> None:
        # Found in a day of the bench: entries without processor time took a dark server
        # for regained and lost by turns, and sent it requests each time.
        await self.probe(mock.AsyncMock(side_effect=ConnectionRefusedError))

        async def _held_up() -> None:
            asyncio.get_running_loop().call_soon(
                time.sleep, probes.CONNECT_TIMEOUT_S + 5 * probes.OWN_DELAY_S
            )
            await asyncio.sleep(10)

        await self.probe(_held_up)
        self.assertTrue(self.backend.unreachable(time.monotonic()))

    async def test_server_that_connects_stays_avoided_for_what_else_it_did(
        self,
    ) -> None:
        self.backend.failed(time.monotonic())
        with mock.patch.object(self.backend.pool, "add_unused"):
            await self.probe(mock.AsyncMock())
        self.assertTrue(self.backend.avoided(time.monotonic()))

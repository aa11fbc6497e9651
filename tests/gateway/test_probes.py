"""Tests that probes distinguish a lost backend server from a delay of this process."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import build_backend
from yuccareach.gateway import probes
from yuccareach.gateway.chains import Chain, ChainStage
from yuccareach.gateway.server_limits import ServerLimits
from yuccareach.quarantine.table import QuarantineTable


class FindLostTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.backend = build_backend("a", "z", "l4", 0, 80)
        self.chain = Chain((ChainStage(self.backend, 0, 80),), 1.0)
        loop_time = time.monotonic
        self.gateway: Any = mock.Mock()
        self.gateway.now = loop_time
        self.gateway.fleet.version = 1
        self.gateway.quarantine = QuarantineTable()
        self.gateway.now_ms = self.gateway.boot_ms = lambda: 0
        self.gateway.server_limits = ServerLimits()

    async def find_lost(self, connect: Any) -> list[Any]:
        with mock.patch.object(self.backend.pool, "connect", connect):
            return await probes.find_lost_backends(self.gateway, self.chain)

    async def test_server_that_refuses_connections_is_lost(self) -> None:
        connect = mock.AsyncMock(side_effect=ConnectionRefusedError)
        self.assertEqual(await self.find_lost(connect), [self.backend])

    async def test_server_that_does_not_answer_is_lost(self) -> None:
        async def _never_answer() -> None:
            await asyncio.sleep(10)

        # Without this, a busy machine would make the probe's result unknown.
        with mock.patch.object(probes, "TIMER_DELAY_THRESHOLD_S", float("inf")):
            self.assertEqual(await self.find_lost(_never_answer), [self.backend])

    async def test_time_out_while_this_process_is_delayed_gives_no_result(self) -> None:
        # Guards against false losses: an entry without processor time took one stage
        # after another for lost and interrupted its streams.
        async def _delay_process() -> None:
            asyncio.get_running_loop().call_soon(
                time.sleep,
                probes.CONNECT_TIMEOUT_S + 5 * probes.TIMER_DELAY_THRESHOLD_S,
            )
            await asyncio.sleep(10)

        self.assertEqual(await self.find_lost(_delay_process), [])

    async def test_refusal_after_a_delay_of_this_process_is_a_loss(self) -> None:
        # Guards against a crashed stage that stayed in its chains: its refusal came
        # while this process was delayed, and the probe was not repeated.
        attempts = 0

        async def _delay_process_once() -> None:
            nonlocal attempts
            attempts += 1
            if attempts > 1:
                raise ConnectionRefusedError
            asyncio.get_running_loop().call_soon(
                time.sleep,
                probes.CONNECT_TIMEOUT_S + 5 * probes.TIMER_DELAY_THRESHOLD_S,
            )
            await asyncio.sleep(10)

        self.assertEqual(await self.find_lost(_delay_process_once), [self.backend])

    async def test_recently_probed_stage_is_not_probed_again(self) -> None:
        connect = mock.AsyncMock(side_effect=ConnectionRefusedError)
        await self.find_lost(connect)
        self.assertEqual(await self.find_lost(connect), [])


class ProbeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.backend = build_backend("a", "z", "l4", 0, 80)
        self.gateway: Any = mock.Mock()
        self.gateway.now = time.monotonic
        self.gateway.fleet.version = 1
        self.gateway.quarantine = QuarantineTable()
        self.gateway.now_ms = self.gateway.boot_ms = lambda: 0
        self.gateway.server_limits = ServerLimits()

    async def probe_backend(self, connect: Any) -> None:
        self.backend.last_probe_s = -1.0
        with mock.patch.object(self.backend.pool, "connect", connect):
            await probes.probe_backends(self.gateway, [self.backend])

    async def test_server_that_refuses_is_unreachable_until_a_connection_succeeds(
        self,
    ) -> None:
        await self.probe_backend(mock.AsyncMock(side_effect=ConnectionRefusedError))
        later_s = time.monotonic() + 3600
        self.assertTrue(self.backend.is_unreachable(later_s))
        self.assertTrue(self.backend.is_avoided(later_s))
        with mock.patch.object(self.backend.pool, "add_unused"):
            await self.probe_backend(mock.AsyncMock())
        self.assertFalse(self.backend.is_unreachable(time.monotonic()))
        self.assertFalse(self.backend.is_avoided(time.monotonic()))

    async def test_unknown_result_does_not_make_a_server_reachable(self) -> None:
        # Guards against flapping: entries without processor time took a server that
        # accepted no connections for reachable and lost by turns, and sent it requests
        # each time.
        await self.probe_backend(mock.AsyncMock(side_effect=ConnectionRefusedError))

        async def _delay_process() -> None:
            asyncio.get_running_loop().call_soon(
                time.sleep,
                probes.CONNECT_TIMEOUT_S + 5 * probes.TIMER_DELAY_THRESHOLD_S,
            )
            await asyncio.sleep(10)

        await self.probe_backend(_delay_process)
        self.assertTrue(self.backend.is_unreachable(time.monotonic()))

    async def test_successful_probe_does_not_clear_other_failures(self) -> None:
        self.backend.record_failure(time.monotonic())
        with mock.patch.object(self.backend.pool, "add_unused"):
            await self.probe_backend(mock.AsyncMock())
        self.assertTrue(self.backend.is_avoided(time.monotonic()))

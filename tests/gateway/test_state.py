"""Tests of the state that all requests of one gateway share."""

from __future__ import annotations

import unittest
from unittest import mock

from tests.gateway.fleet import MODEL, build_two_zones
from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.gateway.state import Gateway, GatewaySettings
from yuccareach.gateway.table import Service
from yuccareach.health.servers import Silence, record_silence
from yuccareach.platform.headers import DIALECT


class GraphTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        settings = GatewaySettings(
            "g", "z1", 5.0, RetryBudgetLimits(0.2, 10.0, 20), 8.0
        )
        self.gateway = Gateway(settings, DIALECT)
        self.gateway.table = mock.Mock(version=1)
        self.service = Service("s", 100, MODEL)
        self.gateway.fleet.update([item.announcement for item in build_two_zones()], [])

    def list_names(self) -> set[str]:
        graph = self.gateway.get_graph(self.service)
        return {item.name for items in graph.backends_by_boundary for item in items}

    async def test_silent_server_is_left_out_once_it_accepts_no_connection_either(
        self,
    ) -> None:
        now_ms = int(self.gateway.now() * 1000)
        backend = self.gateway.fleet.backend_by_name["a2"]
        record_silence(backend.health, now_ms)
        self.assertIn("a2", self.list_names())
        record_silence(backend.health, now_ms, Silence.CONNECTION)
        self.assertNotIn("a2", self.list_names())
        backend.record_connect_success()
        self.assertIn("a2", self.list_names())

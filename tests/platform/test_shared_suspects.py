"""Tests of servers that have gone dark, which one gateway finds and others hear of."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from tests.platform.deployment import DeploymentTestCase, read_event_ids
from yuccareach.gateway.probes import probe_backend
from yuccareach.gateway.run import GatewayProcess
from yuccareach.health.servers import PRESUMED_LOST_SILENCE_MS

# The other gateways hear of it well before the server's layers are loaded elsewhere.
MAX_NOTICE_S = PRESUMED_LOST_SILENCE_MS / 2 / 1000
EVENTS = 5
# The route's objective for the first event.
OBJECTIVE_S = 0.5
GATEWAYS = 8


class DarkServerTests(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.runners = [*await self.add_pipeline("z1"), *await self.add_pipeline("z2")]
        for runner in self.runners:
            runner.event_interval_s = 0.005
        names = [runner.name for runner in self.runners]
        added = [await self.add_gateway(f"other-{n}") for n in range(GATEWAYS - 1)]
        self.gateways = [self.gateway, *added]
        for gateway in self.gateways:
            await self.wait_until_known(*names, gateway=gateway)

    def darken(self, name: str) -> None:
        """Let nothing reach a server any more, from any gateway, without a reset."""
        runner = next(item for item in self.runners if item.name == name)
        runner.faults.begin_silence(60)
        # Streams over it stall.
        del self.group.runner_by_address[runner.address]

        async def _hang() -> Any:
            await asyncio.sleep(60)

        for gateway in self.gateways:
            backend = gateway.gateway.fleet.backend_by_name[name]
            backend.pool.close()
            self.enterContext(mock.patch.object(backend.pool, "connect", _hang))

    def count_unaware(self, name: str) -> int:
        return sum(
            gateway.gateway.fleet.backend_by_name[name].is_connectable
            for gateway in self.gateways
        )

    async def stream(self, gateway: GatewayProcess, request: str) -> float:
        """Return the time to the first event of a complete stream."""
        started_s = asyncio.get_running_loop().time()
        first_s: list[float] = []

        async def _record(body: bytes) -> None:
            first_s.append(asyncio.get_running_loop().time() - started_s)

        answer = await self.send_request(
            "/draft/1", request, events=EVENTS, on_event=_record, gateway=gateway
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(read_event_ids(answer), list(range(1, EVENTS + 1)))
        return first_s[0]

    async def test_each_gateway_lost_streams_to_a_server_that_others_knew_as_dark(
        self,
    ) -> None:
        self.darken("z1-2")
        gateway = self.gateway.gateway
        await probe_backend(gateway, gateway.fleet.backend_by_name["z1-2"])
        self.assertEqual(self.count_unaware("z1-2"), GATEWAYS - 1)
        async with asyncio.timeout(MAX_NOTICE_S):
            while self.count_unaware("z1-2"):
                await asyncio.sleep(0.01)
        delays_s = await asyncio.gather(
            *(
                self.stream(item, f"r{number}")
                for number, item in enumerate(self.gateways)
            )
        )
        self.assertLess(max(delays_s), OBJECTIVE_S)

    async def test_server_that_one_gateway_cannot_reach_stays_in_use_at_others(
        self,
    ) -> None:
        gateway = self.gateway.gateway
        backend = gateway.fleet.backend_by_name["z1-2"]

        async def _hang() -> Any:
            await asyncio.sleep(60)

        with mock.patch.object(backend.pool, "connect", _hang):
            await probe_backend(gateway, backend)
            await asyncio.sleep(MAX_NOTICE_S)
            self.assertEqual(self.count_unaware("z1-2"), GATEWAYS - 1)

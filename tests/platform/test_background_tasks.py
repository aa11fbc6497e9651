"""Tests of the loops that a gateway runs beside its requests."""

from __future__ import annotations

from unittest import mock

from tests.platform.deployment import DeploymentTestCase


class UnexpectedErrorTests(DeploymentTestCase):
    async def test_gateway_follows_control_after_a_view_that_it_failed_to_apply(
        self,
    ) -> None:
        fleet = self.gateway.gateway.fleet
        update = fleet.update
        with mock.patch.object(fleet, "update", side_effect=[KeyError("x")]) as failing:
            await self.wait_until(lambda: failing.called)
        fleet.update = update  # type: ignore[method-assign]
        await self.add_runner("p0")
        await self.wait_until_known("p0")
        answer = await self.send_request("/look/1", "r1")
        self.assertEqual(answer.status, 200)

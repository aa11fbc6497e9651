"""Tests of when a gateway asks whether the limit of a later stage still holds."""

from __future__ import annotations

from tests.gateway.fleet import build_backend
from tests.gateway.test_server_limits import ServerLimitsTestCase
from yuccareach.gateway.backends import Backend
from yuccareach.gateway.limit_rechecks import REPORT_SPACING_S, is_recheck_due
from yuccareach.gateway.server_limits import DEMAND_RETENTION_MS, record_miss


class RecheckTests(ServerLimitsTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.later = self.add_stage("later", 40)

    def add_stage(self, name: str, first_layer: int) -> Backend:
        announcement = build_backend(name, "z", "l4", first_layer, 80).announcement
        self.gateway.fleet.update([announcement], [])
        backend: Backend = self.gateway.fleet.backend_by_name[name]
        return backend

    def is_due(self, backend: Backend) -> bool:
        return is_recheck_due(self.gateway, backend)

    def test_limited_later_stage_that_lacks_grants_is_asked(self) -> None:
        self.limit(self.later)
        record_miss(self.gateway, self.later, 1)
        self.assertTrue(self.is_due(self.later))

    def test_first_stage_states_its_limit_in_its_answers(self) -> None:
        first = self.add_stage("first", 0)
        self.limit(first)
        record_miss(self.gateway, first, 1)
        self.assertFalse(self.is_due(first))

    def test_limit_without_demand_or_that_is_over_is_not_asked_for(self) -> None:
        self.limit(self.later)
        self.assertFalse(self.is_due(self.later))
        record_miss(self.gateway, self.later, 1)
        self.now_ms += DEMAND_RETENTION_MS
        self.assertFalse(self.is_due(self.later))
        record_miss(self.gateway, self.later, 1)
        self.now_ms += 1
        self.limit(self.later, None)
        self.assertFalse(self.is_due(self.later))

    def test_reports_are_spaced_over_all_gateways(self) -> None:
        self.limit(self.later)
        for gateways in (2, 40):
            with self.subTest(gateways=gateways):
                self.gateway.entry_count = gateways
                self.later.last_limit_recheck_s = self.now_ms / 1000
                interval_ms = int(1000 * gateways * REPORT_SPACING_S)
                self.now_ms += interval_ms - 1
                record_miss(self.gateway, self.later, 1)
                self.assertFalse(self.is_due(self.later))
                self.now_ms += 1
                self.assertTrue(self.is_due(self.later))

"""Tests of what a gateway may send to limited backend servers."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import build_backend
from yuccareach.gateway import server_limits
from yuccareach.gateway.admission import AdmissionQueue
from yuccareach.gateway.backends import Backend, Fleet
from yuccareach.gateway.server_limits import (
    MAX_RETRY_DELAY_S,
    MAX_SEND_DELAY_MS,
    ServerLimits,
)
from yuccareach.gateway.table import Service
from yuccareach.health.servers import StatedLimit, get_limit_per_s, record_leaving
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quota.limits import GRANT_LIFETIME_MS

SERVICE = Service("s", 10, None)


class ServerLimitsTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.now_ms = 100_000
        self.gateway: Any = mock.Mock(
            fleet=Fleet(), server_limits=ServerLimits(), entry_count=2
        )
        self.gateway.boot_ms = lambda: self.now_ms
        self.gateway.now = lambda: self.now_ms / 1000
        self.one, self.other = self.add_backend("a"), self.add_backend("b")

    def add_backend(self, name: str) -> Backend:
        announcement = build_backend(name, "z", "", 0, 0).announcement
        self.gateway.fleet.update([announcement], [])
        return self.gateway.fleet.backend_by_name[name]

    def limit(self, backend: Backend, limit_per_s: float | None = 2.0) -> None:
        stated = StatedLimit(limit_per_s, self.now_ms, self.now_ms)
        server_limits.apply_stated_limit(self.gateway, backend, stated)

    def apply_view(self, *notices: cpb.LimitNotice, **fields: Any) -> None:
        values = {"source": "c", "limits_term": 1, "grants_limits": True, **fields}
        view = cpb.View(limits=notices, **values)
        server_limits.apply_view(self.gateway, view, self.now_ms)

    def grant(self, backend: Backend, count: int, limit_per_s: float = 2.0) -> None:
        self.apply_view(
            cpb.LimitNotice(
                incarnation=backend.announcement.incarnation,
                limited=True,
                limit_per_s=limit_per_s,
                granted=count,
            )
        )

    def reserve(self, *backends: Backend) -> server_limits.Reservation | None:
        return server_limits.reserve_requests(self.gateway, backends)

    def report(self) -> list[cpb.LimitReport]:
        return server_limits.build_reports(self.gateway)


class ReservationTests(ServerLimitsTestCase):
    def test_server_without_a_limit_needs_no_grant(self) -> None:
        self.assertIsNotNone(self.reserve(self.one, self.other))

    def test_limited_server_without_a_grant_is_sent_nothing(self) -> None:
        self.limit(self.one)
        self.apply_view()
        self.assertIsNone(self.reserve(self.one))
        self.assertFalse(server_limits.may_send(self.gateway, self.one))

    def test_chain_takes_a_grant_at_each_stage_or_none(self) -> None:
        self.limit(self.one)
        self.limit(self.other)
        self.grant(self.one, 1)
        self.assertIsNone(self.reserve(self.one, self.other))
        self.assertIsNotNone(self.reserve(self.one))

    def test_reservation_that_is_cancelled_can_be_made_again(self) -> None:
        self.limit(self.one)
        self.grant(self.one, 1)
        reservation = self.reserve(self.one)
        assert reservation is not None
        self.assertIsNone(self.reserve(self.one))
        server_limits.cancel_reservation(reservation)
        self.assertIsNotNone(self.reserve(self.one))

    def test_paused_process_does_not_send_by_a_reservation_made_before(self) -> None:
        self.limit(self.one)
        self.grant(self.one, 2)
        reservation = self.reserve(self.one)
        assert reservation is not None
        renew = server_limits.renew_reservation
        self.assertIs(renew(self.gateway, reservation), reservation)
        self.now_ms += MAX_SEND_DELAY_MS + 1
        self.assertIsNotNone(renew(self.gateway, reservation))
        self.now_ms += GRANT_LIFETIME_MS
        self.assertIsNone(renew(self.gateway, reservation))

    def test_detour_takes_grants_of_new_stages_only(self) -> None:
        self.limit(self.one)
        self.limit(self.other)
        self.grant(self.other, 1)
        current = mock.Mock(stages=[mock.Mock(backend=self.one)])
        detour = mock.Mock(
            stages=[mock.Mock(backend=self.one), mock.Mock(backend=self.other)]
        )
        reserve = server_limits.reserve_new_stages
        self.assertTrue(reserve(self.gateway, current, detour))
        self.assertFalse(reserve(self.gateway, current, detour))


class ControlTests(ServerLimitsTestCase):
    def test_limit_is_reported_until_control_knows_it(self) -> None:
        self.limit(self.one)
        self.apply_view()
        for _ in range(2):
            (report,) = self.report()
            self.assertEqual((report.limited, report.limit_per_s), (True, 2.0))
        self.grant(self.one, 0)
        self.assertEqual(self.report(), [])

    def test_new_leader_is_told_all_limits(self) -> None:
        self.limit(self.one)
        self.grant(self.one, 0)
        for fields in ({"limits_term": 2}, {"source": "d"}):
            self.apply_view(**fields)
            self.assertEqual(len(self.report()), 1)
            self.grant(self.one, 0)

    def test_limit_that_another_gateway_has_read_holds_here(self) -> None:
        self.grant(self.one, 1)
        self.assertEqual(get_limit_per_s(self.one.health), 2.0)
        self.assertIsNotNone(self.reserve(self.one))
        self.assertIsNone(self.reserve(self.one))

    def test_leader_of_an_earlier_version_leaves_a_share_of_its_own(self) -> None:
        self.limit(self.one, 8.0)
        self.apply_view(grants_limits=False)
        self.assertFalse(server_limits.may_send(self.gateway, self.one))
        self.now_ms += 1_000
        self.assertTrue(server_limits.may_send(self.gateway, self.one))

    def test_members_that_have_departed_leave_no_state(self) -> None:
        self.limit(self.one)
        self.grant(self.one, 1)
        self.gateway.fleet.update([], ["a"])
        self.report()
        state = self.gateway.server_limits
        self.assertEqual(state.holding_by_incarnation, {})
        self.assertEqual(state.known_by_incarnation, {})


class ReturnTests(ServerLimitsTestCase):
    def plan(self, queue: AdmissionQueue[Any] | None = None) -> float:
        return server_limits.plan_return_s(
            self.gateway, SERVICE, queue or AdmissionQueue()
        )

    def test_service_with_an_unlimited_server_holds_nobody_back(self) -> None:
        self.limit(self.one)
        self.assertEqual(self.plan(), 0.0)

    def test_refused_requests_return_one_after_the_other(self) -> None:
        self.limit(self.one)
        self.limit(self.other)
        delays_s = [round(self.plan(), 3) for _ in range(4)]
        # Four requests a second, of which this gateway has half.
        self.assertEqual(delays_s, [0.2, 0.7, 1.2, 1.7])

    def test_no_delay_is_longer_than_the_maximum(self) -> None:
        self.limit(self.one, 0.1)
        self.limit(self.other, 0.0)
        for _ in range(5):
            self.assertLessEqual(self.plan(), MAX_RETRY_DELAY_S)

    def test_servers_that_take_nothing_delay_for_the_maximum(self) -> None:
        self.limit(self.one, 0.0)
        self.limit(self.other, 0.0)
        self.assertEqual(self.plan(), MAX_RETRY_DELAY_S)

    def test_leaving_server_adds_no_room(self) -> None:
        self.limit(self.one)
        record_leaving(self.other.health)
        self.assertGreater(self.plan(), 0.0)

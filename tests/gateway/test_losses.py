"""Tests of which failed attempts count as losses of backend servers."""

from __future__ import annotations

import time
import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import build_backend
from yuccareach.gateway.backends import Fleet
from yuccareach.gateway.losses import (
    add_pending_losses,
    admit,
    confirm_crash,
    resolve_pending_losses,
)
from yuccareach.gateway.server_limits import ServerLimits
from yuccareach.health.servers import record_leaving
from yuccareach.quarantine.counts import (
    NO_LOSSES,
    PROVISIONAL_QUARANTINE_MS,
    QUARANTINE_LOSS_THRESHOLD,
    QUARANTINE_MS,
    LossCount,
)
from yuccareach.quarantine.table import (
    QuarantineTable,
    TrackedAttempt,
    get_count,
    merge_count,
)

ATTEMPT = TrackedAttempt(b"f", NO_LOSSES, "r1", "w")


class PendingLossTests(unittest.TestCase):
    def setUp(self) -> None:
        self.gateway: Any = mock.Mock()
        self.gateway.now = time.monotonic
        self.gateway.now_ms = self.gateway.boot_ms = lambda: 0
        self.gateway.server_limits = ServerLimits()
        self.gateway.quarantine = QuarantineTable()
        self.gateway.fleet = Fleet()
        self.announcement = build_backend("a", "z", "l4", 0, 80).announcement
        self.gateway.fleet.update([self.announcement], [])
        self.backend = self.gateway.fleet.backend_by_name["a"]

    def count_losses(self) -> int:
        return get_count(self.gateway.quarantine, b"f", 0).losses

    def test_departure_alone_does_not_count(self) -> None:
        # Guards against requests accused by late heartbeats: a sound server departed
        # for want of them after an attempt there had timed out.
        add_pending_losses(self.gateway, ATTEMPT, [self.backend])
        self.gateway.fleet.update([], ["a"])
        resolve_pending_losses(self.gateway)
        self.assertEqual(self.count_losses(), 0)

    def test_departed_server_counts_once_it_refuses_connections(self) -> None:
        add_pending_losses(self.gateway, ATTEMPT, [self.backend])
        self.gateway.fleet.update([], ["a"])
        resolve_pending_losses(self.gateway)
        confirm_crash(self.gateway, self.backend)
        self.assertEqual(self.count_losses(), 1)

    def test_departed_server_counts_once_its_later_incarnation_is_known(self) -> None:
        for name in ("a", "b"):
            with self.subTest(name):
                self.setUp()
                add_pending_losses(self.gateway, ATTEMPT, [self.backend])
                self.gateway.fleet.update([], ["a"])
                resolve_pending_losses(self.gateway)
                reborn = self.announcement._replace(name=name, incarnation=f"{name}@2")
                self.gateway.fleet.update([reborn], [])
                resolve_pending_losses(self.gateway)
                self.assertEqual(self.count_losses(), 1)

    def test_server_that_returns_after_late_heartbeats_does_not_count(self) -> None:
        add_pending_losses(self.gateway, ATTEMPT, [self.backend])
        self.gateway.fleet.update([], ["a"])
        self.gateway.fleet.update([self.announcement], [])
        resolve_pending_losses(self.gateway)
        self.assertEqual(self.count_losses(), 0)

    def test_server_that_refuses_connections_counts_at_once(self) -> None:
        add_pending_losses(self.gateway, ATTEMPT, [self.backend])
        confirm_crash(self.gateway, self.backend)
        self.assertEqual(self.count_losses(), 1)

    def test_draining_server_does_not_count(self) -> None:
        self.backend.announcement = self.announcement._replace(draining=True)
        self.assertEqual(add_pending_losses(self.gateway, ATTEMPT, [self.backend]), [])
        confirm_crash(self.gateway, self.backend)
        self.assertEqual(self.count_losses(), 0)

    def test_server_that_has_said_it_is_leaving_does_not_count(self) -> None:
        record_leaving(self.backend.health)
        self.assertEqual(add_pending_losses(self.gateway, ATTEMPT, [self.backend]), [])
        self.gateway.fleet.update([], ["a"])
        resolve_pending_losses(self.gateway)
        self.assertEqual(self.count_losses(), 0)

    def test_server_that_says_it_is_leaving_after_a_failure_does_not_count(
        self,
    ) -> None:
        add_pending_losses(self.gateway, ATTEMPT, [self.backend])
        record_leaving(self.backend.health)
        resolve_pending_losses(self.gateway)
        self.gateway.fleet.update([], ["a"])
        resolve_pending_losses(self.gateway)
        self.assertEqual(self.count_losses(), 0)

    def test_server_that_had_departed_before_the_failure_does_not_count(self) -> None:
        # Guards against a second count of the same crash: a stream that had been
        # rerouted around a lost stage failed later for another reason.
        self.gateway.fleet.update([], ["a"])
        add_pending_losses(self.gateway, ATTEMPT, [self.backend])
        resolve_pending_losses(self.gateway)
        self.assertEqual(self.count_losses(), 0)

    def test_server_that_has_restarted_before_the_failure_was_seen_counts(self) -> None:
        # Guards against crashes that count for nothing: a later stage was back, and
        # announced again, before its streams counted as stalled.
        reborn = self.announcement._replace(name="b", incarnation="b@2")
        self.gateway.fleet.update([reborn], ["a"])
        self.assertEqual(add_pending_losses(self.gateway, ATTEMPT, [self.backend]), [])
        self.assertEqual(self.count_losses(), 1)

    def test_server_whose_address_another_service_uses_does_not_count(self) -> None:
        other = self.announcement._replace(name="b", incarnation="b@1", service="other")
        self.gateway.fleet.update([other], ["a"])
        add_pending_losses(self.gateway, ATTEMPT, [self.backend])
        resolve_pending_losses(self.gateway)
        self.assertEqual(self.count_losses(), 0)

    def test_server_that_is_reclaimed_with_notice_does_not_count(self) -> None:
        add_pending_losses(self.gateway, ATTEMPT, [self.backend])
        self.gateway.fleet.update([self.announcement._replace(draining=True)], [])
        resolve_pending_losses(self.gateway)
        self.gateway.fleet.update([], ["a"])
        resolve_pending_losses(self.gateway)
        self.assertEqual(self.count_losses(), 0)


class RefusalTests(unittest.TestCase):
    """Requests with a part that was accused at time 0."""

    def setUp(self) -> None:
        self.gateway: Any = mock.Mock()
        self.gateway.server_limits = ServerLimits()
        self.gateway.quarantine = QuarantineTable()
        self.gateway.quarantine.trial_spread_ms = 1
        count = LossCount(0, QUARANTINE_LOSS_THRESHOLD, (1, 2, 3, 4))
        merge_count(self.gateway.quarantine, b"part", count, QUARANTINE_MS, 0)

    def admit(self, now_ms: int, *, is_cut_off: bool) -> float:
        self.gateway.now_ms = self.gateway.boot_ms = lambda: now_ms
        self.gateway.server_limits.contact_ms = 0 if is_cut_off else now_ms
        return admit(self.gateway, "r1", (b"request", b"part"))

    def test_gateway_that_is_cut_off_does_not_try_out_a_part_as_early(self) -> None:
        # Guards against the loss of all servers: each gateway without control learns
        # from trials of its own only.
        now_ms = PROVISIONAL_QUARANTINE_MS + 1
        self.assertGreater(self.admit(now_ms, is_cut_off=True), 10)
        self.assertEqual(self.admit(now_ms, is_cut_off=False), 0)

    def test_trial_is_logged(self) -> None:
        self.admit(PROVISIONAL_QUARANTINE_MS + 1, is_cut_off=False)
        self.gateway.log.assert_called_once()
        call = self.gateway.log.call_args
        self.assertEqual(call.args, ("trial_started",))
        self.assertEqual(
            (call.kwargs["request"], call.kwargs["accused"]), ("r1", "part")
        )

"""Tests of which attempts count against a route's limit."""

from __future__ import annotations

import unittest

from tests.gateway.fleet import build_backend
from yuccareach.gateway.attempts import (
    LeftServers,
    count_attempts,
    list_open_incarnations,
    record_left,
)
from yuccareach.gateway.backends import Announcement, Backend, Fleet
from yuccareach.health.servers import Silence, record_silence


class CountTests(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.left = LeftServers()
        self.backends = [self.add_server(name) for name in "abc"]

    def add_server(self, name: str, **fields: object) -> Backend:
        announcement = build_backend(name, "z", "l4", 0, 9).announcement
        announcement = announcement._replace(started_ms=1_000)
        return self.announce(announcement._replace(**fields))

    def announce(self, announcement: Announcement) -> Backend:
        self.fleet.update([announcement], [])
        return self.fleet.backend_by_name[announcement.name]

    def count_after_leaving(self, backend: Backend) -> int:
        record_left(self.left, backend)
        return count_attempts(self.left, self.fleet)

    def test_servers_that_may_still_run_the_request_count(self) -> None:
        record_silence(self.backends[0].health, 0)
        record_silence(self.backends[1].health, 0, Silence.CONNECTION)
        for number, backend in enumerate(self.backends, 1):
            self.assertEqual(self.count_after_leaving(backend), number)
        self.assertEqual(list_open_incarnations(self.left), {"a@1", "b@1", "c@1"})

    def test_server_that_is_about_to_be_left_counts(self) -> None:
        self.assertEqual(count_attempts(self.left, self.fleet, self.backends[0]), 1)
        self.assertEqual(count_attempts(self.left, self.fleet), 0)

    def test_departed_server_counts(self) -> None:
        self.fleet.update([], ["a"])
        self.assertEqual(self.count_after_leaving(self.backends[0]), 1)

    def test_server_that_returns_after_late_heartbeats_counts(self) -> None:
        self.fleet.update([], ["a"])
        self.announce(self.backends[0].announcement)
        self.assertEqual(self.count_after_leaving(self.backends[0]), 1)

    def test_server_that_refuses_connections_does_not_count(self) -> None:
        self.backends[0].record_connect_failure(0.0, refused=True)
        self.assertEqual(self.count_after_leaving(self.backends[0]), 0)
        self.assertEqual(list_open_incarnations(self.left), set())

    def test_refusal_after_the_break_counts_it_out(self) -> None:
        self.assertEqual(self.count_after_leaving(self.backends[0]), 1)
        self.backends[0].record_connect_failure(0.0, refused=True)
        self.assertEqual(count_attempts(self.left, self.fleet), 0)

    def test_proof_outlives_a_restart_at_the_same_address(self) -> None:
        self.backends[0].record_connect_failure(0.0, refused=True)
        self.assertEqual(self.count_after_leaving(self.backends[0]), 0)
        self.backends[0].record_connect_success()
        self.assertEqual(count_attempts(self.left, self.fleet), 0)

    def test_later_incarnation_under_the_name_proves_the_end(self) -> None:
        later = self.backends[0].announcement._replace(
            incarnation="a@2", started_ms=2_000, address="127.0.0.1:9"
        )
        self.announce(later)
        self.assertEqual(self.count_after_leaving(self.backends[0]), 0)

    def test_later_incarnation_at_the_address_proves_the_end(self) -> None:
        address = self.backends[0].announcement.address
        self.add_server("d", address=address, service="other", started_ms=2_000)
        self.assertEqual(self.count_after_leaving(self.backends[0]), 0)

    def test_earlier_incarnation_at_the_address_proves_nothing(self) -> None:
        # A new gateway may learn of the earlier one later.
        address = self.backends[0].announcement.address
        self.add_server("d", address=address, started_ms=500)
        self.assertEqual(self.count_after_leaving(self.backends[0]), 1)

"""Backend servers as an entry sees them."""

from __future__ import annotations

import unittest

from tests.gateway.fleet import backend
from yuccareach.gateway.backends import AVOID_FIRST_S, Fleet, choose_backend


class FleetTests(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()

    def test_new_incarnation_starts_without_a_record(self) -> None:
        self.fleet.update([backend("a", "z", "l4", 0, 9).announcement], [])
        known = self.fleet.backend_by_name["a"]
        known.record_failure(0.0)
        known.reserved_tokens = 5
        self.fleet.update([backend("a", "z", "l4", 0, 9, started=2).announcement], [])
        reborn = self.fleet.backend_by_name["a"]
        self.assertFalse(reborn.is_avoided(0.1))
        self.assertEqual(reborn.reserved_tokens, 0)
        self.assertFalse(self.fleet.is_current(known))

    def test_change_of_layers_keeps_what_is_known(self) -> None:
        self.fleet.update([backend("a", "z", "l4", 0, 9).announcement], [])
        known = self.fleet.backend_by_name["a"]
        version = self.fleet.version
        self.fleet.update([backend("a", "z", "l4", 0, 12).announcement], [])
        self.assertIs(self.fleet.backend_by_name["a"], known)
        self.assertGreater(self.fleet.version, version)

    def test_repeated_announcement_changes_nothing(self) -> None:
        announcement = backend("a", "z", "l4", 0, 9).announcement
        self.fleet.update([announcement], [])
        version = self.fleet.version
        self.fleet.update([announcement], [])
        self.assertEqual(self.fleet.version, version)

    def test_leaving_server_gets_no_new_work(self) -> None:
        announcement = backend("a", "z", "l4", 0, 9).announcement
        self.fleet.update([announcement], [])
        self.fleet.update([announcement._replace(draining=True)], [])
        self.assertEqual(self.fleet.find_by_service("s"), [])
        self.fleet.update([], ["a"])
        self.assertEqual(self.fleet.backend_by_address, {})

    def test_address_taken_over_by_another_server_stays_with_it(self) -> None:
        old = backend("a", "z", "l4", 0, 9).announcement
        new = backend("b", "z", "l4", 0, 9).announcement._replace(address=old.address)
        self.fleet.update([old, new], [])
        self.fleet.update([], ["a"])
        self.assertEqual(self.fleet.backend_by_address[old.address].name, "b")


class ChooseBackendTests(unittest.TestCase):
    def test_least_loaded_then_nearest(self) -> None:
        near, far = backend("a", "z1", "", 0, 0), backend("b", "z2", "", 0, 0)
        self.assertIs(choose_backend([far, near], "z1", 0.0, set()), near)
        near.running_requests = 1
        self.assertIs(choose_backend([far, near], "z1", 0.0, set()), far)

    def test_failing_server_comes_last_but_is_taken_where_it_is_the_only_one(
        self,
    ) -> None:
        bad, good = backend("a", "z", "", 0, 0), backend("b", "z", "", 0, 0)
        bad.record_failure(0.0)
        good.running_requests = 50
        self.assertIs(choose_backend([bad, good], "z", 0.1, set()), good)
        self.assertIs(choose_backend([bad, good], "z", 0.1, {"b@1"}), bad)
        self.assertIsNone(choose_backend([bad], "z", 0.1, {"a@1"}))

    def test_failures_in_a_row_are_avoided_longer(self) -> None:
        server = backend("a", "z", "", 0, 0)
        server.record_failure(0.0)
        self.assertFalse(server.is_avoided(AVOID_FIRST_S))
        server.record_failure(1.0)
        self.assertTrue(server.is_avoided(1.0 + 1.5 * AVOID_FIRST_S))
        server.record_success()
        server.record_failure(10.0)
        self.assertFalse(server.is_avoided(10.0 + AVOID_FIRST_S))

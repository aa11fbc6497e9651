"""Tests of the state that an entry keeps of backend servers."""

from __future__ import annotations

import unittest

from tests.gateway.fleet import build_backend
from yuccareach.gateway.backends import (
    INITIAL_AVOIDANCE_S,
    MAX_DEPARTED_BACKENDS,
    Fleet,
    choose_backend,
)
from yuccareach.health.servers import (
    record_acceptance,
    record_contact,
    record_leaving,
    record_refusal,
    record_request,
    record_silence,
)


class FleetTests(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()

    def test_new_incarnation_starts_without_earlier_observations(self) -> None:
        self.fleet.update([build_backend("a", "z", "l4", 0, 9).announcement], [])
        original = self.fleet.backend_by_name["a"]
        original.record_failure(0.0)
        original.reserved_tokens = 5
        self.fleet.update(
            [build_backend("a", "z", "l4", 0, 9, incarnation_number=2).announcement], []
        )
        restarted = self.fleet.backend_by_name["a"]
        self.assertFalse(restarted.is_avoided(0.1))
        self.assertEqual(restarted.reserved_tokens, 0)
        self.assertFalse(self.fleet.is_current(original))

    def test_change_of_layers_keeps_the_observations(self) -> None:
        self.fleet.update([build_backend("a", "z", "l4", 0, 9).announcement], [])
        original = self.fleet.backend_by_name["a"]
        version = self.fleet.version
        self.fleet.update([build_backend("a", "z", "l4", 0, 12).announcement], [])
        self.assertIs(self.fleet.backend_by_name["a"], original)
        self.assertGreater(self.fleet.version, version)

    def test_repeated_announcement_changes_nothing(self) -> None:
        announcement = build_backend("a", "z", "l4", 0, 9).announcement
        self.fleet.update([announcement], [])
        version = self.fleet.version
        self.fleet.update([announcement], [])
        self.assertEqual(self.fleet.version, version)

    def test_member_that_returns_as_the_same_incarnation_is_still_leaving(
        self,
    ) -> None:
        announcement = build_backend("a", "z", "l4", 0, 9).announcement
        self.fleet.update([announcement], [])
        record_leaving(self.fleet.backend_by_name["a"].health)
        self.fleet.update([], ["a"])
        self.fleet.update([announcement], [])
        self.assertFalse(self.fleet.backend_by_name["a"].accepts_requests(0.0))

    def test_member_that_returns_as_the_same_incarnation_still_refuses(self) -> None:
        announcement = build_backend("a", "z", "l4", 0, 9).announcement
        self.fleet.update([announcement], [])
        record_refusal(self.fleet.backend_by_name["a"].health, 0, 3_000)
        self.fleet.update([], ["a"])
        self.fleet.update([announcement], [])
        self.assertFalse(self.fleet.backend_by_name["a"].accepts_requests(2.9))
        self.assertTrue(self.fleet.backend_by_name["a"].accepts_requests(3.0))

    def test_member_that_returns_as_the_same_incarnation_keeps_its_state(self) -> None:
        # Guards against overcommitted servers and streams that were moved off them: a
        # server whose heartbeats had been late started without its reservations.
        announcement = build_backend("a", "z", "l4", 0, 9).announcement
        self.fleet.update([announcement], [])
        original = self.fleet.backend_by_name["a"]
        original.reserved_tokens = 5
        record_silence(original.health, 1_000)
        self.fleet.update([], ["a"])
        self.assertFalse(self.fleet.is_current(original))
        self.fleet.update([announcement._replace(end_layer=12)], [])
        self.assertIs(self.fleet.backend_by_name["a"], original)
        self.assertIs(self.fleet.backend_by_address[announcement.address], original)
        self.assertTrue(self.fleet.is_current(original))
        self.assertEqual(original.announcement.end_layer, 12)
        self.assertTrue(original.is_avoided(1.1))

    def test_later_incarnation_of_a_leaving_server_accepts_requests(self) -> None:
        first, second = (
            build_backend("a", "z", "l4", 0, 9, incarnation_number=number).announcement
            for number in (1, 2)
        )
        self.fleet.update([first], [])
        record_leaving(self.fleet.backend_by_name["a"].health)
        self.fleet.update([second], [])
        self.assertTrue(self.fleet.backend_by_name["a"].accepts_requests(0.0))
        other = second._replace(name="b", incarnation="b@1")
        record_leaving(self.fleet.backend_by_name["a"].health)
        self.fleet.update([other], [])
        server = self.fleet.backend_by_address[second.address]
        self.assertTrue(server.accepts_requests(0.0))

    def test_departed_incarnations_are_bounded(self) -> None:
        for number in range(MAX_DEPARTED_BACKENDS + 10):
            announcement = build_backend(
                "a", "z", "l4", 0, 9, incarnation_number=number
            ).announcement
            self.fleet.update([announcement], [])
            record_leaving(self.fleet.backend_by_name["a"].health)
        kept = self.fleet.departed_by_incarnation
        self.assertEqual(len(kept), MAX_DEPARTED_BACKENDS)
        self.assertNotIn("a@0", kept)

    def test_draining_server_gets_no_new_requests(self) -> None:
        announcement = build_backend("a", "z", "l4", 0, 9).announcement
        self.fleet.update([announcement], [])
        self.fleet.update([announcement._replace(draining=True)], [])
        self.assertEqual(self.fleet.find_by_service("s"), [])
        self.fleet.update([], ["a"])
        self.assertEqual(self.fleet.backend_by_address, {})

    def test_address_taken_over_by_another_server_stays_with_it(self) -> None:
        old = build_backend("a", "z", "l4", 0, 9).announcement
        new = build_backend("b", "z", "l4", 0, 9).announcement._replace(
            address=old.address
        )
        self.fleet.update([old, new], [])
        self.fleet.update([], ["a"])
        self.assertEqual(self.fleet.backend_by_address[old.address].name, "b")

    def test_short_silence_is_not_reported_to_control(self) -> None:
        # Guards against layers that were loaded elsewhere, and streams that were moved,
        # for a server that was silent for about a second.
        self.fleet.update([build_backend("a", "z", "l4", 0, 9).announcement], [])
        server = self.fleet.backend_by_name["a"]
        record_silence(server.health, 1_000)
        self.assertTrue(server.is_avoided(1.1))
        self.assertEqual(self.fleet.list_unreachable_incarnations(2.5), [])
        self.assertEqual(self.fleet.list_unreachable_incarnations(3.5), ["a@1"])
        record_contact(server.health)
        self.assertFalse(server.is_avoided(3.5))
        self.assertEqual(self.fleet.list_unreachable_incarnations(3.5), [])

    def test_refused_connection_is_reported_to_control_at_once(self) -> None:
        self.fleet.update([build_backend("a", "z", "l4", 0, 9).announcement], [])
        self.fleet.backend_by_name["a"].record_connect_failure(1.0, refused=True)
        self.assertEqual(self.fleet.list_unreachable_incarnations(1.0), ["a@1"])


class ChooseBackendTests(unittest.TestCase):
    def test_least_loaded_server_then_own_zone_goes_first(self) -> None:
        local, remote = (
            build_backend("a", "z1", "", 0, 0),
            build_backend("b", "z2", "", 0, 0),
        )
        self.assertIs(choose_backend([remote, local], "z1", 0.0, set()), local)
        local.running_requests = 1
        self.assertIs(choose_backend([remote, local], "z1", 0.0, set()), remote)

    def test_failing_server_is_chosen_only_if_there_is_no_other(self) -> None:
        faulty, healthy = (
            build_backend("a", "z", "", 0, 0),
            build_backend("b", "z", "", 0, 0),
        )
        faulty.record_failure(0.0)
        healthy.running_requests = 50
        self.assertIs(choose_backend([faulty, healthy], "z", 0.1, set()), healthy)
        self.assertIs(choose_backend([faulty, healthy], "z", 0.1, {"b@1"}), faulty)
        self.assertIsNone(choose_backend([faulty], "z", 0.1, {"a@1"}))

    def test_leaving_server_is_not_chosen_even_if_there_is_no_other(self) -> None:
        leaving, other = (
            build_backend("a", "z", "", 0, 0),
            build_backend("b", "z", "", 0, 0),
        )
        record_leaving(leaving.health)
        other.running_requests = 50
        self.assertIs(choose_backend([leaving, other], "z", 0.0, set()), other)
        self.assertIsNone(choose_backend([leaving], "z", 0.0, set()))

    def test_refusing_server_is_not_chosen_until_its_time_is_over(self) -> None:
        refusing = build_backend("a", "z", "", 0, 0)
        record_refusal(refusing.health, 0, 3_000)
        self.assertIsNone(choose_backend([refusing], "z", 2.999, set()))
        self.assertIs(choose_backend([refusing], "z", 3.0, set()), refusing)

    def test_server_that_refused_gets_one_request_before_the_others_are_busy(
        self,
    ) -> None:
        # Guards against refusals that use up the retry budget: each time a refusal was
        # over, all requests in flight went to the server, which was least loaded.
        refusing, busy = (
            build_backend("a", "z", "", 0, 0),
            build_backend("b", "z", "", 0, 0),
        )
        busy.running_requests = 50
        record_refusal(refusing.health, 0, 3_000)
        candidates = [refusing, busy]
        self.assertIs(choose_backend(candidates, "z", 3.0, set()), refusing)
        record_request(refusing.health, 3_000)
        self.assertIs(choose_backend(candidates, "z", 3.1, set()), busy)
        record_acceptance(refusing.health, 3_200)
        self.assertIs(choose_backend(candidates, "z", 3.2, set()), refusing)

    def test_server_is_avoided_longer_after_failures_in_a_row(self) -> None:
        server = build_backend("a", "z", "", 0, 0)
        server.record_failure(0.0)
        self.assertFalse(server.is_avoided(INITIAL_AVOIDANCE_S))
        server.record_failure(1.0)
        self.assertTrue(server.is_avoided(1.0 + 1.5 * INITIAL_AVOIDANCE_S))
        server.record_success()
        server.record_failure(10.0)
        self.assertFalse(server.is_avoided(10.0 + INITIAL_AVOIDANCE_S))

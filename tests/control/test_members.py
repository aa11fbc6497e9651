"""Which backend servers are alive."""

from __future__ import annotations

import unittest

from yuccareach.control.members import (
    LEASE_MS,
    LOAD_FORWARD_MS,
    RECALLED_LEASE_MS,
    SILENT_SOURCE_MS,
    MemberTable,
)
from yuccareach.proto import control_pb2 as cpb


def member(name: str, running: int = 0) -> cpb.Member:
    load = cpb.Load(running=running)
    return cpb.Member(backend_server=name, incarnation="i", load=load)


class MemberTableTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemberTable(0)

    def relay(self, *names: str, now: int, **fields: object) -> None:
        heard = [cpb.Heartbeat(member=member(name)) for name in names]
        frame = cpb.RaftFrame(source="other", heard=heard, **fields)
        self.table.hear_relayed(frame, now)

    def test_silent_member_departs_after_its_lease(self) -> None:
        self.table.hear(member("a"), 0)
        version = self.table.version
        self.assertEqual(self.table.expire(LEASE_MS, {}), [])
        self.assertEqual(self.table.expire(LEASE_MS + 1, {}), ["a"])
        self.assertEqual(self.table.delta(version, 0).departed, ["a"])

    def test_member_elsewhere_lasts_while_its_control_instance_is_heard(self) -> None:
        self.relay("a", now=0)
        late = 100_000
        self.assertEqual(self.table.expire(late, {"other": late}), [])
        silent = late + SILENT_SOURCE_MS + 1
        self.assertEqual(self.table.expire(silent, {"other": late}), ["a"])

    def test_member_that_moved_does_not_depart(self) -> None:
        self.table.hear(member("a"), 0)
        self.table.detach("a")
        self.relay("a", now=500)
        self.assertEqual(self.table.expire(LEASE_MS + 1, {"other": 3_000}), [])
        self.relay(now=600, departed=["a"])
        self.assertEqual(self.table.heard_by_name, {})

    def test_attached_member_is_not_taken_over_by_an_old_relay(self) -> None:
        self.table.hear(member("a"), 0)
        self.relay("a", now=10)
        self.relay(now=20, heard_all=True)
        self.relay(now=20, departed=["a"])
        self.assertEqual(list(self.table.heard_by_name), ["a"])

    def beat(self, sequence: int, end_layer: int = 9) -> cpb.Member:
        return cpb.Member(
            backend_server="a",
            address="x",
            started_ms=5,
            sequence=sequence,
            end_layer=end_layer,
        )

    def test_newer_heartbeat_from_elsewhere_goes_before_an_attachment(self) -> None:
        # Found by the soak: heartbeats that moved to another instance were passed over
        # for as long as the last one heard here was young, and not told again for 5 s.
        # Living servers departed, and their streams were cut.
        self.table.hear(self.beat(1), 0)
        moved = cpb.Heartbeat(member=self.beat(2, end_layer=12))
        self.table.hear_relayed(cpb.RaftFrame(source="other", heard=[moved]), 500)
        self.assertEqual(self.table.heard_by_name["a"].member.end_layer, 12)
        late = LEASE_MS + 1_000
        self.assertEqual(self.table.expire(late, {"other": late}), [])

    def test_member_that_moved_here_is_told_to_the_others(self) -> None:
        # The instance that it moved from tells them that it has departed.
        relayed = cpb.Heartbeat(member=self.beat(1))
        self.table.hear_relayed(cpb.RaftFrame(source="other", heard=[relayed]), 0)
        version = self.table.version
        self.table.hear(self.beat(2), 500)
        told = [item.member.sequence for item in self.table.direct_after(version)]
        self.assertEqual(told, [2])

    def test_full_relay_takes_out_what_it_does_not_hold(self) -> None:
        self.relay("a", "b", now=0)
        self.relay("b", now=10, heard_all=True)
        self.assertEqual(list(self.table.heard_by_name), ["b"])

    def test_load_is_forwarded_less_often_the_more_members_there_are(self) -> None:
        for number in range(1_000):
            self.table.hear(member(f"m{number}"), 0)
        version = self.table.version
        for number in range(1_000):
            self.table.hear(member(f"m{number}", 3), LOAD_FORWARD_MS + 1)
        self.assertEqual(self.table.delta(version, 0).members, [])
        for number in range(1_000):
            self.table.hear(member(f"m{number}", 3), 20_000)
        self.assertEqual(len(self.table.delta(version, 0).members), 1_000)

    def test_change_that_matters_is_forwarded_at_once(self) -> None:
        self.table.hear(member("a"), 0)
        version = self.table.version
        draining = member("a")
        draining.draining = True
        self.table.hear(draining, 1)
        self.assertEqual(len(self.table.delta(version, 1).members), 1)

    def test_nothing_is_called_a_snapshot_before_all_could_announce(self) -> None:
        self.assertFalse(self.table.delta(0, LEASE_MS).snapshot)
        self.assertTrue(self.table.delta(0, LEASE_MS + 1).snapshot)


def announced(
    name: str, started: int, sequence: int, address: str = "", **fields: object
) -> cpb.Member:
    return cpb.Member(
        backend_server=name,
        incarnation=f"{name}@{started}",
        address=address or f"at-{name}",
        started_ms=started,
        sequence=sequence,
        **fields,
    )


class IncarnationTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemberTable(0)

    def names(self) -> set[str]:
        return set(self.table.heard_by_name)

    def test_late_heartbeat_does_not_undo_a_newer_one(self) -> None:
        self.table.hear(announced("a", 5, 3, draining=True), 0)
        self.table.hear(announced("a", 5, 2), 10)
        self.assertTrue(self.table.heard_by_name["a"].member.draining)

    def test_heartbeat_of_an_earlier_run_is_dropped(self) -> None:
        self.table.hear(announced("a", 6, 1), 0)
        self.table.hear(announced("a", 5, 99, draining=True), 10)
        self.assertFalse(self.table.heard_by_name["a"].member.draining)

    def test_newer_server_at_an_address_replaces_the_one_before(self) -> None:
        self.table.hear(announced("a", 5, 9, "x"), 0)
        self.table.hear(announced("b", 6, 1, "x"), 10)
        self.assertEqual(self.names(), {"b"})
        self.table.hear(announced("a", 5, 10, "x"), 20)
        self.assertEqual(self.names(), {"b"})

    def test_departed_server_is_not_brought_back_by_a_late_heartbeat(self) -> None:
        self.table.hear(announced("a", 5, 3), 0)
        self.assertTrue(self.table.dismiss("a", 0, 10))
        self.table.hear(announced("a", 5, 4), 20)
        self.assertEqual(self.names(), set())
        self.table.hear(announced("a", 6, 1), 30)
        self.assertEqual(self.names(), {"a"})

    def test_late_departure_does_not_take_out_the_next_run(self) -> None:
        self.table.hear(announced("a", 6, 1), 0)
        self.assertFalse(self.table.dismiss("a", 5, 10))
        self.assertEqual(self.names(), {"a"})

    def test_departure_heard_elsewhere_first_still_counts(self) -> None:
        self.assertFalse(self.table.dismiss("a", 5, 0))
        self.table.hear(announced("a", 5, 7), 10)
        self.assertEqual(self.names(), set())


class RecallTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemberTable(0)
        self.table.recall([announced("a", 5, 3), announced("b", 5, 3)], 0)

    def test_recalled_members_last_until_they_could_have_come_back(self) -> None:
        self.assertEqual(self.table.expire(RECALLED_LEASE_MS, {}), [])
        self.assertEqual(set(self.table.expire(RECALLED_LEASE_MS + 1, {})), {"a", "b"})

    def test_member_that_is_heard_again_is_passed_on(self) -> None:
        self.assertEqual(self.table.direct_after(0), [])
        self.table.hear(announced("a", 5, 3), 10)
        (heard,) = self.table.direct_after(0)
        self.assertEqual(heard.member.backend_server, "a")
        self.assertEqual(self.table.expire(10 + LEASE_MS + 1, {}), ["a"])

    def test_recalled_member_gives_way_to_a_newer_run(self) -> None:
        self.table.hear(announced("c", 6, 1, "at-a"), 10)
        self.assertNotIn("a", self.table.heard_by_name)

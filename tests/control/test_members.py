"""Tests of the member table: leases, relays, load forwarding and incarnations."""

from __future__ import annotations

import unittest

from yuccareach.control.members import (
    MEMBER_LEASE_MS,
    MIN_LOAD_INTERVAL_MS,
    RESTORED_LEASE_MS,
    SOURCE_TIMEOUT_MS,
    TOMBSTONE_RETENTION_MS,
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
        self.table.apply_relayed_frame(frame, now)

    def test_member_without_heartbeats_departs_after_its_lease(self) -> None:
        self.table.record_heartbeat(member("a"), 0)
        version = self.table.version
        self.assertEqual(self.table.remove_expired(MEMBER_LEASE_MS, {}), [])
        self.assertEqual(self.table.remove_expired(MEMBER_LEASE_MS + 1, {}), ["a"])
        self.assertEqual(self.table.delta_since(version, 0).departed, ["a"])

    def test_relayed_member_stays_while_its_source_is_in_contact(self) -> None:
        self.relay("a", now=0)
        late = 100_000
        self.assertEqual(self.table.remove_expired(late, {"other": late}), [])
        silent = late + SOURCE_TIMEOUT_MS + 1
        self.assertEqual(self.table.remove_expired(silent, {"other": late}), ["a"])

    def test_member_attached_to_another_instance_does_not_depart(self) -> None:
        self.table.record_heartbeat(member("a"), 0)
        self.table.record_stream_end("a")
        self.relay("a", now=500)
        self.assertEqual(
            self.table.remove_expired(MEMBER_LEASE_MS + 1, {"other": 3_000}), []
        )
        self.relay(now=600, departed=["a"])
        self.assertEqual(self.table.record_by_name, {})

    def test_outdated_relay_does_not_replace_an_attached_member(self) -> None:
        self.table.record_heartbeat(member("a"), 0)
        self.relay("a", now=10)
        self.relay(now=20, heard_all=True)
        self.relay(now=20, departed=["a"])
        self.assertEqual(list(self.table.record_by_name), ["a"])

    def member_a(self, sequence: int, end_layer: int = 9) -> cpb.Member:
        return cpb.Member(
            backend_server="a",
            address="x",
            started_ms=5,
            sequence=sequence,
            end_layer=end_layer,
        )

    def test_newer_relayed_heartbeat_replaces_an_attached_member(self) -> None:
        # When an agent connected to another instance, its relayed heartbeats were
        # ignored while the last one received here was recent, and they were relayed
        # again only after 5 s. Living servers departed and their streams were closed.
        self.table.record_heartbeat(self.member_a(1), 0)
        moved = cpb.Heartbeat(member=self.member_a(2, end_layer=12))
        self.table.apply_relayed_frame(
            cpb.RaftFrame(source="other", heard=[moved]), 500
        )
        self.assertEqual(self.table.record_by_name["a"].member.end_layer, 12)
        late = MEMBER_LEASE_MS + 1_000
        self.assertEqual(self.table.remove_expired(late, {"other": late}), [])

    def test_member_that_attaches_here_is_relayed(self) -> None:
        # The instance that the agent was attached to before relays a departure.
        relayed = cpb.Heartbeat(member=self.member_a(1))
        self.table.apply_relayed_frame(
            cpb.RaftFrame(source="other", heard=[relayed]), 0
        )
        version = self.table.version
        self.table.record_heartbeat(self.member_a(2), 500)
        relayed_sequences = [
            item.member.sequence for item in self.table.direct_members_since(version)
        ]
        self.assertEqual(relayed_sequences, [2])

    def test_full_relay_removes_members_it_does_not_list(self) -> None:
        self.relay("a", "b", now=0)
        self.relay("b", now=10, heard_all=True)
        self.assertEqual(list(self.table.record_by_name), ["b"])

    def test_load_interval_grows_with_the_number_of_members(self) -> None:
        for number in range(1_000):
            self.table.record_heartbeat(member(f"m{number}"), 0)
        version = self.table.version
        for number in range(1_000):
            self.table.record_heartbeat(
                member(f"m{number}", 3), MIN_LOAD_INTERVAL_MS + 1
            )
        self.assertEqual(self.table.delta_since(version, 0).members, [])
        for number in range(1_000):
            self.table.record_heartbeat(member(f"m{number}", 3), 20_000)
        self.assertEqual(len(self.table.delta_since(version, 0).members), 1_000)

    def test_draining_is_forwarded_at_once(self) -> None:
        self.table.record_heartbeat(member("a"), 0)
        version = self.table.version
        draining = member("a")
        draining.draining = True
        self.table.record_heartbeat(draining, 1)
        self.assertEqual(len(self.table.delta_since(version, 1).members), 1)

    def test_delta_is_no_snapshot_before_the_end_of_the_warm_up(self) -> None:
        self.assertFalse(self.table.delta_since(0, MEMBER_LEASE_MS).snapshot)
        self.assertTrue(self.table.delta_since(0, MEMBER_LEASE_MS + 1).snapshot)


def ordered_member(
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
        return set(self.table.record_by_name)

    def test_late_heartbeat_does_not_replace_a_newer_one(self) -> None:
        self.table.record_heartbeat(ordered_member("a", 5, 3, draining=True), 0)
        self.table.record_heartbeat(ordered_member("a", 5, 2), 10)
        self.assertTrue(self.table.record_by_name["a"].member.draining)

    def test_heartbeat_of_an_earlier_incarnation_is_dropped(self) -> None:
        self.table.record_heartbeat(ordered_member("a", 6, 1), 0)
        self.table.record_heartbeat(ordered_member("a", 5, 99, draining=True), 10)
        self.assertFalse(self.table.record_by_name["a"].member.draining)

    def test_newer_server_replaces_an_older_one_at_its_address(self) -> None:
        self.table.record_heartbeat(ordered_member("a", 5, 9, "x"), 0)
        self.table.record_heartbeat(ordered_member("b", 6, 1, "x"), 10)
        self.assertEqual(self.names(), {"b"})
        self.table.record_heartbeat(ordered_member("a", 5, 10, "x"), 20)
        self.assertEqual(self.names(), {"b"})

    def test_late_heartbeat_does_not_add_a_departed_server_again(self) -> None:
        self.table.record_heartbeat(ordered_member("a", 5, 3), 0)
        self.assertTrue(self.table.deregister("a", 0, 10))
        self.table.record_heartbeat(ordered_member("a", 5, 4), 20)
        self.assertEqual(self.names(), set())
        self.table.record_heartbeat(ordered_member("a", 6, 1), 30)
        self.assertEqual(self.names(), {"a"})

    def test_late_departure_does_not_remove_the_next_incarnation(self) -> None:
        self.table.record_heartbeat(ordered_member("a", 6, 1), 0)
        self.assertFalse(self.table.deregister("a", 5, 10))
        self.assertEqual(self.names(), {"a"})

    def test_late_departure_of_an_earlier_incarnation_let_a_departed_one_return(
        self,
    ) -> None:
        self.table.deregister("a", 6, 0)
        self.table.deregister("a", 5, 10)
        self.table.record_heartbeat(ordered_member("a", 6, 7), 20)
        self.assertEqual(self.names(), set())

    def test_departure_of_an_unknown_member_blocks_its_heartbeats(self) -> None:
        self.assertFalse(self.table.deregister("a", 5, 0))
        self.table.record_heartbeat(ordered_member("a", 5, 7), 10)
        self.assertEqual(self.names(), set())


class DrainTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemberTable(0)

    def is_draining(self, name: str = "a") -> bool:
        return self.table.record_by_name[name].member.draining

    def test_drain_marks_the_member_and_is_forwarded(self) -> None:
        self.table.record_heartbeat(ordered_member("a", 5, 3), 0)
        version = self.table.version
        self.assertTrue(self.table.record_drain("a", 5, 4, 10))
        (changed,) = self.table.delta_since(version, 10).members
        self.assertTrue(changed.draining)

    def test_restored_heartbeat_from_before_a_drain_showed_a_ready_server(self) -> None:
        self.table.record_drain("a", 5, 4, 0)
        self.table.restore([ordered_member("a", 5, 3)], 0)
        self.assertTrue(self.is_draining())

    def test_later_heartbeat_and_later_incarnation_count(self) -> None:
        self.table.record_drain("a", 5, 4, 0)
        self.table.record_heartbeat(ordered_member("a", 5, 5), 10)
        self.assertFalse(self.is_draining())
        self.table.record_drain("b", 5, 4, 0)
        self.table.record_heartbeat(ordered_member("b", 6, 1), 10)
        self.assertFalse(self.is_draining("b"))

    def test_drain_of_a_draining_or_unknown_member_changes_nothing(self) -> None:
        self.table.record_heartbeat(ordered_member("a", 5, 4, draining=True), 0)
        version = self.table.version
        self.assertFalse(self.table.record_drain("a", 5, 4, 10))
        self.assertFalse(self.table.record_drain("b", 5, 4, 10))
        self.assertEqual(self.table.version, version)

    def test_watcher_of_another_instance_kept_a_withdrawn_server(self) -> None:
        # Until the warm-up ends, a new leader's members are no snapshot.
        self.table.deregister("a", 5, 0)
        self.table.record_drain("b", 5, 4, 0)
        self.table.record_drain("c", 5, 4, 0)
        self.table.record_heartbeat(ordered_member("c", 5, 3), 0)
        delta = self.table.delta_since(0, 10)
        self.assertFalse(delta.snapshot)
        self.assertEqual(delta.departed, ["a", "b"])
        self.assertEqual([item.draining for item in delta.members], [True])

    def test_old_withdrawals_are_removed(self) -> None:
        self.table.record_drain("a", 5, 4, 0)
        self.table.deregister("b", 5, 0)
        self.table.record_drain("c", 5, 4, TOMBSTONE_RETENTION_MS)
        self.assertEqual(self.table.delta_since(0, 0).departed, ["c"])

    def test_start_of_a_departed_incarnation_is_known(self) -> None:
        self.table.record_heartbeat(ordered_member("a", 5, 3), 0)
        self.assertEqual(self.table.find_started_ms("a"), 5)
        self.table.deregister("a", 0, 10)
        self.assertEqual(self.table.find_started_ms("a"), 5)
        self.assertEqual(self.table.find_started_ms("b"), 0)


class RestoreTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemberTable(0)
        self.table.restore([ordered_member("a", 5, 3), ordered_member("b", 5, 3)], 0)

    def test_restored_members_stay_for_their_lease(self) -> None:
        self.assertEqual(self.table.remove_expired(RESTORED_LEASE_MS, {}), [])
        self.assertEqual(
            set(self.table.remove_expired(RESTORED_LEASE_MS + 1, {})), {"a", "b"}
        )

    def test_restored_member_is_relayed_after_its_next_heartbeat(self) -> None:
        self.assertEqual(self.table.direct_members_since(0), [])
        self.table.record_heartbeat(ordered_member("a", 5, 3), 10)
        (record,) = self.table.direct_members_since(0)
        self.assertEqual(record.member.backend_server, "a")
        self.assertEqual(self.table.remove_expired(10 + MEMBER_LEASE_MS + 1, {}), ["a"])

    def test_newer_server_replaces_a_restored_one_at_its_address(self) -> None:
        self.table.record_heartbeat(ordered_member("c", 6, 1, "at-a"), 10)
        self.assertNotIn("a", self.table.record_by_name)

"""Tests of what views tell entries of the capacity that others use."""

from __future__ import annotations

import itertools
import unittest
from random import Random

from yuccareach.control.usage import (
    FAR_CHANGE_FRACTION,
    FULL_USAGE_INTERVAL_MS,
    MIN_TOKEN_CHANGE,
    NEAR_CHANGE_FRACTION,
    SentUsage,
    ServerUsage,
    UsageUpdate,
    build_update,
    select_changes,
)
from yuccareach.control.views import EntryReports
from yuccareach.gateway.backends import Fleet
from yuccareach.proto import control_pb2 as cpb


class SelectChangesTests(unittest.TestCase):
    def select(
        self, sent: tuple[int, int], current: tuple[int, int], *, near: bool
    ) -> bool:
        changes = select_changes(
            {"a": ServerUsage(*sent)},
            {"a": ServerUsage(*current)},
            {"a"} if near else set(),
        )
        return "a" in changes

    def test_less_than_a_request_is_no_change(self) -> None:
        self.assertFalse(self.select((0, 1), (MIN_TOKEN_CHANGE, 1), near=True))
        self.assertTrue(self.select((0, 1), (MIN_TOKEN_CHANGE + 1, 1), near=True))

    def test_far_servers_have_a_larger_threshold(self) -> None:
        self.assertTrue(self.select((20_000, 8), (23_000, 8), near=True))
        self.assertFalse(self.select((20_000, 8), (23_000, 8), near=False))
        self.assertTrue(self.select((20_000, 8), (26_000, 8), near=False))

    def test_first_stages_count_as_well(self) -> None:
        self.assertFalse(self.select((20_000, 8), (20_000, 11), near=True))
        self.assertTrue(self.select((20_000, 8), (20_000, 12), near=True))
        self.assertTrue(self.select((20_000, 0), (20_000, 4), near=False))
        self.assertFalse(self.select((20_000, 40), (20_000, 49), near=False))

    def test_server_that_is_used_no_more_is_a_change_to_none(self) -> None:
        changes = select_changes({"a": ServerUsage(9_000, 3)}, {}, {"a"})
        self.assertEqual(changes, {"a": ServerUsage(0, 0)})


class UpdateTests(unittest.TestCase):
    def setUp(self) -> None:
        self.sent = SentUsage()

    def update(self, known: int, now_ms: int = 0, **tokens: int) -> UsageUpdate:
        usage = {name: ServerUsage(count, 1) for name, count in tokens.items()}
        return build_update(self.sent, usage, set(usage), known, now_ms)

    def test_entry_that_lost_an_update_gets_all(self) -> None:
        first = self.update(0, a=5_000, b=5_000)
        self.assertFalse(first.are_changes)
        second = self.update(first.version, a=9_000, b=5_000)
        self.assertEqual(set(second.usage_by_server), {"a"})
        # The second never arrived.
        third = self.update(first.version, a=9_000, b=5_000)
        self.assertFalse(third.are_changes)
        self.assertEqual(set(third.usage_by_server), {"a", "b"})

    def test_nothing_changed_keeps_the_version(self) -> None:
        first = self.update(0, a=5_000)
        second = self.update(first.version, a=5_001)
        self.assertEqual(second, UsageUpdate(first.version, {}, True))

    def test_slow_drift_is_sent_once_it_adds_up(self) -> None:
        version = self.update(0, a=20_000).version
        updates = []
        for tokens in range(20_000, 24_000, 200):
            update = self.update(version, a=tokens)
            version = update.version
            updates.append(bool(update.usage_by_server))
        self.assertIn(True, updates)
        self.assertLess(sum(updates), 5)

    def test_all_is_sent_again_after_a_while(self) -> None:
        version = self.update(0, a=5_000).version
        again = self.update(version, FULL_USAGE_INTERVAL_MS, a=5_001)
        self.assertFalse(again.are_changes)

    def test_restarted_entry_gets_all(self) -> None:
        self.update(0, a=5_000)
        self.assertFalse(self.update(0, a=5_000).are_changes)


class FleetLoadTests(unittest.TestCase):
    """70 entries of five zones that poll while streams over 114 servers come and go."""

    ZONES = 5
    ENTRIES = 70
    SERVERS = 114
    STREAMS_PER_S = 243
    STREAM_S = 3.0
    STREAM_TOKENS = 900
    STAGES = 6
    POLL_INTERVAL_MS = 600
    DURATION_MS = 9_000

    def play(self) -> tuple[int, int, list[float]]:
        """Return the bytes of uses in views, of all uses, and the relative errors."""
        random = Random(1)
        reports = EntryReports()
        fleets = [Fleet() for _ in range(self.ENTRIES)]
        versions = [0] * self.ENTRIES
        zone_servers = [
            [f"i-{number:08x}" for number in range(zone, self.SERVERS, self.ZONES)]
            for zone in range(self.ZONES)
        ]
        uses: list[dict[str, list[int]]] = [{} for _ in range(self.ENTRIES)]
        ends: list[tuple[float, int, tuple[str, ...]]] = []
        sent_bytes = full_bytes = 0
        errors = []
        step_ms = self.POLL_INTERVAL_MS / self.ENTRIES
        for count in range(int(self.DURATION_MS / step_ms)):
            now_ms = int(count * step_ms)
            for _ in range(
                random.randrange(round(2 * self.STREAMS_PER_S * step_ms / 1000) + 1)
            ):
                entry = random.randrange(self.ENTRIES)
                chain = tuple(
                    random.sample(zone_servers[entry % self.ZONES], self.STAGES)
                )
                ends.append(
                    (
                        now_ms + random.expovariate(1 / (self.STREAM_S * 1000)),
                        entry,
                        chain,
                    )
                )
                for position, server in enumerate(chain):
                    use = uses[entry].setdefault(server, [0, 0])
                    use[0] += self.STREAM_TOKENS
                    use[1] += position == 0
            due = [item for item in ends if item[0] <= now_ms]
            ends = [item for item in ends if item[0] > now_ms]
            for _, entry, chain in due:
                for position, server in enumerate(chain):
                    uses[entry][server][0] -= self.STREAM_TOKENS
                    uses[entry][server][1] -= position == 0
            entry = count % self.ENTRIES
            request = cpb.ViewRequest(
                instance=f"e{entry}",
                uses=[
                    cpb.ServerUse(backend_server=name, tokens=use[0], first=use[1])
                    for name, use in uses[entry].items()
                    if use[0]
                ],
            )
            reports.record(request, now_ms)
            near = set(zone_servers[entry % self.ZONES])
            update = reports.build_usage_update(
                request.instance, near, versions[entry], now_ms
            )
            versions[entry] = update.version
            others = reports.usage_of_others(request.instance)
            sent_bytes += _count_bytes(update.usage_by_server)
            full_bytes += _count_bytes(others)
            fleets[entry].update_remote_usage(
                update.usage_by_server, are_changes=update.are_changes
            )
            for name, usage in others.items():
                known = fleets[entry].remote_usage_by_name.get(name, (0, 0))[0]
                fraction = NEAR_CHANGE_FRACTION if name in near else FAR_CHANGE_FRACTION
                slack = max(MIN_TOKEN_CHANGE, fraction * known)
                errors.append(abs(known - usage.tokens) / slack)
        return sent_bytes, full_bytes, errors

    def test_views_of_a_large_fleet_carried_the_use_of_every_server(self) -> None:
        sent_bytes, full_bytes, errors = self.play()
        self.assertLess(sent_bytes, full_bytes / 2)
        self.assertLessEqual(max(errors), 1.0)


def _count_bytes(usage_by_server: dict[str, ServerUsage]) -> int:
    uses = itertools.starmap(
        lambda name, usage: cpb.ServerUse(
            backend_server=name, tokens=usage.tokens, first=usage.first
        ),
        usage_by_server.items(),
    )
    return cpb.View(uses=uses).ByteSize()


class RemoteUsageTests(unittest.TestCase):
    def test_changes_leave_the_other_servers_as_they_were(self) -> None:
        fleet = Fleet()
        fleet.update_remote_usage({"a": (5, 1), "b": (6, 1)})
        fleet.update_remote_usage({"b": (7, 2)}, are_changes=True)
        self.assertEqual(fleet.remote_usage_by_name, {"a": (5, 1), "b": (7, 2)})
        fleet.update_remote_usage({"b": (7, 2)})
        self.assertEqual(fleet.remote_usage_by_name, {"b": (7, 2)})

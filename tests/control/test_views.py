"""What control makes of the reports of entries."""

from __future__ import annotations

import unittest

from yuccareach.control.views import ENTRY_LEASE_MS, UNREACHABLE_LEASE_MS, Use, Views
from yuccareach.proto import control_pb2 as cpb


def report(
    entry: str, unreachable: tuple[str, ...] = (), **tokens: int
) -> cpb.ViewRequest:
    uses = [
        cpb.ServerUse(backend_server=server, tokens=count, first=1)
        for server, count in tokens.items()
    ]
    return cpb.ViewRequest(instance=entry, unreachable=unreachable, uses=uses)


class ViewsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.views = Views()

    def test_entry_is_told_what_the_others_use(self) -> None:
        self.views.note(report("e1", a=5), 0)
        self.views.note(report("e2", a=7, b=1), 0)
        self.views.note(report("e3", a=2), 0)
        self.assertEqual(
            self.views.uses_of_others("e1"), {"a": Use(9, 2), "b": Use(1, 1)}
        )

    def test_entry_that_has_gone_silent_uses_nothing(self) -> None:
        self.views.note(report("e1", a=5), 0)
        self.views.note(report("e2"), ENTRY_LEASE_MS)
        self.assertEqual(self.views.uses_of_others("e2"), {})

    def test_word_of_one_entry_among_several_is_not_enough(self) -> None:
        # Found on a grown deployment: single entries that were slow took sound servers
        # for lost, and layers were loaded elsewhere again and again.
        self.views.note(report("e1", ("a@1",)), 0)
        self.views.note(report("e2"), 0)
        self.assertEqual(self.views.unreachable(0), set())
        self.views.note(report("e2", ("a@1",)), 10)
        self.assertEqual(self.views.unreachable(10), {"a@1"})

    def test_word_of_the_only_entry_counts(self) -> None:
        self.views.note(report("e1", ("a@1",)), 0)
        self.assertEqual(self.views.unreachable(0), {"a@1"})

    def test_word_is_forgotten_unless_it_is_repeated(self) -> None:
        for entry in ("e1", "e2"):
            self.views.note(report(entry, ("a@1",)), 0)
        self.assertEqual(self.views.unreachable(UNREACHABLE_LEASE_MS), set())

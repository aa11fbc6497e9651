"""Tests of documents that are sent as changes of earlier versions."""

from __future__ import annotations

import json
import unittest
import zlib
from random import Random
from typing import Any

from yuccareach.control.document_deltas import (
    MAX_VERSIONS_KEPT,
    DeltaMismatch,
    DocumentHistory,
    apply_delta,
    build_delta,
)
from yuccareach.proto import control_pb2 as cpb

# As many as the users' largest deployment had.
ROUTES = 1_744
# Versions of a storm of changes, and the entries that get each of them.
VERSIONS = 20
ENTRIES = 70


def make_routes(count: int, random: Random) -> list[dict[str, Any]]:
    return [
        {
            "name": f"r-{random.randbytes(4).hex()}",
            "host": f"{random.randbytes(3).hex()}.example",
            "pathPrefix": f"/{random.randbytes(3).hex()}/",
            "kind": random.choice(("safe", "unsafe", "stream")),
            "timeoutMs": random.choice((1_000, 1_200, 20_000)),
            "trafficSplit": [{"service": random.choice("abc"), "weight": 90}],
        }
        for _ in range(count)
    ]


def encode(version: int, routes: list[dict[str, Any]]) -> bytes:
    fields = {"version": version, "routes": routes, "limits": {"maxBodyBytes": 5}}
    return json.dumps(fields, separators=(",", ":")).encode()


def make_document(version: int, content: bytes) -> cpb.RoutingDocument:
    return cpb.RoutingDocument(version=version, content=zlib.compress(content))


def change(routes: list[dict[str, Any]], random: Random) -> list[dict[str, Any]]:
    """Return routes after a few of the changes that operators make."""
    changed = [dict(route) for route in routes]
    for _ in range(random.randrange(1, 6)):
        index = random.randrange(len(changed))
        match random.randrange(4):
            case 0:
                changed[index]["timeoutMs"] = random.randrange(1, 30_000)
            case 1:
                changed.insert(index, make_routes(1, random)[0])
            case 2 if len(changed) > 1:
                del changed[index]
            case _:
                changed.append(changed.pop(index))
    return changed


class DeltaTests(unittest.TestCase):
    def test_any_changes_lead_to_the_same_document(self) -> None:
        for seed in range(200):
            random = Random(seed)
            routes = make_routes(random.randrange(1, 40), random)
            base = encode(1, routes)
            content = encode(2, change(routes, random))
            delta = build_delta(1, zlib.compress(base), make_document(2, content))
            with self.subTest(seed=seed):
                self.assertEqual(apply_delta(base, delta), content)

    def test_content_of_any_other_form_is_kept_as_well(self) -> None:
        for base, content in (
            (b"", b""),
            (b"", b"x"),
            (b"},},", b"},"),
            (b"a},a},a},b", b"a},b"),
            (b"not json", b"\x00\xff},{"),
        ):
            delta = build_delta(1, zlib.compress(base), make_document(2, content))
            with self.subTest(base=base, content=content):
                self.assertEqual(apply_delta(base, delta), content)

    def test_delta_of_other_content_is_noticed(self) -> None:
        base = encode(1, make_routes(5, Random(1)))
        delta = build_delta(1, zlib.compress(base), make_document(2, base + b" "))
        for other in (b"", encode(1, make_routes(5, Random(2)))):
            with self.assertRaises(DeltaMismatch):
                apply_delta(other, delta)
        delta.pieces = delta.pieces[:-3]
        with self.assertRaises(DeltaMismatch):
            apply_delta(base, delta)


class HistoryTests(unittest.TestCase):
    def setUp(self) -> None:
        self.random = Random(1)
        self.routes = make_routes(50, self.random)
        self.history = DocumentHistory()

    def advance(self, version: int) -> cpb.RoutingDocument:
        self.routes = change(self.routes, self.random)
        return make_document(version, encode(version, self.routes))

    def test_entry_that_has_an_old_version_gets_the_whole_document(self) -> None:
        documents = [self.advance(version) for version in range(1, 20)]
        for document in documents:
            self.history.find_delta(0, document)
        newest = documents[-1]
        self.assertIsNotNone(self.history.find_delta(18, newest))
        oldest_kept = newest.version - MAX_VERSIONS_KEPT + 1
        self.assertIsNotNone(self.history.find_delta(oldest_kept, newest))
        self.assertIsNone(self.history.find_delta(oldest_kept - 1, newest))
        self.assertIsNone(self.history.find_delta(0, newest))

    def test_document_with_nothing_in_common_is_sent_whole(self) -> None:
        self.history.find_delta(0, self.advance(1))
        other = make_document(2, encode(2, make_routes(50, Random(9))))
        self.assertIsNone(self.history.find_delta(1, other))


class StormTests(unittest.TestCase):
    def test_each_version_of_a_storm_was_sent_whole_to_every_entry(self) -> None:
        random = Random(1)
        routes = make_routes(ROUTES, random)
        history = DocumentHistory()
        known = encode(1, routes)
        history.find_delta(0, make_document(1, known))
        sent_bytes = whole_bytes = 0
        for version in range(2, VERSIONS + 2):
            routes = change(routes, random)
            content = encode(version, routes)
            document = make_document(version, content)
            delta = history.find_delta(version - 1, document)
            assert delta is not None
            known = apply_delta(known, delta)
            self.assertEqual(known, content)
            sent_bytes += ENTRIES * delta.ByteSize()
            whole_bytes += ENTRIES * document.ByteSize()
        self.assertLess(sent_bytes, whole_bytes / 20)

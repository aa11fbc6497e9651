"""Tests of decoding runners' heartbeats and departures."""

from __future__ import annotations

import json
import unittest
from typing import Any

from yuccareach.platform.announcements import decode_departure, decode_heartbeat
from yuccareach.platform.errors import InvalidAnnouncement


def encode_heartbeat(**fields: Any) -> bytes:
    """Return a valid heartbeat with other fields; an empty text removes a field."""
    body = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 96,
        "state": "ready",
        "coldRemainingMs": 0,
        "kind": "l4",
        "layers": {"from": 3, "target": 9, "version": 1},
        "sequence": 4,
        "born": 1_700_000_000_000,
        **fields,
    }
    return json.dumps({key: item for key, item in body.items() if item != ""}).encode()


class HeartbeatTests(unittest.TestCase):
    def test_heartbeat_is_decoded_into_a_member(self) -> None:
        member = decode_heartbeat("i-1", encode_heartbeat(state="draining"))
        self.assertEqual(member.backend_server, "i-1")
        self.assertEqual(member.incarnation, "i-1@1700000000000")
        self.assertEqual((member.first_layer, member.end_layer), (3, 9))
        self.assertTrue(member.draining)

    def test_runner_without_layers_has_an_empty_range(self) -> None:
        member = decode_heartbeat("i-1", encode_heartbeat(layers=None))
        self.assertEqual((member.first_layer, member.end_layer), (0, 0))

    def test_malformed_heartbeat_is_rejected(self) -> None:
        cases: list[dict[str, Any]] = [
            {"state": "odd"},
            {"born": "soon"},
            {"born": 1.5},
            {"born": ""},
            {"address": "nowhere"},
            {"sequence": -1},
            {"service": 3},
            {"layers": {"from": "a"}},
        ]
        for fields in cases:
            with self.subTest(fields=fields), self.assertRaises(InvalidAnnouncement):
                decode_heartbeat("i-1", encode_heartbeat(**fields))
        with self.assertRaises(InvalidAnnouncement):
            decode_heartbeat("i-1", b"\xff\xfe")


class DepartureTests(unittest.TestCase):
    def test_departure_may_contain_the_start_time(self) -> None:
        self.assertEqual(decode_departure(b""), 0)
        self.assertEqual(decode_departure(b'{"born": 5}'), 5)
        with self.assertRaises(InvalidAnnouncement):
            decode_departure(b"no")

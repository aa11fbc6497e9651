"""Tests of decoding the operator's routing document."""

from __future__ import annotations

import json
import unittest
from typing import Any

from tests.platform.examples import HOST, KEY, MODEL, PLAIN, build_document, build_route
from yuccareach.gateway.table import RouteKind, RoutingTable
from yuccareach.platform.documents import decode_document
from yuccareach.platform.errors import InvalidDocument


def decode(value: dict[str, Any]) -> RoutingTable:
    return decode_document(json.dumps(value).encode())


class DecodeDocumentTests(unittest.TestCase):
    def test_route_with_the_longest_prefix_serves_a_path(self) -> None:
        routes = [
            build_route("/a/", "safe", PLAIN),
            build_route("/a/b/", "stream", MODEL),
        ]
        table = decode(build_document(routes=routes))
        matched = table.find_route(HOST, "/a/b/c")
        assert matched is not None
        self.assertEqual(matched.path_prefix, "/a/b/")
        self.assertIs(matched.kind, RouteKind.STREAM)
        self.assertIsNone(table.find_route(HOST, "/ab"))
        self.assertIsNone(table.find_route("other.example", "/a/b/c"))

    def test_safe_and_resumable_routes_are_idempotent(self) -> None:
        routes = [
            build_route("/s/", "stream", MODEL),
            build_route("/r/", "stream", MODEL, streamResume=True),
            build_route("/u/", "unsafe", PLAIN),
            build_route("/g/", "safe", PLAIN),
        ]
        table = decode(build_document(routes=routes))
        idempotent = {
            item.path_prefix: item.is_idempotent for item in table.routes_by_host[HOST]
        }
        expected = {"/s/": False, "/r/": True, "/u/": False, "/g/": True}
        self.assertEqual(idempotent, expected)

    def test_keys_are_mapped_to_workspaces(self) -> None:
        table = decode(build_document())
        self.assertEqual(table.workspace_by_key[KEY].name, "a")
        self.assertTrue(table.requires_key)
        self.assertFalse(decode(build_document(tenants=None)).requires_key)

    def test_invalid_documents_are_rejected_with_the_reason(self) -> None:
        split = [{"service": PLAIN, "weight": 0}]
        duplicates = [
            build_route("/a/", "safe", PLAIN),
            build_route("/a/", "unsafe", PLAIN),
        ]
        tenants = [{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}]
        cases = {
            "unknown service": build_document(
                routes=[build_route("/a/", "safe", "none")]
            ),
            "host and prefix": build_document(routes=duplicates),
            "weights": build_document(
                routes=[build_route("/a/", "safe", "", trafficSplit=split)]
            ),
            "timeoutMs": build_document(
                routes=[build_route("/a/", "safe", PLAIN, timeoutMs=0)]
            ),
            "shares a key": build_document(tenants=tenants),
        }
        for reason, invalid in cases.items():
            with self.subTest(reason=reason):
                with self.assertRaisesRegex(InvalidDocument, reason):
                    decode(invalid)

    def test_truncated_document_is_rejected(self) -> None:
        content = json.dumps(build_document()).encode()
        for end in (0, 1, len(content) // 2, len(content) - 1):
            with self.subTest(end=end), self.assertRaises(InvalidDocument):
                decode_document(content[:end])

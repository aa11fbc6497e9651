"""Tests of the checks of a routing table."""

from __future__ import annotations

import unittest
from typing import Any

from yuccareach.gateway.table import (
    Limits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceWeight,
    Workspace,
    index_routes,
)
from yuccareach.settings.table_checks import find_table_warnings

WORKSPACE = Workspace("a", None)
ROUTE = Route(
    name="r",
    host="front.example",
    path_prefix="/a/",
    kind=RouteKind.STREAM,
    timeout_ms=5_000,
    objective_ms=500,
    priority=1,
    services=(ServiceWeight("plain", 1.0),),
    max_attempts=1,
    is_public=False,
    is_resumable=False,
    gap_objective_ms=200,
)


def build_table(*routes: Route, **fields: Any) -> RoutingTable:
    table = RoutingTable(
        version=1,
        routes_by_host=index_routes(list(routes)),
        service_by_name={"plain": Service("plain", 100, None)},
        limits=Limits(),
        workspace_by_key={"key-of-a": WORKSPACE},
        workspaces=(WORKSPACE,),
        requires_key=True,
    )
    return table._replace(**fields)


def list_warnings(table: RoutingTable) -> list[str]:
    return [
        f"{warning.entry}: {warning.message}"
        for warning in find_table_warnings(table, str)
    ]


class UnmatchedEntryTests(unittest.TestCase):
    def test_table_whose_entries_all_match_has_no_warning(self) -> None:
        inner = ROUTE._replace(name="inner", path_prefix="/a/b/")
        outer = ROUTE._replace(name="outer", path_prefix="/")
        self.assertEqual(list_warnings(build_table(ROUTE, inner, outer)), [])

    def test_empty_prefix_is_shadowed_by_a_slash_on_its_host_alone(self) -> None:
        everything = ROUTE._replace(path_prefix="")
        slash = ROUTE._replace(name="slash", path_prefix="/")
        self.assertEqual(
            list_warnings(build_table(everything, slash)),
            ["route r: every path that starts with '/' is taken by route slash"],
        )
        elsewhere = slash._replace(host="other.example")
        self.assertEqual(list_warnings(build_table(everything, elsewhere)), [])

    def test_host_or_prefix_that_no_request_has_is_named(self) -> None:
        for host in ("front.example:8080", "*.example", ""):
            with self.subTest(host=host):
                (warning,) = list_warnings(build_table(ROUTE._replace(host=host)))
                self.assertIn(f"route r: host {host!r} never matches", warning)
        for prefix in ("a/", "/a?b=", "/a b", "/\u0142"):
            with self.subTest(prefix=prefix):
                route = ROUTE._replace(path_prefix=prefix)
                (warning,) = list_warnings(build_table(route))
                self.assertIn(f"path_prefix {prefix!r} never matches", warning)

    def test_service_of_weight_0_and_unused_service_are_named(self) -> None:
        services = (ServiceWeight("plain", 1.0), ServiceWeight("next", 0.0))
        table = build_table(ROUTE._replace(services=services))
        table.service_by_name["spare"] = Service("spare", 100, None)
        table.service_by_name["next"] = Service("next", 100, None)
        self.assertEqual(
            list_warnings(table),
            [
                "route r: service next has weight 0 and gets no request",
                "service spare: no route uses it",
            ],
        )

    def test_workspace_without_a_key_is_named(self) -> None:
        table = build_table(ROUTE, workspaces=(WORKSPACE, Workspace("b", 0)))
        self.assertEqual(
            list_warnings(table),
            ["workspace b: has no key, so no request belongs to it"],
        )

    def test_route_that_needs_a_key_where_none_is_declared_is_named(self) -> None:
        public = ROUTE._replace(name="public", path_prefix="/p/", is_public=True)
        table = build_table(ROUTE, public, workspace_by_key={}, workspaces=())
        self.assertEqual(
            list_warnings(table), ["route r: needs a key, and none is declared"]
        )
        self.assertEqual(list_warnings(table._replace(requires_key=False)), [])


class ContradictoryLimitTests(unittest.TestCase):
    def test_objective_longer_than_the_timeout_is_named_with_both(self) -> None:
        route = ROUTE._replace(timeout_ms=100)
        self.assertEqual(
            list_warnings(build_table(route)),
            [
                "route r: objective_ms 500 is longer than timeout_ms 100",
                "route r: gap_objective_ms 200 is longer than timeout_ms 100",
            ],
        )
        equal = ROUTE._replace(timeout_ms=500)
        self.assertEqual(list_warnings(build_table(equal)), [])

    def test_objective_that_nothing_meets_or_measures_is_named(self) -> None:
        (warning,) = list_warnings(build_table(ROUTE._replace(objective_ms=0)))
        self.assertIn("objective_ms 0 cannot be met", warning)
        call = ROUTE._replace(kind=RouteKind.IDEMPOTENT)
        (warning,) = list_warnings(build_table(call))
        self.assertIn("200 has no effect on a route of kind idempotent", warning)

    def test_header_timeout_longer_than_the_idle_timeout_is_named(self) -> None:
        limits = Limits(header_timeout_ms=3_000, idle_timeout_ms=2_000)
        self.assertEqual(
            list_warnings(build_table(ROUTE, limits=limits)),
            [
                "limits: header_timeout_ms 3000 is longer than idle_timeout_ms 2000",
            ],
        )

    def test_limit_that_admits_no_request_is_named(self) -> None:
        shortest_bytes = len("host: front.example/a/") + 2
        limits = Limits(max_header_bytes=shortest_bytes)
        self.assertEqual(list_warnings(build_table(ROUTE, limits=limits)), [])
        limits = Limits(shortest_bytes - 1, -1, 0, 0)
        self.assertEqual(
            list_warnings(build_table(ROUTE, limits=limits)),
            [
                "route r: its shortest header has 24 bytes, max_header_bytes is 23",
                "limits: max_body_bytes -1 admits no request, expected at least 0",
                "limits: header_timeout_ms 0 leaves no time, expected at least 1",
                "limits: idle_timeout_ms 0 leaves no time, expected at least 1",
            ],
        )

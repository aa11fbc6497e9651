"""Tests of the comparison of two routing tables."""

from __future__ import annotations

import unittest

from tests.settings.test_table_checks import ROUTE, WORKSPACE, build_table
from yuccareach.gateway.table import (
    Limits,
    RouteKind,
    RoutingTable,
    Service,
    ServiceWeight,
    Workspace,
)
from yuccareach.settings.table_comparison import compare_tables


def list_differences(old: RoutingTable, new: RoutingTable) -> list[str]:
    return [
        f"{difference.entry}: {difference.message}"
        for difference in compare_tables(old, new, str)
    ]


class ComparisonTests(unittest.TestCase):
    def test_equal_tables_differ_in_nothing(self) -> None:
        old = build_table(ROUTE)
        self.assertEqual(list_differences(old, build_table(ROUTE, version=2)), [])

    def test_entries_added_and_removed_are_named(self) -> None:
        new = build_table(
            ROUTE._replace(name="s"),
            service_by_name={"other": Service("other", 1, None)},
            workspaces=(),
            workspace_by_key={},
        )
        self.assertCountEqual(
            list_differences(build_table(ROUTE), new),
            [
                "workspace a: removed",
                "service plain: removed",
                "route r: removed",
                "service other: added",
                "route s: added",
                "workspace a: keys: 0 added, 1 removed",
            ],
        )

    def test_changed_fields_are_shown_with_both_values(self) -> None:
        services = (ServiceWeight("plain", 0.30000001), ServiceWeight("next", 2.0))
        new = build_table(
            ROUTE._replace(
                kind=RouteKind.IDEMPOTENT, is_public=True, services=services
            ),
            service_by_name={"plain": Service("plain", 7, None)},
            limits=Limits(idle_timeout_ms=9),
            workspaces=(Workspace("a", 0),),
            workspace_by_key={"key-of-a": Workspace("a", 0)},
            requires_key=False,
        )
        self.assertEqual(
            list_differences(build_table(ROUTE), new),
            [
                "workspace a: priority: none -> 0",
                "service plain: max_connections: 100 -> 7",
                "route r: kind: stream -> idempotent",
                "route r: services: plain 1.0 -> plain 0.30000001, next 2.0",
                "route r: is_public: false -> true",
                "limits: idle_timeout_ms: 15000 -> 9",
                "routes: requests no longer need a key",
            ],
        )

    def test_changed_key_is_counted_and_not_shown(self) -> None:
        new = build_table(ROUTE, workspace_by_key={"other-key": WORKSPACE})
        self.assertEqual(
            list_differences(build_table(ROUTE), new),
            ["workspace a: keys: 1 added, 1 removed"],
        )

    def test_routes_that_share_a_name_are_compared_one_by_one(self) -> None:
        other = ROUTE._replace(path_prefix="/b/")
        new = build_table(ROUTE, other._replace(timeout_ms=6_000))
        self.assertEqual(
            list_differences(build_table(ROUTE, other), new),
            ["route r (front.example/b/): timeout_ms: 5000 -> 6000"],
        )

    def test_unchanged_route_is_not_listed_when_another_takes_its_name(self) -> None:
        other = ROUTE._replace(path_prefix="/b/")
        self.assertEqual(
            list_differences(build_table(ROUTE), build_table(ROUTE, other)),
            ["route r (front.example/b/): added"],
        )

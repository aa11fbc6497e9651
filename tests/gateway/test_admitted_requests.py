"""Tests of the properties of admitted requests."""

from __future__ import annotations

import unittest
from collections import Counter
from unittest import mock

from yuccareach.control.waiting import WaitingKey, build_messages, read_messages
from yuccareach.gateway.admitted_requests import AdmittedRequest
from yuccareach.gateway.table import Workspace
from yuccareach.overload.tickets import RESUMED_PRIORITY


def build_request(
    route_priority: int, workspace_priority: int | None
) -> AdmittedRequest:
    return AdmittedRequest(
        mock.Mock(),
        mock.Mock(),
        mock.Mock(priority=route_priority),
        mock.Mock(),
        Workspace("w", workspace_priority),
        0.0,
        b"",
        (),
    )


class PriorityTests(unittest.TestCase):
    def test_routes_decide_among_workspaces_of_the_same_priority(self) -> None:
        # Guards against urgent routes that were served like all others, since each
        # workspace of the deployment has the same priority.
        priorities = [build_request(route, 1).priority for route in (0, 1, 2)]
        self.assertEqual(priorities, sorted(set(priorities)))

    def test_any_configured_priority_fits_into_a_poll(self) -> None:
        # Guards against gateways whose polls of control end with an error, and against
        # new requests that go before resumed streams. The operator's configuration has
        # no limits for priorities.
        for configured in (-(2**63), -1, 99, 100, 2**32, 2**63):
            for workspace in (None, configured, 1):
                priority = build_request(configured, workspace).priority
                with self.subTest(configured=configured, workspace=workspace):
                    self.assertGreater(priority, RESUMED_PRIORITY)
                    counts = Counter({WaitingKey("s", priority): 1})
                    self.assertEqual(read_messages(build_messages(counts)), counts)

    def test_workspaces_go_before_routes(self) -> None:
        urgent_workspace = build_request(route_priority=9, workspace_priority=0)
        urgent_route = build_request(route_priority=0, workspace_priority=1)
        self.assertLess(urgent_workspace.priority, urgent_route.priority)

    def test_workspace_without_a_priority_has_that_of_the_route(self) -> None:
        self.assertEqual(build_request(2, None).priority, build_request(2, 2).priority)
        self.assertLess(build_request(1, None).priority, build_request(0, 2).priority)

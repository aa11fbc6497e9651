"""Polling the control leader for views."""

from __future__ import annotations

import asyncio
import unittest
import zlib
from typing import Any
from unittest import mock

import grpc

from yuccareach.control.document_deltas import build_delta
from yuccareach.gateway import view
from yuccareach.gateway.view import RETRY_DELAY_S, ViewPoller
from yuccareach.proto import control_pb2 as cpb


class DocumentTests(unittest.IsolatedAsyncioTestCase):
    """Documents that views bring, whole or as changes."""

    def setUp(self) -> None:
        self.gateway: Any = mock.Mock(table=None)
        self.gateway.settings.instance = self.gateway.settings.zone = "z"
        self.gateway.fleet.backend_by_name = {}
        self.gateway.queue_by_service = {}
        self.gateway.fleet.list_unreachable_incarnations.return_value = []
        self.gateway.fleet.find_unconnectable.return_value = []
        self.gateway.loss_changes = 0
        self.poller = ViewPoller(self.gateway, ["a"], self.decode)
        self.first = cpb.RoutingDocument(version=1, content=zlib.compress(b"a},b"))
        self.second = cpb.RoutingDocument(version=2, content=zlib.compress(b"a},c"))

    def decode(self, content: bytes) -> Any:
        return mock.Mock(version={b"a},b": 1, b"a},c": 2}[content])

    def requested_version(self) -> int:
        with mock.patch.object(view, "server_limits") as limits:
            limits.build_reports.return_value = []
            self.gateway.server_limits = mock.Mock(changes=0, term=0)
            return int(self.poller._build_request().document_version)

    def test_delta_is_applied_to_the_document_in_force(self) -> None:
        self.poller._apply_document(cpb.View(document=self.first))
        self.assertEqual(self.requested_version(), 1)
        delta = build_delta(1, self.first.content, self.second)
        self.poller._apply_document(cpb.View(document_delta=delta))
        self.assertEqual(self.gateway.table.version, 2)
        self.assertEqual(self.requested_version(), 2)

    def test_delta_that_does_not_fit_leaves_the_document_and_asks_for_all(self) -> None:
        self.poller._apply_document(cpb.View(document=self.first))
        delta = build_delta(1, zlib.compress(b"q},c"), self.second)
        self.poller._apply_document(cpb.View(document_delta=delta))
        self.assertEqual(self.gateway.table.version, 1)
        self.assertEqual(self.requested_version(), 0)
        self.poller._apply_document(cpb.View(document=self.second))
        self.assertEqual(self.gateway.table.version, 2)
        self.assertEqual(self.requested_version(), 2)

    def test_older_document_is_ignored(self) -> None:
        self.poller._apply_document(cpb.View(document=self.second))
        self.poller._apply_document(cpb.View(document=self.first))
        self.assertEqual(self.gateway.table.version, 2)


class RedirectionTests(unittest.IsolatedAsyncioTestCase):
    """Control instances that do not lead and redirect to the leader that they name."""

    def setUp(self) -> None:
        gateway: Any = mock.Mock(suspect_found=asyncio.Event())
        self.poller = ViewPoller(gateway, ["a", "b"], mock.Mock())
        self.polled_addresses: list[str] = []
        self.dead_addresses: set[str] = set()
        self.delays_s: list[float] = []

    async def run_polls(
        self, leader_by_address: dict[str, str], poll_count: int
    ) -> None:
        """Run the poller for poll_count polls; record its delays without waiting."""

        def _get_stub(address: str) -> Any:
            async def _poll(request: Any, timeout: float) -> cpb.View:
                if len(self.polled_addresses) == poll_count:
                    raise asyncio.CancelledError
                self.polled_addresses.append(address)
                if address in self.dead_addresses:
                    raise grpc.RpcError
                leader = leader_by_address[address]
                return cpb.View(not_leader=True, leader_address=leader)

            return mock.Mock(Poll=_poll)

        async def _record_delay(seconds: float) -> None:
            self.delays_s.append(seconds)

        with (
            mock.patch.object(self.poller, "_get_stub", _get_stub),
            mock.patch.object(self.poller, "_build_request"),
            mock.patch.object(view.asyncio, "sleep", _record_delay),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.poller.run()

    async def test_named_leader_is_polled_without_delay(self) -> None:
        await self.run_polls({"a": "b", "b": ""}, 2)
        self.assertEqual(self.polled_addresses, ["a", "b"])
        self.assertEqual(self.delays_s, [RETRY_DELAY_S])

    async def test_instances_that_name_each_other_are_polled_with_delays(self) -> None:
        # During an election, each of two instances may name the other as the leader.
        await self.run_polls({"a": "b", "b": "a"}, 10)
        self.assertEqual(len(self.delays_s), 9)

    async def test_instance_that_names_a_dead_leader_was_asked_for_ever(self) -> None:
        # As one that is disconnected from the others, and so hears of no new leader.
        self.dead_addresses = {"dead"}
        await self.run_polls({"a": "dead", "b": ""}, 3)
        self.assertEqual(self.polled_addresses, ["a", "dead", "b"])


class KnownAddressTests(unittest.IsolatedAsyncioTestCase):
    """Which control instances a gateway goes on to ask."""

    def setUp(self) -> None:
        gateway: Any = mock.Mock()
        self.poller = ViewPoller(gateway, ["a", "b"], mock.Mock())
        self.enterContext(mock.patch.object(view, "RETRY_DELAY_S", 0))

    async def redirect(self, target: str, *addresses: str) -> None:
        await self.poller._handle_redirect(
            target, cpb.View(not_leader=True, control_addresses=addresses)
        )

    async def test_empty_redirect_made_the_gateway_forget_all_but_the_seeds(
        self,
    ) -> None:
        self.poller._replace_known(["a", "b", "c", "d"])
        await self.redirect("a")
        self.assertEqual(set(self.poller.candidates), {"a", "b", "c", "d"})

    async def test_new_seeds_made_the_gateway_forget_the_instances_it_knew(
        self,
    ) -> None:
        self.poller._replace_known(["a", "c"])
        self.poller.replace_seeds(["x"])
        self.assertEqual(set(self.poller.candidates), {"a", "c", "x"})

    async def test_leader_replaces_what_others_named(self) -> None:
        await self.redirect("a", "old")
        self.poller._replace_known(["c"])
        self.assertEqual(set(self.poller.candidates), {"a", "b", "c"})

    async def test_instance_named_first_is_asked_next(self) -> None:
        await self.redirect("a", "c", "a")
        self.assertEqual(self.poller.candidates[0], "c")

    async def test_addresses_that_redirects_name_are_bounded(self) -> None:
        for number in range(100):
            await self.redirect("a", f"x{number}")
        self.assertEqual(len(self.poller.known_addresses), view.MAX_KNOWN_ADDRESSES)
        self.assertIn("x99", self.poller.candidates)

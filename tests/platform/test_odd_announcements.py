"""Heartbeats of another writer, which are malformed or out of range."""

from __future__ import annotations

import json
import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import MODEL as MODEL_PROFILE
from tests.placement.test_planner import make_server
from tests.platform.deployment import DeploymentTestCase
from tests.platform.examples import PLAIN
from tests.platform.test_announcements import encode_heartbeat
from tests.runtime.test_addresses import UNUSABLE_ADDRESSES
from yuccareach.control.members import MemberTable
from yuccareach.placement.assignments import LayerRange
from yuccareach.placement.planner import plan_assignments
from yuccareach.placement.run import PlacementController
from yuccareach.platform.announcements import decode_departure, decode_heartbeat
from yuccareach.platform.errors import InvalidAnnouncement
from yuccareach.platform.headers import DIALECT
from yuccareach.platform.standin import Runner
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.reducer import monotonic_ms

LARGE_NUMBERS = (2**31, 2**32, 2**53 + 1, 2**63, 2**64, 10**30, 10**400)
DEEP_JSON = b"[" * 30_000 + b"]" * 30_000
PLAIN_SERVICE = {"service": "claims", "kind": "", "layers": None}
NOW_MS = 1_700_000_000_000


def build_odd_heartbeats() -> list[bytes]:
    """Return heartbeats of which none names a runner to use."""
    bodies = [
        encode_heartbeat(**PLAIN_SERVICE, address=address)
        for address in UNUSABLE_ADDRESSES[1:]
    ]
    large = [number for number in LARGE_NUMBERS if number > 2**53]
    bodies += [encode_heartbeat(sequence=number) for number in large]
    bodies += [encode_heartbeat(born=number) for number in large]
    bodies += [encode_heartbeat(slots=number) for number in LARGE_NUMBERS]
    bodies += [
        encode_heartbeat(layers={"from": 0, "target": number})
        for number in LARGE_NUMBERS
    ]
    bodies += [encode_heartbeat(zone="z" * 5_000), encode_heartbeat(service="\0" * 999)]
    bodies += [DEEP_JSON, b'{"other":' + DEEP_JSON + b"}", b"\xff\xfe", b"null", b"[]"]
    bodies += [encode_heartbeat(born=float("inf")), encode_heartbeat(sequence=1e300)]
    return bodies


class DecodingTests(unittest.TestCase):
    def test_odd_heartbeat_is_rejected(self) -> None:
        for body in build_odd_heartbeats():
            with self.subTest(body=body[:150]), self.assertRaises(InvalidAnnouncement):
                decode_heartbeat("i-1", body)

    def test_name_that_cannot_be_sent_in_a_header_is_rejected(self) -> None:
        for name in ("", "i 1", "i-1\r\nX-Other: y", "ı-1", "i" * 1_000):
            with self.subTest(name=name[:20]), self.assertRaises(InvalidAnnouncement):
                decode_heartbeat(name, encode_heartbeat())

    def test_start_in_the_future_outranked_all_later_incarnations(self) -> None:
        in_a_week_ms = NOW_MS + 7 * 86_400_000
        with self.assertRaises(InvalidAnnouncement):
            decode_heartbeat("i-1", encode_heartbeat(born=in_a_week_ms), NOW_MS)
        # Clocks differ by seconds.
        decode_heartbeat("i-1", encode_heartbeat(born=NOW_MS + 10_000), NOW_MS)

    def test_odd_departure_is_rejected(self) -> None:
        bodies = [b'{"born": %d}' % number for number in (2**64, 10**400, -1)]
        for body in (*bodies, DEEP_JSON, b'{"x":' + DEEP_JSON + b"}"):
            with self.subTest(body=body[:40]), self.assertRaises(InvalidAnnouncement):
                decode_departure(body)


class ReportTests(unittest.TestCase):
    """Reports and headers of runners that are malformed or out of range."""

    def test_odd_report_tells_nothing(self) -> None:
        values = ("1e999", "-1", "0", "1" * 400, "[]", '"nan"', '"inf"', "null", "{}")
        bodies = [b'{"pace": %b, "stalled": 7}' % value.encode() for value in values]
        for body in (*bodies, DEEP_JSON, b'{"pace":' + DEEP_JSON + b"}", b"\xff", b"7"):
            with self.subTest(body=body[:40]):
                self.assertIsNone(DIALECT.read_slowdown(body))
                self.assertEqual(DIALECT.read_stalled_requests(body), {})
                self.assertEqual(DIALECT.read_faulty_address(body), "")

    def test_numbers_of_thousands_of_digits_count_as_missing(self) -> None:
        digits = b"9" * 5_000
        metadata = DIALECT.read_response(
            200, [(b"yuccareach-runner-load", b"%b,0,8" % digits)]
        )
        self.assertIsNone(metadata.running_requests)
        request = DIALECT.read_request(
            [(b"yuccareach-deadline-ms", digits), (b"last-event-id", digits)]
        )
        self.assertIsNone(request.deadline_ms)
        self.assertIsNone(request.last_event_id)


class PlacementTests(unittest.TestCase):
    def setUp(self) -> None:
        process: Any = mock.Mock()
        process.members = MemberTable(0)
        process.entry_reports.find_unreachable.return_value = set()
        self.placement = PlacementController(process, mock.Mock(), mock.Mock())

    def test_layers_beyond_the_model_ended_rounds_of_placement_with_a_gap(
        self,
    ) -> None:
        kind = next(iter(MODEL_PROFILE.accelerator_by_kind))
        member = cpb.Member(backend_server="odd", kind=kind, end_layer=500)
        odd = self.placement._build_server(member, MODEL_PROFILE, 0)
        held = make_server("a", "z1", "a100", LayerRange(0, 30))
        plan_assignments([held, odd], MODEL_PROFILE)

    def test_layers_of_a_server_are_cut_to_those_of_the_model(self) -> None:
        kind = next(iter(MODEL_PROFILE.accelerator_by_kind))
        for first, end in ((0, 2**32 - 1), (2**31, 2**32 - 1), (7, 3)):
            member = cpb.Member(
                backend_server="i-1",
                service="s",
                kind=kind,
                first_layer=first,
                end_layer=end,
            )
            server = self.placement._build_server(member, MODEL_PROFILE, 0)
            self.assertLessEqual(server.layers.end, MODEL_PROFILE.layers)
            self.assertGreaterEqual(server.layers.size, 0)


class DeploymentTests(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in ("p-1", "p-2"):
            await self.add_runner(name)
        await self.wait_until_known("p-1", "p-2")

    async def post(self, name: str, call: str, body: bytes) -> int:
        url = f"http://{self.control_address}/-/runners/{name}/{call}"
        async with self.http_session.post(url, data=body) as answer:
            return answer.status

    async def test_sound_servers_were_not_used_beside_odd_heartbeats(self) -> None:
        for number, body in enumerate(build_odd_heartbeats()):
            status = await self.post(f"odd-{number}", "heartbeat", body)
            self.assertEqual(status, 400, body[:150])
        await self.add_runner("p-3")
        await self.wait_until_known("p-3")
        known = set(self.gateway.gateway.fleet.backend_by_name)
        self.assertEqual(known, {"p-1", "p-2", "p-3"})
        for number in range(20):
            answer = await self.send_request("/look/1", f"r{number}", method="GET")
            self.assertEqual(answer.status, 200)

    async def test_gateway_stopped_following_members_after_an_unusable_one(
        self,
    ) -> None:
        # A sound server that the same view brings.
        runner = Runner(self.group, "p-3", PLAIN, "z1", "")
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        # As from control of an earlier version.
        members = self.control.process.members
        for number, address in enumerate(UNUSABLE_ADDRESSES):
            member = cpb.Member(
                backend_server=f"odd-{number}",
                incarnation=f"odd-{number}@5",
                address=address,
                service="claims",
                started_ms=5,
                sequence=1,
            )
            members.record_heartbeat(member, monotonic_ms())
        heartbeat = json.dumps(runner.build_heartbeat()).encode()
        members.record_heartbeat(decode_heartbeat("p-3", heartbeat), monotonic_ms())
        self.control.process.notify_member_watchers()
        await self.wait_until_known("p-3")
        for number in range(60):
            answer = await self.send_request("/look/1", f"r{number}", method="GET")
            self.assertEqual(answer.status, 200)

    async def test_odd_departures_end_nothing(self) -> None:
        for body in (
            b'{"born": %d}' % 2**64,
            DEEP_JSON,
            json.dumps({"born": -1}).encode(),
        ):
            self.assertEqual(await self.post("p-1", "deregister", body), 400)
        answer = await self.send_request("/look/1", "r1", method="GET")
        self.assertEqual(answer.status, 200)

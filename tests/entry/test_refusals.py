"""Tests of calls to services that refuse with Retry-After."""

from __future__ import annotations

import unittest
from typing import Any

from tests.entry.test_queueing import workspace
from yuccareach.entry import calls
from yuccareach.entry.events import CallRequested, Refuse, ReturnReply
from yuccareach.entry.fleet import update_members
from yuccareach.entry.refusals import MAX_LOGGED_CHARACTERS
from yuccareach.entry.state import EntryOptions, EntryState
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
from yuccareach.runtime.links import Send
from yuccareach.runtime.logs import Log
from yuccareach.settings.store import PlainService

SERVICE = "s"


def build_member(name: str, incarnation: str = "1") -> cpb.Member:
    return cpb.Member(
        backend_server=name, incarnation=incarnation, address=name, service=SERVICE
    )


def build_refusal(*values: str, status: int = 503) -> pb.Reply:
    headers = [pb.Header(name="retry-after", value=value) for value in values]
    return pb.Reply(outcome=pb.RAN, status=status, headers=headers)


class RefusingServiceTests(unittest.TestCase):
    def setUp(self) -> None:
        self.state = EntryState(EntryOptions("e", "z"))
        self.call_count = 0

    def add_members(self, *members: cpb.Member) -> None:
        update_members(self.state, cpb.WatchUpdate(members=members))

    def start_call(self, now: int) -> tuple[str, list[Any]]:
        """Start a call; return its id and the effects."""
        self.call_count += 1
        request = f"c{self.call_count}"
        service = PlainService(SERVICE, "t", (), 5_000)
        message = pb.Call(request=request, service=SERVICE)
        event = CallRequested(request, workspace("w"), service, message, True, False)
        return request, calls.start(self.state, event, now)

    def find_address(self, effects: list[Any]) -> str:
        return next(item.peer for item in effects if isinstance(item, Send))

    def refuse_next_call(self, reply: pb.Reply, now: int) -> tuple[str, list[Any]]:
        """Answer a new call with a reply; return the server and the effects."""
        request, effects = self.start_call(now)
        server = self.find_address(effects)
        answer = pb.Reply()
        answer.CopyFrom(reply)
        answer.request = request
        return server, calls.handle_reply(self.state, server, answer, now)

    def list_servers(self, count: int, now: int) -> set[str]:
        """Return the servers that new calls are sent to, each of which is answered."""
        reply = pb.Reply(outcome=pb.RAN, status=200)
        return {self.refuse_next_call(reply, now)[0] for _ in range(count)}

    def test_calls_go_to_the_others_until_the_time_is_over(self) -> None:
        self.add_members(build_member("a"), build_member("b"), build_member("c"))
        refusing, effects = self.refuse_next_call(build_refusal("2.5"), 1_000)
        self.assertTrue(any(isinstance(item, ReturnReply) for item in effects))
        self.assertEqual(self.list_servers(30, 3_499), {"a", "b", "c"} - {refusing})
        self.assertEqual(self.list_servers(30, 3_500), {"a", "b", "c"})

    def test_callers_learn_when_the_first_of_all_servers_wants_calls_again(
        self,
    ) -> None:
        self.add_members(build_member("a"), build_member("b"))
        self.refuse_next_call(build_refusal("30"), 1_000)
        self.refuse_next_call(build_refusal("7"), 1_000)
        _, effects = self.start_call(2_500)
        refusal = next(item.refusal for item in effects if isinstance(item, Refuse))
        self.assertEqual((refusal.status, refusal.retry_after_s), (503, 6))
        self.assertEqual(str(refusal.outcome), "not_run")

    def test_later_incarnation_gets_calls(self) -> None:
        self.add_members(build_member("a"))
        self.refuse_next_call(build_refusal("30"), 1_000)
        self.add_members(build_member("a", "2"))
        self.assertEqual(self.list_servers(1, 1_001), {"a"})

    def test_malformed_time_is_logged_and_changes_nothing(self) -> None:
        self.add_members(build_member("a"))
        for value in ("Fri, 04 Dec 2026 10:00:00 GMT", "-1", "nan", "x" * 5_000):
            _, effects = self.refuse_next_call(build_refusal(value), 1_000)
            lines = [item for item in effects if isinstance(item, Log)]
            ignored = [item for item in lines if item.event == "retry_after_ignored"]
            self.assertEqual(len(ignored), 1)
            self.assertEqual(ignored[0].fields["value"], value[:MAX_LOGGED_CHARACTERS])
        self.assertEqual(self.list_servers(1, 1_001), {"a"})

    def test_time_beside_another_status_is_left_to_the_caller(self) -> None:
        self.add_members(build_member("a"))
        self.refuse_next_call(build_refusal("30", status=429), 1_000)
        self.assertEqual(self.list_servers(1, 1_001), {"a"})

    def test_recorded_reply_of_an_earlier_call_is_no_refusal(self) -> None:
        self.add_members(build_member("a"))
        recorded = build_refusal("30")
        recorded.replayed = True
        self.refuse_next_call(recorded, 1_000)
        self.assertEqual(self.list_servers(1, 1_001), {"a"})

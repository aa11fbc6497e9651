"""Backend servers that send without end, too much, or something that is no HTTP."""

from __future__ import annotations

import asyncio
import tracemalloc

from tests.platform.deployment import Answer, DeploymentTestCase, read_event_ids
from tests.platform.examples import MODEL, PLAIN
from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.gateway.exchanges import Ending
from yuccareach.gateway.server_calls import request_report, send_order
from yuccareach.health.servers import record_contact
from yuccareach.platform.standin_bytes import (
    LARGE_BODY_BYTES,
    UNFRAMED_EVENTS,
    RawAnswer,
    SentAnswer,
    build_events,
)

MAX_HEAD_BYTES = 64 << 10
MAX_BODY_BYTES = 16 << 20
MAX_EVENT_BYTES = 1 << 20
MAX_REPORT_BYTES = 1 << 20
# What the sockets between a runner and the gateway may hold.
SOCKET_BYTES = 8 << 20
# A part of an instance's 300 MB, with what the stand-in itself buffers.
MAX_TRACED_BYTES = 128 << 20
DEADLINE_S = 4.0
# An answer that passes a bound is closed well before the deadline.
MAX_DURATION_S = DEADLINE_S / 2

ENDLESS_HEADS = (
    RawAnswer.HEAD,
    RawAnswer.HEADER_VALUE,
    RawAnswer.REASON,
    RawAnswer.INTERIM,
    RawAnswer.SHORT_HEADERS,
)
ENDLESS_BODIES = (
    RawAnswer.LATE_ANSWERS,
    RawAnswer.BODY,
    RawAnswer.SIGNED_BODY,
    RawAnswer.UNFRAMED_BODY,
    RawAnswer.FAILURE,
    RawAnswer.REFUSAL,
    RawAnswer.CHUNK_EXTENSION,
    RawAnswer.TRAILER,
    RawAnswer.SHORT_TRAILERS,
    RawAnswer.SMALL_CHUNKS,
)


class EndlessBytesTestCase(DeploymentTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for service in (MODEL, PLAIN):
            budget = self.gateway.gateway.get_retry_budget(service)
            budget.limits = RetryBudgetLimits(1.0, 100_000.0, 10.0)

    async def wait_for_close(self, sent_answers: list[SentAnswer]) -> None:
        await self.wait_until(
            lambda: all(item.duration_s is not None for item in sent_answers)
        )

    def check_closed_early(self, sent: SentAnswer, max_bytes: int) -> None:
        self.assertLess(sent.sent_bytes, max_bytes + SOCKET_BYTES)
        assert sent.duration_s is not None
        self.assertLess(sent.duration_s, MAX_DURATION_S)


class PlainCallTests(EndlessBytesTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.runner = await self.add_runner("p0")
        await self.wait_until_known("p0")

    async def check_failed_call(self, kind: RawAnswer, max_bytes: int) -> None:
        """Send a call that gets a raw answer, and one that is answered as usual."""
        self.runner.faults.raw_answer = kind
        self.runner.faults.sent_answers.clear()
        answer = await self.send_request("/claim/1", f"r-{kind}")
        self.assertEqual((answer.status, answer.body), (502, b""))
        (sent,) = self.runner.faults.sent_answers
        await self.wait_for_close([sent])
        self.check_closed_early(sent, max_bytes)
        self.assertGreater(self.find_failures(), 0)
        self.runner.faults.raw_answer = None
        answer = await self.send_request("/claim/1", f"s-{kind}", body=b"sound")
        self.assertEqual((answer.status, answer.body), (200, b"sound"))

    def find_failures(self) -> int:
        return self.gateway.gateway.fleet.backend_by_name["p0"].consecutive_failures

    async def test_endless_head_is_closed_early_and_answered_502(self) -> None:
        for kind in ENDLESS_HEADS:
            with self.subTest(kind=kind):
                await self.check_failed_call(kind, MAX_HEAD_BYTES)

    async def test_endless_body_is_closed_early_and_answered_502(self) -> None:
        for kind in ENDLESS_BODIES:
            with self.subTest(kind=kind):
                await self.check_failed_call(kind, MAX_BODY_BYTES)

    async def test_bytes_that_are_no_http_are_answered_502(self) -> None:
        await self.check_failed_call(RawAnswer.NO_HTTP, MAX_HEAD_BYTES)

    async def test_large_answer_arrives_whole_or_is_no_success(self) -> None:
        self.runner.faults.raw_answer = RawAnswer.LARGE_WITH_LENGTH
        answer = await self.send_request("/claim/1", "r1")
        if answer.status != 502:
            self.assertEqual(answer.status, 200)
            self.assertEqual(len(answer.body), LARGE_BODY_BYTES)

    async def test_answer_that_ends_with_its_connection_is_whole(self) -> None:
        self.runner.faults.raw_answer = RawAnswer.UNFRAMED
        answer = await self.send_request("/claim/1", "r1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, build_events(UNFRAMED_EVENTS))

    async def test_answer_without_a_length_that_is_reset_is_answered_502(self) -> None:
        self.runner.faults.raw_answer = RawAnswer.UNFRAMED_RESET
        answer = await self.send_request("/claim/1", "r1")
        self.assertEqual((answer.status, answer.body), (502, b""))

    async def send_simultaneous_calls(self) -> None:
        """Send calls that all get a signed body without end."""
        self.runner.faults.raw_answer = RawAnswer.SIGNED_BODY
        answers = await asyncio.gather(
            *(self.send_request("/claim/1", f"r{number}") for number in range(16))
        )
        self.assertEqual([answer.status for answer in answers], [502] * 16)
        await self.wait_for_close(self.runner.faults.sent_answers)

    async def test_simultaneous_endless_answers_do_not_exhaust_the_memory(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        await self.send_simultaneous_calls()
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, MAX_TRACED_BYTES)

    async def test_simultaneous_endless_answers_are_closed_early(self) -> None:
        await self.send_simultaneous_calls()
        for sent in self.runner.faults.sent_answers:
            self.check_closed_early(sent, MAX_BODY_BYTES)


class PlainCallFailoverTests(EndlessBytesTestCase):
    async def test_call_is_served_by_a_sound_server_after_an_endless_answer(
        self,
    ) -> None:
        faulty = await self.add_runner("p0")
        await self.add_runner("p1")
        await self.wait_until_known("p0", "p1")
        for kind in (RawAnswer.HEADER_VALUE, RawAnswer.SIGNED_BODY):
            with self.subTest(kind=kind):
                faulty.faults.raw_answer = kind
                # Neither server is avoided or preferred at the start of each kind.
                backend_by_name = self.gateway.gateway.fleet.backend_by_name
                backend_by_name["p0"].record_success()
                backend_by_name["p0"].avoid_until_s = 0.0
                backend_by_name["p1"].failure_rate = 0.5
                answer = await self.send_request("/look/1", f"r-{kind}", method="GET")
                self.assertEqual(answer.status, 200)
                sent = faulty.faults.sent_answers[-1]
                self.assertIs(sent.kind, kind)
                await self.wait_for_close([sent])
                self.check_closed_early(sent, MAX_BODY_BYTES)


class StreamTests(EndlessBytesTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # The gateway is in z1 and prefers this one.
        self.near_runners = await self.add_pipeline("z1")
        self.far_runners = await self.add_pipeline("z2")
        self.faulty = self.near_runners[0]
        runners = (*self.near_runners, *self.far_runners)
        await self.wait_until_known(*(runner.name for runner in runners))

    def clear_failures(self) -> None:
        """Let the gateway prefer the faulty server again."""
        backend = self.gateway.gateway.fleet.backend_by_name[self.faulty.name]
        backend.record_success()
        backend.avoid_until_s = 0.0
        record_contact(backend.health)

    async def request_stream(self, request_id: str) -> Answer:
        return await self.send_request("/draft/1", request_id, events=20)

    async def check_served_elsewhere(self, kind: RawAnswer, max_bytes: int) -> None:
        self.clear_failures()
        self.faulty.faults.raw_answer = kind
        self.faulty.faults.sent_answers.clear()
        answer = await self.request_stream(f"r-{kind}")
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_complete)
        self.assertEqual(read_event_ids(answer), list(range(1, 21)))
        sent = self.faulty.faults.sent_answers[0]
        await self.wait_for_close([sent])
        self.check_closed_early(sent, max_bytes)

    async def test_endless_head_is_closed_early_and_its_stream_served_elsewhere(
        self,
    ) -> None:
        for kind in ENDLESS_HEADS:
            with self.subTest(kind=kind):
                await self.check_served_elsewhere(kind, MAX_HEAD_BYTES)

    async def test_endless_body_is_closed_early_and_its_stream_served_elsewhere(
        self,
    ) -> None:
        # A failure that has arrived whole would be the stream's answer.
        kinds = (RawAnswer.LATE_ANSWERS, RawAnswer.BODY, RawAnswer.FAILURE)
        for kind in kinds:
            with self.subTest(kind=kind):
                await self.check_served_elsewhere(kind, MAX_BODY_BYTES)

    async def test_endless_event_is_closed_early_and_its_stream_resumed(self) -> None:
        await self.check_served_elsewhere(RawAnswer.EVENT, MAX_EVENT_BYTES)

    async def test_stream_that_ends_within_an_event_is_resumed(self) -> None:
        await self.check_served_elsewhere(RawAnswer.UNFRAMED_CUT_EVENT, MAX_EVENT_BYTES)

    async def test_stream_without_a_length_ends_with_its_connection(self) -> None:
        self.faulty.faults.raw_answer = RawAnswer.UNFRAMED
        answer = await self.request_stream("r1")
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_complete)
        self.assertEqual(answer.body, build_events(UNFRAMED_EVENTS))

    async def test_endless_report_is_closed_early(self) -> None:
        for kind in (RawAnswer.HEADER_VALUE, RawAnswer.BODY):
            with self.subTest(kind=kind):
                self.clear_failures()
                self.faulty.faults.raw_report = kind
                self.faulty.faults.sent_answers.clear()
                self.faulty.faults.silence_after_events = 5
                self.faulty.faults.silence_after_events_s = 1.0
                answer = await self.request_stream(f"r-{kind}")
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.is_complete)
                self.assertEqual(read_event_ids(answer), list(range(1, 21)))
                # A stall may be found without a report.
                sent_answers = self.faulty.faults.sent_answers
                await self.wait_for_close(sent_answers)
                for sent in sent_answers:
                    self.check_closed_early(sent, MAX_REPORT_BYTES)

    async def test_endless_report_is_a_failure_of_its_server_and_no_silence(
        self,
    ) -> None:
        gateway = self.gateway.gateway
        backend = gateway.fleet.backend_by_name[self.faulty.name]
        calls = (
            lambda: request_report(gateway, backend, DEADLINE_S),
            lambda: send_order(
                gateway, backend, b"{}", DEADLINE_S, new_connection=False
            ),
        )
        for kind in (*ENDLESS_HEADS, RawAnswer.BODY, RawAnswer.NO_HTTP):
            for call in calls:
                with self.subTest(kind=kind):
                    self.clear_failures()
                    self.faulty.faults.raw_report = kind
                    self.faulty.faults.sent_answers.clear()
                    response = await call()
                    assert response is not None
                    self.assertIsNot(response.ending, Ending.COMPLETE)
                    self.assertEqual(backend.consecutive_failures, 1)
                    self.assertTrue(backend.is_avoided(gateway.now()))
                    self.assertIsNone(backend.health.silent_since_ms)
                    (sent,) = self.faulty.faults.sent_answers
                    await self.wait_for_close([sent])
                    self.check_closed_early(sent, MAX_REPORT_BYTES)

"""Streams that break off, and are answered with something else by the next server."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.platform.deployment import DeploymentTestCase, read_event_ids
from tests.platform.examples import MODEL, PLAIN
from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.placement.assignments import LayerRange
from yuccareach.platform.standin import Runner
from yuccareach.platform.standin_bytes import build_events

EVENTS = 20
BROKEN_AFTER = 7
MARK = b"text-of-the-error"
EVENT_SHAPED = b"id: 8\ndata: token-8 %b\n\n" % MARK


def encode_answer(status: bytes, body: bytes, signature: bytes) -> bytes:
    """Return an answer to the request of the tests; the signature may be empty."""
    head = b"HTTP/1.1 %b\r\nYuccareach-Request-Id: r1\r\n" % status
    if signature:
        head += b"Yuccareach-Runner-Signature: %b\r\n" % signature
    return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


ANSWERS = {
    f"{status[:3].decode()}, {'signed' if signature else 'unsigned'}, {shape}": (
        encode_answer(status, body, signature)
    )
    for status in (b"500 Error", b"503 Full", b"404 Not Found", b"421 Misdirected")
    for signature in (b"", b"far.r1")
    for shape, body in (("text", MARK), ("event", EVENT_SHAPED))
} | {
    "204": b"HTTP/1.1 204 No Content\r\nYuccareach-Request-Id: r1\r\n"
    b"Yuccareach-Runner-Signature: far.r1\r\n\r\n",
    "200, unsigned": encode_answer(b"200 OK", EVENT_SHAPED, b""),
    "no HTTP": MARK + b"\r\n\r\n",
    "nothing": b"",
}


class RawRunner(Runner):
    """A runner that answers each request with set bytes, and closes the connection."""

    raw_bytes = b""

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.received_headers.append(request.headers.copy())
        assert request.transport is not None
        request.transport.write(self.raw_bytes)
        request.transport.close()
        return web.Response()


class ResumedStreamTests(DeploymentTestCase):
    """The first server breaks a stream off, the second answers the resumed one."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for service in (MODEL, PLAIN):
            budget = self.gateway.gateway.get_retry_budget(service)
            budget.limits = RetryBudgetLimits(1.0, 100_000.0, 10.0)
        self.near = await self.add_raw_runner("near", "z1")
        self.far = await self.add_raw_runner("far", "z2")
        for zone in ("z1", "z2"):
            await self.add_runner(f"{zone}-last", "a100", 40, 80, zone)
        await self.wait_until_known("near", "far", "z1-last", "z2-last")

    async def add_raw_runner(self, name: str, zone: str) -> RawRunner:
        runner = RawRunner(self.group, name, MODEL, zone, "a100")
        runner.layers = LayerRange(0, 40)
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        task = asyncio.create_task(runner.send_heartbeats([self.control_address]))
        self.addCleanup(task.cancel)
        return runner

    async def check_answers(self, broken_event: bytes) -> None:
        """Break a stream off after its events and part of one, for each answer."""
        events = build_events(BROKEN_AFTER) + broken_event
        begun = (
            b"HTTP/1.1 200 OK\r\nYuccareach-Request-Id: r1\r\n"
            b"Yuccareach-Runner-Signature: %b.r1\r\n"
            b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"%x\r\n%b\r\n"
        )
        resumed = 0
        for name, raw_answer in ANSWERS.items():
            with self.subTest(answer=name):
                runners = (self.near, self.far)
                counts = [len(runner.received_headers) for runner in runners]
                # Whichever is asked first breaks the stream off.
                for runner, other in (runners, runners[::-1]):
                    runner.raw_bytes = begun % (
                        runner.name.encode(),
                        len(events),
                        events,
                    )
                    other.raw_bytes = raw_answer
                    answer = await self.send_request("/draft/1", "r1", events=EVENTS)
                    if answer.status != 200:
                        # The other one was asked first, so that no stream had begun.
                        continue
                    resumed += (
                        len(other.received_headers) > counts[runners.index(other)]
                    )
                    self.assertFalse(answer.is_complete)
                    self.assertNotIn(MARK, answer.body)
                    self.assertNotIn(b"HTTP/1.1", answer.body)
                    received = read_event_ids(answer)
                    self.assertEqual(received, list(range(1, BROKEN_AFTER + 1)))
        self.assertGreater(resumed, 0)

    async def test_error_of_the_next_server_stays_out_of_a_stream_cut_between_events(
        self,
    ) -> None:
        await self.check_answers(b"")

    async def test_error_of_the_next_server_stays_out_of_a_stream_cut_within_an_event(
        self,
    ) -> None:
        await self.check_answers(b"id: 8\ndata: tok")

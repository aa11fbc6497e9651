"""Answers that backend servers cut in their head, their body or between two answers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING, NamedTuple

from tests.platform.deployment import Answer, DeploymentTestCase, read_event_ids
from tests.platform.examples import MODEL, PLAIN
from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.placement.assignments import LayerRange
from yuccareach.platform.standin import Runner
from yuccareach.platform.standin_bytes import build_events

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

BODY = b"the whole body of the server"
EVENTS = 12
BROKEN_AFTER = 5
# Answers are not cut by a reset before their bytes have been read.
RESET_DELAY_S = 0.02


class Sent(NamedTuple):
    """The bytes that a server sends as its answer, and what it does after them."""

    data: bytes
    # "keep", "close" or "reset" the connection.
    ending: str


class ScriptedRunner(Runner):
    """A runner that answers each request with the bytes that a test chooses."""

    def script(self, request_id: str, connection: int) -> Sent:
        """Return the answer to a request, given the number of its connection."""
        raise NotImplementedError

    async def start(self, port: int = 0) -> None:
        """Listen on a port of the loopback address."""
        self.received_ids: list[str] = []
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server = await asyncio.start_server(self._converse, "127.0.0.1", port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.group.runner_by_address[self.address] = self

    async def close(self) -> None:
        """Stop listening."""
        self.group.runner_by_address.pop(self.address, None)
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await self.server.wait_closed()

    async def _converse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.add(writer)
        connection = self.connections
        ending = "keep"
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while ending == "keep":
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(
                    line.lower().split(": ", 1)
                    for line in head.decode("latin-1").split("\r\n")[1:]
                    if line
                )
                await reader.readexactly(int(fields.get("content-length", "0")))
                request_id = fields.get("yuccareach-request-id", "")
                if request_id:
                    self.received_ids.append(request_id)
                    data, ending = self.script(request_id, connection)
                else:
                    # A probe.
                    content = b'{"stalled": [], "pace": 1.0}'
                    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
                        len(content),
                        content,
                    )
                writer.write(data)
                await writer.drain()
        if ending == "reset":
            await asyncio.sleep(RESET_DELAY_S)
            sock: socket.socket = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()


def build_head(runner: str, request_id: str, *framing: bytes) -> bytes:
    """Return the head of a signed success."""
    lines = [
        b"HTTP/1.1 200 OK",
        b"Yuccareach-Request-Id: %b" % request_id.encode(),
        b"Yuccareach-Runner-Signature: %b.%b" % (runner.encode(), request_id.encode()),
        *framing,
    ]
    return b"\r\n".join((*lines, b"", b""))


def build_answer(runner: str, request_id: str, framing: str, body: bytes) -> bytes:
    """Return a whole answer with a length, in chunks, or ended by its connection."""
    if framing == "length":
        length = b"Content-Length: %d" % len(body)
        return build_head(runner, request_id, length) + body
    if framing == "chunks":
        half = len(body) // 2
        chunks = (body[:half], body[half:], b"")
        return build_head(runner, request_id, b"Transfer-Encoding: chunked") + b"".join(
            b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks
        )
    return build_head(runner, request_id) + body


def count_head_bytes(answer: bytes) -> int:
    """Return the number of bytes up to the empty line, included."""
    return answer.index(b"\r\n\r\n") + 4


# First lines as no sound server sends them, before the rest of a whole answer.
ODD_FIRST_LINES = (
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 ",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 20",
    b"HTTP/1.1",
    b"HTTP/2 200 OK",
    b"HTTP/0.9 200 OK",
    b"http/1.1 200 OK",
    b" HTTP/1.1 200 OK",
    b"\r\nHTTP/1.1 200 OK",
    b"ICY 200 OK",
    b"200 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK",
    b"HTTP/1.1 200 OKHTTP/1.1 200 OK",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
    b"HTTP/1.1 100 Continue",
    b"HTTP/1.1 204 No Content",
    b"HTTP/1.1 304 Not Modified",
    b"HTTP/1.1 101 Switching Protocols",
)


class CutAnswerTestCase(DeploymentTestCase):
    """A test case whose gateway retries as often as a route allows."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for service in (MODEL, PLAIN):
            budget = self.gateway.gateway.get_retry_budget(service)
            budget.limits = RetryBudgetLimits(1.0, 100_000.0, 10.0)

    async def add_scripted_runner(
        self, name: str, kind: str = "", end: int = 0, zone: str = "z1"
    ) -> ScriptedRunner:
        """Start a scripted runner that sends heartbeats."""
        service = MODEL if kind else PLAIN
        runner = ScriptedRunner(self.group, name, service, zone, kind)
        runner.layers = LayerRange(0, end)
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        task = asyncio.create_task(runner.send_heartbeats([self.control_address]))
        self.addCleanup(task.cancel)
        return runner

    def assert_no_partial_success(self, answer: Answer, body: bytes = BODY) -> None:
        """Check that a success is a server's whole answer."""
        if answer.status < 300 and answer.is_complete:
            self.assertEqual(answer.body, body)
            self.assertIn("Yuccareach-Runner-Signature", answer.headers)


class PlainCallTests(CutAnswerTestCase):
    """Calls of plain services."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.runner = await self.add_scripted_runner("p-1")
        await self.wait_until_known("p-1")
        self.numbers = iter(range(1_000_000))

    async def call(self, path: str, script: Callable[[str, int], Sent]) -> Answer:
        """Send a call that the server answers as scripted."""
        self.runner.script = script  # type: ignore[method-assign]
        # What the gateway has seen of this server must not decide what it is sent.
        self.gateway.gateway.fleet.backend_by_name["p-1"].record_success()
        request_id = f"r{next(self.numbers)}"
        answer = await self.send_request(path, request_id)
        if path == "/claim/1":
            self.assertLessEqual(self.runner.received_ids.count(request_id), 1)
        return answer

    def list_cuts(self, framing: str) -> Iterator[int]:
        """List where an answer can be cut so that it is not whole."""
        whole = build_answer("p-1", "r1", framing, BODY)
        if framing == "close":
            # Its body ends with the connection.
            return iter(range(count_head_bytes(whole)))
        return iter(range(len(whole)))

    async def check_cuts(self, path: str, framing: str, ending: str) -> None:
        """Cut the answer at each of its bytes."""
        answered = 0
        for cut in self.list_cuts(framing):

            def _answer(request_id: str, connection: int, cut: int = cut) -> Sent:
                whole = build_answer("p-1", request_id, framing, BODY)
                return Sent(whole[:cut], ending)

            answer = await self.call(path, _answer)
            with self.subTest(cut=cut):
                self.assertIn(answer.status, (502, 504))
            answered += 1
        self.assertGreater(answered, 50)

    async def test_answers_cut_at_each_byte_by_a_close(self) -> None:
        for framing in ("length", "chunks", "close"):
            for path in ("/claim/1", "/look/1"):
                with self.subTest(framing=framing, path=path):
                    await self.check_cuts(path, framing, "close")

    async def test_head_cut_by_a_reset(self) -> None:
        await self.check_cuts("/claim/1", "close", "reset")

    async def test_odd_first_lines(self) -> None:
        for line in ODD_FIRST_LINES:
            for ending in ("keep", "close"):
                for cut in (0, 3):

                    def _answer(
                        request_id: str,
                        connection: int,
                        line: bytes = line,
                        ending: str = ending,
                        cut: int = cut,
                    ) -> Sent:
                        whole = build_answer("p-1", request_id, "length", BODY)
                        rest = whole.partition(b"\r\n")[2]
                        data = line + b"\r\n" + rest[: len(rest) - cut]
                        return Sent(data, "close" if cut else ending)

                    answer = await self.call("/claim/1", _answer)
                    with self.subTest(line=line, ending=ending, cut=cut):
                        # An answer with this status has no body.
                        body = b"" if b"204" in line else BODY
                        self.assert_no_partial_success(answer, body)
                        if cut:
                            self.assertFalse(answer.status < 300 and answer.body)
                        self.assertNotIn(answer.status, (429, 503))

    async def test_second_answer_of_a_kept_connection_cut_at_each_byte_of_its_head(
        self,
    ) -> None:
        head_bytes = count_head_bytes(build_answer("p-1", "r1", "length", BODY))
        for cut in range(head_bytes):
            connections: list[int] = []

            def _answer(
                request_id: str,
                connection: int,
                cut: int = cut,
                connections: list[int] = connections,
            ) -> Sent:
                connections.append(connection)
                whole = build_answer("p-1", request_id, "length", BODY)
                if len(connections) == 1:
                    return Sent(whole, "keep")
                return Sent(whole[:cut], "close")

            first = await self.call("/claim/1", _answer)
            second = await self.call("/claim/1", _answer)
            with self.subTest(cut=cut):
                self.assertEqual((first.status, first.body), (200, BODY))
                self.assertEqual(len(set(connections)), 1)
                self.assertEqual(second.status, 502)

    async def test_bytes_of_a_further_answer_after_a_whole_one(self) -> None:
        for cut in range(1, count_head_bytes(build_head("p-1", "r1")), 7):

            def _answer(request_id: str, connection: int, cut: int = cut) -> Sent:
                whole = build_answer("p-1", request_id, "length", BODY)
                return Sent(whole + whole[:cut], "keep")

            for _ in range(2):
                answer = await self.call("/claim/1", _answer)
                with self.subTest(cut=cut):
                    self.assertEqual((answer.status, answer.body), (200, BODY))

    async def test_cut_head_before_a_whole_answer_on_the_same_connection(self) -> None:
        for cut in range(1, count_head_bytes(build_head("p-1", "r1"))):

            def _answer(request_id: str, connection: int, cut: int = cut) -> Sent:
                whole = build_answer("p-1", request_id, "length", BODY)
                return Sent(build_head("p-1", "other")[:cut] + whole, "close")

            answer = await self.call("/claim/1", _answer)
            with self.subTest(cut=cut):
                self.assert_no_partial_success(answer)
                self.assertNotIn(answer.status, (429, 503))


class ResumedStreamTests(CutAnswerTestCase):
    """The first server breaks a stream off, and the next one's answer is cut."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.near = await self.add_scripted_runner("near", "a100", 40, "z1")
        self.far = await self.add_scripted_runner("far", "a100", 40, "z2")
        for zone in ("z1", "z2"):
            await self.add_runner(f"{zone}-last", "a100", 40, 80, zone)
        await self.wait_until_known("near", "far", "z1-last", "z2-last")

    def build_part(self, runner: str, request_id: str, first: int, end: int) -> bytes:
        """Return an answer with events, in one chunk, without the last chunk."""
        events = build_events(EVENTS)
        offsets = [events.index(b"id: %d\n" % (n + 1)) for n in range(EVENTS)]
        offsets.append(len(events))
        data = events[offsets[first] : offsets[end]]
        head = build_head(
            runner,
            request_id,
            b"Content-Type: text/event-stream",
            b"Transfer-Encoding: chunked",
        )
        return head + (b"%x\r\n%b\r\n" % (len(data), data) if data else b"")

    async def stream(self, request_id: str, second: Callable[[bytes], Sent]) -> Answer:
        """Let the first server break off, and the next one send what is chosen.

        The choice is made from the whole answer of the next server.
        """
        asked: list[str] = []

        def _script_for(name: str) -> Callable[[str, int], Sent]:
            def _answer(request: str, connection: int) -> Sent:
                asked.append(name)
                if len(asked) == 1:
                    return Sent(
                        self.build_part(name, request, 0, BROKEN_AFTER), "close"
                    )
                part = self.build_part(name, request, BROKEN_AFTER, EVENTS)
                return second(part + b"0\r\n\r\n")

            return _answer

        for runner in (self.near, self.far):
            runner.script = _script_for(runner.name)  # type: ignore[method-assign]
        for name in ("near", "far"):
            self.gateway.gateway.fleet.backend_by_name[name].record_success()
        answer = await self.send_request("/draft/1", request_id, events=EVENTS)
        self.resumed = len(asked) > 1
        return answer

    def check(self, answer: Answer) -> None:
        """Check that the stream has its first events, and does not look whole."""
        self.assertTrue(self.resumed)
        self.assertFalse(answer.is_complete)
        ids = read_event_ids(answer)
        self.assertEqual(ids, list(range(1, len(ids) + 1)))
        self.assertGreaterEqual(len(ids), BROKEN_AFTER)
        self.assertNotIn(b"HTTP/1.1", answer.body)

    async def test_resumed_stream_is_whole_if_its_second_answer_is(self) -> None:
        answer = await self.stream("whole", lambda whole: Sent(whole, "keep"))
        self.assertTrue(self.resumed)
        self.assertTrue(answer.is_complete)
        self.assertEqual(read_event_ids(answer), list(range(1, EVENTS + 1)))

    async def test_second_answer_cut_in_its_head(self) -> None:
        head_bytes = count_head_bytes(self.build_part("near", "c00", 0, 1))
        for number, cut in enumerate(range(0, head_bytes, 5)):
            ending = ("close", "reset")[number % 2]
            answer = await self.stream(
                f"c{cut:02}",
                lambda whole, cut=cut, ending=ending: Sent(whole[:cut], ending),
            )
            with self.subTest(cut=cut, ending=ending):
                self.check(answer)

    async def test_second_answer_cut_in_its_body(self) -> None:
        whole = self.build_part("near", "c000", BROKEN_AFTER, EVENTS) + b"0\r\n\r\n"
        for cut in range(count_head_bytes(whole), len(whole), 11):
            answer = await self.stream(
                f"c{cut:03}", lambda whole, cut=cut: Sent(whole[:cut], "close")
            )
            with self.subTest(cut=cut):
                self.check(answer)

    async def test_second_answer_with_an_odd_first_line(self) -> None:
        for number, line in enumerate(ODD_FIRST_LINES):
            answer = await self.stream(
                f"l{number:02}",
                lambda whole, line=line: Sent(
                    line + b"\r\n" + whole.partition(b"\r\n")[2], "close"
                ),
            )
            with self.subTest(line=line):
                self.assertTrue(self.resumed)
                ids = read_event_ids(answer)
                self.assertEqual(ids, list(range(1, len(ids) + 1)))
                self.assertEqual(answer.is_complete, len(ids) == EVENTS)
                self.assertNotIn(b"HTTP/1.1", answer.body)

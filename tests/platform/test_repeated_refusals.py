"""A backend server that writes an earlier refusal once more on a kept connection."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.platform.deployment import DeploymentTestCase
from tests.platform.examples import PLAIN
from yuccareach.platform.standin import Runner

CALLS = 8
REFUSAL = (
    b"HTTP/1.1 503 Full\r\n%bYuccareach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


class RepeatingRunner(Runner):
    """A runner that refuses every second request.

    It runs the others, and writes the refusal before it on their connection again.
    """

    names_requests = False
    refusal = b""

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        assert request.transport is not None
        if not self.refusal:
            request_id = request.headers["Yuccareach-Request-Id"].encode()
            name = b"Yuccareach-Request-Id: %b\r\n" % request_id
            self.refusal = REFUSAL % (name if self.names_requests else b"")
            status_503: dict[str, str] = {"Yuccareach-Not-Executed": "1"}
            if self.names_requests:
                status_503["Yuccareach-Request-Id"] = request_id.decode()
            return web.Response(status=503, headers=status_503)
        request.transport.write(self.refusal)
        self.refusal = b""
        return await super()._serve(request)


class RepeatedRefusalTests(DeploymentTestCase):
    async def add_repeating_runner(self) -> RepeatingRunner:
        runner = RepeatingRunner(self.group, "p-1", PLAIN, "z1", "")
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        task = asyncio.create_task(runner.send_heartbeats([self.control_address]))
        self.addCleanup(task.cancel)
        await self.wait_until_known("p-1")
        return runner

    async def check_calls(self) -> list[int]:
        """Send calls that may run once, and return the statuses of those that ran."""
        statuses_of_run = []
        for number in range(2 * CALLS):
            request_id = f"r{number}"
            answer = await self.send_request("/claim/1", request_id)
            runs = self.group.executed_request_ids.count(request_id)
            self.assertLessEqual(runs, 1)
            if runs:
                statuses_of_run.append(answer.status)
        self.assertGreaterEqual(len(statuses_of_run), CALLS // 2)
        return statuses_of_run

    async def test_callers_were_told_that_requests_had_not_run_which_had(self) -> None:
        await self.add_repeating_runner()
        self.assertEqual(set(await self.check_calls()), {502})

    async def test_answer_follows_a_refusal_that_names_an_earlier_request(
        self,
    ) -> None:
        runner = await self.add_repeating_runner()
        runner.names_requests = True
        self.assertEqual(set(await self.check_calls()), {200})

"""Tests of a complete system in one process, over real HTTP and gRPC."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import aiohttp
import openai

from yuccareach.demo import KEY, LAYERS, PIPELINE, Fleet, start_small_fleet
from yuccareach.load.client import Verdict, request_completion
from yuccareach.standin import model


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a small fleet during each test; options are those of its start."""

    options: dict[str, Any] = {"speed": 20.0}

    async def asyncSetUp(self) -> None:
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.fleet: Fleet = await stack.enter_async_context(
            start_small_fleet(Path(folder), **self.options)
        )
        self.http = await stack.enter_async_context(aiohttp.ClientSession())

    async def post(self, path: str, body: Any, key: str = KEY, **headers: str) -> Any:
        """Post JSON; returns status, headers and decoded body."""
        headers = {"Authorization": f"Bearer {key}", **headers}
        url = self.fleet.url + path
        async with self.http.post(url, json=body, headers=headers) as response:
            content = await response.json(content_type=None)
            return response.status, response.headers, content

    def assert_positions_ran_once_in_order(self) -> None:
        """Check that no engine ran a position twice or out of order."""
        for engine in self.fleet.engines:
            summary = engine.engine.executions.summarize()
            self.assertEqual((summary["repeated"], summary["out_of_order"]), (0, 0))


class CompletionTests(FleetTestCase):
    async def test_concurrent_answers_are_correct_and_run_once(self) -> None:
        results = await asyncio.gather(
            *(
                request_completion(self.http, self.fleet.target, f"letter {number}", 12)
                for number in range(40)
            )
        )
        self.assertEqual({item.verdict for item in results}, {Verdict.RIGHT})
        self.assert_positions_ran_once_in_order()

    async def test_openai_client_gets_the_expected_answers(self) -> None:
        client = openai.AsyncOpenAI(api_key=KEY, base_url=f"{self.fleet.url}/v1")
        self.addAsyncCleanup(client.close)
        self.assertEqual(
            [item.id async for item in await client.models.list()], [PIPELINE]
        )
        messages: Any = [{"role": "user", "content": "hello there"}]
        expected = "".join(model.compute_answer("user: hello there", LAYERS, 6))
        answer = await client.chat.completions.create(
            model=PIPELINE, messages=messages, max_tokens=6
        )
        self.assertEqual(answer.choices[0].message.content, expected)
        self.assertEqual(answer.choices[0].finish_reason, "length")
        self.assertEqual(
            (answer.usage.prompt_tokens, answer.usage.total_tokens), (3, 9)
        )
        stream = await client.chat.completions.create(
            model=PIPELINE,
            messages=messages,
            max_tokens=6,
            stream=True,
            stream_options={"include_usage": True},
        )
        parts = [part async for part in stream]
        text = "".join(
            part.choices[0].delta.content or "" for part in parts if part.choices
        )
        self.assertEqual(text, expected)
        self.assertEqual(parts[-1].usage.completion_tokens, 6)

    async def test_invalid_requests_are_rejected_as_not_run(self) -> None:
        valid = {"model": PIPELINE, "prompt": "x"}
        cases = [
            ({**valid, "model": "none"}, KEY, 404, "model_not_found"),
            (valid, "wrong", 401, "invalid_api_key"),
            ({**valid, "promt": "x"}, KEY, 400, "invalid_request"),
            ({**valid, "max_tokens": 0}, KEY, 400, "invalid_request"),
            ({**valid, "max_tokens": 5000}, KEY, 400, "max_tokens_too_large"),
            ({"model": PIPELINE}, KEY, 400, "invalid_request"),
            ({**valid, "prompt": "x" * (5 << 20)}, KEY, 413, "body_too_large"),
            ({**valid, "prompt": "x" * 300_000}, KEY, 400, "prompt_too_long"),
        ]
        for body, key, status, code in cases:
            with self.subTest(code=code):
                actual_status, headers, content = await self.post(
                    "/v1/completions", body, key
                )
                self.assertEqual(
                    (actual_status, content["error"]["code"]), (status, code)
                )
                self.assertEqual(content["error"]["outcome"], "not_run")
                self.assertEqual(headers["Yuccareach-Outcome"], "not_run")
        self.assertEqual(self.fleet.entries[0].state.request_by_id, {})

    async def test_events_of_a_request_are_shown_to_its_workspace_only(self) -> None:
        body = {"model": PIPELINE, "prompt": "x", "max_tokens": 2}
        _, headers, _ = await self.post("/v1/completions", body)
        url = f"{self.fleet.url}/v1/requests/{headers['Yuccareach-Request']}"
        for key, status in ((KEY, 200), ("wrong", 401)):
            authorization = {"Authorization": f"Bearer {key}"}
            async with self.http.get(url, headers=authorization) as response:
                self.assertEqual(response.status, status)
                content = await response.json()
        self.assertNotIn("events", content)
        async with self.http.get(
            url, headers={"Authorization": f"Bearer {KEY}"}
        ) as response:
            events = (await response.json())["events"]
        self.assertEqual(
            [event["event"] for event in events], ["attempt", "request_finished"]
        )

    async def test_request_of_a_disconnected_caller_is_cancelled_on_all_stages(
        self,
    ) -> None:
        body = {"model": PIPELINE, "prompt": "x", "max_tokens": 1024, "stream": True}
        headers = {"Authorization": f"Bearer {KEY}"}
        url = f"{self.fleet.url}/v1/completions"
        async with self.http.post(url, json=body, headers=headers) as response:
            await response.content.readline()
            response.close()
        async with asyncio.timeout(5):
            while any(agent.state.attempt_by_request for agent in self.fleet.agents):
                await asyncio.sleep(0.01)
            while any(item.engine.sequence_by_id for item in self.fleet.engines):
                await asyncio.sleep(0.01)
        usage = self.fleet.entries[0].state.usage_by_workspace["kalahari/landlords"]
        self.assertEqual((usage.requests_in_flight, usage.tokens_in_flight), (0, 0))


class PlainCallTests(FleetTestCase):
    options = {"speed": 20.0, "entries": 2, "services": 2}

    def count_executions(self, key: str) -> int:
        """Return how often the payout of a key ran."""
        return sum(item.ledger.executions_by_key[key] for item in self.fleet.services)

    async def test_call_sent_again_through_another_entry_runs_once(self) -> None:
        body = {"account": "a", "amount": 5}
        replies = []
        for entry in self.fleet.entries * 2:
            url = f"http://{entry.http.address}/v1/services/ledger/payouts"
            headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": "k1"}
            async with self.http.post(url, json=body, headers=headers) as response:
                replies.append((response.status, await response.json()))
        self.assertEqual(replies, [replies[0]] * 4)
        self.assertEqual(self.count_executions("k1"), 1)

    async def test_concurrent_calls_with_one_key_run_once(self) -> None:
        for service in self.fleet.services:
            service.ledger.delay_ms = 50
        path = "/v1/services/ledger/payouts"
        body = {"account": "a", "amount": 5}
        replies = await asyncio.gather(
            *(self.post(path, body, **{"Idempotency-Key": "k2"}) for _ in range(10))
        )
        self.assertEqual({status for status, _, _ in replies}, {201})
        self.assertEqual(self.count_executions("k2"), 1)

    async def test_key_reused_with_another_body_is_rejected(self) -> None:
        path, key = "/v1/services/ledger/payouts", {"Idempotency-Key": "k3"}
        await self.post(path, {"account": "a", "amount": 5}, **key)
        status, _, content = await self.post(path, {"account": "a", "amount": 6}, **key)
        self.assertEqual((status, content["error"]["code"]), (422, "key_reused"))
        self.assertEqual(self.count_executions("k3"), 1)

    async def test_call_to_an_undeclared_route_is_rejected(self) -> None:
        status, _, content = await self.post("/v1/services/ledger/refunds", {})
        self.assertEqual(status, 404)
        self.assertEqual(content["error"]["code"], "route_not_declared")

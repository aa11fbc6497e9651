"""The soak: that it finds breaches, and that one short seed keeps every promise."""

from __future__ import annotations

import asyncio
import logging
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from bench.soak.callers import Asked
from bench.soak.deployment import Program
from bench.soak.documents import KEY, PASSING_WORKSPACE
from bench.soak.faults import Disturbance, schedule
from bench.soak.promises import DRAIN_S, REVOKE_S, Seen, find_breaches
from bench.soak.run import Plan, play
from bench.soak.runners import Arrival
from bench.soak.seeds import REGRESSIONS


def answered(**fields: Any) -> Asked:
    """Return a plain call that was answered as it should be."""
    values = Asked("r1", "/pay/1", KEY, 0, 1.0, 2.0, 200, "r1", "", b"r1", True, 0)
    return values._replace(**fields)


def streamed(body: bytes, **fields: Any) -> Asked:
    """Return a stream of two events with this body."""
    return answered(path="/draft/1", body=body, events=2, **fields)


def event(number: int, state: str = "ok") -> bytes:
    """Return one event as the stand-in writes it."""
    return f"id: {number}\ndata: token-{number} {state}\n\n".encode()


class FindBreachesTests(unittest.TestCase):
    """Each promise, with what breaks it."""

    def breaches(self, *asked: Asked, **fields: Any) -> list[str]:
        """Return the breaches of a soak that saw this."""
        seen = Seen(list(asked), [], [], [], None)
        return find_breaches(seen._replace(**fields))

    def test_right_answers_break_nothing(self) -> None:
        stream = streamed(event(1) + event(2))
        self.assertEqual(self.breaches(answered(), stream, runs=["r1"]), [])

    def test_answer_of_another_request(self) -> None:
        self.assertEqual(len(self.breaches(answered(echoed="r2"))), 1)
        self.assertEqual(len(self.breaches(answered(body=b"r2"))), 1)

    def test_events_out_of_order_twice_or_missing(self) -> None:
        for body in (event(2), event(1) + event(1), event(1) + event(3)):
            self.assertTrue(self.breaches(streamed(body, whole=False)), body)

    def test_stream_that_looks_whole_and_is_not(self) -> None:
        self.assertEqual(len(self.breaches(streamed(event(1)))), 1)
        self.assertEqual(self.breaches(streamed(event(1), whole=False)), [])

    def test_layers_out_of_order(self) -> None:
        body = event(1) + event(2, "bad")
        self.assertEqual(len(self.breaches(streamed(body))), 1)

    def test_refusal_of_what_ran(self) -> None:
        refused = answered(status=503, retry_after="1", body=b"")
        self.assertEqual(self.breaches(refused), [])
        self.assertEqual(len(self.breaches(refused, runs=["r1"])), 1)
        self.assertEqual(len(self.breaches(refused._replace(retry_after=""))), 1)

    def test_non_idempotent_call_that_ran_twice(self) -> None:
        self.assertEqual(len(self.breaches(answered(), runs=["r1", "r1"])), 1)

    def test_new_work_for_a_leaving_server(self) -> None:
        late = Arrival(10.0 + DRAIN_S + 0.1, "r1", "")
        runner = mock.Mock(drained_s=10.0, arrivals=[late])
        self.assertEqual(len(self.breaches(answered(), runners=[runner])), 1)
        paused = Disturbance("pause", Program("gateway", 0), 9.0, late.at_s)
        self.assertEqual(
            self.breaches(answered(), runners=[runner], disturbances=[paused]), []
        )

    def test_work_under_a_revoked_key(self) -> None:
        late = Arrival(10.0 + REVOKE_S + 0.1, "r1", PASSING_WORKSPACE)
        runner = mock.Mock(drained_s=None, arrivals=[late])
        seen = {"runners": [runner], "revoked_s": 10.0}
        self.assertEqual(len(self.breaches(answered(), **seen)), 1)

    def test_request_lost_at_a_shutdown(self) -> None:
        lost = answered(status=0, echoed="", body=b"", whole=False)
        cut = streamed(event(1), whole=False)
        term = Disturbance("term", Program("gateway", 0), 0.5, 3.0)
        fields = {"runs": ["r1"], "disturbances": [term]}
        self.assertEqual(len(self.breaches(lost, **fields)), 1)
        self.assertEqual(len(self.breaches(cut, **fields)), 1)
        kill = term._replace(kind="kill")
        fields["disturbances"] = [term, kill]
        self.assertEqual(self.breaches(lost, **fields), [])


class ScheduleTests(unittest.TestCase):
    def test_seed_decides_the_faults(self) -> None:
        self.assertEqual(schedule(3, 30, 1, 3), schedule(3, 30, 1, 3))
        self.assertNotEqual(schedule(3, 30, 1, 3), schedule(4, 30, 1, 3))

    def test_control_loses_one_instance_at_a_time(self) -> None:
        faults = [
            item for item in schedule(5, 300, 1, 3) if item.kind.startswith("control")
        ]
        self.assertGreater(len(faults), 20)
        for one, other in zip(faults, faults[1:], strict=False):
            self.assertGreater(other.at_s, one.at_s + one.for_s)


class PlayedTests(unittest.IsolatedAsyncioTestCase):
    async def play(self, plan: Plan) -> None:
        """Play a seed, without the bounds in seconds."""
        # The stand-ins run in this loop, which unittest makes several times slower.
        asyncio.get_running_loop().set_debug(False)
        log = logging.getLogger("aiohttp")
        self.addCleanup(log.setLevel, log.level)
        log.setLevel(logging.CRITICAL)
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
            played = await play(plan, Path(folder))
        self.assertEqual(played.breaches, [])
        self.assertGreater(played.answers[200], 0)

    async def test_short_seed_keeps_every_promise(self) -> None:
        plan = Plan(1, gateways=2, callers=6, duration_s=5.0, timed=False)
        await self.play(plan)

    async def test_seeds_that_failed_once(self) -> None:
        for seed, cause in REGRESSIONS.items():
            with self.subTest(seed=seed, cause=cause):
                await self.play(Plan(seed, timed=False))

"""Tests that the soak finds violations, and that one short seed has none.

The checks of backend servers are tested in test_soak_servers.
"""

from __future__ import annotations

import asyncio
import logging
import tempfile
import unittest
from pathlib import Path
from typing import Any

from bench.soak.crash_promises import (
    MAX_LATE_PART_ARRIVALS,
    MAX_LATE_RETRIES,
    MAX_PART_CRASHES,
    MAX_QUARANTINE_DELAY_S,
    MAX_SOUND_DELAY_S,
    MIN_COMPARED_REQUESTS,
)
from bench.soak.deployment import Deployment, Program
from bench.soak.documents import (
    CRASHING_PART,
    CRASHING_PREFIX,
    TEMPORARY_WORKSPACE,
)
from bench.soak.faults import InjectedFault
from bench.soak.observations import CONTACT_DELAY_S, LIMIT_EFFECT_DELAY_S
from bench.soak.promises import (
    MAX_DRAIN_DELAY_S,
    MAX_REVOCATION_DELAY_S,
)
from bench.soak.run import Plan, run_seed
from bench.soak.runners import Arrival, LimitSpan, SoakRunner
from bench.soak.schedule import MORE_FAULTS_PER_S, make_schedule
from bench.soak.seeds import REGRESSIONS
from tests.soak import (
    CheckTestCase,
    make_event,
    make_record,
    make_runner,
    make_stream_record,
)

# Lines of each process's log that a failed seed prints.
LOGGED_LINES = 300


def read_logs(folder: Path) -> str:
    """Return the last lines of each process's log, so that a failure can be traced."""
    return "\n".join(
        "\n".join(
            (path.name, *path.read_text(errors="replace").splitlines()[-LOGGED_LINES:])
        )
        for path in sorted(folder.glob("*.log"))
    )


class FindViolationsTests(CheckTestCase):
    """Each guarantee, with records that violate it."""

    def test_correct_answers_violate_nothing(self) -> None:
        stream = make_stream_record(make_event(1) + make_event(2))
        self.assertEqual(self.check_records(make_record(), stream, runs=["r1"]), [])

    def test_answer_to_another_request(self) -> None:
        self.assertEqual(len(self.check_records(make_record(echoed_request="r2"))), 1)
        self.assertEqual(len(self.check_records(make_record(body=b"r2"))), 1)

    def test_events_out_of_order_twice_or_missing(self) -> None:
        for body in (
            make_event(2),
            make_event(1) + make_event(1),
            make_event(1) + make_event(3),
        ):
            self.assertTrue(
                self.check_records(make_stream_record(body, is_complete=False)), body
            )

    def test_stream_that_ends_normally_but_lacks_events(self) -> None:
        self.assertEqual(len(self.check_records(make_stream_record(make_event(1)))), 1)
        self.assertEqual(
            self.check_records(make_stream_record(make_event(1), is_complete=False)), []
        )

    def test_layers_run_out_of_order(self) -> None:
        body = make_event(1) + make_event(2, "bad")
        self.assertEqual(len(self.check_records(make_stream_record(body))), 1)

    def test_refusal_of_request_that_ran(self) -> None:
        refused = make_record(status=503, retry_after="1", body=b"")
        self.assertEqual(self.check_records(refused), [])
        self.assertEqual(len(self.check_records(refused, runs=["r1"])), 1)
        self.assertEqual(len(self.check_records(refused._replace(retry_after=""))), 1)

    def test_non_idempotent_call_that_ran_twice(self) -> None:
        self.assertEqual(len(self.check_records(make_record(), runs=["r1", "r1"])), 1)

    def test_new_request_to_draining_server(self) -> None:
        late = Arrival(10.0 + MAX_DRAIN_DELAY_S + 0.1, "r1", "")
        runner = make_runner(late, drain_acknowledged_s=10.0)
        self.assertEqual(len(self.check_records(make_record(), runners=[runner])), 1)
        paused = InjectedFault("pause", Program("gateway", 0), 9.0, late.received_s)
        self.assertEqual(
            self.check_records(
                make_record(), runners=[runner], injected_faults=[paused]
            ),
            [],
        )

    def test_request_with_revoked_key(self) -> None:
        late = Arrival(10.0 + MAX_REVOCATION_DELAY_S + 0.1, "r1", TEMPORARY_WORKSPACE)
        runner = make_runner(late)
        observations = {"runners": [runner], "revoked_s": 10.0}
        self.assertEqual(len(self.check_records(make_record(), **observations)), 1)

    def check_crashing_request(self, late_retries: int, **fields: Any) -> list[str]:
        """Return the violations if so many retries arrive after the bound."""
        third_s = 2.0
        late_s = third_s + MAX_QUARANTINE_DELAY_S + 0.1
        times_s = [0.0, 1.0, third_s, *[late_s] * late_retries]
        requests = [f"r{number}" for number in range(len(times_s))]
        arrivals = map(Arrival, times_s, requests, [""] * len(requests))
        runner = make_runner(*arrivals)
        records = [
            make_record(request=request, status=502, sent_body=CRASHING_PREFIX)
            for request in requests
        ]
        return self.check_records(
            *records,
            runners=[runner],
            runs=requests,
            crash_resends={CRASHING_PREFIX: requests},
            **fields,
        )

    def test_crashing_request_that_is_sent_on(self) -> None:
        self.assertEqual(self.check_crashing_request(MAX_LATE_RETRIES), [])
        self.assertEqual(len(self.check_crashing_request(MAX_LATE_RETRIES + 1)), 1)
        fault = InjectedFault("kill", Program("gateway", 0), 4.0, 5.0)
        violations = self.check_crashing_request(
            MAX_LATE_RETRIES + 1, injected_faults=[fault]
        )
        self.assertEqual(violations, [])

    def test_long_refusal_of_a_request_that_crashes_nothing(self) -> None:
        refused = make_record(status=503, retry_after="600", body=b"")
        self.assertEqual(len(self.check_records(refused)), 1)
        crashing = refused._replace(sent_body=CRASHING_PREFIX + b"1")
        self.assertEqual(self.check_records(crashing), [])
        with_part = refused._replace(prompt_parts=("f", CRASHING_PART, "e"))
        self.assertEqual(self.check_records(with_part), [])
        beside = refused._replace(prompt_parts=("f", "e"))
        self.assertEqual(len(self.check_records(beside)), 1)

    def test_request_interrupted_by_shutdown(self) -> None:
        unanswered = make_record(
            status=0, echoed_request="", body=b"", is_complete=False
        )
        interrupted = make_stream_record(make_event(1), is_complete=False)
        term = InjectedFault("term", Program("gateway", 0), 0.5, 3.0)
        fields = {"runs": ["r1"], "injected_faults": [term]}
        self.assertEqual(len(self.check_records(unanswered, **fields)), 1)
        self.assertEqual(len(self.check_records(interrupted, **fields)), 1)
        kill = term._replace(kind="kill")
        fields["injected_faults"] = [term, kill]
        self.assertEqual(self.check_records(unanswered, **fields), [])


class CrashingPartTests(CheckTestCase):
    last_crash_s = float(MAX_PART_CRASHES)

    def check_part(
        self,
        late: int = 0,
        before: int = 0,
        begun_after: int = 0,
        injected_faults: tuple[InjectedFault, ...] = (),
        others: tuple[SoakRunner, ...] = (),
        **fields: Any,
    ) -> list[str]:
        """Return the violations if requests with a crashing part arrive late.

        Sound streams all begin before it, and MIN_COMPARED_REQUESTS are sent after.
        """
        late_s = self.last_crash_s + MAX_QUARANTINE_DELAY_S + 0.1
        after_s = self.last_crash_s + MAX_SOUND_DELAY_S + 0.1
        parts = ("f", CRASHING_PART, "e")
        records = [
            make_record(request=f"late{number}", status=502, prompt_parts=parts)
            for number in range(late)
        ]
        records.append(
            make_record(request="end", status=503, retry_after="1", prompt_parts=parts)
        )
        records[-1] = records[-1]._replace(started_s=after_s + 1)
        stream = make_stream_record(make_event(1) + make_event(2), prompt_parts=("f",))
        records += [
            stream._replace(request=f"b{number}", echoed_request=f"b{number}")
            for number in range(before)
        ]
        records += [
            make_record(request=f"a{number}", path="/draft/1", status=502, body=b"")
            for number in range(MIN_COMPARED_REQUESTS - begun_after)
        ]
        records += [
            stream._replace(request=f"c{number}", echoed_request=f"c{number}")
            for number in range(begun_after)
        ]
        records = [
            (
                item._replace(started_s={"a": after_s, "c": after_s, "b": 0.5}[kind])
                if (kind := item.request[0]) in "abc"
                else item
            )
            for item in records
        ]
        runners = [
            make_runner(name=f"i-{number}", part_crash_s=number, closed_s=number)
            for number in range(1, MAX_PART_CRASHES + 1)
        ]
        runners[0].arrivals = [
            Arrival(late_s, f"late{number}", "") for number in range(late)
        ]
        vars(runners[0]).update({"closed_s": None, "started_s": 0.0, **fields})
        runners += others
        return self.check_records(
            *records, runners=runners, injected_faults=list(injected_faults)
        )

    def test_crashing_part_that_reaches_servers_late(self) -> None:
        self.assertEqual(self.check_part(MAX_LATE_PART_ARRIVALS), [])
        self.assertEqual(len(self.check_part(MAX_LATE_PART_ARRIVALS + 1)), 1)

    def test_only_a_gateway_out_of_touch_or_a_link_excuses_them(self) -> None:
        late = MAX_LATE_PART_ARRIVALS + 1
        arrival_s = self.last_crash_s + MAX_QUARANTINE_DELAY_S + 0.1
        for program in (Program("gateway", 0), Program("control", 1)):
            for age_s, count in ((1.0, 0), (CONTACT_DELAY_S + 0.5, 1)):
                fault = InjectedFault("kill", program, 1.0, arrival_s - age_s)
                with self.subTest(fault=fault):
                    violations = self.check_part(late, injected_faults=(fault,))
                    self.assertEqual(len(violations), count)
        held_up = [(arrival_s - 1, arrival_s + 1)]
        self.assertEqual(self.check_part(late, link_faults=held_up), [])

    def test_sound_streams_that_begin_less_often(self) -> None:
        half = MIN_COMPARED_REQUESTS // 2
        self.assertEqual(self.check_part(before=half * 2, begun_after=half), [])
        self.assertEqual(len(self.check_part(before=half * 2, begun_after=half - 1)), 1)
        self.assertEqual(self.check_part(before=half), [])

    def test_only_a_service_that_refuses_as_a_whole_excuses_them(self) -> None:
        half = MIN_COMPARED_REQUESTS // 2
        whole = [(0.0, 100.0)]
        other = make_runner(name="i-9", started_s=0.0)
        self.assertEqual(
            len(self.check_part(before=half * 2, refusals=whole, others=(other,))), 1
        )
        other.refusals = whole
        self.assertEqual(
            self.check_part(before=half * 2, refusals=whole, others=(other,)), []
        )

    def test_only_a_service_that_is_limited_as_a_whole_excuses_them(self) -> None:
        half = MIN_COMPARED_REQUESTS // 2
        spans = [LimitSpan(0.0, 100.0, 2.0)]
        after_s = self.last_crash_s + MAX_SOUND_DELAY_S + 0.1
        other = make_runner(name="i-9", started_s=0.0)
        for other_spans, count in (
            (spans, 0),
            ([], 1),
            ([LimitSpan(2.0, after_s - LIMIT_EFFECT_DELAY_S - 0.1, 0.0)], 1),
            ([LimitSpan(2.0, after_s - LIMIT_EFFECT_DELAY_S + 0.1, 0.0)], 0),
        ):
            with self.subTest(other_spans=other_spans):
                other.limit_spans = other_spans
                violations = self.check_part(
                    before=half * 2, limit_spans=spans, others=(other,)
                )
                self.assertEqual(len(violations), count)


class ScheduleTests(unittest.TestCase):
    def test_each_seed_has_each_of_the_newer_faults(self) -> None:
        kinds = {item.kind for item in make_schedule(1, 5, 1, 3)}
        self.assertLessEqual(set(MORE_FAULTS_PER_S), kinds)

    def test_seed_determines_the_faults(self) -> None:
        self.assertEqual(make_schedule(3, 30, 1, 3), make_schedule(3, 30, 1, 3))
        self.assertNotEqual(make_schedule(3, 30, 1, 3), make_schedule(4, 30, 1, 3))

    def test_control_loses_one_instance_at_a_time(self) -> None:
        faults = [
            item
            for item in make_schedule(5, 300, 1, 3)
            if item.kind.startswith("control")
        ]
        self.assertGreater(len(faults), 20)
        for one, other in zip(faults, faults[1:], strict=False):
            self.assertGreater(other.start_s, one.start_s + one.duration_s)


class DeploymentTests(unittest.IsolatedAsyncioTestCase):
    async def test_control_has_all_votes_once_no_instance_is_still_joining(
        self,
    ) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        deployment = Deployment(folder, 3, 0)
        logs = [folder / f"control-{number}.log" for number in range(3)]
        for log in logs:
            log.write_text("time=0 event=started instance=front-0\n")
        for members, expected in (
            ("a,b(non-voter)", False),
            ("a,b", False),
            ("a,b,c(non-voter)", False),
            ("a,b(non-voter),c,d(non-voter)", False),
            ("a,b,c,d(non-voter)", True),
            ("a,b,c", True),
        ):
            with logs[1].open("a") as log_file:
                log_file.write(f"time=1 event=members_changed members={members}\n")
            with self.subTest(members=members):
                self.assertIs(await deployment.has_all_voters(), expected)


class SeedTests(unittest.IsolatedAsyncioTestCase):
    async def run_seed(self, plan: Plan) -> None:
        """Run a seed without checks of bounds in seconds."""
        # unittest sets debug mode, which slows this loop and the stand-ins in it down
        # several times.
        asyncio.get_running_loop().set_debug(False)
        log = logging.getLogger("aiohttp")
        self.addCleanup(log.setLevel, log.level)
        log.setLevel(logging.CRITICAL)
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
            result = await run_seed(plan, Path(folder))
            if result.violations:
                print(read_logs(Path(folder)))
        self.assertEqual(result.violations, [])
        self.assertGreater(result.answers[200], 0)

    async def test_short_seed_keeps_every_guarantee(self) -> None:
        plan = Plan(
            1, gateway_count=2, caller_count=6, duration_s=5.0, check_time_bounds=False
        )
        await self.run_seed(plan)

    async def test_silent_servers_alone(self) -> None:
        plan = Plan(1, check_time_bounds=False, fault_kinds=("runner_silent",))
        await self.run_seed(plan)

    async def test_crashing_request_does_not_accuse_the_parts_that_others_share(
        self,
    ) -> None:
        plan = Plan(2, check_time_bounds=False, fault_kinds=("caller_crash",))
        await self.run_seed(plan)

    async def test_seeds_that_failed_in_the_past(self) -> None:
        for seed, cause in REGRESSIONS.items():
            with self.subTest(seed=seed, cause=cause):
                await self.run_seed(Plan(seed, check_time_bounds=False))

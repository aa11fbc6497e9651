"""Tests of entries and agents under broken links, kills, drains and lost answers."""

from __future__ import annotations

import os
import unittest
from random import Random
from typing import Any

from tests.system import System, run_seeded_history
from yuccareach.agent import events as agent_events
from yuccareach.control.client import WatchUpdated
from yuccareach.entry import events as entry_events
from yuccareach.entry.recovery import MAX_UNPROVEN_RECOVERIES
from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
from yuccareach.quarantine.counts import QUARANTINE_LOSS_THRESHOLD
from yuccareach.quarantine.table import get_count
from yuccareach.runtime.links import LinkLost


class SeededHistoryTests(unittest.TestCase):
    def run_histories(self, *, resume: bool) -> None:
        first = int(os.environ.get("FUZZ_SEED", "1"))
        count = int(os.environ.get("FUZZ_RUNS", "15"))
        steps = int(os.environ.get("FUZZ_STEPS", "1500"))
        for seed in range(first, first + count):
            with self.subTest(seed=seed, steps=steps):
                run_seeded_history(seed, steps, resume=resume)

    def test_recovery_by_resume(self) -> None:
        self.run_histories(resume=True)

    def test_refilled_stage_sends_only_positions_with_content(self) -> None:
        # A link lost while a new first stage still had fewer positions than the next
        # stage made the first stage send positions without content.
        run_seeded_history(517, 2500)

    def test_recovery_by_replay(self) -> None:
        self.run_histories(resume=False)


class RecoveryTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.random = Random(1)
        self.system = System()

    def run_for(self, rounds: int) -> None:
        """Run all processes for a number of rounds of 5 ms each."""
        for _ in range(rounds):
            for _ in range(20):
                self.system.deliver_random(self.random)
            for node in self.system.agents:
                if node.is_service:
                    self.system.run_service(node)
                elif node.is_up:
                    self.system.run_engine(node, 4)
            for entry in self.system.entries.values():
                self.system.answer_permit(entry)
            self.system.tick(5)

    def run_until_delivered(self, request: str, tokens: int) -> None:
        while len(self.system.record_by_request[request].received_tokens) < tokens:
            self.run_for(1)

    def find_chain(self, request: str) -> list[str]:
        entry = self.system.entries[self.system.record_by_request[request].entry]
        chain = entry.state.request_by_id[request].chain
        return [member.backend_server for member in chain]

    def count_positions_run(self) -> int:
        return sum(engine.executions.total for engine in self.system.engines)


class RecoveryTests(RecoveryTestCase):
    def test_after_loss_of_a_stage_only_that_stage_runs_positions_again(self) -> None:
        for stage in (0, 1):
            with self.subTest(stage=stage):
                self.system = System()
                request = self.system.request_completion("e1", "four words of prompt")
                self.run_until_delivered(request, 2)
                lost = self.find_chain(request)[stage]
                survivors = set(self.find_chain(request)) - {lost}
                node = self.system.agents[int(lost[1:])]
                self.system.kill_agent(node)
                self.run_for(200)
                result = self.system.record_by_request[request].result
                self.assertIsInstance(result, entry_events.FinishAnswer)
                for name in survivors:
                    engine = self.system.agents[int(name[1:])].engine
                    # Four words and four tokens, each once: the fifth token is not fed
                    # back.
                    self.assertEqual(engine.executions.total, 8)

    def test_second_loss_during_recovery(self) -> None:
        request = self.system.request_completion("e1", "four words of prompt")
        self.run_until_delivered(request, 2)
        for stage in (1, 0):
            lost = self.find_chain(request)[stage]
            self.system.kill_agent(self.system.agents[int(lost[1:])])
            self.run_for(1)
        for node in self.system.agents:
            self.system.restart_agent(node)
        self.system.publish_members()
        self.system.run_until_settled(self.random)
        self.assertIsInstance(
            self.system.record_by_request[request].result, entry_events.FinishAnswer
        )

    def test_request_without_another_chain_waits_and_does_not_fail(self) -> None:
        # Where no other chain existed, the entry retried the broken one at once until
        # the request had used up its permitted failures, and the answers of two dead
        # neighbours caused each other without end.
        request = self.system.request_completion("e1", "four words of prompt")
        self.run_until_delivered(request, 1)
        for number in (0, 1):
            self.system.kill_agent(self.system.agents[number])
        self.run_for(20)
        self.assertIsNone(self.system.record_by_request[request].result)
        for number in (0, 1):
            self.system.restart_agent(self.system.agents[number])
        self.system.publish_members()
        self.system.run_until_settled(self.random)
        self.assertIsInstance(
            self.system.record_by_request[request].result, entry_events.FinishAnswer
        )

    def test_draining_backend_server_finishes_and_accepts_no_new_request(self) -> None:
        request = self.system.request_completion("e1", "four words of prompt")
        self.run_until_delivered(request, 1)
        draining = self.find_chain(request)[1]
        node = self.system.agents[int(draining[1:])]
        self.system.drain_agent(node)
        before = set(node.state.attempt_by_request)
        others = [
            self.system.request_completion("e1", f"prompt {number}")
            for number in range(5)
        ]
        self.run_for(200)
        self.assertEqual(before, {request})
        for identifier in (request, *others):
            result = self.system.record_by_request[identifier].result
            self.assertIsInstance(result, entry_events.FinishAnswer)
        ran = {
            sequence.partition("/")[0]
            for sequence, _ in node.engine.executions.count_by_position
        }
        self.assertEqual(ran, {request})


class SilenceTests(RecoveryTestCase):
    """Backend servers that are silent, or whose heartbeats are late, but go on."""

    # "A second or so", in rounds of 5 ms.
    SILENCE_ROUNDS = 260

    def be_silent(self, name: str) -> None:
        """Let a backend server be silent for a time, and go on."""
        self.system.silent_addresses.add(self.system.agents[int(name[1:])].address)
        self.run_for(self.SILENCE_ROUNDS)
        self.system.silent_addresses.clear()

    def depart(self, *names: str) -> None:
        """Let control drop backend servers whose heartbeats are late."""
        update = cpb.WatchUpdate(departed=names)
        for entry in self.system.entries.values():
            self.system.handle_entry_event(entry, WatchUpdated(update))
        self.system.run_postponed()

    def get_epoch(self, request: str) -> int:
        entry = self.system.entries[self.system.record_by_request[request].entry]
        return entry.state.request_by_id[request].epoch

    def assert_finishes(self, request: str) -> None:
        self.run_for(400)
        result = self.system.record_by_request[request].result
        self.assertIsInstance(result, entry_events.FinishAnswer)

    def test_request_without_another_chain_keeps_its_attempt(self) -> None:
        for number in (1, 3, 4, 5):
            self.system.kill_agent(self.system.agents[number])
        self.system.publish_members()
        request = self.system.request_completion("e1", "four words of prompt")
        self.run_until_delivered(request, 1)
        for name in ("s0", "s2"):
            self.be_silent(name)
            self.assertEqual(self.get_epoch(request), 1)
        self.assert_finishes(request)

    def test_request_whose_servers_are_often_silent_does_not_fail(self) -> None:
        request = self.system.request_completion("e1", "four words of prompt")
        self.run_until_delivered(request, 1)
        for _ in range(10 * self.SILENCE_ROUNDS):
            self.system.silent_addresses = {
                self.system.agents[int(name[1:])].address
                for name in self.find_chain(request)
            }
            self.run_for(1)
            self.assertIsNone(self.system.record_by_request[request].result)
        self.assertLessEqual(self.get_epoch(request), 1 + MAX_UNPROVEN_RECOVERIES)
        self.system.silent_addresses.clear()
        self.assert_finishes(request)

    def test_request_outlives_the_membership_of_its_servers(self) -> None:
        request = self.system.request_completion("e1", "four words of prompt")
        self.run_until_delivered(request, 1)
        self.depart(*self.find_chain(request))
        self.assertEqual(self.get_epoch(request), 1)
        self.assert_finishes(request)

    def test_request_leaves_a_server_whose_later_incarnation_is_known(self) -> None:
        request = self.system.request_completion("e1", "four words of prompt")
        self.run_until_delivered(request, 1)
        node = self.system.agents[int(self.find_chain(request)[0][1:])]
        self.system.silent_addresses.add(node.address)
        node.is_up = False
        self.system.restart_agent(node)
        self.system.publish_members()
        self.assertEqual(self.get_epoch(request), 2)

    def test_departure_alone_accuses_no_request(self) -> None:
        request = self.system.request_completion("e1", "four words of prompt")
        self.run_until_delivered(request, 1)
        entry = self.system.entries["e1"]
        left = entry.state.request_by_id[request].chain[0]
        fingerprint = entry.state.request_by_id[request].fingerprint
        (connection,) = (
            item
            for item in self.system.connections
            if (item.opener, item.target) == ("e1", left.address)
        )
        self.system.break_connection(connection)
        self.depart(left.backend_server)
        count = get_count(entry.state.quarantine, fingerprint, self.system.now_ms)
        self.assertEqual(count.losses, 0)
        event = LinkLost(left.address, refused=True)
        self.system.handle_entry_event(entry, event)
        count = get_count(entry.state.quarantine, fingerprint, self.system.now_ms)
        self.assertEqual(count.losses, 1)

    def test_call_outlives_the_membership_of_its_server(self) -> None:
        request = self.system.request_payout("e1", "key-1")
        while not any(node.calls for node in self.system.agents if node.is_service):
            self.system.answer_permit(self.system.entries["e1"])
            self.system.deliver_random(self.random)
        self.depart(*(f"s{node.number}" for node in self.system.agents))
        self.run_for(50)
        result = self.system.record_by_request[request].result
        self.assertIsInstance(result, entry_events.ReturnReply)


class PayoutTests(unittest.TestCase):
    def setUp(self) -> None:
        self.random = Random(1)
        self.system = System()

    def test_resend_without_backend_servers_is_not_reported_as_not_run(self) -> None:
        # The resend was refused as not run although the first call had run (seeds 1 and
        # 2 of the seeded histories).
        first = self.system.request_payout("e1", "key")
        self.system.answer_permit(self.system.entries["e1"])
        for _ in range(20):
            self.system.deliver_random(self.random)
        ledgers = [node for node in self.system.agents if node.is_service]
        for node in ledgers:
            self.system.run_service(node)
        for node in ledgers:
            self.system.kill_agent(node)
        self.system.publish_members()
        resent = self.system.request_payout("e2", "key")
        self.system.run_until_settled(self.random)
        self.assertEqual(self.system.run_count_by_key["key"], 1)
        for request in (first, resent):
            result = self.system.record_by_request[request].result
            self.assertEqual(str(result.refusal.outcome), "unknown")

    def test_draining_agent_releases_the_permit_and_another_runs_the_call(self) -> None:
        request = self.system.request_payout("e1", "key")
        self.system.answer_permit(self.system.entries["e1"])
        chosen = self.system.entries["e1"].state.call_by_id[request].server
        node = self.system.node_by_address[chosen.address]
        self.system.drain_agent(node)
        while self.system.record_by_request[request].result is None:
            self.system.deliver_random(self.random)
            self.system.answer_permit(self.system.entries["e1"])
            for ledger in self.system.agents:
                if ledger.is_service:
                    self.system.run_service(ledger)
        self.assertIsInstance(
            self.system.record_by_request[request].result, entry_events.ReturnReply
        )
        self.assertEqual(self.system.run_count_by_key["key"], 1)


class CrashingRequestTests(unittest.TestCase):
    def setUp(self) -> None:
        self.random = Random(1)
        self.system = System()
        self.crashes = 0

    def crash_engines_with_prompt(self, word: str) -> None:
        """Crash every engine that has a queued step whose prompt contains a word."""
        for node in self.system.agents:
            if node.is_service or not node.is_up:
                continue
            if any(word in step.prompt for step in node.steps):
                self.crashes += 1
                self.system.lose_engine(node)

    def run_until_all_end(self) -> None:
        for _ in range(3_000):
            self.crash_engines_with_prompt("poison")
            for _ in range(20):
                self.system.deliver_random(self.random)
            for node in self.system.agents:
                if not node.is_service:
                    self.crash_engines_with_prompt("poison")
                    self.system.run_engine(node, 2)
            self.system.tick(10)
            if all(record.result for record in self.system.record_by_request.values()):
                return
        self.fail("not every request has ended after 3,000 rounds")

    def test_crashing_request_is_quarantined_and_others_are_answered(self) -> None:
        other_requests = [
            self.system.request_completion("e1", f"letter {number}")
            for number in range(6)
        ]
        crashing_request = self.system.request_completion("e1", "a poison letter")
        other_requests += [
            self.system.request_completion("e1", f"late {number}")
            for number in range(4)
        ]
        self.run_until_all_end()
        for request in other_requests:
            result = self.system.record_by_request[request].result
            self.assertIsInstance(result, entry_events.FinishAnswer)
        self.assertEqual(
            self.system.record_by_request[crashing_request].result.refusal.reason,
            "quarantined",
        )
        self.assertLessEqual(self.crashes, QUARANTINE_LOSS_THRESHOLD)

    def test_resend_through_another_entry_is_refused_as_not_run(self) -> None:
        self.system.request_completion("e1", "a poison letter")
        self.run_until_all_end()
        crashes = self.crashes
        self.system.publish_members()
        resent = self.system.request_completion("e2", "a poison letter")
        refusal = self.system.record_by_request[resent].result.refusal
        self.assertEqual(
            (refusal.reason, str(refusal.outcome)), ("quarantined", "not_run")
        )
        self.assertGreaterEqual(refusal.retry_after_s, 1)
        self.assertEqual(self.crashes, crashes)

    def test_request_that_runs_on_engines_lost_at_once_is_not_quarantined(self) -> None:
        # Guards against a count of every loss under a fingerprint: the same prompt ran
        # many times on the engines of one rack.
        requests = [
            self.system.request_completion("e1", "a frequent letter")
            for _ in range(2 * QUARANTINE_LOSS_THRESHOLD)
        ]
        for _ in range(200):
            self.system.deliver_random(self.random)
        for node in self.system.agents:
            if not node.is_service:
                self.system.lose_engine(node)
        self.run_until_all_end()
        for request in requests:
            result = self.system.record_by_request[request].result
            self.assertIsInstance(result, entry_events.FinishAnswer)


class CrashingCallTests(unittest.TestCase):
    def setUp(self) -> None:
        self.random = Random(1)
        self.system = System()
        self.runs = 0

    def run_payout(self, entry: str, key: str, reply: pb.Reply) -> Any:
        """Request a payout, let any service reply to it, and return the result."""
        request = self.system.request_payout(entry, key)
        for _ in range(500):
            record = self.system.record_by_request[request]
            if record.result is not None:
                break
            self.system.answer_permit(self.system.entries[entry])
            self.system.deliver_random(self.random)
            for node in self.system.agents:
                if node.is_service and node.calls:
                    self.runs += 1
                    call, message = node.calls.popleft()
                    self.system.run_count_by_key[message.key] += 1
                    event = agent_events.ServiceReplied(call, reply)
                    self.system.handle_agent_event(node, event)
                    self.system.run_postponed()
        self.system.publish_members()
        return record.result

    def crash_service(self, entry: str, key: str) -> Any:
        reply = pb.Reply(outcome=pb.UNKNOWN, reason="service_lost")
        return self.run_payout(entry, key, reply)

    def test_call_that_crashed_three_services_is_refused_by_every_entry(self) -> None:
        for number in range(QUARANTINE_LOSS_THRESHOLD):
            result = self.crash_service(f"e{1 + number % 2}", f"key-{number}")
            self.assertEqual(result.refusal.reason, "service_lost")
        for entry in ("e1", "e2"):
            result = self.crash_service(entry, f"late-{entry}")
            self.assertEqual(
                (result.refusal.reason, str(result.refusal.outcome)),
                ("quarantined", "not_run"),
            )
        self.assertEqual(self.runs, QUARANTINE_LOSS_THRESHOLD)

    def test_answered_call_is_not_refused_whatever_crashes_between(self) -> None:
        for number in range(2 * QUARANTINE_LOSS_THRESHOLD):
            self.crash_service("e1", f"lost-{number}")
            answer = pb.Reply(outcome=pb.RAN, status=201, body=f"key-{number}".encode())
            result = self.run_payout("e1", f"key-{number}", answer)
            self.assertIsInstance(result, entry_events.ReturnReply)

"""Tests that streams with a suspect prompt part run apart."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any
from unittest import mock

from tests.gateway.fleet import MODEL, build_backend
from yuccareach.gateway.chains import (
    Chain,
    ChainRequirements,
    ChainStage,
    build_graph,
    find_chain,
)
from yuccareach.gateway.suspects import (
    NO_TRIAL,
    begin_trial,
    end_trial,
    is_suspect_run,
    must_wait_apart,
)
from yuccareach.quarantine import table
from yuccareach.quarantine.counts import (
    ISOLATION_LOSS_THRESHOLD,
    MIN_SUSPECT_SERVERS,
    LossCount,
)
from yuccareach.quarantine.parts import record_attempt, record_proof
from yuccareach.quarantine.table import QuarantineTable

PART = b"p" * 16


class SuspectTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.gateway: Any = mock.Mock()
        self.gateway.now_ms = lambda: 0
        self.gateway.quarantine = QuarantineTable()
        self.gateway.unproven_streams_by_part = Counter()
        self.backends = [
            build_backend("a", "z1", "a100", 0, 40),
            build_backend("b", "z1", "a100", 0, 40),
            build_backend("c", "z1", "a100", 40, 80),
        ]
        self.chain = Chain((ChainStage(self.backends[0], 0, 40),), 1.0)

    def make_suspect(
        self, losses: int = ISOLATION_LOSS_THRESHOLD, servers: int = 0
    ) -> None:
        count = LossCount(0, losses, tuple(range(servers)))
        table.merge_count(self.gateway.quarantine, PART, count, 1_000, 0)

    def build_run(self, *, has_started: bool = False) -> Any:
        run = mock.Mock()
        run.gateway = self.gateway
        run.admitted.part_fingerprints = (PART,)
        run.reply.has_started = has_started
        run.trial = NO_TRIAL
        return run


class TrialTests(SuspectTestCase):
    def test_one_stream_at_a_time_tries_out_a_suspect_part(self) -> None:
        self.make_suspect()
        first, second = self.build_run(), self.build_run()
        self.assertFalse(must_wait_apart(first))
        begin_trial(first, self.chain)
        self.assertTrue(must_wait_apart(second))
        end_trial(first)
        end_trial(first)
        self.assertFalse(must_wait_apart(second))
        self.assertEqual(self.gateway.unproven_streams_by_part, Counter())
        self.assertEqual(self.backends[0].suspect_requests, 0)

    def test_streams_that_ran_before_the_part_was_suspect_count(self) -> None:
        begin_trial(self.build_run(), self.chain)
        self.make_suspect()
        self.assertTrue(must_wait_apart(self.build_run()))

    def test_part_is_suspect_after_several_servers_were_lost_at_once(self) -> None:
        self.make_suspect(losses=1, servers=MIN_SUSPECT_SERVERS - 1)
        self.assertFalse(is_suspect_run(self.build_run()))
        self.make_suspect(losses=1, servers=MIN_SUSPECT_SERVERS)
        self.assertTrue(is_suspect_run(self.build_run()))

    def test_new_part_is_suspect_after_one_loss_until_it_is_proven(self) -> None:
        history = self.gateway.quarantine.part_history
        record_attempt(history, [PART])
        self.assertFalse(is_suspect_run(self.build_run()))
        self.make_suspect(losses=1, servers=1)
        self.assertTrue(is_suspect_run(self.build_run()))
        record_proof(history, [PART], 0)
        self.assertFalse(is_suspect_run(self.build_run()))

    def test_streams_without_a_suspect_part_do_not_wait(self) -> None:
        self.make_suspect(ISOLATION_LOSS_THRESHOLD - 1)
        begin_trial(self.build_run(), self.chain)
        self.assertFalse(must_wait_apart(self.build_run()))

    def test_stream_whose_answer_has_begun_does_not_wait(self) -> None:
        self.make_suspect()
        begin_trial(self.build_run(), self.chain)
        self.assertFalse(must_wait_apart(self.build_run(has_started=True)))


class PlacementTests(SuspectTestCase):
    def find_first_stage(self, *, runs_apart: bool) -> str:
        requirements = ChainRequirements("z1", 10, 0.0, runs_apart=runs_apart)
        chain = find_chain(build_graph(self.backends, MODEL), MODEL, requirements)
        assert chain is not None
        return chain.stages[0].backend.name

    def test_suspect_stream_starts_where_nothing_else_runs(self) -> None:
        busy, idle, _ = self.backends
        busy.running_requests = 1
        idle.first_stage_streams_elsewhere = 50
        self.assertEqual(self.find_first_stage(runs_apart=False), busy.name)
        self.assertEqual(self.find_first_stage(runs_apart=True), idle.name)

    def test_other_streams_start_elsewhere_meanwhile(self) -> None:
        self.make_suspect()
        run = self.build_run()
        self.assertTrue(is_suspect_run(run))
        begin_trial(run, self.chain)
        self.backends[1].first_stage_streams_elsewhere = 50
        self.assertEqual(self.find_first_stage(runs_apart=False), "b")

    def test_suspect_stream_shares_a_server_where_there_is_no_other(self) -> None:
        for backend in self.backends:
            backend.running_requests = 5
        self.assertIn(self.find_first_stage(runs_apart=True), ("a", "b"))

"""Tests of the choice between rerouting and resuming a stream that lost a stage."""

from __future__ import annotations

import functools
import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import MODEL, build_backend
from yuccareach.gateway import chain_choice, stalls
from yuccareach.gateway.attempts import LeftServers
from yuccareach.gateway.backends import Fleet
from yuccareach.gateway.chain_choice import choose_detour
from yuccareach.gateway.chains import Chain, ChainRequirements, ChainStage, build_graph
from yuccareach.gateway.reroutes import RerouteAnswer
from yuccareach.gateway.stream_run import StreamRun
from yuccareach.health.servers import EndProof, Silence, record_end, record_silence

SMALL_MODEL = MODEL._replace(layer_mb=100.0)


class SwitchTests(unittest.TestCase):
    def setUp(self) -> None:
        self.gateway: Any = mock.Mock()
        self.run: Any = mock.Mock(events_before_repair=4, wait_logged=False)

    def switch(self, *, is_possible: bool) -> None:
        with mock.patch.object(stalls, "reserve_switch", return_value=is_possible):
            stalls._switch_or_wait(self.gateway, self.run, "first_stage_silent")

    def test_stalled_attempt_is_interrupted_only_if_another_is_certain(self) -> None:
        self.run.attempt_events = 4
        self.switch(is_possible=False)
        self.run.interrupted.set.assert_not_called()
        self.switch(is_possible=True)
        self.run.interrupted.set.assert_called_once()

    def test_attempt_that_goes_on_during_its_repair_is_not_interrupted(self) -> None:
        # Guards against cut answers: a server was found to be silent while it sent the
        # next event.
        self.run.attempt_events = 5
        self.switch(is_possible=True)
        self.run.interrupted.set.assert_not_called()


class StartProbeTests(unittest.TestCase):
    """An attempt whose first event does not come."""

    def setUp(self) -> None:
        self.gateway: Any = mock.Mock()
        self.run: Any = mock.Mock(
            attempt_events=0,
            typical_pause_s=None,
            last_progress_s=10.0,
            probed_request=None,
            wait_logged=False,
        )
        self.run.admitted.route = mock.Mock(objective_ms=500)

    def count_probes(self, now_s: float) -> int:
        self.gateway.now.return_value = now_s
        with mock.patch.object(stalls, "find_lost_backends") as find_lost:
            stalls._probe_idle_chains(self.gateway, [self.run])
        return find_lost.call_count

    def test_stages_were_probed_only_after_the_objective_for_the_first_event(
        self,
    ) -> None:
        self.assertEqual(self.count_probes(10.2), 0)
        # Half of the objective is left for another attempt.
        self.assertEqual(self.count_probes(10.26), 1)

    def test_stages_of_an_attempt_are_probed_once(self) -> None:
        self.count_probes(10.26)
        self.assertEqual(self.count_probes(10.3), 0)
        self.run.backend_request = mock.Mock()
        self.run.last_progress_s = 10.4
        self.assertEqual(self.count_probes(10.5), 0)
        self.assertEqual(self.count_probes(10.66), 1)

    def test_stages_of_a_stream_with_events_are_left_alone(self) -> None:
        self.run.attempt_events = 1
        self.assertEqual(self.count_probes(11.0), 0)


class UnavailableStageTests(unittest.TestCase):
    """A stream whose only stage departs, before its first event and after others."""

    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.update([build_backend("a", "z", "a100", 0, 80).announcement], [])
        self.backend = self.fleet.backend_by_name["a"]
        self.gateway: Any = mock.Mock(fleet=self.fleet)
        self.run: Any = mock.Mock(
            attempt_events=0, typical_pause_s=None, last_progress_s=0.0
        )
        self.run.admitted.route = mock.Mock(gap_objective_ms=200, objective_ms=1_000)
        self.run.chain = Chain((ChainStage(self.backend, 0, 80),), 1.0)

    def is_stalled(self, now_s: float) -> bool:
        self.gateway.now.return_value = now_s
        return stalls._is_stalled(self.gateway, self.run)

    def test_stream_at_a_departed_server_stalls_no_sooner_than_others(self) -> None:
        # Guards against attempts and retries that were used up at once for streams
        # whose server's heartbeats were late.
        self.fleet.update([], ["a"])
        self.assertFalse(self.is_stalled(1.0))
        self.assertTrue(self.is_stalled(1.3))
        self.assertIs(
            stalls._find_unavailable_backend(self.gateway, self.run), self.backend
        )
        self.run.attempt_events, self.run.typical_pause_s = 5, 0.01
        self.assertFalse(self.is_stalled(0.15))
        self.assertTrue(self.is_stalled(0.31))

    def test_stream_at_an_ended_server_stalls_at_once(self) -> None:
        successor = self.backend.announcement._replace(incarnation="a@2", started_ms=1)
        self.fleet.update([successor], [])
        self.assertTrue(self.is_stalled(0.02))

    def test_ended_stage_is_found_before_a_departed_one(self) -> None:
        ended = build_backend("b", "z", "a100", 40, 80)
        record_end(ended.health, EndProof.REFUSED)
        stages = (ChainStage(self.backend, 0, 40), ChainStage(ended, 40, 80))
        self.run.chain = Chain(stages, 1.0)
        self.fleet.update([], ["a"])
        self.gateway.now.return_value = 0.02
        found = stalls._find_unavailable_backend(self.gateway, self.run)
        self.assertIs(found, ended)


class ChooseDetourTests(unittest.TestCase):
    """A stream whose first stage runs layers 0 to 20 and whose next stage is lost."""

    def setUp(self) -> None:
        self.first_backend = build_backend("a1", "z1", "a100", 0, 30)
        self.other_backends = [build_backend("b1", "z2", "a100", 20, 80)]

    def choose_detour(self) -> tuple[Chain | None, bool]:
        """Return the detour, and whether a retry was reserved to resume instead."""
        run: Any = mock.Mock(next_miss_s=0.0)
        run.chain = Chain((ChainStage(self.first_backend, 0, 20),), 1.0)
        run.admitted.service.model = SMALL_MODEL
        run.gateway.get_graph.return_value = build_graph(
            [self.first_backend, *self.other_backends], SMALL_MODEL
        )
        run.build_requirements.return_value = ChainRequirements("z1", 100, 0.0)
        run.gateway.now.return_value = 0.0
        run.admitted.deadline_s = 60.0
        with mock.patch.object(chain_choice, "compute_refusal_s", return_value=0.0):
            return choose_detour(run), run.reserve_retry.called

    def list_names(self, chain: Chain | None) -> list[str]:
        assert chain is not None
        return [stage.backend.name for stage in chain.stages]

    def test_stage_within_the_zone_is_preferred(self) -> None:
        self.other_backends.append(build_backend("a2", "z1", "a100", 20, 80))
        detour, retry_reserved = self.choose_detour()
        self.assertEqual(self.list_names(detour), ["a1", "a2"])
        self.assertFalse(retry_reserved)

    def test_complete_pipeline_elsewhere_is_preferred_to_a_stage_elsewhere(
        self,
    ) -> None:
        self.other_backends.append(build_backend("b2", "z2", "a100", 0, 20))
        self.assertEqual(self.choose_detour(), (None, True))

    def test_stage_elsewhere_is_preferred_to_a_pipeline_that_is_avoided(self) -> None:
        # Guards against streams that waited for an ended stage: a retry was taken, but
        # no attempt was made over servers that are avoided.
        self.other_backends.append(build_backend("b2", "z2", "a100", 0, 20))
        self.other_backends[-1].record_failure(0.0)
        detour, retry_reserved = self.choose_detour()
        self.assertEqual(self.list_names(detour), ["a1", "b1"])
        self.assertFalse(retry_reserved)

    def test_stage_in_another_zone_is_the_last_choice(self) -> None:
        detour, retry_reserved = self.choose_detour()
        self.assertEqual(self.list_names(detour), ["a1", "b1"])
        self.assertFalse(retry_reserved)

    def test_stream_is_not_resumed_at_the_same_first_stage(self) -> None:
        # In this zone, only the first stage has also loaded layers 20 to 25. A resumed
        # stream is not sent to the same first stage, so no chain within the zone is
        # left.
        self.other_backends.append(build_backend("a2", "z1", "a100", 25, 80))
        detour, retry_reserved = self.choose_detour()
        self.assertEqual(self.list_names(detour), ["a1", "b1"])
        self.assertFalse(retry_reserved)


class SupersededAttemptTests(unittest.IsolatedAsyncioTestCase):
    """Repairs of an attempt that ends, and whose successor starts, while they wait."""

    def setUp(self) -> None:
        self.first, self.next = (
            build_backend(name, "z1", "a100", 0, 40) for name in ("a1", "a2")
        )
        self.lost = build_backend("b1", "z1", "a100", 40, 80)
        self.gateway: Any = mock.Mock()
        self.gateway.now.return_value = 1.0
        self.run: Any = mock.Mock(
            attempt_events=0,
            events_before_repair=3,
            excluded_incarnations=set(),
            suspected_incarnations=set(),
            wait_logged=False,
            reroutes=0,
        )
        self.run.backend_request.backend = self.first
        self.order = mock.AsyncMock()
        for name, replacement in {
            "record_broken_attempt": mock.AsyncMock(),
            "compute_refusal_s": mock.Mock(return_value=0.0),
            "choose_detour": mock.Mock(),
            "reserve_switch": mock.Mock(return_value=True),
            "send_reroute_order": self.order,
            "log_reroute": mock.Mock(),
            "reserve_new_stages": mock.Mock(return_value=True),
        }.items():
            patch = mock.patch.object(stalls, name, replacement)
            patch.start()
            self.addCleanup(patch.stop)

    def supersede(self, *_: object) -> None:
        self.run.backend_request = mock.Mock(backend=self.next)

    async def seek_proof(self, *_: object) -> bool:
        self.supersede()
        return True

    def assert_untouched(self) -> None:
        self.run.interrupted.set.assert_not_called()
        self.run.move_to_chain.assert_not_called()
        self.assertNotIn("a2@1", self.run.excluded_incarnations)

    async def test_next_attempt_is_not_interrupted_for_the_last_one(self) -> None:
        with mock.patch.object(stalls, "seek_end_proof", self.seek_proof):
            await stalls._leave_first_stage(self.gateway, self.run, self.first, "")
        self.assert_untouched()

    async def test_next_attempt_is_not_rerouted_for_the_last_one(self) -> None:
        with mock.patch.object(stalls, "seek_end_proof", self.seek_proof):
            await stalls._replace_later_stage(self.gateway, self.run, self.lost)
        self.order.assert_not_called()
        self.run.leave.assert_not_called()
        self.assert_untouched()

    async def test_answer_to_the_last_attempt_does_not_move_the_next_one(self) -> None:
        async def _follow_order(*_: object) -> RerouteAnswer:
            self.supersede()
            return RerouteAnswer(200, "")

        self.order.side_effect = _follow_order
        await stalls._reroute(self.gateway, self.run, self.lost)
        self.run.leave.assert_called_once_with(self.lost)
        self.assert_untouched()


class ReplaceTests(unittest.TestCase):
    """A stream that may neither be resumed nor take another attempt."""

    def setUp(self) -> None:
        self.stage = build_backend("a1", "z1", "a100", 0, 30)
        self.run: Any = mock.Mock(left_servers=LeftServers())
        self.run.gateway.fleet = Fleet()
        self.run.gateway.now.return_value = 2.5
        self.run.admitted.route.is_idempotent = False
        self.set_max_attempts(1)

    def set_max_attempts(self, count: int) -> None:
        self.run.admitted.route.max_attempts = count
        for name in ("can_retry", "_has_attempt_left"):
            method = getattr(StreamRun, name)
            setattr(self.run, name, functools.partial(method, self.run))

    def can_replace(self) -> bool:
        return StreamRun.can_replace(self.run, self.stage)

    def test_stage_that_accepts_no_connection_for_long_is_replaced(self) -> None:
        record_silence(self.stage.health, 600, Silence.CONNECTION)
        self.assertFalse(self.can_replace())
        self.run.gateway.now.return_value = 2.6
        self.assertTrue(self.can_replace())

    def test_silent_stage_that_accepts_connections_takes_an_attempt(self) -> None:
        record_silence(self.stage.health, 0)
        self.assertFalse(self.can_replace())
        self.set_max_attempts(2)
        self.assertTrue(self.can_replace())

    def test_stage_is_not_replaced_for_one_unanswered_connection(self) -> None:
        record_silence(self.stage.health, 0)
        record_silence(self.stage.health, 2_400, Silence.CONNECTION)
        self.assertFalse(self.can_replace())

    def test_stage_silent_for_a_second_is_waited_for(self) -> None:
        record_silence(self.stage.health, 1_200)
        self.set_max_attempts(2)
        self.assertFalse(self.can_replace())

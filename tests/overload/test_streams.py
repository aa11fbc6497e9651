"""Tests of what a gateway's streams leave free, how long they wait, and their order."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from tests.gateway.fleet import MODEL, build_two_zones
from yuccareach.gateway import streams
from yuccareach.gateway.admission import AdmissionQueue, WaitingRequest
from yuccareach.gateway.backends import Fleet
from yuccareach.gateway.chains import (
    MAX_MEMORY_UTILIZATION,
    ChainRequirements,
    build_graph,
    compute_token_capacity,
    find_chain,
)
from yuccareach.gateway.table import Service
from yuccareach.overload.headroom import HEADROOM_FRACTION, WaitingElsewhere
from yuccareach.overload.streams import (
    build_ticket,
    compute_headroom,
    find_load,
    find_search_key,
    plan_retry_after_s,
    record_arrival,
)
from yuccareach.overload.tickets import (
    MAX_WAIT_OBJECTIVES,
    MAX_WAIT_OBJECTIVES_WITH_PRIORITIES,
    RESUMED_PRIORITY,
)

from .test_decisions import build_ticket as build_plain_ticket

SERVICE = Service("s", 10, MODEL)
NOW_S = 100.0


class StreamTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.queue: AdmissionQueue[Any] = AdmissionQueue()
        self.gateway: Any = mock.Mock(fleet=Fleet(), entry_count=22)
        self.gateway.now = lambda: NOW_S
        self.gateway.get_queue = lambda name: self.queue
        announcements = [item.announcement for item in build_two_zones()]
        self.gateway.fleet.update(announcements, [])

    def build_run(self, priority: int, *, has_started: bool = False) -> Any:
        admitted = mock.Mock(service=SERVICE, workspace=None, deadline_s=NOW_S + 20)
        admitted.priority = priority
        admitted.route.objective_ms = 500
        admitted.request.received_s = NOW_S
        admitted.metadata.expected_answer_tokens = 140
        run = mock.Mock(
            admitted=admitted,
            gateway=self.gateway,
            queue=self.queue,
            workspace="",
            tokens=912,
            last_delivery_s=NOW_S,
            has_left_open_attempt=False,
            is_return=False,
        )
        admitted.fingerprint = b"f"
        run.reply.has_started = has_started
        return run

    def record_arrivals(self, *priorities: int) -> None:
        for priority in priorities:
            self.queue.demand.record_arrival(priority, NOW_S)
            self.queue.demand.record_grant(priority, 1_000, NOW_S)


class SinglePriorityTests(StreamTestCase):
    """Guard the behaviour of services whose requests all have one priority."""

    def test_stream_leaves_nothing_free_and_waits_for_three_objectives(self) -> None:
        self.record_arrivals(1)
        run = self.build_run(1)
        ticket = build_ticket(run)
        self.assertEqual(compute_headroom(run), 0.0)
        self.assertEqual(ticket.max_wait_objectives, MAX_WAIT_OBJECTIVES)
        self.assertEqual(ticket.work, 0.0)
        self.assertIsNone(find_load(self.gateway, SERVICE))


class SeveralPrioritiesTests(StreamTestCase):
    def test_less_urgent_streams_leave_capacity_to_more_urgent_ones(self) -> None:
        self.record_arrivals(0, 1, 2)
        fractions = [compute_headroom(self.build_run(item)) for item in (0, 1, 2)]
        self.assertEqual(fractions, [0.0, HEADROOM_FRACTION, 2 * HEADROOM_FRACTION])

    def test_stream_that_has_run_or_has_the_only_gateway_leaves_nothing(self) -> None:
        # Guards against a caller with half an answer that waits for room that is free.
        self.record_arrivals(0, 2)
        self.assertEqual(compute_headroom(self.build_run(2, has_started=True)), 0.0)
        self.gateway.entry_count = 1
        self.assertEqual(compute_headroom(self.build_run(2)), 0.0)

    def test_more_urgent_tokens_elsewhere_add_to_it(self) -> None:
        self.record_arrivals(2)
        run = self.build_run(2)
        self.queue.demand.elsewhere = WaitingElsewhere({0: 40_000}, NOW_S)
        self.assertGreater(compute_headroom(run), HEADROOM_FRACTION)
        self.queue.demand.elsewhere = WaitingElsewhere({0: 40_000}, NOW_S - 2.1)
        self.assertEqual(compute_headroom(run), 0.0)

    def test_wait_is_longer_but_leaves_time_for_another_attempt(self) -> None:
        self.record_arrivals(0, 2)
        run = self.build_run(2)
        longest = build_ticket(run).max_wait_objectives
        self.assertEqual(longest, MAX_WAIT_OBJECTIVES_WITH_PRIORITIES)
        run.admitted.deadline_s = NOW_S + 4.0
        self.assertAlmostEqual(build_ticket(run).wait_deadline_s, NOW_S + 1.6)
        run.admitted.deadline_s = NOW_S + 1.0
        short = build_ticket(run).max_wait_objectives
        self.assertEqual(short, MAX_WAIT_OBJECTIVES)

    def test_route_without_an_objective_is_decided_on(self) -> None:
        # Guards against a division by zero: targetLatencyMs may be 0.
        self.record_arrivals(0, 2)
        run = self.build_run(2)
        run.admitted.route.objective_ms = 0
        self.assertEqual(build_ticket(run).wait_deadline_s, NOW_S)

    def test_load_of_all_gateways_tells_how_long_a_stream_waits(self) -> None:
        # Guards against the refusal of urgent streams by a gateway that has granted
        # nothing for 2 s.
        self.record_arrivals(0, 2)
        self.queue.grant_rate.expire(NOW_S + 10)
        self.queue.hold_times.record(2.5, 912)
        for backend in self.gateway.fleet.backend_by_name.values():
            backend.first_stage_streams_elsewhere = 50
        blocking = build_plain_ticket(7, priority=0)
        self.queue.add(WaitingRequest(blocking, lambda: None, mock.Mock()))
        ticket = build_ticket(self.build_run(0))
        later_s = NOW_S + 1.0
        load = find_load(self.gateway, SERVICE)
        self.assertTrue(self.queue.should_wait(ticket, later_s, load))
        self.assertFalse(self.queue.should_wait(ticket, later_s + 9))


class ReturnTests(StreamTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.record_arrivals(0, 2)
        self.queue.hold_times.record(2.5, 912)
        # 88 streams a second end, of which 4 at each gateway.
        for backend in self.gateway.fleet.backend_by_name.values():
            if not backend.is_later_stage:
                backend.first_stage_streams_elsewhere = 110

    def test_refused_streams_return_one_after_another(self) -> None:
        # Guards against all refused callers that return at the same moment.
        delays_s = [plan_retry_after_s(self.build_run(2), 0.2, 0.0) for _ in range(4)]
        for delay_s, expected_s in zip(delays_s, (0.25, 0.5, 0.75, 1.0), strict=True):
            self.assertAlmostEqual(delay_s, expected_s)

    def test_no_caller_is_told_a_time_after_which_it_does_not_return(self) -> None:
        run = self.build_run(2)
        run.admitted.deadline_s = NOW_S + 3.0
        self.assertAlmostEqual(plan_retry_after_s(run, 4.0, 0.0), 0.96)
        # Before that, no stream can start.
        self.assertAlmostEqual(plan_retry_after_s(run, 4.0, 2.0), 2.0)

    def test_caller_that_returns_as_told_goes_before_a_new_one(self) -> None:
        delay_s = plan_retry_after_s(self.build_run(2), 0.2, 0.0)
        self.gateway.now = lambda: NOW_S + delay_s
        returned, other = self.build_run(2), self.build_run(2)
        record_arrival(returned)
        record_arrival(other)
        self.assertTrue(build_ticket(returned).is_return)
        self.assertFalse(build_ticket(other).is_return)
        # It stays one for as long as it waits.
        record_arrival(returned)
        self.assertTrue(build_ticket(returned).is_return)

    def test_single_priority_keeps_the_expected_wait(self) -> None:
        self.queue.demand.last_arrival_s_by_priority.pop(0)
        self.assertEqual(plan_retry_after_s(self.build_run(2), 1.5, 0.0), 1.5)
        self.assertEqual(self.queue.returns.due_s_by_fingerprint, {})


class RefusalLogTests(StreamTestCase):
    def test_line_says_what_was_served_in_place_of_the_stream(self) -> None:
        self.record_arrivals(0, 2)
        self.queue.demand.record_grant(0, 3_000, NOW_S)
        self.queue.demand.elsewhere = WaitingElsewhere({0: 500, 3: 70}, NOW_S)
        run = self.build_run(2)
        streams._log_refusal(run, build_ticket(run), closed=False)
        self.gateway.registry.count.assert_called_with("queued_streams", "refused")
        fields = self.gateway.log.call_args.kwargs
        self.assertEqual(fields["granted"], "0=4000,2=1000")
        self.assertEqual(fields["ahead_elsewhere"], 500)
        self.assertEqual((fields["priority"], fields["waited_s"]), (2, 0.0))


class HeadroomOfChainsTests(unittest.TestCase):
    def test_chain_is_found_only_where_the_headroom_stays_free(self) -> None:
        backends = build_two_zones()
        graph = build_graph(backends, MODEL)
        requirements = ChainRequirements("z1", 100, 0.0)
        for backend in backends:
            capacity = compute_token_capacity(backend, MODEL)
            backend.reserved_tokens_elsewhere = int(
                (MAX_MEMORY_UTILIZATION - 0.04) * capacity
            )
        less_urgent = requirements._replace(headroom_fraction=0.05)
        self.assertIsNotNone(find_chain(graph, MODEL, requirements))
        self.assertIsNone(find_chain(graph, MODEL, less_urgent))
        for backend in backends:
            backend.reserved_tokens_elsewhere = 0
            backend.first_stage_streams_elsewhere = int(0.9 * MODEL.slots)
        self.assertIsNotNone(find_chain(graph, MODEL, requirements))
        self.assertIsNone(find_chain(graph, MODEL, less_urgent))

    def test_stream_that_needs_most_of_a_server_starts_while_that_is_idle(self) -> None:
        # Guards against large and less urgent streams that never start, since an idle
        # server has no room for them and the headroom.
        backends = build_two_zones()
        graph = build_graph(backends, MODEL)
        capacity = min(compute_token_capacity(item, MODEL) for item in backends[:4])
        large = ChainRequirements(
            "z1",
            int((MAX_MEMORY_UTILIZATION - 0.04) * capacity),
            0.0,
            cross_zone_allowed=False,
            excluded_incarnations=frozenset(
                item.announcement.incarnation for item in backends[4:]
            ),
            headroom_fraction=0.05,
        )
        self.assertIsNotNone(find_chain(graph, MODEL, large))
        for backend in backends:
            backend.reserved_tokens_elsewhere = 1
        self.assertIsNone(find_chain(graph, MODEL, large))


class SearchKeyTests(StreamTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.gateway.quarantine.record_by_fingerprint = {}
        self.runs = [self.build_run(2) for _ in range(10)]
        for run in self.runs:
            run.excluded_incarnations = set()
            run.admitted.part_fingerprints = ()
        tickets = [build_plain_ticket(number) for number in range(10)]
        for run, ticket in zip(self.runs, tickets, strict=True):
            self.queue.add(
                WaitingRequest(
                    ticket,
                    lambda: None,
                    mock.Mock(done=lambda: False),
                    find_search_key=lambda run=run: find_search_key(run),
                )
            )

    def test_servers_are_searched_for_limits_once_a_round(self) -> None:
        # Guards against 58 servers that are looked at for each of 1,000 waiting
        # streams, at a gateway of 0.27 cores.
        find = mock.Mock(wraps=self.gateway.fleet.find_by_service)
        with mock.patch.object(self.gateway.fleet, "find_by_service", find):
            self.queue.grant_capacity(0.1)
            self.assertEqual(find.call_count, 1)
            self.queue.grant_capacity(0.2)
            self.assertEqual(find.call_count, 2)

    def test_every_stream_is_tried_from_the_round_after_a_limit_is_stated(self) -> None:
        self.assertIsNotNone(find_search_key(self.runs[0]))
        self.queue.grant_capacity(0.1)
        backend, *_ = self.gateway.fleet.backend_by_name.values()
        backend.health.limit = mock.Mock(per_s=5.0)
        self.queue.grant_capacity(0.2)
        self.assertIsNone(find_search_key(self.runs[0]))


class QueueTests(unittest.IsolatedAsyncioTestCase):
    async def test_less_urgent_request_does_not_make_an_urgent_one_queue(self) -> None:
        # Guards against an urgent request that is refused by its expected wait without
        # a try, since less urgent ones wait.
        queue: AdmissionQueue[str] = AdmissionQueue()
        granted = asyncio.get_running_loop().create_future()
        queue.add(WaitingRequest(build_plain_ticket(1), lambda: None, granted))
        self.assertFalse(queue.has_waiting_before(0))
        self.assertTrue(queue.has_waiting_before(1))
        self.assertTrue(queue.has_waiting_before(2))

    async def test_equal_search_that_failed_is_not_repeated_for_more_tokens(
        self,
    ) -> None:
        # Guards against a gateway that spends its processor time on searching the same
        # full servers for each of its waiting requests, 50 times a second.
        queue: AdmissionQueue[str] = AdmissionQueue()
        tried: list[int] = []
        for number, (tokens, key) in enumerate(
            ((200, "a"), (300, "a"), (100, "a"), (300, "b"), (400, None), (500, None))
        ):
            queue.add(
                WaitingRequest(
                    build_plain_ticket(number, tokens=tokens, arrived_s=0.01 * number),
                    lambda number=number: tried.append(number),
                    asyncio.get_running_loop().create_future(),
                    find_search_key=lambda key=key: key,
                )
            )
        queue.grant_capacity(0.1)
        self.assertEqual(tried, [0, 2, 3, 4, 5])
        # The next round tries them again.
        queue.grant_capacity(0.2)
        self.assertEqual(tried[5:], [0, 2, 3, 4, 5])

    async def test_late_resumed_stream_goes_before_all_others(self) -> None:
        queue: AdmissionQueue[str] = AdmissionQueue()
        tickets = (
            build_plain_ticket(1, priority=0, arrived_s=0.9),
            build_plain_ticket(2, priority=RESUMED_PRIORITY),
        )
        for ticket in tickets:
            granted = asyncio.get_running_loop().create_future()
            queue.add(WaitingRequest(ticket, lambda: None, granted))
        order = [item.ticket.number for item in queue.sort_waiting(1.0)]
        self.assertEqual(order, [2, 1])

"""The account of what connections hold, and the choice of the one to shed."""

from __future__ import annotations

import unittest

from yuccareach.buffers.account import (
    CONNECTION_COST_BYTES,
    ORDINARY_BYTES,
    Activity,
    BufferAccount,
    BufferLimits,
    Holder,
    ShedReason,
    choose_largest,
    choose_replaced,
)
from yuccareach.buffers.limits import (
    MAX_FDS,
    MIN_CLIENT_BYTES,
    MIN_RESPONSE_BYTES,
    derive_limits,
    limit_beside_gateway,
)
from yuccareach.buffers.log_lines import LineLimiter

MB = 1_000_000


def make_holder(
    held_bytes: int = 0, activity: Activity = Activity.RECEIVING, since_s: float = 0.0
) -> Holder:
    holder = Holder(lambda reason: None, since_s)
    holder.held_bytes = held_bytes
    holder.activity = activity
    return holder


class AccountTests(unittest.TestCase):
    def setUp(self) -> None:
        self.account = BufferAccount(BufferLimits(MB, MB, max_connections=4))
        self.shed: list[tuple[Holder, ShedReason]] = []

    def open(self, activity: Activity = Activity.RECEIVING) -> Holder:
        holder = Holder(lambda reason: self.shed.append((holder, reason)), 0.0)
        holder.activity = activity
        self.account.open(holder)
        return holder

    def test_all_that_open_connections_hold_is_counted(self) -> None:
        first, second = self.open(), self.open()
        self.account.set_held(first, 50_000)
        self.assertEqual(self.account.held_bytes, 50_000 + CONNECTION_COST_BYTES)
        self.account.set_held(first, 20_000)
        self.account.close(second)
        self.account.close(second)
        self.assertEqual(self.account.held_bytes, 20_000)

    def test_connections_are_shed_until_the_rest_fits(self) -> None:
        first, second, third = self.open(), self.open(), self.open()
        self.account.set_held(first, MB // 2)
        self.account.set_held(second, MB // 3)
        self.account.set_held(third, MB)
        self.assertEqual(self.shed, [(third, ShedReason.MEMORY)])
        self.assertEqual(self.account.holders, {first, second})
        self.assertLessEqual(self.account.held_bytes, MB)

    def test_shed_connection_is_not_charged_any_more(self) -> None:
        # Its refusal is written while it is shed.
        holder = self.open()
        self.account.set_held(holder, 2 * MB)
        self.account.set_held(holder, 3 * MB)
        self.assertEqual(len(self.shed), 1)
        self.assertEqual(self.account.held_bytes, 0)

    def test_one_connection_is_closed_for_a_new_one_above_the_limit(self) -> None:
        holders = [self.open(Activity.IDLE) for _ in range(4)]
        self.open(Activity.SILENT)
        ((closed, reason),) = self.shed
        self.assertIn(closed, holders)
        self.assertIs(reason, ShedReason.CONNECTIONS)
        self.assertEqual(len(self.account.holders), 4)


class ChoiceTests(unittest.TestCase):
    def test_largest_is_shed_and_of_equal_ones_the_newest(self) -> None:
        older, newer = make_holder(MB, since_s=1.0), make_holder(MB, since_s=2.0)
        small = make_holder(MB // 2, since_s=3.0)
        self.assertIs(choose_largest([older, newer, small]), newer)

    def test_incomplete_request_is_shed_before_a_served_one_of_its_size(self) -> None:
        served = make_holder(2 * MB, Activity.SERVING)
        received = make_holder(MB)
        self.assertIs(choose_largest([served, received]), received)
        self.assertIs(choose_largest([served, make_holder(MB // 4)]), served)

    def test_ordinary_request_is_shed_only_without_a_larger_one(self) -> None:
        ordinary = make_holder(ORDINARY_BYTES)
        served = make_holder(2 * ORDINARY_BYTES, Activity.SERVING)
        self.assertIs(choose_largest([ordinary, served]), served)
        self.assertIs(choose_largest([ordinary, make_holder(1)]), ordinary)

    def test_silent_connection_is_replaced_first_and_the_oldest_of_these(self) -> None:
        newest = make_holder(activity=Activity.SILENT, since_s=9.0)
        silent = [make_holder(activity=Activity.SILENT, since_s=s) for s in (5.0, 4.0)]
        idle = make_holder(activity=Activity.IDLE, since_s=1.0)
        received = make_holder(since_s=0.0)
        holders = [received, idle, *silent, newest]
        self.assertIs(choose_replaced(holders, newest), silent[1])
        self.assertIs(choose_replaced([received, idle, newest], newest), idle)
        self.assertIs(choose_replaced([received, newest], newest), received)

    def test_served_connection_is_not_closed_for_a_new_one(self) -> None:
        served = make_holder(activity=Activity.SERVING)
        newest = make_holder(activity=Activity.SILENT, since_s=1.0)
        self.assertIs(choose_replaced([served, newest], newest), newest)


class LimitsTests(unittest.TestCase):
    def test_limits_leave_memory_for_the_process_on_each_instance_in_use(self) -> None:
        for memory_mb in (152, 200, 300):
            with self.subTest(memory_mb=memory_mb):
                limits = derive_limits(memory_mb, 1_535)
                used_bytes = limits.client_bytes + limits.response_bytes
                self.assertLessEqual(used_bytes + 50 * MB, 0.6 * memory_mb * MB)
                self.assertGreaterEqual(limits.client_bytes, MIN_CLIENT_BYTES)
                self.assertGreaterEqual(limits.response_bytes, MIN_RESPONSE_BYTES)
                self.assertEqual(limits.max_connections, 767)

    def test_control_and_a_gateway_fit_into_one_instance_with_a_disk(self) -> None:
        # They take 60 and 47 MB without connections.
        for memory_mb in (200, 300):
            with self.subTest(memory_mb=memory_mb):
                limits = derive_limits(memory_mb, 1_535)
                control_bytes = limit_beside_gateway(limits).client_bytes
                gateway_bytes = limits.client_bytes + limits.response_bytes
                used_bytes = 60 * MB + control_bytes + 47 * MB + gateway_bytes
                self.assertLess(used_bytes, memory_mb * MB)
                self.assertGreaterEqual(control_bytes, MIN_CLIENT_BYTES)

    def test_silent_connections_never_keep_a_new_one_out(self) -> None:
        # Where so many connections exceeded the memory before their own limit, the
        # newest was closed instead of a silent one.
        for memory_mb in (152, 200, 300):
            for max_fds in (4_100, MAX_FDS):
                limits = derive_limits(memory_mb, max_fds)
                for used in (limits, limit_beside_gateway(limits)):
                    with self.subTest(limits=used):
                        account = BufferAccount(used)
                        for number in range(used.max_connections + 5):
                            newest = make_holder(0, Activity.SILENT, float(number))
                            account.open(newest)
                            self.assertTrue(newest in account.holders, number)


class LineLimiterTests(unittest.TestCase):
    def test_lines_above_the_limit_are_omitted_and_counted(self) -> None:
        limiter = LineLimiter(max_lines_per_s=2)
        taken = [limiter.take(now_s) for now_s in (0.0, 0.1, 0.2, 0.9, 1.0, 1.1)]
        self.assertEqual(taken, [0, 0, None, None, 2, 0])

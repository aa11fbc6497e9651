"""Tests of which part of a prompt is accused of crashes, and which is not."""

from __future__ import annotations

import itertools
import unittest

from yuccareach.quarantine import admission, parts as part_rules, table
from yuccareach.quarantine.counts import (
    CONFIRMED_PART_LOSSES,
    ISOLATION_LOSS_THRESHOLD,
    MAX_FINGERPRINTS,
    MAX_LOST_SERVERS,
    NO_LOSSES,
    QUARANTINE_LOSS_THRESHOLD,
    QUARANTINE_MS,
    LossCount,
    compute_retention_ms,
    hash_incarnation,
    merge_counts,
)
from yuccareach.quarantine.parts import MAX_PARTS_REMEMBERED, MIN_ACCUSING_SERVERS
from yuccareach.quarantine.table import (
    CountChange,
    QuarantineTable,
    TrackedAttempt,
    TrackedPart,
)

SHARED = b"s" * 16
BAD = b"b" * 16
OTHER = b"o" * 16


class PartTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.table = QuarantineTable()
        self.numbers = itertools.count(1)

    def start_attempt(
        self, *parts: bytes, quarantine_table: QuarantineTable | None = None
    ) -> TrackedAttempt:
        """Start an attempt at a request that nobody has sent before."""
        chosen = quarantine_table or self.table
        part_rules.record_attempt(chosen.part_history, parts)
        number = next(self.numbers)
        return TrackedAttempt(
            number.to_bytes(16, "big"),
            NO_LOSSES,
            f"r{number}",
            "w",
            tuple(
                TrackedPart(part, table.get_count(chosen, part, 0)) for part in parts
            ),
        )

    def crash(
        self,
        *attempts: TrackedAttempt,
        incarnation: str = "",
        quarantine_table: QuarantineTable | None = None,
    ) -> list[CountChange]:
        """Lose one server under all of these attempts."""
        chosen = quarantine_table or self.table
        incarnation = incarnation or f"i{next(self.numbers)}"
        for attempt in attempts:
            table.add_pending_loss(chosen, attempt, incarnation, 0)
        return table.confirm_losses(chosen, incarnation, 0)

    def crash_round(self, servers: int, *parts: bytes) -> None:
        """Lose servers at one moment, each under an attempt with these parts."""
        attempts = [self.start_attempt(*parts) for _ in range(servers)]
        for attempt in attempts:
            self.crash(attempt)

    def prove(self, *parts: bytes, now_ms: int = 0) -> list[CountChange]:
        return table.prove_parts(self.table, self.start_attempt(*parts), now_ms)

    def count_losses(self, part: bytes) -> int:
        return table.get_count(self.table, part, 0).losses

    def is_refused(self, part: bytes) -> bool:
        return admission.compute_refusal_ms(self.table, part, 0) > 0


class EvidenceTests(PartTestCase):
    def test_second_round_of_crashes_accuses_after_four_servers(self) -> None:
        self.crash_round(MIN_ACCUSING_SERVERS - 1, BAD)
        self.assertFalse(self.is_refused(BAD))
        self.crash_round(1, BAD)
        self.assertTrue(self.is_refused(BAD))

    def test_third_loss_in_a_row_accuses(self) -> None:
        for _ in range(QUARANTINE_LOSS_THRESHOLD - 1):
            self.crash_round(1, BAD)
            self.assertFalse(self.is_refused(BAD))
        self.crash_round(1, BAD)
        self.assertTrue(self.is_refused(BAD))

    def test_servers_lost_at_one_moment_accuse_no_part(self) -> None:
        self.crash_round(4 * MIN_ACCUSING_SERVERS, BAD)
        self.assertEqual(self.count_losses(BAD), 1)

    def test_one_server_lost_under_many_attempts_is_one_loss(self) -> None:
        self.crash(*(self.start_attempt(BAD) for _ in range(10)))
        count = table.get_count(self.table, BAD, 0)
        self.assertEqual((count.losses, len(count.lost_servers)), (1, 1))

    def test_attempts_of_one_request_are_one_loss_of_its_parts(self) -> None:
        for server in "abcde":
            attempt = self.start_attempt(SHARED)
            self.crash(attempt._replace(request="r"), incarnation=server)
        count = table.get_count(self.table, SHARED, 0)
        lost_servers = (hash_incarnation("a"),)
        self.assertEqual(count[:3], LossCount(0, 1, lost_servers)[:3])
        self.assertEqual(len(count.exposed_servers), 5)

    def test_request_that_is_quarantined_accuses_no_part(self) -> None:
        for _ in range(QUARANTINE_LOSS_THRESHOLD):
            attempt = self.start_attempt(SHARED)
            count = table.get_count(self.table, OTHER, 0)
            self.crash(attempt._replace(fingerprint=OTHER, known_count=count))
        self.assertTrue(table.get_count(self.table, OTHER, 0).is_quarantined)
        self.assertFalse(self.is_refused(SHARED))

    def test_proof_between_crashes_resets_the_losses(self) -> None:
        for _ in range(20):
            self.crash_round(1, SHARED)
            self.crash_round(1, SHARED)
            self.assertEqual(len(self.prove(SHARED)), 1)
        self.assertFalse(self.is_refused(SHARED))

    def test_attempt_that_started_before_a_proof_counts_nothing(self) -> None:
        self.crash_round(2, SHARED)
        attempt = self.start_attempt(SHARED)
        self.prove(SHARED)
        self.crash(attempt)
        self.assertEqual(self.count_losses(SHARED), 0)

    def test_attempt_that_has_proven_its_parts_counts_for_its_request_only(
        self,
    ) -> None:
        attempt = self.start_attempt(SHARED)._replace(has_proven_parts=True)
        changes = self.crash(attempt)
        self.assertEqual([item.fingerprint for item in changes], [attempt.fingerprint])

    def test_proof_of_a_quarantined_part_ends_its_quarantine(self) -> None:
        attempt = self.start_attempt(BAD)
        self.crash_round(MIN_ACCUSING_SERVERS, BAD)
        self.crash_round(1, BAD)
        self.assertTrue(self.is_refused(BAD))
        table.prove_parts(self.table, attempt, 0)
        self.assertFalse(self.is_refused(BAD))


class AccusationTests(PartTestCase):
    def crash_until_accused(self, *parts: bytes) -> None:
        self.crash_round(MIN_ACCUSING_SERVERS, *parts)
        self.crash_round(1, *parts)

    def assert_accused(self, *accused: bytes) -> None:
        parts = (SHARED, BAD, OTHER)
        refused = tuple(part for part in parts if self.is_refused(part))
        self.assertEqual(refused, accused)

    def test_part_that_never_proved_harmless_is_accused(self) -> None:
        self.prove(SHARED, OTHER)
        self.crash_until_accused(SHARED, BAD, OTHER)
        self.assert_accused(BAD)
        self.assertEqual(self.count_losses(SHARED), ISOLATION_LOSS_THRESHOLD)

    def test_part_that_proved_harmless_the_longest_ago_is_accused(self) -> None:
        self.prove(SHARED, BAD, now_ms=1_000)
        self.prove(SHARED, OTHER, now_ms=2_000)
        self.crash_until_accused(SHARED, BAD, OTHER)
        self.assert_accused(BAD)

    def test_without_proofs_the_part_in_the_fewest_requests_is_accused(self) -> None:
        for part in (SHARED, OTHER):
            self.start_attempt(part)
        self.crash_until_accused(SHARED, BAD, OTHER)
        self.assert_accused(BAD)

    def test_among_equals_the_later_part_is_accused(self) -> None:
        self.crash_until_accused(SHARED, BAD)
        self.assert_accused(BAD)

    def test_shared_part_is_not_accused_for_a_sound_request_beside_the_culprit(
        self,
    ) -> None:
        self.prove(SHARED)
        self.prove(BAD)
        self.prove(SHARED, now_ms=1)
        self.crash_round(MIN_ACCUSING_SERVERS, SHARED, BAD)
        self.crash(self.start_attempt(SHARED, OTHER), self.start_attempt(SHARED, BAD))
        self.assert_accused(BAD)

    def test_loss_that_a_quarantined_part_explains_accuses_no_other(self) -> None:
        self.crash_round(MIN_ACCUSING_SERVERS, SHARED, BAD)
        bystander = self.start_attempt(SHARED, OTHER)
        culprit = self.start_attempt(SHARED, BAD)
        self.crash(culprit, incarnation="i")
        self.assert_accused(BAD)
        self.crash(bystander, incarnation="i")
        self.assert_accused(BAD)

    def test_part_that_others_counted_on_the_same_server_is_suspected_first(
        self,
    ) -> None:
        self.prove(SHARED, now_ms=1)
        self.crash_round(MIN_ACCUSING_SERVERS, SHARED)
        bystander = self.start_attempt(SHARED)
        other_table = QuarantineTable()
        for _ in range(MIN_ACCUSING_SERVERS):
            attempt = self.start_attempt(BAD, quarantine_table=other_table)
            self.crash(attempt, quarantine_table=other_table, incarnation="i")
        count = LossCount(0, 2, table.get_count(other_table, BAD, 0).lost_servers)
        lost_servers = tuple(sorted({*count.lost_servers, 1, 2, 3}))
        self.start_attempt(BAD)
        table.merge_count(
            self.table, BAD, count._replace(lost_servers=lost_servers), 1_000, 0
        )
        self.crash(bystander, incarnation="i")
        self.assert_accused()


class RetriedRequestTests(PartTestCase):
    """A request that crashes one server after the other, beside sound ones."""

    def setUp(self) -> None:
        super().setUp()
        self.others = [b"other part %d" % number for number in range(3)]
        self.prove(SHARED, *self.others)

    def retry_beside_sound_requests(self, *parts: bytes) -> None:
        request = self.start_attempt(*parts)
        for other in self.others:
            count = table.get_count(self.table, request.fingerprint, 0)
            retried = self.start_attempt(*parts)._replace(
                fingerprint=request.fingerprint,
                known_count=count,
                request=request.request,
            )
            self.crash(retried, self.start_attempt(SHARED, other))

    def test_part_shared_with_a_request_that_crashes_each_server_is_not_accused(
        self,
    ) -> None:
        self.retry_beside_sound_requests(SHARED, BAD)
        self.assertFalse(self.is_refused(SHARED))

    def test_parts_of_sound_requests_beside_a_crashing_request_are_not_accused(
        self,
    ) -> None:
        self.retry_beside_sound_requests(SHARED)
        self.assertFalse(any(map(self.is_refused, (SHARED, *self.others))))

    def test_crashing_part_is_accused_once_several_requests_were_lost(self) -> None:
        self.retry_beside_sound_requests(SHARED, BAD)
        for _ in range(QUARANTINE_LOSS_THRESHOLD - 1):
            self.crash_round(1, SHARED, BAD)
        self.assertTrue(self.is_refused(BAD))
        self.assertFalse(self.is_refused(SHARED))

    def test_new_part_is_accused_by_two_requests_that_lost_four_servers(self) -> None:
        self.retry_beside_sound_requests(SHARED, BAD)
        self.crash_round(1, SHARED, BAD)
        self.assertTrue(self.is_refused(BAD))
        self.assertFalse(self.is_refused(SHARED))

    def test_new_part_is_not_accused_before_all_attempts_on_the_server_count(
        self,
    ) -> None:
        self.retry_beside_sound_requests(SHARED, OTHER, BAD)
        self.table.accusation_delay_ms = 300
        culprit = self.start_attempt(SHARED, b"new", BAD)
        self.crash(self.start_attempt(SHARED, OTHER), incarnation="i")
        self.crash(culprit, incarnation="i")
        self.assertFalse(self.is_refused(BAD))
        accused = [item.fingerprint for item in table.accuse_parts(self.table, 300)]
        self.assertEqual(accused, [BAD])

    def test_proof_before_an_accusation_is_due_prevents_it(self) -> None:
        self.table.accusation_delay_ms = 300
        for _ in range(QUARANTINE_LOSS_THRESHOLD):
            self.crash_round(1, OTHER)
        self.prove(OTHER)
        self.assertEqual(list(table.accuse_parts(self.table, 300)), [])

    def test_shared_part_that_turns_harmful_is_accused_among_new_parts(self) -> None:
        for number in range(QUARANTINE_LOSS_THRESHOLD + 1):
            self.crash_round(1, SHARED, b"new part %d" % number)
        self.assertTrue(self.is_refused(SHARED))


class SharedPartTests(PartTestCase):
    """A part of all requests, none of which has been answered yet."""

    def test_part_of_all_requests_is_not_accused_before_the_one_that_crashes(
        self,
    ) -> None:
        # An ordinary crash, and then two by the harmful part.
        self.crash_round(1, SHARED, OTHER)
        for _ in range(2):
            self.crash_round(1, SHARED, BAD)
        self.assertFalse(self.is_refused(SHARED))
        self.crash_round(1, SHARED, BAD)
        self.assertTrue(self.is_refused(BAD))
        self.assertFalse(self.is_refused(SHARED))


class ExplainedLossTests(PartTestCase):
    """A sound part that came with a harmful one, which is quarantined by now."""

    def setUp(self) -> None:
        super().setUp()
        self.crash_round(MIN_ACCUSING_SERVERS - 1, SHARED, BAD)
        self.prove(OTHER)
        self.crash_round(1, SHARED, BAD)
        self.assertTrue(self.is_refused(BAD))
        self.assertFalse(self.is_refused(SHARED))

    def test_one_more_loss_does_not_accuse_the_part_that_came_with_the_culprit(
        self,
    ) -> None:
        for _ in range(2):
            self.crash_round(1, SHARED, OTHER)
            self.assertFalse(self.is_refused(SHARED))

    def test_losses_that_the_culprit_does_not_explain_still_accuse(self) -> None:
        for _ in range(QUARANTINE_LOSS_THRESHOLD):
            self.crash_round(1, SHARED, OTHER)
        self.assertTrue(self.is_refused(SHARED))


class MergeTests(unittest.TestCase):
    def test_merge_does_not_depend_on_the_order(self) -> None:
        counts = [
            LossCount(0, 1, (5,)),
            LossCount(0, 2, tuple(range(6, 6 + MAX_LOST_SERVERS))),
            LossCount(0, 1, (1, 9)),
            LossCount(1, 1, (3,)),
            LossCount(1, 2, (2,)),
        ]
        for number in range(1, len(counts) + 1):
            results = set()
            for order in itertools.permutations(counts[:number]):
                merged = NO_LOSSES
                for count in order:
                    merged = merge_counts(merged, count)
                results.add(merged)
            self.assertEqual(len(results), 1)
            self.assertLessEqual(len(results.pop().lost_servers), MAX_LOST_SERVERS)

    def test_report_of_fewer_losses_does_not_shorten_a_quarantine(self) -> None:
        quarantine = QuarantineTable()
        count = LossCount(0, CONFIRMED_PART_LOSSES, (1,))
        retention_ms = compute_retention_ms(count)
        table.merge_count(quarantine, BAD, count, retention_ms, 0)
        table.merge_count(quarantine, BAD, LossCount(0, 2, (2,)), QUARANTINE_MS, 9)
        self.assertEqual(
            admission.compute_refusal_ms(quarantine, BAD, 0), QUARANTINE_MS
        )
        self.assertEqual(table.get_count(quarantine, BAD, 0).lost_servers, (1, 2))


class BoundTests(PartTestCase):
    def test_flood_of_parts_keeps_state_bounded_and_the_quarantine(self) -> None:
        self.crash_round(MIN_ACCUSING_SERVERS, BAD)
        self.crash_round(1, BAD)
        for number in range(MAX_PARTS_REMEMBERED + 100):
            self.crash(self.start_attempt(number.to_bytes(16, "big")))
        uses = self.table.part_history.use_by_part
        self.assertEqual(len(uses), MAX_PARTS_REMEMBERED)
        self.assertEqual(len(self.table.record_by_fingerprint), MAX_FINGERPRINTS)
        self.assertTrue(self.is_refused(BAD))

    def test_flood_of_parts_does_not_forget_one_in_use(self) -> None:
        self.prove(SHARED, now_ms=1)
        for number in range(2 * MAX_PARTS_REMEMBERED):
            self.start_attempt(SHARED, number.to_bytes(16, "big"))
        use = self.table.part_history.use_by_part[SHARED]
        self.assertEqual(use.proven_ms, 1)

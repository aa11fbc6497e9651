"""Tests of the fingerprints of prompt parts."""

from __future__ import annotations

import unittest

from yuccareach.quarantine.fingerprints import (
    MAX_PARTS,
    compute_part_fingerprints,
    format_fingerprint,
    format_fingerprints,
)


class PartFingerprintTests(unittest.TestCase):
    def test_all_parts_but_the_last_have_a_fingerprint(self) -> None:
        fingerprints = compute_part_fingerprints("m", [b"a", b"b", b"own"])
        self.assertEqual(
            fingerprints, compute_part_fingerprints("m", [b"a", b"b", b"other"])
        )
        self.assertEqual(len(fingerprints), 2)
        self.assertEqual(compute_part_fingerprints("m", [b"own"]), ())
        self.assertEqual(compute_part_fingerprints("m", []), ())

    def test_part_of_another_model_differs(self) -> None:
        self.assertNotEqual(
            compute_part_fingerprints("m", [b"a", b"own"]),
            compute_part_fingerprints("n", [b"a", b"own"]),
        )

    def test_repeated_part_counts_once(self) -> None:
        parts = [b"a", b"b", b"a", b"own"]
        self.assertEqual(len(compute_part_fingerprints("m", parts)), 2)

    def test_number_of_parts_is_bounded(self) -> None:
        parts = [b"%d" % number for number in range(10_000)]
        self.assertEqual(len(compute_part_fingerprints("m", parts)), MAX_PARTS)

    def test_log_lines_give_all_parts_in_order(self) -> None:
        first, second = compute_part_fingerprints("m", [b"a", b"b", b"own"])
        self.assertEqual(
            format_fingerprints((first, second)),
            f"{format_fingerprint(first)},{format_fingerprint(second)}",
        )

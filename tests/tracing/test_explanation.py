"""Tests of parsing log lines and of explaining a request from them."""

from __future__ import annotations

import unittest

from yuccareach.tracing.explanation import Explanation, explain
from yuccareach.tracing.log_lines import parse_line, parse_lines

REFUSED = """
 1.2 front-1 time="2026-01-01 00:00:01,100" level=INFO event=stream_sent instance=g1 request=r1 attempt=1 chain="a=0-40,b=40-80"
 1.3 front-1 time="2026-01-01 00:00:01,200" level=INFO event=attempt_failed instance=g1 request=r1 backend_server=a ending=complete status=503 not_run=True faulty=1.1.1.1:1
 1.1 front-1 time="2026-01-01 00:00:01,000" level=INFO event=other instance=g1 request=r2
 1.4 front-1 time="2026-01-01 00:00:01,300" level=WARNING event=request_ended instance=g1 request=r1 status=503 reason=no_room attempts=1
not a log line
"""  # noqa: E501
UNCOVERED = """
time="2026-01-01 00:00:01,100" level=INFO event=refused_for_want_of_room instance=g1 request=r1 tokens=9 ahead=0 expected_wait_s=0.0 closed=True
time="2026-01-01 00:00:01,101" level=WARNING event=request_ended instance=g1 request=r1 status=503 reason=no_room attempts=0
"""  # noqa: E501
INTERRUPTED = """
time="2026-01-01 00:00:01,100" level=INFO event=stream_sent instance=g1 request=r1 attempt=1
time="2026-01-01 00:00:02,000" level=INFO event=started instance=g2
time="2026-01-01 00:00:03,000" level=INFO event=started instance=g1
"""  # noqa: E501

QUARANTINED = """
time="2026-01-01 00:00:01,000" level=INFO event=loss_noted instance=g2 request=r1 fingerprint=ab12 losses=1 incarnation=a@1
time="2026-01-01 00:00:02,000" level=INFO event=loss_noted instance=g1 request=r2 fingerprint=ab12 losses=2 incarnation=b@1
time="2026-01-01 00:00:02,500" level=INFO event=loss_noted instance=g1 request=r7 fingerprint=cd34 losses=1 incarnation=b@1
time="2026-01-01 00:00:03,000" level=INFO event=loss_noted instance=g1 request=r3 fingerprint=ab12 losses=3 incarnation=c@1
time="2026-01-01 00:00:04,000" level=INFO event=request_quarantined instance=g1 request=r4 fingerprint=ab12 retry_after_s=599.0
time="2026-01-01 00:00:04,001" level=INFO event=request_rejected instance=g1 request=r4 status=503 reason=quarantined
"""  # noqa: E501

PART_QUARANTINED = """
time="2026-01-01 00:00:01,000" level=INFO event=loss_noted instance=g2 request=r1 accused=part fingerprint=ab12 losses=1 incarnation=a@1 parts="ee55,ab12"
time="2026-01-01 00:00:01,000" level=INFO event=loss_noted instance=g2 request=r1 accused=part fingerprint=ee55 losses=1 incarnation=a@1 parts="ee55,ab12"
time="2026-01-01 00:00:02,000" level=INFO event=loss_noted instance=g1 request=r2 accused=part fingerprint=ab12 losses=3 incarnation=b@1 parts="ee55,ab12"
time="2026-01-01 00:00:04,000" level=INFO event=stream_sent instance=g1 request=r4 parts="ee55,ab12"
time="2026-01-01 00:00:04,500" level=INFO event=request_quarantined instance=g1 request=r4 accused=part fingerprint=ab12 retry_after_s=599.0
time="2026-01-01 00:00:04,501" level=INFO event=request_ended instance=g1 request=r4 status=503 reason=quarantined fingerprint=0000
"""  # noqa: E501


def explain_text(request: str, text: str) -> Explanation:
    return explain(request, parse_lines(text.splitlines()))


class LineTests(unittest.TestCase):
    def test_quoted_values_are_unescaped(self) -> None:
        line = parse_line(r'x time=1 event=e text="two \"words\"\nand" instance=i n=3')
        assert line is not None
        self.assertEqual(line.fields, {"text": 'two "words"\nand', "n": "3"})
        self.assertEqual((line.event, line.instance), ("e", "i"))

    def test_line_without_an_event_is_none(self) -> None:
        self.assertIsNone(parse_line("Traceback (most recent call last):"))


class ExplainTests(unittest.TestCase):
    def test_refused_request_is_explained_by_reason_and_attempts(self) -> None:
        explanation = explain_text("r1", REFUSED)
        self.assertTrue(explanation.has_known_cause)
        self.assertEqual(len(explanation.lines), 3)
        self.assertIn(
            "status 503 at g1: no chain of backend servers", explanation.sentence
        )
        self.assertIn("1.1.1.1:1", explanation.sentence)

    def test_refusal_for_uncovered_layers_is_explained(self) -> None:
        explanation = explain_text("r1", UNCOVERED)
        self.assertIn(
            "some layers were held by no backend server", explanation.sentence
        )

    def test_request_interrupted_by_the_end_of_its_process(self) -> None:
        explanation = explain_text("r1", INTERRUPTED)
        self.assertTrue(explanation.has_known_cause)
        self.assertIn("the process on g1 ended", explanation.sentence)

    def test_quarantined_request_is_explained_by_the_servers_lost_before(self) -> None:
        explanation = explain_text("r4", QUARANTINED)
        self.assertTrue(explanation.has_known_cause)
        self.assertIn(
            "(lost a@1 under r1; lost b@1 under r2; lost c@1 under r3; "
            "may run again in 599.0 s)",
            explanation.sentence,
        )

    def test_request_with_a_quarantined_part_is_explained_by_that_part(self) -> None:
        explanation = explain_text("r4", PART_QUARANTINED)
        self.assertTrue(explanation.has_known_cause)
        self.assertIn("requests with a part of its prompt", explanation.sentence)
        self.assertIn(
            "(lost a@1 under r1; lost b@1 under r2; may run again in 599.0 s)",
            explanation.sentence,
        )

    def test_request_without_an_end_event_has_no_known_cause(self) -> None:
        self.assertFalse(explain_text("r9", REFUSED).has_known_cause)
        self.assertFalse(explain_text("r2", REFUSED).has_known_cause)

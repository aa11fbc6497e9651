"""Tests of the platform's dialect: headers, and reports of runners."""

from __future__ import annotations

import unittest

from yuccareach.gateway.dialect import ForwardMetadata, Stage
from yuccareach.platform.headers import DIALECT


class RequestTests(unittest.TestCase):
    def test_headers_of_a_generation_request_are_decoded(self) -> None:
        metadata = DIALECT.read_request(
            [
                (b"yuccareach-request-id", b"r1"),
                (b"yuccareach-deadline-ms", b"20000"),
                (b"yuccareach-token-usage", b"1460,80"),
                (b"yuccareach-length-hint", b"50"),
                (b"last-event-id", b"12"),
                (b"authorization", b"Token secret"),
            ]
        )
        self.assertEqual(metadata.request_id, b"r1")
        self.assertEqual(metadata.deadline_ms, 20_000)
        self.assertEqual(
            (metadata.prompt_tokens, metadata.max_answer_tokens), (1460, 80)
        )
        self.assertEqual(metadata.expected_answer_tokens, 50)
        self.assertEqual(metadata.last_event_id, 12)
        self.assertEqual(metadata.api_key, "secret")

    def test_key_hop_by_hop_and_gateway_headers_are_not_forwarded(self) -> None:
        headers = [
            (b"host", b"h"),
            (b"x-own", b"1"),
            (b"x-hop", b"2"),
            (b"connection", b"x-hop, keep-alive"),
            (b"authorization", b"Token secret"),
            (b"yuccareach-tenant", b"someone-else"),
            (b"yuccareach-target-runner", b"i-0"),
            (b"yuccareach-hop-count", b"1.2.3.4:5=0-80"),
            (b"yuccareach-model", b"m"),
            (b"transfer-encoding", b"chunked"),
        ]
        forwarded = dict(DIALECT.read_request(headers).forwarded_headers)
        self.assertEqual(set(forwarded), {b"host", b"x-own", b"yuccareach-model"})

    def test_model_and_ids_of_prompt_parts_are_decoded_in_order(self) -> None:
        metadata = DIALECT.read_request(
            [
                (b"yuccareach-model", b"m"),
                (b"yuccareach-prompt-prefix", b"5c1e:800, 91bd:410,,e440:250"),
            ]
        )
        self.assertEqual(metadata.model, "m")
        self.assertEqual(metadata.prompt_parts, (b"5c1e", b"91bd", b"e440"))

    def test_request_without_prompt_has_no_parts(self) -> None:
        self.assertEqual(DIALECT.read_request([]).prompt_parts, ())

    def test_malformed_numbers_count_as_missing(self) -> None:
        metadata = DIALECT.read_request(
            [(b"yuccareach-deadline-ms", b"soon"), (b"yuccareach-token-usage", b",")]
        )
        self.assertIsNone(metadata.deadline_ms)
        self.assertEqual(metadata.prompt_tokens, 0)
        self.assertIsNone(metadata.api_key)


class SendTests(unittest.TestCase):
    def test_chain_is_sent_to_the_first_runner(self) -> None:
        stages = (Stage("i-1", "1.1.1.1:1", 0, 30), Stage("i-2", "2.2.2.2:2", 30, 80))
        headers = dict(
            DIALECT.encode_headers(ForwardMetadata(900, "i-1", "a", stages, 7, 2))
        )
        self.assertEqual(
            headers[b"Yuccareach-Hop-Count"], b"1.1.1.1:1=0-30,2.2.2.2:2=30-80"
        )
        self.assertEqual(headers[b"Yuccareach-Target-Runner"], b"i-1")
        self.assertEqual(headers[b"Yuccareach-Tenant"], b"a")
        self.assertEqual(headers[b"Last-Event-Id"], b"7")


class AnswerTests(unittest.TestCase):
    def test_only_a_stated_refusal_counts_as_not_run(self) -> None:
        refused = [(b"yuccareach-not-executed", b"1"), (b"at-server", b"1.1.1.1:1")]
        metadata = DIALECT.read_response(503, refused)
        self.assertTrue(metadata.has_not_run)
        self.assertEqual(metadata.faulty_address, "1.1.1.1:1")
        self.assertTrue(DIALECT.read_response(421, []).has_not_run)
        self.assertFalse(DIALECT.read_response(503, []).has_not_run)

    def test_only_the_value_1_tells_that_a_runner_is_leaving(self) -> None:
        for value in (b"1", b" 1 "):
            metadata = DIALECT.read_response(200, [(b"server-leaving", value)])
            self.assertTrue(metadata.is_leaving, value)
        for value in (b"0", b"", b"yes", b"11", b"1.0"):
            metadata = DIALECT.read_response(200, [(b"server-leaving", value)])
            self.assertFalse(metadata.is_leaving, value)
        self.assertFalse(DIALECT.read_response(200, []).is_leaving)

    def test_one_of_several_departure_headers_is_enough(self) -> None:
        for values in ((b"1", b"0"), (b"0", b"1"), (b"1", b"1")):
            headers = [(b"server-leaving", value) for value in values]
            self.assertTrue(DIALECT.read_response(200, headers).is_leaving, values)

    def test_retry_after_of_a_refusal_is_decoded_as_seconds(self) -> None:
        for value, seconds in ((b"3", 3.0), (b"0.25", 0.25), (b" 2 ", 2.0), (b"0", 0)):
            metadata = DIALECT.read_response(503, [(b"retry-after", value)])
            self.assertEqual(metadata.retry_after_s, seconds)
            self.assertIsNone(metadata.malformed_retry_after)

    def test_retry_after_beside_another_status_is_left_to_the_caller(self) -> None:
        for status in (200, 301, 429, 502):
            metadata = DIALECT.read_response(status, [(b"retry-after", b"x")])
            self.assertIsNone(metadata.retry_after_s)
            self.assertIsNone(metadata.malformed_retry_after)

    def test_limit_is_decoded_from_every_answer_of_the_runner(self) -> None:
        for value, per_s in ((b"4.3", 4.3), (b"0", 0.0), (b" 12 ", 12.0), (b".5", 0.5)):
            for status in (200, 404, 500, 503):
                headers = [(b"server-limit", value)]
                metadata = DIALECT.read_response(status, headers)
                self.assertEqual(metadata.limit_per_s, per_s)
                self.assertIsNone(metadata.malformed_limit)

    def test_limit_of_another_runner_at_the_address_is_not_taken_for_this_one(
        self,
    ) -> None:
        for headers in ([(b"server-limit", b"2")], [(b"server-limit", b"x")], []):
            metadata = DIALECT.read_response(421, headers)
            self.assertIsNone(metadata.limit_per_s)
            self.assertIsNone(metadata.malformed_limit)
            self.assertFalse(metadata.is_statement)

    def test_malformed_limits_are_ignored_and_named(self) -> None:
        values = (b"-1", b"nan", b"inf", b"two", b"", b"1e3", b"+1", b"9" * 5_000, b".")
        for value in values:
            metadata = DIALECT.read_response(200, [(b"server-limit", value)])
            self.assertIsNone(metadata.limit_per_s, value)
            self.assertEqual(metadata.malformed_limit, value.decode())

    def test_several_limits_are_ignored(self) -> None:
        headers = [(b"server-limit", b"2"), (b"server-limit", b"2")]
        metadata = DIALECT.read_response(200, headers)
        self.assertIsNone(metadata.limit_per_s)
        self.assertEqual(metadata.malformed_limit, "2, 2")

    def test_only_the_runners_own_answers_show_that_it_states_no_limit(self) -> None:
        signature = (b"yuccareach-runner-signature", b"s")
        refusal = (b"yuccareach-not-executed", b"1")
        for headers, expected in (([signature], True), ([refusal], True), ([], False)):
            metadata = DIALECT.read_response(200, headers)
            self.assertEqual(metadata.is_statement, expected)

    def test_malformed_retry_after_is_ignored_and_named(self) -> None:
        date = b"Fri, 04 Dec 2026 10:00:00 GMT"
        for value in (date, b"", b"-1", b"soon", b"nan", b"inf", b"1e9", b"3, 5"):
            metadata = DIALECT.read_response(503, [(b"retry-after", value)])
            self.assertIsNone(metadata.retry_after_s, value)
            self.assertEqual(metadata.malformed_retry_after, value.decode())

    def test_longest_of_several_times_counts(self) -> None:
        headers = [(b"retry-after", value) for value in (b"2", b"x", b"5", b"3")]
        metadata = DIALECT.read_response(503, headers)
        self.assertEqual(metadata.retry_after_s, 5.0)
        self.assertEqual(metadata.malformed_retry_after, "x")

    def test_malformed_load_counts_as_missing(self) -> None:
        metadata = DIALECT.read_response(200, [(b"yuccareach-runner-load", b"1,x")])
        self.assertIsNone(metadata.running_requests)


class ReportTests(unittest.TestCase):
    def test_stalled_requests_are_mapped_to_the_address_they_wait_for(self) -> None:
        report = b'{"stalled":[{"id":"r1","address":"1.1.1.1:1"}]}'
        self.assertEqual(DIALECT.read_stalled_requests(report), {b"r1": "1.1.1.1:1"})
        for malformed in (b"", b"[]", b'{"stalled":[{}]}', b'{"stalled":3}'):
            with self.subTest(report=malformed):
                self.assertEqual(DIALECT.read_stalled_requests(malformed), {})

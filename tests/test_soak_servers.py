"""Tests that the soak finds violations of what is promised of backend servers."""

from __future__ import annotations

from typing import Any

from bench.soak.deployment import Program
from bench.soak.faults import InjectedFault
from bench.soak.runners import Arrival, LimitSpan, Rejection
from bench.soak.server_promises import (
    MAX_ARRIVALS_DESPITE_REFUSAL,
    MAX_ENDLESS_BYTES,
    MAX_EXCESS_REQUESTS,
    MAX_LEAVING_DELAY_S,
    MAX_SILENCE_S,
)
from tests.soak import (
    CheckTestCase,
    make_call_record,
    make_event,
    make_record,
    make_runner,
    make_stream_record,
)


class AttemptTests(CheckTestCase):
    def check_attempts(
        self, *closed_s: float | None, requests: int = MAX_EXCESS_REQUESTS + 1
    ) -> list[str]:
        """Return the violations if each request runs on servers that closed then."""
        names = [f"r{number}" for number in range(requests)]
        records = [
            make_record(
                path="/look/1", request=name, echoed_request=name, body=name.encode()
            )
            for name in names
        ]
        runners = [
            make_runner(
                *(Arrival(1.1, name, "") for name in names),
                name=f"i-{number}",
                closed_s=end_s,
                silences=[(1.0, 2.0)],
            )
            for number, end_s in enumerate(closed_s)
        ]
        return self.check_records(*records, runners=runners)

    def test_request_on_more_servers_than_its_route_allows(self) -> None:
        self.assertEqual(self.check_attempts(None, None), [])
        self.assertEqual(len(self.check_attempts(None, None, None)), 1)
        self.assertEqual(
            self.check_attempts(None, None, None, requests=MAX_EXCESS_REQUESTS), []
        )

    def test_only_servers_that_end_while_they_have_the_request_are_exempt(self) -> None:
        self.assertEqual(self.check_attempts(None, None, 1.5), [])
        for closed_s in (1.05, 2.1):
            with self.subTest(closed_s=closed_s):
                self.assertEqual(len(self.check_attempts(None, None, closed_s)), 1)

    def test_server_that_was_cut_off_or_rejected_the_request_is_exempt(self) -> None:
        names = [f"r{number}" for number in range(MAX_EXCESS_REQUESTS + 1)]
        records = [
            make_record(request=name, echoed_request=name, body=name.encode())
            for name in names
        ]
        arrivals = [Arrival(1.1, name, "") for name in names]
        rejections = [Rejection(1.2, arrival, None) for arrival in arrivals]
        for fields, count in (
            ({}, 1),
            ({"cuts": [(1.0, 1.2)]}, 0),
            ({"rejections": rejections}, 0),
            ({"link_faults": [(1.0, 1.2)]}, 1),
            ({"cuts": [(2.1, 2.2)]}, 1),
        ):
            with self.subTest(fields=fields):
                other = make_runner(*arrivals, name="i-2", **fields)
                violations = self.check_records(
                    *records, runners=[make_runner(*arrivals), other]
                )
                self.assertEqual(len(violations), count)


class SilenceTests(CheckTestCase):
    def check_cut(self, silence_s: float = 0.8, **fields: Any) -> list[str]:
        """Return the violations if a server is silent and its call ends with 504."""
        cut = make_record(status=504, body=b"", ended_s=8.0)
        runner = make_runner(
            Arrival(1.1, "r1", ""), silences=[(1.0, 1.0 + silence_s)], **fields
        )
        return self.check_records(cut, runners=[runner])

    def test_request_that_is_cut_beside_a_silent_server(self) -> None:
        self.assertEqual(len(self.check_cut()), 1)
        self.assertEqual(self.check_cut(silence_s=0), [])
        self.assertEqual(self.check_cut(silence_s=MAX_SILENCE_S + 0.1), [])

    def test_incomplete_stream_over_a_silent_later_stage(self) -> None:
        cut = make_stream_record(make_event(1), is_complete=False)
        arrival = Arrival(1.1, "r1", "", ("address of i-1", "address of i-2"))
        later = make_runner(name="i-2", silences=[(1.5, 2.5)])
        runners = [make_runner(arrival), later]
        self.assertEqual(len(self.check_records(cut, runners=runners)), 1)
        runners[0].arrivals = [arrival._replace(stages=("address of i-1",))]
        self.assertEqual(self.check_records(cut, runners=runners), [])
        runners[0].reroutes = [(1.2, "r1", ("address of i-1", "address of i-2"))]
        self.assertEqual(len(self.check_records(cut, runners=runners)), 1)

    def test_only_other_faults_of_its_own_servers_excuse_a_cut(self) -> None:
        for fields, count in (
            ({"closed_s": 1.5}, 0),
            ({"link_faults": [(1.2, 1.3)]}, 0),
            ({"endless_spans": [(1.2, 1.3)]}, 0),
            ({"closed_s": 8.1}, 1),
            ({"link_faults": [(8.1, 8.3)]}, 1),
        ):
            with self.subTest(fields=fields):
                self.assertEqual(len(self.check_cut(**fields)), count)

    def test_link_fault_that_cut_the_last_attempt_before_it_arrived_excuses(
        self,
    ) -> None:
        cut = make_record(status=504, body=b"", ended_s=8.0)
        runner = make_runner(Arrival(1.1, "r1", ""), silences=[(1.0, 1.8)])
        for span, service, count in (
            ((7.5, 8.5), runner.service, 0),
            ((7.5, 7.9), runner.service, 1),
            # Its end closed the connection.
            ((7.5, 7.99), runner.service, 0),
            ((7.5, 8.5), "another service", 1),
        ):
            with self.subTest(span=span, service=service):
                other = make_runner(name="i-2", link_faults=[span], service=service)
                violations = self.check_records(cut, runners=[runner, other])
                self.assertEqual(len(violations), count)

    def test_link_fault_that_cut_the_only_attempt_not_rejected_excuses(self) -> None:
        cut = make_record(status=502, body=b"", ended_s=8.0)
        arrival = Arrival(1.1, "r1", "")
        rejections = [Rejection(1.2, arrival, None)]
        for span, rejected, count in (
            ((0.9, 1.05), rejections, 0),
            ((0.9, 1.05), [], 1),
            ((8.1, 8.5), rejections, 1),
        ):
            with self.subTest(span=span, rejected=rejected):
                runner = make_runner(
                    arrival, silences=[(1.0, 1.8)], rejections=rejected
                )
                other = make_runner(
                    name="i-2", link_faults=[span], service=runner.service
                )
                violations = self.check_records(cut, runners=[runner, other])
                self.assertEqual(len(violations), count)

    def test_server_that_crashed_before_the_only_attempt_not_rejected_arrived_excuses(
        self,
    ) -> None:
        # Seed 1005: nothing else was wrong with the request's servers.
        cut = make_record(status=502, body=b"", ended_s=2.0)
        arrival = Arrival(1.1, "r1", "")
        rejections = [Rejection(1.9, arrival, None)]
        for closed_s, service, rejected, count in (
            (1.95, "", rejections, 0),
            (1.95, "another service", rejections, 1),
            # Before the request, and while the one server still ran it.
            (0.5, "", rejections, 1),
            (1.5, "", [], 1),
        ):
            with self.subTest(closed_s=closed_s, service=service, rejected=rejected):
                runner = make_runner(
                    arrival, silences=[(1.0, 1.8)], rejections=rejected
                )
                other = make_runner(
                    name="i-2", closed_s=closed_s, service=service or runner.service
                )
                violations = self.check_records(cut, runners=[runner, other])
                self.assertEqual(len(violations), count)

    def test_silent_server_does_not_excuse_a_shutdown_that_cuts(self) -> None:
        cut = make_stream_record(make_event(1), is_complete=False)
        term = InjectedFault("term", Program("gateway", 0), 0.5, 3.0)
        for kind, count in (("silent", 1), ("part", 1), ("refusing", 1), ("drain", 0)):
            with self.subTest(kind=kind):
                fault = InjectedFault(kind, Program("runner", 0), 0.5, 3.0)
                violations = self.check_records(cut, injected_faults=[term, fault])
                self.assertEqual(len(violations), count)


class LeavingTests(CheckTestCase):
    def check_late_request(self, *faults: InjectedFault, **fields: Any) -> list[str]:
        """Return the violations if a server gets a request after announcing its end."""
        told = make_record(answered_s=2.0, leaving_runner="i-1")
        started_s = 2.0 + MAX_LEAVING_DELAY_S + 0.1
        late = make_record(
            request="r2", echoed_request="r2", body=b"r2", started_s=started_s
        )
        late = late._replace(ended_s=started_s + 1, **fields)
        runner = make_runner(
            Arrival(1.1, "r1", ""), Arrival(late.started_s + 0.1, "r2", "")
        )
        return self.check_records(
            told, late, runners=[runner], injected_faults=list(faults)
        )

    def test_new_request_to_server_that_has_said_that_it_leaves(self) -> None:
        self.assertEqual(len(self.check_late_request()), 1)
        in_time_s = 2.0 + MAX_LEAVING_DELAY_S - 0.1
        self.assertEqual(self.check_late_request(started_s=in_time_s), [])
        self.assertEqual(self.check_late_request(gateway=1), [])

    def test_only_a_fault_of_the_gateway_since_is_an_excuse(self) -> None:
        since = InjectedFault("pause", Program("gateway", 0), 2.5, 3.0)
        self.assertEqual(self.check_late_request(since), [])
        for other in (
            since._replace(started_s=1.0, ended_s=1.9),
            since._replace(program=Program("gateway", 1)),
            since._replace(program=Program("control", 0)),
        ):
            with self.subTest(fault=other):
                self.assertEqual(len(self.check_late_request(other)), 1)


class RefusalTests(CheckTestCase):
    def check_arrivals(
        self,
        *received_s: float,
        faults: tuple[InjectedFault, ...] = (),
        gateway: int = 0,
    ) -> list[str]:
        """Return the violations if requests arrive after a refusal at 2 s for 3 s."""
        refused = Arrival(1.5, "r0", "")
        arrivals = [
            Arrival(at_s, f"r{number}", "") for number, at_s in enumerate(received_s, 1)
        ]
        records = [
            make_record(
                request=f"r{number}",
                echoed_request=f"r{number}",
                body=f"r{number}".encode(),
                gateway=gateway if number else 0,
            )
            for number in range(len(arrivals) + 1)
        ]
        runner = make_runner(
            refused, *arrivals, rejections=[Rejection(2.0, refused, 3.0)]
        )
        return self.check_records(
            *records, runners=[runner], injected_faults=list(faults)
        )

    def test_requests_to_a_server_that_asks_for_none(self) -> None:
        self.assertEqual(self.check_arrivals(*[2.6] * MAX_ARRIVALS_DESPITE_REFUSAL), [])
        early = (2.6, *[4.9] * MAX_ARRIVALS_DESPITE_REFUSAL)
        self.assertEqual(len(self.check_arrivals(*early)), 1)
        self.assertEqual(self.check_arrivals(2.4, 2.4, 5.1, 5.1, 3.0), [])
        self.assertEqual(self.check_arrivals(*early, gateway=1), [])

    def test_only_a_fault_of_the_gateway_since_is_an_excuse(self) -> None:
        early = (3.0,) * (MAX_ARRIVALS_DESPITE_REFUSAL + 1)
        fault = InjectedFault("kill", Program("gateway", 0), 2.1, 2.9)
        self.assertEqual(self.check_arrivals(*early, faults=(fault,)), [])
        before = fault._replace(started_s=1.0, ended_s=1.9)
        self.assertEqual(len(self.check_arrivals(*early, faults=(before,))), 1)


class EndlessAnswerTests(CheckTestCase):
    def test_endless_answer_that_is_read_on(self) -> None:
        for sent_bytes, count in ((MAX_ENDLESS_BYTES, 0), (MAX_ENDLESS_BYTES + 1, 1)):
            runner = make_runner(endless_bytes_by_answer={("r1", 0): sent_bytes})
            with self.subTest(sent_bytes=sent_bytes):
                self.assertEqual(len(self.check_records(runners=[runner])), count)

    def test_refusal_of_a_request_that_was_answered_without_end(self) -> None:
        refused = make_record(status=503, retry_after="1", body=b"")
        runner = make_runner(endless_bytes_by_answer={("r1", 0): 1})
        self.assertEqual(len(self.check_records(refused, runners=[runner])), 1)


class LimitTests(CheckTestCase):
    """Requests that reach a server while it takes one a second."""

    limit_per_s = 1.0
    # 1.5 times what the limit allows in 4 s, and 5.
    allowed = 11

    def check_arrivals(
        self, times_s: list[float], *gateways: int, **fields: Any
    ) -> list[str]:
        """Return the violations if requests arrive then, from these gateways in turn.

        The first request of each gateway is told of the limit at 1 s.
        """
        chosen = gateways or (0,)
        told = [(1.0, gateway) for gateway in sorted(set(chosen))]
        sent = [
            *told,
            *((at, chosen[i % len(chosen)]) for i, at in enumerate(times_s)),
        ]
        records = [
            make_call_record(f"r{number}", at_s, gateway)
            for number, (at_s, gateway) in enumerate(sent)
        ]
        runner = make_runner(
            *(Arrival(at_s, f"r{i}", "") for i, (at_s, _) in enumerate(sent)),
            limit_spans=[LimitSpan(0.5, 20.0, self.limit_per_s)],
        )
        return self.check_records(*records, runners=[runner], **fields)

    def spread(self, count: int, from_s: float) -> list[float]:
        return [from_s + 0.1 * number for number in range(count)]

    def test_arrivals_over_the_limit_are_found(self) -> None:
        self.assertEqual(self.check_arrivals(self.spread(self.allowed, 6.0)), [])
        self.assertEqual(
            len(self.check_arrivals(self.spread(self.allowed + 1, 6.0))), 1
        )

    def test_sum_over_gateways_is_judged(self) -> None:
        over = self.spread(self.allowed + 1, 6.0)
        self.assertEqual(len(self.check_arrivals(over, 0, 1, 2)), 1)

    def test_arrivals_soon_after_the_first_statement_are_allowed(self) -> None:
        self.assertEqual(self.check_arrivals(self.spread(self.allowed + 1, 1.6)), [])

    def test_requests_of_a_gateway_with_a_fault_are_exempt(self) -> None:
        over = self.spread(self.allowed + 1, 6.0)
        for program, expected in (
            (Program("gateway", 0), 0),
            (Program("gateway", 1), 1),
        ):
            fault = InjectedFault("pause", program, 5.0, 5.5)
            found = self.check_arrivals(over, injected_faults=[fault])
            self.assertEqual(len(found), expected)

    def test_requests_that_pass_a_server_as_a_later_stage_count(self) -> None:
        path = ("address of i-2", "address of i-1")
        records = [
            make_call_record(f"r{number}", at_s)
            for number, at_s in enumerate([1.0, *self.spread(12, 6.0)])
        ]
        limited = make_runner(
            Arrival(1.0, "r0", ""), limit_spans=[LimitSpan(0.5, 20.0, 1.0)]
        )
        first = make_runner(
            *(Arrival(item.started_s, item.request, "", path) for item in records[1:]),
            name="i-2",
        )
        self.assertEqual(len(self.check_records(*records, runners=[limited, first])), 1)

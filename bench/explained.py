"""Report what share of the failed requests in some logs the logs alone explain."""

from __future__ import annotations

import re
import sys
from pathlib import Path

from yuccareach.tracing.explanation import explain
from yuccareach.tracing.log_lines import parse_lines

# Events with which a gateway logs the end of a request. Without a 2xx status, the
# request has failed.
_END_EVENTS = ("request_ended", "request_rejected")
_REPORTED_REQUEST = re.compile(r"^\s+[\d.-]+ s\s+request ([0-9a-f]{16}) ", re.MULTILINE)


def find_failed_requests(text: str) -> list[str]:
    """Return the ids of the requests that logs or a report show as failed.

    A request without an end in the logs has failed as well.
    """
    lines = list(parse_lines(text.splitlines()))
    logged_failures = [
        line.fields["request"]
        for line in lines
        if line.event in _END_EVENTS
        and not line.fields.get("status", "").startswith("2")
    ]
    sent_requests = {
        line.fields["request"] for line in lines if line.event == "stream_sent"
    }
    ended_requests = {
        line.fields["request"] for line in lines if line.event in _END_EVENTS
    }
    reported_failures = _REPORTED_REQUEST.findall(text)
    return list(
        dict.fromkeys(
            [
                *logged_failures,
                *sorted(sent_requests - ended_requests),
                *reported_failures,
            ]
        )
    )


def main() -> None:
    """Print the share of explained failures, and each failure without a known cause."""
    text = "\n".join(Path(path).read_text(errors="replace") for path in sys.argv[1:])
    lines = list(parse_lines(text.splitlines()))
    failed_requests = find_failed_requests(text)
    unexplained = [
        item for item in failed_requests if not explain(item, lines).has_known_cause
    ]
    share = 1 - len(unexplained) / len(failed_requests) if failed_requests else 1.0
    print(f"{len(failed_requests)} failed requests, {share:.1%} explained")
    for request in unexplained:
        print(explain(request, lines).sentence)


if __name__ == "__main__":
    main()

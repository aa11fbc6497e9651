"""Reports how many failed requests of a played day the logs alone explain."""

from __future__ import annotations

import re
import sys
from pathlib import Path

from yuccareach.tracing.explanation import explain
from yuccareach.tracing.log_lines import parse_lines

# Ends of a request, as its gateway logged them, that its caller did not want.
_BAD = ("request_ended", "request_rejected")
_REQUEST = re.compile(r"^\s+[\d.-]+ s\s+request ([0-9a-f]{16}) ", re.MULTILINE)


def failed_requests(text: str) -> list[str]:
    """Return the ids that logs or a report name as not served."""
    lines = list(parse_lines(text.splitlines()))
    logged = [
        line.fields["request"]
        for line in lines
        if line.event in _BAD and not line.fields.get("status", "").startswith("2")
    ]
    sent = {line.fields["request"] for line in lines if line.event == "stream_sent"}
    ended = {line.fields["request"] for line in lines if line.event in _BAD}
    reported = _REQUEST.findall(text)
    return list(dict.fromkeys([*logged, *sorted(sent - ended), *reported]))


def main() -> None:
    """Explain every failed request of some files; list those without a cause."""
    text = "\n".join(Path(path).read_text(errors="replace") for path in sys.argv[1:])
    lines = list(parse_lines(text.splitlines()))
    failed = failed_requests(text)
    unexplained = [item for item in failed if not explain(item, lines).has_known_cause]
    share = 1 - len(unexplained) / len(failed) if failed else 1.0
    print(f"{len(failed)} failed requests, {share:.1%} explained")
    for request in unexplained:
        print(explain(request, lines).sentence)


if __name__ == "__main__":
    main()

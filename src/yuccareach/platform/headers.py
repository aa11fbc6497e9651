"""Requests, answers and orders as the platform spells them."""

from __future__ import annotations

import msgspec

from yuccareach.gateway.dialect import (
    Dialect,
    ForwardMetadata,
    Headers,
    RequestMetadata,
    ResponseMetadata,
    Stage,
)
from yuccareach.platform.orders import ORDER_PATH

REQUEST_ID = b"yuccareach-request-id"
DEADLINE = b"yuccareach-deadline-ms"
# The prompt's tokens and the most that may be generated, not what was used.
TOKEN_BOUNDS = b"yuccareach-token-usage"
LENGTH_HINT = b"yuccareach-length-hint"
LAST_EVENT_ID = b"last-event-id"
SIGNATURE = b"yuccareach-runner-signature"
NOT_EXECUTED = b"yuccareach-not-executed"
RUNNER_LOAD = b"yuccareach-runner-load"
AT_SERVER = b"at-server"
KEY_SCHEME = b"token "

_OWN = frozenset(
    (
        DEADLINE,
        LAST_EVENT_ID,
        b"authorization",
        b"yuccareach-tenant",
        b"yuccareach-target-runner",
        b"yuccareach-hop-count",
        b"yuccareach-request-priority",
        b"yuccareach-expected-version",
    )
)
_ONE_CONNECTION = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


def read_request(headers: Headers) -> RequestMetadata:
    """Decode a caller's headers, whose names are in lower case."""
    value_by_name = dict(headers)
    dropped = _ONE_CONNECTION | _OWN | _named_by_connection(value_by_name)
    prompt, most = _token_bounds(value_by_name.get(TOKEN_BOUNDS))
    hint = _whole_number(value_by_name.get(LENGTH_HINT))
    return RequestMetadata(
        request_id=value_by_name.get(REQUEST_ID, b""),
        deadline_ms=_whole_number(value_by_name.get(DEADLINE)),
        api_key=_api_key(value_by_name.get(b"authorization")),
        prompt_tokens=prompt,
        max_answer_tokens=most,
        expected_answer_tokens=min(hint or most, most),
        last_event_id=_whole_number(value_by_name.get(LAST_EVENT_ID)),
        forwarded_headers=[item for item in headers if item[0] not in dropped],
    )


def _named_by_connection(value_by_name: dict[bytes, bytes]) -> set[bytes]:
    listed = value_by_name.get(b"connection", b"")
    return {name.strip().lower() for name in listed.split(b",")} - {REQUEST_ID}


def _whole_number(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None


def _token_bounds(value: bytes | None) -> tuple[int, int]:
    prompt, _, most = (value or b"").partition(b",")
    return _whole_number(prompt.strip()) or 0, _whole_number(most.strip()) or 0


def _api_key(value: bytes | None) -> str | None:
    if value is None or value[: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return None
    return value[len(KEY_SCHEME) :].strip().decode("latin-1")


def send_headers(facts: ForwardMetadata) -> Headers:
    """Return the headers that we set on a request to a runner."""
    headers = [
        (b"Yuccareach-Deadline-Ms", b"%d" % facts.remaining_ms),
        (b"Yuccareach-Target-Runner", facts.server.encode()),
    ]
    if facts.workspace is not None:
        headers.append((b"Yuccareach-Tenant", facts.workspace.encode()))
    if facts.stages:
        headers.append((b"Yuccareach-Hop-Count", _path(facts.stages).encode()))
    if facts.last_event_id is not None:
        headers.append((b"Last-Event-Id", b"%d" % facts.last_event_id))
    if facts.priority is not None:
        headers.append((b"Yuccareach-Request-Priority", b"%d" % facts.priority))
    return headers


def _path(stages: tuple[Stage, ...]) -> str:
    return ",".join(
        f"{stage.address}={stage.first_layer}-{stage.end_layer}" for stage in stages
    )


def read_answer(status: int, headers: Headers) -> ResponseMetadata:
    """Decode a runner's headers, whose names are in lower case."""
    value_by_name = dict(headers)
    load = value_by_name.get(RUNNER_LOAD, b"").split(b",")
    running, queued, slots = (
        map(_whole_number, (part.strip() for part in load))
        if len(load) == 3
        else (None, None, None)
    )
    at_server = value_by_name.get(AT_SERVER)
    return ResponseMetadata(
        request_id=value_by_name.get(REQUEST_ID),
        is_signed=SIGNATURE in value_by_name,
        has_not_run=NOT_EXECUTED in value_by_name or status == 421,
        faulty_address=at_server.decode("latin-1") if at_server else None,
        running_requests=running,
        queued_requests=queued,
        slots=slots,
    )


def reroute_order(request_id: bytes, stages: tuple[Stage, ...]) -> bytes:
    """Return the body of an order that moves a running request to other stages."""
    return msgspec.json.encode(
        {"op": "repath", "id": request_id.decode("latin-1"), "path": _path(stages)}
    )


def read_stalled(report: bytes) -> dict[bytes, str]:
    """Return, by request id, the address that a report says a request waits for."""
    try:
        decoded = msgspec.json.decode(report)
        return {
            str(item["id"]).encode(): str(item["address"])
            for item in decoded.get("stalled", [])
        }
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError):
        return {}


def read_pace(report: bytes) -> float | None:
    """Return how many times slower than usual a report says that its runner is."""
    try:
        # In a configuration's kinds the same name is the factor of a sound card.
        return float(msgspec.json.decode(report)["pace"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None


def read_order_fault(body: bytes) -> str:
    """Return the address that a refused order names, or an empty string."""
    try:
        return str(msgspec.json.decode(body).get("address", ""))
    except (msgspec.DecodeError, AttributeError):
        return ""


DIALECT = Dialect(
    read_request=read_request,
    encode_headers=send_headers,
    read_response=read_answer,
    encode_reroute_order=reroute_order,
    order_path=ORDER_PATH,
    report_path="/-/report",
    read_stalled_requests=read_stalled,
    read_slowdown=read_pace,
    read_refusal_address=read_order_fault,
)

__all__ = ["DIALECT"]

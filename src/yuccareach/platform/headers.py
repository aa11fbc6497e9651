"""The platform's dialect: its headers, orders to runners and reports of runners."""

from __future__ import annotations

import math
import re

import msgspec

from yuccareach.gateway.dialect import (
    Dialect,
    ForwardMetadata,
    Headers,
    RequestMetadata,
    ResponseMetadata,
    Stage,
)
from yuccareach.health.retry_after import parse_retry_after_s
from yuccareach.platform.orders import ORDER_PATH

REQUEST_ID = b"yuccareach-request-id"
DEADLINE = b"yuccareach-deadline-ms"
# "PROMPT,MAX_ANSWER": the prompt's tokens and the maximum to generate, not what was
# used.
TOKEN_BOUNDS = b"yuccareach-token-usage"
# Expected tokens of the answer.
LENGTH_HINT = b"yuccareach-length-hint"
LAST_EVENT_ID = b"last-event-id"
MODEL = b"yuccareach-model"
# "ID:TOKENS" of each part of the prompt, in order, separated by commas.
PROMPT_PARTS = b"yuccareach-prompt-prefix"
# Present on an answer that the runner itself produced, as callers require of a success.
SIGNATURE = b"yuccareach-runner-signature"
# Present if the request has not run and will not.
NOT_EXECUTED = b"yuccareach-not-executed"
# "RUNNING,QUEUED,SLOTS", each a number of requests.
RUNNER_LOAD = b"yuccareach-runner-load"
# Address of the runner that caused a refusal, if it is another one of the chain.
FAULTY_ADDRESS = b"at-server"
# "1" if the runner is leaving, whatever its heartbeats say.
SERVER_LEAVING = b"server-leaving"
# Seconds, which may have a fraction, for which a refusing runner wants no requests.
RETRY_AFTER = b"retry-after"
REFUSED_STATUS = 503
# Requests a second, a decimal number, that the runner takes from all gateways together.
SERVER_LIMIT = b"server-limit"
# The runner at the address is not the one that the request was meant for.
MISDIRECTED_STATUS = 421
# Numbers of that length fit into 64 bits.
MAX_DIGITS = 18
# Scheme of the Authorization header, in lower case.
KEY_SCHEME = b"token "

_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")

# What decoding a report may raise: it may be no JSON, deeply nested, of another shape
# or have numbers that are too large.
_REPORT_ERRORS = (
    msgspec.DecodeError,
    UnicodeError,
    RecursionError,
    LookupError,
    TypeError,
    AttributeError,
    ValueError,
    OverflowError,
)

# Headers that the gateway consumes, or that only the gateway may set.
_GATEWAY_HEADERS = frozenset(
    (
        DEADLINE,
        LAST_EVENT_ID,
        b"authorization",
        b"yuccareach-tenant",
        b"yuccareach-target-runner",
        # The path through the layers, not a count.
        b"yuccareach-hop-count",
        b"yuccareach-request-priority",
        b"yuccareach-expected-version",
    )
)
# Headers for one connection or for the framing of one message.
_HOP_BY_HOP_HEADERS = frozenset(
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
    """Decode a caller's headers, whose names are in lower case.

    Numbers that are malformed count as missing.
    """
    value_by_name = dict(headers)
    dropped_names = (
        _HOP_BY_HOP_HEADERS | _GATEWAY_HEADERS | _read_connection_options(value_by_name)
    )
    prompt_tokens, max_tokens = _parse_token_bounds(value_by_name.get(TOKEN_BOUNDS))
    expected_tokens = _parse_number(value_by_name.get(LENGTH_HINT))
    return RequestMetadata(
        request_id=value_by_name.get(REQUEST_ID, b""),
        deadline_ms=_parse_number(value_by_name.get(DEADLINE)),
        api_key=_parse_api_key(value_by_name.get(b"authorization")),
        prompt_tokens=prompt_tokens,
        max_answer_tokens=max_tokens,
        expected_answer_tokens=min(expected_tokens or max_tokens, max_tokens),
        last_event_id=_parse_number(value_by_name.get(LAST_EVENT_ID)),
        model=value_by_name.get(MODEL, b"").decode("latin-1"),
        prompt_parts=_parse_prompt_parts(value_by_name.get(PROMPT_PARTS, b"")),
        forwarded_headers=[item for item in headers if item[0] not in dropped_names],
    )


def _read_connection_options(value_by_name: dict[bytes, bytes]) -> set[bytes]:
    """Return the headers that the Connection header lists as hop-by-hop.

    The request id is left out, so that it is forwarded even if it is listed.
    """
    options = value_by_name.get(b"connection", b"")
    return {name.strip().lower() for name in options.split(b",")} - {REQUEST_ID}


def _parse_number(value: bytes | None) -> int | None:
    """Return a number of at most MAX_DIGITS digits, or None for anything else."""
    is_number = value is not None and value.isdigit() and len(value) <= MAX_DIGITS
    return int(value) if value is not None and is_number else None


def _parse_token_bounds(value: bytes | None) -> tuple[int, int]:
    """Return the prompt's tokens and the maximum to generate, 0 where missing."""
    prompt, _, maximum = (value or b"").partition(b",")
    return _parse_number(prompt.strip()) or 0, _parse_number(maximum.strip()) or 0


def _parse_prompt_parts(value: bytes) -> tuple[bytes, ...]:
    entries = (entry.partition(b":")[0].strip() for entry in value.split(b","))
    return tuple(part for part in entries if part)


def _parse_api_key(value: bytes | None) -> str | None:
    if value is None or value[: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return None
    return value[len(KEY_SCHEME) :].strip().decode("latin-1")


def encode_headers(metadata: ForwardMetadata) -> Headers:
    """Return the headers that the gateway adds to a request to a runner."""
    headers = [
        (b"Yuccareach-Deadline-Ms", b"%d" % metadata.remaining_ms),
        (b"Yuccareach-Target-Runner", metadata.server.encode()),
    ]
    if metadata.workspace is not None:
        headers.append((b"Yuccareach-Tenant", metadata.workspace.encode()))
    if metadata.stages:
        headers.append(
            (b"Yuccareach-Hop-Count", _format_path(metadata.stages).encode())
        )
    if metadata.last_event_id is not None:
        headers.append((b"Last-Event-Id", b"%d" % metadata.last_event_id))
    if metadata.priority is not None:
        headers.append((b"Yuccareach-Request-Priority", b"%d" % metadata.priority))
    return headers


def _format_path(stages: tuple[Stage, ...]) -> str:
    """Return "ADDRESS=FIRST-END" of each stage, separated by commas."""
    return ",".join(
        f"{stage.address}={stage.first_layer}-{stage.end_layer}" for stage in stages
    )


def read_response(status: int, headers: Headers) -> ResponseMetadata:
    """Decode the headers of a runner's answer, whose names are in lower case."""
    value_by_name = dict(headers)
    load = value_by_name.get(RUNNER_LOAD, b"").split(b",")
    running, queued, slots = (
        map(_parse_number, (part.strip() for part in load))
        if len(load) == 3
        else (None, None, None)
    )
    faulty_address = value_by_name.get(FAULTY_ADDRESS)
    retry_after_s, malformed = _parse_retry_after(status, headers)
    is_signed = SIGNATURE in value_by_name
    is_from_target = status != MISDIRECTED_STATUS
    limit_per_s, malformed_limit = (
        _parse_limit(headers) if is_from_target else (None, None)
    )
    return ResponseMetadata(
        request_id=value_by_name.get(REQUEST_ID),
        is_signed=is_signed,
        has_not_run=NOT_EXECUTED in value_by_name or not is_from_target,
        faulty_address=faulty_address.decode("latin-1") if faulty_address else None,
        running_requests=running,
        queued_requests=queued,
        slots=slots,
        is_leaving=any(
            name == SERVER_LEAVING and value.strip() == b"1" for name, value in headers
        ),
        retry_after_s=retry_after_s,
        malformed_retry_after=malformed,
        limit_per_s=limit_per_s,
        malformed_limit=malformed_limit,
        is_statement=is_from_target and (is_signed or NOT_EXECUTED in value_by_name),
    )


def _parse_limit(headers: Headers) -> tuple[float | None, str | None]:
    """Return the request limit that an answer states, and a value that is none.

    Several values are none, since they do not tell which one holds.
    """
    values = [value.strip() for name, value in headers if name == SERVER_LIMIT]
    if not values:
        return None, None
    if len(values) == 1 and _DECIMAL_NUMBER.fullmatch(values[0]):
        return float(values[0]), None
    return None, b", ".join(values).decode("latin-1")


def _parse_retry_after(
    status: int, headers: Headers
) -> tuple[float | None, str | None]:
    """Return the longest time that a refusal states, and a value that is no time.

    The platform states times in seconds only, not as dates.
    """
    if status != REFUSED_STATUS:
        return None, None
    values = [value.decode("latin-1") for name, value in headers if name == RETRY_AFTER]
    times_s = [parse_retry_after_s(value) for value in values]
    return (
        max((time_s for time_s in times_s if time_s is not None), default=None),
        next((value for value in values if parse_retry_after_s(value) is None), None),
    )


def encode_reroute_order(request_id: bytes, stages: tuple[Stage, ...]) -> bytes:
    """Return the body of an order that moves a running request to other stages."""
    return msgspec.json.encode(
        {
            "op": "repath",
            "id": request_id.decode("latin-1"),
            "path": _format_path(stages),
        }
    )


def read_stalled_requests(report: bytes) -> dict[bytes, str]:
    """Return the address that each stalled request waits for, by request id.

    A malformed report counts as one without stalled requests.
    """
    try:
        decoded = msgspec.json.decode(report)
        return {
            str(item["id"]).encode(): str(item["address"])
            for item in decoded.get("stalled", [])
        }
    except _REPORT_ERRORS:
        return {}


def read_slowdown(report: bytes) -> float | None:
    """Return the slowdown in a runner's report: a multiple of its typical times.

    Return None if the report is malformed or does not contain it.
    """
    try:
        # In `kinds` of the routing document, `pace` is the decode factor of an
        # accelerator that works normally.
        slowdown = float(msgspec.json.decode(report)["pace"])
    except _REPORT_ERRORS:
        return None
    return slowdown if 0 < slowdown < math.inf else None


def read_faulty_address(body: bytes) -> str:
    """Return the address that the answer to a refused order names as the cause.

    Return an empty string if the answer names none or is malformed.
    """
    try:
        return str(msgspec.json.decode(body).get("address", ""))
    except _REPORT_ERRORS:
        return ""


DIALECT = Dialect(
    read_request=read_request,
    encode_headers=encode_headers,
    read_response=read_response,
    encode_reroute_order=encode_reroute_order,
    order_path=ORDER_PATH,
    report_path="/-/report",
    read_stalled_requests=read_stalled_requests,
    read_slowdown=read_slowdown,
    read_faulty_address=read_faulty_address,
)

__all__ = ["DIALECT"]

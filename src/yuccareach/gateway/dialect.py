"""What the gateway needs to know of a wire, as functions that an adapter provides."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class RequestMetadata(NamedTuple):
    """What a caller's headers say of a request."""

    request_id: bytes
    deadline_ms: int | None
    api_key: str | None
    # 0 where the request does not generate tokens.
    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int
    # Id of the last event that the caller has; None at the start of a stream.
    last_event_id: int | None
    # Headers to pass on, without those that concern one connection or that we set.
    forwarded_headers: Headers


class Stage(NamedTuple):
    """A backend server's part of a chain: layers from first up to end."""

    server: str
    address: str
    first_layer: int
    end_layer: int


class ForwardMetadata(NamedTuple):
    """What we tell a backend server beside the caller's headers."""

    remaining_ms: int
    server: str
    workspace: str | None
    stages: tuple[Stage, ...]
    last_event_id: int | None
    priority: int | None


class ResponseMetadata(NamedTuple):
    """What a backend server's headers say of its answer."""

    request_id: bytes | None
    # The answer is a backend server's own, which callers require of a success.
    is_signed: bool
    # The backend server states that the request has not run and will not.
    has_not_run: bool
    # The backend server that is at fault, where another of the chain is.
    faulty_address: str | None
    # Requests running and queued there.
    running_requests: int | None
    queued_requests: int | None
    slots: int | None


class Dialect(NamedTuple):
    """How requests and answers are spelled on one wire."""

    read_request: Callable[[Headers], RequestMetadata]
    encode_headers: Callable[[ForwardMetadata], Headers]
    read_response: Callable[[int, Headers], ResponseMetadata]
    # Body of an order to carry a request on over other stages.
    encode_reroute_order: Callable[[bytes, tuple[Stage, ...]], bytes]
    order_path: str
    report_path: str
    # Addresses that a backend server's report names as the cause of a stalled request.
    read_stalled_requests: Callable[[bytes], dict[bytes, str]]
    # The multiple of its usual times that a backend server reports, if it does.
    read_slowdown: Callable[[bytes], float | None]
    # The address that a refused order names as the cause, or an empty string.
    read_refusal_address: Callable[[bytes], str]


__all__ = [
    "ResponseMetadata",
    "Dialect",
    "Headers",
    "RequestMetadata",
    "ForwardMetadata",
    "Stage",
]

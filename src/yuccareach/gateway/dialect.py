"""Interface to the encoding of one platform's wire, which an adapter implements."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class RequestMetadata(NamedTuple):
    """Metadata of a request, from the caller's headers."""

    request_id: bytes
    deadline_ms: int | None
    api_key: str | None
    # 0 if the request generates no tokens.
    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int
    # Id of the last event that the caller has; None at the start of a stream.
    last_event_id: int | None
    # Name of the model that the request asks for; empty if it states none.
    model: str
    # Ids of the parts of the prompt, in order. Requests share parts, except the last.
    prompt_parts: tuple[bytes, ...]
    # Headers to forward, without those that concern only the caller's connection and
    # those that the gateway sets.
    forwarded_headers: Headers


class Stage(NamedTuple):
    """A backend server's part of a chain: layers first_layer to end_layer - 1."""

    server: str
    address: str
    first_layer: int
    end_layer: int


class ForwardMetadata(NamedTuple):
    """What the gateway sends to a backend server beside the forwarded headers."""

    remaining_ms: int
    server: str
    workspace: str | None
    stages: tuple[Stage, ...]
    last_event_id: int | None
    priority: int | None


class ResponseMetadata(NamedTuple):
    """Metadata of a response, from the backend server's headers."""

    request_id: bytes | None
    # Whether the headers show that a backend server produced the response. Callers
    # accept a success only with this signature.
    is_signed: bool
    # Whether the backend server states that the request did not run and will not.
    has_not_run: bool
    # Address of the backend server that caused a failure, if it is another server of
    # the chain.
    faulty_address: str | None
    # Load of the backend server, if stated.
    running_requests: int | None
    queued_requests: int | None
    slots: int | None
    # Whether the backend server states that it is leaving.
    is_leaving: bool = False
    # For how many seconds the backend server, which refused, wants no requests.
    retry_after_s: float | None = None
    # A value of that time that cannot be read, and is ignored.
    malformed_retry_after: str | None = None
    # Requests a second that the backend server takes from all gateways together.
    limit_per_s: float | None = None
    # A value of that limit that cannot be read, and is ignored.
    malformed_limit: str | None = None
    # Whether the backend server itself answered a request, so that a limit that the
    # answer does not state is over.
    is_statement: bool = False


class Dialect(NamedTuple):
    """How requests and responses are encoded on one platform's wire."""

    read_request: Callable[[Headers], RequestMetadata]
    encode_headers: Callable[[ForwardMetadata], Headers]
    read_response: Callable[[int, Headers], ResponseMetadata]
    # Body of an order to continue a running request, given by its id, on other stages.
    encode_reroute_order: Callable[[bytes, tuple[Stage, ...]], bytes]
    order_path: str
    report_path: str
    # By request id, the address that a backend server's report names as the cause of a
    # stall.
    read_stalled_requests: Callable[[bytes], dict[bytes, str]]
    # The slowdown that a backend server reports, as a multiple of its typical times.
    read_slowdown: Callable[[bytes], float | None]
    # The address that the response to a refused order names as the cause, or "".
    read_faulty_address: Callable[[bytes], str]


__all__ = [
    "Dialect",
    "ForwardMetadata",
    "Headers",
    "RequestMetadata",
    "ResponseMetadata",
    "Stage",
]

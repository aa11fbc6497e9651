"""Events that the entry's reducer receives, and effects that it returns.

The field request is the identifier of a model request or of a call to a plain service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.outcome import Outcome

if TYPE_CHECKING:
    from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
    from yuccareach.quarantine.table import CountChange
    from yuccareach.settings.store import PlainService, Workspace


class CompletionRequested(NamedTuple):
    """A caller requested a completion from a model."""

    request: str
    workspace: Workspace
    pipeline: str
    prompt: str
    max_tokens: int | None


class CallRequested(NamedTuple):
    """A caller requested a call to a plain service.

    has_caller_key says whether the idempotency key came from the caller; otherwise the
    entry has generated one.
    """

    request: str
    workspace: Workspace
    service: PlainService
    message: pb.Call
    idempotent: bool
    has_caller_key: bool


class CallerDisconnected(NamedTuple):
    """The connection to the caller has closed.

    It is also dispatched at the end of each stream, where it has no effect if the
    request has ended.
    """

    request: str


class PermitAnswered(NamedTuple):
    """Control answered a permit command; answer is None if control was unavailable."""

    request: str
    answer: cpb.PermitAnswer | None


class DrainRequested(NamedTuple):
    """The process is shutting down and must refuse new requests."""


class Refusal(NamedTuple):
    """An error for the caller: HTTP status, code, message and outcome of the call."""

    status: int
    reason: str
    text: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: int | None = None


class DeliverToken(NamedTuple):
    """An effect: deliver one token to the caller."""

    request: str
    token_index: int
    text: str


class FinishAnswer(NamedTuple):
    """An effect: complete the answer to the caller."""

    request: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int


class Refuse(NamedTuple):
    """An effect: return an error to the caller, in place of an answer or its rest."""

    request: str
    refusal: Refusal


class ReturnReply(NamedTuple):
    """An effect: return a plain service's reply to the caller."""

    request: str
    reply: pb.Reply


class AcquirePermit(NamedTuple):
    """An effect: submit a permit command to control and dispatch the answer."""

    request: str
    acquire: cpb.PermitAcquire


class FinishPermit(NamedTuple):
    """An effect: report the reply of a call with a permit to control."""

    command: cpb.Command


class ReportLosses(NamedTuple):
    """An effect: report changed counts of lost backend servers to control."""

    changes: list[CountChange]


class ObserveDuration(NamedTuple):
    """An effect: record a duration in a metric, by workspace and request class."""

    metric: str
    workspace: str
    class_name: str
    duration_ms: int


class IncrementCounter(NamedTuple):
    """An effect: increment a counter, by reason."""

    metric: str
    reason: str


__all__ = [
    "AcquirePermit",
    "CallRequested",
    "CallerDisconnected",
    "CompletionRequested",
    "DeliverToken",
    "DrainRequested",
    "FinishAnswer",
    "FinishPermit",
    "IncrementCounter",
    "ObserveDuration",
    "PermitAnswered",
    "Refusal",
    "Refuse",
    "ReportLosses",
    "ReturnReply",
]

"""Events and effects of the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.outcome import Outcome

if TYPE_CHECKING:
    from yuccareach.proto import control_pb2 as cpb, data_pb2 as pb
    from yuccareach.settings.store import PlainService, Workspace


class CompletionAsked(NamedTuple):
    """A caller asked for a model's answer."""

    request: str
    workspace: Workspace
    pipeline: str
    prompt: str
    max_tokens: int | None


class CallAsked(NamedTuple):
    """A caller asked for a call to a plain service."""

    request: str
    workspace: Workspace
    service: PlainService
    message: pb.Call
    idempotent: bool
    key_given: bool


class CallerLeft(NamedTuple):
    """The caller's connection has closed before the answer was whole."""

    request: str


class PermitAnswered(NamedTuple):
    """Control answered for a permit; answer is None when it could not."""

    request: str
    answer: cpb.PermitAnswer | None


class DrainAsked(NamedTuple):
    """The process was told to leave."""


class Refusal(NamedTuple):
    """Why a caller gets no answer, and whether anything ran."""

    status: int
    reason: str
    text: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: int | None = None


class Deliver(NamedTuple):
    """An effect: give the caller one token."""

    request: str
    token_index: int
    text: str


class Finish(NamedTuple):
    """An effect: tell the caller that the answer is whole."""

    request: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int


class Refuse(NamedTuple):
    """An effect: tell the caller that there is no answer, or no more of it."""

    request: str
    refusal: Refusal


class ReturnReply(NamedTuple):
    """An effect: give the caller a plain service's reply."""

    request: str
    reply: pb.Reply


class AcquirePermit(NamedTuple):
    """An effect: ask control for a permit."""

    request: str
    acquire: cpb.PermitAcquire


class SettlePermit(NamedTuple):
    """An effect: tell control how a permitted call ended."""

    command: cpb.Command


class ReportLoss(NamedTuple):
    """An effect: tell control that a backend server was lost under a fingerprint."""

    report: cpb.Quarantine


class Observe(NamedTuple):
    """An effect: record a duration for a workspace and its class."""

    metric: str
    workspace: str
    class_name: str
    duration_ms: int


class Count(NamedTuple):
    """An effect: count an event."""

    metric: str
    reason: str


__all__ = [
    "AcquirePermit",
    "CallAsked",
    "CallerLeft",
    "CompletionAsked",
    "Count",
    "Deliver",
    "DrainAsked",
    "Finish",
    "Observe",
    "PermitAnswered",
    "Refusal",
    "Refuse",
    "ReportLoss",
    "ReturnReply",
    "SettlePermit",
]

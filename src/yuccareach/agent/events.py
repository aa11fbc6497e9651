"""Events that the agent's reducer handles, and effects that it returns."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from yuccareach.proto import control_pb2, data_pb2, engine_pb2


class EngineReady(NamedTuple):
    """The engine answered the Info call with its model, layers and capacity."""

    info: engine_pb2.InfoReply


class EngineLost(NamedTuple):
    """The stream to the engine ended; the state of every sequence is lost."""


class EngineLoadReported(NamedTuple):
    """The engine published its load and the changes of its cache."""

    report: engine_pb2.EngineEvent


class StepDone(NamedTuple):
    """The engine finished a step, or failed it."""

    result: engine_pb2.StepResult


class ServiceReplied(NamedTuple):
    """The plain service answered, or the call to it failed."""

    call: str
    reply: data_pb2.Reply


class DrainRequested(NamedTuple):
    """The process received a request to drain, by a signal or over HTTP."""


class RunStep(NamedTuple):
    """An effect: queue a step for the engine."""

    step: engine_pb2.Step


class CallService(NamedTuple):
    """An effect: call the plain service."""

    call: str
    message: data_pb2.Call


class Announce(NamedTuple):
    """An effect: send a heartbeat to control."""

    member: control_pb2.Member


class ReportDrained(NamedTuple):
    """An effect: report that no work is left, so that the process may stop."""


__all__ = [
    "Announce",
    "CallService",
    "DrainRequested",
    "EngineLoadReported",
    "EngineLost",
    "EngineReady",
    "ReportDrained",
    "RunStep",
    "ServiceReplied",
    "StepDone",
]

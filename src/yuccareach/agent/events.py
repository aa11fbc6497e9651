"""Events and effects of the agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from yuccareach.proto import control_pb2, data_pb2, engine_pb2


class EngineReady(NamedTuple):
    """The engine answered what it holds."""

    info: engine_pb2.InfoReply


class EngineLost(NamedTuple):
    """The stream to the engine ended; the state of every sequence is gone."""


class EngineReported(NamedTuple):
    """The engine published its load and cache changes."""

    report: engine_pb2.EngineEvent


class StepDone(NamedTuple):
    """The engine ran a step."""

    result: engine_pb2.StepResult


class ServiceReplied(NamedTuple):
    """The plain service answered, or the call to it failed."""

    call: str
    reply: data_pb2.Reply


class DrainRequested(NamedTuple):
    """The process was told to leave."""


class RunStep(NamedTuple):
    """An effect: give the engine a step."""

    step: engine_pb2.Step


class CallService(NamedTuple):
    """An effect: call the plain service."""

    call: str
    message: data_pb2.Call


class Announce(NamedTuple):
    """An effect: send a heartbeat to control."""

    member: control_pb2.Member


class Leave(NamedTuple):
    """An effect: all work has ended and the process may stop."""


__all__ = [
    "Announce",
    "CallService",
    "DrainRequested",
    "EngineLost",
    "EngineReady",
    "EngineReported",
    "Leave",
    "RunStep",
    "ServiceReplied",
    "StepDone",
]

"""Errors of the agent."""

from __future__ import annotations

from yuccareach.errors import YuccareachError


class AgentError(YuccareachError):
    """Base of the errors of this layer."""


class EngineUnavailable(AgentError):
    """The engine beside this agent cannot be reached."""


__all__ = ["AgentError", "EngineUnavailable"]

"""Limits of each workspace: charged at the start, settled exactly once."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccareach.entry.events import Refusal
from yuccareach.entry.state import Usage

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState
    from yuccareach.settings.store import Workspace

BURST_S = 2.0
BYTES_PER_TOKEN = 4


def estimate_charge(prompt: str, max_tokens: int) -> int:
    """Return the tokens to charge before the true number is known."""
    return len(prompt.encode()) // BYTES_PER_TOKEN + 1 + max_tokens


def charge(
    state: EntryState, workspace: Workspace, tokens: int, now: int
) -> Refusal | None:
    """Charge a request to its workspace, or return why it must wait."""
    limits = workspace.limits
    rate = limits.tokens_per_second / state.entries
    usage = _usage(state, workspace.name, rate, now)
    if usage.requests >= max(1, limits.requests_in_flight // state.entries):
        return _limited("requests_in_flight", 1)
    if usage.tokens and usage.tokens + tokens > limits.tokens_in_flight / state.entries:
        return _limited("tokens_in_flight", 1)
    if usage.allowance <= 0:
        return _limited("tokens_per_second", math.ceil(1 - usage.allowance / rate))
    usage.requests += 1
    usage.tokens += tokens
    usage.allowance -= tokens
    return None


def settle(state: EntryState, workspace: Workspace, tokens: int, used: int) -> None:
    """Give back what a request charged and did not use."""
    usage = state.usage_by_workspace[workspace.name]
    usage.requests -= 1
    usage.tokens -= tokens
    usage.allowance += tokens - used


def _usage(state: EntryState, name: str, rate: float, now: int) -> Usage:
    """Return a workspace's usage with its allowance filled up to now."""
    usage = state.usage_by_workspace.get(name)
    if usage is None:
        usage = state.usage_by_workspace[name] = Usage(rate * BURST_S, now)
    elapsed_s = (now - usage.refilled_ms) / 1000
    usage.allowance = min(rate * BURST_S, usage.allowance + rate * elapsed_s)
    usage.refilled_ms = now
    return usage


def _limited(limit: str, retry_after_s: int) -> Refusal:
    text = f"the workspace has reached its limit of {limit}"
    return Refusal(429, f"limit_{limit}", text, retry_after_s=retry_after_s)


__all__ = ["charge", "estimate_charge", "settle"]

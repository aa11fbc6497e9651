"""Limits of each workspace: charged at the start, settled exactly once."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccareach.entry.events import Refusal
from yuccareach.entry.state import Usage

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState
    from yuccareach.settings.sets import Workspace

MAX_BURST_S = 2.0
ESTIMATED_BYTES_PER_TOKEN = 4


def estimate_charge(prompt: str, max_tokens: int) -> int:
    """Return the tokens to charge before the true number is known."""
    return len(prompt.encode()) // ESTIMATED_BYTES_PER_TOKEN + 1 + max_tokens


def charge(
    state: EntryState, workspace: Workspace, tokens: int, now: int
) -> Refusal | None:
    """Charge a request to its workspace, or return why it must wait."""
    limits = workspace.limits
    rate = limits.tokens_per_second / state.entry_count
    usage = _usage(state, workspace.name, rate, now)
    if usage.requests_in_flight >= max(
        1, limits.requests_in_flight // state.entry_count
    ):
        return _limited("requests_in_flight", 1)
    if (
        usage.tokens_in_flight
        and usage.tokens_in_flight + tokens
        > limits.tokens_in_flight / state.entry_count
    ):
        return _limited("tokens_in_flight", 1)
    if usage.bucket_tokens <= 0:
        return _limited("tokens_per_second", math.ceil(1 - usage.bucket_tokens / rate))
    usage.requests_in_flight += 1
    usage.tokens_in_flight += tokens
    usage.bucket_tokens -= tokens
    return None


def settle(state: EntryState, workspace: Workspace, tokens: int, used: int) -> None:
    """Give back what a request charged and did not use."""
    usage = state.usage_by_workspace[workspace.name]
    usage.requests_in_flight -= 1
    usage.tokens_in_flight -= tokens
    usage.bucket_tokens += tokens - used


def _usage(state: EntryState, name: str, rate: float, now: int) -> Usage:
    """Return a workspace's usage with its allowance filled up to now."""
    usage = state.usage_by_workspace.get(name)
    if usage is None:
        usage = state.usage_by_workspace[name] = Usage(rate * MAX_BURST_S, now)
    elapsed_s = (now - usage.last_refill_ms) / 1000
    usage.bucket_tokens = min(
        rate * MAX_BURST_S, usage.bucket_tokens + rate * elapsed_s
    )
    usage.last_refill_ms = now
    return usage


def _limited(limit: str, retry_after_s: int) -> Refusal:
    text = f"the workspace has reached its limit of {limit}"
    return Refusal(429, f"limit_{limit}", text, retry_after_s=retry_after_s)


__all__ = ["charge", "estimate_charge", "settle"]

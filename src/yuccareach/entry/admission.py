"""Limits of each workspace on requests, tokens in flight and tokens per second.

A request is charged an estimate when it is admitted. Exactly one release, when it ends,
corrects the charge to the tokens used. Each entry applies an equal part of the limits.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccareach.entry.events import Refusal
from yuccareach.entry.state import Usage

if TYPE_CHECKING:
    from yuccareach.entry.state import EntryState
    from yuccareach.settings.store import Workspace

# Capacity of the token bucket, in seconds at the workspace's rate.
MAX_BURST_S = 2.0
ESTIMATED_BYTES_PER_TOKEN = 4


def estimate_charge(prompt: str, max_tokens: int) -> int:
    """Return the tokens to charge a request for prompt and answer before it runs."""
    return len(prompt.encode()) // ESTIMATED_BYTES_PER_TOKEN + 1 + max_tokens


def charge(
    state: EntryState, workspace: Workspace, tokens: int, now: int
) -> Refusal | None:
    """Charge a request to its workspace, or return a refusal if a limit is reached.

    A request above the limit of tokens in flight is admitted if it is the only one. The
    token bucket may become negative, so that a large request delays those after it.
    """
    limits = workspace.limits
    rate = limits.tokens_per_second / state.entry_count
    usage = _get_refilled_usage(state, workspace.name, rate, now)
    if usage.requests_in_flight >= max(
        1, limits.requests_in_flight // state.entry_count
    ):
        return _build_refusal("requests_in_flight", 1)
    if (
        usage.tokens_in_flight
        and usage.tokens_in_flight + tokens
        > limits.tokens_in_flight / state.entry_count
    ):
        return _build_refusal("tokens_in_flight", 1)
    if usage.bucket_tokens <= 0:
        return _build_refusal(
            "tokens_per_second", math.ceil(1 - usage.bucket_tokens / rate)
        )
    usage.requests_in_flight += 1
    usage.tokens_in_flight += tokens
    usage.bucket_tokens -= tokens
    return None


def release(
    state: EntryState, workspace: Workspace, tokens: int, used_tokens: int
) -> None:
    """End a request's charge and return the tokens that it did not use."""
    usage = state.usage_by_workspace[workspace.name]
    usage.requests_in_flight -= 1
    usage.tokens_in_flight -= tokens
    usage.bucket_tokens += tokens - used_tokens


def _get_refilled_usage(state: EntryState, name: str, rate: float, now: int) -> Usage:
    """Return a workspace's usage, with its token bucket refilled up to now."""
    usage = state.usage_by_workspace.get(name)
    if usage is None:
        usage = state.usage_by_workspace[name] = Usage(rate * MAX_BURST_S, now)
    elapsed_s = (now - usage.last_refill_ms) / 1000
    usage.bucket_tokens = min(
        rate * MAX_BURST_S, usage.bucket_tokens + rate * elapsed_s
    )
    usage.last_refill_ms = now
    return usage


def _build_refusal(limit: str, retry_after_s: int) -> Refusal:
    text = f"the workspace has reached its limit {limit!r}"
    return Refusal(429, f"limit_{limit}", text, retry_after_s=retry_after_s)


__all__ = ["charge", "estimate_charge", "release"]

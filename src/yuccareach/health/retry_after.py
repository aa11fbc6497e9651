"""Decoding of how long a server that refuses wants no requests."""

from __future__ import annotations

import re

_SECONDS = re.compile(r"\d+(\.\d+)?", re.ASCII)


def parse_retry_after_s(value: str) -> float | None:
    """Return the seconds that a Retry-After states, which may have a fraction.

    Return None for a date or any other value.
    """
    text = value.strip()
    return float(text) if _SECONDS.fullmatch(text) else None


__all__ = ["parse_retry_after_s"]

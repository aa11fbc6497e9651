"""Identifying requests that are sent again, so that harmful ones can be refused."""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 16
# Hexadecimal digits of a fingerprint in log lines.
LOGGED_DIGITS = 8


def compute_fingerprint(key: str, *parts: bytes) -> bytes:
    """Return a hash that is the same when a request is sent again.

    With a key, the parts cannot be guessed from the fingerprint alone.
    """
    digest = hashlib.blake2b(key=key.encode()[:64], digest_size=FINGERPRINT_BYTES)
    for number, part in enumerate(parts):
        digest.update(b"\0" if number else b"")
        digest.update(part)
    return digest.digest()


def format_fingerprint(fingerprint: bytes) -> str:
    """Return a fingerprint as log lines give it."""
    return fingerprint.hex()[:LOGGED_DIGITS]


__all__ = ["compute_fingerprint", "format_fingerprint"]

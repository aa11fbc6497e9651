"""Identifying requests that are sent again, so that harmful ones can be refused."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

FINGERPRINT_BYTES = 16
# Hexadecimal digits of a fingerprint in log lines.
LOGGED_DIGITS = 8
# Parts of one prompt that get a fingerprint, the first ones.
MAX_PARTS = 32


def compute_fingerprint(key: str, *parts: bytes) -> bytes:
    """Return a hash that is the same when a request is sent again.

    With a key, the parts cannot be guessed from the fingerprint alone.
    """
    digest = hashlib.blake2b(key=key.encode()[:64], digest_size=FINGERPRINT_BYTES)
    for number, part in enumerate(parts):
        digest.update(b"\0" if number else b"")
        digest.update(part)
    return digest.digest()


def compute_part_fingerprints(
    model: str, part_ids: Sequence[bytes]
) -> tuple[bytes, ...]:
    """Return a hash of each prompt part but the last, whoever sends it.

    The last part is the request's own, and covered by the request's fingerprint.
    """
    shared_ids = dict.fromkeys(part_ids[:-1][:MAX_PARTS])
    return tuple(
        compute_fingerprint("", b"part", model.encode(), part_id)
        for part_id in shared_ids
    )


def format_fingerprint(fingerprint: bytes) -> str:
    """Return a fingerprint as log lines give it."""
    return fingerprint.hex()[:LOGGED_DIGITS]


def format_fingerprints(fingerprints: Iterable[bytes]) -> str:
    """Return several fingerprints as log lines give them, in order."""
    return ",".join(map(format_fingerprint, fingerprints))


__all__ = [
    "MAX_PARTS",
    "compute_fingerprint",
    "compute_part_fingerprints",
    "format_fingerprint",
    "format_fingerprints",
]

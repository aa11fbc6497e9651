"""Requests that bring down the backend servers that run them.

Every loss of a backend server counts against the requests that it was running, under a
keyed fingerprint that a resend shares. After one loss, requests that ran together are
spread over different backend servers. After two, a request runs alone, so that innocent
ones are answered and the culprit is caught by the third loss, which quarantines it.
Counts are shared among entries through control. An engine that its agent reports lost
counts at once. A link that breaks counts only when the backend server behind it turns
out to be gone.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING, Any, NamedTuple

from yuccareach.entry.events import Refusal, ReportLoss
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.entry.state import EntryState, Request
    from yuccareach.settings.store import Workspace

LOSSES_TO_RUN_ALONE = 2
LOSSES_TO_QUARANTINE = 3
QUARANTINE_MS = 600_000
FINGERPRINTS_KEPT = 20_000
FINGERPRINT_BYTES = 16
PENDING_MS = 15_000


class Losses(NamedTuple):
    """Backend servers lost under one fingerprint, kept until a steady time."""

    number: int
    expires_ms: int


class PendingLoss(NamedTuple):
    """A loss that counts once the backend server is known to be gone."""

    fingerprint: bytes
    workspace: str
    expires_ms: int


class Loss(NamedTuple):
    """What an attempt lost: why, which incarnation, and whether that had taken it."""

    reason: str
    incarnation: str
    accepted: bool


def fingerprint(workspace: Workspace, pipeline: str, prompt: str) -> bytes:
    """Return what a request and its resend share; without the key it tells nothing."""
    key = workspace.key_sha256[0] if workspace.key_sha256 else ""
    content = "\0".join((workspace.name, pipeline, prompt)).encode()
    return hashlib.blake2b(
        content, key=key.encode()[:64], digest_size=FINGERPRINT_BYTES
    ).digest()


def losses(state: EntryState, key: bytes, now: int) -> int:
    """Return how many backend servers were lost under a fingerprint lately."""
    known = state.losses_by_fingerprint.get(key)
    return known.number if known is not None and known.expires_ms > now else 0


def refusal(state: EntryState, key: bytes, now: int) -> Refusal | None:
    """Return why a quarantined request is refused, or None."""
    if losses(state, key, now) < LOSSES_TO_QUARANTINE:
        return None
    left_ms = state.losses_by_fingerprint[key].expires_ms - now
    text = "backend servers were lost while they ran this request before"
    return Refusal(
        503, "quarantined", text, retry_after_s=max(1, math.ceil(left_ms / 1000))
    )


def note_loss(state: EntryState, request: Request, loss: Loss, now: int) -> list[Any]:
    """Count a loss against a request, or keep it until the loss is certain."""
    if loss.reason == "engine_lost":
        return _count(state, request.fingerprint, request.workspace.name, now)
    if loss.accepted:
        pending = state.pending_losses.setdefault(loss.incarnation, [])
        pending.append(
            PendingLoss(request.fingerprint, request.workspace.name, now + PENDING_MS)
        )
    return []


def settle_pending(state: EntryState, now: int) -> list[Any]:
    """Count the losses of backend servers that are gone; forget the others in time."""
    present = {server.member.incarnation for server in state.server_by_name.values()}
    effects: list[Any] = []
    for incarnation, pending in list(state.pending_losses.items()):
        if incarnation not in present:
            del state.pending_losses[incarnation]
            for item in pending:
                effects += _count(state, item.fingerprint, item.workspace, now)
        elif pending[-1].expires_ms <= now:
            del state.pending_losses[incarnation]
    return effects


def _count(state: EntryState, key: bytes, workspace: str, now: int) -> list[Any]:
    number = losses(state, key, now) + 1
    _keep(state, key, Losses(number, now + QUARANTINE_MS))
    report = cpb.Quarantine(fingerprint=key, duration_ms=QUARANTINE_MS)
    fields = {"workspace": workspace, "losses": number, "fingerprint": key.hex()[:8]}
    return [ReportLoss(report), Log("loss_noted", fields)]


def learn(
    state: EntryState, records: Iterable[cpb.QuarantineRecord], now: int
) -> list[Any]:
    """Take over what all entries together have counted."""
    for record in records:
        count = max(record.losses, losses(state, record.fingerprint, now))
        _keep(state, record.fingerprint, Losses(count, now + QUARANTINE_MS))
    return []


def _keep(state: EntryState, key: bytes, found: Losses) -> None:
    state.losses_by_fingerprint.pop(key, None)
    state.losses_by_fingerprint[key] = found
    while len(state.losses_by_fingerprint) > FINGERPRINTS_KEPT:
        del state.losses_by_fingerprint[next(iter(state.losses_by_fingerprint))]


__all__ = [
    "LOSSES_TO_QUARANTINE",
    "LOSSES_TO_RUN_ALONE",
    "Loss",
    "Losses",
    "PendingLoss",
    "fingerprint",
    "learn",
    "losses",
    "note_loss",
    "refusal",
    "settle_pending",
]

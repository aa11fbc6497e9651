"""Quarantine of requests that crash the backend servers that run them.

Each loss of a backend server counts against the requests that it was running. They are
identified by a keyed fingerprint, which is the same when a request is sent again. After
one loss, requests with that fingerprint are suspect and are spread over different
backend servers. From ISOLATION_LOSS_THRESHOLD losses on, a request runs alone: other
requests can then finish, and the next loss can only come from the request that causes
it. At QUARANTINE_LOSS_THRESHOLD losses, the fingerprint is quarantined and its requests
are refused.

Entries share their counts through control. The loss of an engine counts as soon as its
agent reports it. The loss of a link counts only once control no longer lists the
backend server behind it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, NamedTuple

from yuccareach.entry.events import Refusal, ReportLoss
from yuccareach.proto import control_pb2 as cpb
from yuccareach.quarantine import compute_fingerprint, format_fingerprint
from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.entry.state import EntryState, Request
    from yuccareach.settings.store import Workspace

ISOLATION_LOSS_THRESHOLD = 2
QUARANTINE_LOSS_THRESHOLD = 3
# How long the losses of a fingerprint are kept after the last one.
QUARANTINE_RETENTION_MS = 600_000
MAX_FINGERPRINTS = 20_000
# A pending loss is dropped after this time if its backend server is still present.
PENDING_LOSS_RETENTION_MS = 15_000


class LossCount(NamedTuple):
    """Number of backend servers lost under a fingerprint, and when it expires."""

    losses: int
    expires_ms: int


class PendingLoss(NamedTuple):
    """A lost link that counts as a loss if the backend server turns out to be gone."""

    fingerprint: bytes
    workspace: str
    expires_ms: int


class Loss(NamedTuple):
    """A failure of an attempt that may come from the loss of a backend server.

    accepted says whether the backend server had accepted the attempt.
    """

    reason: str
    incarnation: str
    accepted: bool


def identify_request(workspace: Workspace, pipeline: str, prompt: str) -> bytes:
    """Return a request's fingerprint, keyed with the hash of the workspace's key."""
    key = workspace.key_sha256[0] if workspace.key_sha256 else ""
    parts = (workspace.name, pipeline, prompt)
    return compute_fingerprint(key, *(part.encode() for part in parts))


def get_loss_count(state: EntryState, fingerprint: bytes, now: int) -> int:
    """Return how many backend servers were lost under a fingerprint.

    The number expires QUARANTINE_RETENTION_MS after the last loss.
    """
    stored = state.loss_count_by_fingerprint.get(fingerprint)
    return stored.losses if stored is not None and stored.expires_ms > now else 0


def check(state: EntryState, fingerprint: bytes, now: int) -> Refusal | None:
    """Return the refusal of a quarantined request, or None."""
    if get_loss_count(state, fingerprint, now) < QUARANTINE_LOSS_THRESHOLD:
        return None
    left_ms = state.loss_count_by_fingerprint[fingerprint].expires_ms - now
    text = "backend servers were lost while they ran this request earlier"
    return Refusal(
        503, "quarantined", text, retry_after_s=max(1, math.ceil(left_ms / 1000))
    )


def record_loss(state: EntryState, request: Request, loss: Loss, now: int) -> list[Any]:
    """Count a loss against a request, now or once the backend server is gone."""
    if loss.reason == "engine_lost":
        return _count_loss(state, request.fingerprint, request.workspace.name, now)
    if loss.accepted:
        pending = state.pending_losses_by_incarnation.setdefault(loss.incarnation, [])
        pending.append(
            PendingLoss(
                request.fingerprint,
                request.workspace.name,
                now + PENDING_LOSS_RETENTION_MS,
            )
        )
    return []


def resolve_pending_losses(state: EntryState, now: int) -> list[Any]:
    """Count the pending losses of backend servers that are gone; expire old ones."""
    present = {server.member.incarnation for server in state.server_by_name.values()}
    effects: list[Any] = []
    for incarnation, pending in list(state.pending_losses_by_incarnation.items()):
        if incarnation not in present:
            del state.pending_losses_by_incarnation[incarnation]
            for item in pending:
                effects += _count_loss(state, item.fingerprint, item.workspace, now)
        elif pending[-1].expires_ms <= now:
            del state.pending_losses_by_incarnation[incarnation]
    return effects


def _count_loss(
    state: EntryState, fingerprint: bytes, workspace: str, now: int
) -> list[Any]:
    count = get_loss_count(state, fingerprint, now) + 1
    _store_count(state, fingerprint, LossCount(count, now + QUARANTINE_RETENTION_MS))
    report = cpb.Quarantine(
        fingerprint=fingerprint, duration_ms=QUARANTINE_RETENTION_MS
    )
    fields = {
        "workspace": workspace,
        "losses": count,
        "fingerprint": format_fingerprint(fingerprint),
    }
    return [ReportLoss(report), Log("loss_noted", fields)]


def merge_records(
    state: EntryState, records: Iterable[cpb.QuarantineRecord], now: int
) -> list[Any]:
    """Merge the counts of all entries, as control reported them."""
    for record in records:
        count = max(record.losses, get_loss_count(state, record.fingerprint, now))
        _store_count(
            state, record.fingerprint, LossCount(count, now + QUARANTINE_RETENTION_MS)
        )
    return []


def _store_count(state: EntryState, fingerprint: bytes, loss_count: LossCount) -> None:
    state.loss_count_by_fingerprint.pop(fingerprint, None)
    state.loss_count_by_fingerprint[fingerprint] = loss_count
    while len(state.loss_count_by_fingerprint) > MAX_FINGERPRINTS:
        del state.loss_count_by_fingerprint[next(iter(state.loss_count_by_fingerprint))]


__all__ = [
    "ISOLATION_LOSS_THRESHOLD",
    "QUARANTINE_LOSS_THRESHOLD",
    "Loss",
    "LossCount",
    "PendingLoss",
    "check",
    "get_loss_count",
    "identify_request",
    "merge_records",
    "record_loss",
    "resolve_pending_losses",
]

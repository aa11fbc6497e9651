"""Counting the losses of backend servers against requests and parts of prompts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccareach.gateway.server_limits import is_cut_off
from yuccareach.quarantine import admission, parts, reporting, table
from yuccareach.quarantine.counts import PROVISIONAL_QUARANTINE_MS
from yuccareach.quarantine.fingerprints import format_fingerprint
from yuccareach.quarantine.table import TrackedAttempt, TrackedPart

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccareach.gateway.admitted_requests import AdmittedRequest
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.state import Gateway
    from yuccareach.proto import control_pb2 as cpb
    from yuccareach.quarantine.table import CountChange


# Parts are accused this long after a loss. By then, all gateways know of it, and of
# theirs: a report is committed, and the next poll comes after POLL_DELAY_S.
ACCUSATION_DELAY_MS = 300
# The delay without control. By then, all attempts at the server have ended.
ISOLATED_ACCUSATION_DELAY_MS = 20
# How long the first quarantine of a part lasts without control: each gateway has to try
# it out alone then.
ISOLATED_QUARANTINE_MS = 30_000


def start_attempt(
    gateway: Gateway, admitted: AdmittedRequest, *, has_proven_parts: bool = False
) -> TrackedAttempt:
    """Return what a loss during an attempt that starts now is counted by."""
    now_ms = gateway.now_ms()
    return TrackedAttempt(
        admitted.fingerprint,
        table.get_count(gateway.quarantine, admitted.fingerprint, now_ms),
        admitted.request_id,
        admitted.workspace.name if admitted.workspace else "",
        tuple(
            TrackedPart(part, table.get_count(gateway.quarantine, part, now_ms))
            for part in admitted.part_fingerprints
        ),
        has_proven_parts,
    )


def compute_refusal_s(gateway: Gateway, admitted: AdmittedRequest) -> float:
    """Return how long a request is to be refused, in seconds; 0 if it may run on."""
    _update_delays(gateway)
    _, refusal_ms = admission.select_refusal(
        gateway.quarantine, admitted.fingerprints, gateway.now_ms()
    )
    return refusal_ms / 1000


def admit(gateway: Gateway, request_id: str, fingerprints: tuple[bytes, ...]) -> float:
    """Return how long a new request is to be refused, in seconds; 0 if it may run.

    The first fingerprint is the request's, and the others are of parts of its prompt.
    """
    _update_delays(gateway)
    now_ms = gateway.now_ms()
    fingerprint, refusal_ms = admission.admit_all(
        gateway.quarantine, fingerprints, now_ms
    )
    if refusal_ms:
        _log_refusal(gateway, request_id, fingerprints, fingerprint, refusal_ms)
        return refusal_ms / 1000
    for item in fingerprints:
        if table.get_count(gateway.quarantine, item, now_ms).is_quarantined:
            gateway.log(
                "trial_started",
                request=request_id,
                accused=_name_accused(item, fingerprints),
                fingerprint=format_fingerprint(item),
            )
    return 0.0


def log_refusal(gateway: Gateway, admitted: AdmittedRequest) -> None:
    """Log why a request that was admitted before is refused now."""
    fingerprint, refusal_ms = admission.select_refusal(
        gateway.quarantine, admitted.fingerprints, gateway.now_ms()
    )
    _log_refusal(
        gateway, admitted.request_id, admitted.fingerprints, fingerprint, refusal_ms
    )


def _log_refusal(
    gateway: Gateway,
    request_id: str,
    fingerprints: tuple[bytes, ...],
    fingerprint: bytes,
    refusal_ms: int,
) -> None:
    gateway.log(
        "request_quarantined",
        request=request_id,
        accused=_name_accused(fingerprint, fingerprints),
        fingerprint=format_fingerprint(fingerprint),
        retry_after_s=refusal_ms / 1000,
    )


def _name_accused(fingerprint: bytes, fingerprints: tuple[bytes, ...]) -> str:
    """Return what a fingerprint of a request and its parts, in order, belongs to."""
    return reporting.REQUEST if fingerprint == fingerprints[0] else reporting.PART


def is_suspect(gateway: Gateway, fingerprint: bytes) -> bool:
    """Return whether requests with a prompt part should run apart from others."""
    return table.is_suspect_part(gateway.quarantine, fingerprint, gateway.now_ms())


def record_answer(gateway: Gateway, attempt: TrackedAttempt) -> None:
    """Record that a backend server has answered a request completely."""
    change = table.record_answer(gateway.quarantine, attempt, gateway.now_ms())
    if change is not None:
        _report(gateway, [change])


def prove_parts(gateway: Gateway, attempt: TrackedAttempt) -> None:
    """Record that an attempt has shown that the parts of its prompt are harmless."""
    _report(gateway, table.prove_parts(gateway.quarantine, attempt, gateway.now_ms()))


def add_pending_losses(
    gateway: Gateway, attempt: TrackedAttempt, backends: Iterable[Backend]
) -> list[Backend]:
    """Remember a failed attempt, which counts if one of its servers has crashed.

    It counts at once if one has restarted. Return those that have not, without the ones
    that are leaving, or have left, as announced.
    """
    suspects = []
    now_ms = gateway.now_ms()
    for backend in backends:
        is_current = gateway.fleet.is_current(backend)
        has_restarted = gateway.fleet.has_restarted(backend)
        is_leaving = backend.announcement.draining or backend.health.is_leaving
        if is_leaving or not (is_current or has_restarted):
            continue
        incarnation = backend.announcement.incarnation
        table.add_pending_loss(gateway.quarantine, attempt, incarnation, now_ms)
        gateway.fleet.suspect_by_incarnation[incarnation] = backend
        if has_restarted:
            confirm_crash(gateway, backend)
        else:
            suspects.append(backend)
    return suspects


def confirm_crash(gateway: Gateway, backend: Backend) -> None:
    """Count the pending losses of a backend server that has crashed."""
    _update_delays(gateway)
    _report(
        gateway,
        table.confirm_losses(
            gateway.quarantine, backend.announcement.incarnation, gateway.now_ms()
        ),
    )


def resolve_pending_losses(gateway: Gateway) -> None:
    """Count the pending losses of backend servers whose later incarnation is known.

    A departure by itself does not count, since the heartbeats may only be late.
    """
    _update_delays(gateway)
    fleet, pending = gateway.fleet, gateway.quarantine.pending_by_incarnation
    backends = (
        *fleet.backend_by_name.values(),
        *fleet.suspect_by_incarnation.values(),
    )
    replaced = {
        incarnation
        for incarnation, backend in fleet.suspect_by_incarnation.items()
        if fleet.has_restarted(backend)
    }
    changes = table.resolve_pending_losses(
        gateway.quarantine,
        pending.keys() - replaced,
        {
            item.announcement.incarnation
            for item in backends
            if item.announcement.draining or item.health.is_leaving
        },
        gateway.now_ms(),
    )
    for incarnation in fleet.suspect_by_incarnation.keys() - pending.keys():
        del fleet.suspect_by_incarnation[incarnation]
    _report(gateway, changes)


def merge_view(gateway: Gateway, view: cpb.View) -> None:
    """Merge the counts of all gateways, as a view contains them."""
    reporting.merge_records(
        gateway.quarantine, view.losses, view.wall_ms, gateway.now_ms()
    )
    gateway.loss_changes = view.loss_changes
    if view.losses:
        refuse_waiting(gateway)


def refuse_waiting(gateway: Gateway) -> None:
    """End the wait of the streams that are quarantined now."""
    for run in gateway.streams:
        granted = run.granted
        if granted is not None and not granted.done():
            if compute_refusal_s(gateway, run.admitted):
                granted.set_result(None)


def record_attempt(gateway: Gateway, part_fingerprints: Iterable[bytes]) -> None:
    """Count an attempt that has ended, or proven its parts, for each of them."""
    parts.record_attempt(gateway.quarantine.part_history, part_fingerprints)


def _update_delays(gateway: Gateway) -> None:
    """Let the times of the quarantine follow from whether control answers."""
    is_isolated = is_cut_off(gateway)
    quarantine = gateway.quarantine
    quarantine.accusation_delay_ms = (
        ISOLATED_ACCUSATION_DELAY_MS if is_isolated else ACCUSATION_DELAY_MS
    )
    quarantine.provisional_ms = (
        ISOLATED_QUARANTINE_MS if is_isolated else PROVISIONAL_QUARANTINE_MS
    )


def _schedule_accusation(gateway: Gateway) -> None:
    """Call _accuse_parts once the first accusation is due."""
    charge = next(iter(gateway.quarantine.charge_by_incarnation.values()), None)
    if charge is None or gateway.accusation_timer is not None:
        return
    delay_s = max(1, charge.due_ms - gateway.now_ms()) / 1000
    loop = asyncio.get_running_loop()
    gateway.accusation_timer = loop.call_later(delay_s, _accuse_parts, gateway)


def _accuse_parts(gateway: Gateway) -> None:
    gateway.accusation_timer = None
    _report(gateway, list(table.accuse_parts(gateway.quarantine, gateway.now_ms())))


def _report(gateway: Gateway, changes: list[CountChange]) -> None:
    for change in changes:
        gateway.write_log(reporting.build_log(change))
    gateway.loss_reporter.add(changes)
    if any(change.loss_count.is_quarantined for change in changes):
        refuse_waiting(gateway)
    _schedule_accusation(gateway)


__all__ = [
    "add_pending_losses",
    "admit",
    "compute_refusal_s",
    "confirm_crash",
    "is_suspect",
    "log_refusal",
    "merge_view",
    "prove_parts",
    "record_answer",
    "record_attempt",
    "refuse_waiting",
    "resolve_pending_losses",
    "start_attempt",
]

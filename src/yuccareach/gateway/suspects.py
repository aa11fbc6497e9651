"""Running streams with a suspect prompt part apart from each other and from others.

A part is suspect while servers were lost under it, and it is neither proven harmless
nor quarantined. One stream at a time then tries it out at each gateway.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.losses import is_suspect, record_attempt

if TYPE_CHECKING:
    from yuccareach.gateway.backends import Backend
    from yuccareach.gateway.chains import Chain
    from yuccareach.gateway.stream_run import StreamRun


class Trial(NamedTuple):
    """What a stream counts for until its attempt has proven its parts or ended."""

    parts: tuple[bytes, ...]
    # Where a stream with a suspect part has its first stage; None for others.
    backend: Backend | None


NO_TRIAL = Trial((), None)


def is_suspect_run(run: StreamRun) -> bool:
    """Return whether a stream's prompt has a suspect part."""
    return any(is_suspect(run.gateway, part) for part in run.admitted.part_fingerprints)


def must_wait_apart(run: StreamRun) -> bool:
    """Return whether another stream is trying out a suspect part of a stream's prompt.

    A stream whose answer has begun does not wait, since its parts were harmless then.
    """
    unproven_streams = run.gateway.unproven_streams_by_part
    if not run.gateway.quarantine.record_by_fingerprint:
        return False
    return not run.reply.has_started and any(
        unproven_streams[part] and is_suspect(run.gateway, part)
        for part in run.admitted.part_fingerprints
    )


def begin_trial(run: StreamRun, chain: Chain) -> None:
    """Count a stream whose attempt has not proven the parts of its prompt yet."""
    backend = chain.stages[0].backend if is_suspect_run(run) else None
    run.trial = Trial(run.admitted.part_fingerprints, backend)
    run.gateway.unproven_streams_by_part.update(run.trial.parts)
    if backend is not None:
        backend.suspect_requests += 1


def end_trial(run: StreamRun) -> None:
    """Stop counting a stream as one that has not proven the parts of its prompt."""
    trial, run.trial = run.trial, NO_TRIAL
    record_attempt(run.gateway, trial.parts)
    unproven_streams = run.gateway.unproven_streams_by_part
    unproven_streams.subtract(trial.parts)
    for part in trial.parts:
        if unproven_streams[part] <= 0:
            del unproven_streams[part]
    if trial.backend is not None:
        trial.backend.suspect_requests -= 1


__all__ = [
    "NO_TRIAL",
    "Trial",
    "begin_trial",
    "end_trial",
    "is_suspect_run",
    "must_wait_apart",
]

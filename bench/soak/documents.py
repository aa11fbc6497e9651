"""The configuration that operators send while the soak runs."""

from __future__ import annotations

from typing import Any

MODEL = "drafts"
PLAIN = "claims"
HOST = "soak.example"
KEY = "key-that-stays"
# Revoked once, while the soak runs.
PASSING_KEY = "key-that-goes"
PASSING_WORKSPACE = "passing"
TIMEOUT_MS = 6_000


def _route(prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": kind,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": TIMEOUT_MS,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


def _engine() -> dict[str, Any]:
    kinds = (("a100", 72_000.0, 2.4, 3.2), ("l4", 21_600.0, 16.0, 8.2))
    return {
        "slots": 96,
        "kvTokenBytes": 1_836_000,
        "models": [{"name": "m", "loadS": 1.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.014,
        "context_per_k": 0.019,
        "read_per_s": 105_000.0,
        "usual": {"prompt": 100, "answer": 30},
        "layers": 80,
        "layerMb": 1_750.0,
        "activationBytes": 91_800,
        "pipeMbps": 26_000.0,
        "kinds": [
            {"name": name, "sizeMb": size, "pace": pace, "readFactor": read}
            for name, size, pace, read in kinds
        ],
    }


def document(version: int, *, passing: bool) -> dict[str, Any]:
    """Return a version of the configuration, with the passing key or without."""
    workspaces = [{"name": "staying", "apiKeys": [KEY]}]
    if passing:
        workspaces.append({"name": PASSING_WORKSPACE, "apiKeys": [PASSING_KEY]})
    return {
        "version": version,
        "routes": [
            _route("/draft/", "stream", MODEL, streamResume=True, targetGapMs=200),
            _route("/pay/", "unsafe", PLAIN, maxAttempts=1),
            _route("/look/", "safe", PLAIN),
        ],
        "services": [
            {"name": MODEL, "maxConnections": 500, "engine": _engine()},
            {"name": PLAIN, "maxConnections": 500},
        ],
        "tenants": workspaces,
    }


__all__ = [
    "HOST",
    "KEY",
    "MODEL",
    "PASSING_KEY",
    "PASSING_WORKSPACE",
    "PLAIN",
    "TIMEOUT_MS",
    "document",
]

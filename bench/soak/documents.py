"""The configuration that operators send while the soak runs."""

from __future__ import annotations

from typing import Any

from yuccareach.platform.demo import build_demo_engine

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
    """Return the demo's engine, but with loads that take time and links that bind."""
    return {
        **build_demo_engine(),
        "models": [{"name": "m", "loadS": 1.0}],
        "usual": {"prompt": 100, "answer": 30},
        "activationBytes": 91_800,
        "pipeMbps": 26_000.0,
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

"""Make the routing documents that the operator sends while the soak runs."""

from __future__ import annotations

from typing import Any

from yuccareach.platform.demo import build_demo_engine

MODEL_SERVICE = "drafts"
PLAIN_SERVICE = "claims"
HOST = "soak.example"
KEY = "key-that-stays"
# The key of a workspace that is removed while the soak runs.
TEMPORARY_KEY = "key-that-goes"
TEMPORARY_WORKSPACE = "passing"
TIMEOUT_MS = 6_000
# Bodies with this prefix crash the backend servers that run them.
CRASHING_PREFIX = b"crashing-"


def _make_route(prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
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


def _make_engine_settings() -> dict[str, Any]:
    """Return the demo's engine settings with slow loads and limited links.

    Loading the model takes 1 s, and the bandwidth between stages limits placement.
    """
    return {
        **build_demo_engine(),
        "models": [{"name": "m", "loadS": 1.0}],
        "usual": {"prompt": 100, "answer": 30},
        "activationBytes": 91_800,
        "pipeMbps": 26_000.0,
    }


def make_document(version: int, *, with_temporary_key: bool) -> dict[str, Any]:
    """Return a version of the configuration, with or without the temporary key."""
    workspaces = [{"name": "staying", "apiKeys": [KEY]}]
    if with_temporary_key:
        workspaces.append({"name": TEMPORARY_WORKSPACE, "apiKeys": [TEMPORARY_KEY]})
    return {
        "version": version,
        "routes": [
            _make_route(
                "/draft/", "stream", MODEL_SERVICE, streamResume=True, targetGapMs=200
            ),
            _make_route("/pay/", "unsafe", PLAIN_SERVICE, maxAttempts=1),
            _make_route("/look/", "safe", PLAIN_SERVICE),
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "maxConnections": 500,
                "engine": _make_engine_settings(),
            },
            {"name": PLAIN_SERVICE, "maxConnections": 500},
        ],
        "tenants": workspaces,
    }


__all__ = [
    "CRASHING_PREFIX",
    "HOST",
    "KEY",
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "TEMPORARY_KEY",
    "TEMPORARY_WORKSPACE",
    "TIMEOUT_MS",
    "make_document",
]

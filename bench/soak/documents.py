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
# Backend servers on which one request may run, by the prefix of its path.
MAX_ATTEMPTS_BY_PREFIX = {"/draft/": 2, "/pay/": 1, "/look/": 2}
# Bodies with this prefix crash the backend servers that run them.
CRASHING_PREFIX = b"crashing-"
# Prompts have the first part, one of each of the middle parts, and one of their own.
FIRST_PART = "f1"
MIDDLE_PARTS = (("a1", "a2"), ("b1", "b2", "b3"))
# Streams with this part crash the backend servers that begin to answer them.
CRASHING_PART = "bad"
_PART_TOKENS = 30


def make_prompt_parts(number: int, crashing_position: int | None = None) -> list[str]:
    """Return the parts of a request's prompt; one of the shared ones may crash."""
    parts = [FIRST_PART, *(parts[number % len(parts)] for parts in MIDDLE_PARTS)]
    if crashing_position is not None:
        parts[crashing_position % len(parts)] = CRASHING_PART
    return [*parts, f"e{number}"]


def format_prompt_parts(parts: list[str]) -> str:
    """Return the value of the header that lists the parts of a prompt."""
    return ",".join(f"{part}:{_PART_TOKENS}" for part in parts)


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
        "maxAttempts": MAX_ATTEMPTS_BY_PREFIX[prefix],
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
            _make_route("/pay/", "unsafe", PLAIN_SERVICE),
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
    "CRASHING_PART",
    "CRASHING_PREFIX",
    "FIRST_PART",
    "HOST",
    "KEY",
    "MAX_ATTEMPTS_BY_PREFIX",
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "TEMPORARY_KEY",
    "TEMPORARY_WORKSPACE",
    "TIMEOUT_MS",
    "format_prompt_parts",
    "make_document",
    "make_prompt_parts",
]
